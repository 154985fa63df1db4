#include "membershipprocesses.h"

#include "http/httpclient.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

namespace bronzeshed {

namespace {

constexpr std::chrono::milliseconds RequestTimeout{2000};

const char *const Declaration = R"([measuring]
server_time_share = 0.01
bytes_per_second = 2000

[service.almanac]

[class.reads]
service = "almanac"
answer_within_ms = 50
share = 0.99
repeatable = true
)";

void put(const Endpoint &platform, const std::string &target, const std::string &body,
         std::int64_t revision)
{
    HttpRequest request;
    request.method = "PUT";
    request.target = target;
    request.body = body;
    request.headers.add("If-Revision", std::to_string(revision));
    BOOST_REQUIRE(sendHttpRequest(platform, request, RequestTimeout).status == 200);
}

/** A lookup answer; null if the entry refuses. */
boost::json::value requestLookup(const Endpoint &entry, const std::string &region)
{
    HttpRequest request;
    request.target = "/bronzeshed/lookup?class=reads&region=" + region;
    const auto response = sendHttpRequest(entry, request, RequestTimeout);
    return response.status == 200 ? boost::json::parse(response.body) : boost::json::value();
}

} // namespace

std::set<std::string> MemberInstance::lookup() const
{
    std::set<std::string> addresses;
    for (const char *region : {"a", "b", "c", "d", "e", "f"}) {
        const auto answer = requestLookup(this->entry->endpoint(), region);
        if (answer.is_null()) {
            return {};
        }
        for (const auto &item : answer.at("entries").as_array()) {
            addresses.insert(std::string(item.at("address").as_string()));
        }
    }
    return addresses;
}

std::int64_t MemberInstance::configVersion() const
{
    const auto answer = requestLookup(this->entry->endpoint(), "a");
    return answer.is_null() ? 0 : answer.at("config_version").as_int64();
}

MembershipDeployment::MembershipDeployment()
    : store("standin-platform", {"--listen=127.0.0.1:0"})
    , list("standin-platform", {"--listen=127.0.0.1:0"})
{
    this->putVersion(1);
}

void MembershipDeployment::putVersion(std::int64_t version) const
{
    const boost::json::object record{{"version", version},
                                     {"declaration", Declaration},
                                     {"write_id", "w" + std::to_string(version)},
                                     {"leave_marks", boost::json::array()},
                                     {"audit", boost::json::array()}};
    put(this->store.endpoint(), "/kv/bronzeshed/config", boost::json::serialize(record),
        version - 1);
}

void MembershipDeployment::startInstance(const std::string &region)
{
    MemberInstance instance;
    instance.agent = std::make_unique<ChildProcess>(
        "bronzeshed-agent",
        std::vector<std::string>{"--instance=" + region, "--region=" + region, "--zone=z",
                                 "--listen=127.0.0.1:0",
                                 "--store=" + this->store.endpoint().toString(),
                                 "--instance-list=" + this->list.endpoint().toString()});
    instance.entry = std::make_unique<ChildProcess>(
        "bronzeshed-entry",
        std::vector<std::string>{"--region=" + region, "--zone=z", "--listen=127.0.0.1:0",
                                 // Longer than any wait, so that no test mistakes the end of a
                                 // draining entry for its leaving.
                                 "--drain-ms=600000",
                                 "--agent=" + instance.agent->endpoint().toString()});
    this->instances.push_back(std::move(instance));
}

void MembershipDeployment::publishSeed(const Endpoint &agent) const
{
    const boost::json::array seeds{{{"id", "seed"},
                                    {"service", "bronzeshed"},
                                    {"region", "a"},
                                    {"zone", "z"},
                                    {"address", agent.toString()},
                                    {"state", "live"}}};
    put(this->list.endpoint(), "/control/instances", boost::json::serialize(seeds), 0);
}

} // namespace bronzeshed
