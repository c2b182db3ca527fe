#include "siskindrift/membership/upstream_registry.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::membership;
using std::chrono::milliseconds;

namespace {

constexpr core::time_point start{std::chrono::seconds{100}};
const core::upstream_id engine{"engine"};

wire::announcement_t said(std::uint64_t incarnation, std::uint64_t sequence,
                          wire::upstream_state state = wire::upstream_state::serving)
{
    wire::announcement_t result;
    result.upstream = engine.value();
    result.incarnation = incarnation;
    result.sequence = sequence;
    result.state = state;
    return result;
}

} // namespace

TEST_GROUP(UpstreamRegistry)
{
    upstream_registry registry;
};

TEST(UpstreamRegistry, AdmitsWorkOnlyWhileTheLastWordIsFresh)
{
    registry.update(said(1, 1), start);
    CHECK_TRUE(registry.is_admissible(engine, start + milliseconds{1800}));
    CHECK_FALSE(registry.is_admissible(engine, start + milliseconds{2000}));
}

TEST(UpstreamRegistry, StopsAdmittingOnceAnUpstreamLeaves)
{
    registry.update(said(1, 1), start);
    registry.update(said(1, 2, wire::upstream_state::leaving), start);
    CHECK_FALSE(registry.is_admissible(engine, start));
}

TEST(UpstreamRegistry, IgnoresALateCopyFromBeforeItLeft)
{
    registry.update(said(1, 2, wire::upstream_state::leaving), start);
    CHECK_TRUE(registry.update(said(1, 1), start) == announcement_effect::stale);
    CHECK_FALSE(registry.is_admissible(engine, start));
}

TEST(UpstreamRegistry, CountsTheAgeOfForwardedWords)
{
    auto old = said(1, 1);
    old.age_ms = 1500;
    registry.update(old, start);
    CHECK_FALSE(registry.is_admissible(engine, start + milliseconds{500}));
}

TEST(UpstreamRegistry, NoticesARestartAndDropsWordsOfTheOldIncarnation)
{
    registry.update(said(1, 9), start);
    CHECK_TRUE(registry.update(said(2, 1), start) == announcement_effect::restarted);
    CHECK_TRUE(registry.update(said(1, 10), start) == announcement_effect::stale);
}
