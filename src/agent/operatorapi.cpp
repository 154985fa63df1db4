#include "agent/operatorapi.h"

#include "agent/operatorreplies.h"
#include "base/error.h"
#include "base/logline.h"
#include "base/parsenumber.h"

#include <boost/json.hpp>
#include <optional>

namespace bronzeshed {

namespace {

/**
 * Each job takes at most a few store timeouts. The client of a job behind more than 16 others would
 * time out before the job runs.
 */
constexpr std::size_t MaxWaitingJobs = 16;
constexpr std::chrono::milliseconds MaintenancePeriod{1000};
/** The first agent in rendezvous order checks the stored version at every tenth run. */
constexpr unsigned RunsPerRestoreCheck = 10;
const std::string BearerPrefix = "Bearer ";
const std::string DeclarationPath = "/v1/declaration";
const std::string LeavePath = "/v1/leave";
const std::string ReturnPath = "/v1/return";

std::string header(const HttpRequest &request, std::string_view name)
{
    return request.headers.find(name).value_or("");
}

bool isChange(const HttpRequest &request)
{
    const std::string path = request.path();
    return (request.method == "PUT" && path == DeclarationPath)
        || (request.method == "POST" && (path == LeavePath || path == ReturnPath));
}

HttpResponse loggedResponse(const HttpRequest &request, const ChangeResult &result)
{
    HttpResponse response = changeResponse(result);
    LogLine("operator_change")
        .add("operator", header(request, "Operator"))
        .add("target", request.target)
        .add("status", response.status);
    return response;
}

} // namespace

bool equalsInConstantTime(std::string_view expected, std::string_view given)
{
    // Volatile prevents the compiler from leaving the loop at the first difference.
    volatile unsigned difference = expected.size() == given.size() ? 0U : 1U;
    for (std::size_t i = 0; i < given.size(); ++i) {
        const char other = expected.empty() ? '\0' : expected[i % expected.size()];
        difference = difference | static_cast<unsigned char>(given[i] ^ other);
    }
    return difference == 0;
}

bool isLoopback(const Endpoint &endpoint)
{
    return endpoint.host.starts_with("127.");
}

OperatorApi::OperatorApi(ConfigKeeperPort &agent, KeyValueStore &store, ConfigKeeper &keeper,
                         FleetCallsSource &calls, std::string token)
    : agent(agent)
    , store(store)
    , keeper(keeper)
    , calls(calls)
    , token(std::move(token))
    , worker(MaxWaitingJobs, MaintenancePeriod, [this] { this->runMaintenance(); })
    , callsWorker(MaxWaitingJobs, MaintenancePeriod, [] {})
{
}

void OperatorApi::stop()
{
    this->worker.stop();
    this->callsWorker.stop();
}

void OperatorApi::handleRequest(HttpRequest request, std::shared_ptr<HttpExchange> exchange)
{
    if (this->refuseUnauthorized(request, *exchange)) {
        return;
    }
    if (isChange(request)) {
        this->handleChange(std::move(request), exchange);
        return;
    }
    if (request.method == "GET") {
        this->handleRead(request, exchange);
        return;
    }
    exchange->respond(failureResponse(405, "the method does not fit the path",
                                      "use GET, PUT /v1/declaration or POST /v1/leave"));
}

bool OperatorApi::refuseUnauthorized(const HttpRequest &request, HttpExchange &exchange) const
{
    if (this->token.empty()) {
        if (request.method == "GET") {
            return false;
        }
        exchange.respond(failureResponse(403, "this agent has no operator token and only reads",
                                         "start it with BRONZESHED_OPERATOR_TOKEN set"));
        return true;
    }
    const std::string given = header(request, "Authorization");
    if (given.starts_with(BearerPrefix)
        && equalsInConstantTime(this->token, std::string_view(given).substr(BearerPrefix.size()))) {
        return false;
    }
    exchange.respond(failureResponse(401, "the bearer token is missing or wrong",
                                     "pass the agent's operator token with --token"));
    return true;
}

void OperatorApi::handleRead(const HttpRequest &request, const Exchange &exchange)
{
    const std::string path = request.path();
    if (path == DeclarationPath) {
        exchange->respond(declarationResponse(this->agent.record()));
    } else if (path == "/v1/status") {
        this->handleStatus(request, exchange);
    } else if (path == "/v1/history") {
        this->handleHistory(request, exchange);
    } else {
        exchange->respond(failureResponse(404, "there is no path " + path,
                                          "use /v1/declaration, /v1/status or /v1/history"));
    }
}

void OperatorApi::handleStatus(const HttpRequest &request, const Exchange &exchange)
{
    // Counts are read only on request, as 'apply' polls the status ten times a second.
    if (request.queryValue("calls") != "1") {
        exchange->respond(
            statusResponse(this->agent.record(), this->agent.members(), this->agent.upstreams()));
        return;
    }
    runBlocking(this->callsWorker, exchange, [this] {
        const FleetCalls fleet = this->calls.read();
        return statusResponse(this->agent.record(), this->agent.members(), this->agent.upstreams(),
                              &fleet);
    });
}

void OperatorApi::handleHistory(const HttpRequest &request, const Exchange &exchange)
{
    const std::string page = request.queryValue("page");
    if (page.empty()) {
        exchange->respond(historyResponse(this->agent.record()));
        return;
    }
    const auto number = parseNumber(page);
    if (!number) {
        exchange->respond(
            failureResponse(400, "the page is not a number", "give a number below archived_pages"));
        return;
    }
    runBlocking(this->worker, exchange, [this, number] { return this->readPage(*number); });
}

HttpResponse OperatorApi::readPage(std::uint64_t page)
{
    try {
        const StoredValue stored = this->store.get(auditPageKey(page));
        if (stored.revision == 0) {
            return failureResponse(404, "there is no audit page " + std::to_string(page),
                                   "give a number below archived_pages");
        }
        ConfigRecord record;
        record.audit = parseAuditEntries(stored.value);
        record.archivedPages = page + 1;
        return historyResponse(record);
    } catch (const Error &error) {
        return failureResponse(503, error.what(), "repeat in a few seconds");
    }
}

void OperatorApi::handleChange(HttpRequest request, const Exchange &exchange)
{
    if (header(request, "Operator").empty()) {
        exchange->respond(failureResponse(400, "the header Operator is missing",
                                          "state who makes the change, e.g. with --operator"));
        return;
    }
    const bool isApply = request.path() == DeclarationPath;
    if (isApply && !parseNumber(header(request, "Base-Version"))) {
        exchange->respond(
            failureResponse(400, "the header Base-Version is not a number",
                            "give the version that GET /v1/declaration shows, 0 for the first"));
        return;
    }
    if (!isApply) {
        this->handleDrainFlag(request, exchange);
        return;
    }
    runBlocking(this->worker, exchange, [this, request = std::move(request)] {
        return loggedResponse(request, this->applyDeclaration(request));
    });
}

ChangeResult OperatorApi::applyDeclaration(const HttpRequest &request)
{
    const ConfigVersion base(parseNumber(header(request, "Base-Version")).value_or(0));
    return this->keeper.apply(request.body, base, header(request, "Operator"),
                              header(request, "Write-Id"));
}

void OperatorApi::handleDrainFlag(const HttpRequest &request, const Exchange &exchange)
{
    // The flag becomes active before the job waits in the queue, as an unresponsive store blocks
    // it.
    const auto flagResult = this->keeper.setDrainFlag(
        UpstreamId(request.queryValue("upstream")), request.path() == LeavePath,
        header(request, "Operator"), header(request, "Write-Id"));
    if (const auto *refused = std::get_if<ChangeRefused>(&flagResult)) {
        exchange->respond(loggedResponse(request, *refused));
        return;
    }
    const auto flag = std::get<ConfigKeeper::PendingDrainFlag>(flagResult);
    const bool isQueued = tryRunBlocking(this->worker, exchange, [this, request, flag] {
        return loggedResponse(request, this->keeper.recordDrainFlag(flag));
    });
    if (!isQueued) {
        exchange->respond(loggedResponse(request, DrainFlagActive{flag.change.writeId}));
    }
}

void OperatorApi::runBlocking(OperatorWorker &worker, const Exchange &exchange,
                              std::function<HttpResponse()> work)
{
    if (!tryRunBlocking(worker, exchange, std::move(work))) {
        exchange->respond(failureResponse(503, "too many operator requests wait; nothing was done",
                                          "repeat in a few seconds or use another agent"));
    }
}

bool OperatorApi::tryRunBlocking(OperatorWorker &worker, const Exchange &exchange,
                                 std::function<HttpResponse()> work)
{
    return worker.tryRun([exchange, work = std::move(work)] {
        try {
            exchange->respond(work());
        } catch (const std::exception &error) {
            LogLine("operator_job_failed", LogLevel::Error).add("error", error.what());
            exchange->respond(changeResponse(ChangeUnknown{}));
        }
    });
}

void OperatorApi::runMaintenance()
{
    this->keeper.recordPending();
    if (++this->maintenanceRuns % RunsPerRestoreCheck == 0) {
        this->keeper.restoreStoredRecord();
    }
}

} // namespace bronzeshed
