#include "siskindrift/fleet/version_history.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::fleet;

// Guards against requests that begin on a version that was replaced before the last one was named.
TEST_GROUP(VersionHistory)
{
    static constexpr core::time_point start{std::chrono::seconds{100}};
    version_history history;

    static core::time_point at(int ms)
    {
        return start + core::milliseconds{ms};
    }

    void expect_outdated(std::uint64_t version, int ms, int now_ms) const
    {
        const auto age = history.outdated_for(version, at(now_ms));
        CHECK_TRUE(age.has_value());
        LONGS_EQUAL(ms, core::to_ms(*age));
    }
};

TEST(VersionHistory, CountsFromTheFirstNewerVersion)
{
    history.record(2, at(0));
    history.record(3, at(8000));
    expect_outdated(1, 8000, 8000);
    expect_outdated(2, 100, 8100);
    CHECK_FALSE(history.outdated_for(3, at(8100)).has_value());
}

TEST(VersionHistory, TakesVersionsInAnyOrder)
{
    history.record(4, at(900));
    history.record(2, at(0));
    history.record(3, at(500));
    UNSIGNED_LONGS_EQUAL(4, history.current());
    expect_outdated(1, 1000, 1000);
    expect_outdated(2, 500, 1000);
    expect_outdated(3, 100, 1000);
}

TEST(VersionHistory, TakesAnUnknownTimeForLongAgoUntilItIsKnown)
{
    history.record(2, std::nullopt);
    CHECK_TRUE(history.outdated_for(1, at(0)) == core::duration::max());
    history.record(2, at(0));
    expect_outdated(1, 300, 300);
    history.record(2, std::nullopt);
    history.record(2, at(200));
    expect_outdated(1, 300, 300);
}

TEST(VersionHistory, KeepsTheNewestOfTheVersionsThatItForgets)
{
    history.record(2, at(0));
    history.record(3, at(100));
    history.record(4, at(5000));
    history.forget_before(at(1000));
    UNSIGNED_LONGS_EQUAL(2, history.versions().size());
    expect_outdated(1, 4900, 5000);
}
