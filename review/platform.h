// What the operator and the servers write to the store.
#pragma once

#include "store.h"

namespace review {

/** One route with its own host, as in the operator's configuration. */
struct Route
{
    std::string name, host, prefix, kind, service;
    int timeoutMs = 0, aimMs = 0, attempts = 2, priority = 0;
};

inline std::string configuration(int version, int baseVersion, const std::vector<Route> &routes,
                                 const std::vector<std::string> &services, int maxConns = 260)
{
    json::array listeners;
    for (const Route &route : routes) {
        json::object rule{{"name", route.name},
                          {"kind", route.kind},
                          {"targetLatencyMs", route.aimMs},
                          {"priority", route.priority},
                          {"match", {{"prefix", route.prefix}}},
                          {"action",
                           {{"service", route.service},
                            {"timeoutMs", route.timeoutMs},
                            {"maxAttempts", route.attempts}}}};
        listeners.push_back(json::object{{"host", route.host}, {"rules", json::array{rule}}});
    }
    json::array clusters;
    for (const std::string &service : services) {
        clusters.push_back(json::object{{"name", service},
                                        {"healthPath", "/health"},
                                        {"maxConns", maxConns},
                                        {"protocol", "h1"},
                                        {"tls", false}});
    }
    return json::serialize(json::object{{"version", "r" + std::to_string(version)},
                                        {"limits",
                                         {{"maxHeaderBytes", 16384},
                                          {"maxBodyBytes", 67108864},
                                          {"headerTimeoutMs", 3000},
                                          {"idleTimeoutMs", 15000}}},
                                        {"baseVersion", "r" + std::to_string(baseVersion)},
                                        {"listeners", std::move(listeners)},
                                        {"clusters", std::move(clusters)}});
}

inline std::string registration(unsigned short port, const std::string &service,
                                const std::string &zone, int slots, const std::string &state, int seq,
                                std::int64_t bornMs, int warmupLeftMs = 0)
{
    return json::serialize(json::object{
        {"address", "127.0.0.1:" + std::to_string(port)},
        {"born", bornMs},
        {"info", {{"service", service}, {"version", "v1"}, {"zone", zone}, {"slots", slots}}},
        {"status", {{"state", state}, {"seq", seq}, {"warmupLeftMs", warmupLeftMs}}}});
}

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace review
