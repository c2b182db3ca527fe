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

/// Checks runs in which upstreams stand still.
/// @param adjust sets what else happens in a run, by its number.
template <typename Adjust>
void check_frozen_upstreams(Adjust adjust)
{
    for (int i = 0; i < runs(); ++i) {
        const auto seed = first_seed + static_cast<std::uint64_t>(i);
        retry_budget_world_options options;
        options.gateways = 2 + static_cast<std::size_t>(i) % 12;
        options.added_gateways = 0;
        options.faults = false;
        options.freeze_upstreams = true;
        adjust(options, i);
        retry_budget_world world{seed, options};
        world.run();
        const auto text = "seed " + std::to_string(seed) + ": " +
                          std::to_string(world.worst_excess()) + " too many";
        CHECK_TRUE_TEXT(world.worst_excess() <= 0, text.c_str());
    }
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
    check_frozen_upstreams([](retry_budget_world_options& options, int run) {
        options.requests_per_s = run % 3 == 0 ? 8 : 60;
        options.restart_gateways = run % 4 == 3;
    });
}

TEST(SharedRetryBudget, HoldsInAnyWindowWhileLinksHoldAndCallersLeaveEarly)
{
    check_frozen_upstreams([](retry_budget_world_options& options, int run) {
        options.requests_per_s = run % 3 == 0 ? 8 : 60;
        options.hold_links = true;
    });
}

TEST(SharedRetryBudget, HoldsInAnyWindowWhereGatewaysRestartUnderManyRequests)
{
    check_frozen_upstreams([](retry_budget_world_options& options, int run) {
        options.requests_per_s = run % 2 == 0 ? 220 : 120;
        options.restart_gateways = true;
    });
}

TEST(SharedRetryBudget, HoldsInAnyWindowWhereRequestsComeInBursts)
{
    check_frozen_upstreams([](retry_budget_world_options& options, int run) {
        options.requests_per_s = run % 2 == 0 ? 220 : 60;
        options.bursts = true;
    });
}

TEST(SharedRetryBudget, HoldsInAnyWindowWhereGatewaysAreAddedWhileUpstreamsStandStill)
{
    check_frozen_upstreams([](retry_budget_world_options& options, int run) {
        options.gateways = 2 + static_cast<std::size_t>(run) % 3;
        options.added_gateways = 8;
        options.requests_per_s = run % 2 == 0 ? 30 : 8;
    });
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
