#include "siskindrift/observe/log_rate_limiter.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::observe;

namespace {

constexpr std::size_t line = 100; // bytes

} // namespace

TEST_GROUP(LogRateLimiter)
{
    core::time_point now{std::chrono::hours{1}};
    log_rate_limiter_options options;

    void setup() override
    {
        options.bytes_per_second = 1000;
        options.burst_seconds = 2;
    }

    static int admitted(log_rate_limiter & limiter, line_priority priority, int lines,
                        core::time_point at)
    {
        int count = 0;
        for (int i = 0; i < lines; ++i) {
            count += limiter.admit(priority, line, at) ? 1 : 0;
        }
        return count;
    }
};

TEST(LogRateLimiter, DropsRoutineLinesFirst)
{
    log_rate_limiter limiter{options};
    LONGS_EQUAL(10, admitted(limiter, line_priority::routine, 50, now));
    LONGS_EQUAL(7, admitted(limiter, line_priority::failure, 50, now));
    LONGS_EQUAL(3, admitted(limiter, line_priority::state_change, 50, now));
}

TEST(LogRateLimiter, RefillsWithTimeUpToOneBurst)
{
    log_rate_limiter limiter{options};
    LONGS_EQUAL(20, admitted(limiter, line_priority::state_change, 50, now));
    LONGS_EQUAL(5,
                admitted(limiter, line_priority::state_change, 50, now + core::milliseconds{500}));
    LONGS_EQUAL(
        20, admitted(limiter, line_priority::state_change, 50, now + core::milliseconds{60'000}));
}

TEST(LogRateLimiter, ReportsDroppedLinesOncePerSecond)
{
    log_rate_limiter limiter{options};
    CHECK_FALSE(limiter.take_dropped_counts(now).has_value());
    admitted(limiter, line_priority::routine, 12, now);
    const auto dropped = limiter.take_dropped_counts(now);
    CHECK_TRUE(dropped.has_value());
    LONGS_EQUAL(2, dropped->at(0));
    LONGS_EQUAL(0, dropped->at(1));
    admitted(limiter, line_priority::routine, 1, now);
    CHECK_FALSE(limiter.take_dropped_counts(now + core::milliseconds{999}).has_value());
    LONGS_EQUAL(1, limiter.take_dropped_counts(now + core::milliseconds{1000})->at(0));
}
