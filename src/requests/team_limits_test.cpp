#include "siskindrift/requests/team_limits.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::requests;

namespace {

constexpr core::time_point start{std::chrono::seconds{100}};
const core::team_id team{"team"};

} // namespace

TEST_GROUP(TeamLimits)
{
    team_limits limits;
    config::team_config config;
};

TEST(TeamLimits, RejectsRequestsAboveTheRate)
{
    config.requests_per_second = 10;
    int admitted = 0;
    for (int i = 0; i < 50; ++i) {
        admitted += limits.admit(team, config, 1, start) ? 0 : 1;
    }
    LONGS_EQUAL(10, admitted);
    CHECK_FALSE(limits.admit(team, config, 1, start + std::chrono::seconds{1}).has_value());
}

TEST(TeamLimits, RejectsRequestsAboveTheConcurrencyLimit)
{
    config.max_concurrent = 2;
    config.max_queued = 1;
    for (int i = 0; i < 3; ++i) {
        CHECK_FALSE(limits.admit(team, config, 1, start).has_value());
    }
    CHECK_TRUE(limits.admit(team, config, 1, start) == core::reason::team_concurrency_limit);
    limits.release(team);
    CHECK_FALSE(limits.admit(team, config, 1, start).has_value());
}

TEST(TeamLimits, LimitsRetriesToARatioOfNewRequests)
{
    retry_budget budget{0.2, 5.0};
    int retries = 0;
    for (int fresh = 0; fresh < 1000; ++fresh) {
        budget.on_first_attempt();
        retries += budget.try_take() ? 1 : 0;
    }
    CHECK_TRUE(retries <= 205);
    CHECK_TRUE(retries >= 195);
}
