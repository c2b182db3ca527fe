#include "siskindrift/fleet/stream_origins.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::fleet;

TEST_GROUP(StreamOrigins)
{
    core::manual_clock clock;
    stream_origins origins;

    static wire::stream_origin_t origin(const std::string& request, const std::string& version,
                                        std::uint32_t attempt = 1)
    {
        wire::stream_origin_t made;
        made.request = request;
        made.service = "llm";
        made.software_version = version;
        made.attempt = attempt;
        made.lifetime_ms = 1000;
        return made;
    }

    std::string version_of(const std::string& request) const
    {
        const auto* found = origins.find(request, clock.now());
        return found == nullptr ? "" : found->software_version;
    }
};

TEST(StreamOrigins, OfTwoOriginsThatOfTheLaterAttemptCountsInAnyOrder)
{
    origins.record(origin("r", "v2", 2), false, clock.now());
    origins.record(origin("r", "v1", 1), false, clock.now());
    STRCMP_EQUAL("v2", version_of("r").c_str());
}

TEST(StreamOrigins, KeepsAnOriginForAsLongAsTheStreamMayLast)
{
    origins.record(origin("r", "v1"), false, clock.now());
    clock.advance(core::milliseconds{999});
    STRCMP_EQUAL("v1", version_of("r").c_str());
    origins.record(origin("r", "v1"), false, clock.now());
    clock.advance(core::milliseconds{999});
    STRCMP_EQUAL("v1", version_of("r").c_str());
    clock.advance(core::milliseconds{1});
    STRCMP_EQUAL("", version_of("r").c_str());
    origins.record(origin("other", "v1"), false, clock.now());
    LONGS_EQUAL(1, static_cast<long>(origins.size()));
}

TEST(StreamOrigins, DropsTheOriginThatEndsFirstAndSaysSoWhenTooManyAreTold)
{
    stream_origins few{stream_origins_options{.max_origins = 2}};
    CHECK_FALSE(few.record(origin("a", "v1"), false, clock.now()));
    clock.advance(core::milliseconds{1});
    CHECK_FALSE(few.record(origin("b", "v1"), false, clock.now()));
    CHECK_TRUE(few.record(origin("c", "v1"), false, clock.now()));
    POINTERS_EQUAL(nullptr, few.find("a", clock.now()));
    CHECK_TRUE(few.find("b", clock.now()) != nullptr);
}

TEST(StreamOrigins, ListsOnlyItsOwnOriginsOfAService)
{
    origins.record(origin("own", "v1"), true, clock.now());
    origins.record(origin("told", "v1"), false, clock.now());
    clock.advance(core::milliseconds{400});
    const auto list = origins.own_origins("llm", clock.now());
    LONGS_EQUAL(1, static_cast<long>(list.size()));
    STRCMP_EQUAL("own", list[0].request.c_str());
    LONGS_EQUAL(600, list[0].lifetime_ms);
    LONGS_EQUAL(0, static_cast<long>(origins.own_origins("desk", clock.now()).size()));
}
