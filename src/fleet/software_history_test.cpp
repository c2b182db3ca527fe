#include "siskindrift/fleet/software_history.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::fleet;

TEST_GROUP(SoftwareHistory)
{
    core::manual_clock clock;
    software_history history;
    const core::duration span = core::milliseconds{20'000};

    void setup() override
    {
        clock.advance(core::milliseconds{100'000});
    }

    void contact(int known_for_ms)
    {
        history.on_contact(clock.now() - core::milliseconds{known_for_ms}, clock.now());
    }

    void hear(const std::string& version)
    {
        history.record("llm", version, clock.now());
    }

    software_versions versions() const
    {
        return history.versions("llm", span, clock.now());
    }
};

TEST(SoftwareHistory, IsUnsureUntilItKnowsAllVersionsForTheWholeSpan)
{
    CHECK_TRUE(wire::version_count::unsure == versions().count);
    contact(0);
    hear("v1");
    CHECK_TRUE(wire::version_count::unsure == versions().count);
    clock.advance(core::milliseconds{20'000});
    hear("v1");
    CHECK_TRUE(wire::version_count::one == versions().count);
    STRCMP_EQUAL("v1", versions().only.c_str());
}

TEST(SoftwareHistory, LearnsTheTimeBeforeItsStartFromItsSource)
{
    contact(20'000);
    hear("v1");
    CHECK_TRUE(wire::version_count::one == versions().count);
}

TEST(SoftwareHistory, RemembersAVersionUntilNoStreamThatItBeganCanLast)
{
    contact(60'000);
    hear("v1");
    hear("v2");
    CHECK_TRUE(wire::version_count::several == versions().count);
    clock.advance(core::milliseconds{23'600});
    hear("v2");
    CHECK_TRUE(wire::version_count::several == versions().count);
    clock.advance(core::milliseconds{200});
    CHECK_TRUE(wire::version_count::one == versions().count);
    STRCMP_EQUAL("v2", versions().only.c_str());
}

TEST(SoftwareHistory, TellsVersionsThatDifferOnlyInCaseOrLengthApart)
{
    contact(60'000);
    hear("v1");
    hear("V1");
    CHECK_TRUE(wire::version_count::several == versions().count);
}

TEST(SoftwareHistory, IsUnsureWhereUpstreamsNameNoVersion)
{
    contact(60'000);
    hear("");
    CHECK_TRUE(wire::version_count::unsure == versions().count);
}

TEST(SoftwareHistory, BridgesAShortGapOnceAllUpstreamsWereAnnouncedAgain)
{
    contact(60'000);
    hear("v1");
    history.on_contact_lost(clock.now());
    CHECK_TRUE(wire::version_count::unsure == versions().count);
    clock.advance(core::milliseconds{1000});
    contact(0);
    CHECK_TRUE(wire::version_count::unsure == versions().count);
    clock.advance(core::milliseconds{1500});
    CHECK_TRUE(wire::version_count::one == versions().count);
}

TEST(SoftwareHistory, BeginsAnewAfterALongGapThatItsSourceDoesNotCover)
{
    contact(60'000);
    hear("v1");
    history.on_contact_lost(clock.now());
    clock.advance(core::milliseconds{8000});
    contact(1000);
    hear("v1");
    clock.advance(core::milliseconds{5000});
    CHECK_TRUE(wire::version_count::unsure == versions().count);
    clock.advance(core::milliseconds{14'000});
    CHECK_TRUE(wire::version_count::one == versions().count);
}

TEST(SoftwareHistory, GoesOnAfterALongGapThatItsSourceCovers)
{
    contact(60'000);
    hear("v1");
    history.on_contact_lost(clock.now());
    clock.advance(core::milliseconds{8000});
    contact(30'000);
    hear("v1");
    clock.advance(core::milliseconds{2500});
    CHECK_TRUE(wire::version_count::one == versions().count);
}
