#include "siskindrift/adapters/placer.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::adapters;

TEST_GROUP(Placer)
{
    core::manual_clock clock;
    placer places;
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
        places.set_deployment(document);
        places.begin_leadership(clock.now());
    }

    void announce(const std::string& id, std::uint64_t born = 100, bool usable = true)
    {
        wire::fleet_upstream_t word;
        word.id = id;
        word.service = "llm";
        word.address = id + ":1";
        word.born_ms = born;
        places.on_announcement(word, usable);
    }

    void report(const std::string& id, std::uint64_t accepted,
                const std::vector<std::string>& adapters, const std::string& loading = "",
                std::uint64_t version = 1)
    {
        engine_report word;
        word.orders_accepted = accepted;
        word.copies.push_back(copy("", 1));
        for (const auto& name : adapters) {
            word.copies.push_back(copy(name, version));
        }
        if (!loading.empty()) {
            word.loading.push_back(copy(loading, version));
        }
        clock.advance(core::milliseconds{1000});
        places.on_report(id, word, clock.now());
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
        wire::gateway_report_t word;
        word.vm = "g";
        wire::adapter_wish_t item;
        item.prompt_tokens = prompt_tokens;
        item.model = model;
        item.adapter = adapter;
        item.waiting = 1;
        item.left_ms = 3000;
        item.crowded = crowded;
        wire::append(word.wishes, item);
        if (!used.empty()) {
            wire::adapter_use_t use;
            use.upstream = used_at;
            use.model = model;
            use.adapter = used;
            use.running = 1;
            wire::append(word.uses, use);
        }
        if (pending_at_a > 0) {
            wire::engine_share_t share;
            share.upstream = "a";
            share.pending_tokens = pending_at_a;
            wire::append(word.shares, share);
        }
        places.on_gateway_report(word, clock.now());
    }

    // Tells of long prompts at each of some engines.
    void crowd(const std::vector<std::string>& ids)
    {
        wire::gateway_report_t word;
        word.vm = "crowd";
        for (const auto& id : ids) {
            wire::engine_share_t share;
            share.upstream = id;
            share.pending_tokens = 30'000;
            wire::append(word.shares, share);
        }
        places.on_gateway_report(word, clock.now());
    }

    void unwish(const std::string& adapter)
    {
        wire::gateway_report_t word;
        word.vm = "g";
        wire::adapter_wish_t item;
        item.model = model;
        item.adapter = adapter;
        wire::append(word.wishes, item);
        places.on_gateway_report(word, clock.now());
    }

    std::vector<order> plan()
    {
        return places.plan(clock.now());
    }

    void finish(const order& given, order_result result)
    {
        places.on_order_result(given.id, result, clock.now());
    }
};

TEST(Placer, LoadsAWishedAdapterOnce)
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

TEST(Placer, TellsOfACopyOnlyOnceTheEngineSaysThatItHolds)
{
    engine("a");
    wish("x");
    finish(plan()[0], order_result::accepted);
    places.take_changed_views();
    clock.advance(core::milliseconds{300});
    const auto look = plan();
    LONGS_EQUAL(1, static_cast<long>(look.size()));
    LONGS_EQUAL(1, static_cast<long>(look[0].orders_accepted));
    finish(look[0], order_result::holds);
    const auto views = places.take_changed_views();
    LONGS_EQUAL(2, static_cast<long>(views.at(0).copies.size()));
}

TEST(Placer, CountsALoadOnceThoughItIsAskedForAgain)
{
    engine("a");
    wish("x");
    finish(plan()[0], order_result::accepted);
    for (const int after : {300, 40}) {
        clock.advance(core::milliseconds{after});
        const auto look = plan();
        LONGS_EQUAL(1, static_cast<long>(look.size()));
        LONGS_EQUAL(1, static_cast<long>(look[0].orders_accepted));
        finish(look[0], order_result::accepted); // still on its way
    }
    clock.advance(core::milliseconds{70});
    LONGS_EQUAL(1, static_cast<long>(plan()[0].orders_accepted));
}

TEST(Placer, KeepsALoadThatAConflictLeavesUncertain)
{
    engine("a");
    engine("b");
    wish("x");
    finish(plan()[0], order_result::accepted);
    clock.advance(core::milliseconds{300});
    finish(plan()[0], order_result::conflict);
    wish("x");
    LONGS_EQUAL(0, static_cast<long>(plan().size())); // and none at the other engine
}

