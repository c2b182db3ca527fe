"""Tests that clients beyond the limits neither exhaust nor end a process.

Each test starts one gateway and one coordinator with lowered limits, sends what its name says, and
keeps the connections open. Memory is the resident memory and the bytes that wait in sockets.
"""

import asyncio
import collections
import json
import os
import pathlib
import shutil
import socket
import sys
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tools"))

import fleet  # noqa: E402, needs the sys.path entry above
import uuid7  # noqa: E402
from client_crowd import (CHUNKED, CONNECT_S, HEARTBEAT, MIB, SAMPLE_S, ClientCrowd,  # noqa: E402
                          ProcessMonitor, frame_header)
from platform_fixture import (APPLY_S, HOST, Connection, PlatformFixture, Upstream, render,  # noqa: E402
                              request_headers)

MEMORY_MB = 32
LARGE_MEMORY_MB = 160
MAX_DESCRIPTORS = 400
BODY_BYTES = MIB           # MaxBodyBytes of the document
LARGE_BODY_BYTES = 4 * MIB
SEND_S = 10.0              # for what one test sends
ANSWER_S = 10.0            # for the ordinary request, which honours Retry-After
GATEWAY_IP = "127.7.2.1"
COORDINATOR_IP = "127.7.1.1"
ENTRY_HEAD = b"POST /v1/services/x/y HTTP/1.1\r\nHost: x\r\n" + CHUNKED.encode()
DOOR_PORTS = {"callers": 0, "readiness": 1, "directory": 2, "relays": 5, "metrics": 6}


class HoldingUpstream(Upstream):
    """Answers requests to paths that end with /held when they are released."""

    released = None

    async def execute(self, writer, path, headers, request_id):
        if path.endswith("/held"):
            await self.released.wait()
        return await super().execute(writer, path, headers, request_id)


def send_and_receive(address, request):
    """Sends a whole request, then returns all that the peer sends until it closes the connection."""
    ip, port = address.split(":")
    with socket.create_connection((ip, int(port)), CONNECT_S) as connection:
        connection.sendall(request)
        answer = b""
        while received := connection.recv(65536):
            answer += received
        return answer


class ClientFixture(unittest.IsolatedAsyncioTestCase):
    """A gateway and a coordinator with lowered limits, and clients that stay connected."""

    memory_mb = MEMORY_MB

    async def asyncSetUp(self):
        self.folder = tempfile.mkdtemp(prefix="client-limit-test-")
        settings = {"memory_mb": self.memory_mb}
        self.platform = PlatformFixture(self.folder, seed=57, coordinators=1, gateways=1, plain=2,
                                        engines=1, gateway_settings=settings,
                                        coordinator_settings=settings)
        self.platform.descriptor_limits = {"gateway-1": MAX_DESCRIPTORS, "coordinator-1": MAX_DESCRIPTORS}
        for upstream in self.platform.upstreams:
            upstream.__class__ = HoldingUpstream
            upstream.queue = 1000
        self.clients = ClientCrowd()
        self.next_id = 0
        self.monitors = []
        try:
            await self.start()
        except BaseException:
            await self.asyncTearDown()
            raise

    async def start(self):
        await self.platform.start_all()
        self.monitors = [ProcessMonitor(self.platform.processes["gateway-1"], GATEWAY_IP),
                         ProcessMonitor(self.platform.processes["coordinator-1"], COORDINATOR_IP)]

    async def asyncTearDown(self):
        HoldingUpstream.released = None
        for monitor in self.monitors:
            monitor.task.cancel()
        self.clients.leave()
        self.platform.finished = True
        self.platform.stop_all()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder)

    def door(self, name):
        if name in DOOR_PORTS:
            return f"{GATEWAY_IP}:{self.platform.port + DOOR_PORTS[name]}"
        ports = {"control": 3, "coordinator metrics": 6, "coordinator inner": 4}
        if name in ports:
            return f"{COORDINATOR_IP}:{self.platform.port + ports[name]}"
        return f"{GATEWAY_IP}:{self.platform.port + 4}"  # the inner port of the gateway

    def head(self, rest, path="/safe/x"):
        self.next_id += 1
        headers = {"Host": HOST, **request_headers(f"{self.next_id:016x}", SEND_S)}
        return render(f"POST {path} HTTP/1.1", headers)[:-2] + rest.encode()

    async def crowd(self, count, address, *what):
        await self.clients.send_all(count, SEND_S, address, *what)
        await asyncio.sleep(4 * SAMPLE_S)

    async def check(self):
        """Checks that both processes live within their limits, and serve an ordinary request."""
        await self.check_service()
        await asyncio.sleep(2 * SAMPLE_S)
        for monitor in self.monitors:
            monitor.sample()
            self.assertIsNone(monitor.process.poll(), "the process has ended")
            print(f"{monitor.ip}: {monitor.peak_bytes / MIB:.0f} MB, {monitor.peak_descriptors} descriptors")
        for monitor in self.monitors:
            self.assertLess(monitor.peak_bytes, self.memory_mb * MIB)
            self.assertLess(monitor.peak_descriptors, MAX_DESCRIPTORS)
        self.assertEqual([], self.platform.violations)

    async def check_service(self):
        await self.platform.wait_until(self.ordinary_request, ANSWER_S, "an ordinary request is served")
        self.assertTrue(await self.platform.put_document(limit=ANSWER_S))

    async def ordinary_request(self):
        self.next_id += 1
        connection = Connection(self.platform.caller_address(0))
        answer = await connection.call("POST", "/safe/x", request_headers(f"{self.next_id:016x}", 3.0),
                                       b"ordinary", limit=4.0)
        connection.close()
        if answer.status in (429, 503):
            await asyncio.sleep(float(answer.headers.get("retry-after", "0")))
        return answer.status == 200 and answer.whole


