#include "ctl/agentclient.h"

#include "base/error.h"
#include "http/httpclient.h"

#include <boost/json.hpp>

namespace bronzeshed {

namespace json = boost::json;

namespace {

constexpr std::chrono::milliseconds ReadTimeout{5000};
/** For one change, an agent makes up to 8 store calls of 2 s each, and may be busy before. */
constexpr std::chrono::milliseconds ChangeTimeout{40000};
const std::string Remedy = "check that the agent runs and that --agent names its operator address";

/** Parses the JSON object in the body of a response; empty if the body is not an object. */
json::object parseObject(const HttpResponse &response)
{
    boost::system::error_code error;
    const json::value value = json::parse(response.body, error);
    return !error && value.is_object() ? value.get_object() : json::object();
}

std::string stringField(const json::object &object, const char *key)
{
    const auto *value = object.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
}

std::uint64_t numberField(const json::object &object, const char *key)
{
    const auto *value = object.if_contains(key);
    return value != nullptr && value->is_int64() && value->get_int64() > 0
        ? static_cast<std::uint64_t>(value->get_int64())
        : 0;
}

ChangeReply::Outcome outcomeOf(const std::string &name)
{
    if (name == "accepted") {
        return ChangeReply::Outcome::Accepted;
    }
    if (name == "conflict") {
        return ChangeReply::Outcome::Conflict;
    }
    if (name == "in_force_not_recorded") {
        return ChangeReply::Outcome::ActiveNotRecorded;
    }
    const bool definite = name == "refused" || name == "failed" || name == "store_unavailable";
    return definite ? ChangeReply::Outcome::Failed : ChangeReply::Outcome::Unknown;
}

ChangeReply parseReply(const HttpResponse &response, const std::string &writeId)
{
    const json::object object = parseObject(response);
    ChangeReply reply;
    reply.outcome = outcomeOf(stringField(object, "outcome"));
    reply.version = numberField(object, "version");
    reply.operatorName = stringField(object, "operator");
    reply.message = stringField(object, "error");
    reply.writeId = writeId;
    if (reply.outcome == ChangeReply::Outcome::Unknown && reply.message.empty()) {
        reply.message = "the agent's response with status " + std::to_string(response.status)
            + " has no valid outcome; look for the write id with 'history'";
    }
    return reply;
}

} // namespace

AgentClient::AgentClient(std::vector<Endpoint> agents, std::string token, RequestSender &sender)
    : agents(std::move(agents))
    , token(std::move(token))
    , sender(sender)
{
}

json::value AgentClient::read(const std::string &target)
{
    HttpRequest request;
    request.target = target;
    std::string problem = "no agent address is configured";
    for (const Endpoint &agent : this->agents) {
        try {
            const HttpResponse response
                = this->sender.send(agent, this->authorize(request), ReadTimeout);
            json::object object = parseObject(response);
            if (response.status == 200 && !object.empty()) {
                return object;
            }
            problem = agent.toString() + " returned status " + std::to_string(response.status)
                + ": " + stringField(object, "error");
        } catch (const HttpClientError &error) {
            problem = error.what();
        }
    }
    throw UnavailableError(problem, Remedy);
}

ChangeReply AgentClient::change(HttpRequest request, const std::string &operatorName,
                                const std::string &writeId)
{
    request.headers.set("Operator", operatorName);
    request.headers.set("Write-Id", writeId);
    request = this->authorize(std::move(request));
    std::string problem = "no agent address is configured";
    for (const Endpoint &agent : this->agents) {
        try {
            return parseReply(this->sender.send(agent, request, ChangeTimeout), writeId);
        } catch (const HttpClientError &error) {
            problem = error.what();
            if (error.mayHaveBeenSent()) {
                return this->resolveLostReply(writeId, problem);
            }
        }
    }
    return {ChangeReply::Outcome::Failed, 0, "", problem + "; nothing was changed", writeId};
}

HttpRequest AgentClient::authorize(HttpRequest request) const
{
    if (!this->token.empty()) {
        request.headers.set("Authorization", "Bearer " + this->token);
    }
    return request;
}

ChangeReply AgentClient::resolveLostReply(const std::string &writeId, const std::string &problem)
{
    ChangeReply reply{ChangeReply::Outcome::Unknown, 0, "",
                      problem + "; look for the write id with 'history' before trying again",
                      writeId};
    for (const Endpoint &agent : this->agents) {
        try {
            AgentClient single({agent}, this->token, this->sender);
            const json::value history = single.read("/v1/history");
            for (const json::value &item : history.at("entries").as_array()) {
                if (stringField(item.as_object(), "write_id") == writeId) {
                    reply.outcome = ChangeReply::Outcome::Accepted;
                    reply.version = numberField(item.as_object(), "to");
                    return reply;
                }
            }
        } catch (const std::exception &) {
            continue; // the history of another agent may contain the write id
        }
    }
    return reply;
}

} // namespace bronzeshed
