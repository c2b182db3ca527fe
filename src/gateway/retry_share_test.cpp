#include "siskindrift/gateway/retry_share.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::gateway;

TEST_GROUP(RetryShare)
{
    static constexpr core::milliseconds window{10'000};
    core::manual_clock clock;
    retry_share share{clock.now(), window};

    wire::retry_share_t message(std::uint64_t generation, std::uint32_t holders, bool answered)
    {
        wire::retry_share_t result;
        result.generation = generation;
        result.holders = holders;
        result.usable = true;
        result.asked_ms =
            answered ? static_cast<std::uint64_t>(core::to_ms(clock.now().time_since_epoch())) : 0;
        return result;
    }
};

TEST(RetryShare, IsNothingBeforeTheLeaderHasAnswered)
{
    clock.advance(window * 2);
    DOUBLES_EQUAL(0, share.fraction(clock.now()), 0);
    share.apply(message(1, 4, false), clock.now());
    DOUBLES_EQUAL(0, share.fraction(clock.now()), 0);
    share.apply(message(1, 4, true), clock.now());
    DOUBLES_EQUAL(0.25, share.fraction(clock.now()), 0);
}

TEST(RetryShare, IsNotUsedWhileRetriesOfAPredecessorCount)
{
    share.apply(message(1, 4, true), clock.now());
    clock.advance(window);
    DOUBLES_EQUAL(0, share.fraction(clock.now()), 0);
    clock.advance(fleet::late_arrival_limit);
    DOUBLES_EQUAL(0.25, share.fraction(clock.now()), 0);
}

TEST(RetryShare, IsKeptWithoutALeaderUntilItsLeaseEnds)
{
    share.apply(message(1, 4, true), clock.now());
    clock.advance(fleet::retry_share_lease - core::milliseconds{1});
    DOUBLES_EQUAL(0.25, share.fraction(clock.now()), 0);
    clock.advance(core::milliseconds{1});
    DOUBLES_EQUAL(0, share.fraction(clock.now()), 0);
}

TEST(RetryShare, IgnoresAnAnnouncementThatWasDelayed)
{
    clock.advance(window * 2);
    CHECK_TRUE(share.apply(message(5, 8, true), clock.now()));
    CHECK_FALSE(share.apply(message(4, 2, false), clock.now()));
    DOUBLES_EQUAL(0.125, share.fraction(clock.now()), 0);
    LONGS_EQUAL(5, share.generation());
}

TEST(RetryShare, IsNotUsedWhileAnUpstreamMayStillReceiveWhatAPredecessorSent)
{
    auto told = message(1, 4, true);
    told.holder = true;
    share.apply(told, clock.now());
    clock.advance(window);
    share.record_silent_upstream(clock.now());
    clock.advance(window);
    DOUBLES_EQUAL(0, share.fraction(clock.now()), 0);
    clock.advance(core::milliseconds{1000});
    DOUBLES_EQUAL(0.25, share.fraction(clock.now()), 0);
}

TEST(RetryShare, IsUsedBesideASilentUpstreamByAGatewayThatHasNoPredecessor)
{
    share.apply(message(1, 4, true), clock.now());
    clock.advance(window + fleet::late_arrival_limit);
    share.record_silent_upstream(clock.now());
    DOUBLES_EQUAL(0.25, share.fraction(clock.now()), 0);
}

TEST(RetryShare, IsUsedAgainAMinuteAfterTheStartWhateverUpstreamsAreSilent)
{
    auto told = message(1, 4, true);
    told.holder = true;
    share.apply(told, clock.now());
    clock.advance(fleet::max_unanswered_time + window + fleet::late_arrival_limit);
    share.record_silent_upstream(clock.now());
    share.apply(message(1, 4, true), clock.now());
    DOUBLES_EQUAL(0.25, share.fraction(clock.now()), 0);
}
