#ifndef BRONZESHED_STANDINS_UPSTREAMBEHAVIOUR_H
#define BRONZESHED_STANDINS_UPSTREAMBEHAVIOUR_H

#include "base/clock.h"
#include "base/random.h"

#include <optional>
#include <string>

namespace bronzeshed {

/** What an upstream stand-in does with new work. */
enum class UpstreamMode {
    Normal,
    Draining, ///< refuses new work and says that it is leaving
    Shed, ///< refuses new work
    FailFast, ///< answers 500 at once
    Slow, ///< works at a third of its speed
    Cold, ///< works at a third of its speed, as after a start
};

/** @return nothing if @p name is no mode */
std::optional<UpstreamMode> parseUpstreamMode(const std::string &name);

/** How an upstream stand-in behaves. */
struct UpstreamOptions
{
    std::string id = "upstream";
    unsigned slots = 2;
    std::chrono::microseconds meanWork{5000};
    std::size_t maxQueue = 16;
    std::chrono::microseconds latency{0}; ///< one way
    std::chrono::microseconds connectLatency{0}; ///< added to the first request of a connection
    std::chrono::milliseconds reportLag{0}; ///< age of what /health and /load show
    std::chrono::milliseconds coldStart{0};
    bool noisy = false; ///< slow at random times
};

/** Decides the mode of an upstream stand-in and how long a piece of work takes. */
class UpstreamBehaviour
{
public:
    UpstreamBehaviour(const UpstreamOptions &options, TimePoint start, Random &random);

    /** Sets the mode until @p duration has passed; zero means until the next change. */
    void setMode(TimePoint now, UpstreamMode mode, Duration duration);
    UpstreamMode mode(TimePoint now) const;
    /** Draws the time that work started now takes. */
    Duration drawWork(TimePoint now);

private:
    bool isDisturbed(TimePoint now);

    Duration meanWork;
    bool noisy;
    Random &random;
    UpstreamMode current = UpstreamMode::Normal;
    std::optional<TimePoint> modeEnd;
    bool disturbed = false; ///< by a noisy neighbour
    TimePoint phaseEnd;
};

} // namespace bronzeshed

#endif
