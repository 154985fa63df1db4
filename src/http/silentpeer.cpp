#include "http/silentpeer.h"

#include "base/logline.h"

#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace bronzeshed {

namespace {

constexpr int IdleSeconds = 1; ///< before the first keep-alive probe
constexpr int IntervalSeconds = 1; ///< between probes
constexpr int UnansweredProbes = 2; ///< after which the connection fails
constexpr int UnacknowledgedMs = 3000; ///< sent data without acknowledgement

void setOption(int socket, int level, int option, int value)
{
    if (::setsockopt(socket, level, option, &value, sizeof(value)) != 0) {
        LogLine("socket_option_failed", LogLevel::Warning)
            .add("option", option)
            .add("error", std::strerror(errno));
    }
}

} // namespace

void detectSilentPeer(int socket)
{
    setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, IdleSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, IntervalSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, UnansweredProbes);
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, UnacknowledgedMs);
}

} // namespace bronzeshed
