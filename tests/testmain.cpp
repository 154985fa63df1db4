#define BOOST_TEST_MODULE BRONZESHED_TEST_NAME
#include <boost/test/unit_test.hpp>
