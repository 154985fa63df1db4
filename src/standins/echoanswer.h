#ifndef BRONZESHED_STANDINS_ECHOANSWER_H
#define BRONZESHED_STANDINS_ECHOANSWER_H

#include "http/httpmessage.h"

#include <string>

namespace bronzeshed {

/**
 * Body of an upstream stand-in's answer: identity, method, target, length and checksum of the
 * request, one a line, so that a caller sees an answer that is partial or not its own.
 */
std::string makeEchoAnswer(const HttpRequest &request);

/**
 * Whether @p answer is the whole answer to @p request. The identity is compared only if the request
 * has one, since an entry may have added its own.
 */
bool isEchoAnswer(const std::string &answer, const HttpRequest &request);

} // namespace bronzeshed

#endif
