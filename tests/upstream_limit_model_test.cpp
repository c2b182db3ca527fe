#include "upstream_limit_world.h"

#include <CppUTest/TestHarness.h>
#include <cstdio>
#include <cstdlib>

using namespace siskindrift;
using namespace siskindrift::tests;

namespace {

constexpr std::uint64_t first_seed = 20261204;
constexpr int default_runs = 60;
constexpr std::size_t fleet_sizes[] = {2, 7, 90};
constexpr double limits_per_s[] = {0.5, 1, 1.1, 10, 200};

int runs()
{
    const char* text = std::getenv("UPSTREAM_LIMIT_RUNS");
    return text != nullptr ? std::atoi(text) : default_runs;
}

void check_excess(const upstream_limit_world& world, const std::string& what)
{
    const auto text = what + ": " + std::to_string(world.worst_excess()) + " too many";
    CHECK_TRUE_TEXT(world.worst_excess() <= 0, text.c_str());
}

void check_use(double first_gateway_share, const char* what)
{
    for (const auto gateways : fleet_sizes) {
        for (const auto limit : limits_per_s) {
            upstream_limit_world_options options;
            options.gateways = gateways;
            options.limit = {limit};
            options.faults = false;
            options.first_gateway_share = first_gateway_share;
            options.length = std::chrono::seconds{limit < 10 ? 200 : 30};
            upstream_limit_world world{first_seed, options};
            world.run();
            const auto text = std::to_string(gateways) + " gateways, limit " +
                              std::to_string(limit) + " a second, " + what;
            std::printf("%s: %.1f%% used\n", text.c_str(), 100 * world.used_share());
            check_excess(world, text);
            CHECK_TRUE_TEXT(world.used_share() >= 0.9, text.c_str());
        }
    }
}

} // namespace

TEST_GROUP(SharedUpstreamLimit){};

TEST(SharedUpstreamLimit, HoldsInAnyWindowWhileGatewaysAreCutOffRestartedAndFrozen)
{
    for (int i = 0; i < runs(); ++i) {
        const auto seed = first_seed + static_cast<std::uint64_t>(i);
        upstream_limit_world_options options;
        options.gateways = fleet_sizes[static_cast<std::size_t>(i) % std::size(fleet_sizes)];
        options.limit = {limits_per_s[static_cast<std::size_t>(i) % std::size(limits_per_s)]};
        options.demand = i % 2 == 0 ? 4 : 30;
        options.length = std::chrono::seconds{options.limit.per_s > 100 ? 20 : 60};
        upstream_limit_world world{seed, options};
        world.run();
        check_excess(world, "seed " + std::to_string(seed));
    }
}

TEST(SharedUpstreamLimit, HoldsForGatewaysThatGotNoAnswerWithTheLimit)
{
    for (std::uint64_t i = 0; i < 15; ++i) {
        upstream_limit_world_options options;
        options.gateways = fleet_sizes[i % std::size(fleet_sizes)];
        options.limit = {limits_per_s[i % std::size(limits_per_s)]};
        options.unaware_share = 0.7;
        options.faults = false;
        options.length = std::chrono::seconds{20};
        upstream_limit_world world{first_seed + i, options};
        world.run();
        check_excess(world, "run " + std::to_string(i));
    }
}

TEST(SharedUpstreamLimit, IsUsedByCallersThatAreSpreadEvenly)
{
    check_use(0, "callers spread evenly");
}

TEST(SharedUpstreamLimit, IsUsedWhereOneGatewayReceivesHalfOfTheRequests)
{
    check_use(0.5, "one gateway receives half of the requests");
}
