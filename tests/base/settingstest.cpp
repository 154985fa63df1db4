#include "base/settings.h"
#include "base/error.h"

#include <boost/test/unit_test.hpp>

using namespace bronzeshed;

BOOST_AUTO_TEST_SUITE(settings)

// Guards against an operator's typing error, such as a host name or a missing port, that passes the
// check of the settings and fails only later, when a connection is opened.
BOOST_AUTO_TEST_CASE(rejects_malformed_endpoints)
{
    for (const char *text : {"", "127.0.0.1", "localhost:80", "1.2.3.4:", "1.2.3.4:70000"}) {
        BOOST_CHECK_THROW(parseEndpoint(text, "flag --listen"), SettingsError);
    }
    BOOST_TEST(parseEndpoint("1.2.3.4:80", "flag --listen").toString() == "1.2.3.4:80");
}

// Guards against a misspelt flag that is ignored silently, so that the default value applies.
BOOST_AUTO_TEST_CASE(error_names_the_unknown_flag)
{
    Settings settings("program", "summary", {{"listen", "", "address"}});
    char program[] = "program";
    char flag[] = "--lisen=1.2.3.4:80";
    char *arguments[] = {program, flag, nullptr};
    try {
        settings.parse(2, arguments);
        BOOST_FAIL("the flag was accepted");
    } catch (const SettingsError &error) {
        BOOST_TEST(std::string(error.what()).find("--lisen") != std::string::npos);
    }
}

BOOST_AUTO_TEST_SUITE_END()
