#ifndef BRONZESHED_HTTP_BEASTMESSAGE_H
#define BRONZESHED_HTTP_BEASTMESSAGE_H

#include "http/httpmessage.h"

#include <boost/beast/http.hpp>
#include <string>

namespace bronzeshed {

using BeastResponse = boost::beast::http::response<boost::beast::http::string_body>;

/**
 * Serializes a request to a single string, so that one send() call can transmit it. Include this
 * header in adapter sources only, because it pulls in Beast.
 * @param host value of the Host header if the request has no authority
 */
std::string formatRequest(const HttpRequest &request, const std::string &host, bool keepAlive);

/**
 * Serializes a response.
 * @param headOnly omits the body, as required in the response to a HEAD request
 */
std::string formatResponse(const HttpResponse &response, bool keepAlive, bool headOnly);

/** Converts the headers of a received response. Connection headers are omitted. */
HttpHeaders fromBeastHeaders(const BeastResponse &message);
/** Converts a received response. Connection headers are omitted. */
HttpResponse fromBeastResponse(BeastResponse &&message);

} // namespace bronzeshed

#endif
