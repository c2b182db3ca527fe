#include "siskindrift/gateway/loss_guard.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::gateway;

TEST_GROUP(LossGuard)
{
    core::manual_clock clock;
    loss_guard guard;

    void lose()
    {
        const auto sent = clock.now();
        guard.record_sent(sent);
        clock.advance(core::milliseconds{2});
        guard.record_loss(sent, clock.now());
    }

    void respond()
    {
        const auto sent = clock.now();
        guard.record_sent(sent);
        clock.advance(core::milliseconds{2});
        guard.record_response(sent);
    }
};

TEST(LossGuard, CountsRequestsThatWereLostTogetherOnce)
{
    const auto sent = clock.now();
    clock.advance(core::milliseconds{50});
    CHECK_TRUE(guard.record_loss(sent, clock.now()));
    CHECK_FALSE(guard.record_loss(sent, clock.now()));
    CHECK_TRUE(guard.suspected());
    CHECK_FALSE(guard.needs_trials());
}

TEST(LossGuard, AllowsATrialAfterEachPauseWhichDoubles)
{
    lose();
    for (int i = 0; i < 20; ++i) {
        const auto pause = guard.pause();
        CHECK_FALSE(guard.is_trial_due(clock.now()));
        clock.advance(pause);
        CHECK_TRUE(guard.is_trial_due(clock.now()));
        lose();
        CHECK_TRUE(guard.pause() == std::min<core::duration>(pause * 2, core::milliseconds{2000}));
    }
}

TEST(LossGuard, GivesAShareOfTheRequestsBesideOthersAndLessOfThoseThatMayNotBeRepeated)
{
    const loss_guard_options options;
    lose();
    clock.advance(options.first_pause);
    for (unsigned i = 0; i < options.requests_before_trial; ++i) {
        CHECK_FALSE(guard.is_trial_due_beside_others(true, clock.now()));
        guard.record_passed_over();
    }
    CHECK_TRUE(guard.is_trial_due_beside_others(true, clock.now()));
    CHECK_FALSE(guard.is_trial_due_beside_others(false, clock.now()));
    for (unsigned i = 0; i < options.requests_before_trial; ++i) {
        guard.record_passed_over();
    }
    CHECK_TRUE(guard.is_trial_due_beside_others(false, clock.now()));
}

TEST(LossGuard, TriesAnUpstreamBesideOthersWithinAStatedTimeThoughFewRequestsCome)
{
    const loss_guard_options options;
    lose();
    clock.advance(options.max_pause_beside_others);
    CHECK_TRUE(guard.is_trial_due_beside_others(true, clock.now()));
    CHECK_TRUE(guard.is_trial_due_beside_others(false, clock.now()));
}

TEST(LossGuard, IsBackWithinTheLongestPauseFromItsWorstState)
{
    for (int i = 0; i < 100; ++i) {
        lose();
    }
    clock.advance(core::milliseconds{2000});
    CHECK_TRUE(guard.is_trial_due(clock.now()));
    respond();
    CHECK_FALSE(guard.suspected());
}

TEST(LossGuard, IgnoresResponsesToRequestsSentBeforeTheLoss)
{
    const auto sent = clock.now();
    clock.advance(core::milliseconds{1});
    lose();
    CHECK_FALSE(guard.record_response(sent));
    CHECK_TRUE(guard.suspected());
}
