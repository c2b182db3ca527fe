#include "siskindrift/gateway/upstream_pool.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::gateway;

TEST_GROUP(UpstreamPool)
{
    core::manual_clock clock;
    fleet::roster roster;
    upstream_pool pool{roster, 1};
    const adapter_name wanted{"base", "a1"};
    const adapter_name none{};

    void announce(const std::string& id, const std::string& service = "llm")
    {
        wire::fleet_upstream_t word;
        word.id = id;
        word.service = service;
        word.address = id + ":1";
        word.born_ms = 100;
        word.sequence = 1;
        word.slots = 10;
        roster.update(std::move(word), clock.now());
    }

    void holds(const std::string& id, std::uint64_t version, std::uint64_t pending = 0)
    {
        wire::engine_view_t view;
        view.copies_included = true;
        view.pending_tokens = pending;
        view.upstream = id;
        view.born_ms = 100;
        wire::adapter_copy_t copy;
        copy.model = wanted.first;
        copy.adapter = wanted.second;
        copy.version = version;
        wire::append(view.copies, std::move(copy));
        pool.update_engine(view);
    }

    pool_choice choose(const adapter_name& name, const std::set<std::string>& tried = {})
    {
        return pool.choose("llm", name, tried, clock.now());
    }
};

TEST(UpstreamPool, ChoosesTheLeastLoaded)
{
    announce("a");
    announce("b");
    for (int i = 0; i < 3; ++i) {
        pool.record_sent("a", none);
    }
    STRCMP_EQUAL("b", choose(none).upstream.c_str());
}

