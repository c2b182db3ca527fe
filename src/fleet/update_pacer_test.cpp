#include "siskindrift/fleet/update_pacer.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift::fleet;

TEST_GROUP(UpdatePacer)
{
    update_pacer pacer{1000};

    void expect(update_kind expected, std::uint64_t reader, std::size_t queued_bytes)
    {
        LONGS_EQUAL(static_cast<long>(expected),
                    static_cast<long>(pacer.next(reader, queued_bytes)));
    }
};

TEST(UpdatePacer, SendsDeltasToAReaderThatKeepsUp)
{
    expect(update_kind::delta, 1, 0);
    expect(update_kind::delta, 1, 1000);
}

TEST(UpdatePacer, SkipsAReaderWithTooMuchQueued)
{
    expect(update_kind::skip, 1, 1001);
    expect(update_kind::skip, 1, 5000);
    expect(update_kind::delta, 2, 0);
}

TEST(UpdatePacer, SendsAFullUpdateOnceToAReaderThatCatchesUp)
{
    expect(update_kind::skip, 1, 1001);
    CHECK_TRUE(pacer.has_lagging_readers());
    expect(update_kind::full, 1, 100);
    CHECK_FALSE(pacer.has_lagging_readers());
    expect(update_kind::delta, 1, 100);
}
