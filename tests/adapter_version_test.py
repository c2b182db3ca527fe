"""Tests that requests begin on no version of an adapter that was replaced long before.

Guards against answers of old weights: each version counts as replaced from the acknowledgement of
the first newer one, whoever hears of it late, and however many are named after it.
"""

import asyncio
import json
import os
import shutil
import signal
import tempfile
import time
import unittest

from platform_fixture import MODEL, Connection, PlatformFixture, Upstream, request_headers

ADAPTER = "a1"
OUTDATED_S = 5.0   # from an acknowledgement until no request begins on an older version
APART_S = 6.5      # between two versions of which the former is outdated by then
LOAD_S = 0.25
PAUSE_S = 0.05     # between two requests at each gateway
SETTLE_S = 3.0
WATCH_S = 3.0
DOWN_S = 0.3


class VersionedEngine(Upstream):
    """Replaces an adapter once its runs have ended; refuses requests for it meanwhile."""

    def __init__(self, platform, name, host):
        super().__init__(platform, name, "models", host, adapter_slots=4)
        self.adapters[ADAPTER] = 1
        self.replacing = False

    def apply_order(self, order):
        version = order.get("Version", self.platform.newest)
        held = self.adapters.get(order.get("Adapter", ""), version)
        if order["Op"] != "model_load" or held >= version:
            return super().apply_order(order)
        if order["Fence"] < self.fence:
            return 412
        self.fence, self.holder = order["Fence"], order["Holder"]
        if self.replacing:
            return 202
        if order.get("Expect", self.orders) != self.orders:
            return 409
        self.orders += 1
        self.replacing = True
        self.platform.tasks.append(asyncio.create_task(self.replace(order["Adapter"], version)))
        return 202

    async def replace(self, adapter, version):
        while self.running:
            await asyncio.sleep(0.01)
        await asyncio.sleep(LOAD_S)
        self.adapters[adapter] = version
        self.replacing = False

    async def answer(self, writer, method, path, headers, body):
        request_id = headers.get("x-siskindrift-request-id", "")
        adapter = headers.get("x-siskindrift-model", "").partition("/")[2]
        expected = headers.get("x-siskindrift-expect-version")
        if adapter in self.adapters and expected and int(expected) != self.adapters[adapter]:
            return await self.reply(writer, 421, request_id, not_run=True)
        if adapter and self.replacing:
            return await self.reply(writer, 503, request_id, not_run=True)
        return await super().answer(writer, method, path, headers, body)

    async def execute(self, writer, path, headers, request_id):
        adapter = headers.get("x-siskindrift-model", "").partition("/")[2]
        self.platform.begun.append((time.monotonic(), self.adapters[adapter]))
        return await super().execute(writer, path, headers, request_id)


class AdapterVersionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.folder = tempfile.mkdtemp(prefix="adapter-version-test-")
        self.platform = PlatformFixture(self.folder, seed=7, plain=1, engines=2)
        self.platform.upstreams[1:] = [VersionedEngine(self.platform, f"engine-{i}", 100 + i)
                                       for i in (1, 2)]
        self.platform.newest = 1
        self.platform.begun = []  # (time, version) of each request
        self.named = {}           # times of the acknowledgements
        self.calling = True
        self.callers = []
        try:
            await self.platform.start_all()
            self.callers = [asyncio.create_task(self.call(i))
                            for i in range(len(self.platform.gateways))]
            await asyncio.sleep(SETTLE_S)
        except BaseException:
            await self.asyncTearDown()
            raise

    async def asyncTearDown(self):
        self.calling = False
        await asyncio.gather(*self.callers)
        self.platform.finished = True
        self.platform.stop_all()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder)

    async def call(self, index):
        number = 0
        while self.calling:
            number += 1
            connection = Connection(self.platform.caller_address(index))
            await connection.call("POST", "/once/x", request_headers(
                f"{index + 1:04x}{number:012x}", 2.0, ADAPTER, 3), limit=2.5)
            connection.close()
            await asyncio.sleep(PAUSE_S)

    async def name(self, version):
        body = json.dumps({"Model": MODEL, "Adapter": ADAPTER, "Version": version}).encode()
        self.platform.newest = version
        while (await self.platform.control_call("POST", "/api/version-put", body)).status != 200:
            await asyncio.sleep(0.1)
        self.named[version] = time.monotonic()

    async def check(self, newest):
        """Watches on; then the newest version is in use, and nothing has begun on an old one."""
        await asyncio.sleep(WATCH_S)
        late = []
        for at, version in self.platform.begun:
            newer = [named for other, named in self.named.items() if other > version]
            if newer and at - min(newer) > OUTDATED_S:
                late.append((version, round(at - min(newer), 2)))
        self.assertEqual(late, [])
        self.assertEqual(self.platform.begun[-1][1], newest)

    async def restart(self, names):
        for name in names:
            self.platform.signal(name, signal.SIGKILL)
            await self.platform.wait_for_exit(name, 5)
        await asyncio.sleep(DOWN_S)
        for name in names:
            self.platform.start(name)

    async def test_versions_that_are_named_one_after_the_other(self):
        await self.name(2)
        await asyncio.sleep(APART_S)
        await self.name(3)
        await self.check(3)

    async def test_versions_that_follow_closely_after_a_pause(self):
        await self.name(2)
        await asyncio.sleep(APART_S)
        for version in (3, 4, 5):
            await self.name(version)
            await asyncio.sleep(0.2)
        await self.check(5)

    async def test_a_version_of_which_restarted_gateways_hear_late(self):
        await self.name(2)
        await asyncio.sleep(APART_S)
        await self.restart(self.platform.gateways)
        await self.name(3)
        await self.check(3)

    async def test_a_version_that_restarted_coordinators_tell(self):
        await self.name(2)
        await asyncio.sleep(APART_S)
        await self.restart(self.platform.coordinators)
        await self.name(3)
        await self.check(3)


if __name__ == "__main__":
    unittest.main(verbosity=2, warnings="ignore")
