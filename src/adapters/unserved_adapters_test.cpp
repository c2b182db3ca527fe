#include "siskindrift/adapters/unserved_adapters.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using siskindrift::adapters::unserved_adapters;
using siskindrift::adapters::unserved_adapters_options;

namespace {

unserved_adapters_options small_memory()
{
    unserved_adapters_options options;
    options.max_adapters = 2;
    return options;
}

} // namespace

TEST_GROUP(UnservedAdapters)
{
    core::manual_clock clock;
    unserved_adapters adapters{small_memory()};
    const unserved_adapters::adapter_name x{"base", "x"};
    const unserved_adapters::adapter_name y{"base", "y"};
    const unserved_adapters::adapter_name z{"base", "z"};

    void request(const unserved_adapters::adapter_name& name)
    {
        adapters.record_requests(name, clock.now(), clock.now());
    }
};

TEST(UnservedAdapters, RemembersTheFirstRequestAndCountsLaterOnes)
{
    const auto first = clock.now();
    request(x);
    clock.advance(core::milliseconds{20'000});
    request(x);
    CHECK_TRUE(adapters.find(x)->since == first);
    LONGS_EQUAL(2, static_cast<long>(adapters.find(x)->count));
}

TEST(UnservedAdapters, StartsAnewOnceServed)
{
    request(x);
    adapters.record_served(x);
    CHECK_FALSE(adapters.find(x) != nullptr);
    clock.advance(core::milliseconds{1000});
    request(x);
    CHECK_TRUE(adapters.find(x)->since == clock.now());
}

TEST(UnservedAdapters, TakesTheEarlierTimeThatAnotherProcessKnows)
{
    clock.advance(core::milliseconds{5000});
    request(x);
    const auto earlier = clock.now() - core::milliseconds{4000};
    adapters.record_requests(x, earlier, clock.now());
    CHECK_TRUE(adapters.find(x)->since == earlier);
}

TEST(UnservedAdapters, ForgetsAdaptersThatNobodyAsksForAnyMore)
{
    request(x);
    clock.advance(core::milliseconds{61'000});
    request(y);
    CHECK_FALSE(adapters.find(x) != nullptr);
    LONGS_EQUAL(1, static_cast<long>(adapters.all().size()));
}

TEST(UnservedAdapters, BoundsItsMemory)
{
    request(x);
    clock.advance(core::milliseconds{1});
    request(y);
    clock.advance(core::milliseconds{1});
    request(z);
    CHECK_FALSE(adapters.find(x) != nullptr);
    CHECK_TRUE(adapters.find(y) != nullptr);
    CHECK_TRUE(adapters.find(z) != nullptr);
}
