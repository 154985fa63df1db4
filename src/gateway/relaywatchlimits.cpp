#include "gateway/relaywatchlimits.h"

namespace bronzeshed {

namespace {

/** A short wait, so that a stopped relay is detected soon. */
constexpr std::chrono::milliseconds RelayWait{700};
constexpr std::chrono::milliseconds RelayTimeout{600};
/** A relay ends waits up to a quarter of a second late, so a shorter one saves no call. */
constexpr std::chrono::milliseconds MinRelayWait{50};
/** With less time left, a relay on a busy instance could not answer. */
constexpr std::chrono::milliseconds MinRelayTimeout{100};
/** Time that a whole watch leaves for a check of the next relay. */
constexpr std::chrono::milliseconds NextRelayTime{250};

} // namespace

std::optional<RelayWatchLimits> nextRelayWatch(Duration age, bool storeReachable)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(MaxAgeFromRelays - age);
    const auto wait = std::min(RelayWait, left - RelayTimeout - NextRelayTime);
    if (wait >= MinRelayWait) {
        return RelayWatchLimits{wait, RelayTimeout};
    }
    if (!storeReachable) {
        return RelayWatchLimits{ConfirmationWait, RelayTimeout};
    }
    if (left < MinRelayTimeout + ConfirmationWait) {
        return std::nullopt;
    }
    return RelayWatchLimits{ConfirmationWait, std::min(RelayTimeout, left - ConfirmationWait)};
}

} // namespace bronzeshed
