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
    session_table book{session_options{}};
};

TEST(SessionTable, WaitsLongerThanTheHolderMayBelieve)
{
    const session_options terms;
    CHECK_TRUE(terms.expiry_delay() > terms.ttl * (1.0 + terms.clock_drift));
    book.start("vm", 1, start);
    CHECK_TRUE(book.take_expired(start + terms.ttl).empty());
    UNSIGNED_LONGS_EQUAL(1,
                         book.take_expired(start + terms.expiry_delay() + milliseconds{1}).size());
}

TEST(SessionTable, RefusesToRenewASessionThatIsBeingEnded)
{
    book.start("vm", 1, start);
    book.take_expired(start + std::chrono::seconds{10});
    CHECK_FALSE(book.renew("vm", 1, start + std::chrono::seconds{10}));
}

TEST(SessionTable, RefusesAnotherIncarnation)
{
    book.start("vm", 1, start);
    CHECK_FALSE(book.renew("vm", 2, start));
}

TEST(SessionTable, CountsEveryKnownVmAsRenewedWhenATermBegins)
{
    wire::vm_info_t info;
    info.vm = "vm";
    info.incarnation = 4;
    book.begin_term({{"vm", info}}, start);
    CHECK_TRUE(book.take_expired(start + milliseconds{2900}).empty());
    CHECK_TRUE(book.renew("vm", 4, start + milliseconds{2900}));
}
