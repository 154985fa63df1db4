#ifndef BRONZESHED_ENTRY_CALLRESPONSE_H
#define BRONZESHED_ENTRY_CALLRESPONSE_H

#include "http/httpmessage.h"
#include "requests/outcome.h"

#include <string>

namespace bronzeshed {

/** Returns the response to a call that no upstream answered. */
HttpResponse makeRefusal(Outcome outcome, Reason reason, const std::string &detail = {});

/** Returns the response to a call that an upstream answered, without internal headers. */
HttpResponse makeAnswer(HttpResponse upstreamResponse);

} // namespace bronzeshed

#endif
