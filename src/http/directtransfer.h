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

/**
 * Parses buffered bytes until the message is complete or more bytes are needed. Avoids Beast's read
 * operations, which return to the event loop for each step. For adapter sources only.
 */
template<typename Parser>
boost::beast::error_code parseBuffered(Parser &parser, boost::beast::flat_buffer &buffer)
{
    boost::beast::error_code error;
    parser.eager(true);
    while (buffer.size() > 0 && !parser.is_done()) {
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
