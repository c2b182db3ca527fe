#include "siskindrift/core/verdict.h"

#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace siskindrift::core;

TEST_GROUP(Verdict){};

TEST(Verdict, AlwaysAllowsARetryAfterNotRun)
{
    CHECK_TRUE(may_retry({verdict::not_run, reason::upstream_refused}, false));
    CHECK_TRUE(may_retry({verdict::not_run, reason::upstream_refused}, true));
}

TEST(Verdict, AllowsARetryAfterMayHaveRunOnlyWhenIdempotent)
{
    CHECK_FALSE(may_retry({verdict::may_have_run, reason::upstream_lost}, false));
    CHECK_TRUE(may_retry({verdict::may_have_run, reason::upstream_lost}, true));
}

TEST(Verdict, NeverAllowsARetryAfterRan)
{
    CHECK_FALSE(may_retry({verdict::ran, reason::none}, true));
}

TEST(Verdict, GivesEachReasonAUniqueText)
{
    std::set<std::string_view> names;
    for (std::size_t i = 0; i < reason_count; ++i) {
        names.insert(to_string(static_cast<reason>(i)));
    }
    UNSIGNED_LONGS_EQUAL(reason_count, names.size());
}

TEST(Verdict, RejectsUnknownWireValues)
{
    CHECK_FALSE(verdict_from(3).has_value());
    CHECK_TRUE(reason_from(60'000) == reason::none);
}
