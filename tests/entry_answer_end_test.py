"""Tests that an entry VM never gives a broken answer for a complete one, also when it is replayed.

A whole deployment runs; service calls go to an upstream of this test, model calls to the stand-ins.
"""

import asyncio
import itertools
import json
import pathlib
import re
import shutil
import sys
import tempfile
import time
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tools"))

import fleet  # noqa: E402, needs the sys.path entry above
import uuid7  # noqa: E402
from platform_fixture import FRAMINGS, read_body, read_head, render, reset_connection  # noqa: E402

UPSTREAM = "breaking-1"
ANNOUNCE_S = 0.3
LIMIT_S = 15.0
ENDLESS_LIMIT_S = 8.5  # the deadline of a call and a margin
EVENT = b"data: one\n\n"
TOO_LARGE_TO_KEEP = 70_000  # bytes; control keeps answers of up to 64 KiB with their claims


class BreakingService:
    """A service instance whose next answer is set by `answer_with`."""

    def __init__(self, active_fleet):
        self.fleet = active_fleet
        self.address = f"127.0.2.50:{active_fleet.base_port}"
        self.calls = 0
        self.server = None
        self.announcing = None
        self.head_bytes = 0   # the answer ends after so many bytes of its head, unless 0
        self.endless = None  # (first bytes, bytes that are repeated, pause in seconds)
        self.open_answers = 0
        self.answer_with("length", "whole", "text/plain", b"")

    def answer_with(self, framing, end, media_type, body, whole_length=None):
        """`end` is whole, close or reset; `whole_length` the length stated for a broken body."""
        self.framing, self.end, self.media_type, self.body = framing, end, media_type, body
        self.whole_length = len(body) if whole_length is None else whole_length

    async def start(self):
        ip, port = self.address.split(":")
        self.server = await asyncio.start_server(self.serve, ip, int(port))
        self.announcing = asyncio.create_task(self.announce())

    def stop(self):
        if self.announcing:
            self.announcing.cancel()
        if self.server:
            self.server.close()

    async def announce(self):
        for sequence in itertools.count(1):
            announcement = {"id": UPSTREAM, "incarnation": 1, "address": self.address,
                            "failure_domain": self.fleet.profile["domains"][0], "kind": "service",
                            "service": self.fleet.profile["services"][0], "base_model": "",
                            "slots": 8, "batch": 8, "residents": [], "state": "serving",
                            "sequence": sequence}
            url = f"http://{self.fleet.caller_address(sequence % 3)}/v1/announce"
            await asyncio.to_thread(fleet.http, "POST", url, json.dumps(announcement))
            await asyncio.sleep(ANNOUNCE_S)

    async def serve(self, reader, writer):
        try:
            _, headers = await read_head(reader)
            await read_body(reader, headers)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()
            return
        self.calls += 1
        if self.endless:
            await self.answer_endlessly(writer, headers["x-request-id"])
            return
        head = {"Content-Type": self.media_type, "X-Request-Id": headers["x-request-id"],
                "Connection": "close"}
        body = self.body
        if self.framing == "length":
            head["Content-Length"] = str(self.whole_length)
        elif self.framing == "chunked":
            head["Transfer-Encoding"] = "chunked"
            body = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
            body += b"0\r\n\r\n" if self.end == "whole" else b""
        answer = render("HTTP/1.1 200 OK", head, body)
        writer.write(answer[:self.head_bytes] if self.head_bytes else answer)
        await writer.drain()
        await asyncio.sleep(0.05)
        if self.end == "reset":
            reset_connection(writer)
        else:
            writer.close()


    async def answer_endlessly(self, writer, request_id):
        first, rest, pause_s = self.endless
        self.open_answers += 1
        try:
            writer.write(first.replace(b"ID", request_id.encode()))
            while True:
                writer.write(rest)
                await writer.drain()
                await asyncio.sleep(pause_s)
        except (OSError, asyncio.CancelledError):
            writer.close()  # the entry VM closed the connection, or the test has ended
        finally:
            self.open_answers -= 1


class EntryAnswerEndTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.folder = tempfile.mkdtemp(prefix="entry-answer-end-test-")
        self.fleet = fleet.Fleet(pathlib.Path(self.folder) / "fleet", adapters=20)
        self.service = BreakingService(self.fleet)
        try:
            await asyncio.to_thread(self.fleet.start_all)
            await self.service.start()
        except BaseException:
            await self.asyncTearDown()
            raise

    async def asyncTearDown(self):
        self.service.stop()
        self.fleet.stop_all()
        shutil.rmtree(self.folder)

    async def call(self, path, body, key):
        """Sends a call that may run once.

        Returns the status, the headers, the body as far as received and whether it was framed as
        complete.
        """
        begun = time.monotonic()
        ip, port = self.fleet.caller_address(0).split(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        data = json.dumps(body).encode()
        writer.write(render(f"POST {path} HTTP/1.1", {
            "Host": "x", "Authorization": f"Bearer {self.fleet.team_key}",
            "Siskindrift-Idempotent": "false", "Idempotency-Key": key,
            "Siskindrift-Deadline-Ms": "8000", "Content-Length": str(len(data))}, data))
        line, headers = await asyncio.wait_for(read_head(reader), LIMIT_S)
        received = b""

        def store_partial(data):
            nonlocal received
            received = data
        try:
            received = await asyncio.wait_for(read_body(reader, headers, store_partial), LIMIT_S)
            whole = True
        except (OSError, asyncio.IncompleteReadError):
            whole = False
        writer.close()
        self.last_call_s = time.monotonic() - begun
        return int(line.split(" ")[1]), headers, received, whole

    async def call_service(self, key=None):
        """Calls the service until its call reaches this test's instance."""
        for _ in range(50):
            used = key or uuid7.new()
            calls = self.service.calls
            path = f"/v1/services/{self.fleet.profile['services'][0]}/submit"
            status, headers, body, whole = await self.call(path, {}, used)
            self.assertTrue(whole)
            if key or self.service.calls > calls:
                return used, status, headers["siskindrift-verdict"], body
            await asyncio.sleep(0.1)
        self.fail("no call reached the service instance of this test")

    async def take_other_instances_out(self):
        name, count = self.fleet.profile["services"]
        for i in range(count):
            await asyncio.to_thread(self.fleet.ctl, "drain", f"{name}-{i + 1}")

    async def test_a_service_answer_without_end_is_ended_in_time(self):
        await self.take_other_instances_out()
        head = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Request-Id: ID\r\n"
        for kind, endless in (("head", (head, b"X-Name: value\r\n" * 500, 0)),
                              ("garbage", (b"", b"no answer " * 500, 0)),
                              ("trickling head", (head + b"X-Name: ", b"v", 0.02)),
                              ("body", (head + b"\r\n", b"x" * 10_000, 0)),
                              ("trickling body", (head + b"\r\n", b"x", 0.02))):
            with self.subTest(kind=kind):
                self.service.endless = endless
                _, status, verdict, _ = await self.call_service()
                self.assertLess(self.last_call_s, ENDLESS_LIMIT_S)
                self.assertIn(status, (502, 504))
                self.assertEqual("may_have_run", verdict)
                await asyncio.sleep(1.0)
                self.assertEqual(0, self.service.open_answers)
        self.service.endless = None

    async def test_a_broken_service_answer_is_neither_passed_on_nor_replayed(self):
        await self.take_other_instances_out()
        events = "text/event-stream"
        for framing, end, media_type, body in (
                ("until_close", "close", events, EVENT + b"data: tw"),
                ("until_close", "close", events, b""),
                ("until_close", "reset", events, EVENT),
                ("until_close", "reset", "text/plain", b"par"),
                ("length", "whole", events, EVENT + b"data: tw"),
                ("length", "close", "text/plain", b"par"),
                ("chunked", "whole", events, EVENT + b"data: tw"),
                ("chunked", "close", "text/plain", b"par"),
                ("chunked", "reset", events, EVENT)):
            with self.subTest(framing=framing, end=end, media_type=media_type, body=body):
                early = 10 if framing == "length" and end != "whole" else 0
                self.service.answer_with(framing, end, media_type, body, len(body) + early)
                key, status, verdict, _ = await self.call_service()
                self.assertEqual((502, "may_have_run"), (status, verdict))
                _, status, verdict, _ = await self.call_service(key)
                self.assertEqual((409, "may_have_run"), (status, verdict))

    async def test_a_service_answer_that_stops_in_its_head_is_neither_passed_on_nor_replayed(self):
        await self.take_other_instances_out()
        for head_bytes, end in itertools.product((1, 12, 17, 30, 60), ("close", "reset")):
            with self.subTest(head_bytes=head_bytes, end=end):
                self.service.head_bytes = head_bytes
                self.service.answer_with("length", end, "text/plain", b"answer")
                key, status, verdict, _ = await self.call_service()
                self.assertEqual((502, "may_have_run"), (status, verdict))
                _, status, verdict, _ = await self.call_service(key)
                self.assertEqual((409, "may_have_run"), (status, verdict))

    async def test_a_whole_service_answer_is_passed_on_and_replayed_whole(self):
        await self.take_other_instances_out()
        for framing, (media_type, body) in itertools.product(
                FRAMINGS, (("text/plain", b"answer"), ("text/event-stream", EVENT * 3))):
            with self.subTest(framing=framing, media_type=media_type):
                self.service.answer_with(framing, "whole", media_type, body)
                key, status, verdict, received = await self.call_service()
                self.assertEqual((200, "ran", body), (status, verdict, received))
                calls = self.service.calls
                _, status, verdict, received = await self.call_service(key)
                self.assertEqual((200, "ran", body), (status, verdict, received))
                self.assertEqual(calls, self.service.calls)

    async def test_an_answer_that_is_too_large_to_keep_is_not_replayed_empty(self):
        await self.take_other_instances_out()
        self.service.answer_with("length", "whole", "text/plain", b"x" * TOO_LARGE_TO_KEEP)
        key, status, _, body = await self.call_service()
        self.assertEqual((200, TOO_LARGE_TO_KEEP), (status, len(body)))
        _, status, verdict, _ = await self.call_service(key)
        self.assertEqual((409, "may_have_run"), (status, verdict))

    async def stream_model(self, key, prompt):
        """Returns the text, the verdict, whether the stream was framed as complete and whether it
        held its end marker."""
        _, status, body, whole = await self.call("/v1/completions", {
            "model": "adapter-00000@1", "prompt": prompt, "max_tokens": 8, "stream": True}, key)
        events = [json.loads(data) for data in re.findall(r"^data: (\{.*)$", body.decode(), re.M)]
        self.assertTrue(events, f"no event in the answer: {status} {body!r}")
        text = "".join(event["choices"][0]["text"] for event in events if "choices" in event)
        return text, events[-1].get("verdict"), whole, b"data: [DONE]" in body

    async def test_a_broken_model_stream_has_no_last_chunk(self):
        engine, count = self.fleet.profile["engines"]
        await self.stream_model(uuid7.new(), "loads the adapter")
        for i in range(count):
            self.fleet.inject_fault(f"{engine}-{i + 1}", "lose_answer")
        text, verdict, whole, done = await self.stream_model(uuid7.new(), "broken")
        self.assertNotEqual("", text)
        self.assertEqual("may_have_run", verdict)
        self.assertFalse(whole)
        self.assertFalse(done)

    async def test_a_replayed_model_stream_holds_its_text(self):
        key = uuid7.new()
        first = await self.stream_model(key, "hello")
        self.assertEqual(("ran", True, True), first[1:])
        self.assertNotEqual("", first[0])
        self.assertEqual(first, await self.stream_model(key, "hello"))


if __name__ == "__main__":
    begun = time.monotonic()
    done = unittest.main(exit=False, verbosity=2, warnings="ignore")
    print(f"{time.monotonic() - begun:.1f} s", file=sys.stderr)
    sys.exit(0 if done.result.wasSuccessful() else 1)
