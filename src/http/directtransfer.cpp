#include "http/directtransfer.h"

#include <sys/socket.h>

namespace bronzeshed {

std::size_t trySend(int socket, const std::string &bytes)
{
    const auto sent = ::send(socket, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    return sent < 0 ? 0 : static_cast<std::size_t>(sent);
}

} // namespace bronzeshed
