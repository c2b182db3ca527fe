"""What the scripts of the review share: the test fixture of the project, and a stand-in for an engine.

The fixture (tests/platform_fixture.py) starts gateways and coordinators as separate processes on
loopback addresses. The stand-in follows PROTOCOL.md where the fixture's engine is simpler: a load
takes time and is listed as `Coming`, adapters and the base model share `WeightsMb`, and an engine
that is ordered to load more than it holds crashes.
"""

import asyncio
import json
import os
import pathlib
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
os.environ.setdefault("SISKINDRIFT_BIN", str(ROOT / "target" / "bin"))
sys.path.insert(0, str(ROOT / "tests"))
sys.dont_write_bytecode = True

import platform_fixture as fixture  # noqa: E402, needs the path above

fixture.ANNOUNCE_S = 1.2  # HeartbeatMs of DEPLOY.md


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begun = time.monotonic()

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.begun:8.3f} s  {text}\n")
        self.file.flush()


class Engine(fixture.Upstream):
    """An engine with one base model, whose adapters share its memory for weights."""

    def __init__(self, platform, name, host, settings, record):
        super().__init__(platform, name, "models", host, settings["AdapterSlots"])
        self.settings = settings
        self.record = record
        self.coming = {}
        self.overloaded = 0
        self.ended_runs = 0

    def weights_mb(self, adapters):
        model = self.settings["Models"][0]
        return model["WeightsMb"] + model["AdapterMb"] * adapters

    async def answer(self, writer, method, path, headers, body):
        expected = headers.get("x-siskindrift-expect-instance", self.name)
        if path == "/api/report" and expected == self.name:
            return await self.reply(writer, 200, "", json.dumps({
                "born": self.started_ms, "Models": self.models(), "Busy": False, "Seq": self.orders,
                "Waiting": 0, "Running": self.running,
                "Coming": [f"{fixture.MODEL}/{name}@{version}"
                           for name, version in self.coming.items()]}).encode())
        return await super().answer(writer, method, path, headers, body)

    def apply_order(self, order):
        status = self.judge_order(order)
        self.record.line(f"order to {self.name}: {order['Op']} {order.get('Adapter', '')} Expect "
                         f"{order.get('Expect')} Fence {order['Fence']} -> {status}; holds "
                         f"{len(self.adapters)}, coming {len(self.coming)}, "
                         f"{self.weights_mb(len(self.adapters) + len(self.coming)):.0f} of "
                         f"{self.settings['WeightsMb']:.0f} MB")
        return status

    def judge_order(self, order):
        if order["Fence"] < self.fence:
            return 412
        self.fence = order["Fence"]
        if order.get("Expect", self.orders) != self.orders:
            return 409
        adapter = order.get("Adapter", "")
        if not adapter:
            return 200
        if order["Op"] == "model_unload":
            if adapter in self.adapters:
                self.adapters.pop(adapter)
                self.orders += 1
            return 200
        if adapter in self.adapters:
            return 200
        if adapter in self.coming:
            return 202
        held = len(self.adapters) + len(self.coming) + 1
        self.orders += 1
        if held > self.settings["AdapterSlots"] or self.weights_mb(held) > self.settings["WeightsMb"]:
            self.overloaded += 1
            self.ended_runs += self.running
            self.record.line(f"LIMIT: {self.name} is ordered to hold {held} adapters, "
                             f"{self.weights_mb(held):.0f} MB of {self.settings['WeightsMb']:.0f}; "
                             f"it crashes under {self.running} running requests")
            self.platform.tasks.append(asyncio.create_task(self.crash(600.0)))  # for good
            return 202
        version = order.get("Version", 1)
        self.coming[adapter] = version
        self.platform.tasks.append(asyncio.create_task(self.load(adapter, version)))
        return 202

    async def load(self, adapter, version):
        run = self.started_ms
        await asyncio.sleep(0.25)
        if run == self.started_ms and self.coming.pop(adapter, None) is not None:
            self.adapters[adapter] = version

    async def crash(self, down_s, software=None):
        self.coming.clear()
        await super().crash(down_s, software)
