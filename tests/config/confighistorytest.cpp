#include "config/confighistory.h"
#include "base/error.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace bronzeshed;

namespace {

const std::string Text = "[service.s]\n[class.c]\nservice = \"s\"\nanswer_within_ms = 1\n"
                         "repeatable = true\n";

ConfigRecord recordWith(std::size_t entries, const std::string &action = "apply")
{
    ConfigRecord record;
    for (std::size_t i = 0; i < entries; ++i) {
        record.audit.push_back(
            {1, "anna", action, ConfigVersion(i), ConfigVersion(i + 1), std::to_string(i)});
    }
    record.version = ConfigVersion(entries);
    return record;
}

rc::Gen<ConfigVersion> anyVersion()
{
    return rc::gen::map(rc::gen::inRange<std::uint64_t>(0, INT64_MAX),
                        [](std::uint64_t number) { return ConfigVersion(number); });
}

/** JSON replaces nothing, but it takes UTF-8 only; texts here are bytes below 128. */
rc::Gen<std::string> anyText()
{
    return rc::gen::container<std::string>(rc::gen::inRange<char>(0, 127));
}

ConfigRecord anyRecord()
{
    ConfigRecord record;
    record.version = *anyVersion();
    record.declarationText = *anyText();
    record.writeId = *anyText();
    record.archivedPages = *rc::gen::inRange<std::uint64_t>(0, 1000);
    for (const std::string &id : *rc::gen::container<std::vector<std::string>>(anyText())) {
        const auto counter = *rc::gen::inRange<std::uint64_t>(0, INT64_MAX);
        record.leaveMarks[UpstreamId(id)] = {counter, *rc::gen::arbitrary<bool>()};
        record.audit.push_back({*rc::gen::inRange<std::int64_t>(0, INT64_MAX), *anyText(), id,
                                *anyVersion(), *anyVersion(), *anyText()});
    }
    return record;
}

} // namespace

BOOST_AUTO_TEST_SUITE(config_history)

// Guards against a version that some instance ignores because it knows a higher one.
BOOST_AUTO_TEST_CASE(next_version_is_above_all_known)
{
    using V = ConfigVersion;
    BOOST_TEST(ConfigHistory::nextVersion(0, V(3), V(2), {V(7), V(1)}).value() == 8U);
    BOOST_TEST(ConfigHistory::nextVersion(0, V(3), V(9), {}).value() == 10U);
    BOOST_TEST(ConfigHistory::nextVersion(0, V(0), V(0), {}).value() == 1U);
    BOOST_TEST(ConfigHistory::nextVersion(7, V(3), V(5), {V(6)}).value() == 8U);
    BOOST_TEST(!ConfigHistory::isNewer(V(3), V(3)));
    BOOST_TEST(!ConfigHistory::isNewer(V(3), V(2)));
    BOOST_TEST(ConfigHistory::isNewer(V(3), V(4)));
}

// Guards against accepted changes without an audit entry.
BOOST_AUTO_TEST_CASE(each_change_adds_its_entry)
{
    const ConfigChange change{5, "anna", "apply", "id"};
    const ConfigRecord next
        = ConfigHistory::withDeclaration(recordWith(2), ConfigVersion(9), Text, change);
    const AuditEntry expected{5, "anna", "apply", ConfigVersion(2), ConfigVersion(9), "id"};
    BOOST_TEST((next.audit.back() == expected));
    BOOST_TEST(next.version.value() == 9U);
    BOOST_TEST(next.declarationText == Text);
    BOOST_CHECK_THROW(ConfigHistory::withDeclaration({}, ConfigVersion(1), "x", change),
                      DeclarationError);
    const std::string large = Text + "#" + std::string(ConfigHistory::MaxDeclarationBytes, 'x');
    BOOST_CHECK_THROW(ConfigHistory::withDeclaration({}, ConfigVersion(1), large, change),
                      DeclarationError);
    BOOST_CHECK_THROW(
        ConfigHistory::withDeclaration({}, ConfigVersion(1), Text, {5, "a\nb", "apply", "id"}),
        Error);
}

// Guards against audit entries that are dropped or kept twice when they move to a page.
BOOST_AUTO_TEST_CASE(oldest_entries_move_to_a_page)
{
    BOOST_TEST(!ConfigHistory::pageToArchive(recordWith(1000)));
    ConfigRecord record = recordWith(1001);
    record.archivedPages = 3;
    const auto page = ConfigHistory::pageToArchive(record);
    BOOST_REQUIRE(page);
    BOOST_TEST(page->number == 3U);
    BOOST_TEST(page->entries.size() == 500U);
    ConfigHistory::trim(record, *page);
    BOOST_TEST(record.archivedPages == 4U);
    std::vector<AuditEntry> all = parseAuditEntries(serializeAuditPage(*page));
    all.insert(all.end(), record.audit.begin(), record.audit.end());
    BOOST_TEST((all == recordWith(1001).audit));
}

