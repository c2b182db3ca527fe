"""Tests of the platform's programs as real processes: signals, stops and full disks."""

import asyncio
import json
import os
import pathlib
import shutil
import signal
import sys
import tempfile
import time
import unittest

from platform_fixture import (APPLY_S, Connection, GRACE_S, NOT_EXECUTED_STATUSES, PlatformFixture,
                              call_once, check_answer, request_headers)

STREAM_EVENTS = 10
COORDINATOR_MEMORY_BYTES = 256 * 2 ** 20
COORDINATOR_DISK_BYTES = 128 * 2 ** 20
STREAM_PAUSE_S = 0.3  # a stream of 10 events lasts 3 s, less than GRACE_S


class ProcessTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.folder = tempfile.mkdtemp(prefix="process-test-")
        self.platform = PlatformFixture(self.folder, seed=20261204)
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

    def fresh_id(self):
        self.next_id += 1
        return f"{self.next_id:016x}"

    async def send_request(self, connection, path, limit=12.0):
        """Sends one request over a connection and checks its answer."""
        request_id = self.fresh_id()
        adapter = "a1" if path.startswith("/stream/") else ""
        headers = request_headers(request_id, limit, adapter, STREAM_EVENTS)
        answer = await connection.call("POST", path, headers, limit=limit)
        check_answer(self.platform, request_id, path, answer, STREAM_EVENTS)
        return request_id, answer

    def expect_no_violations(self):
        self.assertEqual([], self.platform.violations)

    def slow_down_streams(self):
        for upstream in self.platform.upstreams:
            upstream.event_pause_s = STREAM_PAUSE_S

    async def test_reload_keeps_a_gateway_and_its_requests(self):
        self.slow_down_streams()
        connection = Connection(self.platform.caller_address(0))
        stream = asyncio.create_task(self.send_request(connection, "/stream/x"))
        await asyncio.sleep(0.5)
        for _ in range(3):
            self.platform.signal("gateway-1", signal.SIGHUP)
            await asyncio.sleep(0.2)
        _, answer = await stream
        self.assertTrue(answer.whole, answer)
        self.assertIsNone(self.platform.processes["gateway-1"].poll())
        connection = Connection(self.platform.caller_address(0))
        _, answer = await self.send_request(connection, "/unsafe/x")
        self.assertEqual(200, answer.status)
        self.expect_no_violations()

    async def test_reload_keeps_a_coordinator(self):
        for name in self.platform.coordinators:
            self.platform.signal(name, signal.SIGHUP)
        await asyncio.sleep(0.5)
        for name in self.platform.coordinators:
            self.assertIsNone(self.platform.processes[name].poll(), name)
        self.assertTrue(await self.platform.put_document(limit=5))

    async def test_a_request_whose_adapter_fits_into_no_engine_is_refused_at_once(self):
        plain = self.platform.document

        def document_with_large_adapters(version):
            document = plain(version)
            document["Services"][1]["Engine"]["Models"][0]["AdapterMb"] = 1500
            return document
        self.platform.document = document_with_large_adapters
        self.assertTrue(await self.platform.put_document(limit=5))
        await asyncio.sleep(APPLY_S)
        connection = Connection(self.platform.caller_address(0))
        _, answer = await self.send_request(connection, "/stream/x")
        connection.close()
        self.assertEqual(503, answer.status)
        self.assertIn("retry-after", answer.headers)
        self.assertLess(answer.seconds, 0.5)

    async def test_a_coordinator_that_starts_again_learns_of_upstreams_that_announce_elsewhere(self):
        for upstream in self.platform.upstreams:
            upstream.announces_to = self.platform.control_addresses[0]
        await asyncio.sleep(0.5)
        for i in (1, 2):
            name = self.platform.coordinators[i]
            self.platform.signal(name, signal.SIGKILL)
            await self.platform.wait_for_exit(name, 5)
            await asyncio.sleep(0.5)
            self.platform.start(name)

            async def knows_all(i=i):
                known = await self.platform.read_metric(
                    self.platform.coordinator_metrics_address(i), "siskindrift_upstreams")
                return known == len(self.platform.upstreams)
            await self.platform.wait_until(knows_all, 5, f"{name} knows all upstreams")

    async def test_a_stopping_gateway_ends_every_stream_that_it_took(self):
        self.slow_down_streams()
        interrupted = []
        refused = []
        warm_up = Connection(self.platform.caller_address(0))
        await self.send_request(warm_up, "/stream/x")  # loads the adapter

        async def stream(number, delay):
            connection = Connection(self.platform.caller_address(0))
            if number % 2:
                # The stream below reuses this connection.
                await self.send_request(connection, "/safe/x")
            await asyncio.sleep(delay)
            _, answer = await self.send_request(connection, "/stream/x")
            if answer.status in NOT_EXECUTED_STATUSES:
                refused.append(delay)
            elif answer.sent and not answer.whole:
                interrupted.append((delay, answer.status, len(answer.body)))
        streams = [asyncio.create_task(stream(i, 0.2 * i)) for i in range(35)]
        await asyncio.sleep(0.5)
        self.platform.signal("gateway-1", signal.SIGTERM)
        status = await self.platform.wait_for_exit("gateway-1", GRACE_S)
        await asyncio.gather(*streams)
        self.assertEqual(0, status)
        self.assertEqual([], interrupted)
        self.assertTrue(refused)
        self.expect_no_violations()

    async def test_a_stopping_gateway_answers_on_kept_connections(self):
        connections = [Connection(self.platform.caller_address(0)) for _ in range(10)]
        for connection in connections:
            await self.send_request(connection, "/safe/x")
        self.platform.signal("gateway-1", signal.SIGTERM)
        await asyncio.sleep(0.5)
        for connection in connections:
            self.assertTrue(connection.usable)
            _, answer = await self.send_request(connection, "/unsafe/x")
            self.assertEqual(200, answer.status, answer)
            self.assertEqual("close", answer.headers.get("connection", "").lower())
        self.assertEqual(0, await self.platform.wait_for_exit("gateway-1", GRACE_S))
        self.expect_no_violations()

    async def test_metrics_count_what_callers_got(self):
        for path in ("/safe/x", "/stream/x"):
            _, answer = await self.send_request(Connection(self.platform.caller_address(0)), path)
            self.assertEqual(200, answer.status)
        await self.send_request(Connection(self.platform.caller_address(0)), "/nowhere/x")
        shown = await call_once(self.platform.metrics_address(0), "GET", "/metrics")
        lines = shown.body.decode().splitlines()
        for line in ("siskindrift_requests_total 3", "siskindrift_answers_passed_on_total 2",
                     "siskindrift_answers_own_total 1", "siskindrift_answer_ms_count 2",
                     'siskindrift_reasons_total{reason="unknown_route"} 1'):
            self.assertIn(line, lines)

    async def test_a_full_disk_at_one_coordinator_keeps_documents_coming(self):
        self.platform.fill_disk("coordinator-2")
        for _ in range(3):
            self.assertTrue(await self.platform.put_document(limit=10))
            self.platform.restart_exited()
        self.free_disks()
        self.platform.restart_exited()
        await self.platform.wait_until(self.reads_newest, 10, "the newest document is read back")

    async def test_full_disks_everywhere_lose_no_acknowledged_document(self):
        for name in self.platform.coordinators:
            self.platform.fill_disk(name)
        await self.platform.put_document(limit=3)
        acknowledged = self.platform.acknowledged
        for _ in range(4):
            self.platform.restart_exited()
            read = await self.platform.read_document()
            self.assertTrue(read is None or read >= acknowledged, f"read {read}")
            await asyncio.sleep(0.3)
        self.free_disks()
        self.platform.restart_exited()
        await self.platform.wait_until(self.reads_newest, 15, "the newest document is read back")
        self.assertTrue(await self.platform.put_document(limit=10))
        await asyncio.sleep(APPLY_S)
        for i in range(len(self.platform.gateways)):
            request_id = self.fresh_id()
            answer = await call_once(self.platform.caller_address(i), "POST",
                                     f"/v{self.platform.acknowledged}/x",
                                     request_headers(request_id, 4.0))
            self.assertEqual(200, answer.status, f"gateway {i + 1}")

    def free_disks(self):
        for name in self.platform.coordinators:
            self.platform.free_disk(name)

    async def reads_newest(self):
        """Returns whether no acknowledged document is lost.

        A document that was sent without an answer may have been accepted as well.
        """
        self.platform.restart_exited()
        read = await self.platform.read_document()
        return read is not None and self.platform.acknowledged <= read <= self.platform.version


