#include "base/error.h"
#include "base/program.h"
#include "model/modelrun.h"
#include "model/modeltable.h"

#include <iostream>
#include <limits>

namespace bronzeshed {

namespace {

constexpr double Percent = 100;
constexpr double IdealQuantile = 0.99;

ModelOptions readOptions(const Settings &settings)
{
    ModelOptions options;
    options.seed = settings.number("seed", 0, std::numeric_limits<std::uint32_t>::max());
    options.servers = static_cast<unsigned>(settings.number("servers", 2, 1000));
    options.entries = static_cast<unsigned>(settings.number("entries", 1, 100));
    options.duration = std::chrono::seconds(settings.number("seconds", 1, 3600));
    options.oneWay = std::chrono::microseconds(settings.number("one-way-us", 0, 100000));
    options.redrawWork = settings.isOn("redraw-work");
    const std::string &scenario = settings.text("scenario");
    if (scenario != "steady" && scenario != "faults") {
        throw SettingsError("flag --scenario: unknown scenario '" + scenario + "'",
                            "use steady or faults");
    }
    options.scenario = scenario == "faults" ? Scenario::Faults : Scenario::Steady;
    return options;
}

int runSweep(const Settings &settings)
{
    ModelOptions options = readOptions(settings);
    const auto last = settings.number("load-to", 1, 200);
    printTableHead(std::cout);
    for (auto load = settings.number("load-from", 1, 200); load <= last;
         load += settings.number("load-step", 1, 200)) {
        options.load = static_cast<double>(load) / Percent;
        Duration ideal = Duration::zero();
        for (const ModelPolicy &policy : modelPolicies()) {
            const ModelResult result = runModel(options, policy);
            if (policy.make == nullptr) {
                ideal = result.quantile(IdealQuantile);
            }
            printTableRow(std::cout, options.load, policy.name, result, ideal);
        }
    }
    return 0;
}

} // namespace

} // namespace bronzeshed

int main(int argc, char **argv)
{
    using namespace bronzeshed;
    Settings settings("bronzeshed-model",
                      "Compares routing policies in virtual time. Prints a Markdown table.",
                      {{"seed", "1", "seed of all random numbers"},
                       {"servers", "20", "servers of the service"},
                       {"entries", "18", "entries with free choice"},
                       {"seconds", "20", "virtual seconds per run"},
                       {"one-way-us", "250", "delay between entry and server in microseconds"},
                       {"load-from", "30", "first load in percent of the mean capacity"},
                       {"load-to", "120", "last load in percent"},
                       {"load-step", "10", "step of the load in percent"},
                       {"scenario", "steady", "steady or faults"},
                       {"redraw-work", "", "draw the work anew for each attempt", false, true}});
    return runProgram(
        argc, argv, settings, [](const Settings &given) { readOptions(given); }, runSweep);
}
