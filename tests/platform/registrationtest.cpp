#include "platform/registration.h"
#include "base/error.h"

#include <boost/test/unit_test.hpp>

using namespace bronzeshed;

namespace {

const ZoneRegions Zones{{ZoneName("z1"), RegionName("r1")}};

std::string makeRegistration(const std::string &state = "ready", const std::string &slots = "2",
                             const std::string &extra = "")
{
    return R"({"address":"10.0.0.9:8080","info":{"service":"s","version":"v1","zone":"z1","slots":)"
        + slots + R"(},"status":{"state":")" + state + R"(","seq":4,"warmupLeftMs":7})" + extra
        + "}";
}

} // namespace

BOOST_AUTO_TEST_SUITE(registration)

// Guards against fields that are lost or swapped when an upstream's registration is decoded.
BOOST_AUTO_TEST_CASE(all_fields_are_decoded)
{
    const UpstreamInfo info = parseRegistration(
        "i-1", makeRegistration("draining", "3", R"(,"born":1700000000123)"), Zones);
    BOOST_TEST(info.id.value() == "i-1");
    BOOST_TEST(info.service.value() == "s");
    BOOST_TEST(info.zone.value() == "z1");
    BOOST_TEST(info.region.value() == "r1");
    BOOST_TEST(info.endpoint.toString() == "10.0.0.9:8080");
    BOOST_TEST(info.slots == 3U);
    BOOST_TEST(info.leaving);
    BOOST_TEST(info.warmingUp);
    BOOST_TEST(info.startedAtMs == 1700000000123);
    BOOST_TEST(!parseRegistration("i-1", makeRegistration(), Zones).leaving);
}

// Guards against calls to an invalid upstream: another program writes a malformed value under the
// prefix of the registrations.
BOOST_AUTO_TEST_CASE(malformed_registrations_are_rejected)
{
    for (const std::string &malformed :
         {std::string(), std::string("\xff\x00", 2), std::string("[]"), std::string("{}"),
          makeRegistration("asleep"), makeRegistration("ready", "\"2\""),
          makeRegistration("ready", "-1"), makeRegistration("ready", "2", R"(,"born":"x")"),
          makeRegistration("ready", "2", R"(,"born":1.5)"),
          std::string(R"({"address":7,"info":{},"status":{}})"),
          std::string(R"({"address":"10.0.0.9","info":{"service":"s","zone":"z1","slots":2},)"
                      R"("status":{"state":"ready","warmupLeftMs":0}})"),
          std::string(R"({"address":"10.0.0.9:1","info":{"service":"s","zone":"zz","slots":2},)"
                      R"("status":{"state":"ready","warmupLeftMs":0}})")}) {
        BOOST_CHECK_THROW(parseRegistration("i-1", malformed, Zones), ProtocolError);
    }
}

// Guards against an odd entry of another writer that ends the process, and against one whose
// numbers become valid ones when they are narrowed.
BOOST_AUTO_TEST_CASE(extreme_registrations_are_rejected)
{
    const auto withAddress = [](const std::string &address) {
        return R"({"address":")" + address
            + R"(","info":{"service":"s","zone":"z1","slots":2},)"
              R"("status":{"state":"ready","warmupLeftMs":0}})";
    };
    const std::string deep(100'000, '[');
    for (const std::string &extreme :
         {deep, makeRegistration("ready", "2", R"(,"extra":)" + deep + std::string(100'000, ']')),
          makeRegistration("ready", "4294967298"), makeRegistration("ready", "9223372036854775807"),
          makeRegistration("ready", "18446744073709551616"), makeRegistration("ready", "1e400"),
          makeRegistration("ready", "2", R"(,"born":99999999999999999999)"),
          withAddress("10.0.0.9:0"), withAddress("10.0.0.9:65536"),
          withAddress("10.0.0.9:18446744073709551617"), withAddress("10.0.0.9:-1"),
          withAddress("10.0.0.9:"), withAddress("[::1]:80")}) {
        BOOST_CHECK_THROW(parseRegistration("i-1", extreme, Zones), ProtocolError);
    }
    for (const std::string &id : {std::string("a\r\nX: y"), std::string("a b"), std::string()}) {
        BOOST_CHECK_THROW(parseRegistration(id, makeRegistration(), Zones), ProtocolError);
    }
}

BOOST_AUTO_TEST_SUITE_END()
