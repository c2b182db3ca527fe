"""Tests that a stream goes on only at the software version of upstreams that began it."""

import asyncio
import collections
import dataclasses
import os
import random
import shutil
import signal
import tempfile
import time
import unittest

from platform_fixture import MODEL, Connection, PlatformFixture, request_headers

GATEWAYS = 4
ENGINES = 6
ADAPTERS = 4
EVENTS = 30
PER_S = 5.0           # streams that begin at each gateway
TIMEOUT_S = 8.0       # of a stream over all attempts
SETTLE_S = 2.0        # for adapters to be loaded
MIN_RESUMED_SHARE = 0.9  # of the share of new streams that begin
MIN_RESUMED = 12


@dataclasses.dataclass
class Stream:
    """A caller's view of one stream over all of its attempts."""
    versions: list = dataclasses.field(default_factory=list)  # of its events
    attempts: int = 0
    resumed: int = 0      # attempts that named the stream to resume
    went_on: int = 0      # of these, those that brought an event
    take_ups: int = 0     # times that the caller had to take it up
    taken_up: int = 0     # of these, those in which one of its attempts brought an event
    complete: bool = False
    statuses: list = dataclasses.field(default_factory=list)


def events_of(body):
    whole = body.decode().rpartition("\n\n")[0]
    return [event.split("\n") for event in whole.split("\n\n") if event]


class SoftwareVersionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.folder = tempfile.mkdtemp(prefix="software-version-test-")
        self.platform = PlatformFixture(self.folder, seed=34, gateways=GATEWAYS, engines=ENGINES,
                                        plain=1, gateway_settings={"announcement_ms": 20_000})
        self.engines = self.platform.upstreams[1:]
        self.random = random.Random(34)
        self.next_id = 0
        self.streams = []
        self.calling = True
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

    def new_id(self):
        self.next_id += 1
        return f"{self.next_id:016x}"

    def install(self, versions):
        """Restarts each engine whose version is to change, under a new id."""
        for upstream, version in zip(self.engines, versions):
            if upstream.software != version:
                self.platform.tasks.append(asyncio.create_task(upstream.crash(0.1, version)))

    async def attempt(self, stream, gateway, headers, break_after):
        """Sends one attempt and leaves after `break_after` more events; 0 stays to the end."""
        connection = Connection(self.platform.caller_address(gateway))
        enough = asyncio.Event()
        before = len(stream.versions)

        def look(body):
            if break_after and len(events_of(body)) >= break_after:
                enough.set()

        call = asyncio.create_task(connection.call("POST", "/stream/x", headers, b"",
                                                   TIMEOUT_S, look))
        leave = asyncio.create_task(enough.wait())
        await asyncio.wait([call, leave], return_when=asyncio.FIRST_COMPLETED)
        leave.cancel()
        if not call.done():
            call.cancel()
            connection.close()
            await asyncio.gather(call, return_exceptions=True)
        answer = connection.answer
        stream.statuses.append(answer.status)
        if answer.status == 200:
            for number, (event_id, data) in enumerate(map(lambda lines: lines[:2],
                                                          events_of(answer.body))):
                self.assertEqual(f"id: {before + number + 1}", event_id)
                stream.versions.append(data.split(" ")[-1])
        stream.complete = answer.whole and answer.status == 200
        connection.close()

    async def run_stream(self, gateway, breaks=(), next_gateway=None, unknown_origin=False):
        """Runs one stream; its caller leaves after each number of events in `breaks`."""
        stream = Stream()
        self.streams.append(stream)
        end = time.monotonic() + TIMEOUT_S
        adapter = f"a{self.random.randrange(ADAPTERS) + 1}"
        base_model = self.random.random() < 0.5
        first = ""
        broken = False
        breaks = list(breaks)
        while not stream.complete and time.monotonic() < end and stream.attempts < 12:
            request_id = self.new_id()
            left = end - time.monotonic()
            headers = request_headers(request_id, left, adapter=adapter, events=EVENTS)
            if base_model:
                headers["X-Siskindrift-Model"] = MODEL
            had = len(stream.versions)
            if had:
                headers["Last-Event-Id"] = str(had)
                headers["Resumes"] = self.new_id() if unknown_origin else first
                stream.resumed += 1
                stream.take_ups += 0 if broken else 1
                broken = True
            stream.attempts += 1
            await self.attempt(stream, gateway, headers, breaks.pop(0) if breaks else 0)
            if len(stream.versions) > had:
                first = first or request_id
                stream.went_on += 1 if had else 0
                stream.taken_up += 1 if had else 0
                broken = False
            elif had and stream.statuses[-1] in (502, 504):
                break
            else:
                await asyncio.sleep(0.1)
            others = [i for i in range(GATEWAYS) if i != gateway]
            gateway = next_gateway if next_gateway is not None else self.random.choice(others)
        return stream

    async def call(self, gateway):
        pending = []
        while self.calling:
            breaks = [self.random.choice((1, 1, 2, 5)) for _ in range(self.random.randrange(4))]
            pending.append(asyncio.create_task(self.run_stream(gateway, breaks)))
            await asyncio.sleep(self.random.expovariate(PER_S))
        await asyncio.gather(*pending)

    async def run_callers(self, seconds, during=None):
        self.calling = True
        callers = [asyncio.create_task(self.call(i)) for i in range(GATEWAYS)]
        await (during() if during else asyncio.sleep(seconds))
        self.calling = False
        await asyncio.gather(*callers)

    def check_one_version(self):
        mixed = [s for s in self.streams if len(set(s.versions)) > 1]
        self.assertEqual([], [collections.Counter(s.versions) for s in mixed])

    def check_share_resumed(self):
        begun = sum(1 for s in self.streams if s.versions)
        resumed = sum(s.resumed for s in self.streams)
        went_on = sum(s.went_on for s in self.streams)
        self.assertGreaterEqual(resumed, MIN_RESUMED)
        self.assertGreaterEqual(went_on / resumed,
                                MIN_RESUMED_SHARE * begun / len(self.streams),
                                f"{went_on} of {resumed} went on, "
                                f"{begun} of {len(self.streams)} began")

    def check_share_taken_up(self):
        begun = sum(1 for s in self.streams if s.versions)
        take_ups = sum(s.take_ups for s in self.streams)
        taken_up = sum(s.taken_up for s in self.streams)
        self.assertGreaterEqual(take_ups, MIN_RESUMED)
        statuses = collections.Counter(status for s in self.streams if s.taken_up < s.take_ups
                                       for status in s.statuses)
        self.assertGreaterEqual(taken_up / take_ups,
                                MIN_RESUMED_SHARE * begun / len(self.streams),
                                f"{taken_up} of {take_ups} went on, {begun} of "
                                f"{len(self.streams)} began; {statuses}")

    async def kill_at_once(self, names):
        for name in names:
            self.platform.signal(name, signal.SIGKILL)
        for name in names:
            await self.platform.wait_for_exit(name, 5)
        for name in names:
            self.platform.start(name)

    async def install_and_settle(self, versions):
        self.install(versions)
        await asyncio.sleep(SETTLE_S)

    async def test_streams_of_callers_that_change_gateways_hold_one_software_version(self):
        await self.install_and_settle(["v1"] * 3 + ["v2"] * 3)
        await self.run_callers(6.0)
        self.check_one_version()
        self.check_share_resumed()

    async def test_streams_that_upstreams_break_off_hold_one_software_version(self):
        await self.install_and_settle(["v1"] * 3 + ["v2"] * 3)
        for upstream in self.engines:
            upstream.broken_response_share = 0.3
        await self.run_callers(6.0)
        self.check_one_version()

    async def test_streams_hold_one_software_version_while_versions_come_and_go(self):
        async def change_versions():
            await asyncio.sleep(1.0)
            for versions in (["v2"] + ["v1"] * 5, ["v2"] * 3 + ["v1"] * 3,
                             ["v2"] * 4 + ["v3"] * 2, ["v1"] * 4 + ["v3"] * 2, ["v1"] * 6):
                self.install(versions)
                await asyncio.sleep(1.5)
        await self.install_and_settle(["v1"] * 6)
        await self.run_callers(0, change_versions)
        self.check_one_version()

    async def test_streams_of_killed_gateways_go_on_at_their_software_version(self):
        async def kill_gateways():
            for round_number in range(6):
                await asyncio.sleep(1.0)
                name = self.platform.gateways[round_number % GATEWAYS]
                self.platform.signal(name, signal.SIGKILL)
                await self.platform.wait_for_exit(name, 5)
                self.platform.start(name)
        await self.install_and_settle(["v1"] * 3 + ["v2"] * 3)
        await self.run_callers(0, kill_gateways)
        self.check_one_version()
        self.check_share_resumed()

    async def test_streams_go_on_after_all_gateways_were_killed_at_once(self):
        async def kill_all():
            for _ in range(3):
                await asyncio.sleep(2.5)
                await self.kill_at_once(self.platform.gateways)
            await asyncio.sleep(2.0)
        await self.install_and_settle(["v1"] * 3 + ["v2"] * 3)
        await self.run_callers(0, kill_all)
        self.check_one_version()
        self.check_share_taken_up()

    async def test_streams_go_on_after_all_gateways_and_coordinators_were_killed_at_once(self):
        async def kill_all():
            for _ in range(2):
                await asyncio.sleep(3.0)
                await self.kill_at_once(self.platform.gateways + self.platform.coordinators)
            await asyncio.sleep(4.0)
        await self.install_and_settle(["v1"] * 3 + ["v2"] * 3)
        await self.run_callers(0, kill_all)
        self.check_one_version()

    async def test_streams_hold_one_version_when_gateways_are_killed_as_a_version_leaves(self):
        async def change_and_kill():
            for versions in (["v2"] * 2 + ["v1"] * 4, ["v2"] * 4 + ["v1"] * 2, ["v2"] * 6):
                await asyncio.sleep(1.5)
                self.install(versions)
                await asyncio.sleep(0.5)
                await self.kill_at_once(self.platform.gateways)
            await asyncio.sleep(2.0)
        await self.install_and_settle(["v1"] * 6)
        await self.run_callers(0, change_and_kill)
        self.check_one_version()

    async def test_streams_go_on_at_their_software_version_without_coordinators(self):
        async def stop_coordinators():
            await asyncio.sleep(2.0)
            for name in self.platform.coordinators:
                self.platform.signal(name, signal.SIGSTOP)
            await asyncio.sleep(5.0)
            for name in self.platform.coordinators:
                self.platform.signal(name, signal.SIGCONT)
        await self.install_and_settle(["v1"] * 3 + ["v2"] * 3)
        await self.run_callers(0, stop_coordinators)
        self.check_one_version()
        self.check_share_resumed()

    async def test_streams_taken_up_beside_a_coordinator_that_stood_still_hold_one_version(self):
        stopped = self.platform.gateways[0]
        await self.install_and_settle(["v1"] * 6)
        for number, coordinator in enumerate(self.platform.coordinators):
            for name in (stopped, coordinator):
                self.platform.signal(name, signal.SIGSTOP)
            self.install(["v2"] * 3 + ["v1"] * 3 if number % 2 == 0 else ["v1"] * 6)
            await asyncio.sleep(3.0)
            streams = [asyncio.create_task(self.run_stream(1 + i % 3, [2], next_gateway=0))
                       for i in range(30)]
            await asyncio.sleep(1.0)
            for name in (stopped, coordinator):
                self.platform.signal(name, signal.SIGCONT)
            await asyncio.gather(*streams)
        self.check_one_version()
        self.check_share_taken_up()

    async def test_streams_of_unknown_origin_go_on_only_if_one_version_has_served(self):
        alone = [await self.run_stream(0, [2], unknown_origin=True) for _ in range(4)]
        self.assertTrue(all(s.complete for s in alone), [s.statuses for s in alone])
        await self.install_and_settle(["v1"] * 3 + ["v2"] * 3)
        mixed = [await self.run_stream(0, [2], unknown_origin=True) for _ in range(2)]
        for stream in mixed:
            self.assertFalse(stream.complete)
            self.assertEqual({503}, set(stream.statuses[1:]))


if __name__ == "__main__":
    unittest.main(verbosity=2)
