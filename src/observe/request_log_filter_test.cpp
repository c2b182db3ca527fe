#include "siskindrift/observe/request_log_filter.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift::observe;

TEST_GROUP(RequestLogFilter)
{
    request_log_filter filter;

    void line(const std::string& second, const std::string& vm, const std::string& rest)
    {
        filter.read_line("   1.5 " + vm + R"( {"time":"2026-12-04T10:00:)" + second +
                         R"(Z","level":"info","process":"gateway","vm":")" + vm + "\"," + rest +
                         "}");
    }

    std::string events(const std::string& request) const
    {
        std::string all;
        for (const auto& item : filter.lines_for_request(request)) {
            all += (all.empty() ? "" : " ") + item.event;
        }
        return all;
    }
};

TEST(RequestLogFilter, SortsTheLinesOfOneRequestByTime)
{
    line("02.000", "g1", R"("event":"request_ended","request":"r1","age_ms":900)");
    line("01.500", "g1", R"("event":"attempt_failed","request":"r1","age_ms":400)");
    line("01.600", "g1", R"("event":"attempt_failed","request":"r2","age_ms":10)");
    STRCMP_EQUAL("attempt_failed request_ended", events("r1").c_str());
}

TEST(RequestLogFilter, AddsOrdersForTheAdapterWhileTheRequestWasOpen)
{
    line("01.000", "c1", R"("event":"order","adapter":"a7","status":202)");
    line("05.500", "c1", R"("event":"order","adapter":"a7","status":409)");
    line("05.500", "c1", R"("event":"order","adapter":"a8","status":202)");
    line("06.000", "g1", R"("event":"request_ended","request":"r1","adapter":"a7","age_ms":900)");
    STRCMP_EQUAL("order request_ended", events("r1").c_str());
}

TEST(RequestLogFilter, AddsPlacesInUseForARequestWithAnAdapter)
{
    line("05.500", "c1", R"("event":"adapters_wanted","places":64,"in_use":60)");
    line("06.000", "g1", R"("event":"request_ended","request":"r1","adapter":"a7","age_ms":900)");
    line("06.000", "g1", R"("event":"request_ended","request":"r2","adapter":"","age_ms":900)");
    STRCMP_EQUAL("adapters_wanted request_ended", events("r1").c_str());
    STRCMP_EQUAL("request_ended", events("r2").c_str());
}

TEST(RequestLogFilter, AddsStateChangesOfTheGateway)
{
    line("05.500", "g1", R"("event":"coordinator_lost")");
    line("05.500", "g2", R"("event":"coordinator_lost")");
    line("06.000", "g1", R"("event":"request_ended","request":"r1","age_ms":900)");
    STRCMP_EQUAL("coordinator_lost request_ended", events("r1").c_str());
}

TEST(RequestLogFilter, CountsUnreadableAndDroppedLines)
{
    filter.read_line("not a line");
    filter.read_line(R"({"time":"yesterday","event":"x"})");
    line("01.000", "g1", R"("event":"log_lines_left_out","routine":5,"failure":2,"belief":0)");
    UNSIGNED_LONGS_EQUAL(2, filter.unreadable());
    UNSIGNED_LONGS_EQUAL(7, filter.dropped_lines());
    STRCMP_EQUAL("", events("r1").c_str());
}

TEST(RequestLogFilter, FormatsALineWithItsFields)
{
    line("06.000", "g1", R"("event":"request_ended","request":"r1","status":503)");
    STRCMP_EQUAL("2026-12-04T10:00:06.000Z  g1  request_ended  request=r1  status=503",
                 to_text(filter.lines_for_request("r1").at(0)).c_str());
}
