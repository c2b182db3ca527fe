#include "siskindrift/gateway/upstream_pool.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::gateway;

TEST_GROUP(UpstreamPool)
{
    core::manual_clock clock;
    fleet::roster roster;
    upstream_limits limits{"vm"};
    upstream_pool pool{roster, limits, 1};
    const adapter_name wanted{"base", "a1"};
    const adapter_name none{};

    void announce(const std::string& id, const std::string& service = "llm",
                  const std::string& software = "v1")
    {
        wire::fleet_upstream_t announcement;
        announcement.id = id;
        announcement.service = service;
        announcement.address = id + ":1";
        announcement.born_ms = 100;
        announcement.sequence = 1;
        announcement.slots = 10;
        announcement.software_version = software;
        roster.update(std::move(announcement), clock.now());
    }

    void set_held_version(const std::string& id, std::uint64_t version,
                          std::uint64_t pending_tokens = 0)
    {
        wire::engine_view_t view;
        view.copies_included = true;
        view.pending_tokens = pending_tokens;
        view.upstream = id;
        view.born_ms = 100;
        wire::adapter_copy_t copy;
        copy.model = wanted.first;
        copy.adapter = wanted.second;
        copy.version = version;
        wire::append(view.copies, std::move(copy));
        pool.update_engine(view);
    }

    void name_limit(const std::string& id)
    {
        limits.record_answer({id, 100, core::request_rate{1}, clock.now()}, clock.now());
    }

    void grant(const std::string& id, std::uint32_t granted, std::uint32_t next_ms)
    {
        wire::send_permit_grant_t message;
        message.asked_ms = static_cast<std::uint64_t>(core::to_ms(clock.now().time_since_epoch()));
        wire::send_permit_t item;
        item.upstream = id;
        item.granted = granted;
        item.next_ms = next_ms;
        item.retry_after_ms = next_ms;
        wire::append(message.permits, std::move(item));
        limits.apply_grant(message, clock.now());
    }

    void refuse(const std::string& id)
    {
        grant(id, 0, 400);
    }

    void fail_connects(const std::string& id)
    {
        pool.record_connect_failure(id, clock.now());
        pool.record_connect_failure(id, clock.now());
    }

    pool_choice choose(const adapter_name& name, const std::set<std::string>& tried = {})
    {
        return pool.choose("llm", name, tried, clock.now());
    }
};

TEST(UpstreamPool, GoesOnWithAStreamAtADrainingUpstreamOnlyIfNoOtherHasItsVersion)
{
    const software_pin pin{"v1", {}, 0};
    announce("a");
    announce("b");
    CHECK_TRUE(roster.mark_draining("a", 100, clock.now()));
    for (int i = 0; i < 5; ++i) {
        STRCMP_EQUAL("b", pool.choose("llm", none, {}, clock.now(), {}, pin).upstream.c_str());
    }
    CHECK_TRUE(roster.mark_draining("b", 100, clock.now()));
    CHECK_TRUE(pool_choice::kind::send ==
               pool.choose("llm", none, {}, clock.now(), {}, pin).result);
    CHECK_TRUE(pool_choice::kind::none == pool.choose("llm", none, {}, clock.now()).result);
    clock.advance(core::milliseconds{1100});
    CHECK_TRUE(pool_choice::kind::none ==
               pool.choose("llm", none, {}, clock.now(), {}, pin).result);
}

TEST(UpstreamPool, ChoosesTheLeastLoaded)
{
    announce("a");
    announce("b");
    for (int i = 0; i < 3; ++i) {
        pool.record_sent("a", none, clock.now());
    }
    STRCMP_EQUAL("b", choose(none).upstream.c_str());
}