// Guards against a record that the store refuses: the largest one that is accepted fits.
BOOST_AUTO_TEST_CASE(record_stays_below_the_limit_of_the_store)
{
    ConfigRecord record = recordWith(1000, std::string(ConfigHistory::MaxActionBytes, '"'));
    record.declarationText = std::string(ConfigHistory::MaxDeclarationBytes, '\n');
    while (const auto page = ConfigHistory::pageToArchive(record)) {
        ConfigHistory::trim(record, *page);
    }
    ConfigHistory::checkSize(record);
    BOOST_TEST(serializeConfigRecord(record).size() <= ConfigHistory::MaxRecordBytes);
    record.declarationText = std::string(ConfigHistory::MaxRecordBytes, 'x');
    BOOST_CHECK_THROW(ConfigHistory::checkSize(record), Error);
}

// Guards against marks of replaced upstreams that fill the record until no change is accepted, and
// against the loss of a mark that is still needed.
BOOST_AUTO_TEST_CASE(marks_of_unlisted_upstreams_lapse)
{
    constexpr std::int64_t Now = 1'800'000'000'000;
    constexpr std::uint64_t Old = Now - std::chrono::milliseconds(LeaveMarkLifetime).count();
    const UpstreamId listed(std::string("almanac-0"));
    const LeaveMarks kept{{listed, {Old, true}}, {UpstreamId("new"), {Old + 1, false}}};
    LeaveMarks marks = kept;
    marks[UpstreamId("old")] = {Old, true};
    marks[UpstreamId("returned")] = {Old, false};
    BOOST_TEST(dropLapsedMarks(marks, {}, Now) == 0U);
    BOOST_TEST(marks.size() == 4U);
    BOOST_TEST(dropLapsedMarks(marks, {listed}, Now) == 2U);
    BOOST_TEST((marks == kept));
}

// Guards against losing changes that were accepted on a store that had fallen back.
BOOST_AUTO_TEST_CASE(restoring_keeps_entries_of_both_records)
{
    const ConfigRecord fleet = recordWith(8);
    ConfigRecord stored = recordWith(5);
    const ConfigChange change{5, "bronzeshed", "restore", "r"};
    BOOST_TEST((ConfigHistory::restored(fleet, stored, fleet.version.next(), change) == fleet));
    stored.audit.push_back({9, "ben", "apply", ConfigVersion(5), ConfigVersion(6), "other"});
    const ConfigRecord restored
        = ConfigHistory::restored(fleet, stored, fleet.version.next(), change);
    BOOST_TEST(restored.version.value() == 9U);
    BOOST_TEST(ConfigHistory::findWrite(restored, "other").has_value());
    BOOST_TEST(restored.audit.size() == 10U);
}

// Guards against agents that settle on different marks because they arrived in another order.
BOOST_AUTO_TEST_CASE(marks_merge_to_the_same_whatever_the_order)
{
    BOOST_TEST(rc::check("merge order", [] {
        const LeaveMarks first = anyRecord().leaveMarks;
        LeaveMarks second = anyRecord().leaveMarks;
        for (const auto &[id, mark] : first) {
            second[id] = {mark.counter, *rc::gen::arbitrary<bool>()};
        }
        LeaveMarks forward = first;
        mergeLeaveMarks(forward, second);
        LeaveMarks backward = second;
        mergeLeaveMarks(backward, first);
        RC_ASSERT(forward == backward);
    }));
}

// Guards against a record that changes on its way through the store or ends the agent.
BOOST_AUTO_TEST_CASE(records_survive_serialisation_and_damage)
{
    BOOST_TEST(rc::check("round trip", [] {
        const ConfigRecord record = anyRecord();
        RC_ASSERT(parseConfigRecord(serializeConfigRecord(record)) == record);
    }));
    BOOST_TEST(rc::check("damage", [] {
        std::string text = serializeConfigRecord(anyRecord());
        const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
        text.replace(position, *rc::gen::inRange<std::size_t>(0, 9),
                     *rc::gen::arbitrary<std::string>());
        try {
            parseConfigRecord(text);
        } catch (const ProtocolError &error) {
            RC_ASSERT(std::string(error.what()).find("; ") != std::string::npos);
        }
    }));
}

BOOST_AUTO_TEST_SUITE_END()
