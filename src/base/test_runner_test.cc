// Defines the main function of every test program.
#define BOOST_TEST_MODULE lacewinglb
#include <boost/test/unit_test.hpp>
