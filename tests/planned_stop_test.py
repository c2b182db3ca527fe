"""Tests of planned stops: each request that a stopping gateway has read gets an answer or an honest
end before the process ends."""

import asyncio
import json
import os
import shutil
import signal
import sys
import tempfile
import time
import unittest

from platform_fixture import (Connection, GRACE_S, HOST, NOT_EXECUTED_STATUSES, PlatformFixture,
                              check_answer, read_head, render, request_headers)

ROUTE_S = 15.0         # time budget of each route, more than any grace here
ONE_LOOP_TURN_S = 0.5 # a request sent so long before the process ended was read
EVENTS = 9


class LongRoutes(PlatformFixture):
    def document(self, version):
        document = super().document(version)
        for route in document["Routes"]:
            route["TimeoutMs"] = int(ROUTE_S * 1000)
        return document


class PlannedStopTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, grace_s=GRACE_S):
        self.folder = tempfile.mkdtemp(prefix="planned-stop-")
        self.platform = LongRoutes(self.folder, seed=20261205, coordinators=1, gateways=1,
                                   gateway_settings={"stop_grace_s": grace_s})
        self.answers = []  # (sent at, path, request id, answer)
        self.calls = []
        await self.platform.start_all()

    async def asyncTearDown(self):
        self.platform.finished = True
        self.platform.stop_all()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder)

    async def call(self, path, connection=None, budget_s=ROUTE_S):
        request_id = f"{len(self.calls):016x}{len(self.answers):04x}{time.monotonic_ns() % 65536:04x}"
        adapter = "a1" if path.startswith(("/stream/", "/once/")) else ""
        sent_at = time.monotonic()
        connection = connection or Connection(self.platform.caller_address(0))
        answer = await connection.call("POST", path,
                                       request_headers(request_id, budget_s, adapter, EVENTS),
                                       limit=budget_s + 2)
        connection.close()
        check_answer(self.platform, request_id, path, answer, EVENTS)
        self.answers.append((sent_at, path, request_id, answer))
        return answer

    def begin(self, path, connection=None, budget_s=ROUTE_S):
        self.calls.append(asyncio.create_task(self.call(path, connection, budget_s)))

    async def stop(self, grace_s=GRACE_S):
        """Returns when the gateway has ended, and checks that this is before it would be killed."""
        self.stopped_at = time.monotonic()
        self.platform.signal("gateway-1", signal.SIGTERM)
        self.exit = asyncio.create_task(self.platform.wait_for_exit("gateway-1", grace_s))

    async def finish(self):
        self.assertEqual(0, await self.exit, "the gateway ends by itself within its grace")
        self.ended_at = time.monotonic()
        await asyncio.gather(*self.calls)

    def expect_no_silent_end(self):
        silent = []
        for sent_at, path, request_id, answer in self.answers:
            executed = request_id in self.platform.executions
            read = answer.sent and sent_at < self.ended_at - ONE_LOOP_TURN_S
            if answer.status == 0 and (executed or read):
                silent.append((round(sent_at - self.stopped_at, 2), path, executed))
        self.assertEqual([], sorted(silent), f"of {len(self.answers)} requests")
        self.assertEqual([], self.platform.violations)

    def answers_of(self, prefix, *statuses):
        return [answer for _, path, _, answer in self.answers
                if path.startswith(prefix) and answer.status in statuses]

    async def test_long_requests_of_a_stopping_gateway_are_not_cut_without_an_answer(self):
        await self.start()
        for number, upstream in enumerate(self.platform.upstreams):
            upstream.work_s = 5.0 + 1.5 * (number % 2)
        kept = [Connection(self.platform.caller_address(0)) for _ in range(10)]
        await asyncio.gather(*(connection.open() for connection in kept))
        for number in range(10):
            self.begin(("/safe/x", "/unsafe/x")[number % 2])
            await asyncio.sleep(0.1)
        await self.stop()
        for number in range(60):
            path = ("/safe/x", "/unsafe/x", "/once/x", "/stream/x")[number % 4]
            self.begin(path, kept.pop() if number % 6 == 1 else None)
            await asyncio.sleep(0.12)
        await self.finish()
        self.expect_no_silent_end()

    async def test_upstreams_are_told_no_more_time_than_the_grace_leaves(self):
        await self.start()
        await self.stop()
        await asyncio.sleep(0.3)  # a request that is read before the signal gets all of its time
        for _ in range(10):
            self.begin("/safe/x")
            await asyncio.sleep(0.2)
        await self.finish()
        self.expect_no_silent_end()
        late = [execution.time_left_s for executions in self.platform.executions.values()
                for execution in executions
                if execution.at + execution.time_left_s > self.stopped_at + GRACE_S - 0.5]
        self.assertTrue(self.platform.executions)
        self.assertEqual([], late)

    async def test_requests_that_cannot_end_in_time_and_may_not_be_repeated_are_refused_at_once(self):
        await self.start()
        await self.stop()
        await asyncio.sleep(0.3)
        refused = await self.call("/unsafe/x")
        served = await self.call("/unsafe/x", budget_s=3.0)
        await self.finish()
        self.assertEqual(503, refused.status)
        self.assertLess(refused.seconds, 0.5)
        self.assertIn("retry-after", refused.headers)
        self.assertEqual("close", refused.headers.get("connection", "").lower())
        self.assertEqual(200, served.status)
        self.expect_no_silent_end()

    async def test_requests_that_wait_for_a_load_are_refused_before_the_grace_ends(self):
        await self.start(grace_s=3)
        for upstream in self.platform.upstreams:
            upstream.apply_order = lambda order: 409
        for path in ("/once/x", "/stream/x"):
            self.begin(path)
        await asyncio.sleep(0.3)
        await self.stop(grace_s=3)
        await self.finish()
        self.expect_no_silent_end()
        self.assertEqual(2, len(self.answers_of("/", 503)))

    async def test_a_short_grace_ends_requests_honestly_also_after_a_second_signal(self):
        await self.start(grace_s=1)
        for upstream in self.platform.upstreams:
            upstream.work_s = 3.0
        for number in range(8):
            self.begin(("/safe/x", "/unsafe/x")[number % 2])
        await asyncio.sleep(0.3)
        await self.stop(grace_s=1)
        await asyncio.sleep(0.1)
        self.platform.signal("gateway-1", signal.SIGTERM)
        self.begin("/unsafe/x")
        await self.finish()
        self.expect_no_silent_end()
        self.assertEqual(4, len(self.answers_of("/unsafe/", 502, 504)))
        self.assertEqual(1, len(self.answers_of("/unsafe/", *NOT_EXECUTED_STATUSES)))

    async def test_a_grace_that_is_made_shorter_during_the_stop_ends_requests_honestly(self):
        await self.start()
        for upstream in self.platform.upstreams:
            upstream.work_s = 6.0
        for number in range(6):
            self.begin(("/safe/x", "/unsafe/x")[number % 2])
        await asyncio.sleep(0.3)
        await self.stop(grace_s=3)
        await asyncio.sleep(0.3)  # the kernel may deliver the later signal first
        self.platform.gateway_settings["stop_grace_s"] = 3
        settings = self.platform.folder / "gateway-1" / "settings.json"
        settings.write_text(json.dumps(self.platform.settings_for("gateway-1")))
        self.platform.signal("gateway-1", signal.SIGHUP)
        await self.finish()
        self.expect_no_silent_end()
        self.assertEqual(6, len(self.answers_of("/", 502, 504)))

    async def test_a_gateway_that_stood_still_past_its_end_answers_before_it_ends(self):
        await self.start(grace_s=3)
        for upstream in self.platform.upstreams:
            upstream.work_s = 5.0
        for number in range(6):
            self.begin(("/safe/x", "/unsafe/x")[number % 2])
        await asyncio.sleep(0.3)
        await self.stop(grace_s=3)
        await asyncio.sleep(0.3)
        self.platform.signal("gateway-1", signal.SIGSTOP)
        await asyncio.sleep(2.3)  # until after the gateway's own end, before it is killed
        self.platform.signal("gateway-1", signal.SIGCONT)
        await self.finish()
        self.expect_no_silent_end()
        self.assertEqual(6, len(self.answers_of("/", 502, 504)))

    async def test_half_sent_requests_are_refused_when_they_end_late_and_never_run_otherwise(self):
        await self.start(grace_s=3)
        ip, port = self.platform.caller_address(0).split(":")
        halves = []
        for request_id in ("half-1", "half-2"):
            reader, writer = await asyncio.open_connection(ip, int(port))
            headers = {"Host": HOST, **request_headers(request_id, ROUTE_S), "Content-Length": "10"}
            writer.write(render("POST /unsafe/x HTTP/1.1", headers, b"12345"))
            await writer.drain()
            halves.append((reader, writer))
        await self.stop(grace_s=3)
        await asyncio.sleep(1.6)
        halves[0][1].write(b"67890")
        line, headers = await read_head(halves[0][0])
        self.assertIn(" 503 ", line)
        self.assertIn("retry-after", headers)
        await self.finish()
        for _, writer in halves:
            writer.close()
        self.assertEqual({}, self.platform.executions)


if __name__ == "__main__":
    begun = time.monotonic()
    done = unittest.main(exit=False, verbosity=2)
    print(f"{time.monotonic() - begun:.1f} s", file=sys.stderr)
    sys.exit(0 if done.result.wasSuccessful() else 1)
