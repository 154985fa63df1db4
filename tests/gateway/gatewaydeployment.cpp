#include "gatewaydeployment.h"

#include "base/filedescriptor.h"
#include "http/httpclient.h"

#include <arpa/inet.h>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace bronzeshed {

namespace {

bool isFree(std::uint16_t port)
{
    const FileDescriptor socket(::socket(AF_INET, SOCK_STREAM, 0));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return ::bind(socket.get(), reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
}

/**
 * Returns an endpoint with a free port. Members announce the configured address, so not port 0. The
 * ports lie below those that the system gives to outgoing connections: one of these could take the
 * port while its gateway restarts.
 */
std::string freeEndpoint()
{
    constexpr std::uint16_t FirstPort = 12000;
    constexpr std::uint16_t Ports = 18000;
    // Test programs that run at the same time begin at different ports.
    constexpr std::uint32_t PortsPerProcess = 97;
    static std::uint32_t next = static_cast<std::uint32_t>(::getpid()) * PortsPerProcess;
    for (std::uint32_t attempt = 0; attempt < Ports; ++attempt) {
        const auto port = static_cast<std::uint16_t>(FirstPort + next++ % Ports);
        if (isFree(port)) {
            return "127.0.0.1:" + std::to_string(port);
        }
    }
    throw std::runtime_error("no free port below those of outgoing connections");
}

std::string rule(const std::string &name, const std::string &kind, const std::string &service)
{
    return R"({"name":")" + name + R"(","kind":")" + kind
        + R"(","targetLatencyMs":200,"priority":0,"match":{"prefix":"/)" + name
        + R"(/"},"action":{"service":")" + service + R"(","timeoutMs":2000,"maxAttempts":2}})";
}

std::string cluster(const std::string &name)
{
    return R"({"name":")" + name
        + R"(","healthPath":"/health","maxConns":100,"protocol":"h1","tls":false})";
}

} // namespace

GatewayDeployment::GatewayDeployment(unsigned gatewayCount, unsigned upstreamsPerService,
                                     unsigned seedCount)
    : store(clock)
    , storeTimers(store)
{
    for (unsigned i = 0; i < 2 * upstreamsPerService; ++i) {
        const std::string service = i < upstreamsPerService ? "reads" : "orders";
        this->upstreams.push_back(std::make_unique<RegisteredUpstream>(
            service + "-" + std::to_string(i), this->clock, this->executions));
        this->proxies.push_back(std::make_unique<FaultyProxy>(this->upstreams.back()->endpoint()));
        this->registerUpstream(i, "ready");
    }
    this->configure();
    std::vector<std::string> peers;
    std::string seeds;
    for (unsigned i = 0; i < gatewayCount; ++i) {
        peers.push_back(freeEndpoint());
        if (i < seedCount) {
            seeds += (seeds.empty() ? "" : ",") + peers.back();
        }
    }
    for (unsigned i = 0; i < gatewayCount; ++i) {
        this->addGateway("gateway-" + std::to_string(i), peers[i], seeds);
    }
    this->waitUntilReady();
}

void GatewayDeployment::waitUntilReady() const
{
    waitFor([&] {
        unsigned ready = 0;
        for (const TestGateway &gateway : this->gateways) {
            const bool configured = statusOf(gateway.readiness, "/readiness") == 200;
            ready += configured && listedEntries(gateway) == this->gateways.size() ? 1 : 0;
        }
        return ready == this->gateways.size();
    });
}

void GatewayDeployment::restartUnregistered()
{
    for (const TestGateway &gateway : this->gateways) {
        gateway.process->kill();
    }
    this->store.endLeases();
    for (TestGateway &gateway : this->gateways) {
        this->start(gateway);
    }
    this->waitUntilReady();
}

