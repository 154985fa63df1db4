#include "platform/instancelist.h"

#include "base/error.h"

#include <boost/json.hpp>

namespace bronzeshed {

namespace {

const std::string Remedy = "check the platform's instance list";

std::string readString(const boost::json::object &object, const char *key)
{
    const auto *value = object.if_contains(key);
    if (value == nullptr || !value->is_string()) {
        throw ProtocolError(
            std::string("the instance list has an entry without string '") + key + "'", Remedy);
    }
    return std::string(value->get_string());
}

} // namespace

InstanceSnapshot parseInstanceList(const std::string &json, std::uint64_t revision)
{
    boost::system::error_code error;
    const auto root = boost::json::parse(json, error);
    if (error || !root.is_array()) {
        throw ProtocolError("the instance list is not a JSON array", Remedy);
    }
    InstanceSnapshot snapshot;
    snapshot.revision = revision;
    for (const auto &item : root.get_array()) {
        if (!item.is_object()) {
            throw ProtocolError("the instance list has an entry that is not an object", Remedy);
        }
        const auto &object = item.get_object();
        const std::string state = readString(object, "state");
        if (state != "live" && state != "leaving") {
            throw ProtocolError("the instance list has an entry with unknown state '" + state + "'",
                                Remedy);
        }
        const Endpoint endpoint = parseEndpoint(readString(object, "address"), "instance list");
        const ServiceName service(readString(object, "service"));
        if (service == OwnServiceName) {
            snapshot.agents.push_back(endpoint);
            continue;
        }
        UpstreamInfo upstream;
        upstream.id = UpstreamId(readString(object, "id"));
        upstream.service = service;
        upstream.region = RegionName(readString(object, "region"));
        upstream.zone = ZoneName(readString(object, "zone"));
        upstream.endpoint = endpoint;
        upstream.leaving = state == "leaving";
        snapshot.upstreams.push_back(std::move(upstream));
    }
    return snapshot;
}

} // namespace bronzeshed
