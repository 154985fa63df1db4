#include "http/beastmessage.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace bronzeshed {

namespace http = boost::beast::http;

namespace {

/**
 * Whether a header applies to a single connection and must not be forwarded. Expect is included
 * because the complete request is sent at once, without waiting for 100 Continue.
 */
bool isConnectionHeader(std::string_view name)
{
    static constexpr std::array<std::string_view, 9> Names{
        "Connection", "Keep-Alive",     "Proxy-Connection", "Transfer-Encoding", "TE", "Trailer",
        "Upgrade",    "Content-Length", "Expect",
    };
    return std::any_of(Names.begin(), Names.end(),
                       [&](std::string_view listed) { return equalsIgnoringCase(listed, name); });
}

/** Copies the headers of a forwarded message, except connection headers and @p excluded. */
void copyForwardedHeaders(const HttpHeaders &headers, http::fields &fields,
                          std::string_view excluded = {})
{
    for (const auto &[name, value] : headers.fields()) {
        if (!isConnectionHeader(name) && !equalsIgnoringCase(name, excluded)) {
            fields.insert(name, value);
        }
    }
}

template<bool isRequest>
std::string serialize(const http::message<isRequest, http::string_body> &message)
{
    http::serializer<isRequest, http::string_body> serializer(message);
    std::string text;
    boost::beast::error_code error;
    while (!error && !serializer.is_done()) {
        serializer.next(error, [&](boost::beast::error_code &, const auto &buffers) {
            for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
                text.append(static_cast<const char *>(buffer.data()), buffer.size());
            }
            serializer.consume(boost::beast::buffer_bytes(buffers));
        });
    }
    return text;
}

/** Whether a response with this status never has a body (RFC 9112, section 6.3). */
bool hasNoBody(http::status status)
{
    return http::to_status_class(status) == http::status_class::informational
        || status == http::status::no_content || status == http::status::not_modified;
}

} // namespace

std::string formatRequest(const HttpRequest &request, const std::string &host, bool keepAlive)
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    // Host comes first, as RFC 9110, section 7.2 recommends.
    message.set(http::field::host, request.authority.empty() ? host : request.authority);
    copyForwardedHeaders(request.headers, message, "Host");
    message.keep_alive(keepAlive);
    message.body() = request.body;
    message.prepare_payload();
    return serialize(message);
}

std::string formatResponse(const HttpResponse &response, bool keepAlive, bool headOnly)
{
    http::response<http::string_body> message;
    message.version(11);
    message.result(response.status);
    copyForwardedHeaders(response.headers, message);
    message.keep_alive(keepAlive);
    // Beast throws if a body is set on a response whose status does not allow one.
    if (!hasNoBody(message.result())) {
        message.body() = response.body;
    }
    message.prepare_payload();
    if (headOnly) {
        message.body().clear();
    }
    return serialize(message);
}

HttpHeaders fromBeastHeaders(const BeastResponse &message)
{
    HttpHeaders headers;
    for (const auto &field : message) {
        const std::string_view name(field.name_string());
        if (!isConnectionHeader(name)) {
            headers.add(name, std::string_view(field.value()));
        }
    }
    return headers;
}

HttpResponse fromBeastResponse(BeastResponse &&message)
{
    HttpResponse response;
    response.status = message.result_int();
    response.headers = fromBeastHeaders(message);
    response.body = std::move(message.body());
    return response;
}

} // namespace bronzeshed
