#include "siskindrift/gateway/document_follower.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::gateway;

TEST_GROUP(DocumentFollower)
{
    core::manual_clock clock;
    document_follower follower;

    std::string asked()
    {
        return follower.next_source(clock.now()).value_or("nobody");
    }
};

TEST(DocumentFollower, AsksWhoeverHoldsTheNewest)
{
    follower.set_offered_version("a", 3);
    follower.set_offered_version("b", 5);
    STRCMP_EQUAL("b", asked().c_str());
}

TEST(DocumentFollower, AsksOnceWhileTheAnswerIsAwaited)
{
    follower.set_offered_version("a", 3);
    asked();
    clock.advance(core::milliseconds{100});
    STRCMP_EQUAL("nobody", asked().c_str());
}

TEST(DocumentFollower, AsksAgainWhenNoAnswerComes)
{
    follower.set_offered_version("a", 3);
    asked();
    clock.advance(core::milliseconds{400});
    STRCMP_EQUAL("a", asked().c_str());
}

TEST(DocumentFollower, AsksAgainWhenTheConnectionIsLost)
{
    follower.set_offered_version("a", 3);
    asked();
    follower.on_disconnect("a");
    follower.set_offered_version("b", 3);
    STRCMP_EQUAL("b", asked().c_str());
}

TEST(DocumentFollower, AsksForANewerVersionAtOnce)
{
    follower.set_offered_version("a", 3);
    asked();
    follower.set_offered_version("b", 4);
    STRCMP_EQUAL("b", asked().c_str());
}

TEST(DocumentFollower, NeverAsksForWhatIsNoNewer)
{
    follower.set_applied_version(7);
    follower.set_offered_version("a", 7);
    STRCMP_EQUAL("nobody", asked().c_str());
}
