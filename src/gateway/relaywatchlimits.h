#ifndef BRONZESHED_GATEWAY_RELAYWATCHLIMITS_H
#define BRONZESHED_GATEWAY_RELAYWATCHLIMITS_H

#include "base/clock.h"

#include <optional>

namespace bronzeshed {

/** Wait and timeout of a watch at a relay. */
struct RelayWatchLimits
{
    std::chrono::milliseconds wait;
    std::chrono::milliseconds timeout; ///< added to the wait
};

/** A watch with this wait only returns the changes since the replica was complete. */
inline constexpr std::chrono::milliseconds ConfirmationWait{1};

/**
 * Leaves one silent relay its whole timeout and the next one a short check, and leaves time to ask
 * the store within the bound for a configuration to become active, 2.5 s at the least. A relay that
 * works confirms its own replica more often.
 */
inline constexpr std::chrono::milliseconds MaxAgeFromRelays{2100};

/**
 * Returns how long the next watch at a relay may last, or nothing if the store is to be asked
 * instead because the relays have not answered for too long.
 *
 * Load pattern: some relays of a zone fall silent at once, while the store would answer. All
 * watches at relays together leave the replica no older than MaxAgeFromRelays.
 * @param age time since the replica was known to be complete, that of the relay included
 * @param storeReachable whether the store can be asked; if not, a relay is checked at any age
 */
std::optional<RelayWatchLimits> nextRelayWatch(Duration age, bool storeReachable);

} // namespace bronzeshed

#endif
