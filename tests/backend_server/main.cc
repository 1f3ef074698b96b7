#define BOOST_TEST_MODULE backend_server
#include <boost/test/unit_test.hpp>
