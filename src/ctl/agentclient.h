#ifndef BRONZESHED_CTL_AGENTCLIENT_H
#define BRONZESHED_CTL_AGENTCLIENT_H

#include "base/settings.h"
#include "http/httpmessage.h"

#include <boost/json/value.hpp>
#include <chrono>
#include <string>
#include <vector>

namespace bronzeshed {

/** Interface for sending HTTP requests. */
class RequestSender
{
public:
    virtual ~RequestSender() = default;
    /** @throws HttpClientError if no complete response arrives within @p timeout */
    virtual HttpResponse send(const Endpoint &endpoint, const HttpRequest &request,
                              std::chrono::milliseconds timeout)
        = 0;
};

/** Result of a change request. An unknown outcome is never reported as success. */
struct ChangeReply
{
    enum class Outcome {
        Accepted,
        Conflict,
        Failed, ///< the configuration was not changed
        Unknown, ///< the change may have taken effect
        ActiveNotRecorded ///< active, but not yet recorded in the store
    };

    Outcome outcome = Outcome::Unknown;
    std::uint64_t version = 0; ///< the new version; the current one after a conflict
    std::string operatorName; ///< author of the conflicting change
    std::string message; ///< problem and remedy
    std::string writeId;
};

/** Client of the operator API. Sends each request to the first reachable agent. */
class AgentClient
{
public:
    AgentClient(std::vector<Endpoint> agents, std::string token, RequestSender &sender);

    /**
     * Reads a path of the operator API as JSON.
     * @throws UnavailableError if every agent is unreachable or returns an error
     */
    boost::json::value read(const std::string &target);

    /**
     * Sends a change. Fails over to the next agent only if no byte of the request was sent, so that
     * a change is never applied twice. If the response is lost, the outcome is determined by
     * looking up the write id in the agents' histories.
     */
    ChangeReply change(HttpRequest request, const std::string &operatorName,
                       const std::string &writeId);

private:
    HttpRequest authorize(HttpRequest request) const;
    /** Determines the outcome of a change whose response was lost from the agents' histories. */
    ChangeReply resolveLostReply(const std::string &writeId, const std::string &problem);

    std::vector<Endpoint> agents;
    std::string token;
    RequestSender &sender;
};

} // namespace bronzeshed

#endif
