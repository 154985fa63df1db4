#ifndef BRONZESHED_STANDINS_METADATASTORESTANDIN_H
#define BRONZESHED_STANDINS_METADATASTORESTANDIN_H

#include "standins/timedhandler.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace bronzeshed {

/** What a store does to the calls of one client. */
enum class StoreFault {
    None,
    Silent, ///< never answers
    Busy, ///< 503, nothing is done
    TooMany, ///< 429, nothing is done
    Reset, ///< closes the connection, nothing is done
    LoseReply, ///< does the call and closes the connection
    SilentWatches, ///< never answers watches, but all other calls
};

/**
 * Stand-in for the metadata store of the users' platform: items, ranges, watches, transactions
 * and leases, over HTTP.
 */
class MetadataStoreStandin : public TimedHandler
{
public:
    explicit MetadataStoreStandin(const Clock &clock);

    void handleRequest(HttpRequest request, std::shared_ptr<HttpExchange> exchange) override;

    /** Writes or deletes a key, as an operator or an upstream does. Thread-safe. */
    void put(const std::string &key, const std::string &value);
    void erase(const std::string &key);
    /** Drops the history and cuts the waiting watches. Thread-safe. */
    void dropHistory();
    /** Ends all leases at once, as the store may do around an outage. Thread-safe. */
    void endLeases();
    /** Makes stale reads return the present items from now on. */
    void holdStaleReads();
    /** Values by key. Thread-safe. */
    std::map<std::string, std::string> values();
    /** Calls by method and path, renewals of leases under one name. Thread-safe. */
    std::map<std::string, unsigned> counts();

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t lease = 0;
    };
    struct Event
    {
        std::string key;
        std::uint64_t revision = 0;
        bool deleted = false;
    };
    struct Watch
    {
        std::string prefix;
        std::uint64_t after = 0;
        std::shared_ptr<HttpExchange> exchange;
    };

    void write(const std::string &key, const std::string &value, std::uint64_t lease);
    void remove(const std::string &key);
    void handleRange(const HttpRequest &request, HttpExchange &exchange);
    void handleWatch(const HttpRequest &request, std::shared_ptr<HttpExchange> exchange);
    void handleTransaction(const HttpRequest &request, HttpExchange &exchange);
    void handleLease(const HttpRequest &request, HttpExchange &exchange);
    void handleRenewal(std::uint64_t lease, HttpExchange &exchange);
    void endLease(std::uint64_t lease);
    void armLease(std::uint64_t lease);
    bool answerWatch(const Watch &watch, bool evenWithoutEvents);
    void answerWatches();

    std::uint64_t revision = 1;
    std::uint64_t historyStart = 0; ///< events after this revision are kept
    std::map<std::string, Item> items;
    std::optional<std::pair<std::uint64_t, std::map<std::string, Item>>>
        staleItems; ///< revision and items that stale reads return
    std::deque<Event> history;
    std::map<std::uint64_t, std::chrono::milliseconds> leases;
    std::map<std::uint64_t, TimerId> leaseTimers;
    std::uint64_t lastLease = 100;
    std::map<std::uint64_t, Watch> watches;
    std::uint64_t lastWatch = 0;
    std::map<std::string, unsigned> calls;
};

/** One client's way to the store, with a fault of its own. */
class FaultyStorePort : public HttpHandler
{
public:
    explicit FaultyStorePort(MetadataStoreStandin &store)
        : store(store)
    {
    }
    void handleRequest(HttpRequest request, std::shared_ptr<HttpExchange> exchange) override;
    void setFault(StoreFault newFault);
    /** Watches that arrived, whatever became of them. Thread-safe. */
    unsigned watches();

private:
    MetadataStoreStandin &store;
    std::mutex mutex;
    StoreFault fault = StoreFault::None;
    unsigned arrivedWatches = 0;
    std::vector<std::shared_ptr<HttpExchange>> held; ///< of a silent store
    std::vector<std::shared_ptr<HttpExchange>> unanswered; ///< kept open after the fault
};

} // namespace bronzeshed

#endif
