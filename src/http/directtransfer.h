#ifndef BRONZESHED_HTTP_DIRECTTRANSFER_H
#define BRONZESHED_HTTP_DIRECTTRANSFER_H

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <string>

namespace bronzeshed {

/**
 * Sends what the socket's buffer takes at once. An asynchronous write makes the same system call,
 * and a second one to come back to its handler.
 * @return the bytes sent; 0 also on an error, which the next write reports
 */
std::size_t sendNow(int socket, const std::string &bytes);

/**
 * Feeds the parser from the buffer until the message is complete or more bytes are needed; for
 * adapter sources only. Beast's read operations return to the event loop for each step.
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
