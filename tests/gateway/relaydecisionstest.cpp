#include "gateway/leaseschedule.h"
#include "gateway/registrationqueue.h"
#include "gateway/relaywatchlimits.h"

#include <boost/test/unit_test.hpp>

using namespace bronzeshed;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1h};

InstanceId entry(unsigned number)
{
    return InstanceId("entry-" + std::to_string(number));
}

} // namespace

BOOST_AUTO_TEST_SUITE(relay_decisions)

// 300 entries start within 0.3 s and repeat their request every 0.7 s until they see their
// registration, 1.5 s after it was written. Guards against more than the ten calls that hold them.
BOOST_AUTO_TEST_CASE(a_starting_fleet_is_registered_with_few_calls)
{
    constexpr unsigned Entries = 300;
    constexpr std::size_t MostPerCall = 31;
    constexpr Duration Visible = 1500ms;
    RegistrationQueue queue;
    std::map<InstanceId, TimePoint> written;
    std::size_t calls = 0;
    for (Duration passed = 0ms; passed < 6s; passed += 10ms) {
        const TimePoint now = Start + passed;
        for (unsigned number = 0; number < Entries; ++number) {
            const Duration sinceStart = passed - std::chrono::milliseconds(number);
            const auto known = written.find(entry(number));
            const bool seen = known != written.end() && now - known->second >= Visible;
            const auto phase = std::chrono::duration_cast<std::chrono::milliseconds>(sinceStart);
            if (!seen && phase >= 0ms && phase % 700ms < 10ms) {
                queue.request(entry(number), "record", now);
            }
        }
        while (queue.dueAt() && *queue.dueAt() <= now) {
            ++calls;
            for (const auto &[id, record] : queue.take(MostPerCall, now)) {
                written.emplace(id, now);
            }
        }
    }
    BOOST_TEST(written.size() == Entries);
    BOOST_TEST(calls <= 10U);
}

// Guards against a registration that is never written because its first write failed, and against
// one with a new address that is taken for the former one.
BOOST_AUTO_TEST_CASE(failed_and_changed_registrations_are_written_again)
{
    RegistrationQueue queue;
    queue.request(entry(1), "a", Start);
    const auto first = queue.take(9, Start + 300ms);
    queue.request(entry(1), "a", Start + 400ms);
    BOOST_TEST(!queue.dueAt().has_value());
    queue.writeFailed(first);
    queue.request(entry(1), "a", Start + 500ms);
    BOOST_TEST(queue.take(9, Start + 800ms).size() == 1U);
    queue.request(entry(1), "b", Start + 900ms);
    BOOST_TEST(queue.take(9, Start + 1200ms).size() == 1U);
}

// Guards against renewals that grow with the entries of a zone, a lease that ends although it is in
// use, and a lease that is not renewed at once by a new relay.
BOOST_AUTO_TEST_CASE(each_lease_in_use_is_renewed_seldom)
{
    LeaseSchedule schedule;
    const std::set<LeaseId> inUse{LeaseId(1), LeaseId(2)};
    BOOST_TEST(schedule.takeDue(inUse, Start).size() == 2U);
    std::size_t renewals = 0;
    for (Duration passed = 400ms; passed <= 60s; passed += 400ms) {
        renewals += schedule.takeDue(inUse, Start + passed).size();
    }
    // A lease of 15 s needs one renewal in 7.5 s, so that one may fail.
    BOOST_TEST(renewals >= 16U);
    BOOST_TEST(renewals <= 30U);
    schedule.takeDue({LeaseId(1)}, Start + 61s);
    BOOST_TEST(schedule.takeDue(inUse, Start + 61s).size() == 1U);
}

// All relays of a zone fall silent. Guards against watches that together take longer than the bound
// for the age of the replica, and against a second relay that gets no time to answer.
BOOST_AUTO_TEST_CASE(watches_at_silent_relays_end_in_time_to_ask_the_store)
{
    for (Duration ageAtStart = 0ms; ageAtStart <= 2s; ageAtStart += 7ms) {
        Duration age = ageAtStart;
        unsigned watches = 0;
        while (const auto limits = nextRelayWatch(age, true)) {
            ++watches;
            BOOST_REQUIRE((limits->wait > 0ms && limits->timeout > 0ms));
            age += limits->wait + limits->timeout;
            BOOST_TEST((age <= MaxAgeFromRelays));
        }
        BOOST_TEST((watches >= 2 || ageAtStart > 900ms));
    }
    const auto regular = nextRelayWatch(0ms, true);
    BOOST_REQUIRE(regular.has_value());
    BOOST_TEST((regular->wait + regular->timeout == 1300ms));
    BOOST_TEST(!nextRelayWatch(MaxAgeFromRelays, true).has_value());
    // While the store is away, a relay must still hear of the entry.
    BOOST_TEST(nextRelayWatch(10s, false).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
