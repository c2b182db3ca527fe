"""Tests that an acknowledged departure of an upstream outlasts the memory of all processes."""

import asyncio
import json
import os
import shutil
import signal
import tempfile
import time
import unittest

import platform_fixture
from platform_fixture import PlatformFixture, Upstream, call_once, request_headers

ANSWER_S = 1.0     # an announcement counts as acknowledged if its answer comes within this time
DRAIN_S = 2.0      # requests may reach the upstream for so long after the acknowledgement
DOWN_S = 0.3       # until killed processes run again
RECOVERED_S = 3.0  # from their start until gateways know the upstreams
WATCH_S = 3.0      # after a late announcement
BACK_S = 2.0       # until a new run of an upstream is used


class LeavingUpstream(Upstream):
    """Announces itself until the test takes over."""

    leaving = False

    async def announce(self):
        while not self.leaving and not self.platform.finished:
            await self.call("PUT", self.report("ready"))
            await asyncio.sleep(platform_fixture.ANNOUNCE_S)

    def report(self, state):
        self.announcements += 1
        return json.dumps({
            "Service": self.service, "Address": self.address, "Zone": "a",
            "Version": self.software, "Slots": platform_fixture.SLOTS, "State": state,
            "ColdLeftMs": 0, "Models": [], "Seq": self.announcements,
            "born": self.started_ms}).encode()

    async def call(self, method, body=b""):
        """Calls coordinators until one acknowledges; returns whether one did."""
        for address in self.platform.control_addresses:
            answer = await call_once(address, method, f"/api/instances/{self.name}", body=body,
                                     limit=ANSWER_S)
            if answer.status == 200:
                return True
        return False


class DepartureTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.folder = tempfile.mkdtemp(prefix="departure-test-")
        self.platform = PlatformFixture(self.folder, seed=9, coordinators=3, gateways=2, plain=2,
                                        engines=0)
        self.leaver = self.platform.upstreams[1]
        self.leaver.__class__ = LeavingUpstream
        self.next_id = 0
        try:
            await self.platform.start_all()
            await asyncio.sleep(RECOVERED_S)
        except BaseException:
            await self.asyncTearDown()
            raise

    async def asyncTearDown(self):
        self.platform.finished = True
        self.platform.stop_all()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder)

    async def restart(self, names):
        for name in names:
            self.platform.signal(name, signal.SIGKILL)
        for name in names:
            await self.platform.wait_for_exit(name, 5)
        await asyncio.sleep(DOWN_S)
        for name in names:
            self.platform.start(name)
        await asyncio.sleep(RECOVERED_S)

    async def reaches_leaver(self, seconds):
        """Sends requests through both gateways; returns whether one reaches the upstream."""
        begun = time.monotonic()
        while time.monotonic() < begun + seconds:
            for index in range(2):
                self.next_id += 1
                await call_once(self.platform.caller_address(index), "POST", "/safe/x",
                                request_headers(f"{self.next_id:016x}", 1.0), limit=1.2)
            await asyncio.sleep(0.02)
        return any(at > begun and name == self.leaver.name
                   for at, name in self.platform.arrivals_by_upstream)

    async def leave(self, method, state=None):
        """Lets the upstream leave; returns an announcement that is still on its way."""
        self.leaver.leaving = True
        await asyncio.sleep(platform_fixture.ANNOUNCE_S)
        late = self.leaver.report("ready")
        body = self.leaver.report(state) if state else b""
        self.assertTrue(await self.leaver.call(method, body))
        return late

    async def check_late_announcement(self, late):
        await asyncio.sleep(DRAIN_S)
        await self.leaver.call("PUT", late)
        self.assertFalse(await self.reaches_leaver(WATCH_S))

    async def test_a_withdrawal_holds_when_all_coordinators_are_killed(self):
        """A late announcement brought the upstream back."""
        late = await self.leave("DELETE")
        await self.restart([*self.platform.coordinators, "gateway-1"])
        await self.check_late_announcement(late)

    async def test_an_announced_end_holds_when_all_processes_are_killed(self):
        """The same for an upstream that drains."""
        late = await self.leave("PUT", "draining")
        await self.restart([*self.platform.coordinators, *self.platform.gateways])
        await self.check_late_announcement(late)

    async def test_a_new_run_is_used_at_once(self):
        await self.leave("DELETE")
        await self.restart(self.platform.coordinators)
        self.leaver.started_ms = int(time.time() * 1000)
        self.leaver.announcements = 0
        self.assertTrue(await self.leaver.call("PUT", self.leaver.report("ready")))
        self.assertTrue(await self.reaches_leaver(BACK_S))


if __name__ == "__main__":
    unittest.main(verbosity=2, warnings="ignore")
