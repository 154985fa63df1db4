#ifndef BRONZESHED_TESTS_TESTFLEET_H
#define BRONZESHED_TESTS_TESTFLEET_H

#include "childprocess.h"
#include "http/httpmessage.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bronzeshed {

/** An entry instance under test. */
struct TestInstance
{
    std::string id;
    std::unique_ptr<ChildProcess> agent;
    std::unique_ptr<ChildProcess> entry;
    Endpoint agentEndpoint;
    Endpoint operatorEndpoint;
    Endpoint callerEndpoint;
};

struct TestUpstream
{
    std::string id;
    std::unique_ptr<ChildProcess> process;
    Endpoint endpoint;
};

/** Real processes of a small deployment: the platform, upstreams and entry instances. */
class TestFleet
{
public:
    /** Starts everything and waits until every entry answers lookups with @p instances entries. */
    TestFleet(unsigned instances, unsigned upstreams);

    /** Sends a request and returns the response, or a response with status 0 if there is none. */
    static HttpResponse send(const Endpoint &endpoint, const std::string &method,
                             const std::string &target, const std::string &body = {},
                             const HttpHeaders &headers = {});

    /** Number of runs at all upstreams by request id. */
    std::map<std::string, unsigned> executions() const;
    /** Number of runs at one upstream. */
    static unsigned executionsAt(const TestUpstream &upstream);

    /** Addresses that the lookup answer of @p entry names; empty if there is no answer. */
    static std::vector<Endpoint> lookup(const Endpoint &entry, const std::string &className);
    /** A new request id for the entry that is first in the lookup answer. */
    std::string newRequestId(const Endpoint &entry, const std::string &className);

    /** Configuration version that an entry has in force, by its lookup answer; 0 if unknown. */
    static std::uint64_t versionInForce(const Endpoint &entry);

    /** Applies a declaration through an agent. */
    static HttpResponse apply(const TestInstance &instance, const std::string &declaration,
                              std::uint64_t baseVersion, const std::string &operatorName);

    /** Sets a fault of the store: none, down, slow or lose-reply. */
    void setStoreFault(const std::string &mode) const;
    void publishInstances() const;
    /** @param store where the agent reaches the store, or the platform's own address */
    TestInstance startInstance(const std::string &id,
                               const std::optional<Endpoint> &store = {}) const;

    /** Marks an upstream as leaving through an agent. */
    static HttpResponse markLeaving(const TestInstance &instance, const std::string &upstream);

    std::unique_ptr<ChildProcess> platform;
    Endpoint platformEndpoint;
    std::vector<TestUpstream> upstreams;
    std::vector<TestInstance> instances;

private:
    unsigned lastNonce = 0;
};

/** Declaration with the classes "reads" (repeatable) and "orders" (never repeated). */
std::string testDeclaration(unsigned readTargetMs = 500);

} // namespace bronzeshed

#endif
