#include "siskindrift/adapters/placer.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace siskindrift;
using namespace siskindrift::adapters;

TEST_GROUP(Placer)
{
    core::manual_clock clock;
    placer adapter_placer;
    const std::string model = "base";

    void setup() override
    {
        gateway::deployment document;
        gateway::service engines;
        engines.name = "llm";
        engines.engine.emplace();
        engines.engine->slots = 96;
        engines.engine->adapter_slots = 2;
        engines.engine->loads_per_second = 2;
        engines.engine->models.push_back({model, 100, 3000, 1});
        document.services["llm"] = engines;
        adapter_placer.set_deployment(document);
        adapter_placer.begin_leadership(clock.now());
    }

    void announce(const std::string& id, std::uint64_t born = 100, bool usable = true,
                  const std::string& software = "")
    {
        wire::fleet_upstream_t announcement;
        announcement.id = id;
        announcement.service = "llm";
        announcement.address = id + ":1";
        announcement.born_ms = born;
        announcement.software_version = software;
        adapter_placer.on_announcement(announcement, usable);
    }

    void wish_at(const std::string& adapter, const std::string& software, std::uint32_t waiting = 1)
    {
        wire::gateway_report_t report;
        report.vm = "h-" + software;
        wire::adapter_wish_t item;
        item.model = model;
        item.adapter = adapter;
        item.waiting = waiting;
        item.left_ms = 3000;
        item.software_version = software;
        wire::append(report.wishes, item);
        adapter_placer.on_gateway_report(report, clock.now());
    }

    void report(const std::string& id, std::uint64_t accepted,
                const std::vector<std::string>& adapters, const std::string& loading = "",
                std::uint64_t version = 1)
    {
        engine_report status;
        status.orders_accepted = accepted;
        status.copies.push_back(copy("", 1));
        for (const auto& name : adapters) {
            status.copies.push_back(copy(name, version));
        }
        if (!loading.empty()) {
            status.loading.push_back(copy(loading, version));
        }
        clock.advance(core::milliseconds{1000});
        adapter_placer.on_report(id, status, clock.now());
    }

    wire::adapter_copy_t copy(const std::string& adapter, std::uint64_t version) const
    {
        wire::adapter_copy_t made;
        made.model = model;
        made.adapter = adapter;
        made.version = version;
        return made;
    }

    void engine(const std::string& id, const std::vector<std::string>& adapters = {})
    {
        announce(id);
        report(id, 0, adapters);
    }

    void wish(const std::string& adapter, bool crowded = false, const std::string& used_at = "",
              const std::string& used = "", std::uint64_t pending_at_a = 0,
              std::uint64_t prompt_tokens = 0)
    {
        wire::gateway_report_t report;
        report.vm = "g";
        wire::adapter_wish_t item;
        item.prompt_tokens = prompt_tokens;
        item.model = model;
        item.adapter = adapter;
        item.waiting = 1;
        item.left_ms = 3000;
        item.crowded = crowded;
        wire::append(report.wishes, item);
        if (!used.empty()) {
            wire::adapter_use_t use;
            use.upstream = used_at;
            use.model = model;
            use.adapter = used;
            use.running = 1;
            wire::append(report.uses, use);
        }
        if (pending_at_a > 0) {
            wire::engine_share_t share;
            share.upstream = "a";
            share.pending_tokens = pending_at_a;
            wire::append(report.shares, share);
        }
        adapter_placer.on_gateway_report(report, clock.now());
    }

    // Reports long prompts that are pending at each of these engines.
    void report_long_prompts(const std::vector<std::string>& ids)
    {
        wire::gateway_report_t report;
        report.vm = "crowd";
        for (const auto& id : ids) {
            wire::engine_share_t share;
            share.upstream = id;
            share.pending_tokens = 30'000;
            wire::append(report.shares, share);
        }
        adapter_placer.on_gateway_report(report, clock.now());
    }

    void cancel_wish(const std::string& adapter)
    {
        wire::gateway_report_t report;
        report.vm = "g";
        wire::adapter_wish_t item;
        item.model = model;
        item.adapter = adapter;
        wire::append(report.wishes, item);
        adapter_placer.on_gateway_report(report, clock.now());
    }

    std::vector<order> plan()
    {
        return adapter_placer.plan(clock.now());
    }

    void finish(const order& given, order_result result)
    {
        adapter_placer.on_order_result(given.id, result, clock.now());
    }
};

