#include "siskindrift/fleet/roster.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::fleet;

TEST_GROUP(Roster)
{
    core::manual_clock clock;
    roster upstreams;

    static wire::fleet_upstream_t word(const std::string& id, std::uint64_t sequence,
                                       std::uint64_t born = 100,
                                       wire::fleet_state state = wire::fleet_state::ready)
    {
        wire::fleet_upstream_t made;
        made.id = id;
        made.service = "s";
        made.address = "10.0.0.1:1";
        made.born_ms = born;
        made.sequence = sequence;
        made.state = state;
        return made;
    }

    roster_change note(wire::fleet_upstream_t made, core::duration age = {})
    {
        return upstreams.update(std::move(made), clock.now(), age);
    }

    bool usable(const std::string& id)
    {
        const auto* item = upstreams.find(id);
        return item != nullptr && upstreams.usable(*item, clock.now());
    }
};

TEST(Roster, TakesAnAnnouncedUpstreamIntoUse)
{
    CHECK_TRUE(note(word("a", 1)) == roster_change::changed);
    CHECK_TRUE(usable("a"));
    CHECK_TRUE(note(word("a", 2)) == roster_change::refreshed);
}

TEST(Roster, IgnoresWordsThatComeLateOrTwice)
{
    note(word("a", 5, 100, wire::fleet_state::draining));
    CHECK_TRUE(note(word("a", 4)) == roster_change::stale);
    CHECK_TRUE(note(word("a", 5)) == roster_change::stale);
    CHECK_FALSE(usable("a"));
}

TEST(Roster, KeepsALeavingUpstreamOutWhateverItSaysLater)
{
    note(word("a", 5, 100, wire::fleet_state::draining));
    note(word("a", 6));
    CHECK_FALSE(usable("a"));
}

TEST(Roster, KeepsAnUpstreamGoneThatHasLeft)
{
    note(word("a", 5));
    CHECK_TRUE(upstreams.mark_gone("a", clock.now()));
    CHECK_FALSE(upstreams.mark_gone("a", clock.now()));
    note(word("a", 6));
    CHECK_FALSE(usable("a"));
}

TEST(Roster, WelcomesARestartUnderTheSameId)
{
    note(word("a", 50));
    upstreams.mark_gone("a", clock.now());
    CHECK_TRUE(note(word("a", 1, 200)) == roster_change::changed);
    CHECK_TRUE(usable("a"));
    CHECK_TRUE(note(word("a", 51, 100)) == roster_change::stale);
}

TEST(Roster, RetiresWhoeverHeldTheAddressBefore)
{
    note(word("a", 1, 100));
    note(word("b", 1, 200));
    CHECK_FALSE(usable("a"));
    CHECK_TRUE(usable("b"));
}

TEST(Roster, KeepsTheNewerHolderOfAnAddressAgainstALateWord)
{
    note(word("b", 1, 200));
    note(word("a", 9, 100));
    CHECK_TRUE(usable("b"));
}

TEST(Roster, StopsUsingASilentUpstream)
{
    note(word("a", 1));
    clock.advance(core::milliseconds{4000});
    CHECK_FALSE(usable("a"));
    upstreams.refresh("a", clock.now());
    CHECK_TRUE(usable("a"));
}

TEST(Roster, CountsTheAgeOfAPassedOnWord)
{
    note(word("a", 1), core::milliseconds{3500});
    clock.advance(core::milliseconds{400});
    CHECK_FALSE(usable("a"));
}

TEST(Roster, TellsEachChangeOnce)
{
    note(word("a", 1));
    LONGS_EQUAL(1, static_cast<long>(upstreams.take_changed(clock.now()).size()));
    LONGS_EQUAL(0, static_cast<long>(upstreams.take_changed(clock.now()).size()));
    note(word("a", 2));
    LONGS_EQUAL(1, static_cast<long>(upstreams.take_refreshed().size()));
}
