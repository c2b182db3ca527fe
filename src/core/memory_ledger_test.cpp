#include "siskindrift/core/memory_ledger.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift::core;

namespace {

class counting_holder final : public memory_holder {
public:
    void release_memory() override { ++released; }
    int released = 0;
};

} // namespace

TEST_GROUP(MemoryLedger)
{
    memory_ledger ledger{100};
    counting_holder first;
    counting_holder second;
    memory_account first_account{ledger, first};
    memory_account second_account{ledger, second};
};

TEST(MemoryLedger, AsksTheLargestAccountOnceItsLimitIsPassed)
{
    first_account.set(70);
    second_account.set(30);
    LONGS_EQUAL(0, first.released + second.released);
    second_account.set(31);
    LONGS_EQUAL(1, first.released);
    second_account.set(90);
    LONGS_EQUAL(1, first.released);
    LONGS_EQUAL(0, second.released);
}

TEST(MemoryLedger, AsksThoseLastWhoseEndIsKnown)
{
    first_account.set(70, true);
    second_account.set(31);
    LONGS_EQUAL(0, first.released);
    LONGS_EQUAL(1, second.released);
}

TEST(MemoryLedger, AsksAgainOnceTheBytesAreReleased)
{
    first_account.set(101);
    first_account.set(0);
    UNSIGNED_LONGS_EQUAL(0, ledger.total());
    first_account.set(101);
    LONGS_EQUAL(2, first.released);
}
