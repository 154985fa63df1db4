#include "config/confighistory.h"
#include "base/error.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace bronzeshed;

namespace {

const std::string ValidDeclaration
    = "[service.s]\n[class.c]\nservice = \"s\"\nanswer_within_ms = 1\n"
      "repeatable = true\n";

ConfigRecord makeRecord(std::size_t entries, const std::string &action = "apply")
{
    ConfigRecord record;
    for (std::size_t i = 0; i < entries; ++i) {
        record.audit.push_back(
            {1, "anna", action, ConfigVersion(i), ConfigVersion(i + 1), std::to_string(i)});
    }
    record.version = ConfigVersion(entries);
    return record;
}

rc::Gen<ConfigVersion> arbitraryVersion()
{
    return rc::gen::map(rc::gen::inRange<std::uint64_t>(0, INT64_MAX),
                        [](std::uint64_t number) { return ConfigVersion(number); });
}

/** Generates ASCII only, since JSON accepts only valid UTF-8. */
rc::Gen<std::string> arbitraryText()
{
    return rc::gen::container<std::string>(rc::gen::inRange<char>(0, 127));
}

ConfigRecord arbitraryRecord()
{
    ConfigRecord record;
    record.version = *arbitraryVersion();
    record.declarationText = *arbitraryText();
    record.writeId = *arbitraryText();
    record.archivedPages = *rc::gen::inRange<std::uint64_t>(0, 1000);
    for (const std::string &id : *rc::gen::container<std::vector<std::string>>(arbitraryText())) {
        const auto counter = *rc::gen::inRange<std::uint64_t>(0, INT64_MAX);
        record.drainFlags[UpstreamId(id)] = {counter, *rc::gen::arbitrary<bool>()};
        record.audit.push_back({*rc::gen::inRange<std::int64_t>(0, INT64_MAX), *arbitraryText(), id,
                                *arbitraryVersion(), *arbitraryVersion(), *arbitraryText()});
    }
    return record;
}

} // namespace

BOOST_AUTO_TEST_SUITE(config_history)

// Guards against a change that an agent ignores. This happens if the new version is not above the
// version of every agent and the revision of the store.
BOOST_AUTO_TEST_CASE(next_version_is_above_all_existing_versions)
{
    using Version = ConfigVersion;
    BOOST_TEST(
        ConfigHistory::nextVersion(0, Version(3), Version(2), {Version(7), Version(1)}).value()
        == 8U);
    BOOST_TEST(ConfigHistory::nextVersion(0, Version(3), Version(9), {}).value() == 10U);
    BOOST_TEST(ConfigHistory::nextVersion(0, Version(0), Version(0), {}).value() == 1U);
    BOOST_TEST(ConfigHistory::nextVersion(7, Version(3), Version(5), {Version(6)}).value() == 8U);
    BOOST_TEST(!ConfigHistory::isNewer(Version(3), Version(3)));
    BOOST_TEST(!ConfigHistory::isNewer(Version(3), Version(2)));
    BOOST_TEST(ConfigHistory::isNewer(Version(3), Version(4)));
}

// Guards against an accepted change that adds no audit entry, and against invalid changes that are
// accepted: a malformed or too large declaration, or a line break in the operator name.
BOOST_AUTO_TEST_CASE(each_change_adds_an_audit_entry)
{
    const ConfigChange change{5, "anna", "apply", "id"};
    const ConfigRecord next
        = ConfigHistory::withDeclaration(makeRecord(2), ConfigVersion(9), ValidDeclaration, change);
    const AuditEntry expected{5, "anna", "apply", ConfigVersion(2), ConfigVersion(9), "id"};
    BOOST_TEST((next.audit.back() == expected));
    BOOST_TEST(next.version.value() == 9U);
    BOOST_TEST(next.declarationText == ValidDeclaration);
    BOOST_CHECK_THROW(ConfigHistory::withDeclaration({}, ConfigVersion(1), "x", change),
                      DeclarationError);
    const std::string large
        = ValidDeclaration + "#" + std::string(ConfigHistory::MaxDeclarationBytes, 'x');
    BOOST_CHECK_THROW(ConfigHistory::withDeclaration({}, ConfigVersion(1), large, change),
                      DeclarationError);
    BOOST_CHECK_THROW(ConfigHistory::withDeclaration({}, ConfigVersion(1), ValidDeclaration,
                                                     {5, "a\nb", "apply", "id"}),
                      Error);
}

