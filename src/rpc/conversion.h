#ifndef BRONZESHED_RPC_CONVERSION_H
#define BRONZESHED_RPC_CONVERSION_H

#include "membership/controlstate.h"
#include "rpc/control.capnp.h"

namespace bronzeshed {

/** Conversions between the plain types and their Cap'n Proto messages. */
void writeEndpoint(rpc::EndpointMessage::Builder message, const Endpoint &endpoint);
Endpoint readEndpoint(rpc::EndpointMessage::Reader message);

void writeMember(rpc::MemberMessage::Builder message, const Member &member);
Member readMember(rpc::MemberMessage::Reader message);

void writeUpstream(rpc::UpstreamMessage::Builder message, const UpstreamInfo &upstream);
UpstreamInfo readUpstream(rpc::UpstreamMessage::Reader message);

/** Writes the whole state. */
void writeControlState(rpc::ControlStateMessage::Builder message, const ControlState &state);
ControlState readControlState(rpc::ControlStateMessage::Reader message);

} // namespace bronzeshed

#endif
