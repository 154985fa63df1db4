#ifndef BRONZESHED_REPLAY_ENTRYDIRECTORY_H
#define BRONZESHED_REPLAY_ENTRYDIRECTORY_H

#include "base/strongid.h"
#include "base/timerservice.h"
#include "replay/calltransport.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace bronzeshed {

/** Address of an entry in a lookup answer. */
struct EntryAddress
{
    Endpoint endpoint;
    std::string ticket;
    RegionName region; ///< empty if unspecified
};

/** Contents of a lookup answer. */
struct LookupAnswer
{
    std::vector<EntryAddress> entries;
    std::chrono::milliseconds valid{0};
};

/** @throws ProtocolError if the answer is malformed or lists no entry */
LookupAnswer parseLookupAnswer(const std::string &json);

/** Parameters of a lookup: the class of a call and the location of its caller. */
struct LookupKey
{
    ClassName className;
    RegionName region;
    ZoneName zone;

    auto operator<=>(const LookupKey &) const = default;
};

/** Provides the addresses of the entries to call. */
class EntryDirectory
{
public:
    using Callback = std::function<void(const std::vector<EntryAddress> &entries)>;

    virtual ~EntryDirectory() = default;
    /** Calls @p callback with at least one entry, immediately or asynchronously. */
    virtual void find(const LookupKey &key, Callback callback) = 0;
    /** Discards the entries of @p key, so that the next find() looks them up again. */
    virtual void invalidate(const LookupKey &key) = 0;
};

/** Provides fixed addresses for all calls. Used to call upstreams directly. */
class FixedDirectory : public EntryDirectory
{
public:
    explicit FixedDirectory(const std::vector<Endpoint> &endpoints);

    void find(const LookupKey &key, Callback callback) override;
    void invalidate(const LookupKey &) override { }

private:
    std::vector<EntryAddress> entries;
};

/** Looks up addresses at entries and caches each answer while it is valid. */
class LookupDirectory : public EntryDirectory
{
public:
    /** @param seeds entries to query, in order of preference */
    LookupDirectory(const Clock &clock, TimerService &timers, CallTransport &transport,
                    std::vector<Endpoint> seeds);

    void find(const LookupKey &key, Callback callback) override;
    void invalidate(const LookupKey &key) override;

private:
    struct CachedLookup
    {
        LookupAnswer answer;
        TimePoint validUntil{};
        std::vector<Callback> pendingCallbacks;
        std::size_t seedIndex = 0; ///< seed of the next lookup, modulo the number of seeds
    };

    void sendLookup(const LookupKey &key);
    void handleResult(const LookupKey &key, TimePoint sentAt, const ExchangeResult &result);
    void retryWithNextSeed(const LookupKey &key);

    const Clock &clock;
    TimerService &timers;
    CallTransport &transport;
    std::vector<Endpoint> seeds;
    std::map<LookupKey, CachedLookup> lookups;
};

} // namespace bronzeshed

#endif
