#include "storerelay.h"

#include <arpa/inet.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>

namespace bronzeshed {

namespace {

constexpr int PollMs = 20;

sockaddr_in addressOf(const Endpoint &endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    ::inet_pton(AF_INET, endpoint.host.c_str(), &address.sin_addr);
    return address;
}

FileDescriptor makeSocket()
{
    return FileDescriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
}

} // namespace

StoreRelay::StoreRelay(const Endpoint &target)
    : target(target)
    , listener(makeSocket())
{
    sockaddr_in address = addressOf({"127.0.0.1", 0});
    socklen_t size = sizeof address;
    auto *generic = reinterpret_cast<sockaddr *>(&address);
    if (::bind(this->listener.get(), generic, size) != 0 || ::listen(this->listener.get(), 64) != 0
        || ::getsockname(this->listener.get(), generic, &size) != 0) {
        throw std::runtime_error("the relay cannot listen");
    }
    this->listening = {"127.0.0.1", ntohs(address.sin_port)};
    this->thread = std::thread([this] { this->run(); });
}

StoreRelay::~StoreRelay()
{
    this->stopping = true;
    this->thread.join();
}

void StoreRelay::silenceOpenConnections()
{
    this->silencing = true;
    while (this->silencing) {
        std::this_thread::sleep_for(std::chrono::milliseconds(PollMs));
    }
}

void StoreRelay::run()
{
    while (!this->stopping) {
        std::vector<pollfd> polled{{this->listener.get(), POLLIN, 0}};
        for (const Link &link : this->links) {
            polled.push_back({link.client.get(), POLLIN, 0});
            polled.push_back({link.silent ? -1 : link.server.get(), POLLIN, 0});
        }
        ::poll(polled.data(), polled.size(), PollMs);
        if (this->silencing) {
            for (Link &link : this->links) {
                this->silent += link.silent ? 0U : 1U;
                link.silent = true;
            }
            this->silencing = false;
            continue;
        }
        std::vector<Link> open;
        for (std::size_t i = 0; i < this->links.size(); ++i) {
            Link &link = this->links[i];
            const bool up = polled[2 * i + 1].revents == 0 || this->forward(link, true);
            const bool down = polled[2 * i + 2].revents == 0 || this->forward(link, false);
            if (up && down) {
                open.push_back(std::move(link));
            } else {
                this->silent -= link.silent ? 1U : 0U;
            }
        }
        this->links = std::move(open);
        if (polled[0].revents != 0) {
            this->accept();
        }
    }
}

void StoreRelay::accept()
{
    Link link{FileDescriptor(::accept(this->listener.get(), nullptr, nullptr)), makeSocket()};
    const sockaddr_in address = addressOf(this->target);
    if (::connect(link.server.get(), reinterpret_cast<const sockaddr *>(&address), sizeof address)
        == 0) {
        ++this->accepted;
        this->links.push_back(std::move(link));
    }
}

/** Returns false at the end of the connection. */
bool StoreRelay::forward(Link &link, bool fromClient) const
{
    char chunk[16384];
    const int from = (fromClient ? link.client : link.server).get();
    const auto size = ::recv(from, chunk, sizeof chunk, 0);
    if (size <= 0 || link.silent) {
        return size > 0;
    }
    const int to = (fromClient ? link.server : link.client).get();
    return ::send(to, chunk, static_cast<std::size_t>(size), MSG_NOSIGNAL) == size;
}

} // namespace bronzeshed
