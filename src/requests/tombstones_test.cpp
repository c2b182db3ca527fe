#include "siskindrift/requests/tombstones.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::requests;

namespace {

constexpr core::time_point start{std::chrono::seconds{100}};
const attempt_key key{"request", 1};

} // namespace

TEST_GROUP(Tombstones)
{
    tombstones states{std::chrono::minutes{10}};
};

// If `started` were replaced, the owner would report a running attempt as not run, and the ingress
// would run the request a second time.
TEST(Tombstones, NeverReplacesStarted)
{
    states.set(key, attempt_state::started, start);
    states.set(key, attempt_state::abandoned, start);
    CHECK_TRUE(states.state_of(key) == attempt_state::started);
}

TEST(Tombstones, TracksAttemptsSeparately)
{
    states.set(key, attempt_state::abandoned, start);
    CHECK_TRUE(states.state_of({"request", 2}) == attempt_state::unknown);
}

TEST(Tombstones, ExpiresAfterTheRetentionTime)
{
    states.set(key, attempt_state::abandoned, start);
    states.remove_expired(start + std::chrono::minutes{9});
    CHECK_TRUE(states.state_of(key) == attempt_state::abandoned);
    states.remove_expired(start + std::chrono::minutes{11});
    CHECK_TRUE(states.state_of(key) == attempt_state::unknown);
}
