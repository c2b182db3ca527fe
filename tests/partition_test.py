"""Tests that a gateway that has lost the upstreams goes on serving through other gateways."""

import asyncio
import collections
import os
import random
import shutil
import tempfile
import time
import unittest

from platform_fixture import (MODEL, Connection, PlatformFixture, call_once, check_answer,
                              event_numbers, request_headers)

GATEWAYS = 5
PLAIN = 3
ENGINES = 3
EVENTS = 9
PER_S = 8.0           # requests at each gateway
NOTICE_S = 3.0        # time from the begin of a cut until its gateways must serve again
CUT_S = 7.0
MIN_SERVED_SHARE = 0.9  # of what the gateways that aren't cut off serve
DIRECT_AGAIN_S = 2.0  # time from the end of a cut until requests go directly again
CLOSE_S = 0.5         # time from a caller's leaving until its upstream's connection is closed
PATHS = ("/safe/x", "/unsafe/x", "/stream/x")


class PartitionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.folder = tempfile.mkdtemp(prefix="partition-test-")
        self.platform = PlatformFixture(self.folder, seed=35, gateways=GATEWAYS, plain=PLAIN,
                                        engines=ENGINES)
        self.random = random.Random(35)
        self.next_id = 0
        self.answers = []  # (time, gateway, path, request id, answer)
        try:
            await self.platform.start_all()
            await asyncio.sleep(1.0)  # until the base models are loaded
        except BaseException:
            await self.asyncTearDown()
            raise

    async def asyncTearDown(self):
        self.platform.finished = True
        self.platform.stop_all()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder)

    def headers(self, path, deadline_s):
        self.next_id += 1
        request_id = f"{self.next_id:016x}"
        headers = request_headers(request_id, deadline_s)
        if path.startswith("/stream/"):
            headers["X-Siskindrift-Model"] = MODEL
            headers["X-Siskindrift-Token-Count"] = f"100,{EVENTS}"
        return request_id, headers

    async def send(self, gateway, path, connection):
        request_id, headers = self.headers(path, 4.0)
        begun = time.monotonic()
        answer = await connection.call("POST", path, headers, limit=4.5)
        self.answers.append((begun, gateway, path, request_id, answer))

    async def call(self, gateway):
        """Sends requests, half of them over one kept connection."""
        kept = Connection(self.platform.caller_address(gateway))
        kept_call = None
        pending = []
        while self.calling:
            path = self.random.choice(PATHS)
            if self.random.random() < 0.5 and (kept_call is None or kept_call.done()):
                kept_call = asyncio.create_task(self.send(gateway, path, kept))
                pending.append(kept_call)
            else:
                fresh = Connection(self.platform.caller_address(gateway))
                pending.append(asyncio.create_task(self.send(gateway, path, fresh)))
            await asyncio.sleep(self.random.expovariate(PER_S))
        await asyncio.gather(*pending)

    def start_callers(self):
        self.calling = True
        self.callers = [asyncio.create_task(self.call(i)) for i in range(GATEWAYS)]

    async def stop_callers(self):
        # Upstreams go on to announce themselves.
        self.calling = False
        await asyncio.gather(*self.callers)

    def block(self, gateways, old, upstreams=None):
        addresses = [self.platform.source_address(i) for i in gateways]
        for upstream in upstreams or self.platform.upstreams:
            upstream.link.block(addresses, old)

    def unblock(self):
        for upstream in self.platform.upstreams:
            upstream.link.unblock()

    async def relayed(self, gateways):
        total = 0.0
        for i in gateways:
            metrics = (await call_once(self.platform.metrics_address(i), "GET", "/metrics",
                                       limit=1)).body
            for line in metrics.decode().splitlines():
                if line.startswith("siskindrift_requests_relayed_total "):
                    total += float(line.split()[1])
        return total

    def served_share(self, gateways, begin, end):
        sent = [answer for at, gateway, _, _, answer in self.answers
                if gateway in gateways and begin <= at < end]
        return sum(answer.status == 200 and answer.whole for answer in sent) / max(len(sent), 1)

    def check_all(self):
        for _, _, path, request_id, answer in self.answers:
            check_answer(self.platform, request_id, path, answer, events=EVENTS)
        self.assertEqual([], self.platform.violations)

    async def cut_and_check(self, gateways, old):
        others = [i for i in range(GATEWAYS) if i not in gateways]
        begin = time.monotonic() + NOTICE_S
        self.block(gateways, old)
        await asyncio.sleep(CUT_S)
        end = time.monotonic()
        self.unblock()
        await asyncio.sleep(DIRECT_AGAIN_S)
        relayed = await self.relayed(gateways)
        await asyncio.sleep(1.0)
        self.assertEqual(relayed, await self.relayed(gateways), "not direct again")
        cut, whole = (self.served_share(which, begin, end) for which in (gateways, others))
        self.assertGreaterEqual(cut, MIN_SERVED_SHARE * whole,
                                f"{old}: {cut:.2f} served there, {whole:.2f} at the others: "
                                + str(collections.Counter(
                                    (path, answer.status, answer.body[:60])
                                    for at, gateway, path, _, answer in self.answers
                                    if gateway in gateways and begin <= at < end)))

    async def test_callers_of_gateways_cut_off_from_all_upstreams_are_served(self):
        self.start_callers()
        await asyncio.sleep(1.0)
        await self.cut_and_check([0, 1], "silent")
        await self.cut_and_check([2], "reset")
        await self.cut_and_check([0, 1, 2, 3], "live")
        await self.stop_callers()
        self.check_all()

    async def test_a_gateway_cut_off_from_one_service_serves_it_through_others(self):
        self.start_callers()
        await asyncio.sleep(1.0)
        begin = time.monotonic() + NOTICE_S
        self.block([0], "silent", self.platform.upstreams[:PLAIN])
        await asyncio.sleep(CUT_S)
        share = self.served_share([0], begin, time.monotonic())
        await self.stop_callers()
        self.assertGreaterEqual(share, MIN_SERVED_SHARE)
        self.check_all()

    async def test_a_second_of_silence_ends_no_answer_and_moves_no_traffic(self):
        self.platform.upstreams[PLAIN].event_pause_s = 0.2
        self.start_callers()
        await asyncio.sleep(1.0)
        everybody = [self.platform.source_address(i) for i in range(GATEWAYS)]
        for _ in range(3):
            for upstream in self.platform.upstreams[::PLAIN]:
                upstream.link.block(everybody)
                upstream.link.held = True
            await asyncio.sleep(1.2)
            self.unblock()
            for upstream in self.platform.upstreams:
                upstream.link.held = False
            await asyncio.sleep(1.5)
        relayed = await self.relayed(range(GATEWAYS))
        await self.stop_callers()
        self.check_all()
        self.assertEqual(0, relayed)
        failed = [(path, answer.status) for _, _, path, _, answer in self.answers
                  if answer.status != 200 or not answer.whole]
        self.assertEqual([], failed)

    async def test_a_caller_that_leaves_ends_its_request_through_both_gateways(self):
        self.start_callers()
        await asyncio.sleep(1.0)
        self.block([0], "silent")
        await asyncio.sleep(NOTICE_S)
        await self.stop_callers()
        for upstream in self.platform.upstreams[PLAIN:]:
            upstream.event_pause_s = 0.5
        request_id, headers = self.headers("/stream/x", 10.0)
        connection = Connection(self.platform.caller_address(0))
        begun = asyncio.Event()
        call = asyncio.create_task(connection.call(
            "POST", "/stream/x", headers, limit=10.0,
            on_bytes=lambda body: begun.set() if event_numbers(body) else None))
        await asyncio.wait_for(begun.wait(), 5.0)
        running = sum(upstream.running for upstream in self.platform.upstreams)
        call.cancel()
        connection.close()
        await asyncio.gather(call, return_exceptions=True)
        await asyncio.sleep(CLOSE_S)
        left = [u.name for u in self.platform.upstreams if request_id in u.left_requests]
        self.assertEqual(1, running)
        self.assertEqual(1, len(left))


if __name__ == "__main__":
    unittest.main(verbosity=2)
