#ifndef BRONZESHED_STANDINS_PLATFORMHANDLER_H
#define BRONZESHED_STANDINS_PLATFORMHANDLER_H

#include "standins/faultplan.h"
#include "standins/keyvaluestandin.h"
#include "standins/laggedvalue.h"
#include "standins/leasestandin.h"
#include "standins/timedhandler.h"

#include <map>

namespace bronzeshed {

/**
 * HTTP face of the platform stand-in.
 * - GET /kv/KEY: value, header Revision; ?watch=N waits for a revision above N (304 after 10 s).
 * - PUT /kv/KEY with header If-Revision: compare-and-swap; 409 if the revision differs.
 * - PUT /leases/NAME?ttl-ms=N: the body's holder acquires or renews a lease; 409 if another has it.
 * - GET /instances: JSON list, header Revision; ?revision=N answers 304 if unchanged.
 * - PUT /control/instances: replaces the instance list; ?lag-ms=N sets how late it is seen.
 * - PUT /control/fault?count=N&delay-ms=N&part=store|list|all: the body is none, down, slow or
 *   lose-reply. The part is "all" by default; the store includes the leases.
 * - PUT /control/restore/KEY?steps=N: puts the value before the last N writes back.
 * - GET /control/counters: reads, writes and waiting watches of the store.
 */
class PlatformHandler : public TimedHandler
{
public:
    using TimedHandler::TimedHandler;

    void handleRequest(HttpRequest request, std::shared_ptr<HttpExchange> exchange) override;

private:
    using SharedExchange = std::shared_ptr<HttpExchange>;
    using InstanceList = KeyValueStandin::Entry;

    struct Watch
    {
        std::string key;
        std::uint64_t revision = 0;
        SharedExchange exchange;
        TimerId limit;
    };

    HttpResponse handleControl(HttpRequest &request);
    HttpResponse setFault(const HttpRequest &request);
    HttpResponse setInstances(HttpRequest &request);
    HttpResponse restore(const HttpRequest &request);
    HttpResponse counters() const;

    void handleWithFault(HttpRequest request, const SharedExchange &exchange, FaultPlan &plan);
    void handlePlatform(HttpRequest request, const SharedExchange &exchange);
    void handleGet(const std::string &key, const HttpRequest &request,
                   const SharedExchange &exchange);
    void handlePut(const std::string &key, HttpRequest &request, HttpExchange &exchange);
    void handleLease(const HttpRequest &request, HttpExchange &exchange);
    HttpResponse listInstances(const HttpRequest &request);

    void addWatch(const std::string &key, std::uint64_t revision, const SharedExchange &exchange);
    void answerWatches(const std::string &key);
    void removeWatch(std::uint64_t number);
    void dropWatches();

    KeyValueStandin store;
    LeaseStandin leases;
    LaggedValue<InstanceList> instances;
    std::uint64_t instancesRevision = 0;
    FaultPlan storeFault;
    FaultPlan listFault;
    std::map<std::uint64_t, Watch> watches; ///< by the order of their arrival
    std::uint64_t lastWatch = 0;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
};

} // namespace bronzeshed

#endif
