#ifndef BRONZESHED_HTTP_DIRECTTRANSFER_H
#define BRONZESHED_HTTP_DIRECTTRANSFER_H

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <string>

namespace bronzeshed {

/**
 * Sends as many bytes as fit into the socket's send buffer, without blocking. An asynchronous write
 * makes the same system call and needs a second one to run its handler.
 * @return the number of bytes sent; also 0 on an error, which the next write reports
 */
std::size_t trySend(int socket, const std::string &bytes);

/** How far buffered bytes are parsed. */
enum class ParseEnd { Header, Message };

/**
 * Parses buffered bytes until the header or the message is complete or more bytes are needed.
 * Avoids Beast's read operations, which return to the event loop for each step. For adapter sources
 * only.
 */
template<typename Parser>
boost::beast::error_code parseBuffered(Parser &parser, boost::beast::flat_buffer &buffer,
                                       ParseEnd end = ParseEnd::Message)
{
    boost::beast::error_code error;
    parser.eager(end == ParseEnd::Message);
    const auto isParsed
        = [&] { return end == ParseEnd::Message ? parser.is_done() : parser.is_header_done(); };
    while (buffer.size() > 0 && !isParsed()) {
        const std::size_t used = parser.put(buffer.data(), error);
        buffer.consume(used);
        if (error == boost::beast::http::error::need_more) {
            return {};
        }
        if (error || used == 0) {
            return error;
        }
    }
    return {};
}

} // namespace bronzeshed

#endif
