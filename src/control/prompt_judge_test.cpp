#include "siskindrift/control/prompt_judge.h"

#include <CppUTest/TestHarness.h>

#include "siskindrift/wire/frame.h"

using namespace siskindrift;
using namespace siskindrift::control;

class judge_fixture : public Utest {
public:
    core::manual_clock clock;
    prompt_judge judge;
    state::control_state state;
    int next_crash = 0;
    static constexpr std::uint32_t prefill_ms = 240; ///< From sending a request to its crash.
    std::vector<std::uint32_t> answered = std::vector<std::uint32_t>(60, 15); ///< In each second.

    std::uint64_t term = 1;

    void setup() override { judge.begin_term(clock.now(), term); }

    wire::prompt_evidence_t make_evidence(const std::string& service = "") const
    {
        wire::prompt_evidence_t evidence;
        evidence.leader_ms =
            static_cast<std::uint64_t>(core::to_ms(clock.now().time_since_epoch()));
        wire::service_answers_t item;
        item.service = service;
        item.by_second = answered;
        wire::append(evidence.answered, std::move(item));
        return evidence;
    }

    [[nodiscard]] const state::blocked_parts& blocked() const
    {
        return state.current_blocked_parts();
    }
    [[nodiscard]] bool is_blocked(const std::string& part) const
    {
        return blocked().parts.contains(part);
    }

    void apply_changes()
    {
        while (const auto change = judge.next_change(blocked(), clock.now())) {
            wire::log_entry_t entry;
            entry.kind = wire::entry_kind::command;
            const auto bytes = wire::encode_table(wire::make_control_request(*change));
            entry.data.assign(bytes.begin(), bytes.end());
            state.apply(entry);
        }
    }

    /// An engine ends as it begins an answer on all of @p parts.
    void crash(const std::vector<std::string>& parts, bool ended = true,
               core::milliseconds pause = core::milliseconds{700})
    {
        const auto number = std::to_string(++next_crash);
        auto evidence = make_evidence();
        for (const auto& part : parts) {
            wire::prompt_crash_t item;
            item.part = part;
            item.upstream = "engine-" + number;
            item.request = "request-" + number;
            item.sent_age_ms = prefill_ms;
            wire::append(evidence.crashes, std::move(item));
        }
        for (const auto& check : judge.record_evidence(evidence, blocked(), clock.now())) {
            judge.record_check(check, ended);
        }
        clock.advance(pause);
        apply_changes();
    }

    void answer(const std::string& part, core::milliseconds age = core::milliseconds{0})
    {
        auto evidence = make_evidence();
        wire::prompt_survival_t item;
        item.part = part;
        item.age_ms = static_cast<std::uint32_t>(age.count());
        wire::append(evidence.survivals, std::move(item));
        LONGS_EQUAL(0, judge.record_evidence(evidence, blocked(), clock.now()).size());
    }

    void reply(const std::string& vm, std::uint64_t number)
    {
        auto evidence = make_evidence();
        evidence.vm = vm;
        evidence.suspects_number = number;
        LONGS_EQUAL(0, judge.record_evidence(evidence, blocked(), clock.now()).size());
    }

    void refuse(const std::string& part, const std::string& vm)
    {
        wire::prompt_evidence_t evidence;
        evidence.vm = vm;
        evidence.refused.push_back(part);
        LONGS_EQUAL(0, judge.record_evidence(evidence, blocked(), clock.now()).size());
        apply_changes();
    }

    void block(const std::string& part)
    {
        for (int i = 0; i < 3; ++i) {
            crash({part});
        }
        CHECK_TRUE(is_blocked(part));
    }

    void wait_for_trial(const std::string& part, core::duration time)
    {
        clock.advance(time);
        refuse(part, "gateway-1");
        STRCMP_EQUAL("gateway-1", blocked().parts.at(part).trial_vm.c_str());
    }
};

TEST_GROUP_BASE(PromptJudge, judge_fixture){};

TEST(PromptJudge, BlocksAPartUnderWhichThreeEnginesEnded)
{
    crash({"bad"});
    crash({"bad"});
    CHECK_FALSE(is_blocked("bad"));
    crash({"bad"});
    CHECK_TRUE(is_blocked("bad"));
}

