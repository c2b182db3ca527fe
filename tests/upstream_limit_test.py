"""Tests that all gateways together send no more requests to an upstream than the limit it names."""

import asyncio
import bisect
import os
import random
import shutil
import signal
import tempfile
import time
import unittest

from platform_fixture import Connection, PlatformFixture, request_headers

GATEWAYS = 4
LIMITED = 2            # upstreams that name a limit; two more don't
LIMIT = 2.0            # requests a second of each limited upstream
PER_S = 8.0            # requests at each gateway
LEARNING_S = 3.0       # time from the first answer with a limit until it must be kept
WINDOW_S = 4.0
SLACK_RATIO = 1.5      # over the limit in any window
SLACK_REQUESTS = 5     # in addition
MIN_USED_SHARE = 0.9   # of the limit
TIMEOUT_S = 4.0        # of the route
SERVED_AT_ONCE_S = 0.3
STANDSTILL_S = 14.0
BACK_S = 6.0           # time in which an upstream that runs again is used again


def most_in_window(times):
    times = sorted(times)
    return max((bisect.bisect_right(times, at + WINDOW_S) - i for i, at in enumerate(times)),
               default=0)


class UpstreamLimitTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.folder = tempfile.mkdtemp(prefix="upstream-limit-test-")
        # Gateways use upstreams that they haven't heard of for long, also without coordinators.
        self.platform = PlatformFixture(self.folder, seed=31, gateways=GATEWAYS, engines=0, plain=4,
                                        gateway_settings={"announcement_ms": 20_000})
        self.random = random.Random(31)
        self.answers = []  # (time, answer)
        self.next_id = 0
        try:
            await self.platform.start_all()
        except BaseException:
            await self.asyncTearDown()
            raise

    async def asyncTearDown(self):
        self.platform.finished = True
        self.platform.stop_all()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder)

    async def send_request(self, gateway):
        self.next_id += 1
        begun = time.monotonic()
        connection = Connection(self.platform.caller_address(gateway))
        headers = request_headers(f"{self.next_id:016x}", TIMEOUT_S)
        answer = await connection.call("GET", "/safe/x", headers, limit=TIMEOUT_S + 0.5)
        connection.close()
        self.answers.append((begun, answer))

    async def call(self, gateway):
        pending = []
        while not self.platform.finished:
            pending.append(asyncio.create_task(self.send_request(gateway)))
            await asyncio.sleep(self.random.expovariate(PER_S))
        await asyncio.gather(*pending)

    def start_callers(self):
        self.callers = [asyncio.create_task(self.call(i)) for i in range(GATEWAYS)]

    async def stop_callers(self):
        self.platform.finished = True
        await asyncio.gather(*self.callers)

    def name_limits(self, upstreams):
        for upstream in upstreams:
            upstream.limit = LIMIT
        return time.monotonic() + LEARNING_S

    def arrivals_at(self, upstream, begin):
        return [at for at, name in self.platform.arrivals_by_upstream
                if name == upstream.name and at >= begin]

    def check_limits(self, upstreams, begin, min_used=None):
        for upstream in upstreams:
            times = self.arrivals_at(upstream, begin)
            self.assertLessEqual(most_in_window(times),
                                 LIMIT * WINDOW_S * SLACK_RATIO + SLACK_REQUESTS, upstream.name)
            if min_used:
                used = len(times) / (LIMIT * (time.monotonic() - begin))
                self.assertGreaterEqual(used, min_used, upstream.name)

    async def test_gateways_keep_to_the_limits_together_and_use_them(self):
        self.start_callers()
        await asyncio.sleep(1.0)
        limited = self.platform.upstreams[:LIMITED]
        begin = self.name_limits(limited)
        await asyncio.sleep(LEARNING_S + 10.0)
        self.check_limits(limited, begin, MIN_USED_SHARE)
        await self.stop_callers()
        at_once = [answer.status == 200 and answer.seconds < SERVED_AT_ONCE_S
                   for at, answer in self.answers if at >= begin]
        self.assertGreater(sum(at_once) / len(at_once), 0.99)

    async def test_an_upstream_that_stood_still_gets_no_more_than_its_limit_at_once(self):
        self.start_callers()
        await asyncio.sleep(1.0)
        limited = self.platform.upstreams[:LIMITED]
        begin = self.name_limits(limited)
        await asyncio.sleep(LEARNING_S + WINDOW_S)
        for _ in range(2):
            for upstream in limited:
                upstream.frozen = True
            await asyncio.sleep(STANDSTILL_S)
            for upstream in limited:
                upstream.frozen = False
            await asyncio.sleep(BACK_S)
            for upstream in limited:
                self.assertTrue(self.arrivals_at(upstream, time.monotonic() - BACK_S / 2))
        self.check_limits(limited, begin)
        await self.stop_callers()

    async def test_requests_beyond_all_limits_are_refused_at_once(self):
        self.start_callers()
        await asyncio.sleep(1.0)
        begin = self.name_limits(self.platform.upstreams)
        await asyncio.sleep(LEARNING_S + 8.0)
        self.check_limits(self.platform.upstreams, begin, MIN_USED_SHARE)
        for name in self.platform.coordinators:
            self.platform.signal(name, signal.SIGSTOP)
        await asyncio.sleep(4.0)
        for name in self.platform.coordinators:
            self.platform.signal(name, signal.SIGCONT)
        await asyncio.sleep(2.0)
        self.check_limits(self.platform.upstreams, begin)
        await self.stop_callers()
        refused = [answer for at, answer in self.answers if at >= begin and answer.status != 200]
        self.assertTrue(refused)
        for answer in refused:
            self.assertEqual(503, answer.status)
            self.assertIn(b"upstream_limit", answer.body)
            self.assertGreater(float(answer.headers["retry-after"]), 0)
            self.assertLess(answer.seconds, SERVED_AT_ONCE_S)

    async def test_limits_hold_over_restarts_freezes_and_a_change_of_leader(self):
        self.start_callers()
        await asyncio.sleep(1.0)
        limited = self.platform.upstreams[:LIMITED]
        begin = self.name_limits(limited)
        await asyncio.sleep(LEARNING_S)
        platform = self.platform
        for round_number in range(3):
            for name in platform.gateways[:2] + [platform.coordinators[round_number]]:
                platform.signal(name, signal.SIGKILL)
                await platform.wait_for_exit(name, 5)
                platform.start(name)
            platform.signal(platform.gateways[2], signal.SIGSTOP)
            await asyncio.sleep(2.0)
            platform.signal(platform.gateways[2], signal.SIGCONT)
            await asyncio.sleep(1.0)
        for name in platform.gateways + platform.coordinators:
            platform.signal(name, signal.SIGKILL)
        for name in platform.coordinators + platform.gateways:
            await platform.wait_for_exit(name, 5)
            platform.start(name)
        await asyncio.sleep(5.0)
        self.check_limits(limited, begin)
        used = [len(self.arrivals_at(upstream, time.monotonic() - 3.0)) for upstream in limited]
        await self.stop_callers()
        self.assertGreater(min(used), 0)

    async def test_a_limit_ends_when_answers_name_none(self):
        self.start_callers()
        await asyncio.sleep(1.0)
        upstreams = self.platform.upstreams
        self.name_limits(upstreams)
        await asyncio.sleep(LEARNING_S + 1.0)
        for upstream in upstreams:
            upstream.limit = None
        await asyncio.sleep(2.0)
        begin = time.monotonic()
        await asyncio.sleep(3.0)
        await self.stop_callers()
        statuses = [answer.status for at, answer in self.answers if at >= begin]
        self.assertEqual({200}, set(statuses))


if __name__ == "__main__":
    unittest.main(verbosity=2)
