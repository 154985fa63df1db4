#ifndef BRONZESHED_PLATFORM_INSTANCELIST_H
#define BRONZESHED_PLATFORM_INSTANCELIST_H

#include "membership/controlstate.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace bronzeshed {

/** The platform's list of instances, as of one revision. */
struct InstanceSnapshot
{
    std::uint64_t revision = 0;
    std::vector<UpstreamInfo> upstreams;
    std::vector<Endpoint> agents; ///< agents of bronzeshed's own instances
};

/** Port to the platform's instance list. Calls block. */
class InstanceList
{
public:
    virtual ~InstanceList() = default;
    /**
     * Fetches the list.
     * @return nothing if it is unchanged since @p knownRevision
     * @throws UnavailableError if the list does not answer
     * @throws ProtocolError if the list is malformed
     */
    virtual std::optional<InstanceSnapshot> fetch(std::uint64_t knownRevision) = 0;
};

/** Service name under which bronzeshed's own instances are listed. */
inline const ServiceName OwnServiceName{std::string("bronzeshed")};

/**
 * Parses the list's JSON: an array of {id, service, region, zone, address, state}.
 * @throws ProtocolError naming the malformed field
 */
InstanceSnapshot parseInstanceList(const std::string &json, std::uint64_t revision);

} // namespace bronzeshed

#endif
