#include "siskindrift/state/session_table.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::state;
using std::chrono::milliseconds;

namespace {

constexpr core::time_point start{std::chrono::seconds{100}};

} // namespace

TEST_GROUP(SessionTable)
{
    session_table sessions{session_options{}};
};

TEST(SessionTable, WaitsLongerThanTheHolderReliesOnTheSession)
{
    const session_options options;
    CHECK_TRUE(options.expiry_delay() > options.ttl * (1.0 + options.clock_drift));
    sessions.start("vm", 1, start);
    CHECK_TRUE(sessions.take_expired(start + options.ttl).empty());
    UNSIGNED_LONGS_EQUAL(
        1, sessions.take_expired(start + options.expiry_delay() + milliseconds{1}).size());
}

TEST(SessionTable, RefusesToRenewASessionThatIsBeingEnded)
{
    sessions.start("vm", 1, start);
    sessions.take_expired(start + std::chrono::seconds{10});
    CHECK_FALSE(sessions.renew("vm", 1, start + std::chrono::seconds{10}));
}

TEST(SessionTable, RefusesAnotherIncarnation)
{
    sessions.start("vm", 1, start);
    CHECK_FALSE(sessions.renew("vm", 2, start));
}

TEST(SessionTable, CountsEveryKnownVmAsRenewedWhenATermBegins)
{
    wire::vm_info_t info;
    info.vm = "vm";
    info.incarnation = 4;
    sessions.begin_term({{"vm", info}}, start);
    CHECK_TRUE(sessions.take_expired(start + milliseconds{2900}).empty());
    CHECK_TRUE(sessions.renew("vm", 4, start + milliseconds{2900}));
}
