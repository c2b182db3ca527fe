#include "siskindrift/gateway/document_follower.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::gateway;

TEST_GROUP(DocumentFollower)
{
    core::manual_clock clock;
    document_follower follower;

    std::string next_source()
    {
        return follower.next_source(clock.now()).value_or("none");
    }
};

TEST(DocumentFollower, RequestsFromTheCoordinatorWithTheNewestVersion)
{
    follower.set_offered_version("a", 3);
    follower.set_offered_version("b", 5);
    STRCMP_EQUAL("b", next_source().c_str());
}

TEST(DocumentFollower, RequestsOnceWhileAnAnswerIsPending)
{
    follower.set_offered_version("a", 3);
    next_source();
    clock.advance(core::milliseconds{100});
    STRCMP_EQUAL("none", next_source().c_str());
}

TEST(DocumentFollower, RepeatsAnUnansweredRequest)
{
    follower.set_offered_version("a", 3);
    next_source();
    clock.advance(core::milliseconds{400});
    STRCMP_EQUAL("a", next_source().c_str());
}

TEST(DocumentFollower, RequestsFromAnotherCoordinatorAfterADisconnect)
{
    follower.set_offered_version("a", 3);
    next_source();
    follower.on_disconnect("a");
    follower.set_offered_version("b", 3);
    STRCMP_EQUAL("b", next_source().c_str());
}

TEST(DocumentFollower, RequestsANewerVersionWhileAnAnswerIsPending)
{
    follower.set_offered_version("a", 3);
    next_source();
    follower.set_offered_version("b", 4);
    STRCMP_EQUAL("b", next_source().c_str());
}

TEST(DocumentFollower, DoesNotRequestAVersionThatIsNotNewer)
{
    follower.set_applied_version(7);
    follower.set_offered_version("a", 7);
    STRCMP_EQUAL("none", next_source().c_str());
}
