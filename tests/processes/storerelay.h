#ifndef BRONZESHED_TESTS_STORERELAY_H
#define BRONZESHED_TESTS_STORERELAY_H

#include "base/filedescriptor.h"
#include "base/settings.h"

#include <atomic>
#include <thread>
#include <vector>

namespace bronzeshed {

/** Forwards connections to a server, and can make the open ones go silent without a reset. */
class StoreRelay
{
public:
    explicit StoreRelay(const Endpoint &target);
    ~StoreRelay();
    StoreRelay(const StoreRelay &) = delete;
    StoreRelay &operator=(const StoreRelay &) = delete;

    const Endpoint &endpoint() const { return this->listening; }

    /** Forwards nothing more on the connections that are open now; new ones work. */
    void silenceOpenConnections();

    /** Connections that are silent and that the client has not closed. */
    std::atomic<unsigned> silent{0};
    /** Connections accepted so far. */
    std::atomic<unsigned> accepted{0};

private:
    struct Link
    {
        FileDescriptor client;
        FileDescriptor server;
        bool silent = false;
    };

    void run();
    void accept();
    bool forward(Link &link, bool fromClient) const;

    Endpoint target;
    Endpoint listening;
    FileDescriptor listener;
    std::vector<Link> links;
    std::atomic<bool> silencing{false};
    std::atomic<bool> stopping{false};
    std::thread thread;
};

} // namespace bronzeshed

#endif