TEST(Placer, LoadsARequestedAdapterOnce)
{
    engine("a");
    wish("x");
    const auto orders = plan();
    LONGS_EQUAL(1, static_cast<long>(orders.size()));
    STRCMP_EQUAL("x", orders[0].adapter.c_str());
    CHECK_FALSE(orders[0].unload);
    finish(orders[0], order_result::accepted);
    LONGS_EQUAL(0, static_cast<long>(plan().size()));
}

TEST(Placer, ReportsACopyOnlyAfterTheEngineConfirmsIt)
{
    engine("a");
    wish("x");
    finish(plan()[0], order_result::accepted);
    LONGS_EQUAL(1, adapter_placer.take_changed_views().at(0).copies.size()); // the base model
    clock.advance(core::milliseconds{300});
    const auto poll = plan();
    LONGS_EQUAL(1, static_cast<long>(poll.size()));
    LONGS_EQUAL(1, static_cast<long>(poll[0].orders_accepted));
    finish(poll[0], order_result::holds);
    const auto views = adapter_placer.take_changed_views();
    LONGS_EQUAL(1, views.at(0).copies.size());
    STRCMP_EQUAL("x", views.at(0).copies.front()->adapter.c_str());
    LONGS_EQUAL(2, adapter_placer.all_views().at(0).copies.size());
}

TEST(Placer, CountsARepeatedLoadOnce)
{
    engine("a");
    wish("x");
    finish(plan()[0], order_result::accepted);
    for (const int after : {300, 40}) {
        clock.advance(core::milliseconds{after});
        const auto poll = plan();
        LONGS_EQUAL(1, static_cast<long>(poll.size()));
        LONGS_EQUAL(1, static_cast<long>(poll[0].orders_accepted));
        finish(poll[0], order_result::accepted); // still loading
    }
    clock.advance(core::milliseconds{70});
    LONGS_EQUAL(1, static_cast<long>(plan()[0].orders_accepted));
}

TEST(Placer, KeepsALoadAfterAConflict)
{
    engine("a");
    engine("b");
    wish("x");
    finish(plan()[0], order_result::accepted);
    clock.advance(core::milliseconds{300});
    finish(plan()[0], order_result::conflict);
    wish("x");
    LONGS_EQUAL(0, static_cast<long>(plan().size())); // nor on the other engine
}

TEST(Placer, AdaptsToTheTimeOfLoadsFromTheWeightStore)
{
    const core::milliseconds store{320};
    int polls = 0;
    for (int i = 0; i < 12; ++i) {
        const auto name = std::to_string(i);
        engine(name); // has a free slot for the adapter
        wish(name);
        finish(plan()[0], order_result::accepted);
        polls = i < 6 ? 0 : polls;
        for (core::milliseconds passed{1}; passed <= store * 2; ++passed) {
            clock.advance(core::milliseconds{1});
            for (const auto& given : plan()) {
                ++polls;
                finish(given, passed >= store ? order_result::holds : order_result::accepted);
            }
        }
        cancel_wish(name);
    }
    CHECK_TRUE_TEXT(polls <= 11, std::to_string(polls).c_str()); // in the last seven loads
}

TEST(Placer, GivesNoOrdersBeforeThePredecessorsLeaseExpires)
{
    adapter_placer.begin_leadership(clock.now() + core::milliseconds{5000});
    engine("a");
    wish("x");
    LONGS_EQUAL(0, static_cast<long>(plan().size()));
    clock.advance(core::milliseconds{5000});
    wish("x");
    LONGS_EQUAL(1, static_cast<long>(plan().size()));
}

TEST(Placer, GivesNoOrdersToAnEngineBeforeItsFirstReport)
{
    announce("a");
    wish("x");
    LONGS_EQUAL(0, static_cast<long>(plan().size()));
}

TEST(Placer, EvictsAnIdleAdapterOfAFullEngine)
{
    engine("a", {"p", "q"});
    wish("x", false, "a", "q");
    const auto orders = plan();
    LONGS_EQUAL(1, static_cast<long>(orders.size()));
    CHECK_TRUE(orders[0].unload);
    STRCMP_EQUAL("p", orders[0].adapter.c_str());
    finish(orders[0], order_result::holds);
    const auto load = plan();
    LONGS_EQUAL(1, static_cast<long>(load.size()));
    LONGS_EQUAL(1, static_cast<long>(load[0].orders_accepted));
}

TEST(Placer, NeverEvictsAnAdapterInUse)
{
    announce("a");
    report("a", 0, {"p"}, "q"); // q is being loaded
    wish("x", false, "a", "p");
    for (const auto& given : plan()) {
        CHECK_FALSE_TEXT(given.unload, given.adapter.c_str());
    }
}

