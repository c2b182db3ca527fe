"""Tests of the platform's programs as real processes: signals, stops and full disks."""

import asyncio
import os
import shutil
import signal
import sys
import tempfile
import time
import unittest

from platform_world import (APPLY_S, Connection, GRACE_S, PROMISES, World, call_once, judge,
                            request_headers)

STREAM_EVENTS = 10
STREAM_PAUSE_S = 0.3  # a stream lasts 3 s, well inside the time to stop


class ProcessTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.folder = tempfile.mkdtemp(prefix="process-test-")
        self.world = World(self.folder, seed=20261204)
        self.next_id = 0
        try:
            await self.world.up()
        except BaseException:
            await self.asyncTearDown()
            raise

    async def asyncTearDown(self):
        self.world.over = True
        self.world.down()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder)

    def fresh_id(self):
        self.next_id += 1
        return f"{self.next_id:016x}"

    async def ask(self, connection, path, limit=12.0):
        """Sends one request over a connection and judges its answer."""
        request_id = self.fresh_id()
        adapter = "a1" if path.startswith("/stream/") else ""
        headers = request_headers(request_id, limit, adapter, STREAM_EVENTS)
        answer = await connection.call("POST", path, headers, limit=limit)
        judge(self.world, request_id, path, answer, STREAM_EVENTS)
        return request_id, answer

    def expect_no_fault(self):
        self.assertEqual([], self.world.faults)

    def slow_streams(self):
        for upstream in self.world.upstreams:
            upstream.event_pause_s = STREAM_PAUSE_S

    async def test_reload_keeps_a_gateway_and_its_requests(self):
        self.slow_streams()
        stream = asyncio.create_task(self.ask(Connection(self.world.caller_address(0)), "/stream/x"))
        await asyncio.sleep(0.5)
        for _ in range(3):
            self.world.signal("gateway-1", signal.SIGHUP)
            await asyncio.sleep(0.2)
        _, answer = await stream
        self.assertTrue(answer.whole, answer)
        self.assertIsNone(self.world.processes["gateway-1"].poll())
        _, answer = await self.ask(Connection(self.world.caller_address(0)), "/unsafe/x")
        self.assertEqual(200, answer.status)
        self.expect_no_fault()

    async def test_reload_keeps_a_coordinator(self):
        for name in self.world.names:
            self.world.signal(name, signal.SIGHUP)
        await asyncio.sleep(0.5)
        for name in self.world.names:
            self.assertIsNone(self.world.processes[name].poll(), name)
        self.assertTrue(await self.world.put_document(limit=5))

    async def test_a_stopping_gateway_ends_every_stream_that_it_took(self):
        self.slow_streams()
        cut = []
        refused = []
        warm = Connection(self.world.caller_address(0))
        await self.ask(warm, "/stream/x")  # loads the adapter

        async def stream(number, delay):
            connection = Connection(self.world.caller_address(0))
            if number % 2:
                await self.ask(connection, "/safe/x")  # kept until the next request
            await asyncio.sleep(delay)
            _, answer = await self.ask(connection, "/stream/x")
            if answer.status in PROMISES:
                refused.append(delay)
            elif answer.sent and not answer.whole:
                cut.append((delay, answer.status, len(answer.body)))
        streams = [asyncio.create_task(stream(i, 0.2 * i)) for i in range(35)]
        await asyncio.sleep(0.5)
        self.world.signal("gateway-1", signal.SIGTERM)
        status = await self.world.ended("gateway-1", GRACE_S)
        await asyncio.gather(*streams)
        self.assertEqual(0, status)
        self.assertEqual([], cut)
        self.assertTrue(refused)
        self.expect_no_fault()

    async def test_a_stopping_gateway_answers_on_kept_connections(self):
        connections = [Connection(self.world.caller_address(0)) for _ in range(10)]
        for connection in connections:
            await self.ask(connection, "/safe/x")
        self.world.signal("gateway-1", signal.SIGTERM)
        await asyncio.sleep(0.5)
        for connection in connections:
            self.assertTrue(connection.usable)
            _, answer = await self.ask(connection, "/unsafe/x")
            self.assertEqual(200, answer.status, answer)
            self.assertEqual("close", answer.headers.get("connection", "").lower())
        self.assertEqual(0, await self.world.ended("gateway-1", GRACE_S))
        self.expect_no_fault()

    async def test_metrics_count_what_callers_got(self):
        for path in ("/safe/x", "/stream/x"):
            _, answer = await self.ask(Connection(self.world.caller_address(0)), path)
            self.assertEqual(200, answer.status)
        await self.ask(Connection(self.world.caller_address(0)), "/nowhere/x")
        shown = await call_once(self.world.metrics_address(0), "GET", "/metrics")
        lines = shown.body.decode().splitlines()
        for line in ("siskindrift_requests_total 3", "siskindrift_answers_passed_on_total 2",
                     "siskindrift_answers_own_total 1", "siskindrift_answer_ms_count 2",
                     'siskindrift_reasons_total{reason="unknown_route"} 1'):
            self.assertIn(line, lines)

    async def test_a_full_disk_at_one_coordinator_keeps_documents_coming(self):
        self.world.fill_disk("coordinator-2")
        for _ in range(3):
            self.assertTrue(await self.world.put_document(limit=10))
            self.world.restart_ended()
        self.empty_disks()
        self.world.restart_ended()
        await self.world.until(self.reads_newest, 10, "the newest document is read back")

    async def test_full_disks_everywhere_lose_no_acknowledged_document(self):
        for name in self.world.names:
            self.world.fill_disk(name)
        await self.world.put_document(limit=3)
        acknowledged = self.world.acknowledged
        for _ in range(4):
            self.world.restart_ended()
            read = await self.world.read_document()
            self.assertTrue(read is None or read >= acknowledged, f"read {read}")
            await asyncio.sleep(0.3)
        self.empty_disks()
        self.world.restart_ended()
        await self.world.until(self.reads_newest, 15, "the newest document is read back")
        self.assertTrue(await self.world.put_document(limit=10))
        await asyncio.sleep(APPLY_S)
        for i in range(len(self.world.gateways)):
            request_id = self.fresh_id()
            answer = await call_once(self.world.caller_address(i), "POST",
                                     f"/v{self.world.acknowledged}/x",
                                     request_headers(request_id, 4.0))
            self.assertEqual(200, answer.status, f"gateway {i + 1}")

    def empty_disks(self):
        for name in self.world.names:
            self.world.empty_disk(name)

    async def reads_newest(self):
        self.world.restart_ended()
        return await self.world.read_document() == self.world.acknowledged


if __name__ == "__main__":
    begun = time.monotonic()
    done = unittest.main(exit=False, verbosity=2)
    print(f"{time.monotonic() - begun:.1f} s", file=sys.stderr)
    sys.exit(0 if done.result.wasSuccessful() else 1)
