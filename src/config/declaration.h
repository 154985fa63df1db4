#ifndef BRONZESHED_CONFIG_DECLARATION_H
#define BRONZESHED_CONFIG_DECLARATION_H

#include "base/clock.h"
#include "base/strongid.h"
#include "config/routetable.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bronzeshed {

/** One service of a class that is divided among several. */
struct WeightedService
{
    ServiceName service;
    double weight = 0; ///< relative to the other services of the class

    bool operator==(const WeightedService &) const = default;
};

/** A class of work and its target. */
struct ClassTarget
{
    ClassName name;
    ServiceName service;
    std::chrono::milliseconds answerWithin{0}; ///< how late an answer may be
    double share = 0.99; ///< share of answers that must be within answerWithin
    bool repeatable = false; ///< whether a request may be run more than once
    std::chrono::milliseconds deadline{0}; ///< when a request is given up
    unsigned maxAttempts = 3; ///< upstreams to which one request may be sent
    unsigned priority = 0; ///< rank among the classes of a service; 0 is the highest
    std::vector<WeightedService> split; ///< if not empty, takes the place of service
};

/** What measuring may cost. */
struct MeasuringBudget
{
    double serverTimeShare = 0.01; ///< share of each upstream's slot time for probes
    std::uint64_t bytesPerSecond = 2000; ///< bytes of probes and reports per entry
};

/** What callers may send, and how long they may take. */
struct CallerLimits
{
    std::size_t headerBytes = 16UL * 1024;
    std::size_t bodyBytes = 1024UL * 1024;
    std::chrono::milliseconds headerTimeout{5000};
    std::chrono::milliseconds idleTimeout{60000};

    bool operator==(const CallerLimits &) const = default;
};

/** What the operators state about the upstreams of a service. */
struct ServiceTraits
{
    std::string healthPath = "/health";
};

/** The operators' declaration. */
struct Declaration
{
    MeasuringBudget measuring;
    std::set<ServiceName> services;
    std::map<ClassName, ClassTarget> classes;
    RouteTable routes; ///< empty where callers name the class themselves
    std::map<ServiceName, ServiceTraits> traits;
    CallerLimits callerLimits;
};

/**
 * Parses and checks a declaration in TOML.
 * @throws DeclarationError naming line, key and remedy
 */
Declaration parseDeclaration(std::string_view text);

} // namespace bronzeshed

#endif
