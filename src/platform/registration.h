#ifndef BRONZESHED_PLATFORM_REGISTRATION_H
#define BRONZESHED_PLATFORM_REGISTRATION_H

#include "membership/controlstate.h"

#include <map>
#include <string_view>

namespace bronzeshed {

/** Maps each availability zone to its region. */
using ZoneRegions = std::map<ZoneName, RegionName>;

/** Prefix of the keys under which upstreams register. */
inline constexpr std::string_view RegistrationPrefix = "servers/";

/**
 * Decodes the registration of an upstream.
 * @param id the part of the key after RegistrationPrefix
 * @throws ProtocolError that names the missing or malformed field
 */
UpstreamInfo parseRegistration(std::string_view id, std::string_view value,
                               const ZoneRegions &regions);

} // namespace bronzeshed

#endif
