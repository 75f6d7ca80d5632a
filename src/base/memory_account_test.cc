#include "base/memory_account.h"

#include <boost/test/unit_test.hpp>

#include <memory>

using namespace lacewing;

BOOST_AUTO_TEST_SUITE(MemoryAccountTest)

// Guards against bytes that stay in the account after their holder has gone.
BOOST_AUTO_TEST_CASE(ChargesAreReturned)
{
    MemoryAccount account(100);
    {
        MemoryCharge first(&account);
        MemoryCharge second(&account);
        first.set(60);
        second.add(30);
        BOOST_TEST(account.held() == 90u);
        BOOST_TEST(account.fits(10));
        BOOST_TEST(!account.fits(11));
        first.set(10);
        BOOST_TEST(account.held() == 40u);
    }
    BOOST_TEST(account.held() == 0u);
}

// Guards against an overflow when more is held than a limit that was lowered.
BOOST_AUTO_TEST_CASE(NothingFitsAboveTheLimit)
{
    MemoryAccount account(100);
    MemoryCharge charge(&account);
    charge.set(80);
    account.setLimit(50);
    BOOST_TEST(!account.fits(0));
    BOOST_TEST(!charge.fits(1));
    BOOST_TEST(MemoryCharge(nullptr).fits(1000));
}

BOOST_AUTO_TEST_SUITE_END()
