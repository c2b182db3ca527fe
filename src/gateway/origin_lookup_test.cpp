#include "siskindrift/gateway/origin_lookup.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::gateway;

namespace {

wire::stream_origin_answer_t answer(wire::version_count count, const std::string& only = "")
{
    wire::stream_origin_answer_t made;
    made.count = count;
    made.only_version = only;
    return made;
}

wire::stream_origin_answer_t known(const std::string& version, std::uint32_t attempt)
{
    auto made = answer(wire::version_count::several);
    made.origin = std::make_unique<wire::stream_origin_t>();
    made.origin->software_version = version;
    made.origin->attempt = attempt;
    return made;
}

const fleet::software_versions one{wire::version_count::one, "v1"};
const fleet::software_versions several{wire::version_count::several, ""};
const fleet::software_versions unsure{};

} // namespace

TEST_GROUP(OriginLookup)
{
    origin_lookup lookup{7, 3, 3};

    bool add(const wire::stream_origin_answer_t& made, bool from_coordinator = true)
    {
        return lookup.add_answer(made, from_coordinator);
    }

    // Returns whether asking again may help.
    bool check(origin_source source, const std::string& version,
               const fleet::software_versions& own)
    {
        const auto decision = lookup.decide(own);
        CHECK_TRUE(source == decision.source);
        STRCMP_EQUAL(version.c_str(), decision.software_version.c_str());
        return decision.may_become_known;
    }
};

TEST(OriginLookup, IsCompleteOnceAllHaveAnswered)
{
    CHECK_FALSE(add(answer(wire::version_count::one, "v1")));
    CHECK_FALSE(add(answer(wire::version_count::one, "v1")));
    CHECK_TRUE(add(answer(wire::version_count::one, "v1")));
}

TEST(OriginLookup, TakesTheVersionOfTheLatestAttemptThatAnybodyKnows)
{
    add(known("v2", 2));
    add(known("v1", 1));
    add(answer(wire::version_count::one, "v1"));
    check(origin_source::told, "v2", one);
}

TEST(OriginLookup, TakesTheOnlyVersionThatHasServed)
{
    add(answer(wire::version_count::one, "v1"));
    add(answer(wire::version_count::one, "v1"));
    check(origin_source::only_version, "v1", unsure);
    check(origin_source::only_version, "v1", one);
}

TEST(OriginLookup, DoesNotGuessWhereAnybodyHasSeenAnotherVersion)
{
    CHECK_FALSE(check(origin_source::unknown, "", several));
    add(answer(wire::version_count::one, "v2"));
    CHECK_FALSE(check(origin_source::unknown, "", one));
    add(answer(wire::version_count::several));
    CHECK_FALSE(check(origin_source::unknown, "", unsure));
}

TEST(OriginLookup, DoesNotTrustItsOwnViewWhereNobodyAnswers)
{
    CHECK_TRUE(check(origin_source::unknown, "", one));
}

TEST(OriginLookup, DoesNotGuessWhereNobodyIsSure)
{
    add(answer(wire::version_count::unsure));
    CHECK_TRUE(check(origin_source::unknown, "", unsure));
}

TEST(OriginLookup, DoesNotTakeOneCoordinatorThatMayBeOutOfStepForMostOfThem)
{
    add(answer(wire::version_count::one, "v1"));
    CHECK_TRUE(check(origin_source::unknown, "", one));
}

TEST(OriginLookup, DoesNotTakeGatewaysForCoordinators)
{
    add(answer(wire::version_count::one, "v1"));
    add(answer(wire::version_count::one, "v1"), false);
    add(answer(wire::version_count::one, "v1"), false);
    CHECK_TRUE(check(origin_source::unknown, "", one));
}

TEST(OriginLookup, GoesOnOnceMostCoordinatorsAreSure)
{
    add(answer(wire::version_count::one, "v1"));
    add(answer(wire::version_count::unsure));
    CHECK_TRUE(check(origin_source::unknown, "", one));
    add(answer(wire::version_count::one, "v1"));
    check(origin_source::only_version, "v1", one);
}

TEST(OriginLookup, GoesOnOnceTheLeaderIsSureAlthoughMostCoordinatorsHaveJustStarted)
{
    auto from_leader = answer(wire::version_count::one, "v1");
    from_leader.leads = true;
    add(answer(wire::version_count::unsure));
    add(answer(wire::version_count::unsure));
    add(from_leader);
    check(origin_source::only_version, "v1", unsure);
}

TEST(OriginLookup, DoesNotBelieveTheLeaderWhereAnybodyHasSeenAnotherVersion)
{
    auto from_leader = answer(wire::version_count::one, "v1");
    from_leader.leads = true;
    add(from_leader);
    add(answer(wire::version_count::several));
    CHECK_FALSE(check(origin_source::unknown, "", unsure));
}
