#ifndef BRONZESHED_PLATFORM_CONFIGURATION_H
#define BRONZESHED_PLATFORM_CONFIGURATION_H

#include "base/strongnumber.h"
#include "config/declaration.h"

#include <string_view>

namespace bronzeshed {

/** Store key of the operators' configuration. */
inline constexpr std::string_view ConfigurationKey = "op/config";

/** A declaration and the version of the configuration that it was decoded from. */
struct VersionedDeclaration
{
    ConfigVersion version;
    Declaration declaration;
};

/**
 * Decodes the operators' configuration. Each route becomes a class of calls.
 * @throws DeclarationError that names the missing or malformed field
 */
VersionedDeclaration parseConfiguration(std::string_view value);

} // namespace bronzeshed

#endif
