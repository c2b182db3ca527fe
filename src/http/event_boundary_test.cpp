#include "siskindrift/http/event_boundary.h"

#include <CppUTest/TestHarness.h>

using siskindrift::http::event_boundary;

TEST_GROUP(EventBoundary)
{
    event_boundary boundary;

    void expect_end(std::size_t end, bool inside, const char* bytes)
    {
        UNSIGNED_LONGS_EQUAL_TEXT(end, boundary.feed(bytes), bytes);
        CHECK_EQUAL_TEXT(inside, boundary.inside_event(), bytes);
    }
};

TEST(EventBoundary, StandsInsideAnEventUntilItsBlankLine)
{
    CHECK_FALSE(boundary.inside_event());
    expect_end(0, true, "id: 1");
    expect_end(0, true, "\n");
    expect_end(0, true, "data: a\n");
    expect_end(1, false, "\n");
    expect_end(9, true, "data: b\n\ndata");
    UNSIGNED_LONGS_EQUAL(2, boundary.events());
}

TEST(EventBoundary, AcceptsEveryLineEndAlsoWhenItIsSplit)
{
    expect_end(13, false, "data: a\r\n\r\n\r\n");
    expect_end(9, false, "data: b\r\r");
    expect_end(0, true, "data: c\r");
    expect_end(0, true, "\n");
    expect_end(1, false, "\r");
    expect_end(1, false, "\n");
    expect_end(10, false, "data: d\n\r\n");
    UNSIGNED_LONGS_EQUAL(4, boundary.events());
}

TEST(EventBoundary, TakesAWholeCommentForNoEvent)
{
    expect_end(0, true, ": pi");
    expect_end(3, false, "ng\n");
    expect_end(0, true, "data: a\n: ping\n");
    expect_end(1, false, "\n");
    UNSIGNED_LONGS_EQUAL(1, boundary.events());
}

TEST(EventBoundary, MayEndOnlyOutsideOfAnEvent)
{
    CHECK_TRUE(boundary.may_end(true));
    boundary.feed("data: a\n\n");
    CHECK_TRUE(boundary.may_end(true));
    CHECK_TRUE(boundary.may_end(false));
    boundary.feed("data: b\n");
    CHECK_FALSE(boundary.may_end(true));
    CHECK_FALSE(boundary.may_end(false));
}

TEST(EventBoundary, MayNotEndWithAClosedConnectionBeforeTheFirstEvent)
{
    CHECK_FALSE(boundary.may_end(false));
    boundary.feed(": ping\n\n");
    CHECK_FALSE(boundary.may_end(false));
}

TEST(EventBoundary, RecognizesTheMediaTypeOfEvents)
{
    CHECK_TRUE(siskindrift::http::is_event_stream("text/event-stream"));
    CHECK_TRUE(siskindrift::http::is_event_stream("Text/Event-Stream ; charset=utf-8"));
    CHECK_FALSE(siskindrift::http::is_event_stream("application/json"));
    CHECK_FALSE(siskindrift::http::is_event_stream(""));
}

TEST(EventBoundary, StartsAgainOutsideOfAnEvent)
{
    expect_end(9, true, "data: a\n\ndata: b\r");
    boundary.reset();
    CHECK_FALSE(boundary.inside_event());
    CHECK_FALSE(boundary.may_end(false));
    expect_end(0, true, "data: a\n");
}
