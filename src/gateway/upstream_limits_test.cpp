#include "siskindrift/gateway/upstream_limits.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::gateway;

TEST_GROUP(UpstreamLimits)
{
    static constexpr std::uint64_t run = 5;
    core::manual_clock clock;
    upstream_limits limits{"gateway"};
    std::uint64_t generation = 0;

    using kind = send_admission::kind;

    bool answer(std::optional<double> per_s, std::uint64_t born_ms = run)
    {
        std::optional<core::request_rate> rate;
        if (per_s) {
            rate = core::request_rate{*per_s};
        }
        return limits.record_answer({"a", born_ms, rate, clock.now()}, clock.now());
    }

    void tell(std::optional<double> per_s)
    {
        wire::fleet_update_t update;
        update.limits_included = true;
        update.limits_generation = ++generation;
        if (per_s) {
            wire::upstream_limit_t item;
            item.upstream = "a";
            item.born_ms = run;
            item.per_s = *per_s;
            wire::append(update.limits, std::move(item));
        }
        limits.apply_limits(update, clock.now());
    }

    kind admission(std::uint64_t born_ms = run) const
    {
        return limits.admission("a", born_ms, clock.now()).result;
    }

    void grant(std::uint32_t granted, std::uint32_t next_ms = 0, core::duration delay = {})
    {
        wire::send_permit_grant_t message;
        message.asked_ms =
            static_cast<std::uint64_t>(core::to_ms((clock.now() - delay).time_since_epoch()));
        wire::send_permit_t item;
        item.upstream = "a";
        item.granted = granted;
        item.next_ms = next_ms;
        item.retry_after_ms = next_ms * 2;
        wire::append(message.permits, std::move(item));
        limits.apply_grant(message, clock.now());
    }
};

TEST(UpstreamLimits, NeedsAPermitForEachRequestUnderALimit)
{
    CHECK_TRUE(admission() == kind::allowed);
    CHECK_TRUE(answer(1));
    CHECK_TRUE(admission() == kind::needs_permit);
    grant(2);
    limits.consume("a", clock.now());
    CHECK_TRUE(admission() == kind::allowed);
    limits.consume("a", clock.now());
    CHECK_TRUE(admission() == kind::needs_permit);
}

TEST(UpstreamLimits, AppliesLimitsThatOtherGatewaysRead)
{
    tell(1);
    CHECK_TRUE(admission() == kind::needs_permit);
    tell(std::nullopt);
    CHECK_TRUE(admission() == kind::allowed);
}

TEST(UpstreamLimits, DropsPermitsAfterTheirLifetime)
{
    tell(1);
    grant(5);
    clock.advance(fleet::send_permit_lifetime);
    CHECK_TRUE(admission() == kind::needs_permit);
    grant(5, 0, fleet::send_permit_lifetime); // the answer was on its way for so long
    CHECK_TRUE(admission() == kind::needs_permit);
}

TEST(UpstreamLimits, RefusesUntilTheLeaderMayHaveAnotherPermit)
{
    tell(1);
    grant(0, 300);
    CHECK_TRUE(admission() == kind::refused);
    LONGS_EQUAL(600, core::to_ms(limits.admission("a", run, clock.now()).retry_after));
    clock.advance(core::milliseconds{300});
    CHECK_TRUE(admission() == kind::needs_permit);
}

TEST(UpstreamLimits, RefusesWhileTheLeaderIsSilent)
{
    tell(1);
    limits.add_wish("a");
    LONGS_EQUAL(1, limits.take_query(clock.now())->wishes.size());
    limits.add_wish("a");
    CHECK_FALSE(limits.take_query(clock.now()).has_value()); // one question at a time
    clock.advance(limits.answer_timeout());
    limits.record_silence("a", clock.now());
    CHECK_TRUE(admission() == kind::refused);
    clock.advance(core::milliseconds{500});
    CHECK_TRUE(admission() == kind::needs_permit);
}

TEST(UpstreamLimits, RefusesWithoutALeader)
{
    tell(1);
    limits.add_wish("a");
    limits.record_silence("a", clock.now());
    CHECK_TRUE(admission() == kind::refused);
}

TEST(UpstreamLimits, TellsTheLeaderWhatAnswersNameUntilAllGatewaysKnowIt)
{
    answer(3);
    DOUBLES_EQUAL(3, limits.take_query(clock.now())->observed.at(0)->per_s, 0);
    CHECK_FALSE(limits.take_query(clock.now()).has_value());
    limits.report_again();
    CHECK_TRUE(limits.take_query(clock.now()).has_value());
    tell(3);
    limits.report_again();
    CHECK_FALSE(limits.take_query(clock.now()).has_value());
}

TEST(UpstreamLimits, EndsALimitOnlyByAnAnswerToARequestSentLater)
{
    const auto before = clock.now();
    clock.advance(core::milliseconds{10});
    tell(3);
    CHECK_FALSE(limits.record_answer({"a", run, std::nullopt, before}, clock.now()));
    CHECK_TRUE(admission() == kind::needs_permit);
    clock.advance(core::milliseconds{10});
    CHECK_TRUE(answer(std::nullopt));
    CHECK_TRUE(admission() == kind::allowed);
    // Another gateway read a newer answer that names a limit.
    clock.advance(core::milliseconds{2000});
    tell(4);
    CHECK_TRUE(admission() == kind::needs_permit);
}

TEST(UpstreamLimits, AppliesNoLimitToALaterRun)
{
    tell(1);
    CHECK_TRUE(admission(run + 1) == kind::allowed);
    answer(2, run + 1);
    CHECK_TRUE(admission(run + 1) == kind::needs_permit);
}

TEST(UpstreamLimits, TreatsAHugeLimitAsNoneAndZeroAsTheLeast)
{
    CHECK_FALSE(answer(1e300));
    CHECK_TRUE(answer(0));
    DOUBLES_EQUAL(fleet::min_limit.per_s, limits.limit_of("a", run)->per_s, 0);
}

TEST(UpstreamLimits, KeepsThePermitOfARequestThatWasNotSent)
{
    tell(1);
    grant(1);
    limits.consume("a", clock.now());
    limits.restore("a");
    CHECK_TRUE(admission() == kind::allowed);
}

TEST(UpstreamLimits, SendsNothingWithoutALeaderAlsoRightAfterOneWasAsked)
{
    tell(1.0);
    limits.add_wish("a");
    CHECK_TRUE(limits.take_query(clock.now()).has_value());
    limits.record_no_leader("a", clock.now());
    CHECK_TRUE(admission() == kind::refused);
    clock.advance(core::milliseconds{500});
    CHECK_TRUE(admission() == kind::needs_permit);
}

TEST(UpstreamLimits, TellsTheLeaderHowManyRequestsAreUnanswered)
{
    tell(10);
    limits.add_wish("a");
    (void)limits.take_query(clock.now());
    grant(3);
    for (int i = 0; i < 2; ++i) {
        limits.consume("a", clock.now());
        clock.advance(core::milliseconds{10});
    }
    limits.add_wish("a");
    auto query = limits.take_query(clock.now());
    LONGS_EQUAL(3, query->wishes[0]->unanswered); // with the permit that is held
    clock.advance(core::milliseconds{1000});
    CHECK_TRUE(limits.record_received("a", clock.now()));
    query = limits.take_query(clock.now());
    LONGS_EQUAL(0, query->wishes[0]->unanswered);
    LONGS_EQUAL(0, query->wishes[0]->waiting);
    CHECK_FALSE(limits.take_query(clock.now()).has_value());
}
