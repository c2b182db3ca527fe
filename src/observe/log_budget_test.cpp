#include "siskindrift/observe/log_budget.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::observe;

namespace {

constexpr std::size_t line = 100; // bytes

} // namespace

TEST_GROUP(LogBudget)
{
    core::time_point now{std::chrono::hours{1}};
    log_budget_options options;

    void setup() override
    {
        options.bytes_per_second = 1000;
        options.burst_seconds = 2;
    }

    static int admitted(log_budget & budget, line_weight weight, int lines, core::time_point at)
    {
        int count = 0;
        for (int i = 0; i < lines; ++i) {
            count += budget.admit(weight, line, at) ? 1 : 0;
        }
        return count;
    }
};

TEST(LogBudget, LeavesOutOrdinarySuccessesFirst)
{
    log_budget budget{options};
    LONGS_EQUAL(10, admitted(budget, line_weight::routine, 50, now));
    LONGS_EQUAL(7, admitted(budget, line_weight::failure, 50, now));
    LONGS_EQUAL(3, admitted(budget, line_weight::belief, 50, now));
}

TEST(LogBudget, FillsUpWithTimeAndNoFurtherThanABurst)
{
    log_budget budget{options};
    LONGS_EQUAL(20, admitted(budget, line_weight::belief, 50, now));
    LONGS_EQUAL(5, admitted(budget, line_weight::belief, 50, now + core::milliseconds{500}));
    LONGS_EQUAL(20, admitted(budget, line_weight::belief, 50, now + core::milliseconds{60'000}));
}

TEST(LogBudget, TellsWhatWasLeftOutOnceASecond)
{
    log_budget budget{options};
    CHECK_FALSE(budget.take_left_out(now).has_value());
    admitted(budget, line_weight::routine, 12, now);
    const auto told = budget.take_left_out(now);
    CHECK_TRUE(told.has_value());
    LONGS_EQUAL(2, told->at(0));
    LONGS_EQUAL(0, told->at(1));
    admitted(budget, line_weight::routine, 1, now);
    CHECK_FALSE(budget.take_left_out(now + core::milliseconds{999}).has_value());
    LONGS_EQUAL(1, budget.take_left_out(now + core::milliseconds{1000})->at(0));
}
