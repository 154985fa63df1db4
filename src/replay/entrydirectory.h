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

/** An entry that a lookup answer names. */
struct EntryAddress
{
    Endpoint endpoint;
    std::string ticket;
    RegionName region; ///< empty if not known
};

/** What a lookup answer says. */
struct LookupAnswer
{
    std::vector<EntryAddress> entries;
    std::chrono::milliseconds valid{0};
};

/** @throws ProtocolError if the answer is malformed or names no entry */
LookupAnswer parseLookupAnswer(const std::string &json);

/** What a lookup asks for: the class of a call and where its caller is. */
struct LookupKey
{
    ClassName className;
    RegionName region;
    ZoneName zone;

    auto operator<=>(const LookupKey &) const = default;
};

/** Finds the entries to call. */
class EntryDirectory
{
public:
    using Callback = std::function<void(const std::vector<EntryAddress> &entries)>;

    virtual ~EntryDirectory() = default;
    /** Calls @p callback with at least one entry, at once or later. */
    virtual void find(const LookupKey &key, Callback callback) = 0;
    /** Makes the next find() ask again. */
    virtual void forget(const LookupKey &key) = 0;
};

/** Names the same addresses for every call; used to call upstreams directly. */
class FixedDirectory : public EntryDirectory
{
public:
    explicit FixedDirectory(const std::vector<Endpoint> &endpoints);

    void find(const LookupKey &key, Callback callback) override;
    void forget(const LookupKey &) override { }

private:
    std::vector<EntryAddress> entries;
};

/** Asks entries and keeps each answer as long as it is valid. */
class LookupDirectory : public EntryDirectory
{
public:
    /** @param seeds entries to ask, in the order of preference */
    LookupDirectory(const Clock &clock, TimerService &timers, CallTransport &transport,
                    std::vector<Endpoint> seeds);

    void find(const LookupKey &key, Callback callback) override;
    void forget(const LookupKey &key) override;

private:
    struct Slot
    {
        LookupAnswer answer;
        TimePoint validUntil{};
        std::vector<Callback> waiting;
        std::size_t seed = 0; ///< the one to ask next
    };

    void ask(const LookupKey &key);
    void handleResult(const LookupKey &key, TimePoint asked, const ExchangeResult &result);
    void askNextSeed(const LookupKey &key);

    const Clock &clock;
    TimerService &timers;
    CallTransport &transport;
    std::vector<Endpoint> seeds;
    std::map<LookupKey, Slot> slots;
};

} // namespace bronzeshed

#endif
