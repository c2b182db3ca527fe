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
    permit_allocator book{{}};
    void setup() override
    {
        book.begin_term(start);
    }
};

TEST(PermitAllocator, WaitsOutThePredecessorsPermits)
{
    book.enqueue(1, 1.0, start);
    CHECK_TRUE(book.grant(start + seconds{2}).empty());
    CHECK_FALSE(book.grant(start + seconds{4}).empty());
}

TEST(PermitAllocator, ServesTheMostUsefulWishFirst)
{
    book.enqueue(1, 1.0, start);
    book.enqueue(2, 9.0, start);
    const auto granted = book.grant(start + std::chrono::milliseconds{3600});
    UNSIGNED_LONGS_EQUAL(1, granted.size());
    UNSIGNED_LONGS_EQUAL(2, granted.front().ticket);
}

TEST(PermitAllocator, GrantsNoMoreThanItsRate)
{
    std::size_t granted = 0;
    for (int tenth = 0; tenth < 130; ++tenth) {
        const auto now = start + std::chrono::milliseconds{100 * tenth};
        book.enqueue(static_cast<std::uint64_t>(tenth), 1.0, now);
        granted += book.grant(now).size();
    }
    CHECK_TRUE_TEXT(granted <= 20, "10 s after the wait allow 20 permits of 2 a second");
    CHECK_TRUE_TEXT(granted >= 18, "the budget should be used");
}

TEST(PermitAllocator, GrantsNoMoreThanEightAtOnce)
{
    store_budget budget;
    budget.loads_per_second = 100.0;
    budget.burst = 100.0;
    permit_allocator wide{budget};
    wide.begin_term(start);
    for (std::uint64_t ticket = 0; ticket < 20; ++ticket) {
        wide.enqueue(ticket, 1.0, start);
    }
    const auto now = start + seconds{5};
    const auto granted = wide.grant(now);
    UNSIGNED_LONGS_EQUAL(8, granted.size());
    wide.return_permit(granted.front().permit);
    UNSIGNED_LONGS_EQUAL(1, wide.grant(now).size());
}

TEST(PermitAllocator, TakesBackAPermitThatNobodyReturned)
{
    store_budget budget;
    budget.max_in_flight = 1;
    permit_allocator narrow{budget};
    narrow.begin_term(start);
    narrow.enqueue(1, 1.0, start);
    UNSIGNED_LONGS_EQUAL(1, narrow.grant(start + seconds{5}).size());
    narrow.enqueue(2, 1.0, start + seconds{6});
    UNSIGNED_LONGS_EQUAL(0, narrow.grant(start + seconds{6}).size());
    UNSIGNED_LONGS_EQUAL(1, narrow.grant(start + seconds{9}).size());
}
