"""Demand moves to other adapters at engines whose memory is used up before their adapter slots."""

import asyncio
import json
import os
import pathlib
import sys
import tempfile
import time

HERE = pathlib.Path(__file__).resolve().parent
ROOT = HERE.parent.parent
os.environ.setdefault("SISKINDRIFT_BIN", str(ROOT / "target" / "bin"))
sys.path.insert(0, str(ROOT / "tests"))
sys.dont_write_bytecode = True
import platform_fixture as fixture  # noqa: E402, needs the path above

fixture.ANNOUNCE_S = 1.2  # HeartbeatMs of DEPLOY.md

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ENGINES = 2
# The model and the adapters of PROTOCOL.md's example; its engines hold 35,300 MB instead.
ENGINE = {"Slots": fixture.SLOTS, "KvCapacity": 232000, "AdapterSlots": 8, "LoadsPerS": 2.8,
          "WeightsMb": 34500.0,
          "Models": [{"Name": fixture.MODEL, "WeightsMb": 34300.0, "LoadS": 0.6, "Adapters": 3000,
                      "AdapterMb": 40.0}]}
BUSY = [f"a{i}" for i in range(1, 5)]
NEXT = [f"a{i}" for i in range(5, 17)]  # the demand moves on to these, one after the other
EVENTS = 13
SHIFT_S = 3.0  # the site file: model_shift with count 1 over 3 s


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begun = time.monotonic()

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.begun:8.3f} s  {text}\n")
        self.file.flush()


class Engine(fixture.Upstream):
    """An engine with one base model, whose adapters share its memory for weights.

    It follows PROTOCOL.md where the fixture's engine is simpler: a load takes time and is listed as
    `Coming`, and an engine that is ordered to load more than it holds crashes.
    """

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


class Platform(fixture.PlatformFixture):
    def __init__(self, folder, record):
        super().__init__(folder, gateways=2, plain=1, engines=0)
        self.record = record
        self.upstreams += [Engine(self, f"engine-{i + 1}", i + 101, ENGINE, record)
                           for i in range(ENGINES)]
        self.engines = self.upstreams[1:]

    def document(self, version):
        document = super().document(version)
        document["Services"][1]["Engine"] = ENGINE
        return document


async def send(platform, number, adapter):
    request_id = f"{number:016x}"
    headers = fixture.request_headers(request_id, 6.0, adapter, events=EVENTS)
    address = platform.caller_address(number % 2)
    answer = await fixture.call_once(address, "POST", "/once/x", headers, limit=6.5)
    platform.record.line(f"request {request_id} for {adapter}: {answer.status}"
                         f"{' whole' if answer.whole else ' not whole'}")
    return answer


async def main():
    record = Record(HERE / "record.txt")
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        platform = Platform(folder, record)
        try:
            await platform.start_all()
            await asyncio.sleep(2.0)
            requests = []
            begun = time.monotonic()
            for number in range(400):  # 34 s
                adapters = BUSY
                if TROUBLE:
                    # Four adapters are busy at a time; each 3 s one falls silent, the next rises.
                    first = min(int((time.monotonic() - begun) / SHIFT_S), len(NEXT))
                    adapters = (BUSY + NEXT)[first:first + 4]
                requests.append(asyncio.create_task(
                    send(platform, number + 1, adapters[number % len(adapters)])))
                await asyncio.sleep(0.08)
            answers = await asyncio.gather(*requests)
        except (TimeoutError, OSError) as error:
            record.line(f"could not run: {error}")
            return 2
        finally:
            platform.finished = True
            platform.stop_all()
    served = sum(answer.status == 200 and answer.whole for answer in answers)
    cut = sum(answer.status == 200 and not answer.whole for answer in answers)
    overloaded = sum(engine.overloaded for engine in platform.engines)
    record.line(f"{len(answers)} requests, {served} served, {cut} cut midway; "
                f"{overloaded} orders to hold more than WeightsMb or AdapterSlots")
    if served < 20:
        return 2
    return 1 if overloaded else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
