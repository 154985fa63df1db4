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

/** A service that takes a weighted share of the calls of a class. */
struct WeightedService
{
    ServiceName service;
    double weight = 0; ///< relative to the other services of the class

    bool operator==(const WeightedService &) const = default;
};

/** A class of calls with its service, its latency target and its limits. */
struct ClassTarget
{
    ClassName name;
    ServiceName service;
    std::chrono::milliseconds answerWithin{0}; ///< target response time
    double share = 0.99; ///< share of calls that must be answered within answerWithin
    bool repeatable = false; ///< whether a request may be run more than once
    std::chrono::milliseconds deadline{0}; ///< time after which a call ends without an answer
    unsigned maxAttempts = 3; ///< number of upstreams to which one request may be sent
    unsigned priority = 0; ///< rank among the classes of a service; 0 is the highest
    std::vector<WeightedService> split; ///< if not empty, used instead of service
};

/** Limits of the load that probes and reports cause. */
struct MeasuringBudget
{
    double serverTimeShare = 0.01; ///< share of each upstream's slot time that probes may use
    std::uint64_t bytesPerSecond = 2000; ///< rate of probes and reports per entry
};

/** Size and time limits of callers' requests. */
struct CallerLimits
{
    std::size_t headerBytes = 16UL * 1024;
    std::size_t bodyBytes = 1024UL * 1024;
    std::chrono::milliseconds headerTimeout{5000};
    std::chrono::milliseconds idleTimeout{60000};

    bool operator==(const CallerLimits &) const = default;
};

/** Settings of a service's upstreams. */
struct ServiceSettings
{
    std::string healthPath = "/health";
};

/** The configuration that operators apply. */
struct Declaration
{
    MeasuringBudget measuring;
    std::set<ServiceName> services;
    std::map<ClassName, ClassTarget> classes;
    RouteTable routes; ///< empty if callers send the class in a header
    std::map<ServiceName, ServiceSettings> serviceSettings;
    CallerLimits callerLimits;
};

/**
 * Parses and validates a declaration in TOML.
 * @throws DeclarationError with the line, the key and a remedy
 */
Declaration parseDeclaration(std::string_view text);

} // namespace bronzeshed

#endif
