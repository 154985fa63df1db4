#include "testfleet.h"

#include "http/httpclient.h"

#include <boost/json.hpp>
#include <sstream>
#include <stdexcept>

namespace bronzeshed {

namespace {

constexpr std::chrono::milliseconds RequestTimeout{10000};
const std::string Token = "test-token";

boost::json::object instanceEntry(const std::string &id, const std::string &service,
                                  const Endpoint &endpoint)
{
    return {{"id", id},          {"service", service}, {"region", "puget"},
            {"zone", "puget-a"}, {"state", "live"},    {"address", endpoint.toString()}};
}

boost::json::object parseObject(const HttpResponse &response)
{
    boost::system::error_code error;
    const auto value = boost::json::parse(response.body, error);
    return !error && value.is_object() ? value.get_object() : boost::json::object{};
}

boost::json::array lookupEntries(const Endpoint &entry, const std::string &className)
{
    const auto response = TestFleet::send(
        entry, "GET", "/bronzeshed/lookup?region=puget&zone=puget-a&class=" + className);
    const auto root = parseObject(response);
    const auto *entries = root.if_contains("entries");
    return entries != nullptr && entries->is_array() ? entries->get_array() : boost::json::array{};
}

std::map<std::string, unsigned> readExecutions(const TestUpstream &upstream)
{
    std::map<std::string, unsigned> runs;
    std::istringstream lines(TestFleet::send(upstream.endpoint, "GET", "/executions").body);
    std::string id;
    unsigned count = 0;
    while (lines >> id >> count) {
        runs[id] += count;
    }
    return runs;
}

} // namespace

std::string testDeclaration(unsigned readTargetMs)
{
    return "[service.almanac]\n"
           "[class.reads]\nservice = \"almanac\"\nrepeatable = true\nanswer_within_ms = "
        + std::to_string(readTargetMs)
        + "\n"
          "[class.orders]\nservice = \"almanac\"\nrepeatable = false\nanswer_within_ms = 1000\n";
}

TestFleet::TestFleet(unsigned instanceCount, unsigned upstreamCount)
{
    this->platform = std::make_unique<ChildProcess>("standin-platform", std::vector<std::string>{});
    this->platformEndpoint = this->platform->endpoint();
    for (unsigned i = 0; i < upstreamCount; ++i) {
        TestUpstream upstream;
        upstream.id = "almanac-" + std::to_string(i);
        upstream.process = std::make_unique<ChildProcess>(
            "standin-upstream", std::vector<std::string>{"--id", upstream.id, "--work-us", "2000"});
        upstream.endpoint = upstream.process->endpoint();
        this->upstreams.push_back(std::move(upstream));
    }
    for (unsigned i = 0; i < instanceCount; ++i) {
        this->instances.push_back(this->startInstance("entry-" + std::to_string(i)));
    }
    this->publishInstances();
    const auto applied
        = [this] { return apply(this->instances[0], testDeclaration(), 0, "setup").status == 200; };
    const auto ready = [&] {
        for (const TestInstance &instance : this->instances) {
            const auto named = lookup(instance.callerEndpoint, "reads").size();
            if (named < std::min<std::size_t>(instanceCount, 3)) {
                return false;
            }
        }
        return true;
    };
    if (!waitFor(applied) || !waitFor(ready)) {
        throw std::runtime_error("the fleet is not ready");
    }
}

TestInstance TestFleet::startInstance(const std::string &id,
                                      const std::optional<Endpoint> &store) const
{
    TestInstance instance;
    instance.id = id;
    const std::vector<std::string> place{"--region", "puget",    "--zone",
                                         "puget-a",  "--listen", "127.0.0.1:0"};
    std::vector<std::string> agentFlags{
        "--instance",       id,
        "--operator-token", Token,
        "--store",          store.value_or(this->platformEndpoint).toString(),
        "--instance-list",  this->platformEndpoint.toString()};
    agentFlags.insert(agentFlags.end(), place.begin(), place.end());
    instance.agent = std::make_unique<ChildProcess>("bronzeshed-agent", agentFlags);
    instance.agentEndpoint = instance.agent->endpoint();
    instance.operatorEndpoint = instance.agent->address("operator-listening");
    std::vector<std::string> entryFlags{"--agent", instance.agentEndpoint.toString(), "--drain-ms",
                                        "3000"};
    entryFlags.insert(entryFlags.end(), place.begin(), place.end());
    instance.entry = std::make_unique<ChildProcess>("bronzeshed-entry", entryFlags);
    instance.callerEndpoint = instance.entry->endpoint();
    return instance;
}

HttpResponse TestFleet::send(const Endpoint &endpoint, const std::string &method,
                             const std::string &target, const std::string &body,
                             const HttpHeaders &headers)
{
    HttpRequest request;
    request.method = method;
    request.target = target;
    request.body = body;
    request.headers = headers;
    try {
        return sendHttpRequest(endpoint, request, RequestTimeout);
    } catch (const HttpClientError &) {
        HttpResponse none;
        none.status = 0;
        return none;
    }
}

std::map<std::string, unsigned> TestFleet::executions() const
{
    std::map<std::string, unsigned> all;
    for (const TestUpstream &upstream : this->upstreams) {
        for (const auto &[id, count] : readExecutions(upstream)) {
            all[id] += count;
        }
    }
    return all;
}

unsigned TestFleet::executionsAt(const TestUpstream &upstream)
{
    unsigned total = 0;
    for (const auto &[id, count] : readExecutions(upstream)) {
        total += count;
    }
    return total;
}

std::vector<Endpoint> TestFleet::lookup(const Endpoint &entry, const std::string &className)
{
    std::vector<Endpoint> endpoints;
    for (const auto &item : lookupEntries(entry, className)) {
        const std::string address(item.at("address").as_string());
        endpoints.push_back(parseEndpoint(address, "lookup answer"));
    }
    return endpoints;
}

std::string TestFleet::newRequestId(const Endpoint &entry, const std::string &className)
{
    const auto entries = lookupEntries(entry, className);
    const std::string ticket(entries.at(0).at("ticket").as_string());
    const std::string number = std::to_string(++this->lastNonce);
    return ticket + "-" + std::string(16 - number.size(), '0') + number;
}

std::uint64_t TestFleet::versionInForce(const Endpoint &entry)
{
    const auto root = parseObject(send(entry, "GET", "/bronzeshed/lookup?class=reads"));
    const auto *version = root.if_contains("config_version");
    return version != nullptr && version->is_int64()
        ? static_cast<std::uint64_t>(version->get_int64())
        : 0;
}

HttpResponse TestFleet::apply(const TestInstance &instance, const std::string &declaration,
                              std::uint64_t baseVersion, const std::string &operatorName)
{
    HttpHeaders headers;
    headers.add("Base-Version", std::to_string(baseVersion));
    headers.add("Operator", operatorName);
    headers.add("Authorization", "Bearer " + Token);
    return send(instance.operatorEndpoint, "PUT", "/v1/declaration", declaration, headers);
}

HttpResponse TestFleet::markLeaving(const TestInstance &instance, const std::string &upstream)
{
    HttpHeaders headers;
    headers.add("Operator", "tester");
    headers.add("Authorization", "Bearer " + Token);
    return send(instance.operatorEndpoint, "POST", "/v1/leave?upstream=" + upstream, "", headers);
}

void TestFleet::setStoreFault(const std::string &mode) const
{
    send(this->platformEndpoint, "PUT", "/control/fault?part=store", mode);
}

void TestFleet::publishInstances() const
{
    boost::json::array list;
    for (const TestUpstream &upstream : this->upstreams) {
        list.push_back(instanceEntry(upstream.id, "almanac", upstream.endpoint));
    }
    for (const TestInstance &instance : this->instances) {
        list.push_back(instanceEntry(instance.id, "bronzeshed", instance.agentEndpoint));
    }
    send(this->platformEndpoint, "PUT", "/control/instances", boost::json::serialize(list));
}

} // namespace bronzeshed
