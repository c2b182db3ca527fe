#include "siskindrift/fleet/entry_check.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;

TEST_GROUP(EntryCheck)
{
    wire::fleet_upstream_t entry;

    void setup() override
    {
        entry.id = "i-1";
        entry.service = "desk";
        entry.address = "10.0.0.1:8080";
        entry.slots = 8;
    }

    [[nodiscard]] bool is_sound() const
    {
        return !fleet::entry_error(entry).has_value();
    }
};

TEST(EntryCheck, AcceptsAnUpstreamThatRequestsCanBeSentTo)
{
    CHECK_TRUE(is_sound());
}

TEST(EntryCheck, RefusesAddressesThatNoConnectionCanBeOpenedTo)
{
    for (const auto* address : {"", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536",
                                "10.0.0.1:80x", "host.example:80", ":80"}) {
        entry.address = address;
        CHECK_FALSE(is_sound());
    }
    entry.state = wire::fleet_state::gone;
    CHECK_TRUE(is_sound());
}

TEST(EntryCheck, RefusesImplausibleSlotsAndNames)
{
    entry.slots = 4'000'000'000;
    CHECK_FALSE(is_sound());
    entry.slots = 8;
    entry.service = std::string(257, 's');
    CHECK_FALSE(is_sound());
    entry.service = "desk";
    entry.id.clear();
    CHECK_FALSE(is_sound());
}
