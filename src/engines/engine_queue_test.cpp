#include "siskindrift/engines/engine_queue.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::engines;

namespace {

queued_work work(work_id id, const std::string& team, std::uint8_t priority = 5, double share = 1.0)
{
    queued_work result;
    result.id = id;
    result.team = core::team_id{team};
    result.adapter = core::adapter_version{"a@1"};
    result.priority = priority;
    result.weight = share;
    result.cost = 10;
    result.deadline = core::time_point{std::chrono::seconds{100}};
    return result;
}

} // namespace

TEST_GROUP(EngineQueue)
{
    engine_queue queue;
};

TEST(EngineQueue, StartsHigherPrioritiesFirst)
{
    queue.push(work(1, "a", 1));
    queue.push(work(2, "a", 9));
    UNSIGNED_LONGS_EQUAL(2, queue.in_order().front().id);
}

TEST(EngineQueue, SharesFairlyBetweenABusyAndAQuietTeam)
{
    for (work_id id = 1; id <= 10; ++id) {
        queue.push(work(id, "busy"));
    }
    queue.push(work(99, "quiet"));
    UNSIGNED_LONGS_EQUAL(99, queue.in_order()[1].id);
}

TEST(EngineQueue, WeighsTeamsByTheirShare)
{
    for (work_id id = 1; id <= 4; ++id) {
        queue.push(work(id, "light", 5, 1.0));
        queue.push(work(10 + id, "heavy", 5, 4.0));
    }
    std::size_t heavy = 0;
    for (std::size_t i = 0; i < 5; ++i) {
        heavy += queue.in_order()[i].team.value() == "heavy" ? 1 : 0;
    }
    CHECK_TRUE(heavy >= 4);
}

TEST(EngineQueue, ReturnsExpiredRequests)
{
    queue.push(work(1, "a"));
    UNSIGNED_LONGS_EQUAL(1, queue.take_expired(core::time_point{std::chrono::seconds{101}}).size());
    UNSIGNED_LONGS_EQUAL(0, queue.size());
    UNSIGNED_LONGS_EQUAL(0, queue.waiting_for(core::adapter_version{"a@1"}));
}
