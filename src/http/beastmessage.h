#ifndef BRONZESHED_HTTP_BEASTMESSAGE_H
#define BRONZESHED_HTTP_BEASTMESSAGE_H

#include "http/httpmessage.h"

#include <boost/beast/http.hpp>
#include <string>

namespace bronzeshed {

using BeastRequest = boost::beast::http::request<boost::beast::http::string_body>;
using BeastResponse = boost::beast::http::response<boost::beast::http::string_body>;

/** Converts a request to send; for adapter sources only, since it pulls in Beast. */
BeastRequest toBeastRequest(const HttpRequest &request, const std::string &host, bool keepAlive);

/** Converts a received response. Connection-level headers are left out. */
HttpResponse fromBeastResponse(BeastResponse &&message);

} // namespace bronzeshed

#endif
