#ifndef BRONZESHED_RPC_LEDGERCONVERSION_H
#define BRONZESHED_RPC_LEDGERCONVERSION_H

#include "requests/resolution.h"
#include "rpc/control.capnp.h"

namespace bronzeshed {

// Conversions between a resolution and its Cap'n Proto message.
void writeResolution(rpc::Resolution::Builder message, const Resolution &resolution);
Resolution readResolution(rpc::Resolution::Reader message);

} // namespace bronzeshed

#endif
