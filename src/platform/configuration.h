#ifndef BRONZESHED_PLATFORM_CONFIGURATION_H
#define BRONZESHED_PLATFORM_CONFIGURATION_H

#include "base/strongnumber.h"
#include "config/declaration.h"

#include <string_view>

namespace bronzeshed {

/** Key of the operators' configuration. */
inline constexpr std::string_view ConfigurationKey = "op/config";

/** A declaration with its version. */
struct VersionedDeclaration
{
    ConfigVersion version;
    Declaration declaration;
};

/**
 * Decodes the operators' configuration; each route becomes a class of work.
 * @throws DeclarationError naming what is missing or malformed
 */
VersionedDeclaration parseConfiguration(std::string_view value);

} // namespace bronzeshed

#endif
