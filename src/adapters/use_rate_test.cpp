#include "siskindrift/adapters/use_rate.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using adapters::use_rate_estimate;

TEST_GROUP(UseRate)
{
    core::time_point now = core::time_point{} + core::milliseconds{100'000};
    use_rate_estimate rates;

    void use(std::uint32_t times, core::milliseconds interval)
    {
        for (std::uint32_t i = 0; i < times; ++i) {
            now += interval;
            rates.record(1, 1, now);
        }
    }
};

TEST(UseRate, ApproachesTheNumberOfUsesPerSecond)
{
    rates.begin(now);
    use(500, core::milliseconds{100});
    DOUBLES_EQUAL(10, rates.per_second(1, now), 1);
    DOUBLES_EQUAL(0, rates.per_second(2, now), 0.001);
}

TEST(UseRate, ForgetsUsesOfLongAgo)
{
    rates.begin(now);
    use(100, core::milliseconds{100});
    DOUBLES_EQUAL(0, rates.per_second(1, now + core::milliseconds{60'000}), 0.1);
}

TEST(UseRate, IsKnownOnlyAfterSomeObservation)
{
    CHECK_FALSE(rates.known(now));
    rates.begin(now);
    CHECK_FALSE(rates.known(now + core::milliseconds{1000}));
    CHECK_TRUE(rates.known(now + core::milliseconds{6000}));
    rates.begin(now + core::milliseconds{6000});
    CHECK_FALSE(rates.known(now + core::milliseconds{7000}));
}
