#include "siskindrift/engines/engine_owner.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::engines;
using std::chrono::seconds;

namespace {

constexpr core::time_point start{seconds{100}};
const core::adapter_version a{"a@1"};
const core::adapter_version b{"b@1"};

wire::announcement_t engine()
{
    wire::announcement_t announcement;
    announcement.upstream = "engine";
    announcement.incarnation = 1;
    announcement.slots = 1;
    announcement.batch = 2;
    return announcement;
}

queued_work work(work_id id, const core::adapter_version& adapter)
{
    queued_work result;
    result.id = id;
    result.adapter = adapter;
    result.team = core::team_id{"team"};
    result.arrived = start;
    result.deadline = start + seconds{30};
    return result;
}

std::size_t count(const std::vector<engine_action>& actions, engine_action::kind type)
{
    return static_cast<std::size_t>(std::count_if(
        actions.begin(), actions.end(), [&](const auto& action) { return action.type == type; }));
}

} // namespace

TEST_GROUP(EngineOwner)
{
    cost_residency policy;
    engine_owner owner{engine(), policy, {}, start};

    void make_resident(const core::adapter_version& adapter)
    {
        owner.step(start);
        owner.on_permit_granted(7, start);
        owner.step(start);
        owner.on_load_finished(adapter, true, start);
    }
};

TEST(EngineOwner, RequestsOnePermitForManyRequestsOfAMissingAdapter)
{
    for (work_id id = 1; id <= 5; ++id) {
        owner.enqueue(work(id, a), start);
    }
    const auto asked = owner.step(start);
    UNSIGNED_LONGS_EQUAL(1, count(asked, engine_action::kind::request_permit));
    DOUBLES_EQUAL(5.0, asked.front().benefit, 0.01);
    owner.on_permit_granted(7, start);
    UNSIGNED_LONGS_EQUAL(1, count(owner.step(start), engine_action::kind::load));
    UNSIGNED_LONGS_EQUAL(0, owner.step(start).size());
}

TEST(EngineOwner, StartsAFullBatchOnceTheAdapterIsLoaded)
{
    for (work_id id = 1; id <= 3; ++id) {
        owner.enqueue(work(id, a), start);
    }
    make_resident(a);
    UNSIGNED_LONGS_EQUAL(2, count(owner.step(start), engine_action::kind::start));
    owner.finish(1, true, start);
    UNSIGNED_LONGS_EQUAL(1, count(owner.step(start), engine_action::kind::start));
}

TEST(EngineOwner, EvictsOnlyWhenNothingRunsOnTheVictim)
{
    owner.enqueue(work(1, a), start);
    make_resident(a);
    owner.step(start);
    owner.enqueue(work(2, b), start);
    UNSIGNED_LONGS_EQUAL(0, owner.step(start).size());
    owner.finish(1, true, start);
    UNSIGNED_LONGS_EQUAL(1, count(owner.step(start), engine_action::kind::request_permit));
    owner.on_permit_granted(8, start);
    UNSIGNED_LONGS_EQUAL(1, count(owner.step(start), engine_action::kind::unload));
    owner.on_unload_finished(a, true, start);
    UNSIGNED_LONGS_EQUAL(1, count(owner.step(start), engine_action::kind::load));
}

TEST(EngineOwner, RefusesWaitingRequestsAfterRepeatedFailedLoads)
{
    owner.enqueue(work(1, a), start);
    auto now = start;
    for (int attempt = 0; attempt < 2; ++attempt) {
        owner.step(now);
        owner.on_permit_granted(7, now);
        owner.step(now);
        owner.on_load_finished(a, false, now);
        now += seconds{1};
    }
    const auto refused = owner.step(now);
    UNSIGNED_LONGS_EQUAL(1, count(refused, engine_action::kind::refuse));
    CHECK_TRUE(refused.front().refusal_reason == core::reason::load_failed);
}

TEST(EngineOwner, RefusesARequestThatCannotMeetItsDeadline)
{
    owner.enqueue(work(100, a), start);
    make_resident(a);
    for (work_id id = 1; id <= 40; ++id) {
        owner.enqueue(work(id, a), start);
    }
    auto hurried = work(99, a);
    hurried.deadline = start + seconds{2};
    const auto refused = owner.enqueue(hurried, start);
    CHECK_TRUE(refused == core::reason::deadline_unreachable);
}

TEST(EngineOwner, ReturnsAPermitThatIsNoLongerNeeded)
{
    owner.enqueue(work(1, a), start);
    owner.step(start);
    CHECK_TRUE(owner.cancel_waiting(1));
    owner.on_permit_granted(7, start);
    UNSIGNED_LONGS_EQUAL(1, count(owner.step(start), engine_action::kind::return_permit));
}
