#include "placement_world.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using siskindrift::tests::placement_outcome;
using siskindrift::tests::placement_scenario;
using siskindrift::tests::placement_world;

namespace {

std::string text(const placement_outcome& outcome)
{
    return "within 350 ms " + std::to_string(outcome.share_within(350)) + ", given up " +
           std::to_string(outcome.given_up) + ", store loads " +
           std::to_string(outcome.store_loads) + ", cached loads " +
           std::to_string(outcome.cached_loads);
}

} // namespace

TEST_GROUP(Placement)
{
    placement_scenario scenario;
};

TEST(Placement, ServesRareAdaptersInTimeFromAStoreOfLargerCapacity)
{
    scenario.full_speed_loads = 24;
    scenario.requests_per_s = 150;
    placement_world world{scenario};
    world.play(core::milliseconds{2000});
    const auto outcome = world.play(core::milliseconds{10'000});
    CHECK_TRUE_TEXT(outcome.share_within(350) > 0.9, text(outcome).c_str());
    LONGS_EQUAL(0, static_cast<long>(outcome.given_up));
}

TEST(Placement, LoadsAgainFromALargeCache)
{
    scenario.full_speed_loads = 24;
    scenario.cached_adapters = 100;
    scenario.adapter_slots = 8;
    scenario.adapters = 400;
    scenario.requests_per_s = 100;
    placement_world world{scenario};
    world.play(core::milliseconds{15'000});
    const auto outcome = world.play(core::milliseconds{10'000});
    CHECK_TRUE_TEXT(outcome.cached_loads > outcome.store_loads, text(outcome).c_str());
}

TEST(Placement, KeepsASmallStoreFromSlowingDown)
{
    scenario.full_speed_loads = 8;
    scenario.requests_per_s = 50;
    placement_world world{scenario};
    world.play(core::milliseconds{2000});
    const auto outcome = world.play(core::milliseconds{10'000});
    CHECK_TRUE_TEXT(outcome.share_within(350) > 0.85, text(outcome).c_str());
}
