#include "siskindrift/gateway/upstream_places.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::gateway;

TEST_GROUP(UpstreamPlaces)
{
    core::manual_clock clock;
    upstream_places places;

    void setup() override
    {
        clock.advance(core::milliseconds{10'000});
        places.set_leader(true, 4);
    }

    bool answer(const std::string& upstream, bool limited, std::uint64_t born = 100)
    {
        clock.advance(core::milliseconds{1});
        return places.record_answer({"desk", upstream, born, 8, limited, clock.now()}, clock.now());
    }

    void grant(std::uint32_t granted)
    {
        places.take_wishes(clock.now());
        wire::place_grant_t message;
        message.upstream = "a";
        message.places = granted;
        places.apply(message, clock.now(), clock.now());
    }

    bool has_place() const
    {
        return places.has_place("a", 100, clock.now());
    }
};

TEST(UpstreamPlaces, DividesThePlacesOnlyWhileAnswersSaySo)
{
    CHECK_TRUE(has_place());
    CHECK_TRUE(answer("a", true));
    CHECK_FALSE(answer("a", true));
    CHECK_FALSE(has_place());
    CHECK_TRUE(answer("a", false));
    CHECK_TRUE(has_place());
}

TEST(UpstreamPlaces, IgnoresAnAnswerThatIsOlderThanTheOneThatBeganTheDivision)
{
    const auto before = clock.now();
    answer("a", true);
    CHECK_FALSE(places.record_answer({"desk", "a", 100, 8, false, before}, clock.now()));
    CHECK_FALSE(has_place());
}

TEST(UpstreamPlaces, UsesWhatItWasGrantedForAShortTime)
{
    answer("a", true);
    places.add_wish("a");
    grant(1);
    CHECK_TRUE(has_place());
    places.begin("a");
    CHECK_FALSE(has_place());
    places.end("a");
    CHECK_TRUE(has_place());
    clock.advance(core::milliseconds{500});
    CHECK_FALSE(has_place());
}

TEST(UpstreamPlaces, KeepsToAnEqualPartWithoutALeader)
{
    answer("a", true);
    places.set_leader(false, 4);
    places.begin("a");
    CHECK_TRUE(has_place());
    places.begin("a");
    CHECK_FALSE(has_place());
}

TEST(UpstreamPlaces, ExpectsTheSameOfARunThatHasNotAnsweredYet)
{
    answer("a", true);
    CHECK_TRUE(places.limited_services().contains("desk"));
    places.set_limited("desk", "a", 200, 8, clock.now());
    CHECK_FALSE(places.has_place("a", 200, clock.now()));
    answer("a", false, 200);
    places.set_limited("desk", "a", 200, 8, clock.now());
    CHECK_TRUE(places.has_place("a", 200, clock.now()));
    CHECK_TRUE(places.limited_services().empty());
}
