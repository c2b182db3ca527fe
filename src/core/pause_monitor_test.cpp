#include "siskindrift/core/pause_monitor.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift::core;

TEST_GROUP(PauseMonitor)
{
    manual_clock clock;
    pause_monitor monitor;

    bool observe_after(int ms)
    {
        clock.advance(milliseconds{ms});
        return monitor.observe(clock.now());
    }
};

TEST(PauseMonitor, IsSettledWhileTheProcessRuns)
{
    clock.advance(milliseconds{100'000});
    for (int i = 0; i < 10; ++i) {
        CHECK_FALSE(observe_after(500));
        CHECK_TRUE(monitor.settled(clock.now()));
    }
}

TEST(PauseMonitor, IsNotSettledUntilSomeTimeAfterAPause)
{
    observe_after(0);
    CHECK_TRUE(observe_after(3000));
    CHECK_FALSE(monitor.settled(clock.now()));
    observe_after(500);
    CHECK_FALSE(monitor.settled(clock.now()));
    observe_after(500);
    observe_after(500);
    CHECK_TRUE(monitor.settled(clock.now()));
}
