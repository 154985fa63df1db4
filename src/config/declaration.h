#ifndef BRONZESHED_CONFIG_DECLARATION_H
#define BRONZESHED_CONFIG_DECLARATION_H

#include "base/clock.h"
#include "base/strongid.h"

#include <cstdint>
#include <map>
#include <set>
#include <string_view>

namespace bronzeshed {

/** A class of work and its target. */
struct ClassTarget
{
    ClassName name;
    ServiceName service;
    std::chrono::milliseconds answerWithin{0}; ///< how late an answer may be
    double share = 0.99; ///< share of answers that must be within answerWithin
    bool repeatable = false; ///< whether a request may be run more than once
    std::chrono::milliseconds deadline{0}; ///< when a request is given up
};

/** What measuring may cost. */
struct MeasuringBudget
{
    double serverTimeShare = 0.01; ///< share of each upstream's slot time for probes
    std::uint64_t bytesPerSecond = 2000; ///< bytes of probes and reports per entry
};

/** The operators' declaration. */
struct Declaration
{
    MeasuringBudget measuring;
    std::set<ServiceName> services;
    std::map<ClassName, ClassTarget> classes;
};

/**
 * Parses and checks a declaration in TOML.
 * @throws DeclarationError naming line, key and remedy
 */
Declaration parseDeclaration(std::string_view text);

} // namespace bronzeshed

#endif
