#ifndef BRONZESHED_ENTRY_CALLRESPONSE_H
#define BRONZESHED_ENTRY_CALLRESPONSE_H

#include "http/httpmessage.h"
#include "requests/outcome.h"

#include <string>

namespace bronzeshed {

/** Response to a call that got no answer of an upstream. */
HttpResponse makeRefusal(Outcome outcome, Reason reason, const std::string &detail = {});

/** Response to a call that an upstream answered. */
HttpResponse makeAnswer(HttpResponse upstreamResponse);

} // namespace bronzeshed

#endif
