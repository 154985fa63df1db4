#include "config/routetable.h"

#include <boost/test/unit_test.hpp>

using namespace bronzeshed;

namespace {

std::string find(const RouteTable &table, const char *host, const char *path)
{
    const ClassName *found = table.find(host, path);
    return found == nullptr ? "none" : found->value();
}

} // namespace

BOOST_AUTO_TEST_SUITE(route_table)

// Guards against a request that gets the class of a shorter prefix or of another host, when several
// routes match its path.
BOOST_AUTO_TEST_CASE(the_longest_prefix_of_the_host_wins)
{
    RouteTable table;
    table.add("A.example", "/x/", ClassName("short"));
    table.add("a.example", "/x/y/", ClassName("long"));
    table.add("b.example", "/", ClassName("root"));
    BOOST_TEST(find(table, "a.example", "/x/1") == "short");
    BOOST_TEST(find(table, "a.EXAMPLE:8080", "/x/y/1") == "long");
    BOOST_TEST(find(table, "a.example", "/x/y") == "short");
    BOOST_TEST(find(table, "a.example", "/x") == "none");
    BOOST_TEST(find(table, "a.example", "/xy/") == "none");
    BOOST_TEST(find(table, "b.example", "/anything") == "root");
    BOOST_TEST(find(table, "c.example", "/x/") == "none");
    BOOST_TEST(find(table, "", "") == "none");
}

BOOST_AUTO_TEST_SUITE_END()
