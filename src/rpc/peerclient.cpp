#include "rpc/peerclient.h"

#include "base/logline.h"
#include "rpc/gossiploop.h"

#include <kj/async-unix.h>

namespace bronzeshed {

namespace {

constexpr auto RoundPeriod = 1 * kj::SECONDS;
constexpr auto RestartDelay = std::chrono::seconds(1);

/** Starts a round each period. A round that fails does not prevent later rounds. */
kj::Promise<void> runRounds(GossipLoop &loop, kj::Timer &timer)
{
    try {
        loop.startRound();
    } catch (const std::exception &error) {
        LogLine("gossip_round_failed", LogLevel::Error).add("error", error.what());
    }
    return timer.afterDelay(RoundPeriod).then([&loop, &timer] { return runRounds(loop, timer); });
}

} // namespace

PeerClient::PeerClient(GossipSource &source, Wakeup &updatesWakeup, ControlCounters &counters)
    : source(source)
    , updatesWakeup(updatesWakeup)
    , counters(counters)
    , thread([this] {
        while (!this->stopping.load()) {
            this->run();
        }
    })
{
}

PeerClient::~PeerClient()
{
    this->stop();
}

void PeerClient::stop()
{
    this->stopping.store(true);
    this->updatesWakeup.notify();
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void PeerClient::run()
{
    try {
        auto io = kj::setupAsyncIo();
        kj::UnixEventPort::FdObserver observer(io.unixEventPort, this->updatesWakeup.descriptor(),
                                               kj::UnixEventPort::FdObserver::OBSERVE_READ);
        kj::Timer &timer = io.provider->getTimer();
        GossipLoop loop(io.provider->getNetwork(), timer, this->source, this->counters);
        const auto rounds = runRounds(loop, timer).eagerlyEvaluate(nullptr);
        while (!this->stopping.load()) {
            observer.whenBecomesReadable().wait(io.waitScope);
            this->updatesWakeup.clear();
            loop.pushUpdates();
        }
        return;
    } catch (const kj::Exception &error) {
        LogLine("gossip_failed", LogLevel::Error).add("error", error.getDescription().cStr());
    } catch (const std::exception &error) {
        LogLine("gossip_failed", LogLevel::Error).add("error", error.what());
    }
    std::this_thread::sleep_for(RestartDelay);
}

} // namespace bronzeshed