// Guards against audit entries that are lost or duplicated when the oldest ones are moved to a page
// because the record exceeds its limit of entries.
BOOST_AUTO_TEST_CASE(oldest_entries_move_to_a_page)
{
    BOOST_TEST(!ConfigHistory::pageToArchive(makeRecord(1000)));
    ConfigRecord record = makeRecord(1001);
    record.archivedPages = 3;
    const auto page = ConfigHistory::pageToArchive(record);
    BOOST_REQUIRE(page);
    BOOST_TEST(page->number == 3U);
    BOOST_TEST(page->entries.size() == 500U);
    ConfigHistory::trim(record, *page);
    BOOST_TEST(record.archivedPages == 4U);
    std::vector<AuditEntry> all = parseAuditEntries(serializeAuditPage(*page));
    all.insert(all.end(), record.audit.begin(), record.audit.end());
    BOOST_TEST((all == makeRecord(1001).audit));
}

// Guards against a record that exceeds the size limit of the store. A declaration of the largest
// size and 1,000 audit entries, all of characters that JSON escapes, must fit after archiving.
BOOST_AUTO_TEST_CASE(record_stays_below_the_size_limit_of_the_store)
{
    ConfigRecord record = makeRecord(1000, std::string(ConfigHistory::MaxActionBytes, '"'));
    record.declarationText = std::string(ConfigHistory::MaxDeclarationBytes, '\n');
    while (const auto page = ConfigHistory::pageToArchive(record)) {
        ConfigHistory::trim(record, *page);
    }
    ConfigHistory::checkSize(record);
    BOOST_TEST(serializeConfigRecord(record).size() <= ConfigHistory::MaxRecordBytes);
    record.declarationText = std::string(ConfigHistory::MaxRecordBytes, 'x');
    BOOST_CHECK_THROW(ConfigHistory::checkSize(record), Error);
}

// Guards against drain flags of replaced upstreams that fill the record until no change is
// accepted, and against the removal of a flag whose upstream is listed or that has not expired yet.
BOOST_AUTO_TEST_CASE(drain_flags_of_unlisted_upstreams_expire)
{
    constexpr std::int64_t Now = 1'800'000'000'000;
    constexpr std::uint64_t Old = Now - std::chrono::milliseconds(DrainFlagLifetime).count();
    const UpstreamId listed(std::string("almanac-0"));
    const DrainFlags kept{{listed, {Old, true}}, {UpstreamId("new"), {Old + 1, false}}};
    DrainFlags flags = kept;
    flags[UpstreamId("old")] = {Old, true};
    flags[UpstreamId("returned")] = {Old, false};
    BOOST_TEST(removeExpiredDrainFlags(flags, {}, Now) == 0U);
    BOOST_TEST(flags.size() == 4U);
    BOOST_TEST(removeExpiredDrainFlags(flags, {listed}, Now) == 2U);
    BOOST_TEST((flags == kept));
}

// Guards against the loss of a change that was accepted after the store had reverted to an older
// record, when the agents then restore their newer record.
BOOST_AUTO_TEST_CASE(restored_record_holds_entries_of_both_records)
{
    const ConfigRecord fleet = makeRecord(8);
    ConfigRecord stored = makeRecord(5);
    const ConfigChange change{5, "bronzeshed", "restore", "r"};
    BOOST_TEST((ConfigHistory::restored(fleet, stored, fleet.version.next(), change) == fleet));
    stored.audit.push_back({9, "ben", "apply", ConfigVersion(5), ConfigVersion(6), "other"});
    const ConfigRecord restored
        = ConfigHistory::restored(fleet, stored, fleet.version.next(), change);
    BOOST_TEST(restored.version.value() == 9U);
    BOOST_TEST(ConfigHistory::findWrite(restored, "other").has_value());
    BOOST_TEST(restored.audit.size() == 10U);
}

// Guards against agents that permanently hold different drain flags because they received the same
// flags in different orders.
BOOST_AUTO_TEST_CASE(merging_drain_flags_is_independent_of_order)
{
    BOOST_TEST(rc::check("merge order", [] {
        const DrainFlags first = arbitraryRecord().drainFlags;
        DrainFlags second = arbitraryRecord().drainFlags;
        for (const auto &[id, flag] : first) {
            second[id] = {flag.counter, *rc::gen::arbitrary<bool>()};
        }
        DrainFlags forward = first;
        mergeDrainFlags(forward, second);
        DrainFlags backward = second;
        mergeDrainFlags(backward, first);
        RC_ASSERT(forward == backward);
    }));
}

// Guards against a record that changes when it is written to and read from the store, and against
// an exception other than ProtocolError, which would end the agent, for a damaged record.
BOOST_AUTO_TEST_CASE(records_are_read_back_and_damage_is_rejected)
{
    BOOST_TEST(rc::check("round trip", [] {
        const ConfigRecord record = arbitraryRecord();
        RC_ASSERT(parseConfigRecord(serializeConfigRecord(record)) == record);
    }));
    BOOST_TEST(rc::check("damage", [] {
        std::string text = serializeConfigRecord(arbitraryRecord());
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
