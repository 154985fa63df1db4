#include "replay/tracegenerator.h"

#include <algorithm>
#include <cmath>

namespace bronzeshed {

namespace {

constexpr double QuietSeconds = 0.190;
constexpr double BurstSeconds = 0.010;
/** Bursts cover 5 % of the time and contain about half of the calls. */
constexpr double BurstRateFactor = 10.0;
constexpr double QuietRateFactor = 10.0 / 19.0;

double drawExponential(Random &random, double mean)
{
    return -std::log(1.0 - random.uniform()) * mean;
}

/** Generates the arrival times of the calls of one class in one zone. */
class ArrivalProcess
{
public:
    ArrivalProcess(double rate, Random &random)
        : rate(rate)
        , random(random)
        , phaseEnd(drawExponential(random, QuietSeconds))
    {
    }

    /** Returns the time of the next arrival in seconds since the start of the trace. */
    double next()
    {
        while (true) {
            const double factor = this->burst ? BurstRateFactor : QuietRateFactor;
            const double arrival = this->now + drawExponential(this->random, 1.0 / factor / rate);
            if (arrival < this->phaseEnd) {
                this->now = arrival;
                return arrival;
            }
            // The exponential distribution is memoryless, so a new gap can be drawn from the end of
            // the phase.
            this->now = this->phaseEnd;
            this->burst = !this->burst;
            this->phaseEnd
                += drawExponential(this->random, this->burst ? BurstSeconds : QuietSeconds);
        }
    }

private:
    double rate;
    Random &random;
    bool burst = false;
    double now = 0.0;
    double phaseEnd;
};

std::size_t drawBodyBytes(Random &random, std::size_t mean)
{
    constexpr double MaxFactor = 8.0;
    const double factor = std::min(drawExponential(random, 1.0), MaxFactor);
    return static_cast<std::size_t>(factor * static_cast<double>(mean));
}

void addCalls(const TraceProfile &profile, const ClassLoad &load, const RegionName &region,
              const ZoneName &zone, Random &random, std::vector<TraceCall> &calls)
{
    const auto zones = static_cast<double>(profile.regions.size() * 2);
    ArrivalProcess arrivals(profile.callsPerSecond * load.share / zones, random);
    const auto end = static_cast<double>(profile.length.count());
    for (double time = arrivals.next(); time < end; time = arrivals.next()) {
        TraceCall call;
        call.time = std::chrono::microseconds(static_cast<std::int64_t>(time * 1e6));
        call.className = load.className;
        call.region = region;
        call.zone = zone;
        call.method = load.method;
        call.path = load.path;
        call.bodyBytes = drawBodyBytes(random, load.meanBodyBytes);
        calls.push_back(std::move(call));
    }
}

} // namespace

TraceProfile makeTraceProfile(const std::string &name)
{
    TraceProfile profile;
    if (name == "tidemark") {
        profile.classes = {{ClassName("schedule-reads"), "GET", "/schedule", 0.8, 0},
                           {ClassName("handovers"), "POST", "/handover", 0.1, 300},
                           {ClassName("notices"), "POST", "/notice", 0.1, 800}};
        profile.regions = {RegionName("puget"), RegionName("columbia"), RegionName("okanagan")};
        profile.callsPerSecond = 500.0;
        return profile;
    }
    if (name == "groyne") {
        profile.classes = {{ClassName("log-reads"), "GET", "/log", 0.7, 0},
                           {ClassName("completions"), "POST", "/completion", 0.2, 500},
                           {ClassName("orders"), "POST", "/order", 0.1, 300}};
        profile.regions = {RegionName("western"), RegionName("southern"), RegionName("eastern")};
        profile.callsPerSecond = 300.0;
        return profile;
    }
    throw SettingsError("there is no trace profile '" + name + "'", "use tidemark or groyne");
}

std::vector<TraceCall> generateTrace(const TraceProfile &profile, Random &random)
{
    std::vector<TraceCall> calls;
    for (const ClassLoad &load : profile.classes) {
        for (const RegionName &region : profile.regions) {
            for (const char *suffix : {"-a", "-b"}) {
                const ZoneName zone(region.value() + suffix);
                addCalls(profile, load, region, zone, random, calls);
            }
        }
    }
    std::stable_sort(calls.begin(), calls.end(), [](const TraceCall &left, const TraceCall &right) {
        return left.time < right.time;
    });
    return calls;
}

} // namespace bronzeshed