class ClientLimitTest(ClientFixture):
    # --- framing of chunked bodies ---
    async def test_trailers_without_end(self):
        await self.crowd(3, self.door("callers"), self.head(CHUNKED + "0\r\n"),
                         b"X-Trailer: value\r\n" * 4096, 400)
        await self.check()

    async def test_large_trailers_of_open_requests(self):
        trailers = b"X-Trailer: " + b"v" * 1000 + b"\r\n"
        await self.crowd(40, self.door("callers"), self.head(CHUNKED + "0\r\n"), trailers * 26, 50)
        await self.check()

    async def check_endless_extension(self, door):
        await self.crowd(3, self.door(door), self.head(CHUNKED + "4;"), b"e" * 65536, 400)
        await self.check()

    async def test_chunk_extension_without_end_at_callers(self):
        await self.check_endless_extension("callers")

    async def test_chunk_extension_without_end_at_readiness(self):
        await self.check_endless_extension("readiness")

    async def test_chunk_extension_without_end_at_directory(self):
        await self.check_endless_extension("directory")

    async def test_chunk_extension_without_end_at_metrics(self):
        await self.check_endless_extension("metrics")

    async def test_chunk_extension_without_end_at_relays(self):
        await self.check_endless_extension("relays")

    async def test_chunk_extension_without_end_at_control(self):
        await self.check_endless_extension("control")

    async def test_chunk_extension_without_end_at_coordinator_metrics(self):
        await self.check_endless_extension("coordinator metrics")

    async def test_zeros_before_a_chunk_size_without_end(self):
        await self.crowd(3, self.door("callers"), self.head(CHUNKED), b"0" * 65536, 400)
        await self.check()

    # --- bodies that stop before their end ---
    async def test_bodies_that_lack_their_last_byte(self):
        await self.crowd(60, self.door("callers"), self.head(f"Content-Length: {BODY_BYTES}\r\n\r\n"),
                         b"b" * 65536, BODY_BYTES // 65536 - 1, b"b" * 65535)
        await self.check()

    async def check_chunked_bodies(self, door, count, mib):
        chunk = b"10000\r\n" + b"b" * 65536 + b"\r\n"
        await self.crowd(count, self.door(door), self.head(CHUNKED), chunk, 16 * mib - 1)
        await self.check()

    async def test_chunked_bodies_without_last_chunk_at_callers(self):
        await self.check_chunked_bodies("callers", 60, 1)

    async def test_chunked_bodies_without_last_chunk_at_readiness(self):
        await self.check_chunked_bodies("readiness", 20, 4)

    async def test_chunked_bodies_without_last_chunk_at_directory(self):
        await self.check_chunked_bodies("directory", 20, 4)

    async def test_chunked_bodies_without_last_chunk_at_metrics(self):
        await self.check_chunked_bodies("metrics", 20, 4)

    async def test_chunked_bodies_without_last_chunk_at_relays(self):
        await self.check_chunked_bodies("relays", 60, 1)

    async def test_chunked_bodies_without_last_chunk_at_control(self):
        await self.check_chunked_bodies("control", 20, 4)

    async def test_bodies_of_chunks_of_one_byte(self):
        await self.crowd(60, self.door("callers"), self.head(CHUNKED), b"1\r\nb\r\n" * 16384,
                         BODY_BYTES // 16384 - 1)
        await self.check()

    # --- whole requests ---
    async def test_whole_bodies_at_the_same_time(self):
        """A request that is refused with a status that promises so has not run."""
        HoldingUpstream.released = asyncio.Event()

        async def call(number):
            connection = Connection(self.platform.caller_address(0))
            request_id = f"a{number:015x}"
            answer = await connection.call("POST", "/unsafe/held", request_headers(request_id, SEND_S),
                                           b"b" * BODY_BYTES, limit=SEND_S)
            connection.close()
            return request_id, answer
        calls = [asyncio.create_task(call(i)) for i in range(60)]
        await asyncio.sleep(2)
        HoldingUpstream.released.set()
        answers = dict(await asyncio.gather(*calls))
        statuses = collections.Counter(answer.status for answer in answers.values())
        print(f"statuses {dict(statuses)}")
        self.assertGreater(statuses[200], 0)
        for request_id, answer in answers.items():
            if answer.status in (408, 421, 429, 503):
                self.assertNotIn(request_id, self.platform.executions)
        await self.check()

    async def test_requests_behind_one_that_runs(self):
        """What a client sends behind its request waits in the socket, whose buffer has grown before."""
        HoldingUpstream.released = asyncio.Event()
        large = self.head(f"Content-Length: {BODY_BYTES}\r\n\r\n") + b"b" * BODY_BYTES
        held = self.head("Content-Length: 0\r\n\r\n", "/safe/held")
        await self.crowd(20, self.door("callers"), 4 * large + held, large, 8)
        HoldingUpstream.released.set()
        await self.check()

    async def test_a_body_one_byte_too_long_gets_its_answer(self):
        """A caller that can't send the whole body, or reads no 413, sends the request again."""
        for number in range(10):
            body = b"b" * (BODY_BYTES + 1)
            request = self.head(f"Content-Length: {len(body)}\r\n\r\n") + body
            if number % 2:
                request = self.head(CHUNKED) + f"{len(body):x}\r\n".encode() + body + b"\r\n0\r\n\r\n"
            answer = await asyncio.to_thread(send_and_receive, self.door("callers"), request)
            self.assertTrue(answer.startswith(b"HTTP/1.1 413 "), answer[:40])
        await self.check()

    async def test_bodies_far_beyond_the_limit(self):
        """Holds without the limits of the process."""
        await self.crowd(40, self.door("callers"), self.head(f"Content-Length: {2 ** 40}\r\n\r\n"),
                         b"b" * 65536, 100)
        await self.crowd(40, self.door("callers"), self.head(CHUNKED), b"10000\r\n" + b"b" * 65536 + b"\r\n", 100)
        await self.check()

    async def test_names_of_models_as_long_as_a_head(self):
        """A gateway and a coordinator remember for a while which adapters are asked for."""
        async def call_in_turn(number):
            connection = Connection(self.platform.caller_address(0))
            for i in range(20):
                headers = request_headers(f"{number:08x}{i:08x}", 0.1, f"{number}-{i}" + "n" * 15000)
                await connection.call("POST", "/stream/x", headers, limit=1.0)
            connection.close()
        await asyncio.wait([asyncio.create_task(call_in_turn(i)) for i in range(100)], timeout=2 * SEND_S)
        await self.check()

    # --- the inner port ---
    async def check_frames(self, door, count, announced, sent):
        await self.crowd(count, self.door(door), frame_header(announced) + b"\x10" * 8, b"\x10" * 65536,
                         sent // 65536)
        await self.check()

    async def test_announced_frames_at_gateway(self):
        await self.check_frames("gateway inner", 60, 16 * MIB, 0)

    async def test_announced_frames_at_coordinator(self):
        await self.check_frames("coordinator inner", 60, 16 * MIB, 0)

    async def test_unfinished_frames_at_gateway(self):
        await self.check_frames("gateway inner", 12, 16 * MIB, 8 * MIB)

    async def test_unfinished_frames_at_coordinator(self):
        await self.check_frames("coordinator inner", 12, 16 * MIB, 8 * MIB)

    async def check_unread_echoes(self, door):
        """A process answers each heartbeat; these clients read none of the answers."""
        await self.crowd(3, self.door(door), HEARTBEAT, HEARTBEAT * 2048, 400)
        await self.check()

    async def test_unread_echoes_at_gateway(self):
        await self.check_unread_echoes("gateway inner")

    async def test_unread_echoes_at_coordinator(self):
        await self.check_unread_echoes("coordinator inner")

    # --- connections ---
    async def check_connections(self, door, first):
        await self.crowd(600, self.door(door), first)
        await self.check()

    async def test_silent_connections_at_callers(self):
        await self.check_connections("callers", b"")

    async def test_half_heads_at_callers(self):
        await self.check_connections("callers", self.head("X-Half: " + "h" * 15000)[:-2])

    async def test_silent_connections_at_readiness(self):
        await self.check_connections("readiness", b"")

    async def test_silent_connections_at_directory(self):
        await self.check_connections("directory", b"")

    async def test_silent_connections_at_metrics(self):
        await self.check_connections("metrics", b"")

    async def test_silent_connections_at_relays(self):
        await self.check_connections("relays", b"")

    async def test_silent_connections_at_control(self):
        await self.check_connections("control", b"")

    async def test_silent_connections_at_inner_port_of_gateway(self):
        await self.check_connections("gateway inner", b"")

    async def test_silent_connections_at_inner_port_of_coordinator(self):
        await self.check_connections("coordinator inner", b"")


class LargeRequestTest(ClientFixture):
    """Requests of 4 MiB, the largest of the default limits."""

    memory_mb = LARGE_MEMORY_MB

    async def test_a_large_request_is_served_in_calm(self):
        """Holds without the limits of the process."""
        plain = self.platform.document

        def document(version):
            result = plain(version)
            result["Limits"]["MaxBodyBytes"] = LARGE_BODY_BYTES
            return result
        self.platform.document = document
        self.assertTrue(await self.platform.put_document(limit=5))
        await asyncio.sleep(APPLY_S)
        for framing in ("length", "chunked", "small chunks"):
            for number in range(3):
                body = b"b" * LARGE_BODY_BYTES
                rest = {"length": f"Content-Length: {len(body)}\r\n\r\n".encode() + body,
                        "chunked": CHUNKED.encode() + b"400000\r\n" + body + b"\r\n0\r\n\r\n",
                        "small chunks": CHUNKED.encode() + b"1\r\nb\r\n" * 262144 + b"0\r\n\r\n"}[framing]
                with self.subTest(framing=framing, number=number):
                    ip, port = self.platform.caller_address(0).split(":")
                    reader, writer = await asyncio.open_connection(ip, int(port))
                    writer.write(self.head("", "/unsafe/x") + rest)
                    await writer.drain()
                    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), SEND_S)
                    self.assertTrue(head.startswith(b"HTTP/1.1 200 OK\r\n"), head)
                    writer.close()
        await self.check()


class RaisedLimitTest(ClientFixture):
    """The operator changes the limits of the document."""

    async def put(self, **limits):
        """Sends a document with these limits; returns the status and the text of the answer."""
        self.platform.version += 1
        document = self.platform.document(self.platform.version)
        document["Limits"].update(limits)
        answer = await self.platform.control_call("PUT", "/api/config",
                                                  json.dumps(document).encode())
        return answer.status, answer.body.decode()

    async def send(self, number, header_bytes):
        headers = request_headers(f"{number:016x}", ANSWER_S)
        headers["X-Long"] = "v" * header_bytes
        connection = Connection(self.platform.caller_address(0))
        return (await connection.call("POST", "/unsafe/x", headers, limit=ANSWER_S)).status

    async def test_a_long_field_within_a_raised_limit_is_served(self):
        """A gateway ended when it read a field of 64 KiB or more."""
        self.assertEqual((await self.put(MaxHeaderBytes=200_000))[0], 200)
        await asyncio.sleep(APPLY_S)
        self.assertEqual(await self.send(1, 150_000), 200)
        self.assertEqual(await self.send(2, 250_000), 431)
        for upstream in self.platform.upstreams:
            upstream.answer_fields = {"X-Long": "v" * 150_000}
        self.assertEqual(await self.send(3, 10), 200)
        self.assertIsNone(self.platform.processes["gateway-1"].poll())

    async def test_limits_that_no_gateway_can_keep_are_refused(self):
        for name, value in (("MaxHeaderBytes", 1 << 32), ("MaxHeaderBytes", 0),
                            ("MaxBodyBytes", 1 << 40), ("HeaderTimeoutMs", 0),
                            ("IdleTimeoutMs", -1), ("MaxBodyBytes", "many")):
            with self.subTest(name=name, value=value):
                status, text = await self.put(**{name: value})
                self.assertEqual(status, 400)
                self.assertIn(name, text)
        self.assertEqual(await self.send(1, 10), 200)


class EntryLimitTest(unittest.IsolatedAsyncioTestCase):
    """siskindrift-entry and siskindrift-control use the same server and connections."""

    async def asyncSetUp(self):
        self.folder = tempfile.mkdtemp(prefix="entry-limit-test-")
        self.fleet = fleet.Fleet(pathlib.Path(self.folder) / "fleet", adapters=20)
        self.clients = ClientCrowd()
        self.monitors = []
        try:
            await asyncio.to_thread(self.fleet.start_all)
        except BaseException:
            await self.asyncTearDown()
            raise
        self.monitors = [ProcessMonitor(self.fleet.processes[name]["process"], self.fleet.vm_ip(0))
                         for name in ("entry-1", "control-1")]

    async def asyncTearDown(self):
        for monitor in self.monitors:
            monitor.task.cancel()
        self.clients.leave()
        self.fleet.stop_all()
        shutil.rmtree(self.folder)

    async def check(self):
        headers = {"Authorization": f"Bearer {self.fleet.team_key}", "Siskindrift-Idempotent": "true",
                   "Idempotency-Key": uuid7.new(), "Siskindrift-Deadline-Ms": "8000"}
        path = f"/v1/services/{self.fleet.profile['services'][0]}/submit"
        status, _, _ = await asyncio.to_thread(
            fleet.http, "POST", f"http://{self.fleet.caller_address(0)}{path}", "{}", headers, ANSWER_S)
        self.assertEqual(200, status)
        self.assertTrue(await asyncio.to_thread(self.fleet.status))
        for monitor in self.monitors:
            monitor.sample()
            self.assertIsNone(monitor.process.poll(), "the process has ended")
            print(f"{monitor.peak_bytes / MIB:.0f} MB, {monitor.peak_descriptors} descriptors")
        for monitor in self.monitors:
            self.assertLess(monitor.peak_bytes, LARGE_MEMORY_MB * MIB)

    async def crowd(self, count, address, *what):
        await self.clients.send_all(count, SEND_S, address, *what)
        await asyncio.sleep(4 * SAMPLE_S)
        await self.check()

    async def test_chunk_extension_without_end_at_entry(self):
        await self.crowd(3, self.fleet.caller_address(0), ENTRY_HEAD + b"4;", b"e" * 65536, 1200)

    async def test_chunked_bodies_without_last_chunk_at_entry(self):
        await self.crowd(60, self.fleet.caller_address(0), ENTRY_HEAD,
                         b"10000\r\n" + b"b" * 65536 + b"\r\n", 62)

    async def test_announced_frames_at_entry(self):
        await self.crowd(60, self.fleet.inner_address(0), frame_header(16 * MIB) + b"\x10" * 8)

    async def test_announced_frames_at_control(self):
        await self.crowd(60, self.fleet.control_address(0), frame_header(16 * MIB) + b"\x10" * 8)


if __name__ == "__main__":
    unittest.main(verbosity=2)
