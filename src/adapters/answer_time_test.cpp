#include "siskindrift/adapters/answer_time.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using siskindrift::adapters::answer_time_estimate;

TEST_GROUP(AnswerTime)
{
    answer_time_estimate estimate;

    void answer(int times, int ms)
    {
        for (int i = 0; i < times; ++i) {
            estimate.on_answer(core::milliseconds{ms});
        }
    }
    long wait_ms() const
    {
        return static_cast<long>(core::to_ms(estimate.wait()));
    }
};

TEST(AnswerTime, WaitsLongerThanUsualAnswersTake)
{
    LONGS_EQUAL(150, wait_ms());
    answer(50, 3);
    LONGS_EQUAL(40, wait_ms());
    answer(50, 60);
    CHECK_TRUE(wait_ms() >= 60);
    CHECK_TRUE(wait_ms() <= 100);
}

TEST(AnswerTime, WaitsLongerWhileAnswersVary)
{
    for (int i = 0; i < 50; ++i) {
        answer(1, i % 2 == 0 ? 5 : 105);
    }
    CHECK_TRUE(wait_ms() > 150);
}

TEST(AnswerTime, WaitsForABoundedTime)
{
    answer(20, 5000);
    LONGS_EQUAL(500, wait_ms());
}
