#ifndef BRONZESHED_PLATFORM_REGISTRATION_H
#define BRONZESHED_PLATFORM_REGISTRATION_H

#include "membership/controlstate.h"

#include <map>
#include <string_view>

namespace bronzeshed {

/** Regions of the availability zones. */
using ZoneRegions = std::map<ZoneName, RegionName>;

/** Prefix of the keys under which upstreams register. */
inline constexpr std::string_view RegistrationPrefix = "servers/";

/**
 * Decodes the registration of an upstream.
 * @param id the part of the key after RegistrationPrefix
 * @throws ProtocolError naming what is missing or malformed
 */
UpstreamInfo parseRegistration(std::string_view id, std::string_view value,
                               const ZoneRegions &regions);

} // namespace bronzeshed

#endif