class CoordinatorDiskTest(unittest.IsolatedAsyncioTestCase):
    """Full disks at coordinators alone, without gateways and upstreams."""

    async def asyncSetUp(self):
        self.folder = tempfile.mkdtemp(prefix="coordinator-disk-test-")
        self.platform = PlatformFixture(self.folder, seed=20261205, gateways=0, plain=0, engines=0)
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

    async def leader(self):
        for i, address in enumerate(self.platform.control_addresses):
            answer = await call_once(address, "GET", "/api/config", limit=1.0)
            if answer.status == 200:
                return self.platform.coordinators[i]
        return None

    async def test_calls_that_are_open_when_the_disk_of_the_leader_fills_up_are_answered(self):
        await self.platform.wait_until(self.leader, 10, "a coordinator leads")
        leader = await self.leader()
        address = self.platform.control_addresses[self.platform.coordinators.index(leader)]
        self.platform.fill_disk(leader)
        body = json.dumps(self.platform.document(self.platform.version + 1)).encode()
        answer = await call_once(address, "PUT", "/api/config", body=body, limit=2.0)
        self.assertEqual(503, answer.status)

    async def test_a_replica_that_missed_large_documents_counts_again_once_its_disk_has_room(self):
        plain = self.platform.document
        self.platform.document = lambda version: with_more_routes(plain(version))
        await self.platform.wait_until(self.leader, 10, "a coordinator leads")
        leader = await self.leader()
        first, second = (name for name in self.platform.coordinators if name != leader)
        self.platform.fill_disk(first)
        for _ in range(60):  # 20 MB, more than a frame may hold
            self.assertTrue(await self.platform.put_document(limit=5))
        self.platform.free_disk(first)
        await asyncio.sleep(1.0)
        self.platform.fill_disk(second)
        self.assertTrue(await self.platform.put_document(limit=3))


    async def test_all_coordinators_start_again_within_their_memory_after_many_large_changes(self):
        """Guards against a log that outgrows the memory of the process that reads it."""
        plain = self.platform.document
        self.platform.document = lambda version: with_more_routes(plain(version))
        await self.platform.wait_until(self.leader, 10, "a coordinator leads")
        for _ in range(180):  # 61 MB
            self.assertTrue(await self.platform.put_document(limit=5))
        for name in self.platform.coordinators:
            folder = self.platform.folder / name / "data"
            used = sum(file.stat().st_size for file in folder.iterdir())
            self.assertLess(used, COORDINATOR_DISK_BYTES / 2)
            self.platform.signal(name, signal.SIGKILL)
        for name in self.platform.coordinators:
            self.platform.processes[name].wait()
            self.platform.start(name)
        await self.platform.wait_until(self.reads_newest_document, 12, "the document is read")
        for name in self.platform.coordinators:
            status = pathlib.Path(f"/proc/{self.platform.processes[name].pid}/status").read_text()
            peak_kb = int(status.split("VmHWM:")[1].split()[0])
            self.assertLess(peak_kb * 1024, COORDINATOR_MEMORY_BYTES / 2)

    async def reads_newest_document(self):
        return await self.platform.read_document() == self.platform.acknowledged


def with_more_routes(document):
    base = document["Routes"][0]
    document["Routes"] += [{**base, "Name": f"more-{i}", "PathPrefix": f"/more-{i}-{'x' * 200}/"}
                           for i in range(900)]
    return document


if __name__ == "__main__":
    begun = time.monotonic()
    done = unittest.main(exit=False, verbosity=2)
    print(f"{time.monotonic() - begun:.1f} s", file=sys.stderr)
    sys.exit(0 if done.result.wasSuccessful() else 1)
