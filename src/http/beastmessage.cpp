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

/** Room for the start line, the headers added here and separators. */
constexpr std::size_t HeadReserve = 256;

void appendField(std::string &text, std::string_view name, std::string_view value)
{
    text.append(name).append(": ").append(value).append("\r\n");
}

std::size_t sizeOf(const HttpHeaders &headers)
{
    std::size_t size = HeadReserve;
    for (const auto &[name, value] : headers.fields()) {
        size += name.size() + value.size() + 4;
    }
    return size;
}

/** Whether a response with this status ends with its header (RFC 9112, 6.3). */
bool hasNoBody(http::status status)
{
    return http::to_status_class(status) == http::status_class::informational
        || status == http::status::no_content || status == http::status::not_modified;
}

/** Whether the method expects a body, so that an empty one is announced (RFC 9110, 8.6). */
bool expectsBody(const std::string &method)
{
    return method == "POST" || method == "PUT" || method == "OPTIONS";
}

} // namespace

std::string formatRequest(const HttpRequest &request, const std::string &host, bool keepAlive)
{
    std::string text;
    text.reserve(sizeOf(request.headers) + request.target.size() + request.body.size());
    text.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    appendField(text, "Host", host);
    for (const auto &[name, value] : request.headers.fields()) {
        if (!isConnectionHeader(name) && !equalsIgnoringCase(name, "Host")) {
            appendField(text, name, value);
        }
    }
    if (!keepAlive) {
        appendField(text, "Connection", "close");
    }
    if (!request.body.empty() || expectsBody(request.method)) {
        appendField(text, "Content-Length", std::to_string(request.body.size()));
    }
    return text.append("\r\n").append(request.body);
}

std::string formatResponse(const HttpResponse &response, bool keepAlive, bool headOnly)
{
    const http::status status = http::int_to_status(response.status);
    const bool bodiless = hasNoBody(status);
    std::string text;
    text.reserve(sizeOf(response.headers) + response.body.size());
    text.append("HTTP/1.1 ").append(std::to_string(response.status)).append(" ");
    text.append(std::string_view(http::obsolete_reason(status))).append("\r\n");
    for (const auto &[name, value] : response.headers.fields()) {
        if (!isConnectionHeader(name)) {
            appendField(text, name, value);
        }
    }
    if (!keepAlive) {
        appendField(text, "Connection", "close");
    }
    appendField(text, "Content-Length", std::to_string(bodiless ? 0 : response.body.size()));
    text.append("\r\n");
    return headOnly || bodiless ? text : text.append(response.body);
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
