#include "platform/configuration.h"
#include "base/error.h"

#include <boost/test/unit_test.hpp>

using namespace bronzeshed;
using namespace std::chrono_literals;

namespace {

const std::string Limits = R"("limits":{"maxHeaderBytes":100,"maxBodyBytes":200,)"
                           R"("headerTimeoutMs":300,"idleTimeoutMs":400})";
const std::string Clusters = R"("clusters":[{"name":"s1","healthPath":"/h1"},)"
                             R"({"name":"s2","healthPath":"/h2"}])";

std::string rule(const std::string &destination, const std::string &prefix = "/a/",
                 const std::string &kind = "unsafe")
{
    return R"({"name":"route","kind":")" + kind
        + R"(","targetLatencyMs":200,"priority":1,"match":{"prefix":")" + prefix
        + R"("},"action":{)" + destination + R"(,"timeoutMs":800,"maxAttempts":2}})";
}

std::string configuration(const std::string &rules, const std::string &version = "r7")
{
    return R"({"version":")" + version + "\"," + Limits + R"(,"listeners":[{"host":"h","rules":[)"
        + rules + "]}]," + Clusters + "}";
}

const std::string ToService = R"("service":"s1")";

} // namespace

BOOST_AUTO_TEST_SUITE(platform_configuration)

// Guards against fields that are decoded into the wrong target, limit or service when a complete
// configuration is parsed.
BOOST_AUTO_TEST_CASE(routes_become_classes)
{
    const VersionedDeclaration parsed = parseConfiguration(configuration(rule(ToService)));
    BOOST_TEST(parsed.version.value() == 7U);
    const Declaration &declaration = parsed.declaration;
    const ClassName *name = declaration.routes.find("h", "/a/b");
    BOOST_REQUIRE(name != nullptr);
    const ClassTarget &target = declaration.classes.at(*name);
    BOOST_TEST(target.service.value() == "s1");
    BOOST_CHECK(target.answerWithin == 200ms);
    BOOST_CHECK(target.deadline == 800ms);
    BOOST_TEST(target.maxAttempts == 2U);
    BOOST_TEST(target.priority == 1U);
    BOOST_TEST(!target.repeatable);
    BOOST_TEST(declaration.serviceSettings.at(ServiceName("s2")).healthPath == "/h2");
    BOOST_TEST(declaration.callerLimits.headerBytes == 100U);
    BOOST_TEST(declaration.callerLimits.bodyBytes == 200U);
    BOOST_CHECK(declaration.callerLimits.headerTimeout == 300ms);
    BOOST_CHECK(declaration.callerLimits.idleTimeout == 400ms);
    const std::string split
        = R"("trafficSplit":[{"service":"s1","weight":90},{"service":"s2","weight":10}])";
    const auto divided = parseConfiguration(configuration(rule(split, "/a/", "safe"))).declaration;
    const ClassTarget &shared = divided.classes.at(ClassName("route"));
    BOOST_TEST(shared.repeatable);
    BOOST_REQUIRE(shared.split.size() == 2U);
    BOOST_TEST(shared.split[1].weight == 10);
}

// Guards against calls sent to the wrong service: when two routes have the same name, the class of
// one must not replace the class of the other.
BOOST_AUTO_TEST_CASE(routes_with_the_same_name_stay_distinct)
{
    const auto parsed = parseConfiguration(
        configuration(rule(ToService) + "," + rule(R"("service":"s2")", "/b/")));
    const auto &declaration = parsed.declaration;
    const auto serviceOf = [&](const char *path) {
        return declaration.classes.at(*declaration.routes.find("h", path)).service.value();
    };
    BOOST_TEST(serviceOf("/a/") == "s1");
    BOOST_TEST(serviceOf("/b/") == "s2");
}

// Guards against a malformed configuration replacing the active one: an operator writes a truncated
// value, an unknown service or an invalid field to the store.
BOOST_AUTO_TEST_CASE(malformed_configurations_are_rejected)
{
    const std::string valid = configuration(rule(ToService));
    for (const std::string &malformed :
         {valid.substr(0, valid.size() / 2), std::string("7"), std::string("{}"),
          configuration(rule(ToService), "7"), configuration(rule(ToService), "rx"),
          configuration(rule(R"("service":"unknown")")), configuration(rule(R"("other":1)")),
          configuration(rule(ToService, "a/")), configuration(rule(ToService, "/a")),
          configuration(rule(ToService, "/a/", "odd")),
          configuration(rule(R"("trafficSplit":[{"service":"s1","weight":0}])")),
          configuration(rule(R"("trafficSplit":[{"service":"s1","weight":"x"}])"))}) {
        BOOST_CHECK_THROW(parseConfiguration(malformed), DeclarationError);
    }
}

// Guards against a huge number that becomes a small or negative one in the type that stores it.
BOOST_AUTO_TEST_CASE(huge_numbers_stay_large)
{
    std::string text = configuration(rule(ToService));
    for (const char *number : {":800", ":200,\"priority", ":200,\"header"}) {
        text.replace(text.find(number), 4, ":1e300");
    }
    const Declaration declaration = parseConfiguration(text).declaration;
    const ClassTarget &target = declaration.classes.at(ClassName("route"));
    BOOST_CHECK(target.deadline > 1h);
    BOOST_CHECK(target.answerWithin > 1h);
    BOOST_TEST(declaration.callerLimits.bodyBytes > 1'000'000'000U);
}

BOOST_AUTO_TEST_SUITE_END()
