"""Tests that upstreams which fail when they reject too much get no more requests than places."""

import asyncio
import os
import random
import shutil
import signal
import tempfile
import time
import unittest

from platform_fixture import SLOTS, Connection, PlatformFixture, request_headers

GATEWAYS = 4
UPSTREAMS = 3
WORK_S = 0.3
REJECTION_LIMIT = 3      # named by the upstreams; they fail when they reject more in a second
LEARNING_S = 3.0         # time from the first answer that names it until it must be kept
MAX_FALLS = 2            # in all tests, also while it is learnt
MIN_USED_SHARE = 0.9     # of the places, while there is work for them
TIMEOUT_S = 4.0          # of the route


class RejectionLimitTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.folder = tempfile.mkdtemp(prefix="rejection-limit-test-")
        self.platform = PlatformFixture(self.folder, seed=36, gateways=GATEWAYS, engines=0,
                                        plain=UPSTREAMS)
        self.random = random.Random(36)
        self.answers = []  # (time, answer)
        self.used = []     # places in use at each look
        self.next_id = 0
        try:
            await self.platform.start_all()
            for upstream in self.platform.upstreams:
                upstream.work_s = WORK_S
        except BaseException:
            await self.asyncTearDown()
            raise

    async def asyncTearDown(self):
        self.platform.finished = True
        self.platform.stop_all()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder)

    async def send(self, gateway):
        self.next_id += 1
        begun = time.monotonic()
        connection = Connection(self.platform.caller_address(gateway))
        answer = await connection.call("GET", "/safe/x",
                                       request_headers(f"{self.next_id:016x}", TIMEOUT_S),
                                       limit=TIMEOUT_S + 0.5)
        connection.close()
        self.answers.append((begun, answer))

    async def call(self, gateway, per_s):
        pending = []
        while not self.platform.finished:
            pending.append(asyncio.create_task(self.send(gateway)))
            await asyncio.sleep(self.random.expovariate(per_s))
        await asyncio.gather(*pending)

    async def watch(self):
        while not self.platform.finished:
            self.used.append((time.monotonic(),
                              [upstream.running for upstream in self.platform.upstreams]))
            await asyncio.sleep(0.02)

    def start(self, load):
        """Callers that need `load` times the places of all upstreams, at all gateways."""
        per_s = load * UPSTREAMS * SLOTS / WORK_S / GATEWAYS
        self.callers = [asyncio.create_task(self.call(i, per_s)) for i in range(GATEWAYS)]
        self.callers.append(asyncio.create_task(self.watch()))

    async def stop(self):
        self.platform.finished = True
        await asyncio.gather(*self.callers)

    def name_limit(self, limit):
        for upstream in self.platform.upstreams:
            upstream.rejection_limit = limit

    async def learn(self):
        """Names the limit; later the upstreams take no request beyond their places."""
        await asyncio.sleep(1.0)
        self.name_limit(REJECTION_LIMIT)
        await asyncio.sleep(LEARNING_S)
        for upstream in self.platform.upstreams:
            upstream.queue = 0

    def falls(self):
        return sum(upstream.crashes for upstream in self.platform.upstreams)

    async def test_upstreams_do_not_fall_over_under_twice_their_load_and_are_used(self):
        self.start(2.0)
        await self.learn()
        begin = time.monotonic()
        await asyncio.sleep(6.0)
        end = time.monotonic()
        await self.stop()
        self.assertLessEqual(self.falls(), MAX_FALLS)
        used = [sum(running) for at, running in self.used if begin <= at < end]
        self.assertGreaterEqual(sum(used) / len(used), MIN_USED_SHARE * UPSTREAMS * SLOTS)
        refused = [answer for at, answer in self.answers
                   if begin <= at < end and answer.status != 200]
        self.assertTrue(refused)
        for answer in refused:
            self.assertEqual(503, answer.status, answer.body)
            self.assertGreater(float(answer.headers["retry-after"]), 0)

    async def test_places_hold_over_restarts_and_a_change_of_leader(self):
        self.start(1.5)
        await self.learn()
        platform = self.platform
        for round_number in range(3):
            for name in [platform.gateways[round_number], platform.coordinators[round_number]]:
                platform.signal(name, signal.SIGKILL)
                await platform.wait_for_exit(name, 5)
                platform.start(name)
            await asyncio.sleep(2.5)
        await self.stop()
        self.assertLessEqual(self.falls(), MAX_FALLS)

    async def test_the_division_ends_when_answers_name_no_limit(self):
        self.start(0.3)
        self.name_limit(REJECTION_LIMIT)
        await asyncio.sleep(LEARNING_S)
        self.name_limit(None)
        await asyncio.sleep(1.0)
        begin = time.monotonic()
        await asyncio.sleep(3.0)
        await self.stop()
        statuses = {answer.status for at, answer in self.answers if at >= begin}
        self.assertEqual({200}, statuses)
        self.assertEqual(0, self.falls())


if __name__ == "__main__":
    unittest.main(verbosity=2)
