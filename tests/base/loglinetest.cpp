#include "base/logline.h"

#include <boost/test/unit_test.hpp>

using namespace bronzeshed;

BOOST_AUTO_TEST_SUITE(log_line)

// Guards against forged log lines: a value from a caller must not end the line or add a key.
BOOST_AUTO_TEST_CASE(quotes_values_that_need_it)
{
    BOOST_TEST(quoteLogValue("plain-1.2:3") == "plain-1.2:3");
    BOOST_TEST(quoteLogValue("") == "\"\"");
    BOOST_TEST(quoteLogValue("a b") == "\"a b\"");
    BOOST_TEST(quoteLogValue("a=b") == "\"a=b\"");
    BOOST_TEST(quoteLogValue("x\nevent=forged") == "\"x\\x0aevent=forged\"");
    BOOST_TEST(quoteLogValue("say \"hi\"") == "\"say \\\"hi\\\"\"");
}

BOOST_AUTO_TEST_SUITE_END()