TEST(Placer, LearnsHowLongALoadFromTheStoreTakes)
{
    const core::milliseconds store{320};
    int looks = 0;
    for (int i = 0; i < 12; ++i) {
        const auto name = std::to_string(i);
        engine(name); // each has room for the adapter
        wish(name);
        finish(plan()[0], order_result::accepted);
        looks = i < 6 ? 0 : looks;
        for (core::milliseconds passed{1}; passed <= store * 2; ++passed) {
            clock.advance(core::milliseconds{1});
            for (const auto& given : plan()) {
                ++looks;
                finish(given, passed >= store ? order_result::holds : order_result::accepted);
            }
        }
        unwish(name);
    }
    CHECK_TRUE_TEXT(looks <= 11, std::to_string(looks).c_str()); // of the last seven loads
}

TEST(Placer, OrdersNothingBeforeThePredecessorsLeaseHasRunOut)
{
    places.begin_leadership(clock.now() + core::milliseconds{5000});
    engine("a");
    wish("x");
    LONGS_EQUAL(0, static_cast<long>(plan().size()));
    clock.advance(core::milliseconds{5000});
    wish("x");
    LONGS_EQUAL(1, static_cast<long>(plan().size()));
}

TEST(Placer, OrdersNothingOfAnEngineBeforeItsReport)
{
    announce("a");
    wish("x");
    LONGS_EQUAL(0, static_cast<long>(plan().size()));
}

TEST(Placer, MakesRoomAtAFullEngineByItsIdlestAdapter)
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

TEST(Placer, NeverPushesOutAnAdapterInUse)
{
    announce("a");
    report("a", 0, {"p"}, "q"); // the other place is on its way
    wish("x", false, "a", "p");
    for (const auto& given : plan()) {
        CHECK_FALSE_TEXT(given.unload, given.adapter.c_str());
    }
}

TEST(Placer, LeavesACopyAloneThatMayBeInUseUntoldWhereGatewaysAreMany)
{
    for (int i = 0; i < 200; ++i) {
        wire::gateway_report_t word;
        word.vm = "g" + std::to_string(i);
        places.on_gateway_report(word, clock.now());
    }
    engine("a", {"p", "q"});
    wish("w", false, "a", "p");
    wish("x", false, "a", "q"); // both were used a moment ago
    clock.advance(core::milliseconds{900});
    wish("x");
    LONGS_EQUAL(0, static_cast<long>(plan().size()));
    clock.advance(core::milliseconds{1000});
    wish("x");
    LONGS_EQUAL(1, static_cast<long>(plan().size()));
}

