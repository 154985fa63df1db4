#ifndef BRONZESHED_HTTP_REQUESTCHECKS_H
#define BRONZESHED_HTTP_REQUESTCHECKS_H

#include "http/httpmessage.h"

#include <string>

namespace bronzeshed {

/** Returns the name of a repeated header that may occur only once, or an empty string. */
std::string findRepeatedHeader(const HttpHeaders &headers);

/**
 * Whether the end of the body is unambiguous. The parser ignores transfer codings other than
 * chunked and would parse the bytes of such a body as the next request.
 */
bool hasUnambiguousFraming(const HttpHeaders &headers);

} // namespace bronzeshed

#endif