void GatewayDeployment::addGateway(const std::string &id, const std::string &peers,
                                   const std::string &seeds)
{
    TestGateway gateway;
    gateway.id = id;
    gateway.storePort = std::make_unique<FaultyStorePort>(this->store);
    gateway.store
        = std::make_unique<HttpServer>(Endpoint{"127.0.0.1", 0}, HttpLimits{}, *gateway.storePort);
    const std::string any = "127.0.0.1:0";
    gateway.flags = {"--instance",      id,
                     "--region",        "r",
                     "--zone",          "z",
                     "--zones",         "z=r",
                     "--listen",        freeEndpoint(),
                     "--ready-listen",  any,
                     "--lookup-listen", any,
                     "--peer-listen",   peers,
                     "--seeds",         seeds,
                     "--store",         gateway.store->localEndpoint().toString(),
                     "--grace-ms",      "4000"};
    this->start(gateway);
    this->gateways.push_back(std::move(gateway));
}

void GatewayDeployment::start(TestGateway &gateway) const
{
    gateway.process = std::make_unique<ChildProcess>("bronzeshed-gateway", gateway.flags);
    // Callers on other threads read the address without a lock; a restart keeps it unchanged.
    if (gateway.callers != gateway.process->endpoint()) {
        gateway.callers = gateway.process->endpoint();
    }
    gateway.lookups = gateway.process->address("lookups-listening");
    gateway.readiness = gateway.process->address("readiness-listening");
}

std::size_t GatewayDeployment::listedEntries(const TestGateway &gateway)
{
    const std::string body = call(gateway.lookups, "GET", "/resolve?region=r&zone=z", "").body;
    // One colon for each address and two for the fields of the answer.
    const auto colons = static_cast<std::size_t>(std::count(body.begin(), body.end(), ':'));
    return colons < 2 ? 0 : colons - 2;
}

void GatewayDeployment::configure(bool extraRoute)
{
    this->version += 2;
    std::string rules = rule("reads", "safe", "reads") + "," + rule("orders", "unsafe", "orders");
    if (extraRoute) {
        rules += "," + rule("extra", "safe", "reads");
    }
    this->store.put(
        "op/config",
        R"({"version":"r)" + std::to_string(this->version)
            + R"(","limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeoutMs":3000,)"
            + R"("idleTimeoutMs":15000},"listeners":[{"host":"h.example","rules":[)" + rules
            + R"(]}],"clusters":[)" + cluster("reads") + "," + cluster("orders") + "]}");
}

void GatewayDeployment::registerUpstream(std::size_t number, const std::string &state)
{
    const RegisteredUpstream &upstream = *this->upstreams[number];
    const Endpoint address = this->proxies[number]->endpoint();
    this->store.put("servers/" + upstream.id(),
                    upstream.registration(address, serviceOf(upstream), "z", state));
}

std::string GatewayDeployment::serviceOf(const RegisteredUpstream &upstream)
{
    return upstream.id().substr(0, upstream.id().find('-'));
}

HttpResponse GatewayDeployment::call(const Endpoint &gateway, const std::string &method,
                                     const std::string &path, const std::string &requestId,
                                     std::chrono::milliseconds timeLeft)
{
    HttpRequest request;
    request.method = method;
    request.target = path;
    request.authority = "h.example";
    request.headers.add("X-Bronzeshed-Request-Id", requestId);
    request.headers.add("X-Bronzeshed-Request-Deadline-Ms", std::to_string(timeLeft.count()));
    try {
        return sendHttpRequest(gateway, request, timeLeft + std::chrono::seconds(1));
    } catch (const HttpClientError &) {
        HttpResponse none;
        none.status = 0;
        return none;
    }
}

bool GatewayDeployment::answersWithin(const Endpoint &gateway, const std::string &path,
                                      unsigned status, Duration limit)
{
    const TimePoint end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end) {
        if (call(gateway, "GET", path, "probe").status == status) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
}

unsigned GatewayDeployment::statusOf(const Endpoint &endpoint, const std::string &path)
{
    return call(endpoint, "GET", path, "").status;
}

} // namespace bronzeshed
