#ifndef BRONZESHED_HTTP_REQUESTCHECKS_H
#define BRONZESHED_HTTP_REQUESTCHECKS_H

#include "http/httpmessage.h"

#include <string>

namespace bronzeshed {

/** Name of a header that may stand once only but is repeated, or nothing. */
std::string repeatedHeader(const HttpHeaders &headers);

/**
 * Whether the end of the body is certain. The parser takes other codings than chunked for a request
 * without body, and the body's bytes for the next request.
 */
bool hasKnownFraming(const HttpHeaders &headers);

} // namespace bronzeshed

#endif