TEST(UpstreamPool, SpreadsItsChoiceWhereManyGatewaysChooseByTheSameView)
{
    for (const std::string id : {"a", "b", "c", "d"}) {
        announce(id);
        holds(id, 1, id == "a" ? 0 : 10'000);
    }
    const auto share_of_a = [&] {
        int chosen = 0;
        for (int i = 0; i < 400; ++i) {
            chosen += choose(wanted).upstream == "a" ? 1 : 0;
        }
        return chosen;
    };
    pool.set_gateway_count(7);
    LONGS_EQUAL(400, share_of_a());
    pool.set_gateway_count(70);
    const int spread = share_of_a();
    CHECK_TRUE_TEXT(spread > 150 && spread < 250, std::to_string(spread).c_str());
}

TEST(UpstreamPool, CountsWhatOthersSent)
{
    announce("a");
    announce("b");
    pool.record_load("a", {8, 4, 10});
    STRCMP_EQUAL("b", choose(none).upstream.c_str());
}

TEST(UpstreamPool, ChoosesOnlyHoldersOfTheAdapter)
{
    announce("a");
    announce("b");
    holds("b", 1);
    const auto choice = choose(wanted);
    STRCMP_EQUAL("b", choice.upstream.c_str());
    LONGS_EQUAL(1, static_cast<long>(*choice.adapter_version));
}

TEST(UpstreamPool, ExpectsNoVersionOfACopyWhoseVersionIsUnknown)
{
    announce("a");
    holds("a", 0);
    CHECK_FALSE(choose(wanted).adapter_version.has_value());
}

TEST(UpstreamPool, AsksForALoadWhenNobodyHoldsTheAdapter)
{
    announce("a");
    CHECK_TRUE(choose(wanted).result == pool_choice::kind::adapter_not_loaded);
    pool.record_missing_adapter("a", wanted);
    CHECK_TRUE(choose(wanted).result == pool_choice::kind::adapter_not_loaded);
}

TEST(UpstreamPool, HasNoChoiceWithoutUpstreams)
{
    CHECK_TRUE(choose(wanted).result == pool_choice::kind::none);
}

TEST(UpstreamPool, PrefersTheNewestVersionAndSoonAcceptsNoOther)
{
    announce("a");
    holds("a", 1);
    pool.set_current_version(wanted, 2, clock.now());
    STRCMP_EQUAL("a", choose(wanted).upstream.c_str());
    CHECK_TRUE(choose(wanted).crowded); // the newest is wished for meanwhile
    clock.advance(core::milliseconds{1600});
    roster.refresh("a", clock.now());
    CHECK_TRUE(choose(wanted).result == pool_choice::kind::adapter_not_loaded);
    announce("b");
    holds("b", 2);
    STRCMP_EQUAL("b", choose(wanted).upstream.c_str());
}

TEST(UpstreamPool, SendsNothingToAnOldVersionThatWouldBeginLate)
{
    announce("a");
    holds("a", 1, 110'000); // about three seconds to read
    pool.set_current_version(wanted, 2, clock.now());
    CHECK_TRUE(choose(wanted).result == pool_choice::kind::adapter_not_loaded);
}

TEST(UpstreamPool, IgnoresWhatAnEarlierRunOfAnEngineHeld)
{
    announce("a");
    holds("a", 1);
    wire::fleet_upstream_t restarted;
    restarted.id = "a";
    restarted.service = "llm";
    restarted.address = "a:1";
    restarted.born_ms = 200;
    restarted.sequence = 1;
    roster.update(std::move(restarted), clock.now());
    CHECK_TRUE(choose(wanted).result == pool_choice::kind::adapter_not_loaded);
}

TEST(UpstreamPool, LeavesOutAnUpstreamThatKeepsFailingAndTriesItAgain)
{
    announce("a");
    announce("b");
    pool.record_outcome("a", true, clock.now());
    pool.record_outcome("a", true, clock.now());
    for (int i = 0; i < 9; ++i) {
        pool.record_sent("b", none);
    }
    STRCMP_EQUAL("b", choose(none).upstream.c_str());
    clock.advance(core::milliseconds{2100});
    roster.refresh("a", clock.now());
    roster.refresh("b", clock.now());
    STRCMP_EQUAL("a", choose(none).upstream.c_str());
}

TEST(UpstreamPool, UsesAFailingUpstreamBeforeNone)
{
    announce("a");
    pool.record_outcome("a", true, clock.now());
    pool.record_outcome("a", true, clock.now());
    STRCMP_EQUAL("a", choose(none).upstream.c_str());
}

TEST(UpstreamPool, ChoosesTheCopyWithTheLeastPromptToRead)
{
    announce("a");
    announce("b");
    holds("a", 1, 9000);
    holds("b", 1);
    for (int i = 0; i < 3; ++i) {
        pool.record_sent("b", wanted, 200); // more requests, but less to read
    }
    STRCMP_EQUAL("b", choose(wanted).upstream.c_str());
    pool.record_sent("b", wanted, 20'000);
    STRCMP_EQUAL("a", choose(wanted).upstream.c_str());
}

TEST(UpstreamPool, CountsItsOwnPromptsOnceWhenOthersTellOfThem)
{
    announce("a");
    announce("b");
    pool.record_sent("a", wanted, 8000);
    LONGS_EQUAL(8000, static_cast<long>(pool.take_token_shares().at(0).pending_tokens));
    holds("a", 1, 8000); // the sum over all gateways, this one's included
    holds("b", 1, 12'000);
    STRCMP_EQUAL("a", choose(wanted).upstream.c_str());
}

TEST(UpstreamPool, WishesAFurtherCopyOnceTheWaitExceedsALoad)
{
    announce("a");
    holds("a", 1, 3000);
    CHECK_FALSE(choose(wanted).crowded);
    holds("a", 1, 30'000);
    CHECK_TRUE(choose(wanted).crowded);
}

TEST(UpstreamPool, TellsWhichAdaptersAreInUse)
{
    announce("a");
    pool.record_sent("a", wanted);
    LONGS_EQUAL(1, static_cast<long>(pool.adapter_uses().size()));
    pool.record_ended("a", wanted);
    LONGS_EQUAL(0, static_cast<long>(pool.adapter_uses().size()));
}
