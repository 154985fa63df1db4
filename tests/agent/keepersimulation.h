#ifndef BRONZESHED_TESTS_AGENT_KEEPERSIMULATION_H
#define BRONZESHED_TESTS_AGENT_KEEPERSIMULATION_H

#include "agent/configkeeper.h"
#include "base/error.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace bronzeshed {

/**
 * In-memory store with injected faults: it can be unavailable, lose requests or replies, apply a
 * swap late, or be rolled back to an older value.
 */
class FaultyStore : public KeyValueStore
{
public:
    enum class Fault { None, LoseReply, LoseRequest, ApplyLate, RollBack };

    bool down = false;
    Fault fault = Fault::None; ///< injected into the next swap of the configuration key
    bool downAfterSwap
        = false; ///< becomes unavailable after the next swap of the configuration key
    std::function<void()> beforeSwap; ///< called once before the next swap of the configuration key
    std::function<void(const ConfigRecord &)>
        watcher; ///< receives a value before it is rolled back
    std::map<std::string, StoredValue> values;
    std::vector<std::string> history; ///< all values written to the configuration key, oldest first

    StoredValue get(const std::string &key) override
    {
        if (this->down) {
            throw UnavailableError("the store is down", "wait");
        }
        return this->values[key];
    }

    std::optional<StoredValue> watch(const std::string &, std::uint64_t) override { return {}; }

    SwapResult compareAndSwap(const std::string &key, std::uint64_t revision,
                              const std::string &value) override
    {
        if (key != ConfigKey) {
            return this->down ? SwapResult::Unknown : this->swap(key, revision, value);
        }
        if (const auto hook = std::exchange(this->beforeSwap, nullptr)) {
            hook();
        }
        if (this->down) {
            return SwapResult::Unknown;
        }
        this->down = std::exchange(this->downAfterSwap, false);
        const Fault injected = std::exchange(this->fault, Fault::None);
        if (injected == Fault::ApplyLate) {
            this->late.emplace_back(revision, value);
        }
        if (injected == Fault::LoseRequest || injected == Fault::ApplyLate) {
            return SwapResult::Unknown;
        }
        const SwapResult result = this->swap(key, revision, value);
        if (injected == Fault::RollBack && result == SwapResult::Swapped) {
            this->watcher(parseConfigRecord(value));
            this->rollBack(0);
        }
        return injected == Fault::None ? result : SwapResult::Unknown;
    }

    void applyLateSwaps()
    {
        for (const auto &[revision, value] : std::exchange(this->late, {})) {
            this->swap(ConfigKey, revision, value);
        }
    }

    /** Restores an older value, as a restored backup does. The revision still increases. */
    void rollBack(std::size_t choice)
    {
        if (!this->history.empty()) {
            const std::string older = this->history[choice % this->history.size()];
            this->values[ConfigKey] = {++this->lastRevision, older};
        }
    }

private:
    SwapResult swap(const std::string &key, std::uint64_t revision, const std::string &value)
    {
        if (this->values[key].revision != revision) {
            return SwapResult::Conflict;
        }
        this->values[key] = {++this->lastRevision, value};
        if (key == ConfigKey) {
            this->history.push_back(value);
        }
        return SwapResult::Swapped;
    }

    std::uint64_t lastRevision = 0;
    std::vector<std::pair<std::uint64_t, std::string>> late;
};

/** Agent without threads. Every agent of a test sees the versions of all the others. */
class FakeAgent : public ConfigKeeperPort
{
public:
    explicit FakeAgent(std::vector<std::unique_ptr<FakeAgent>> &fleet)
        : fleet(fleet)
    {
    }

    ConfigRecord newest;

    ConfigRecord record() override { return this->newest; }
    void adoptRecord(const ConfigRecord &record) override
    {
        if (ConfigHistory::isNewer(this->newest.version, record.version)) {
            const DrainFlags flags = this->newest.drainFlags;
            this->newest = record;
            mergeDrainFlags(this->newest.drainFlags, flags);
        }
    }
    void adoptDrainFlags(const DrainFlags &flags) override
    {
        mergeDrainFlags(this->newest.drainFlags, flags);
    }
    std::vector<Member> members() override
    {
        std::vector<Member> members;
        for (const auto &agent : this->fleet) {
            members.emplace_back().configVersion = agent->newest.version;
        }
        return members;
    }
    std::vector<UpstreamInfo> upstreams() override
    {
        std::vector<UpstreamInfo> list(3);
        for (std::size_t i = 0; i < list.size(); ++i) {
            list[i].id = UpstreamId("almanac-" + std::to_string(i));
        }
        return list;
    }
    bool isFirstForConfig() override { return this->fleet.front().get() == this; }

private:
    std::vector<std::unique_ptr<FakeAgent>> &fleet;
};

