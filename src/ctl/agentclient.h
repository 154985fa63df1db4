#ifndef BRONZESHED_CTL_AGENTCLIENT_H
#define BRONZESHED_CTL_AGENTCLIENT_H

#include "base/settings.h"
#include "http/httpmessage.h"

#include <boost/json/value.hpp>
#include <chrono>
#include <string>
#include <vector>

namespace bronzeshed {

/** Port through which requests are sent. */
class RequestSender
{
public:
    virtual ~RequestSender() = default;
    /** @throws HttpClientError if there is no whole response in time */
    virtual HttpResponse send(const Endpoint &endpoint, const HttpRequest &request,
                              std::chrono::milliseconds timeout)
        = 0;
};

/** What became of a change. Unknown outcomes are never reported as success. */
struct ChangeReply
{
    enum class Outcome { Accepted, Conflict, Failed, Unknown, InForceNotRecorded };

    Outcome outcome = Outcome::Unknown;
    std::uint64_t version = 0;
    std::string operatorName; ///< of the change that came first
    std::string message; ///< problem and remedy
    std::string writeId;
};

/** Speaks to the operator API of the first agent that can be reached. */
class AgentClient
{
public:
    AgentClient(std::vector<Endpoint> agents, std::string token, RequestSender &sender);

    /**
     * Reads a path as JSON.
     * @throws UnavailableError if no agent answers or the answer is an error
     */
    boost::json::value read(const std::string &target);

    /**
     * Sends a change. The next agent is tried only while no byte can have been sent. If the reply
     * is lost, the write id is looked for in the agents' histories.
     */
    ChangeReply change(HttpRequest request, const std::string &operatorName,
                       const std::string &writeId);

private:
    HttpRequest authorize(HttpRequest request) const;
    ChangeReply settle(const std::string &writeId, const std::string &problem);

    std::vector<Endpoint> agents;
    std::string token;
    RequestSender &sender;
};

} // namespace bronzeshed

#endif
