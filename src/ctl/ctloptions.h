#ifndef BRONZESHED_CTL_CTLOPTIONS_H
#define BRONZESHED_CTL_CTLOPTIONS_H

#include "base/settings.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace bronzeshed {

/** What the operator asks for. */
struct CtlOptions
{
    std::string command;
    std::string argument; ///< file or upstream id; empty if the command takes none
    std::vector<Endpoint> agents; ///< tried in this order
    std::string operatorName;
    std::string token;
    std::chrono::milliseconds wait{0}; ///< how long apply waits for the version to be in force
    std::optional<std::uint64_t> baseVersion;
    std::size_t limit = 100; ///< most audit entries that history prints
    bool json = false;
};

/** Settings of bronzeshedctl. */
Settings makeCtlSettings();

/** @throws SettingsError naming the flag or argument and the remedy */
CtlOptions readCtlOptions(const Settings &settings);

} // namespace bronzeshed

#endif