TEST(UpstreamPool, ComparesTwoRandomEnginesWithManyGateways)
{
    for (const std::string id : {"a", "b", "c", "d"}) {
        announce(id);
        set_held_version(id, 1, id == "a" ? 0 : 10'000);
    }
    const auto times_a_chosen = [&] {
        int count = 0;
        for (int i = 0; i < 400; ++i) {
            count += choose(wanted).upstream == "a" ? 1 : 0;
        }
        return count;
    };
    pool.set_gateway_count(7);
    LONGS_EQUAL(400, times_a_chosen());
    pool.set_gateway_count(70);
    const int chosen = times_a_chosen();
    CHECK_TRUE_TEXT(chosen > 150 && chosen < 250, std::to_string(chosen).c_str());
}

TEST(UpstreamPool, CountsRequestsOfOtherGateways)
{
    announce("a");
    announce("b");
    pool.record_load("a", {8, 4, 10});
    STRCMP_EQUAL("b", choose(none).upstream.c_str());
}

TEST(UpstreamPool, ChoosesOnlyEnginesThatHoldTheAdapter)
{
    announce("a");
    announce("b");
    set_held_version("b", 1);
    const auto choice = choose(wanted);
    STRCMP_EQUAL("b", choice.upstream.c_str());
    LONGS_EQUAL(1, static_cast<long>(*choice.adapter_version));
}

TEST(UpstreamPool, OmitsAnUnknownAdapterVersion)
{
    announce("a");
    set_held_version("a", 0);
    CHECK_FALSE(choose(wanted).adapter_version.has_value());
}

TEST(UpstreamPool, ReportsThatNoEngineHoldsTheAdapter)
{
    announce("a");
    CHECK_TRUE(choose(wanted).result == pool_choice::kind::adapter_not_loaded);
    pool.record_missing_adapter("a", wanted);
    CHECK_TRUE(choose(wanted).result == pool_choice::kind::adapter_not_loaded);
}

TEST(UpstreamPool, ReturnsNoneWithoutUpstreams)
{
    CHECK_TRUE(choose(wanted).result == pool_choice::kind::none);
}

TEST(UpstreamPool, UsesAnOldVersionOnlyForAGracePeriod)
{
    announce("a");
    set_held_version("a", 1);
    pool.set_current_version(wanted, 2, clock.now());
    STRCMP_EQUAL("a", choose(wanted).upstream.c_str());
    CHECK_TRUE(choose(wanted).crowded); // a copy of the current version is requested
    clock.advance(core::milliseconds{1600});
    roster.refresh("a", clock.now());
    CHECK_TRUE(choose(wanted).result == pool_choice::kind::adapter_not_loaded);
    announce("b");
    set_held_version("b", 2);
    STRCMP_EQUAL("b", choose(wanted).upstream.c_str());
}

// Guards against requests that begin on a version that was replaced before the last one was named.
TEST(UpstreamPool, UsesNoVersionThatWasOutdatedBeforeTheLastOneWasNamed)
{
    announce("a");
    set_held_version("a", 1);
    pool.set_current_version(wanted, 2, clock.now());
    clock.advance(core::milliseconds{8000});
    roster.refresh("a", clock.now());
    pool.set_current_version(wanted, 3, clock.now());
    CHECK_TRUE(choose(wanted).result == pool_choice::kind::adapter_not_loaded);
}

TEST(UpstreamPool, UsesAVersionThroughTwoNewOnesThatFollowCloselyEachOther)
{
    announce("a");
    set_held_version("a", 1);
    pool.set_current_version(wanted, 3, clock.now());
    pool.set_current_version(wanted, 2, clock.now() - core::milliseconds{1000}); // learnt late
    STRCMP_EQUAL("a", choose(wanted).upstream.c_str());
    clock.advance(core::milliseconds{600});
    roster.refresh("a", clock.now());
    CHECK_TRUE(choose(wanted).result == pool_choice::kind::adapter_not_loaded);
}

TEST(UpstreamPool, UsesNoOldVersionIfTheNewOneMayHaveBeenNamedLongAgo)
{
    announce("a");
    set_held_version("a", 1);
    pool.set_current_version(wanted, 2, std::nullopt);
    CHECK_TRUE(choose(wanted).result == pool_choice::kind::adapter_not_loaded);
}

TEST(UpstreamPool, RejectsAnOldVersionThatWouldStartLate)
{
    announce("a");
    set_held_version("a", 1, 110'000); // about three seconds of prefill
    pool.set_current_version(wanted, 2, clock.now());
    CHECK_TRUE(choose(wanted).result == pool_choice::kind::adapter_not_loaded);
}

TEST(UpstreamPool, IgnoresAdaptersHeldBeforeAnEngineRestart)
{
    announce("a");
    set_held_version("a", 1);
    wire::fleet_upstream_t restarted;
    restarted.id = "a";
    restarted.service = "llm";
    restarted.address = "a:1";
    restarted.born_ms = 200;
    restarted.sequence = 1;
    roster.update(std::move(restarted), clock.now());
    CHECK_TRUE(choose(wanted).result == pool_choice::kind::adapter_not_loaded);
}

TEST(UpstreamPool, EjectsAFailingUpstreamAndTriesItAgainLater)
{
    announce("a");
    announce("b");
    pool.record_outcome("a", true, clock.now());
    pool.record_outcome("a", true, clock.now());
    for (int i = 0; i < 9; ++i) {
        pool.record_sent("b", none, clock.now());
    }
    STRCMP_EQUAL("b", choose(none).upstream.c_str());
    clock.advance(core::milliseconds{2100});
    roster.refresh("a", clock.now());
    roster.refresh("b", clock.now());
    STRCMP_EQUAL("a", choose(none).upstream.c_str());
}

TEST(UpstreamPool, UsesAnEjectedUpstreamIfThereIsNoOther)
{
    announce("a");
    pool.record_outcome("a", true, clock.now());
    pool.record_outcome("a", true, clock.now());
    STRCMP_EQUAL("a", choose(none).upstream.c_str());
}

TEST(UpstreamPool, ChoosesTheEngineWithTheFewestPendingPromptTokens)
{
    announce("a");
    announce("b");
    set_held_version("a", 1, 9000);
    set_held_version("b", 1);
    for (int i = 0; i < 3; ++i) {
        pool.record_sent("b", wanted, clock.now(), 200); // more requests, but fewer prompt tokens
    }
    STRCMP_EQUAL("b", choose(wanted).upstream.c_str());
    pool.record_sent("b", wanted, clock.now(), 20'000);
    STRCMP_EQUAL("a", choose(wanted).upstream.c_str());
}

TEST(UpstreamPool, CountsItsOwnPromptTokensOnce)
{
    announce("a");
    announce("b");
    pool.record_sent("a", wanted, clock.now(), 8000);
    LONGS_EQUAL(8000, static_cast<long>(pool.take_token_shares().at(0).pending_tokens));
    set_held_version("a", 1, 8000); // the sum over all gateways, including this one
    set_held_version("b", 1, 12'000);
    STRCMP_EQUAL("a", choose(wanted).upstream.c_str());
}

TEST(UpstreamPool, RequestsAnotherCopyWhenTheDelayIsTooLong)
{
    announce("a");
    set_held_version("a", 1, 3000);
    CHECK_FALSE(choose(wanted).crowded);
    set_held_version("a", 1, 30'000);
    CHECK_TRUE(choose(wanted).crowded);
}

TEST(UpstreamPool, ReportsAdaptersInUse)
{
    announce("a");
    pool.record_sent("a", wanted, clock.now());
    LONGS_EQUAL(1, static_cast<long>(pool.adapter_uses().size()));
    pool.record_ended("a", wanted);
    LONGS_EQUAL(0, static_cast<long>(pool.adapter_uses().size()));
}

TEST(UpstreamPool, DoesNotSendToAnEngineThatRefusesConnections)
{
    announce("a");
    set_held_version("a", 1);
    pool.record_sent("a", wanted, clock.now());
    pool.record_connect_failure("a", clock.now());
    CHECK_TRUE(choose(wanted).result == pool_choice::kind::send);
    pool.record_connect_failure("a", clock.now());
    choose(wanted); // a trial
    CHECK_TRUE(choose(wanted).result == pool_choice::kind::adapter_not_loaded);
    LONGS_EQUAL(1, static_cast<long>(pool.unreachable_upstreams(clock.now()).size()));
    clock.advance(core::milliseconds{500});
    CHECK_TRUE(choose(wanted).result == pool_choice::kind::send); // the next trial
    pool.record_activity("a", clock.now());
    LONGS_EQUAL(0, static_cast<long>(pool.unreachable_upstreams(clock.now()).size()));
}

TEST(UpstreamPool, DoesNotSendToAnEngineWhoseStreamsAreAllSilent)
{
    announce("a");
    announce("b");
    set_held_version("a", 1);
    set_held_version("b", 1, 100'000);
    pool.record_sent("a", wanted, clock.now());
    pool.record_sent("a", wanted, clock.now());
    STRCMP_EQUAL("a", choose(wanted).upstream.c_str());
    clock.advance(core::milliseconds{1100});
    STRCMP_EQUAL("b", choose(wanted).upstream.c_str());
    pool.record_activity("a", clock.now());
    STRCMP_EQUAL("a", choose(wanted).upstream.c_str());
}

TEST(UpstreamPool, DoesNotTakeASingleSlowRequestForASilentEngine)
{
    announce("a");
    set_held_version("a", 1);
    pool.record_sent("a", wanted, clock.now());
    clock.advance(core::milliseconds{1100});
    LONGS_EQUAL(0, static_cast<long>(pool.unreachable_upstreams(clock.now()).size()));
}

TEST(UpstreamPool, SendsElsewhereWhereALimitIsUsedUp)
{
    announce("a");
    announce("b");
    name_limit("a");
    refuse("a");
    for (int i = 0; i < 20; ++i) {
        const auto choice = choose(none);
        CHECK_TRUE(choice.result == pool_choice::kind::send);
        STRCMP_EQUAL("b", choice.upstream.c_str());
    }
}

TEST(UpstreamPool, SaysWhenToReturnIfAllLimitsAreUsedUp)
{
    announce("a");
    announce("b");
    name_limit("a");
    name_limit("b");
    CHECK_TRUE(choose(none).result == pool_choice::kind::needs_permit);
    refuse("a");
    refuse("b");
    const auto choice = choose(none);
    CHECK_TRUE(choice.result == pool_choice::kind::limited);
    LONGS_EQUAL(400, core::to_ms(choice.retry_after));
}

TEST(UpstreamPool, ChoosesTheUpstreamForWhichARequestGotAPermit)
{
    announce("a");
    announce("b");
    name_limit("a");
    pool.record_sent("a", none, clock.now());
    grant("a", 1, 0);
    const auto choice = pool.choose("llm", none, {}, clock.now(), "a");
    CHECK_TRUE(choice.result == pool_choice::kind::send);
    STRCMP_EQUAL("a", choice.upstream.c_str());
}

TEST(UpstreamPool, WantsACopyElsewhereIfTheOnlyEngineThatHoldsAnAdapterIsAtItsLimit)
{
    announce("a");
    set_held_version("a", 1);
    name_limit("a");
    refuse("a");
    CHECK_TRUE(choose(wanted).result == pool_choice::kind::limited);
    announce("b");
    const auto choice = choose(wanted);
    CHECK_TRUE(choice.result == pool_choice::kind::adapter_not_loaded);
    CHECK_TRUE(choice.crowded);
}

TEST(UpstreamPool, ChoosesOnlyTheSoftwareVersionThatBeganAStream)
{
    announce("a");
    announce("b", "llm", "v2");
    announce("c", "llm", "V2");
    for (int i = 0; i < 20; ++i) {
        pool.record_sent("b", none, clock.now());
        const auto choice =
            pool.choose("llm", none, {}, clock.now(), {}, software_pin{"v2", {}, 0});
        STRCMP_EQUAL("b", choice.upstream.c_str());
    }
    const auto gone = pool.choose("llm", none, {}, clock.now(), {}, software_pin{"v3", {}, 0});
    CHECK_TRUE(pool_choice::kind::none == gone.result);
}

TEST(UpstreamPool, GoesOnWithAStreamOfAnUnnamedVersionOnlyAtTheSameRun)
{
    announce("a", "llm", "");
    announce("b", "llm", "");
    const auto same = pool.choose("llm", none, {}, clock.now(), {}, software_pin{"", "b", 100});
    STRCMP_EQUAL("b", same.upstream.c_str());
    const auto other = pool.choose("llm", none, {}, clock.now(), {}, software_pin{"", "b", 99});
    CHECK_TRUE(pool_choice::kind::none == other.result);
}

TEST(UpstreamPool, DoesNotGoOnWithAStreamAtARunThatMayHaveEndedSinceItsAnnouncement)
{
    const software_pin pin{"v1", {}, 0};
    announce("a");
    clock.advance(core::milliseconds{10});
    pool.record_connect_failure("a", clock.now());
    CHECK_TRUE(pool_choice::kind::none ==
               pool.choose("llm", none, {}, clock.now(), {}, pin).result);
    clock.advance(core::milliseconds{10});
    roster.refresh("a", clock.now());
    STRCMP_EQUAL("a", pool.choose("llm", none, {}, clock.now(), {}, pin).upstream.c_str());
}

TEST(UpstreamPool, SaysThatOthersMayReachAnUpstreamThatThisGatewayCannot)
{
    announce("a");
    announce("b");
    CHECK_FALSE(choose(none).unreachable);
    fail_connects("a");
    STRCMP_EQUAL("b", choose(none).upstream.c_str());
    CHECK_FALSE(pool.has_lost_all(clock.now()));
    fail_connects("b");
    CHECK_TRUE(choose(none).unreachable);
    CHECK_TRUE(pool.has_lost_all(clock.now()));
}

TEST(UpstreamPool, SaysThatOthersMayReachTheOnlyEngineThatHoldsAnAdapter)
{
    announce("a");
    announce("b");
    set_held_version("a", 1);
    CHECK_FALSE(choose(wanted).unreachable);
    fail_connects("a");
    CHECK_TRUE(choose(wanted).unreachable);
    set_held_version("b", 1);
    CHECK_FALSE(choose(wanted).unreachable);
}

TEST(UpstreamPool, AwaitsAnotherCopyOnceAnotherGatewayDoesNotReachTheEngineEither)
{
    announce("a");
    announce("b");
    set_held_version("a", 1);
    fail_connects("a");
    static_cast<void>(choose(wanted)); // a request that tries it again
    const auto first = choose(wanted);
    CHECK_TRUE(first.unreachable);
    LONGS_EQUAL(1, first.unreached.size());
    pool.record_unreached_elsewhere(first.unreached.front(), clock.now());
    const auto second = choose(wanted);
    CHECK_FALSE(second.unreachable);
    CHECK_TRUE(pool_choice::kind::adapter_not_loaded == second.result);
    fail_connects("b"); // now this gateway may be the one that is cut off
    CHECK_TRUE(choose(wanted).unreachable);
}

TEST(UpstreamPool, SaysWhatARequestLacks)
{
    CHECK_TRUE(shortage::upstream == choose(wanted).lacks);
    announce("a");
    CHECK_TRUE(shortage::copy == choose(wanted).lacks);
    set_held_version("a", 1);
    CHECK_TRUE(shortage::none == choose(wanted).lacks);
    CHECK_TRUE(shortage::untried_copy == choose(wanted, {"a"}).lacks);
    pool.record_pause("a", clock.now() + core::milliseconds{2000}, clock.now());
    CHECK_TRUE(shortage::room == choose(wanted).lacks);
    clock.advance(core::milliseconds{2000});
    fail_connects("a");
    CHECK_TRUE(shortage::none == choose(wanted).lacks); // one request tries it again
    CHECK_TRUE(shortage::reachable_copy == choose(wanted).lacks);
}

TEST(UpstreamPool, IsNotMisledByConnectionsThatLiveOnWhileNewOnesFail)
{
    announce("a");
    const auto opened = clock.now();
    pool.record_sent("a", none, opened);
    clock.advance(core::milliseconds{10});
    fail_connects("a");
    pool.record_activity("a", clock.now(), opened);
    CHECK_TRUE(choose(none).unreachable);
    pool.record_probe("a", true, clock.now());
    CHECK_FALSE(choose(none).unreachable);
}

TEST(UpstreamPool, ProbesAllUpstreamsOnceSeveralAreSilent)
{
    announce("a");
    announce("b");
    announce("c");
    pool.record_sent("a", none, clock.now());
    pool.record_sent("b", none, clock.now());
    clock.advance(core::milliseconds{600});
    LONGS_EQUAL(0, static_cast<long>(pool.take_upstreams_to_probe(clock.now()).size()));
    clock.advance(core::milliseconds{1});
    LONGS_EQUAL(3, static_cast<long>(pool.take_upstreams_to_probe(clock.now()).size()));
    LONGS_EQUAL(0, static_cast<long>(pool.take_upstreams_to_probe(clock.now()).size()));
}

TEST(UpstreamPool, DoesNotSuspectThePathForOneSilentUpstream)
{
    announce("a");
    announce("b");
    pool.record_sent("a", none, clock.now());
    clock.advance(core::milliseconds{900});
    LONGS_EQUAL(0, static_cast<long>(pool.take_upstreams_to_probe(clock.now()).size()));
}

TEST(UpstreamPool, GivesRequestsUpOnlyAfterMoreThanASecondOfSilence)
{
    announce("a");
    pool.record_sent("a", none, clock.now());
    clock.advance(core::milliseconds{1500});
    fail_connects("a");
    CHECK_FALSE(pool.is_lost("a", clock.now()));
    clock.advance(core::milliseconds{501});
    CHECK_TRUE(pool.is_lost("a", clock.now()));
    pool.record_activity("a", clock.now());
    CHECK_FALSE(pool.is_lost("a", clock.now()));
}

TEST(UpstreamPool, SendsNothingToAnUpstreamForAsLongAsItWantsNothing)
{
    announce("a");
    announce("b");
    pool.record_pause("a", clock.now() + core::milliseconds{2000}, clock.now());
    for (int i = 0; i < 20; ++i) {
        pool.record_sent("b", none, clock.now());
        STRCMP_EQUAL("b", choose(none).upstream.c_str());
    }
    const auto tried = choose(none, {"b"});
    CHECK_TRUE(pool_choice::kind::limited == tried.result);
    LONGS_EQUAL(2000, core::to_ms(tried.retry_after));
    clock.advance(core::milliseconds{2000});
    STRCMP_EQUAL("a", choose(none).upstream.c_str());
}

TEST(UpstreamPool, AppliesDifferencesOfWhatAnEngineHolds)
{
    announce("a");
    set_held_version("a", 1);
    wire::engine_view_t change;
    change.upstream = "a";
    change.born_ms = 100;
    change.copies_included = true;
    change.delta = true;
    wire::adapter_copy_t copy;
    copy.model = wanted.first;
    copy.adapter = "other";
    copy.version = 3;
    wire::append(change.copies, copy);
    pool.update_engine(change);
    STRCMP_EQUAL("a", choose(wanted).upstream.c_str());
    LONGS_EQUAL(3, *choose({wanted.first, "other"}).adapter_version);
    copy.adapter = wanted.second;
    change.copies.clear();
    wire::append(change.removed, copy);
    pool.update_engine(change);
    CHECK_TRUE(pool_choice::kind::adapter_not_loaded == choose(wanted).result);
    STRCMP_EQUAL("a", choose({wanted.first, "other"}).upstream.c_str());
}

TEST(UpstreamPool, KeepsRequestsHereWhileTheOnlyEngineRejectsThem)
{
    announce("a");
    set_held_version("a", 1);
    for (int i = 0; i < 10; ++i) {
        pool.record_sent("a", wanted, clock.now());
    }
    pool.record_ended("a", wanted);
    pool.record_rejection("a", clock.now());
    const auto held = choose(wanted);
    CHECK_TRUE(pool_choice::kind::adapter_not_loaded == held.result);
    CHECK_TRUE(shortage::room == held.lacks);
    CHECK_TRUE(held.crowded);
    clock.advance(core::milliseconds{60});
    CHECK_TRUE(shortage::room == choose(wanted).lacks); // 9 of 6.3
    for (int i = 0; i < 4; ++i) {
        pool.record_ended("a", wanted);
    }
    for (int i = 0; i < 2; ++i) {
        STRCMP_EQUAL("a", choose(wanted).upstream.c_str());
        pool.record_sent("a", wanted, clock.now());
    }
    CHECK_TRUE(shortage::room == choose(wanted).lacks); // 7 of 6.3
    for (int i = 0; i < 7; ++i) {
        pool.record_admission("a");
    }
    STRCMP_EQUAL("a", choose(wanted).upstream.c_str());
    pool.record_sent("a", wanted, clock.now());
    clock.advance(core::milliseconds{2000});
    STRCMP_EQUAL("a", choose(wanted).upstream.c_str());
}

TEST(UpstreamPool, SendsElsewhereWhileAnEngineRejectsRequests)
{
    announce("a");
    announce("b");
    set_held_version("a", 1);
    set_held_version("b", 1);
    pool.record_rejection("a", clock.now());
    for (int i = 0; i < 10; ++i) {
        STRCMP_EQUAL("b", choose(wanted).upstream.c_str());
    }
}
