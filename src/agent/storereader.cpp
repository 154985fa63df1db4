#include "agent/storereader.h"

#include "base/error.h"
#include "base/logline.h"
#include "membership/storewatchers.h"

namespace bronzeshed {

namespace {

/** Maximum delay before an agent detects that it became a watcher or lost its peers. */
constexpr std::chrono::milliseconds IdlePeriod{200};

} // namespace

StoreReader::StoreReader(const Clock &clock, Random &random, KeyValueStore &store,
                         AgentState &state, ControlCounters &counters,
                         std::function<bool()> cancelled)
    : clock(clock)
    , random(random)
    , store(store)
    , state(state)
    , counters(counters)
    , cancelled(std::move(cancelled))
{
}

Duration StoreReader::step()
{
    try {
        // A watcher also reads periodically, as a watch does not report a revision that decreased.
        if (this->clock.now() >= this->nextRead || this->state.needsConfirmation()) {
            this->read();
        } else if (this->state.isStoreWatcher()) {
            this->watch();
        } else {
            return IdlePeriod;
        }
        if (this->failures > 0) {
            LogLine("store_recovered").add("failures", this->failures);
        }
        this->failures = 0;
        return Duration::zero();
    } catch (const Error &error) {
        return this->pauseAfter(error);
    }
}

Duration StoreReader::pauseAfter(const Error &error)
{
    // Only watches are cancelled. A read that fails while the state needs confirmation is an
    // ordinary failure of the store and must back off.
    if (std::exchange(this->watching, false) && this->cancelled()) {
        return Duration::zero();
    }
    this->counters.count(ControlMessage::StoreFailed);
    LogLine("store_call_failed", LogLevel::Warning).add("error", error.what());
    // The store may recover with an older state, which only a read detects.
    this->nextRead = TimePoint();
    return storeBackoff(++this->failures, this->random);
}

void StoreReader::read()
{
    this->counters.count(ControlMessage::StoreRead);
    const TimePoint sentAt = this->clock.now();
    const StoredValue stored = this->store.get(ConfigKey);
    this->adopt(stored, sentAt);
    this->nextRead = sentAt + storeReadDelay(this->random);
}

void StoreReader::watch()
{
    this->counters.count(ControlMessage::StoreWatch);
    const TimePoint sentAt = this->clock.now();
    this->watching = true;
    const auto stored = this->store.watch(ConfigKey, this->revision);
    this->watching = false;
    if (stored) {
        this->adopt(*stored, sentAt);
    }
}

void StoreReader::adopt(const StoredValue &stored, TimePoint sentAt)
{
    if (stored.revision > 0) {
        this->state.adoptRecord(parseConfigRecord(stored.value));
    }
    // The revision is kept only after adoption, so that a malformed record is reported again.
    this->revision = stored.revision;
    this->state.storeAnswered(sentAt);
}

} // namespace bronzeshed