TEST(Placer, EvictsLaterWhereManyGatewaysDelayUsageReports)
{
    for (int i = 0; i < 200; ++i) {
        wire::gateway_report_t report;
        report.vm = "g" + std::to_string(i);
        adapter_placer.on_gateway_report(report, clock.now());
    }
    engine("a", {"p", "q"});
    wish("w", false, "a", "p");
    wish("x", false, "a", "q"); // both have just been used
    clock.advance(core::milliseconds{900});
    wish("x");
    LONGS_EQUAL(0, static_cast<long>(plan().size()));
    clock.advance(core::milliseconds{1000});
    wish("x");
    LONGS_EQUAL(1, static_cast<long>(plan().size()));
}

TEST(Placer, CountsPromptsThatWaitForALoadAsWorkOfItsEngine)
{
    for (const std::string name : {"p", "q", "r", "s", "t", "u", "v", "w"}) {
        adapter_placer = placer{};
        setup();
        engine("a");
        engine("b");
        wish("x", false, "", "", 0, 10'000);
        const auto first = plan().at(0);
        finish(first, order_result::accepted);
        wish(name, false, "", "", 0, 10'000);
        CHECK_TRUE_TEXT(first.upstream != plan().at(0).upstream, name.c_str());
    }
}

TEST(Placer, StopsCountingPromptsOfALoadOnceGatewaysReportThem)
{
    engine("a");
    wish("x", false, "", "", 0, 10'000); // 263 ms of prefill
    finish(plan().at(0), order_result::accepted);
    clock.advance(core::milliseconds{260});
    finish(plan().at(0), order_result::holds);
    announce("b");
    engine_report half_full; // 200 ms of delay
    half_full.copies.push_back(copy("", 1));
    half_full.running = 48;
    clock.advance(core::milliseconds{1000});
    adapter_placer.on_report("b", half_full, clock.now());
    wish("y");
    STRCMP_EQUAL("a", plan().at(0).upstream.c_str());
}

TEST(Placer, ReservesASlotForALoadWithUnknownOutcome)
{
    engine("a", {"p"});
    wish("x");
    finish(plan()[0], order_result::unknown);
    report("a", 0, {"p"}); // not carried out yet
    wish("y");
    const auto orders = plan();
    CHECK_TRUE(!orders.empty());
    // p holds one slot and the other is reserved for x: y has no slot without an unload.
    CHECK_TRUE(orders[0].unload || orders[0].adapter == "x");
}

TEST(Placer, GivesNoOrdersAfterAConflictUntilANewReport)
{
    engine("a");
    wish("x");
    finish(plan()[0], order_result::conflict);
    wish("x");
    LONGS_EQUAL(0, static_cast<long>(plan().size()));
    report("a", 4, {});
    wish("x");
    const auto orders = plan();
    LONGS_EQUAL(1, static_cast<long>(orders.size()));
    LONGS_EQUAL(4, static_cast<long>(orders[0].orders_accepted));
}

TEST(Placer, GivesNoOrdersAfterALaterLeaderHasGivenOrders)
{
    engine("a");
    engine("b");
    wish("x");
    finish(plan()[0], order_result::fenced);
    wish("y");
    LONGS_EQUAL(0, static_cast<long>(plan().size()));
}

TEST(Placer, LoadsAnAdditionalCopyOfACrowdedAdapter)
{
    engine("a", {"x"});
    engine("b");
    wish("x");
    LONGS_EQUAL(0, static_cast<long>(plan().size()));
    wish("x", true, "", "", 30'000);
    const auto orders = plan();
    LONGS_EQUAL(1, static_cast<long>(orders.size()));
    STRCMP_EQUAL("b", orders[0].upstream.c_str());
}

TEST(Placer, LoadsNoAdditionalCopyWhileAnotherAdapterHasNone)
{
    engine("a", {"x", "y"});
    engine("b", {"p", "q"});
    wish("z");
    wire::gateway_report_t report;
    report.vm = "h";
    for (const auto& [at, name] : {std::pair{"a", "x"}, {"a", "y"}, {"b", "p"}, {"b", "q"}}) {
        wire::adapter_use_t use;
        use.upstream = at;
        use.model = model;
        use.adapter = name;
        use.running = 1;
        wire::append(report.uses, use);
    }
    adapter_placer.on_gateway_report(report, clock.now());
    LONGS_EQUAL(0, static_cast<long>(plan().size()));
    engine("c", {"u", "v"}); // two engines with idle slots
    engine("d", {"m", "n"});
    clock.advance(core::milliseconds{150});
    wish("x", true, "a", "x", 100'000);
    const auto orders = plan();
    LONGS_EQUAL(1, static_cast<long>(orders.size())); // makes room for z only, not for a copy of x
    CHECK_TRUE(orders[0].unload);
    finish(orders[0], order_result::holds);
    STRCMP_EQUAL("z", plan().at(0).adapter.c_str());
}

TEST(Placer, DoublesTheCopiesOfACrowdedAdapter)
{
    engine("a", {"x"});
    engine("b", {"x"});
    for (const std::string id : {"c", "d", "e", "f", "g"}) {
        engine(id);
    }
    int begun = 0;
    for (int i = 0; i < 4; ++i) {
        wish("x", true, "", "", 0);
        report_long_prompts({"a", "b"});
        for (const auto& given : plan()) {
            finish(given, order_result::accepted);
            ++begun;
        }
    }
    LONGS_EQUAL(2, begun);
}

TEST(Placer, WaitsForAnAdditionalCopyToSettleBeforeTheNext)
{
    engine("a", {"x"});
    engine("b");
    engine("c");
    wish("x", true, "", "", 30'000);
    auto orders = plan();
    LONGS_EQUAL(1, static_cast<long>(orders.size()));
    finish(orders[0], order_result::holds);
    wish("x", true, "", "", 30'000);
    LONGS_EQUAL(0, static_cast<long>(plan().size()));
}

TEST(Placer, PollsASlowLoadLessOften)
{
    engine("a");
    wish("x");
    finish(plan()[0], order_result::accepted);
    int polls = 0;
    for (int i = 0; i < 100; ++i) {
        clock.advance(core::milliseconds{20});
        wish("x");
        for (const auto& given : plan()) {
            finish(given, order_result::accepted);
            ++polls;
        }
    }
    CHECK_TRUE_TEXT(polls >= 3 && polls <= 8, std::to_string(polls).c_str());
}

TEST(Placer, PlacesAnAdapterOnAnEngineThatAnnouncedItBefore)
{
    adapter_placer.end_leadership();
    for (const auto* id : {"a", "b", "c"}) {
        announce(id);
    }
    wire::fleet_upstream_t announcement;
    announcement.id = "c";
    announcement.service = "llm";
    announcement.address = "c:1";
    announcement.born_ms = 100;
    wire::append(announcement.copies, copy("x", 1));
    adapter_placer.on_announcement(announcement, true);
    adapter_placer.begin_leadership(clock.now());
    for (const auto* id : {"a", "b", "c"}) {
        report(id, 0, {});
    }
    wish("x");
    STRCMP_EQUAL("c", plan().at(0).upstream.c_str());
}

TEST(Placer, LoadsNoAdditionalCopyThatTakesLongerThanTheWait)
{
    engine("a", {"x"});
    engine("b");
    wish("x", true, "", "", 2000); // prefill ends before a load would
    LONGS_EQUAL(0, static_cast<long>(plan().size()));
}

TEST(Placer, WaitsForAnEngineThatHeldTheAdapterRecently)
{
    engine("a");
    wish("x");
    finish(plan()[0], order_result::accepted);
    clock.advance(core::milliseconds{300});
    finish(plan()[0], order_result::holds);
    cancel_wish("x");
    report("a", 1, {"p", "q"}); // x has been evicted meanwhile
    engine("b");
    wish("x", false, "a", "p");
    wish("x", false, "a", "q");
    const auto orders = plan();
    CHECK_TRUE(orders.empty() || orders[0].upstream == "a");
}

TEST(Placer, ReplacesAnOlderVersion)
{
    engine("a", {"x"});
    adapter_placer.set_version({model, "x"}, 2);
    wish("x");
    const auto orders = plan();
    LONGS_EQUAL(1, static_cast<long>(orders.size()));
    LONGS_EQUAL(2, static_cast<long>(orders[0].version));
}

TEST(Placer, LoadsTheBaseModelAfterAnEngineRestart)
{
    announce("a", 200);
    engine_report empty;
    clock.advance(core::milliseconds{1000});
    adapter_placer.on_report("a", empty, clock.now());
    const auto orders = plan();
    LONGS_EQUAL(1, static_cast<long>(orders.size()));
    STRCMP_EQUAL("", orders[0].adapter.c_str());
    STRCMP_EQUAL("base", orders[0].model.c_str());
}

TEST(Placer, LimitsTheRateOfBaseModelLoads)
{
    for (const auto* id : {"a", "b", "c"}) {
        announce(id, 200);
        clock.advance(core::milliseconds{1000});
        adapter_placer.on_report(id, engine_report{}, clock.now());
    }
    LONGS_EQUAL(1, static_cast<long>(plan().size()));
    LONGS_EQUAL(0, static_cast<long>(plan().size()));
    clock.advance(core::milliseconds{500});
    LONGS_EQUAL(1, static_cast<long>(plan().size()));
}

TEST(Placer, LimitsConcurrentLoadsFromTheWeightStore)
{
    for (int i = 0; i < 12; ++i) {
        engine("e" + std::to_string(i));
    }
    std::size_t loads = 0;
    for (int i = 0; i < 12; ++i) {
        wish("x" + std::to_string(i));
        loads += plan().size();
    }
    LONGS_EQUAL(8, static_cast<long>(loads));
}

TEST(Placer, LoadsAgainElsewhereWhenGatewaysCannotReachTheOnlyCopy)
{
    engine("a", {"x"});
    engine("b");
    wire::gateway_report_t unreachable;
    unreachable.vm = "h";
    unreachable.unreachable.emplace_back("a");
    adapter_placer.on_gateway_report(unreachable, clock.now());
    wish("x");
    STRCMP_EQUAL("b", plan().at(0).upstream.c_str());
}

TEST(Placer, KeepsUsingAnEngineThatOnlyOneOfManyGatewaysCannotReach)
{
    engine("a", {"x"});
    engine("b");
    for (const auto* vm : {"i", "j", "k"}) {
        wire::gateway_report_t reachable;
        reachable.vm = vm;
        adapter_placer.on_gateway_report(reachable, clock.now());
    }
    wire::gateway_report_t unreachable;
    unreachable.vm = "h";
    unreachable.unreachable.emplace_back("a");
    adapter_placer.on_gateway_report(unreachable, clock.now());
    wish("x");
    LONGS_EQUAL(0, static_cast<long>(plan().size()));
}

TEST(Placer, DoesNotCountLoadsOfAnUnreachableEngine)
{
    engine("a");
    wish("x");
    finish(plan()[0], order_result::accepted);
    LONGS_EQUAL(1, static_cast<long>(adapter_placer.summary(clock.now()).store_loads));
    announce("a", 100, false);
    LONGS_EQUAL(0, static_cast<long>(adapter_placer.summary(clock.now()).store_loads));
}

TEST(Placer, IgnoresAReportFromBeforeTheLastOrder)
{
    engine("a");
    wish("x");
    const auto given = plan()[0];
    finish(given, order_result::accepted);
    engine_report old;
    old.copies.push_back(copy("", 1));
    adapter_placer.on_report("a", old, clock.now());
    LONGS_EQUAL(0, static_cast<long>(plan().size())); // x is still loading
}

TEST(Placer, LoadsAnAdapterElsewhereIfTheOnlyEngineThatHoldsItIsAtItsLimit)
{
    engine("a", {"x"});
    engine("b");
    wish("x");
    LONGS_EQUAL(0, plan().size());
    adapter_placer.set_limited({"a"});
    wish("x");
    const auto orders = plan();
    LONGS_EQUAL(1, orders.size());
    STRCMP_EQUAL("b", orders.front().upstream.c_str());
}

TEST(Placer, LoadsAnAdapterAtTheSoftwareVersionThatABegunStreamNeeds)
{
    announce("a", 100, true, "v1");
    announce("b", 100, true, "v2");
    report("a", 0, {"x"});
    report("b", 0, {});
    wish_at("x", "");
    LONGS_EQUAL(0, static_cast<long>(plan().size()));
    wish_at("x", "v2");
    const auto orders = plan();
    LONGS_EQUAL(1, static_cast<long>(orders.size()));
    STRCMP_EQUAL("b", orders[0].upstream.c_str());
}

TEST(Placer, ServesBegunStreamsBeforeNewOnes)
{
    announce("a", 100, true, "v1");
    report("a", 0, {});
    wish_at("x", "", 5);
    wish_at("y", "v1", 1);
    STRCMP_EQUAL("y", plan().at(0).adapter.c_str());
}

TEST(Placer, GoesOnUsingAnEngineThatAnswersThoughSomeGatewaysCannotReachIt)
{
    engine("a", {"x"});
    engine("b");
    wire::gateway_report_t unreachable;
    unreachable.vm = "h";
    unreachable.unreachable.emplace_back("a");
    adapter_placer.on_gateway_report(unreachable, clock.now());
    CHECK_TRUE(adapter_placer.next_due() <= clock.now());
    report("a", 0, {"x"});
    wish("x");
    LONGS_EQUAL(0, static_cast<long>(plan().size()));
    adapter_placer.on_gateway_report(unreachable, clock.now()); // says so still
    LONGS_EQUAL(0, static_cast<long>(plan().size()));
    adapter_placer.on_report("a", std::nullopt, clock.now()); // answers no more
    STRCMP_EQUAL("b", plan().at(0).upstream.c_str());
}

TEST(Placer, PublishesOnlyWhatHasChangedAtAnEngine)
{
    engine("a", {"x"});
    const auto first = adapter_placer.take_changed_views();
    LONGS_EQUAL(1, first.size());
    CHECK_FALSE(first.front().delta);
    LONGS_EQUAL(2, first.front().copies.size()); // with the base model
    report("a", 0, {"y"});
    const auto next = adapter_placer.take_changed_views();
    LONGS_EQUAL(1, next.size());
    CHECK_TRUE(next.front().delta);
    LONGS_EQUAL(1, next.front().copies.size());
    STRCMP_EQUAL("y", next.front().copies.front()->adapter.c_str());
    LONGS_EQUAL(1, next.front().removed.size());
    STRCMP_EQUAL("x", next.front().removed.front()->adapter.c_str());
    wire::engine_update_t update;
    wire::append(update.engines, next.front());
    const auto whole = adapter_placer.whole_views(update);
    CHECK_FALSE(whole.front().delta);
    LONGS_EQUAL(2, whole.front().copies.size());
    adapter_placer.begin_leadership(clock.now());
    report("a", 0, {"y"});
    CHECK_FALSE(adapter_placer.take_changed_views().front().delta);
}

TEST(Placer, LoadsElsewhereOnceTheEngineThatHoldsTheOnlyCopyHasEnded)
{
    engine("a", {"x"});
    engine("b");
    for (int i = 0; i < 90; ++i) {
        wire::gateway_report_t reachable;
        reachable.vm = "g" + std::to_string(i);
        adapter_placer.on_gateway_report(reachable, clock.now());
    }
    static_cast<void>(adapter_placer.take_engines_to_poll(clock.now()));
    adapter_placer.on_report("a", std::nullopt, clock.now()); // one that was lost
    wish("x");
    LONGS_EQUAL(0, plan().size());
    wire::gateway_report_t unreachable;
    unreachable.vm = "g0";
    unreachable.unreachable.emplace_back("a");
    report("a", 0, {"x"});
    adapter_placer.on_gateway_report(unreachable, clock.now());
    LONGS_EQUAL(0, plan().size());
    const auto polled = adapter_placer.take_engines_to_poll(clock.now());
    CHECK_TRUE(std::find(polled.begin(), polled.end(), "a") != polled.end());
    adapter_placer.on_report("a", std::nullopt, clock.now());
    STRCMP_EQUAL("b", plan().at(0).upstream.c_str());
}

TEST(Placer, AddsACopyOfAnAdapterWhoseHolderRejectsRequestsAlthoughOthersHaveNone)
{
    engine("a", {"hot"});
    engine("b");
    wish("rare");
    clock.advance(core::milliseconds{200}); // places are scarce
    wire::gateway_report_t report;
    report.vm = "h";
    for (const auto& [name, rejected] : {std::pair{"hot", 20U}, std::pair{"rare", 0U}}) {
        wire::adapter_wish_t item;
        item.model = model;
        item.adapter = name;
        item.waiting = 1;
        item.left_ms = 3000;
        item.crowded = rejected > 0;
        item.rejected = rejected;
        wire::append(report.wishes, item);
    }
    adapter_placer.on_gateway_report(report, clock.now());
    const auto orders = plan();
    CHECK_TRUE(std::any_of(orders.begin(), orders.end(), [](const order& one) {
        return one.adapter == "hot" && one.upstream == "b";
    }));
}

TEST(Placer, EvictsAnotherAdapterAfterAnEngineRefusedToUnloadOne)
{
    engine("a", {"x", "y"});
    clock.advance(core::milliseconds{1000});
    wish("z");
    const auto first = plan().at(0);
    CHECK_TRUE(first.unload);
    finish(first, order_result::conflict);
    report("a", 0, {"x", "y"});
    wish("z");
    const auto second = plan().at(0);
    CHECK_TRUE(second.unload);
    CHECK_TRUE(second.adapter != first.adapter);
}

TEST(Placer, GivesNoOrdersToAnEngineThatWaitsToUnloadAnAdapter)
{
    engine("a", {"x", "y"});
    clock.advance(core::milliseconds{1000});
    wish("z");
    const auto unload = plan().at(0);
    finish(unload, order_result::accepted);
    wish("z");
    LONGS_EQUAL(0, plan().size());
    report("a", 1, {"x", "y"}); // still there
    wish("z");
    LONGS_EQUAL(0, plan().size());
    const std::string left = unload.adapter == "x" ? "y" : "x";
    report("a", 1, {left});
    wish("z");
    STRCMP_EQUAL("z", plan().at(0).adapter.c_str());
}

TEST(Placer, LooksAtLoadsInTimeAfterOneThatTookLong)
{
    engine("a");
    // Returns how long a load that takes @p load_time seems to take.
    const auto load = [&](const std::string& name, core::duration load_time) {
        wish(name);
        finish(plan().at(0), order_result::accepted);
        const auto accepted_at = clock.now();
        for (;;) {
            clock.advance(core::milliseconds{10});
            for (const auto& poll : plan()) {
                const auto elapsed = clock.now() - accepted_at;
                finish(poll, elapsed >= load_time ? order_result::holds : order_result::accepted);
                if (elapsed >= load_time) {
                    return elapsed;
                }
            }
        }
    };
    CHECK_TRUE(load("x", core::milliseconds{3000}) >= core::milliseconds{3000});
    const auto next = load("y", core::milliseconds{300});
    CHECK_TRUE_TEXT(next <= core::milliseconds{400}, std::to_string(core::to_ms(next)).c_str());
}

TEST(Placer, GivesAnEngineOtherOrdersWhileOneIsNotAnswered)
{
    engine("a", {"p"});
    wish("x");
    const auto unanswered = plan().at(0);
    clock.advance(core::milliseconds{300});
    wish("x");
    const auto again = plan();
    LONGS_EQUAL(1, static_cast<long>(again.size()));
    LONGS_EQUAL(static_cast<long>(unanswered.orders_accepted),
                static_cast<long>(again.at(0).orders_accepted));
}

TEST(Placer, TakesALateAnswerOfAnOrderThatNoLaterOneExcludes)
{
    engine("a", {"p"});
    wish("x");
    const auto late = plan().at(0);
    cancel_wish("x");
    clock.advance(core::milliseconds{300});
    plan();
    finish(late, order_result::accepted);
    wish("x");
    clock.advance(core::milliseconds{300});
    const auto poll = plan();
    LONGS_EQUAL(1, static_cast<long>(poll.size()));
    CHECK_TRUE(poll.at(0).repeated);
    LONGS_EQUAL(1, static_cast<long>(poll.at(0).orders_accepted));
}

TEST(Placer, IgnoresALateAnswerOfAnOrderThatALaterOneExcluded)
{
    engine("a", {"p"});
    wish("x");
    const auto late = plan().at(0);
    cancel_wish("x");
    clock.advance(core::milliseconds{300});
    wish("y");
    finish(plan().at(0), order_result::accepted);
    finish(late, order_result::conflict);
    clock.advance(core::milliseconds{300});
    const auto poll = plan();
    LONGS_EQUAL(1, static_cast<long>(poll.size()));
    STRCMP_EQUAL("y", poll.at(0).adapter.c_str());
    LONGS_EQUAL(1, static_cast<long>(poll.at(0).orders_accepted));
}

TEST(Placer, PausesBetweenOrdersToAnEngineThatAnswersNone)
{
    engine("a", {"p"});
    std::size_t orders = 0;
    for (int elapsed_ms = 0; elapsed_ms < 10'000; elapsed_ms += 50) {
        wish("x");
        orders += plan().size();
        clock.advance(core::milliseconds{50});
    }
    CHECK_TRUE_TEXT(orders >= 8 && orders <= 14, std::to_string(orders).c_str());
}

TEST(Placer, LoadsFirstWhatANewLeaderIsToldToBeRequestedInVainForLong)
{
    engine("a", {"p"}); // one free slot
    wire::gateway_report_t told;
    told.vm = "told";
    wire::unserved_adapter_t unserved;
    unserved.model = model;
    unserved.adapter = "rare";
    unserved.age_ms = 20'000;
    unserved.requests = 3;
    wire::append(told.unserved, unserved);
    adapter_placer.on_gateway_report(told, clock.now());
    wish_at("popular", "", 5);
    wish("rare");
    const auto orders = plan();
    LONGS_EQUAL(1, static_cast<long>(orders.size()));
    STRCMP_EQUAL("rare", orders.at(0).adapter.c_str());
}

TEST(Placer, KeepsACopyThatCameTooLateForItsRequests)
{
    engine("a", {"p"});
    wish("x");
    finish(plan().at(0), order_result::accepted);
    cancel_wish("x");
    clock.advance(core::milliseconds{300});
    finish(plan().at(0), order_result::holds);
    clock.advance(core::milliseconds{2000});
    wish("q", false, "a", "p"); // p is used later than x
    clock.advance(core::milliseconds{10});
    wish("q");
    clock.advance(core::milliseconds{2000});
    wish("q");
    const auto orders = plan();
    CHECK_TRUE(orders.at(0).unload);
    STRCMP_EQUAL("p", orders.at(0).adapter.c_str());
}

TEST(Placer, CountsTheFormerVersionWhileItsReplacementIsNotAnswered)
{
    adapter_placer.set_version({model, "x"}, 1);
    engine("a", {"p", "x"}); // full
    adapter_placer.set_version({model, "x"}, 2);
    wish("x");
    const auto replacement = plan().at(0);
    STRCMP_EQUAL("x", replacement.adapter.c_str());
    CHECK_FALSE(replacement.unload);
    clock.advance(core::milliseconds{300});
    cancel_wish("x");
    wish("y");
    const auto orders = plan();
    LONGS_EQUAL(1, static_cast<long>(orders.size()));
    CHECK_TRUE(orders.at(0).unload);
}

TEST(Placer, CountsALoadThatAnEarlierOrderBeganWhileALaterOneIsNotAnswered)
{
    engine("a", {"p"}); // one free slot
    wish("x");
    const auto first = plan().at(0);
    clock.advance(core::milliseconds{300});
    wish("x");
    plan();
    finish(first, order_result::accepted);
    cancel_wish("x");
    clock.advance(core::milliseconds{300});
    plan(); // the second order is overdue
    clock.advance(core::milliseconds{300});
    wish("y");
    for (const auto& given : plan()) {
        CHECK_FALSE(given.adapter == "y");
    }
}

TEST(Placer, CountsALoadOnceThatWasOrderedTwiceAndAnsweredLate)
{
    engine("a");
    wish("x");
    const auto first = plan().at(0);
    clock.advance(core::milliseconds{300});
    wish("x");
    const auto second = plan().at(0);
    finish(first, order_result::accepted);
    finish(second, order_result::accepted); // the engine is loading it already
    wish("y");
    LONGS_EQUAL(0, static_cast<long>(plan().size())); // not before a report
    report("a", 1, {"x"});
    wish("y");
    LONGS_EQUAL(1, static_cast<long>(plan().at(0).orders_accepted));
}

TEST(Placer, LoadsElsewhereWhenTheEngineOfALoadDoesNotAnswerAnyMore)
{
    engine("a");
    engine("b");
    wish("x");
    const auto first = plan()[0];
    finish(first, order_result::accepted);
    for (int i = 0; i < 4; ++i) {
        clock.advance(core::milliseconds{300});
        wish("x");
        for (const auto& given : plan()) {
            if (given.upstream != first.upstream) {
                STRCMP_EQUAL("x", given.adapter.c_str());
                return;
            }
            finish(given, order_result::unknown);
        }
    }
    FAIL("the adapter is loaded on no other engine within 1.2 s");
}

TEST(Placer, CountsNoLoadAgainstTheStoreThatItsEngineDoesNotConfirmAnyMore)
{
    engine("a");
    engine("b");
    for (const std::string name : {"x", "y"}) {
        wish(name);
        for (const auto& given : plan()) {
            finish(given, order_result::accepted);
        }
    }
    LONGS_EQUAL(2, static_cast<long>(adapter_placer.summary(clock.now()).store_loads));
    clock.advance(core::milliseconds{300});
    for (const auto& given : plan()) {
        finish(given, order_result::unknown);
    }
    clock.advance(core::milliseconds{900});
    const auto summary = adapter_placer.summary(clock.now());
    LONGS_EQUAL(0, static_cast<long>(summary.store_loads));
    LONGS_EQUAL(0, static_cast<long>(summary.loading));
    LONGS_EQUAL(2, static_cast<long>(summary.stalled));
}

TEST(Placer, CountsALoadAsLongAsItsEngineConfirmsIt)
{
    engine("a");
    wish("x");
    finish(plan()[0], order_result::accepted);
    for (int i = 0; i < 40; ++i) {
        clock.advance(core::milliseconds{100});
        for (const auto& given : plan()) {
            CHECK_TRUE(given.repeated);
            finish(given, order_result::accepted);
        }
        LONGS_EQUAL(1, static_cast<long>(adapter_placer.summary(clock.now()).store_loads));
    }
}

TEST(Placer, UsesACopyAgainWhoseUnloadWasOnItsWayWhenTheLeadershipEnded)
{
    engine("a", {"x", "y"});
    clock.advance(core::milliseconds{1000});
    wish("z");
    const auto orders = plan();
    LONGS_EQUAL(1, static_cast<long>(orders.size()));
    CHECK_TRUE(orders[0].unload);
    adapter_placer.end_leadership();
    adapter_placer.begin_leadership(clock.now());
    report("a", 0, {"x", "y"});
    LONGS_EQUAL(3, adapter_placer.all_views().at(0).copies.size()); // with the base model
}
