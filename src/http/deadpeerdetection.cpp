#include "http/deadpeerdetection.h"

#include "base/logline.h"

#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace bronzeshed {

namespace {

constexpr int ProbeIdleSeconds = 1; ///< idle time before the first keep-alive probe
constexpr int ProbeIntervalSeconds = 1; ///< time between probes
constexpr int MaxUnansweredProbes = 2; ///< the connection fails after these
constexpr int UnacknowledgedTimeoutMs = 3000; ///< for sent data without acknowledgement

void setOption(int socket, int level, int option, int value)
{
    if (::setsockopt(socket, level, option, &value, sizeof(value)) != 0) {
        LogLine("socket_option_failed", LogLevel::Warning)
            .add("option", option)
            .add("error", std::strerror(errno));
    }
}

} // namespace

void enableDeadPeerDetection(int socket)
{
    setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, ProbeIdleSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, ProbeIntervalSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, MaxUnansweredProbes);
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, UnacknowledgedTimeoutMs);
}

} // namespace bronzeshed
