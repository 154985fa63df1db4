#include "http/httpclient.h"

#include "http/beastmessage.h"
#include "http/silentpeer.h"

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

constexpr std::size_t ResponseBodyLimit = 4 * 1024 * 1024;
constexpr std::chrono::milliseconds CancelCheckPeriod{100};
/** A long poll has a long timeout, but its connection is made at once or not at all. */
constexpr std::chrono::milliseconds ConnectTimeout{1000};

/** Runs the context until its work is done, and cancels the work when asked to. */
void run(asio::io_context &context, beast::tcp_stream &stream,
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

void check(const beast::error_code &error, const std::string &what, bool maybeSent)
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
    const auto store = [&error](beast::error_code result, auto...) { error = result; };
    const auto deadline = std::chrono::steady_clock::now() + timeout;

    const tcp::endpoint address(asio::ip::make_address(endpoint.host), endpoint.port);
    stream.expires_after(std::min(timeout, ConnectTimeout));
    stream.async_connect(address, store);
    run(context, stream, cancelled);
    check(error, "cannot connect to " + endpoint.toString(), false);
    stream.expires_at(deadline);

    detectSilentPeer(stream.socket().native_handle());
    const std::string message = formatRequest(request, endpoint.toString(), false);
    asio::async_write(stream, asio::buffer(message), store);
    run(context, stream, cancelled);
    check(error, "cannot send to " + endpoint.toString(), true);

    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(ResponseBodyLimit);
    parser.skip(request.method == "HEAD");
    http::async_read(stream, buffer, parser, store);
    run(context, stream, cancelled);
    check(error, "no whole response from " + endpoint.toString(), true);
    if (parser.need_eof()) {
        // Without a length or chunks, a truncated response looks whole.
        throw HttpClientError("response without length from " + endpoint.toString(), true);
    }
    return fromBeastResponse(parser.release());
}

} // namespace bronzeshed
