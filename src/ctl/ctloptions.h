#ifndef BRONZESHED_CTL_CTLOPTIONS_H
#define BRONZESHED_CTL_CTLOPTIONS_H

#include "base/settings.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace bronzeshed {

/** Parsed command line of bronzeshedctl. */
struct CtlOptions
{
    std::string command;
    std::string argument; ///< file or upstream id; empty if the command takes none
    std::vector<Endpoint> agents; ///< tried in this order
    std::string operatorName;
    std::string token;
    std::chrono::milliseconds wait{0}; ///< how long apply waits for the version to become active
    std::optional<std::uint64_t> baseVersion; ///< the newest version if not given
    std::size_t limit = 100; ///< largest number of audit entries that history prints
    bool json = false;
};

/** Declares the flags of bronzeshedctl. */
Settings makeCtlSettings();

/**
 * Validates the settings and converts them into options.
 * @throws SettingsError with the invalid flag or argument and a remedy
 */
CtlOptions readCtlOptions(const Settings &settings);

} // namespace bronzeshed

#endif
