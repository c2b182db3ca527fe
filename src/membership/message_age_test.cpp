#include "siskindrift/membership/message_age.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::membership;
using std::chrono::milliseconds;

namespace {

constexpr core::time_point start{std::chrono::seconds{100}};

} // namespace

TEST_GROUP(MessageAge){};

TEST(MessageAge, IsTheDelayRelativeToTheFastestMessage)
{
    message_age_estimator ages;
    LONGS_EQUAL(0, core::to_ms(ages.estimate("vm", 1, 5000, start)));
    LONGS_EQUAL(700, core::to_ms(ages.estimate("vm", 1, 5300, start + milliseconds{1000})));
    LONGS_EQUAL(0, core::to_ms(ages.estimate("vm", 1, 6300, start + milliseconds{1300})));
}

TEST(MessageAge, ResetsForANewIncarnation)
{
    message_age_estimator ages;
    ages.estimate("vm", 1, 5000, start);
    LONGS_EQUAL(0, core::to_ms(ages.estimate("vm", 2, 10, start + milliseconds{5000})));
}

TEST(MessageAge, ReportsARecentPause)
{
    pause_detector pauses;
    pauses.record_activity(start);
    CHECK_FALSE(pauses.recently_paused(start));
    const auto resumed = start + std::chrono::seconds{4};
    pauses.record_activity(resumed);
    CHECK_TRUE(pauses.recently_paused(resumed + milliseconds{10}));
    CHECK_FALSE(pauses.recently_paused(resumed + milliseconds{400}));
}
