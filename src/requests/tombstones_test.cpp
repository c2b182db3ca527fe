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
    tombstones fates{std::chrono::minutes{10}};
};

TEST(Tombstones, NeverTakesBackThatAnAttemptStarted)
{
    fates.set(key, attempt_fate::started, start);
    fates.set(key, attempt_fate::abandoned, start);
    CHECK_TRUE(fates.of(key) == attempt_fate::started);
}

TEST(Tombstones, KeepsAttemptsApart)
{
    fates.set(key, attempt_fate::abandoned, start);
    CHECK_TRUE(fates.of({"request", 2}) == attempt_fate::unseen);
}

TEST(Tombstones, OutlastsAnyLateCopy)
{
    fates.set(key, attempt_fate::abandoned, start);
    fates.forget_old(start + std::chrono::minutes{9});
    CHECK_TRUE(fates.of(key) == attempt_fate::abandoned);
    fates.forget_old(start + std::chrono::minutes{11});
    CHECK_TRUE(fates.of(key) == attempt_fate::unseen);
}