TEST(Placer, CountsThePromptsThatWaitForALoadAsWorkOfItsEngine)
{
    for (const std::string name : {"p", "q", "r", "s", "t", "u", "v", "w"}) {
        places = placer{};
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

TEST(Placer, ForgetsThePromptsOfALoadOnceGatewaysTellOfThem)
{
    engine("a");
    wish("x", false, "", "", 0, 10'000); // 263 ms
    finish(plan().at(0), order_result::accepted);
    clock.advance(core::milliseconds{260});
    finish(plan().at(0), order_result::holds);
    announce("b");
    engine_report half_full; // 200 ms
    half_full.copies.push_back(copy("", 1));
    half_full.running = 48;
    clock.advance(core::milliseconds{1000});
    places.on_report("b", half_full, clock.now());
    wish("y");
    STRCMP_EQUAL("a", plan().at(0).upstream.c_str());
}

TEST(Placer, KeepsAPlaceForALoadThatMayBeCarriedOutLater)
{
    engine("a", {"p"});
    wish("x");
    finish(plan()[0], order_result::unknown);
    report("a", 0, {"p"}); // not carried out so far
    wish("y");
    const auto orders = plan();
    CHECK_TRUE(!orders.empty());
    // One place is held by p, one is kept for x: there is no room for y without an unload.
    CHECK_TRUE(orders[0].unload || orders[0].adapter == "x");
}

TEST(Placer, TrustsAnEngineAgainAfterAConflictOnlyWithANewReport)
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

TEST(Placer, StopsOnceALaterHolderGaveOrders)
{
    engine("a");
    engine("b");
    wish("x");
    finish(plan()[0], order_result::fenced);
    wish("y");
    LONGS_EQUAL(0, static_cast<long>(plan().size()));
}

TEST(Placer, LoadsAFurtherCopyOfACrowdedAdapter)
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

TEST(Placer, LoadsNoFurtherCopyWhileAnAdapterWithoutOneFindsNoPlace)
{
    engine("a", {"x", "y"});
    engine("b", {"p", "q"});
    wish("z");
    wire::gateway_report_t word;
    word.vm = "h";
    for (const auto& [at, name] : {std::pair{"a", "x"}, {"a", "y"}, {"b", "p"}, {"b", "q"}}) {
        wire::adapter_use_t use;
        use.upstream = at;
        use.model = model;
        use.adapter = name;
        use.running = 1;
        wire::append(word.uses, use);
    }
    places.on_gateway_report(word, clock.now());
    LONGS_EQUAL(0, static_cast<long>(plan().size()));
    engine("c", {"u", "v"}); // two engines with idle places
    engine("d", {"m", "n"});
    clock.advance(core::milliseconds{150});
    wish("x", true, "a", "x", 100'000);
    const auto orders = plan();
    LONGS_EQUAL(1, static_cast<long>(orders.size())); // makes room for z, not for x as well
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
        crowd({"a", "b"});
        for (const auto& given : plan()) {
            finish(given, order_result::accepted);
            ++begun;
        }
    }
    LONGS_EQUAL(2, begun);
}

TEST(Placer, LetsAFurtherCopyDrawItsShareBeforeTheNext)
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

TEST(Placer, AsksLessOftenForALoadThatIsNotDone)
{
    engine("a");
    wish("x");
    finish(plan()[0], order_result::accepted);
    int looks = 0;
    for (int i = 0; i < 100; ++i) {
        clock.advance(core::milliseconds{20});
        wish("x");
        for (const auto& given : plan()) {
            finish(given, order_result::accepted);
            ++looks;
        }
    }
    CHECK_TRUE_TEXT(looks >= 3 && looks <= 8, std::to_string(looks).c_str());
}

TEST(Placer, PlacesAnAdapterWhereAnAnnouncementShowedItBefore)
{
    places.end_leadership();
    for (const auto* id : {"a", "b", "c"}) {
        announce(id);
    }
    wire::fleet_upstream_t word;
    word.id = "c";
    word.service = "llm";
    word.address = "c:1";
    word.born_ms = 100;
    wire::append(word.copies, copy("x", 1));
    places.on_announcement(word, true);
    places.begin_leadership(clock.now());
    for (const auto* id : {"a", "b", "c"}) {
        report(id, 0, {});
    }
    wish("x");
    STRCMP_EQUAL("c", plan().at(0).upstream.c_str());
}

TEST(Placer, LoadsNoFurtherCopyThatWouldComeTooLate)
{
    engine("a", {"x"});
    engine("b");
    wish("x", true, "", "", 2000); // its reading ends before any load
    LONGS_EQUAL(0, static_cast<long>(plan().size()));
}

TEST(Placer, WaitsAMomentForTheEngineThatHeldTheAdapterLately)
{
    engine("a");
    wish("x");
    finish(plan()[0], order_result::accepted);
    clock.advance(core::milliseconds{300});
    finish(plan()[0], order_result::holds);
    unwish("x");
    report("a", 1, {"p", "q"}); // x made room meanwhile
    engine("b");
    wish("x", false, "a", "p");
    wish("x", false, "a", "q");
    const auto now = plan();
    CHECK_TRUE(now.empty() || now[0].upstream == "a");
}

TEST(Placer, ReplacesAnOlderVersion)
{
    engine("a", {"x"});
    places.set_version({model, "x"}, 2);
    wish("x");
    const auto orders = plan();
    LONGS_EQUAL(1, static_cast<long>(orders.size()));
    LONGS_EQUAL(2, static_cast<long>(orders[0].version));
}

TEST(Placer, LoadsTheModelOfAnEngineThatRestartedEmpty)
{
    announce("a", 200);
    engine_report empty;
    clock.advance(core::milliseconds{1000});
    places.on_report("a", empty, clock.now());
    const auto orders = plan();
    LONGS_EQUAL(1, static_cast<long>(orders.size()));
    STRCMP_EQUAL("", orders[0].adapter.c_str());
    STRCMP_EQUAL("base", orders[0].model.c_str());
}

TEST(Placer, SpacesLoadsOfWholeModelsByTheStoresRate)
{
    for (const auto* id : {"a", "b", "c"}) {
        announce(id, 200);
        clock.advance(core::milliseconds{1000});
        places.on_report(id, engine_report{}, clock.now());
    }
    LONGS_EQUAL(1, static_cast<long>(plan().size()));
    LONGS_EQUAL(0, static_cast<long>(plan().size()));
    clock.advance(core::milliseconds{500});
    LONGS_EQUAL(1, static_cast<long>(plan().size()));
}

TEST(Placer, BoundsTheLoadsFromTheStore)
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

TEST(Placer, IgnoresAReportFromBeforeTheLastOrder)
{
    engine("a");
    wish("x");
    const auto given = plan()[0];
    finish(given, order_result::accepted);
    engine_report old;
    old.copies.push_back(copy("", 1));
    places.on_report("a", old, clock.now());
    LONGS_EQUAL(0, static_cast<long>(plan().size())); // x is still on its way
}
