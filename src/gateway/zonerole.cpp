#include "gateway/zonerole.h"

namespace bronzeshed {

std::string_view roleName(ZoneRole role)
{
    switch (role) {
    case ZoneRole::Undecided:
        return "undecided";
    case ZoneRole::Follower:
        return "follower";
    case ZoneRole::Relay:
        return "relay";
    case ZoneRole::Candidate:
        return "candidate";
    case ZoneRole::Independent:
        return "independent";
    }
    return "unknown";
}

} // namespace bronzeshed
