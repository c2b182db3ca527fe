"""Tests that the retries of all gateways together stay within the budget that they share."""

import asyncio
import bisect
import os
import shutil
import signal
import tempfile
import time
import unittest

from platform_fixture import (Connection, PlatformFixture, RETRY_EXTRA, RETRY_RATIO, RETRY_WINDOW_S,
                              request_headers)

GATEWAYS = 4
REQUESTS_PER_S = 10.0  # at each gateway
START_S = 13.0         # time until gateways that started together use their shares
MIN_USED_SHARE = 0.8   # of the retries that are allowed
DETECT_S = 2.0         # time until a gateway notices that its coordinators are silent
SERVICE = "desk"


def count_between(times, begin, end):
    return bisect.bisect_right(times, end) - bisect.bisect_left(times, begin)


def find_retries(arrivals, counted_service=SERVICE):
    """Returns the times of the arrivals beyond the first of each request."""
    seen = set()
    retry_times = []
    for at, service, request_id in sorted(arrivals):
        if service == counted_service:
            if request_id in seen:
                retry_times.append(at)
            seen.add(request_id)
    return retry_times


def excess_retries(request_times, arrivals, service=SERVICE):
    """Returns the largest excess over the budget in any window, and where that window begins.

    A window's requests are those in it, in the window before or half a window before, whichever
    is most.
    """
    retry_times = find_retries(arrivals, service)
    request_times = sorted(request_times)
    worst = (-RETRY_EXTRA, 0.0)
    for begin in retry_times:
        retries = count_between(retry_times, begin, begin + RETRY_WINDOW_S)
        requests = max(count_between(request_times, begin - shift, begin - shift + RETRY_WINDOW_S)
                       for shift in (0.0, RETRY_WINDOW_S / 2, RETRY_WINDOW_S))
        worst = max(worst, (retries - RETRY_RATIO * requests - RETRY_EXTRA, begin))
    return worst


class RetryBudgetTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.folder = tempfile.mkdtemp(prefix="retry-budget-test-")
        # Gateways use upstreams that they haven't heard of for long, so that they can be cut off.
        self.platform = PlatformFixture(self.folder, seed=28, gateways=GATEWAYS, engines=0,
                                        gateway_settings={"announcement_ms": 20_000})
        self.request_times = []
        try:
            await self.platform.start_all()
        except BaseException:
            await self.asyncTearDown()
            raise
        self.begun = time.monotonic()
        self.callers = [asyncio.create_task(self.call_gateway(i)) for i in range(GATEWAYS)]

    async def asyncTearDown(self):
        self.platform.finished = True
        self.platform.stop_all()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder)

    async def call_gateway(self, gateway):
        connection = Connection(self.platform.caller_address(gateway))
        number = 0
        while not self.platform.finished:
            number += 1
            self.request_times.append(time.monotonic())
            await connection.call("POST", "/safe/x", request_headers(
                f"{gateway:04x}{number:012x}", 1.0), limit=1.0)
            await asyncio.sleep(1 / REQUESTS_PER_S)

    def refuse_requests(self):
        for upstream in self.platform.upstreams:
            upstream.refusing = True

    async def check_budget(self):
        self.platform.finished = True
        await asyncio.gather(*self.callers)
        excess, begin = excess_retries(self.request_times, self.platform.arrivals)
        self.assertLessEqual(excess, 0, f"in the window from {begin - self.begun:.1f} s")

    async def test_gateways_of_a_calm_fleet_use_what_is_allowed(self):
        await asyncio.sleep(START_S)
        self.refuse_requests()
        begin = time.monotonic()
        await asyncio.sleep(RETRY_WINDOW_S)
        retries = sum(at >= begin for at in find_retries(self.platform.arrivals))
        requests = sum(at >= begin for at in self.request_times)
        allowed = RETRY_RATIO * requests + RETRY_EXTRA
        print(f"{retries} of {allowed:.0f} allowed retries used")
        self.assertGreaterEqual(retries, MIN_USED_SHARE * allowed)
        await self.check_budget()

    async def test_gateways_without_coordinators_share_the_budget(self):
        await asyncio.sleep(START_S)
        for name in self.platform.coordinators:
            self.platform.signal(name, signal.SIGSTOP)
        await asyncio.sleep(DETECT_S)
        self.refuse_requests()
        await asyncio.sleep(RETRY_WINDOW_S + 1)
        await self.check_budget()

    async def test_restarted_gateways_share_the_budget_with_their_predecessors(self):
        await asyncio.sleep(START_S)
        self.refuse_requests()
        for _ in range(4):
            await asyncio.sleep(2.5)
            for name in self.platform.gateways:
                self.platform.signal(name, signal.SIGKILL)
                await self.platform.wait_for_exit(name, 5)
                self.platform.start(name)
        await asyncio.sleep(2.5)
        await self.check_budget()

    async def test_gateways_share_the_budget_while_coordinators_restart(self):
        await asyncio.sleep(START_S)
        self.refuse_requests()
        await asyncio.sleep(RETRY_WINDOW_S / 2)
        for _ in range(3):
            for name in self.platform.coordinators:
                self.platform.signal(name, signal.SIGKILL)
                await self.platform.wait_for_exit(name, 5)
            await asyncio.sleep(1.0)
            for name in self.platform.coordinators:
                self.platform.start(name)
            await asyncio.sleep(1.0)
        await asyncio.sleep(2.0)
        await self.check_budget()


if __name__ == "__main__":
    unittest.main(verbosity=2)
