#include "siskindrift/core/idempotency_key.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift::core;

TEST_GROUP(IdempotencyKey){};

TEST(IdempotencyKey, RoundTripsTheCreationTime)
{
    const auto key = make_idempotency_key(1'764'800'000'123, 0xABCDEF, 0x123456789ABC);
    CHECK_TRUE(key_time_ms(key).has_value());
    UNSIGNED_LONGS_EQUAL(1'764'800'000'123, *key_time_ms(key));
}

TEST(IdempotencyKey, RejectsOtherVersionsLengthsAndDigits)
{
    CHECK_FALSE(key_time_ms("").has_value());
    CHECK_FALSE(key_time_ms("0193b2c0-0000-4000-8000-000000000000").has_value());
    CHECK_FALSE(key_time_ms("0193b2c0-0000-7000-8000-00000000000").has_value());
    CHECK_FALSE(key_time_ms("0193b2c0-0000-7000-8000-00000000000g").has_value());
    CHECK_FALSE(key_time_ms("0193b2c0x0000-7000-8000-000000000000").has_value());
    CHECK_FALSE(key_time_ms("0193b2c0-0000-7000-4000-000000000000").has_value());
}
