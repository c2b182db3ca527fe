#include "siskindrift/membership/upstream_registry.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::membership;
using std::chrono::milliseconds;

namespace {

constexpr core::time_point start{std::chrono::seconds{100}};
const core::upstream_id engine_id{"engine"};

wire::announcement_t announcement(std::uint64_t incarnation, std::uint64_t sequence,
                                  wire::upstream_state state = wire::upstream_state::serving)
{
    wire::announcement_t result;
    result.upstream = engine_id.value();
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

TEST(UpstreamRegistry, AdmitsWorkOnlyWhileTheLastAnnouncementIsFresh)
{
    registry.update(announcement(1, 1), start);
    CHECK_TRUE(registry.is_admissible(engine_id, start + milliseconds{1800}));
    CHECK_FALSE(registry.is_admissible(engine_id, start + milliseconds{2000}));
}

TEST(UpstreamRegistry, StopsAdmittingOnceAnUpstreamLeaves)
{
    registry.update(announcement(1, 1), start);
    registry.update(announcement(1, 2, wire::upstream_state::leaving), start);
    CHECK_FALSE(registry.is_admissible(engine_id, start));
}

TEST(UpstreamRegistry, IgnoresALateAnnouncementFromBeforeItLeft)
{
    registry.update(announcement(1, 2, wire::upstream_state::leaving), start);
    CHECK_TRUE(registry.update(announcement(1, 1), start) == announcement_effect::stale);
    CHECK_FALSE(registry.is_admissible(engine_id, start));
}

TEST(UpstreamRegistry, CountsTheAgeOfForwardedAnnouncements)
{
    auto forwarded = announcement(1, 1);
    forwarded.age_ms = 1500;
    registry.update(forwarded, start);
    CHECK_FALSE(registry.is_admissible(engine_id, start + milliseconds{500}));
}

TEST(UpstreamRegistry, DetectsARestartAndIgnoresTheOldIncarnation)
{
    registry.update(announcement(1, 9), start);
    CHECK_TRUE(registry.update(announcement(2, 1), start) == announcement_effect::restarted);
    CHECK_TRUE(registry.update(announcement(1, 10), start) == announcement_effect::stale);
}
