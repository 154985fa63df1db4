#ifndef BRONZESHED_GATEWAY_ZONEROLE_H
#define BRONZESHED_GATEWAY_ZONEROLE_H

#include <string_view>

namespace bronzeshed {

/** How an entry follows the metadata store. */
enum class ZoneRole {
    Undecided, ///< has just started
    Follower, ///< through the relay of its zone
    Relay, ///< directly, and for the other entries of its zone
    Candidate, ///< is to be the relay, but does not reach the store
    Independent, ///< no relay of the zone answers
};

std::string_view roleName(ZoneRole role);

} // namespace bronzeshed

#endif
