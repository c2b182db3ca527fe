#include "siskindrift/gateway/event_splitter.h"

#include <CppUTest/TestHarness.h>

using siskindrift::gateway::event_splitter;

TEST_GROUP(EventSplitter)
{
    event_splitter splitter;
};

TEST(EventSplitter, BuffersAnEventUntilItIsComplete)
{
    STRCMP_EQUAL("", splitter.feed("id: 1\ndata: a").c_str());
    STRCMP_EQUAL("id: 1\ndata: ab\n\n", splitter.feed("b\n\nid: 2").c_str());
    STRCMP_EQUAL("1", splitter.last_event_id().c_str());
    CHECK_TRUE(splitter.inside_event());
}

TEST(EventSplitter, ReturnsSeveralEventsOfOneRead)
{
    const std::string events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    STRCMP_EQUAL(events.c_str(), splitter.feed(events).c_str());
    STRCMP_EQUAL("2", splitter.last_event_id().c_str());
    CHECK_FALSE(splitter.inside_event());
}

TEST(EventSplitter, HandlesABlankLineSplitBetweenReads)
{
    STRCMP_EQUAL("", splitter.feed("id: 7\r\ndata: a\r\n").c_str());
    STRCMP_EQUAL("id: 7\r\ndata: a\r\n\r\n", splitter.feed("\r\n").c_str());
    STRCMP_EQUAL("7", splitter.last_event_id().c_str());
}

TEST(EventSplitter, KnowsThatAStreamItDoesNotBufferEndsInsideAnEvent)
{
    splitter.follow("id: 1\ndata: a\n\nid: 2\nda");
    CHECK_FALSE(splitter.may_end(true));
    CHECK_FALSE(splitter.may_end(false));
    splitter.follow("ta: b\n\n");
    CHECK_TRUE(splitter.may_end(false));
}

TEST(EventSplitter, DiscardsAPartialEventThatIsSentAgain)
{
    splitter.feed("id: 1\n\nid: 2\nda");
    splitter.discard_partial_event();
    STRCMP_EQUAL("id: 2\ndata\n\n", splitter.feed("id: 2\ndata\n\n").c_str());
}