TEST(PromptJudge, AcquitsAPartThatAnEngineAnswersOn)
{
    for (int i = 0; i < 6; ++i) {
        crash({"bad", "shared"});
        answer("shared");
    }
    CHECK_TRUE(is_blocked("bad"));
    CHECK_FALSE(is_blocked("shared"));
}

TEST(PromptJudge, BlocksNoCompanionOfAGuiltyPartThatWasAnsweredOnBefore)
{
    for (int i = 0; i < 3; ++i) {
        crash({"bad", "aa-shared"}, true, core::milliseconds{5000});
        answer("aa-shared", core::milliseconds{50'000});
    }
    CHECK_TRUE(is_blocked("bad"));
    clock.advance(core::milliseconds{1000});
    apply_changes();
    CHECK_FALSE(is_blocked("aa-shared"));
}

TEST(PromptJudge, BlocksSeveralGuiltyParts)
{
    for (int i = 0; i < 3; ++i) {
        crash({"bad-1"});
        crash({"bad-2"});
    }
    CHECK_TRUE(is_blocked("bad-1"));
    CHECK_TRUE(is_blocked("bad-2"));
}

TEST(PromptJudge, BlocksNoPartThatLosesAnswersInCompanyOfManyOthers)
{
    for (int i = 0; i < 5; ++i) {
        auto evidence = make_evidence();
        for (int request = 0; request < 12; ++request) {
            wire::prompt_crash_t item;
            item.part = request == 0 ? "rare" : "other-" + std::to_string(i * 12 + request);
            item.upstream = "engine-" + std::to_string(i);
            item.request = std::to_string(i) + "-" + std::to_string(request);
            item.sent_age_ms = prefill_ms;
            wire::append(evidence.crashes, std::move(item));
        }
        for (const auto& check : judge.record_evidence(evidence, blocked(), clock.now())) {
            judge.record_check(check, true);
        }
        clock.advance(core::milliseconds{1200});
        apply_changes();
    }
    CHECK_TRUE(blocked().parts.empty());
}

TEST(PromptJudge, BlocksNoPartOfRequestsThatAnEngineTookDownWithAGuiltyOne)
{
    for (int i = 0; i < 8; ++i) {
        const auto number = std::to_string(i);
        auto evidence = make_evidence();
        for (const std::string part : {"bad", "bystander"}) {
            wire::prompt_crash_t item;
            item.part = part;
            item.upstream = "engine-" + number;
            item.request = number + part;
            item.sent_age_ms = prefill_ms;
            if (part == "bad" || i % 2 == 0) {
                wire::append(evidence.crashes, std::move(item));
            }
        }
        for (const auto& check : judge.record_evidence(evidence, blocked(), clock.now())) {
            judge.record_check(check, true);
        }
        clock.advance(core::milliseconds{1200});
        apply_changes();
    }
    CHECK_TRUE(is_blocked("bad"));
    CHECK_FALSE(is_blocked("bystander"));
}

TEST(PromptJudge, BlocksNothingWhileEnginesAnswerNothingAtAll)
{
    answered.assign(60, 0);
    for (int i = 0; i < 10; ++i) {
        crash({"shared"});
    }
    CHECK_FALSE(is_blocked("shared"));
}

TEST(PromptJudge, CountsNoBrokenAnswersOfEnginesThatGoOn)
{
    for (int i = 0; i < 10; ++i) {
        crash({"sound"}, false);
    }
    CHECK_FALSE(is_blocked("sound"));
}

TEST(PromptJudge, CountsEnginesThatEndTogetherOnce)
{
    for (int i = 0; i < 12; ++i) {
        crash({"sound"}, true, core::milliseconds{1});
    }
    clock.advance(core::milliseconds{1000});
    apply_changes();
    CHECK_FALSE(is_blocked("sound"));
}

TEST(PromptJudge, BlocksNoPartByACrashOfManyEnginesThatIsHeardOfLate)
{
    constexpr int engines = 35;
    const auto crashed_at = clock.now();
    const auto leader_ms =
        static_cast<std::uint64_t>(core::to_ms(crashed_at.time_since_epoch())) - 100;
    for (int round = 0; round < 2; ++round) { // gateways repeat it
        for (int i = 0; i < engines; ++i) {
            const int order = i * 11 % engines;
            auto evidence = make_evidence();
            evidence.leader_ms = leader_ms;
            evidence.leader_age_ms = 100;
            wire::prompt_crash_t item;
            item.part = "sound";
            item.upstream = "engine-" + std::to_string(order);
            item.request = "request-" + std::to_string(order);
            item.sent_age_ms = prefill_ms;
            wire::append(evidence.crashes, std::move(item));
            for (const auto& check : judge.record_evidence(evidence, blocked(), clock.now())) {
                judge.record_check(check, true);
            }
            clock.advance(core::milliseconds{210});
            apply_changes();
        }
    }
    CHECK_FALSE(is_blocked("sound"));
}

TEST(PromptJudge, BlocksNoPartBeforeEveryGatewayHasToldItsAnswers)
{
    judge.set_gateways({"gateway-1", "gateway-2"});
    for (int i = 0; i < 3; ++i) {
        crash({"sound"});
    }
    const auto suspects = judge.take_suspects(clock.now());
    CHECK_TRUE(suspects.has_value());
    reply("gateway-1", suspects->number);
    clock.advance(core::milliseconds{5000});
    apply_changes();
    CHECK_FALSE(is_blocked("sound"));
    reply("gateway-2", suspects->number - 1);
    apply_changes();
    CHECK_FALSE(is_blocked("sound"));
    reply("gateway-2", suspects->number);
    apply_changes();
    CHECK_TRUE(is_blocked("sound"));
}

TEST(PromptJudge, AwaitsNoGatewayThatIsNotAttachedAnyMore)
{
    judge.set_gateways({"gateway-1", "gateway-2"});
    for (int i = 0; i < 3; ++i) {
        crash({"bad"});
    }
    reply("gateway-1", judge.take_suspects(clock.now())->number);
    apply_changes();
    CHECK_FALSE(is_blocked("bad"));
    judge.set_gateways({"gateway-1"});
    apply_changes();
    CHECK_TRUE(is_blocked("bad"));
}

TEST(PromptJudge, CountsEnginesThatWereSeenAliveAfterAnotherHadEnded)
{
    for (int i = 0; i < 3; ++i) {
        judge.record_alive("engine-" + std::to_string(next_crash + 1), 0, clock.now());
        auto evidence = make_evidence();
        evidence.leader_ms = 0; // of an earlier build
        wire::prompt_crash_t item;
        item.part = "bad";
        item.upstream = "engine-" + std::to_string(++next_crash);
        item.request = "request-" + std::to_string(next_crash);
        wire::append(evidence.crashes, std::move(item));
        for (const auto& check : judge.record_evidence(evidence, blocked(), clock.now())) {
            judge.record_check(check, true);
        }
        clock.advance(core::milliseconds{700});
        apply_changes();
    }
    CHECK_TRUE(is_blocked("bad"));
}

TEST(PromptJudge, AsksForNoAnswersOnPartsThatACrashOfManyEnginesTookDown)
{
    std::size_t announced_bytes = 0;
    for (int i = 0; i < 1000; ++i) {
        auto evidence = make_evidence();
        for (const auto& part : {std::string{"models:shared"}, "models:=" + std::to_string(i)}) {
            wire::prompt_crash_t item;
            item.part = part;
            item.upstream = "engine-" + std::to_string(i % 35);
            item.request = "request-" + std::to_string(i);
            item.sent_age_ms = 400; // sent before the crash, which was 200 ms ago
            item.age_ms = 200;
            wire::append(evidence.crashes, std::move(item));
        }
        for (const auto& check : judge.record_evidence(evidence, blocked(), clock.now())) {
            judge.record_check(check, true);
        }
        if (const auto suspects = judge.take_suspects(clock.now())) {
            for (const auto& part : suspects->parts) {
                announced_bytes += part.size();
            }
        }
        clock.advance(std::chrono::microseconds{200});
    }
    CHECK_TRUE(announced_bytes < 4096);
}

TEST(PromptJudge, ChecksARunOfAnEngineOnceHoweverManyRequestsWereLostThere)
{
    std::size_t checks = 0;
    for (int i = 0; i < 100; ++i) {
        auto evidence = make_evidence();
        wire::prompt_crash_t item;
        item.part = "models:=" + std::to_string(i);
        item.upstream = "engine-1";
        item.request = "request-" + std::to_string(i);
        wire::append(evidence.crashes, std::move(item));
        for (const auto& check : judge.record_evidence(evidence, blocked(), clock.now())) {
            judge.record_check(check, true);
            ++checks;
        }
    }
    LONGS_EQUAL(1, checks);
}

TEST(PromptJudge, TriesABlockedPartThatManyGatewaysRefuseAgainWithinTwoSeconds)
{
    judge.set_gateways({"gateway-1", "gateway-2", "gateway-3", "gateway-4"});
    for (int i = 0; i < 3; ++i) {
        crash({"sound"});
    }
    const auto number = judge.take_suspects(clock.now())->number;
    for (const std::string vm : {"gateway-1", "gateway-2", "gateway-3", "gateway-4"}) {
        reply(vm, number);
    }
    apply_changes();
    CHECK_TRUE(is_blocked("sound"));
    clock.advance(core::milliseconds{1600});
    refuse("sound", "gateway-1");
    refuse("sound", "gateway-2");
    STRCMP_EQUAL("", blocked().parts.at("sound").trial_vm.c_str());
    LONGS_EQUAL(0, judge.count_popular(blocked(), clock.now()));
    refuse("sound", "gateway-3");
    LONGS_EQUAL(1, judge.count_popular(blocked(), clock.now()));
    STRCMP_EQUAL("gateway-3", blocked().parts.at("sound").trial_vm.c_str());
}

TEST(PromptJudge, ForgetsCrashesThatLieLongApart)
{
    for (int i = 0; i < 6; ++i) {
        crash({"sound"}, true, core::milliseconds{61'000});
    }
    CHECK_FALSE(is_blocked("sound"));
}

TEST(PromptJudge, CountsACrashThatIsReportedAgainOnce)
{
    for (int i = 0; i < 5; ++i) {
        next_crash = 0;
        crash({"sound"});
    }
    CHECK_FALSE(is_blocked("sound"));
}

TEST(PromptJudge, ReleasesAPartWhoseTrialSucceeds)
{
    block("sound");
    wait_for_trial("sound", core::milliseconds{31'000});
    clock.advance(core::milliseconds{100});
    answer("sound");
    apply_changes();
    CHECK_FALSE(is_blocked("sound"));
}

TEST(PromptJudge, BlocksAPartLongerWhoseTrialCrashesAnEngine)
{
    block("bad");
    wait_for_trial("bad", core::milliseconds{31'000});
    clock.advance(core::milliseconds{100});
    crash({"bad"});
    LONGS_EQUAL(2, blocked().parts.at("bad").strikes);
    clock.advance(core::milliseconds{31'000});
    refuse("bad", "gateway-1");
    STRCMP_EQUAL("", blocked().parts.at("bad").trial_vm.c_str());
    wait_for_trial("bad", core::milliseconds{120'000});
}

TEST(PromptJudge, EndsATrialWithoutAResult)
{
    block("bad");
    wait_for_trial("bad", core::milliseconds{31'000});
    clock.advance(core::milliseconds{16'000});
    apply_changes();
    CHECK_TRUE(is_blocked("bad"));
    STRCMP_EQUAL("", blocked().parts.at("bad").trial_vm.c_str());
}

TEST(PromptJudge, ReleasesAPartThatNobodyAsksFor)
{
    block("bad");
    clock.advance(core::milliseconds{601'000});
    apply_changes();
    CHECK_FALSE(is_blocked("bad"));
}

TEST(PromptJudge, KeepsBlocksAcrossLeadersAndSnapshots)
{
    block("bad");
    state::control_state restored;
    CHECK_TRUE(restored.restore(state.save()));
    judge.begin_term(clock.now(), ++term);
    clock.advance(core::milliseconds{10'000});
    CHECK_FALSE(judge.next_change(restored.current_blocked_parts(), clock.now()).has_value());
    CHECK_TRUE(restored.current_blocked_parts().parts.contains("bad"));
}

TEST(PromptJudge, BoundsItsMemory)
{
    for (int i = 0; i < 5000; ++i) {
        crash({"part-" + std::to_string(i)}, true, core::milliseconds{1});
    }
    for (int i = 0; i < 5000; ++i) {
        crash({"desk:=" + std::to_string(i)}, true, core::milliseconds{1});
        crash({"desk:=" + std::to_string(i)}, true, core::milliseconds{1});
    }
    const auto suspects = judge.take_suspects(clock.now());
    CHECK_TRUE(suspects && !suspects->parts.empty());
    CHECK_TRUE(suspects->parts.size() <= prompt_judge_options{}.max_suspects);
}

TEST_GROUP_BASE(RequestJudge, judge_fixture)
{
    const std::string bad = "desk:=bad";

    /// An upstream ends under requests, without the head of an answer.
    void lose(const std::string& upstream, const std::vector<std::string>& parts,
              core::milliseconds pause = core::milliseconds{50}, bool ended = true)
    {
        auto evidence = make_evidence("desk");
        for (const auto& part : parts) {
            wire::prompt_crash_t item;
            item.part = part;
            item.upstream = upstream;
            item.request = std::to_string(++next_crash);
            item.without_head = true;
            wire::append(evidence.crashes, std::move(item));
        }
        for (const auto& check : judge.record_evidence(evidence, blocked(), clock.now())) {
            judge.record_check(check, ended);
        }
        clock.advance(pause);
        apply_changes();
    }

    void lose_three(const std::vector<std::string>& parts)
    {
        lose("u-1", parts, core::milliseconds{0});
        lose("u-2", parts);
        lose("u-3", parts);
        clock.advance(core::milliseconds{400});
        apply_changes();
    }

    std::uint32_t strikes(const std::string& part) const
    {
        return blocked().parts.at(part).strikes;
    }

    bool is_on_trial(const std::string& part) const
    {
        return !blocked().parts.at(part).trial_vm.empty();
    }
};

TEST(RequestJudge, SuspectsARequestUnderWhichThreeUpstreamsEndedWithinMilliseconds)
{
    lose("u-1", {bad}, core::milliseconds{0});
    lose("u-2", {bad}, core::milliseconds{0});
    clock.advance(core::milliseconds{1000});
    apply_changes();
    CHECK_FALSE(is_blocked(bad));
    lose("u-3", {bad});
    CHECK_FALSE(is_blocked(bad)); // an answer may still acquit it
    clock.advance(core::milliseconds{400});
    apply_changes();
    LONGS_EQUAL(0, strikes(bad));
}

TEST(RequestJudge, BlocksARequestAtOnceIfItIsNoCoincidence)
{
    for (const auto* upstream : {"u-1", "u-2", "u-3"}) {
        lose(upstream, {bad}, core::milliseconds{700});
    }
    LONGS_EQUAL(1, strikes(bad));
}

TEST(RequestJudge, SuspectsNoRequestThatIsAnsweredMeanwhile)
{
    lose("u-1", {bad, "desk:=poll"});
    lose("u-2", {bad, "desk:=poll"});
    lose("u-3", {bad, "desk:=poll"});
    answer("desk:=poll");
    clock.advance(core::milliseconds{400});
    apply_changes();
    CHECK_TRUE(is_blocked(bad));
    CHECK_FALSE(is_blocked("desk:=poll"));
}

TEST(RequestJudge, TriesOneSuspectedRequestOfAServiceAtATime)
{
    lose_three({bad, "desk:=poll"});
    clock.advance(core::milliseconds{100});
    refuse(bad, "gateway-1");
    CHECK_TRUE(is_on_trial(bad));
    refuse("desk:=poll", "gateway-2");
    CHECK_FALSE(is_on_trial("desk:=poll"));
    clock.advance(core::milliseconds{100});
    lose("u-4", {bad}, core::milliseconds{400});
    LONGS_EQUAL(1, strikes(bad));
    apply_changes();
    CHECK_TRUE(is_on_trial("desk:=poll"));
    clock.advance(core::milliseconds{100});
    answer("desk:=poll");
    apply_changes();
    CHECK_FALSE(is_blocked("desk:=poll"));
    CHECK_TRUE(is_blocked(bad));
}

TEST(RequestJudge, ReleasesASuspectedRequestThatAnUpstreamAnswers)
{
    lose_three({bad});
    clock.advance(core::milliseconds{10});
    answer(bad); // it was on its way
    apply_changes();
    CHECK_FALSE(is_blocked(bad));
}

TEST(RequestJudge, TriesAgainAfterASuspectedRequestDidNotArriveOnTrial)
{
    lose_three({bad});
    clock.advance(core::milliseconds{10});
    refuse(bad, "gateway-1");
    CHECK_TRUE(is_on_trial(bad));
    clock.advance(core::milliseconds{3100});
    apply_changes();
    LONGS_EQUAL(0, strikes(bad));
    CHECK_FALSE(is_on_trial(bad));
    clock.advance(core::milliseconds{10});
    refuse(bad, "gateway-2");
    STRCMP_EQUAL("gateway-2", blocked().parts.at(bad).trial_vm.c_str());
}

TEST(RequestJudge, CountsNoUpstreamsThatGoOn)
{
    for (int i = 0; i < 6; ++i) {
        lose("u-" + std::to_string(i), {bad}, core::milliseconds{700}, false);
    }
    CHECK_FALSE(is_blocked(bad));
}

TEST(RequestJudge, CountsOneUpstreamUnderManyCopiesOnce)
{
    for (int i = 0; i < 9; ++i) {
        lose("u-1", {bad, bad}, core::milliseconds{300});
    }
    CHECK_FALSE(is_blocked(bad));
}

TEST(RequestJudge, OnlySuspectsARequestWhileItsServiceAnswersNothing)
{
    answered.assign(60, 0);
    for (const auto* upstream : {"u-1", "u-2", "u-3"}) {
        lose(upstream, {bad}, core::milliseconds{700});
    }
    LONGS_EQUAL(0, strikes(bad));
}

TEST(RequestJudge, ConvictsNoRequestOnTrialIfAnotherOneThatWasOnItsWayIsLostWithIt)
{
    lose_three({bad, "desk:=poll"});
    clock.advance(core::milliseconds{100});
    refuse("desk:=poll", "gateway-1");
    CHECK_TRUE(is_on_trial("desk:=poll"));
    clock.advance(core::milliseconds{100});
    lose("u-4", {"desk:=poll", bad}, core::milliseconds{400});
    LONGS_EQUAL(0, strikes("desk:=poll"));
    LONGS_EQUAL(0, strikes(bad));
    refuse("desk:=poll", "gateway-1");
    clock.advance(core::milliseconds{100});
    answer("desk:=poll");
    apply_changes();
    CHECK_FALSE(is_blocked("desk:=poll"));
}

TEST(RequestJudge, ConvictsARequestOnTrialHoweverManyWereLostWithItBeforeAndNeverCameAgain)
{
    for (const int others : {1, 10, 100}) {
        judge = prompt_judge{};
        state = state::control_state{};
        judge.begin_term(clock.now(), ++term);
        std::vector<std::string> lost{bad};
        for (int i = 0; i < others; ++i) {
            lost.push_back("desk:=once-" + std::to_string(i));
        }
        lose_three(lost);
        lost.erase(lost.begin());
        lose("u-1", lost); // told late, by another gateway
        clock.advance(core::milliseconds{1000});
        refuse(bad, "gateway-1");
        CHECK_TRUE(is_on_trial(bad));
        lose("u-4", {bad}, core::milliseconds{400});
        LONGS_EQUAL(1, strikes(bad));
    }
}

TEST(RequestJudge, ConvictsARequestOnTrialUnderALaterLeader)
{
    lose_three({bad, "desk:=once"});
    lose("u-1", {"desk:=once"});
    judge.begin_term(clock.now(), ++term);
    apply_changes();
    clock.advance(core::milliseconds{1000});
    refuse(bad, "gateway-1");
    lose("u-4", {bad}, core::milliseconds{400});
    LONGS_EQUAL(1, strikes(bad));
}
