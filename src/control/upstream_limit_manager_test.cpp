#include "siskindrift/control/upstream_limit_manager.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::control;

TEST_GROUP(UpstreamLimitManager)
{
    static constexpr std::uint64_t run = 5;
    core::manual_clock clock;
    state::upstream_limits limits;
    upstream_limit_manager manager;
    std::uint64_t current_run = run;
    core::time_point heard{};
    bool answered = false;
    bool restarted = false;

    void setup() override
    {
        manager.begin_term(clock.now());
    }

    bool observe(std::optional<double> per_s, std::uint32_t sent_age_ms = 10,
                 std::uint32_t age_ms = 0, std::uint64_t born_ms = run)
    {
        wire::limit_observation_t item;
        item.upstream = "a";
        item.born_ms = born_ms;
        item.ended = !per_s;
        item.per_s = per_s.value_or(0);
        item.sent_age_ms = sent_age_ms;
        item.age_ms = age_ms;
        return manager.record_observation(item, limits, clock.now());
    }

    /// Applies the next change, as the replicated log does.
    bool apply_change()
    {
        clock.advance(core::milliseconds{200});
        const auto run_of = [this](const std::string&) { return std::optional{current_run}; };
        const auto change = manager.next_change(limits, run_of, clock.now());
        if (!change) {
            return false;
        }
        ++limits.generation;
        for (const auto& upstream : change->remove) {
            limits.entries.erase(upstream);
        }
        for (const auto& item : change->set) {
            limits.entries[item->upstream] = {item->born_ms, {item->per_s}};
        }
        return true;
    }

    /// Grants permits to a gateway that has applied all grants before.
    /// @param announced whether the upstream has announced itself since.
    std::uint32_t grant_to(const std::string& vm, std::uint32_t unanswered, bool announced,
                           std::uint32_t waiting = 1)
    {
        const auto now_ms =
            restarted ? 0 : static_cast<std::uint64_t>(core::to_ms(clock.now().time_since_epoch()));
        wire::send_permit_wish_t wish;
        wish.upstream = "a";
        wish.waiting = waiting;
        wish.tells_unanswered = true;
        wish.unanswered = unanswered;
        wish.applied_ms = now_ms;
        wish.answered = answered;
        heard = announced || heard == core::time_point{} ? clock.now() : heard;
        return manager.grant(wish, limits, clock.now(), {vm, now_ms, heard}).granted;
    }

    wire::send_permit_t grant(std::uint32_t waiting = 1)
    {
        wire::send_permit_wish_t wish;
        wish.upstream = "a";
        wish.waiting = waiting;
        return manager.grant(wish, limits, clock.now());
    }

    double known_limit() const
    {
        return limits.entries.at("a").rate.per_s;
    }
};

TEST(UpstreamLimitManager, ReplicatesTheLimitThatAnAnswerNames)
{
    CHECK_FALSE(apply_change());
    CHECK_TRUE(observe(2.5));
    CHECK_TRUE(apply_change());
    DOUBLES_EQUAL(2.5, known_limit(), 0);
    CHECK_FALSE(observe(2.5));
    CHECK_FALSE(apply_change());
}

TEST(UpstreamLimitManager, CountsTheNewestAnswerNotTheLastToArrive)
{
    observe(5);
    clock.advance(core::milliseconds{1000});
    CHECK_TRUE(observe(20, 100, 50));
    // Read by another gateway before the answer that names 20.
    CHECK_FALSE(observe(std::nullopt, 900, 800));
    CHECK_FALSE(observe(50, 900, 800));
    apply_change();
    DOUBLES_EQUAL(20, known_limit(), 0);
}

TEST(UpstreamLimitManager, KeepsTheLowerLimitOfAnswersThatOverlap)
{
    observe(5, 100, 0);
    CHECK_FALSE(observe(9, 50, 0));
    CHECK_TRUE(observe(3, 50, 0));
    apply_change();
    DOUBLES_EQUAL(3, known_limit(), 0);
}

TEST(UpstreamLimitManager, EndsALimitWhenAnAnswerNamesNone)
{
    observe(5);
    apply_change();
    CHECK_TRUE(observe(std::nullopt));
    CHECK_TRUE(apply_change());
    CHECK_TRUE(limits.entries.empty());
    LONGS_EQUAL(7, grant(7).granted);
}

TEST(UpstreamLimitManager, EndsALimitWithTheRunOfTheUpstream)
{
    observe(5);
    apply_change();
    CHECK_FALSE(observe(1, 10, 0, run - 1));
    current_run = run + 1;
    CHECK_TRUE(apply_change());
    CHECK_TRUE(limits.entries.empty());
}

