#include "fuzz/input_mutator.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace lacewing::fuzz;

BOOST_AUTO_TEST_SUITE(InputMutatorTest)

// Guards against failures that can't be reproduced from their seed.
BOOST_AUTO_TEST_CASE(SameSeedYieldsSameInputs)
{
    const std::vector<std::string> corpus { "{\"a\":1}", "GET / HTTP/1.1\r\n\r\n" };
    InputMutator first(corpus, 7);
    InputMutator second(corpus, 7);
    for (int count = 0; count < 500; ++count)
        BOOST_TEST(first.next() == second.next());
}

// Guards against a mutator that returns corpus inputs unchanged, and against one that fails on an empty
// input.
BOOST_AUTO_TEST_CASE(MutatedInputsDiffer)
{
    const std::vector<std::string> corpus { "", "{\"count\":125,\"name\":\"x\"}" };
    InputMutator mutator(corpus, 3);
    std::set<std::string> inputs;
    for (int count = 0; count < 1000; ++count)
        inputs.insert(mutator.next());
    BOOST_TEST(inputs.size() > 600);
}

BOOST_AUTO_TEST_SUITE_END()