/** Activates a drain flag and records it in the store, as the operator API does. */
inline ChangeResult setLeaving(ConfigKeeper &keeper, const UpstreamId &upstream, bool leaving,
                               const std::string &operatorName, const std::string &writeId = {})
{
    const auto put = keeper.setDrainFlag(upstream, leaving, operatorName, writeId);
    if (const auto *refused = std::get_if<ChangeRefused>(&put)) {
        return *refused;
    }
    return keeper.recordDrainFlag(std::get<ConfigKeeper::PendingDrainFlag>(put));
}

/** Several configuration keepers over one store, and the outcomes that they reported. */
struct KeeperSimulation
{
    FaultyStore store;
    SeededRandom random{7};
    std::int64_t time = 0;
    std::vector<std::unique_ptr<FakeAgent>> agents;
    std::vector<std::unique_ptr<ConfigKeeper>> keepers;
    std::map<std::string, ConfigVersion> accepted; ///< versions of accepted changes by write id
    std::set<std::string> rejected; ///< write ids of conflicting and refused changes
    std::set<std::string>
        unrecorded; ///< write ids of active drain flags that are not yet in the store
    std::uint64_t lastId = 0;

    explicit KeeperSimulation(std::size_t count, std::size_t auditEntries = 0)
    {
        for (std::size_t i = 0; i < count; ++i) {
            this->agents.push_back(std::make_unique<FakeAgent>(this->agents));
            this->keepers.push_back(std::make_unique<ConfigKeeper>(
                *this->agents.back(), this->store, this->random, [this] { return ++this->time; }));
        }
        this->store.watcher
            = [this](const ConfigRecord &seen) { this->agents.back()->adoptRecord(seen); };
        this->seed(auditEntries);
    }

    static std::string declaration(unsigned target)
    {
        return "[service.almanac]\n[class.reads]\nservice = \"almanac\"\nanswer_within_ms = "
            + std::to_string(target + 1) + "\nrepeatable = true\n";
    }

    std::string newId() { return "id-" + std::to_string(++this->lastId); }

    ChangeResult apply(std::size_t keeper, ConfigVersion base, unsigned target)
    {
        const std::string id = this->newId();
        return this->recordOutcome(
            id,
            this->keepers[keeper]->apply(this->declaration(target), base, this->name(keeper), id));
    }

    ChangeResult leave(std::size_t keeper, unsigned upstream, bool leaving)
    {
        const std::string id = this->newId();
        const UpstreamId target("almanac-" + std::to_string(upstream % 3));
        return this->recordOutcome(
            id, setLeaving(*this->keepers[keeper], target, leaving, this->name(keeper), id));
    }

    static std::string name(std::size_t keeper) { return "operator-" + std::to_string(keeper); }

    /** Write ids of all audit entries in @p record and in the archive pages of the store. */
    std::set<std::string> auditIds(const ConfigRecord &record)
    {
        std::set<std::string> ids;
        for (const auto &[key, stored] : this->store.values) {
            if (key != ConfigKey && !stored.value.empty()) {
                for (const AuditEntry &entry : parseAuditEntries(stored.value)) {
                    ids.insert(entry.writeId);
                }
            }
        }
        for (const AuditEntry &entry : record.audit) {
            ids.insert(entry.writeId);
        }
        return ids;
    }

    /** Passes the newest record and all drain flags to every agent. */
    void gossip()
    {
        for (const auto &from : this->agents) {
            for (const auto &to : this->agents) {
                to->adoptRecord(from->newest);
                to->adoptDrainFlags(from->newest.drainFlags);
            }
        }
    }

private:
    void seed(std::size_t count)
    {
        ConfigRecord record;
        record.version = ConfigVersion(1);
        record.declarationText = this->declaration(1);
        for (std::size_t i = 0; i < count; ++i) {
            record.audit.push_back({0, "seed", "apply", ConfigVersion(0), ConfigVersion(1),
                                    "seed-" + std::to_string(i)});
            this->accepted["seed-" + std::to_string(i)] = ConfigVersion(1);
        }
        this->store.compareAndSwap(ConfigKey, 0, serializeConfigRecord(record));
        for (const auto &agent : this->agents) {
            agent->adoptRecord(record);
        }
    }

    ChangeResult recordOutcome(const std::string &id, ChangeResult result)
    {
        if (const auto *change = std::get_if<ChangeAccepted>(&result)) {
            this->accepted[id] = change->version;
        } else if (std::holds_alternative<DrainFlagActive>(result)) {
            this->unrecorded.insert(id);
        } else if (!std::holds_alternative<ChangeUnknown>(result)) {
            this->rejected.insert(id);
        }
        return result;
    }
};

} // namespace bronzeshed

#endif