TEST(UpstreamLimitManager, BoundsLimitsThatAreTooLowOrTooHigh)
{
    observe(0);
    apply_change();
    DOUBLES_EQUAL(0.1, known_limit(), 1e-9);
    clock.advance(core::milliseconds{100});
    observe(1e12);
    apply_change();
    CHECK_TRUE(limits.entries.empty());
}

TEST(UpstreamLimitManager, GrantsNoMoreThanTheLimitOverAllGateways)
{
    observe(2);
    std::uint32_t granted = 0;
    for (int i = 0; i < 1000; ++i) {
        granted += grant(3).granted;
        clock.advance(core::milliseconds{10});
    }
    CHECK_TRUE(granted >= 19 && granted <= 20); // 10 s
}

TEST(UpstreamLimitManager, GrantsNothingAtTheBeginOfATerm)
{
    observe(10);
    apply_change();
    clock.advance(core::milliseconds{5000});
    CHECK_TRUE(grant().granted > 0);
    manager.begin_term(clock.now());
    LONGS_EQUAL(0, grant().granted); // the predecessor may have granted just now
    clock.advance(core::milliseconds{110});
    LONGS_EQUAL(1, grant().granted);
}

TEST(UpstreamLimitManager, GrantsFewPermitsWhoseRequestsNobodyHasSeenAnswered)
{
    observe(2);
    apply_change();
    clock.advance(core::milliseconds{2000});
    std::uint32_t granted = 0;
    for (int i = 0; i < 80; ++i) { // 20 s
        clock.advance(core::milliseconds{250});
        granted += grant_to("first", granted, false);
    }
    LONGS_EQUAL(3 + 2, granted); // those of a second, one more, and two trials
    LONGS_EQUAL(5, manager.unanswered("a"));
    LONGS_EQUAL(0, grant_to("second", 0, false));
    LONGS_EQUAL(0, grant_to("first", 0, false, 0));
    CHECK_TRUE(grant_to("second", 0, false) > 0);
}

TEST(UpstreamLimitManager, TriesAnUpstreamThatAnnouncesItselfAgain)
{
    observe(2);
    apply_change();
    clock.advance(core::milliseconds{2000});
    std::uint32_t granted = 0;
    for (int i = 0; i < 12; ++i) {
        clock.advance(core::milliseconds{250});
        granted += grant_to("first", granted, false);
    }
    LONGS_EQUAL(3, granted);
    clock.advance(core::milliseconds{500});
    LONGS_EQUAL(1, grant_to("first", granted, true));
}

TEST(UpstreamLimitManager, CountsWhatAFormerProcessOfAGatewaySentUntilTheUpstreamAnswers)
{
    observe(2);
    apply_change();
    clock.advance(core::milliseconds{2000});
    LONGS_EQUAL(2, grant_to("first", 0, false, 2));
    (void)grant_to("first", 2, false, 0);
    restarted = true; // its clock, too
    for (int i = 0; i < 8; ++i) {
        clock.advance(core::milliseconds{250});
        (void)grant_to("first", 0, false, 0);
    }
    LONGS_EQUAL(2, manager.unanswered("a"));
    answered = true;
    (void)grant_to("second", 0, false, 0);
    LONGS_EQUAL(0, manager.unanswered("a"));
}

TEST(UpstreamLimitManager, LetsEachGatewayTryAnUpstreamThatAnswersAgain)
{
    observe(2);
    apply_change();
    clock.advance(core::milliseconds{2000});
    std::uint32_t first = 0;
    std::uint32_t second = 0;
    for (int i = 0; i < 12; ++i) {
        clock.advance(core::milliseconds{250});
        first += grant_to("first", first, false);
        second += grant_to("second", second, false);
    }
    LONGS_EQUAL(3, first + second);
    answered = true;
    (void)grant_to("third", 0, false, 0);
    answered = false;
    LONGS_EQUAL(1, grant_to("second", second, false));
    clock.advance(core::milliseconds{500});
    answered = true;
    (void)grant_to("third", 0, false, 0);
    answered = false;
    LONGS_EQUAL(0, grant_to("second", second + 1, false)); // its own path may be held
}

TEST(UpstreamLimitManager, TellsRefusedCallersToReturnOneAfterTheOther)
{
    observe(2);
    LONGS_EQUAL(500, grant().next_ms);
    const auto second = grant().retry_after_ms;
    const auto third = grant().retry_after_ms;
    LONGS_EQUAL(500, third - second);
    LONGS_EQUAL(10'000, grant(200).retry_after_ms);
}
