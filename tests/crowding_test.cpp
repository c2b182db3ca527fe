#include "crowding_world.h"

#include <CppUTest/TestHarness.h>
#include <cstdio>

using namespace siskindrift;
using siskindrift::tests::crowding_outcome;
using siskindrift::tests::crowding_scenario;
using siskindrift::tests::crowding_world;

namespace {

std::string text(const char* kind, const crowding_outcome& outcome)
{
    return std::string{kind} + ": " + std::to_string(outcome.started) + " of " +
           std::to_string(outcome.asked) + " started, " + std::to_string(outcome.rejected) +
           " sends rejected";
}

} // namespace

TEST_GROUP(Crowding){};

TEST(Crowding, ServesAPopularAdapterByFurtherCopiesAlthoughRareOnesWaitForPlaces)
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        crowding_scenario scenario;
        scenario.seed = seed;
        crowding_world world{scenario};
        world.play(core::milliseconds{6000});
        auto outcome = world.play(core::milliseconds{10'000});
        const auto popular = text("popular", outcome[true]);
        const auto rare = text("rare", outcome[false]);
        std::printf("%s; %s\n", popular.c_str(), rare.c_str());
        CHECK_TRUE_TEXT(outcome[true].share_started() >= 0.9, popular.c_str());
        CHECK_TRUE_TEXT(outcome[false].share_started() >= 0.9, rare.c_str());
        CHECK_TRUE_TEXT(outcome[true].rejected * 10 <= outcome[true].asked, popular.c_str());
    }
}

TEST(Crowding, LetsRareAdaptersTakeTurnsAtPlacesThatNoRequestNeeds)
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        crowding_scenario scenario;
        scenario.seed = seed;
        scenario.gateways = 82;
        scenario.report_interval = core::milliseconds{328};
        scenario.popular_per_s = 0;
        scenario.rare_per_s = 95;
        scenario.rare_adapters = 3000;
        crowding_world world{scenario};
        world.play(core::milliseconds{8000});
        auto outcome = world.play(core::milliseconds{10'000});
        const auto rare = text("rare", outcome[false]);
        std::printf("%s, %zu in time\n", rare.c_str(), outcome[false].timely);
        CHECK_TRUE_TEXT(outcome[false].share_started() >= 0.9, rare.c_str());
    }
}
