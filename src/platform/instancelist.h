#ifndef BRONZESHED_PLATFORM_INSTANCELIST_H
#define BRONZESHED_PLATFORM_INSTANCELIST_H

#include "membership/controlstate.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace bronzeshed {

/** The platform's list of instances at one revision. */
struct InstanceSnapshot
{
    std::uint64_t revision = 0;
    std::vector<UpstreamInfo> upstreams;
    std::vector<Endpoint> agents; ///< agents on the instances of bronzeshed itself
};

/** Port to the platform's instance list. Calls block. */
class InstanceList
{
public:
    virtual ~InstanceList() = default;
    /**
     * Fetches the list.
     * @return std::nullopt if the list has not changed since @p lastRevision
     * @throws UnavailableError if the platform does not respond
     * @throws ProtocolError if the list is malformed
     */
    virtual std::optional<InstanceSnapshot> fetch(std::uint64_t lastRevision) = 0;
};

/** Service name under which the platform lists the instances of bronzeshed itself. */
inline const ServiceName OwnServiceName{std::string("bronzeshed")};

/**
 * Parses the list's JSON: an array of {id, service, region, zone, address, state}.
 * @throws ProtocolError that names the missing or malformed field
 */
InstanceSnapshot parseInstanceList(const std::string &json, std::uint64_t revision);

} // namespace bronzeshed

#endif
