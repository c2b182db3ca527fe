#include "siskindrift/core/connection_ledger.h"

#include <optional>

#include <CppUTest/TestHarness.h>

using namespace siskindrift::core;

namespace {

class closable final : public connection_holder {
public:
    void close_waiting() override { ++asked; }
    int asked = 0;
};

} // namespace

TEST_GROUP(ConnectionLedger)
{
    manual_clock time;
    connection_ledger ledger{4, time};
    closable first;
    closable second;
    closable third;
    std::optional<connection_slot> first_slot;
    std::optional<connection_slot> second_slot;
    std::optional<connection_slot> third_slot;

    void open_three()
    {
        first_slot.emplace(ledger, &first);
        second_slot.emplace(ledger, &second);
        third_slot.emplace(ledger, &third);
    }
};

TEST(ConnectionLedger, LeavesAQuarterToInternalConnections)
{
    open_three();
    CHECK_FALSE(ledger.admit(connection_kind::external));
    CHECK_TRUE(ledger.admit(connection_kind::internal));
    const connection_slot fourth{ledger, nullptr};
    CHECK_FALSE(ledger.admit(connection_kind::internal));
    UNSIGNED_LONGS_EQUAL(4, ledger.open());
}

TEST(ConnectionLedger, ClosesTheOneThatHasWaitedLongest)
{
    open_three();
    second_slot->begin_waiting();
    time.advance(milliseconds{1});
    first_slot->begin_waiting();
    time.advance(connection_ledger::patience);
    CHECK_TRUE(ledger.admit(connection_kind::external));
    LONGS_EQUAL(1, second.asked);
    LONGS_EQUAL(0, first.asked);
}

TEST(ConnectionLedger, ClosesThoseLastThatHaveReceivedAMessage)
{
    open_three();
    first_slot->begin_waiting();
    first_slot->end_waiting();
    first_slot->begin_waiting();
    time.advance(milliseconds{1});
    second_slot->begin_waiting();
    time.advance(connection_ledger::patience);
    CHECK_TRUE(ledger.admit(connection_kind::external));
    LONGS_EQUAL(1, second.asked);
    second_slot.reset();
    third_slot.reset();
    third_slot.emplace(ledger, &third);
    const connection_slot fourth{ledger, nullptr};
    CHECK_TRUE(ledger.admit(connection_kind::external));
    LONGS_EQUAL(1, first.asked);
}

TEST(ConnectionLedger, ClosesNoneThatIsBusyOrNew)
{
    open_three();
    first_slot->begin_waiting();
    first_slot->end_waiting();
    time.advance(connection_ledger::patience);
    second_slot->begin_waiting();
    CHECK_FALSE(ledger.admit(connection_kind::external));
    LONGS_EQUAL(0, first.asked + second.asked + third.asked);
}

TEST(ConnectionLedger, KeepsCountWhenAMessageComesBeforeTheConnectionCloses)
{
    open_three();
    first_slot->begin_waiting();
    time.advance(connection_ledger::patience);
    CHECK_TRUE(ledger.admit(connection_kind::external));
    first_slot->end_waiting();
    CHECK_FALSE(ledger.admit(connection_kind::external));
}
