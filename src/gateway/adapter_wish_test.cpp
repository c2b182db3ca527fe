#include "siskindrift/gateway/adapter_wish.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using gateway::waiting_request;

TEST_GROUP(AdapterWish)
{
    core::time_point start = core::time_point{} + core::milliseconds{100'000};
    wire::adapter_wish_t wish;

    waiting_request request_of(int objective_ms, int deadline_ms) const
    {
        return {start, start + core::milliseconds{deadline_ms}, core::milliseconds{objective_ms},
                100};
    }
};

TEST(AdapterWish, CountsRequestsThatCanStillBeInTimeApartFromLateOnes)
{
    const auto now = start + core::milliseconds{450};
    gateway::add_waiting(wish, request_of(800, 15'000), now);
    gateway::add_waiting(wish, request_of(1000, 5000), now);
    LONGS_EQUAL(2, wish.waiting);
    LONGS_EQUAL(1, wish.late);
    LONGS_EQUAL(50, wish.timely_ms);
    LONGS_EQUAL(4550, wish.left_ms);
    LONGS_EQUAL(200, static_cast<long>(wish.prompt_tokens));
}

TEST(AdapterWish, NamesTheTimeUntilTheFirstRequestIsLate)
{
    gateway::add_waiting(wish, request_of(1000, 5000), start);
    gateway::add_waiting(wish, request_of(800, 15'000), start);
    LONGS_EQUAL(0, wish.late);
    LONGS_EQUAL(400, wish.timely_ms);
}
