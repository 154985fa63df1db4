#include "http/httpclient.h"

#include <arpa/inet.h>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

using namespace bronzeshed;
using namespace std::chrono_literals;

namespace {

/** Listener with a full accept queue, so that connecting hangs as in a network partition. */
class UnreachableServer
{
public:
    UnreachableServer()
    {
        this->sockets.push_back(::socket(AF_INET, SOCK_STREAM, 0));
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        auto *generic = reinterpret_cast<sockaddr *>(&address);
        BOOST_REQUIRE(::bind(this->sockets.front(), generic, size) == 0);
        BOOST_REQUIRE(::listen(this->sockets.front(), 0) == 0);
        BOOST_REQUIRE(::getsockname(this->sockets.front(), generic, &size) == 0);
        this->endpoint = {"127.0.0.1", ntohs(address.sin_port)};
        for (int i = 0; i < 4; ++i) {
            this->sockets.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
            // The first connections fill the accept queue; all others hang.
            const int result = ::connect(this->sockets.back(), generic, size);
            BOOST_REQUIRE((result == 0 || errno == EINPROGRESS));
        }
    }
    ~UnreachableServer()
    {
        for (const int socket : this->sockets) {
            ::close(socket);
        }
    }
    UnreachableServer(const UnreachableServer &) = delete;
    UnreachableServer &operator=(const UnreachableServer &) = delete;

    Endpoint endpoint;

private:
    std::vector<int> sockets;
};

} // namespace

BOOST_AUTO_TEST_SUITE(http_client)

// Guards against a long poll that waits for its full timeout while connecting, because the server
// or the network does not respond.
BOOST_AUTO_TEST_CASE(connecting_fails_after_the_connect_timeout)
{
    const UnreachableServer server;
    const auto start = std::chrono::steady_clock::now();
    BOOST_CHECK_THROW(sendHttpRequest(server.endpoint, HttpRequest{}, 15s), HttpClientError);
    BOOST_TEST((std::chrono::steady_clock::now() - start < 2s));
}

// Guards against a cancellation that takes effect only after connecting, when the server or the
// network does not respond.
BOOST_AUTO_TEST_CASE(connecting_can_be_cancelled)
{
    const UnreachableServer server;
    const auto start = std::chrono::steady_clock::now();
    BOOST_CHECK_THROW(sendHttpRequest(server.endpoint, HttpRequest{}, 15s, [] { return true; }),
                      HttpClientError);
    BOOST_TEST((std::chrono::steady_clock::now() - start < 500ms));
}

BOOST_AUTO_TEST_SUITE_END()
