#include "siskindrift/state/permit_allocator.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::state;
using std::chrono::seconds;

namespace {

constexpr core::time_point start{seconds{100}};

} // namespace

TEST_GROUP(PermitAllocator)
{
    permit_allocator permits{{}};
    void setup() override
    {
        permits.begin_term(start);
    }
};

TEST(PermitAllocator, WaitsOutThePredecessorsPermits)
{
    permits.enqueue(1, 1.0, start);
    CHECK_TRUE(permits.grant(start + seconds{2}).empty());
    CHECK_FALSE(permits.grant(start + seconds{4}).empty());
}

TEST(PermitAllocator, ServesTheMostUsefulRequestFirst)
{
    permits.enqueue(1, 1.0, start);
    permits.enqueue(2, 9.0, start);
    const auto granted = permits.grant(start + std::chrono::milliseconds{3600});
    UNSIGNED_LONGS_EQUAL(1, granted.size());
    UNSIGNED_LONGS_EQUAL(2, granted.front().ticket);
}

TEST(PermitAllocator, GrantsNoMoreThanItsRate)
{
    std::size_t granted = 0;
    for (int tenth = 0; tenth < 130; ++tenth) {
        const auto now = start + std::chrono::milliseconds{100 * tenth};
        permits.enqueue(static_cast<std::uint64_t>(tenth), 1.0, now);
        granted += permits.grant(now).size();
    }
    CHECK_TRUE_TEXT(granted <= 20, "10 s after the initial delay allow 20 permits at 2 per second");
    CHECK_TRUE_TEXT(granted >= 18, "the budget must be used up to the limit");
}

TEST(PermitAllocator, GrantsNoMoreThanEightAtOnce)
{
    store_budget budget;
    budget.loads_per_second = 100.0;
    budget.burst = 100.0;
    permit_allocator allocator{budget};
    allocator.begin_term(start);
    for (std::uint64_t ticket = 0; ticket < 20; ++ticket) {
        allocator.enqueue(ticket, 1.0, start);
    }
    const auto now = start + seconds{5};
    const auto granted = allocator.grant(now);
    UNSIGNED_LONGS_EQUAL(8, granted.size());
    allocator.return_permit(granted.front().permit);
    UNSIGNED_LONGS_EQUAL(1, allocator.grant(now).size());
}

TEST(PermitAllocator, ExpiresAPermitThatNobodyReturned)
{
    store_budget budget;
    budget.max_in_flight = 1;
    permit_allocator allocator{budget};
    allocator.begin_term(start);
    allocator.enqueue(1, 1.0, start);
    UNSIGNED_LONGS_EQUAL(1, allocator.grant(start + seconds{5}).size());
    allocator.enqueue(2, 1.0, start + seconds{6});
    UNSIGNED_LONGS_EQUAL(0, allocator.grant(start + seconds{6}).size());
    UNSIGNED_LONGS_EQUAL(1, allocator.grant(start + seconds{9}).size());
}
