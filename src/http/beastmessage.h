#ifndef BRONZESHED_HTTP_BEASTMESSAGE_H
#define BRONZESHED_HTTP_BEASTMESSAGE_H

#include "http/httpmessage.h"

#include <boost/beast/http.hpp>
#include <string>

namespace bronzeshed {

using BeastResponse = boost::beast::http::response<boost::beast::http::string_body>;

/**
 * A request as it goes over the wire; for adapter sources only, since this header pulls in Beast.
 * It is one string, so that one send() takes it.
 * @param host value of the Host header if the request names no authority
 */
std::string formatRequest(const HttpRequest &request, const std::string &host, bool keepAlive);

/** A response as it goes over the wire. The answer to a HEAD request has no body. */
std::string formatResponse(const HttpResponse &response, bool keepAlive, bool headOnly);

/** Converts a received response. Connection-level headers are left out. */
HttpResponse fromBeastResponse(BeastResponse &&message);

} // namespace bronzeshed

#endif
