#include "gateway/prompt_memory.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::gateway;

namespace {

const AdapterRef adapter { ModelId("base"), AdapterId("a1") };
const AdapterRef other { ModelId("base"), AdapterId("a2") };
const std::vector<PromptPart> prompt { { 1, Tokens(100) }, { 2, Tokens(50) }, { 3, Tokens(10) } };

} // namespace

BOOST_AUTO_TEST_SUITE(PromptMemoryTest)

// Guards against parts that count as kept for another adapter, or without the parts before them.
BOOST_AUTO_TEST_CASE(PartsAreKeptWithAllPartsBeforeThem)
{
    PromptMemory memory;
    memory.setCapacity(Tokens(1000));
    BOOST_TEST((memory.held(adapter, prompt) == Tokens(0)));
    memory.read(adapter, prompt);
    BOOST_TEST((memory.held(adapter, prompt) == Tokens(160)));
    BOOST_TEST((memory.held(other, prompt) == Tokens(0)));
    BOOST_TEST((memory.held(adapter, { { 1, Tokens(100) }, { 9, Tokens(50) } }) == Tokens(100)));
    BOOST_TEST((memory.held(adapter, { { 2, Tokens(50) } }) == Tokens(0)));
}

// Guards against memory that grows without bound, and against a shared part that yields before what follows
// it.
BOOST_AUTO_TEST_CASE(TheLeastRecentlyUsedPartsYield)
{
    PromptMemory memory;
    memory.setCapacity(Tokens(200));
    memory.read(adapter, prompt);
    memory.read(adapter, { { 1, Tokens(100) }, { 4, Tokens(80) } });
    BOOST_TEST((memory.used() <= Tokens(200)));
    BOOST_TEST((memory.held(adapter, prompt) == Tokens(100)));
    for (uint64_t part = 10; part < 100000; ++part)
        memory.read(adapter, { { part, Tokens(0) } });
    BOOST_TEST((memory.used() <= Tokens(200)));
}

// Guards against prompts that count as kept after the engine dropped their adapter.
BOOST_AUTO_TEST_CASE(WhatWasKeptGoesWithItsAdapter)
{
    PromptMemory memory;
    memory.setCapacity(Tokens(1000));
    memory.read(adapter, prompt);
    memory.read(other, prompt);
    memory.forget(adapter);
    BOOST_TEST((memory.held(adapter, prompt) == Tokens(0)));
    BOOST_TEST((memory.held(other, prompt) == Tokens(160)));
    memory.forget(other);
    BOOST_TEST((memory.used() == Tokens(0)));
}

BOOST_AUTO_TEST_SUITE_END()
