#include "rpc/listener.h"

#include "base/error.h"

namespace bronzeshed {

kj::Own<kj::ConnectionReceiver> bindListener(kj::AsyncIoContext &io, const Endpoint &endpoint,
                                             std::promise<std::uint16_t> &ready)
{
    try {
        auto address = io.provider->getNetwork().parseAddress(endpoint.host, endpoint.port);
        auto listener = address.wait(io.waitScope)->listen();
        ready.set_value(static_cast<std::uint16_t>(listener->getPort()));
        return listener;
    } catch (const kj::Exception &error) {
        ready.set_exception(std::make_exception_ptr(
            Error("cannot listen on " + endpoint.toString() + ": " + error.getDescription().cStr(),
                  "choose a free address and port of this instance")));
        return {};
    }
}

std::uint16_t startServer(std::thread &thread,
                          const std::function<void(std::promise<std::uint16_t> &)> &run)
{
    std::promise<std::uint16_t> ready;
    auto port = ready.get_future();
    thread = std::thread([run, &ready] { run(ready); });
    try {
        return port.get();
    } catch (const Error &) {
        thread.join();
        throw;
    }
}

} // namespace bronzeshed
