#include "siskindrift/adapters/adapter_history.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift::adapters;

TEST_GROUP(AdapterHistory){};

TEST(AdapterHistory, CountsTheAdaptersRecordedSince)
{
    adapter_history history;
    history.record(1);
    history.record(2);
    history.record(3);
    history.record(2);
    LONGS_EQUAL(2, static_cast<long>(*history.age(1)));
    LONGS_EQUAL(0, static_cast<long>(*history.age(2)));
    CHECK_FALSE(history.age(4).has_value());
}

TEST(AdapterHistory, IsBounded)
{
    adapter_history history;
    for (adapter_key key = 0; key < 5000; ++key) {
        history.record(key);
    }
    CHECK_FALSE(history.age(0).has_value());
    CHECK_TRUE(history.age(4999).has_value());
}

TEST_GROUP(CacheSizeEstimate){};

TEST(CacheSizeEstimate, GrowsByFastLoadsOfOlderAdapters)
{
    cache_size_estimate estimate;
    CHECK_FALSE(estimate.is_cached(70));
    CHECK_TRUE(estimate.may_be_cached(70));
    estimate.on_load(70, true);
    CHECK_TRUE(estimate.is_cached(70));
}

TEST(CacheSizeEstimate, ShrinksByRepeatedSlowLoadsOnly)
{
    cache_size_estimate estimate;
    estimate.on_load(20, false);
    CHECK_TRUE(estimate.is_cached(30));
    for (int i = 0; i < 50; ++i) {
        estimate.on_load(20, false);
    }
    CHECK_FALSE(estimate.is_cached(30));
}

TEST(CacheSizeEstimate, DoesNotExpectAnAdapterThatWasNeverHeld)
{
    const cache_size_estimate estimate;
    CHECK_FALSE(estimate.may_be_cached(std::nullopt));
}
