#include "http/beastmessage.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace bronzeshed {

namespace http = boost::beast::http;

namespace {

/**
 * Headers that describe one connection and are not passed on. Expect is one of them because the
 * whole request is sent at once.
 */
bool isConnectionHeader(std::string_view name)
{
    static constexpr std::array<std::string_view, 9> Names{
        "Connection", "Keep-Alive",     "Proxy-Connection", "Transfer-Encoding", "TE", "Trailer",
        "Upgrade",    "Content-Length", "Expect",
    };
    return std::any_of(Names.begin(), Names.end(),
                       [&](std::string_view known) { return equalsIgnoringCase(known, name); });
}

} // namespace

BeastRequest toBeastRequest(const HttpRequest &request, const std::string &host, bool keepAlive)
{
    BeastRequest message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    for (const auto &[name, value] : request.headers.fields()) {
        if (!isConnectionHeader(name) && !equalsIgnoringCase(name, "Host")) {
            message.insert(name, value);
        }
    }
    message.set(http::field::host, host);
    message.body() = request.body;
    message.keep_alive(keepAlive);
    message.prepare_payload();
    return message;
}

HttpResponse fromBeastResponse(BeastResponse &&message)
{
    HttpResponse response;
    response.status = message.result_int();
    for (const auto &field : message) {
        const std::string_view name(field.name_string());
        if (!isConnectionHeader(name)) {
            response.headers.add(name, std::string_view(field.value()));
        }
    }
    response.body = std::move(message.body());
    return response;
}

} // namespace bronzeshed
