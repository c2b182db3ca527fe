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

TEST_GROUP(IncompleteMessages)
{
    manual_clock time;
    memory_ledger ledger{400, time};
    counting_holder first;
    counting_holder second;
    counting_holder newcomer;
    memory_account first_account{ledger, first};
    memory_account second_account{ledger, second};
    memory_account newcomer_account{ledger, newcomer};
};

TEST(IncompleteMessages, AreRefusedBeforeTheyPassTheLimit)
{
    CHECK_TRUE(first_account.reserve(400, memory_use::receiving));
    CHECK_FALSE(second_account.reserve(1, memory_use::receiving));
    UNSIGNED_LONGS_EQUAL(400, ledger.total());
    LONGS_EQUAL(0, first.released);
}

TEST(IncompleteMessages, GiveWayWhenTheyStallTheLongestFirst)
{
    CHECK_TRUE(second_account.reserve(200, memory_use::receiving, 100));
    time.advance(milliseconds{1});
    CHECK_TRUE(first_account.reserve(200, memory_use::receiving, 200));
    time.advance(memory_ledger::patience);
    CHECK_TRUE(newcomer_account.reserve(200, memory_use::receiving));
    LONGS_EQUAL(0, first.released);
    LONGS_EQUAL(1, second.released);
    CHECK_FALSE(second_account.reserve(201, memory_use::receiving));
}

// Guards against a large request that goes on and loses to many that came at once and stopped.
TEST(IncompleteMessages, KeepTheirMemoryWhileTheyGoOn)
{
    constexpr auto step = memory_ledger::progress_bytes;
    memory_ledger large_ledger{40 * step, time};
    memory_account honest{large_ledger, first};
    memory_account stopped{large_ledger, second};
    memory_account further{large_ledger, newcomer};
    CHECK_TRUE(honest.reserve(10 * step, memory_use::receiving));
    for (std::uint64_t received = step; received <= 4 * step; received += step) {
        time.advance(memory_ledger::patience / 2);
        CHECK_TRUE(honest.reserve(10 * step, memory_use::receiving, received));
    }
    CHECK_TRUE(stopped.reserve(20 * step, memory_use::receiving, 0));
    CHECK_TRUE(stopped.reserve(20 * step, memory_use::receiving, 20 * step - 1));
    time.advance(memory_ledger::patience / 2);
    CHECK_TRUE(honest.reserve(10 * step, memory_use::receiving, 5 * step));
    time.advance(memory_ledger::patience / 2);
    CHECK_TRUE(further.reserve(10 * step, memory_use::receiving));
    LONGS_EQUAL(0, first.released);
    LONGS_EQUAL(1, second.released);
}

TEST(IncompleteMessages, GiveWayToResponsesWhenTheyAreOverdue)
{
    CHECK_TRUE(first_account.reserve(100, memory_use::receiving));
    time.advance(memory_ledger::patience);
    second_account.set(301);
    LONGS_EQUAL(1, first.released);
    LONGS_EQUAL(0, second.released);
}

TEST(IncompleteMessages, ComeAfterResponsesWithoutAKnownEndUntilThen)
{
    CHECK_TRUE(first_account.reserve(300, memory_use::receiving));
    second_account.set(101);
    LONGS_EQUAL(0, first.released);
    LONGS_EQUAL(1, second.released);
}

TEST(IncompleteMessages, AreNeverReleasedOnceTheyAreComplete)
{
    CHECK_TRUE(first_account.reserve(400, memory_use::receiving));
    CHECK_TRUE(first_account.reserve(400, memory_use::awaited));
    time.advance(10 * memory_ledger::patience);
    CHECK_FALSE(newcomer_account.reserve(1, memory_use::receiving));
    second_account.set(1);
    LONGS_EQUAL(0, first.released);
    LONGS_EQUAL(1, second.released);
}

TEST(IncompleteMessages, LeaveAQuarterToSmallOnesWhenTheyAreLarge)
{
    constexpr auto small = memory_ledger::small_message_bytes;
    memory_ledger large_ledger{8 * small, time};
    memory_account large{large_ledger, first};
    memory_account further{large_ledger, second};
    CHECK_TRUE(large.reserve(6 * small, memory_use::receiving));
    CHECK_FALSE(further.reserve(small + 1, memory_use::receiving));
    CHECK_TRUE(further.reserve(small, memory_use::receiving));
}
