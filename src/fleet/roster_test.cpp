#include "siskindrift/fleet/roster.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::fleet;

TEST_GROUP(Roster)
{
    core::manual_clock clock;
    roster upstreams;

    static wire::fleet_upstream_t announcement(const std::string& id, std::uint64_t sequence,
                                               std::uint64_t born_ms = 100,
                                               wire::fleet_state state = wire::fleet_state::ready)
    {
        wire::fleet_upstream_t announced;
        announced.id = id;
        announced.service = "s";
        announced.address = "10.0.0.1:1";
        announced.born_ms = born_ms;
        announced.sequence = sequence;
        announced.state = state;
        return announced;
    }

    roster_change update(wire::fleet_upstream_t announced, core::duration age = {})
    {
        return upstreams.update(std::move(announced), clock.now(), age);
    }

    bool usable(const std::string& id)
    {
        const auto* entry = upstreams.find(id);
        return entry != nullptr && upstreams.usable(*entry, clock.now());
    }
};

TEST(Roster, UsesAnAnnouncedUpstream)
{
    CHECK_TRUE(update(announcement("a", 1)) == roster_change::changed);
    CHECK_TRUE(usable("a"));
    CHECK_TRUE(update(announcement("a", 2)) == roster_change::refreshed);
}

TEST(Roster, IgnoresLateAndDuplicateAnnouncements)
{
    update(announcement("a", 5, 100, wire::fleet_state::draining));
    CHECK_TRUE(update(announcement("a", 4)) == roster_change::stale);
    CHECK_TRUE(update(announcement("a", 5)) == roster_change::stale);
    CHECK_FALSE(usable("a"));
}

TEST(Roster, LetsAnUpstreamGoOnWithStreamsOnlyJustAfterItBeganToDrain)
{
    const auto may_go_on = [&] { return upstreams.may_go_on(*upstreams.find("a"), clock.now()); };
    update(announcement("a", 1));
    CHECK_FALSE(may_go_on());
    update(announcement("a", 2, 100, wire::fleet_state::draining), core::milliseconds{400});
    CHECK_TRUE(may_go_on());
    clock.advance(core::milliseconds{500});
    update(announcement("a", 3, 100, wire::fleet_state::draining));
    CHECK_TRUE(may_go_on());
    const auto told = upstreams.snapshot(clock.now());
    LONGS_EQUAL(900, told.front().draining_ms);
    clock.advance(core::milliseconds{200});
    CHECK_FALSE(may_go_on());
    update(announcement("a", 1, 200));
    update(announcement("a", 2, 200, wire::fleet_state::draining));
    CHECK_TRUE(may_go_on());
}

TEST(Roster, DoesNotTakeTheFirstNewsOfADrainingUpstreamForItsBeginning)
{
    update(announcement("a", 5, 100, wire::fleet_state::draining));
    CHECK_FALSE(upstreams.may_go_on(*upstreams.find("a"), clock.now()));
    auto told = announcement("b", 5, 100, wire::fleet_state::draining);
    told.draining_ms = 300;
    update(told);
    CHECK_TRUE(upstreams.may_go_on(*upstreams.find("b"), clock.now()));
}

TEST(Roster, KeepsADrainingUpstreamUnusable)
{
    update(announcement("a", 5, 100, wire::fleet_state::draining));
    update(announcement("a", 6));
    CHECK_FALSE(usable("a"));
}

TEST(Roster, KeepsADepartedUpstreamGone)
{
    update(announcement("a", 5));
    CHECK_TRUE(upstreams.mark_gone("a", clock.now()));
    CHECK_FALSE(upstreams.mark_gone("a", clock.now()));
    update(announcement("a", 6));
    CHECK_FALSE(usable("a"));
}

TEST(Roster, AcceptsARestartUnderTheSameId)
{
    update(announcement("a", 50));
    upstreams.mark_gone("a", clock.now());
    CHECK_TRUE(update(announcement("a", 1, 200)) == roster_change::changed);
    CHECK_TRUE(usable("a"));
    CHECK_TRUE(update(announcement("a", 51, 100)) == roster_change::stale);
}

TEST(Roster, RetiresThePreviousUpstreamAtAnAddress)
{
    update(announcement("a", 1, 100));
    update(announcement("b", 1, 200));
    CHECK_FALSE(usable("a"));
    CHECK_TRUE(usable("b"));
}

TEST(Roster, KeepsTheNewerUpstreamAtAnAddressAfterALateAnnouncement)
{
    update(announcement("b", 1, 200));
    update(announcement("a", 9, 100));
    CHECK_TRUE(usable("b"));
}

TEST(Roster, StopsUsingASilentUpstream)
{
    update(announcement("a", 1));
    clock.advance(core::milliseconds{4000});
    CHECK_FALSE(usable("a"));
    upstreams.refresh("a", clock.now());
    CHECK_TRUE(usable("a"));
}

TEST(Roster, CountsTheAgeOfAForwardedAnnouncement)
{
    update(announcement("a", 1), core::milliseconds{3500});
    clock.advance(core::milliseconds{400});
    CHECK_FALSE(usable("a"));
}

TEST(Roster, ReportsEachChangeOnce)
{
    update(announcement("a", 1));
    LONGS_EQUAL(1, static_cast<long>(upstreams.take_changed(clock.now()).size()));
    LONGS_EQUAL(0, static_cast<long>(upstreams.take_changed(clock.now()).size()));
    update(announcement("a", 2));
    LONGS_EQUAL(1, static_cast<long>(upstreams.take_refreshed().size()));
}

TEST(Roster, SendsNothingToARunThatSaysInAnAnswerThatItLeaves)
{
    update(announcement("a", 1));
    CHECK_FALSE(upstreams.mark_draining("a", 99, clock.now()));
    CHECK_TRUE(usable("a"));
    CHECK_TRUE(upstreams.mark_draining("a", 100, clock.now()));
    CHECK_FALSE(upstreams.mark_draining("a", 100, clock.now()));
    update(announcement("a", 2)); // late: it still says that it is ready
    CHECK_FALSE(usable("a"));
    update(announcement("a", 1, 200));
    CHECK_TRUE(usable("a"));
}

TEST(Roster, TellsOtherAdaptersOfAnUpstreamApartFromOtherChanges)
{
    update(announcement("a", 1));
    upstreams.take_changed(clock.now());
    auto holds_more = announcement("a", 2);
    wire::adapter_copy_t copy;
    copy.model = "base";
    copy.adapter = "x";
    wire::append(holds_more.copies, std::move(copy));
    CHECK_TRUE(update(std::move(holds_more)) == roster_change::copies);
    LONGS_EQUAL(0, upstreams.take_changed(clock.now()).size());
    LONGS_EQUAL(1, upstreams.take_refreshed().size());
    const auto told = upstreams.take_changed_copies(clock.now());
    LONGS_EQUAL(1, told.size());
    LONGS_EQUAL(1, told.front().copies.size());
    LONGS_EQUAL(0, upstreams.take_changed_copies(clock.now()).size());
}
