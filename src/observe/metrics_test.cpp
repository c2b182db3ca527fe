#include "siskindrift/observe/metrics.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::observe;

TEST_GROUP(Metrics){};

TEST(Metrics, ExposesACounterForEveryReason)
{
    metrics counted;
    counted.count_reason(core::reason::queue_full);
    const auto text = counted.expose();
    for (std::size_t i = 1; i < core::reason_count; ++i) {
        const auto name =
            "reason=\"" + std::string{core::to_string(static_cast<core::reason>(i))} + "\"";
        CHECK_TRUE_TEXT(text.find(name) != std::string::npos, name.c_str());
    }
    CHECK_TRUE(text.find("reason=\"queue_full\"} 1") != std::string::npos);
}

TEST(Metrics, ReturnsQuantilesWithinOneBin)
{
    latency_histogram histogram;
    for (int i = 1; i <= 1000; ++i) {
        histogram.record(i);
    }
    DOUBLES_EQUAL(500.0, histogram.quantile(0.5), 160.0);
    DOUBLES_EQUAL(990.0, histogram.quantile(0.99), 300.0);
}
