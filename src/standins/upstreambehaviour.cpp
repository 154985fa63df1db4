#include "standins/upstreambehaviour.h"

#include <cmath>

namespace bronzeshed {

namespace {

constexpr double SlowFactor = 3.0;
/** Mean lengths of the phases of a noisy neighbour; it disturbs a tenth of the time. */
constexpr std::chrono::milliseconds QuietPhase{1800};
constexpr std::chrono::milliseconds DisturbedPhase{200};

Duration drawExponential(Random &random, Duration mean)
{
    const double factor = -std::log(1.0 - random.uniform());
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(mean) * factor);
}

} // namespace

std::optional<UpstreamMode> parseUpstreamMode(const std::string &name)
{
    constexpr std::pair<const char *, UpstreamMode> Names[]
        = {{"normal", UpstreamMode::Normal},      {"draining", UpstreamMode::Draining},
           {"shed", UpstreamMode::Shed},          {"slow", UpstreamMode::Slow},
           {"fail-fast", UpstreamMode::FailFast}, {"cold", UpstreamMode::Cold}};
    for (const auto &[known, mode] : Names) {
        if (name == known) {
            return mode;
        }
    }
    return std::nullopt;
}

UpstreamBehaviour::UpstreamBehaviour(const UpstreamOptions &options, TimePoint start,
                                     Random &random)
    : meanWork(options.meanWork)
    , noisy(options.noisy)
    , random(random)
    , phaseEnd(start)
{
    if (options.coldStart > Duration::zero()) {
        this->setMode(start, UpstreamMode::Cold, options.coldStart);
    }
}

void UpstreamBehaviour::setMode(TimePoint now, UpstreamMode mode, Duration duration)
{
    this->current = mode;
    this->modeEnd.reset();
    if (duration > Duration::zero()) {
        this->modeEnd = now + duration;
    }
}

UpstreamMode UpstreamBehaviour::mode(TimePoint now) const
{
    const bool over = this->modeEnd && now >= *this->modeEnd;
    return over ? UpstreamMode::Normal : this->current;
}

bool UpstreamBehaviour::isDisturbed(TimePoint now)
{
    while (this->noisy && this->phaseEnd <= now) {
        this->disturbed = !this->disturbed;
        this->phaseEnd
            += drawExponential(this->random, this->disturbed ? DisturbedPhase : QuietPhase);
    }
    return this->disturbed;
}

Duration UpstreamBehaviour::drawWork(TimePoint now)
{
    const UpstreamMode mode = this->mode(now);
    const bool slow
        = mode == UpstreamMode::Slow || mode == UpstreamMode::Cold || this->isDisturbed(now);
    const Duration mean
        = std::chrono::duration_cast<Duration>(this->meanWork * (slow ? SlowFactor : 1.0));
    return drawExponential(this->random, mean);
}

} // namespace bronzeshed
