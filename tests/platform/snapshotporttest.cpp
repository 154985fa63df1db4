#include "platform/snapshotport.h"

#include "base/error.h"
#include "platform/httpmetadatastore.h"
#include "platform/storecodec.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <future>
#include <thread>

using namespace bronzeshed;
using namespace std::chrono_literals;

namespace {

/** Replica without items, known to be complete at a given time. */
class EmptyReplica : public SnapshotSource
{
public:
    StoreRange snapshot(ReadMode /*mode*/) override
    {
        StoreRange range;
        range.asOf = StoreRevision(7);
        return range;
    }
    StoreChanges changesSince(StoreRevision after) override
    {
        StoreChanges changes;
        changes.asOf = after;
        return changes;
    }
    bool isCurrent() override { return true; }
    TimePoint confirmedAt() override { return this->confirmation.load(); }
    void contactFrom(const InstanceId & /*watcher*/) override { this->watching.store(true); }
    bool registrationRequested(const InstanceId & /*id*/, const std::string & /*record*/) override
    {
        return false;
    }

    std::atomic<TimePoint> confirmation{std::chrono::steady_clock::now()};
    std::atomic<bool> watching{false};
};

struct SnapshotFixture
{
    EmptyReplica replica;
    SnapshotPort port{replica};
    HttpServer server{{"127.0.0.1", 0}, HttpLimits{}, port};
    HttpMetadataStore reader{server.localEndpoint(), 2000ms};
};

} // namespace

BOOST_AUTO_TEST_SUITE(snapshot_port)

// Guards against a follower that dates what it has read by the time of the answer, although the
// replica that answered was already old.
BOOST_FIXTURE_TEST_CASE(a_read_states_the_age_of_the_replica, SnapshotFixture)
{
    this->replica.confirmation.store(std::chrono::steady_clock::now() - 1500ms);
    const StoreRange range = this->reader.range("", ReadMode::Linearizable);
    BOOST_REQUIRE(range.confirmation.has_value());
    BOOST_TEST((*range.confirmation <= -1500ms && *range.confirmation > -2000ms));
    const StoreChanges changes
        = this->reader.watch("", StoreRevision(7), 1ms, ReadMode::Linearizable);
    BOOST_REQUIRE(changes.confirmation.has_value());
    BOOST_TEST((*changes.confirmation <= -1500ms && *changes.confirmation > -2000ms));
}

// Guards against a waiting follower that hears of a confirmation only with the next change, so that
// its replica seems older than that of the relay.
BOOST_FIXTURE_TEST_CASE(a_waiting_watch_ends_when_the_replica_is_confirmed, SnapshotFixture)
{
    this->replica.confirmation.store(std::chrono::steady_clock::now() - 1500ms);
    this->reader.identifyWatches(InstanceId("follower"));
    const TimePoint start = std::chrono::steady_clock::now();
    auto watch = std::async(std::launch::async, [this] {
        return this->reader.watch("", StoreRevision(7), 5000ms, ReadMode::Linearizable);
    });
    while (!this->replica.watching.load()) {
        std::this_thread::sleep_for(1ms);
    }
    std::this_thread::sleep_for(50ms); // until the watch waits
    this->replica.confirmation.store(std::chrono::steady_clock::now());
    this->port.replicaConfirmed();
    const StoreChanges changes = watch.get();
    BOOST_TEST(changes.events.empty());
    BOOST_REQUIRE(changes.confirmation.has_value());
    BOOST_TEST((*changes.confirmation >= 50ms));
    BOOST_TEST((start + *changes.confirmation <= std::chrono::steady_clock::now()));
}

// Guards against an unreadable age that is taken for a fresh replica.
BOOST_AUTO_TEST_CASE(a_malformed_age_is_rejected)
{
    HttpResponse response = makeJsonResponse(200, "{}");
    BOOST_TEST(!readConfirmation(response).has_value());
    addConfirmation(response, -40ms);
    BOOST_TEST((readConfirmation(response) == std::chrono::milliseconds(-40)));
    for (const char *malformed : {"", "soon", "12s", "99999999999999999999"}) {
        response.headers.set("Bronzeshed-Confirmed-After-Ms", malformed);
        BOOST_CHECK_THROW(readConfirmation(response), ProtocolError);
    }
}

BOOST_AUTO_TEST_SUITE_END()
