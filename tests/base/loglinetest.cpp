#include "base/logline.h"

#include <boost/test/unit_test.hpp>

using namespace bronzeshed;

BOOST_AUTO_TEST_SUITE(log_line)

// Guards against forged log lines: a caller sends a value with a line break or key=value text,
// which must neither end the log line nor add a key to it.
BOOST_AUTO_TEST_CASE(quotes_and_escapes_special_characters)
{
    BOOST_TEST(quoteLogValue("plain-1.2:3") == "plain-1.2:3");
    BOOST_TEST(quoteLogValue("") == "\"\"");
    BOOST_TEST(quoteLogValue("a b") == "\"a b\"");
    BOOST_TEST(quoteLogValue("a=b") == "\"a=b\"");
    BOOST_TEST(quoteLogValue("x\nevent=forged") == "\"x\\x0aevent=forged\"");
    BOOST_TEST(quoteLogValue("say \"hi\"") == "\"say \\\"hi\\\"\"");
}

BOOST_AUTO_TEST_SUITE_END()
