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
    leader_time leader;

    std::optional<wire::prompt_evidence_t> take_evidence()
    {
        return guard.take_evidence(leader, clock.now());
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

TEST(PromptGuard, ReportsACrashOnceToEachLeaderForAWhile)
{
    const auto sent = clock.now() - core::milliseconds{300};
    guard.record_crash({parts, "engine-1", 7, "r1", false, sent}, clock.now());
    CHECK_TRUE(guard.has_news());
    LONGS_EQUAL(3, take_evidence()->crashes.size());
    CHECK_FALSE(guard.has_news());
    guard.record_crash({parts, "engine-2", 7, "r2", false, sent}, clock.now());
    const auto more = take_evidence();
    LONGS_EQUAL(3, more->crashes.size());
    STRCMP_EQUAL("engine-2", more->crashes.front()->upstream.c_str());
    clock.advance(core::milliseconds{5000});
    CHECK_FALSE(take_evidence().has_value());
    guard.begin_leader();
    const auto again = take_evidence();
    LONGS_EQUAL(6, again->crashes.size());
    LONGS_EQUAL(5000, again->crashes.front()->age_ms);
    LONGS_EQUAL(5300, again->crashes.front()->sent_age_ms);
    clock.advance(core::milliseconds{20'000});
    guard.begin_leader();
    CHECK_TRUE(take_evidence().value_or(wire::prompt_evidence_t{}).crashes.empty());
    CHECK_FALSE(take_evidence().has_value());
}

TEST(PromptGuard, TellsWhichAnnouncementOfSuspectsItRepliesTo)
{
    wire::prompt_suspects_t suspects;
    suspects.parts = {"models:aa"};
    suspects.number = 17;
    guard.set_suspects(suspects, clock.now());
    leader = {500, clock.now()};
    clock.advance(core::milliseconds{40});
    const auto reply = take_evidence();
    LONGS_EQUAL(17, reply->suspects_number);
    LONGS_EQUAL(500, reply->leader_ms);
    LONGS_EQUAL(40, reply->leader_age_ms);
    guard.begin_leader();
    guard.record_crash({parts, "engine-1", 7, "r1", false}, clock.now());
    LONGS_EQUAL(0, take_evidence()->suspects_number);
}

TEST(PromptGuard, ReportsEarlierAndNewAnswersOnASuspectedPart)
{
    guard.record_answer("models", parts, clock.now());
    CHECK_FALSE(guard.has_news());
    clock.advance(core::milliseconds{3000});
    wire::prompt_suspects_t suspects;
    suspects.parts = {"models:aa"};
    guard.set_suspects(suspects, clock.now());
    const auto earlier = take_evidence();
    LONGS_EQUAL(1, earlier->survivals.size());
    STRCMP_EQUAL("models:aa", earlier->survivals.front()->part.c_str());
    LONGS_EQUAL(3000, earlier->survivals.front()->age_ms);
    guard.record_answer("models", parts, clock.now());
    LONGS_EQUAL(0, take_evidence()->survivals.front()->age_ms);
}

TEST(PromptGuard, ReportsWhatItRefused)
{
    block(1, "models:bad");
    CHECK_TRUE(refuses(prompt));
    const auto evidence = take_evidence();
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
