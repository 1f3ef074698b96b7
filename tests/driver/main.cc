#define BOOST_TEST_MODULE driver
#include <boost/test/unit_test.hpp>
