#include "siskindrift/gateway/stop_schedule.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::gateway;
using std::chrono::milliseconds;

TEST_GROUP(StopSchedule)
{
    const core::time_point begun{std::chrono::hours{1}};
    const std::vector<milliseconds> graces{milliseconds{100}, milliseconds{1000},
                                           milliseconds{3000}, milliseconds{8000},
                                           milliseconds{30'000}};
};

TEST(StopSchedule, EndsOpenRequestsBeforeTheProcessEndsAndThatBeforeTheGraceEnds)
{
    for (const auto grace : graces) {
        const stop_schedule schedule{begun, grace};
        CHECK(begun < schedule.answers_end());
        CHECK(schedule.answers_end() < schedule.exit_at());
        CHECK(schedule.exit_at() < begun + grace);
    }
}

TEST(StopSchedule, TakesNoRequestLaterThanHalfOfTheTimeToAnswer)
{
    for (const auto grace : graces) {
        const stop_schedule schedule{begun, grace};
        const auto half = begun + (schedule.answers_end() - begun) / 2;
        CHECK(schedule.accepts_requests(begun));
        CHECK_FALSE(schedule.accepts_requests(half));
    }
}

TEST(StopSchedule, SendsNoRequestThatMayNotBeRepeatedAndMayNotEndInTime)
{
    const stop_schedule schedule{begun, milliseconds{8000}};
    const auto end = schedule.answers_end();
    for (const auto at : {milliseconds{0}, milliseconds{2000}, milliseconds{5000}}) {
        const auto now = begun + at;
        CHECK(schedule.may_send(now, end, false));
        CHECK_FALSE(schedule.may_send(now, end + milliseconds{1}, false));
        CHECK(schedule.may_send(now, end, true));
    }
}

TEST(StopSchedule, SendsRequestsThatMayBeRepeatedWhileTheyHaveHalfOfTheTime)
{
    const stop_schedule schedule{begun, milliseconds{8000}};
    const auto late = schedule.answers_end() + milliseconds{10'000};
    CHECK(schedule.may_send(begun + milliseconds{2000}, late, true));
    CHECK_FALSE(schedule.may_send(begun + milliseconds{2800}, late, true));
}

TEST(StopSchedule, AppliesAGraceThatIsMadeShorterAndNoLongerOne)
{
    const stop_schedule schedule{begun, milliseconds{8000}};
    const stop_schedule shorter{begun, milliseconds{3000}};
    CHECK(shorter.answers_end() == schedule.shortened_to(milliseconds{3000}).answers_end());
    CHECK(shorter.exit_at() == schedule.shortened_to(milliseconds{3000}).exit_at());
    CHECK(schedule.exit_at() == schedule.shortened_to(milliseconds{30'000}).exit_at());
}

TEST(StopSchedule, TakesRequestsWhileCallersUseAnOlderListWhereTheGraceAllowsIt)
{
    const stop_schedule schedule{begun, milliseconds{8000}};
    CHECK(schedule.accepts_requests(begun + milliseconds{2799}));
    CHECK_FALSE(schedule.accepts_requests(begun + milliseconds{2800}));
    CHECK_FALSE(schedule.may_end_idle(begun + milliseconds{2499}));
    CHECK(schedule.may_end_idle(begun + milliseconds{2500}));
}
