#include "siskindrift/gateway/prompt_guard.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::gateway;

TEST_GROUP(PromptGuard)
{
    core::manual_clock clock;
    prompt_guard guard{"gateway-1"};
    const std::vector<prompt_part> prompt{{0xaa, 40}, {0xbad, 20}, {0x77, 10}};
    const request_parts parts = prompt_guard::parts_of("models", prompt, "digest");

    void block(std::uint64_t generation, const std::string& part, const std::string& trial_vm = "")
    {
        wire::fleet_update_t update;
        update.blocked_included = true;
        update.blocked_generation = generation;
        wire::blocked_part_t item;
        item.part = part;
        item.trial_vm = trial_vm;
        item.strikes = 1;
        wire::append(update.blocked, std::move(item));
        guard.apply_blocked(update);
    }
    [[nodiscard]] bool refuses(const std::vector<prompt_part>& given)
    {
        return guard.find_blocked(prompt_guard::parts_of("models", given, "digest")).has_value();
    }
};

TEST(PromptGuard, RefusesABlockedPartInAnyPlaceButTheLast)
{
    block(1, "models:bad");
    CHECK_TRUE(refuses(prompt));
    CHECK_TRUE(refuses({{0xbad, 20}, {0x77, 10}}));
    CHECK_FALSE(refuses({{0xaa, 40}, {0xbad, 20}}));
    CHECK_FALSE(refuses({}));
    CHECK_FALSE(guard.find_blocked(prompt_guard::parts_of("other", prompt, "digest")).has_value());
}

TEST(PromptGuard, IgnoresAnOlderListOfBlockedParts)
{
    block(5, "models:bad");
    block(4, "models:aa");
    CHECK_TRUE(refuses(prompt));
    CHECK_FALSE(refuses({{0xaa, 40}, {0x77, 10}}));
}

TEST(PromptGuard, LetsOneRequestPassOnTrial)
{
    block(1, "models:bad", "gateway-1");
    CHECK_FALSE(refuses(prompt));
    CHECK_TRUE(refuses(prompt));
    block(2, "models:bad", "gateway-2");
    CHECK_TRUE(refuses(prompt));
}

TEST(PromptGuard, ReportsCrashesAgainForAWhile)
{
    guard.record_crash({parts, "engine-1", 7, "r1", false}, clock.now());
    CHECK_TRUE(guard.has_news());
    LONGS_EQUAL(3, guard.take_evidence(clock.now())->crashes.size());
    CHECK_FALSE(guard.has_news());
    clock.advance(core::milliseconds{5000});
    const auto again = guard.take_evidence(clock.now());
    LONGS_EQUAL(3, again->crashes.size());
    LONGS_EQUAL(5000, again->crashes.front()->age_ms);
    clock.advance(core::milliseconds{20'000});
    CHECK_FALSE(guard.take_evidence(clock.now()).has_value());
}

TEST(PromptGuard, ReportsEarlierAndNewAnswersOnASuspectedPart)
{
    guard.record_answer("models", parts, clock.now());
    CHECK_FALSE(guard.has_news());
    clock.advance(core::milliseconds{3000});
    wire::prompt_suspects_t suspects;
    suspects.parts = {"models:aa"};
    guard.set_suspects(suspects, clock.now());
    const auto earlier = guard.take_evidence(clock.now());
    LONGS_EQUAL(1, earlier->survivals.size());
    STRCMP_EQUAL("models:aa", earlier->survivals.front()->part.c_str());
    LONGS_EQUAL(3000, earlier->survivals.front()->age_ms);
    guard.record_answer("models", parts, clock.now());
    LONGS_EQUAL(0, guard.take_evidence(clock.now())->survivals.front()->age_ms);
}

TEST(PromptGuard, ReportsWhatItRefused)
{
    block(1, "models:bad");
    CHECK_TRUE(refuses(prompt));
    const auto evidence = guard.take_evidence(clock.now());
    STRCMP_EQUAL("gateway-1", evidence->vm.c_str());
    STRCMP_EQUAL("models:bad", evidence->refused.front().c_str());
}

TEST(PromptGuard, RefusesABlockedRequestWithOrWithoutAPrompt)
{
    block(1, "models:=digest");
    CHECK_TRUE(refuses(prompt));
    CHECK_TRUE(refuses({}));
    CHECK_FALSE(guard.has_blocked(prompt_guard::parts_of("models", {}, "other")));
    CHECK_FALSE(guard.has_blocked(prompt_guard::parts_of("desk", {}, "digest")));
}

TEST(PromptGuard, AllowsATrialAgainThatWasNotSent)
{
    block(1, "models:bad", "gateway-1");
    CHECK_FALSE(refuses(prompt));
    guard.restore_trial(parts);
    CHECK_FALSE(refuses(prompt));
    CHECK_TRUE(refuses(prompt));
}

TEST(PromptGuard, TellsASuspectedRequestFromAGuiltyOne)
{
    wire::fleet_update_t update;
    update.blocked_included = true;
    update.blocked_generation = 1;
    wire::blocked_part_t item;
    item.part = "models:=digest";
    item.strikes = 0;
    wire::append(update.blocked, std::move(item));
    guard.apply_blocked(update);
    CHECK_TRUE(guard.has_blocked(parts));
    CHECK_FALSE(guard.has_guilty(parts));
    CHECK_TRUE(guard.find_blocked(parts)->suspected);
}
