#include "retry_budget_world.h"

#include <CppUTest/TestHarness.h>
#include <cstdio>
#include <cstdlib>

using namespace siskindrift;
using namespace siskindrift::tests;

namespace {

constexpr std::uint64_t first_seed = 20261204;
constexpr int default_runs = 60;

int runs()
{
    const char* text = std::getenv("RETRY_BUDGET_RUNS");
    return text != nullptr ? std::atoi(text) : default_runs;
}

double used_share(retry_budget_world_options options, const char* what)
{
    options.faults = false;
    retry_budget_world world{first_seed, options};
    world.run();
    std::printf("%s: %.1f%% of the allowed retries used\n", what, 100 * world.used_share());
    CHECK_TRUE(world.worst_excess() <= 0);
    return world.used_share();
}

} // namespace

TEST_GROUP(SharedRetryBudget){};

TEST(SharedRetryBudget, HoldsInAnyWindowWhileGatewaysAreCutOffRestartedFrozenAndAdded)
{
    for (int i = 0; i < runs(); ++i) {
        const auto seed = first_seed + static_cast<std::uint64_t>(i);
        retry_budget_world_options options;
        options.gateways = 2 + static_cast<std::size_t>(i) % 12;
        options.requests_per_s = i % 3 == 0 ? 8 : 140; // mostly the fixed part, or the ratio
        retry_budget_world world{seed, options};
        world.run();
        const auto text = "seed " + std::to_string(seed) + ": " +
                          std::to_string(world.worst_excess()) + " too many";
        CHECK_TRUE_TEXT(world.worst_excess() <= 0, text.c_str());
    }
}

TEST(SharedRetryBudget, HoldsInAnyWindowWhileUpstreamsStandStillAndReceiveLate)
{
    for (int i = 0; i < runs(); ++i) {
        const auto seed = first_seed + static_cast<std::uint64_t>(i);
        retry_budget_world_options options;
        options.gateways = 2 + static_cast<std::size_t>(i) % 12;
        options.requests_per_s = i % 3 == 0 ? 8 : 60;
        options.added_gateways = 0;
        options.faults = false;
        options.freeze_upstreams = true;
        options.restart_gateways = i % 4 == 3;
        retry_budget_world world{seed, options};
        world.run();
        const auto text = "seed " + std::to_string(seed) + ": " +
                          std::to_string(world.worst_excess()) + " too many";
        CHECK_TRUE_TEXT(world.worst_excess() <= 0, text.c_str());
    }
}

TEST(SharedRetryBudget, CanBeUsedOnACalmFleet)
{
    retry_budget_world_options options;
    options.length = std::chrono::seconds{60};
    CHECK_TRUE(used_share(options, "calm fleet") > 0.9);
}

TEST(SharedRetryBudget, CanBeUsedWithOneGatewayBusierThanTheOthers)
{
    retry_budget_world_options options;
    options.length = std::chrono::seconds{60};
    options.first_gateway_share = 0.5;
    CHECK_TRUE(used_share(options, "one of 7 gateways receives half of the requests") > 0.9);
}

TEST(SharedRetryBudget, CanBeUsedWhereRequestsAreFew)
{
    retry_budget_world_options options;
    options.length = std::chrono::seconds{60};
    options.requests_per_s = 14;
    CHECK_TRUE(used_share(options, "few requests") > 0.8);
}
