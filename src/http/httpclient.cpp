#include "http/httpclient.h"

#include "http/beastmessage.h"
#include "http/deadpeerdetection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace bronzeshed {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t MaxResponseBodyBytes = 4 * 1024 * 1024;
/** Limit for unparsed bytes, such as a header or a chunk extension without end. */
constexpr std::size_t MaxBufferedBytes = 128UL * 1024;
constexpr std::chrono::milliseconds CancelCheckPeriod{100};
/** Connecting is fast or fails, while the request timeout is long for a long poll. */
constexpr std::chrono::milliseconds ConnectTimeout{1000};

/** Runs the context until its work is done. Cancels the work when @p cancelled returns true. */
void runUntilDone(asio::io_context &context, beast::tcp_stream &stream,
                  const std::function<bool()> &cancelled)
{
    context.restart();
    if (!cancelled) {
        context.run();
        return;
    }
    while (!context.stopped()) {
        context.run_for(CancelCheckPeriod);
        if (!context.stopped() && cancelled()) {
            stream.cancel();
        }
    }
}

void throwOnError(const beast::error_code &error, const std::string &what, bool maybeSent)
{
    if (error) {
        throw HttpClientError(what + ": " + error.message(), maybeSent);
    }
}

} // namespace

HttpResponse sendHttpRequest(const Endpoint &endpoint, const HttpRequest &request,
                             std::chrono::milliseconds timeout,
                             const std::function<bool()> &cancelled)
{
    asio::io_context context;
    beast::tcp_stream stream(context);
    beast::error_code error;
    const auto storeError = [&error](beast::error_code result, auto...) { error = result; };
    const auto deadline = std::chrono::steady_clock::now() + timeout;

    const tcp::endpoint address(asio::ip::make_address(endpoint.host), endpoint.port);
    stream.expires_after(std::min(timeout, ConnectTimeout));
    stream.async_connect(address, storeError);
    runUntilDone(context, stream, cancelled);
    throwOnError(error, "cannot connect to " + endpoint.toString(), false);
    stream.expires_at(deadline);

    enableDeadPeerDetection(stream.socket().native_handle());
    const std::string message = formatRequest(request, endpoint.toString(), false);
    asio::async_write(stream, asio::buffer(message), storeError);
    runUntilDone(context, stream, cancelled);
    throwOnError(error, "cannot send to " + endpoint.toString(), true);

    beast::flat_buffer buffer{MaxBufferedBytes};
    http::response_parser<http::string_body> parser;
    parser.body_limit(MaxResponseBodyBytes);
    parser.skip(request.method == "HEAD");
    http::async_read(stream, buffer, parser, storeError);
    runUntilDone(context, stream, cancelled);
    throwOnError(error, "no whole response from " + endpoint.toString(), true);
    if (parser.need_eof()) {
        // Without a length or chunks, a truncated response cannot be detected.
        throw HttpClientError("response without length from " + endpoint.toString(), true);
    }
    return fromBeastResponse(parser.release());
}

} // namespace bronzeshed
