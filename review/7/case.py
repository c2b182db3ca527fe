"""New versions of an adapter are named one after the other, more than version_ms apart.

Exit status: 1 if a request begins on a version later than version_ms after a newer one was
acknowledged, 0 if not, 2 if the case could not run. TROUBLE=0 leaves out the last version.
"""

import asyncio
import json
import os
import pathlib
import shutil
import sys
import tempfile
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent.parent / "tests"))

from platform_fixture import (MODEL, Connection, PlatformFixture, Upstream,  # noqa: E402
                              request_headers)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ADAPTER = "a1"
VERSION_S = 5.0         # version_ms
STABLE_WINDOW_S = 3.0   # StableWindowMs
APART_S = 8.0           # between the acks of two versions
PAUSE_S = 0.1           # between two requests at each gateway
WATCH_S = 4.0           # after the last version
LOAD_S = 0.25           # an adapter takes 250 ms


class Record:
    def __init__(self):
        self.begun = time.monotonic()
        self.file = (HERE / "record.txt").open("w")

    def __call__(self, text, at=None):
        line = f"{(at or time.monotonic()) - self.begun:7.2f} {text}"
        print(line, flush=True)
        self.file.write(line + "\n")
        self.file.flush()

    def only_in_file(self, text, at):
        self.file.write(f"{at - self.begun:7.2f} {text}\n")


class Engine(Upstream):
    """A model worker that knows versions of adapters; it holds the first one from its start."""

    def __init__(self, platform, name, host):
        super().__init__(platform, name, "models", host, adapter_slots=4)
        self.adapters[ADAPTER] = 1
        self.runs_of = {}
        self.replacing = {}  # adapters that are being replaced: version

    def apply_order(self, order):
        """A replacement is accepted, waits for its runs to finish, and then takes a load's time."""
        name = order.get("Adapter", "")
        version = order.get("Version", self.platform.newest)
        if order["Op"] != "model_load" or self.adapters.get(name, version) >= version:
            return super().apply_order(order)
        if order["Fence"] < self.fence:
            return 412
        self.fence, self.holder = order["Fence"], order["Holder"]
        if name in self.replacing:
            return 202  # it is being carried out
        if order.get("Expect", self.orders) != self.orders:
            return 409
        self.orders += 1
        self.replacing[name] = version
        self.platform.record(f"{self.name}: accepts to load {name}@{version} for "
                             f"{order['Holder']}, {self.runs_of.get(name, 0)} runs under way")
        self.platform.tasks.append(asyncio.create_task(self.replace(name, version)))
        return 202

    async def replace(self, name, version):
        while self.runs_of.get(name):
            await asyncio.sleep(0.01)
        await asyncio.sleep(LOAD_S)
        self.adapters[name] = version
        del self.replacing[name]
        self.platform.record(f"{self.name}: holds {name}@{version}")

    async def answer(self, writer, method, path, headers, body):
        request_id = headers.get("x-siskindrift-request-id", "")
        name = headers.get("x-siskindrift-model", "").partition("/")[2]
        wanted = headers.get("x-siskindrift-expect-version")
        if name in self.adapters and wanted and int(wanted) != self.adapters[name]:
            return await self.reply(writer, 421, request_id, not_run=True)
        if name in self.replacing:  # the order concerns it, and it has not started
            return await self.reply(writer, 503, request_id, not_run=True)
        return await super().answer(writer, method, path, headers, body)

    async def execute(self, writer, path, headers, request_id):
        name = headers.get("x-siskindrift-model", "").partition("/")[2]
        self.platform.begins.append((time.monotonic(), request_id, self.name, self.adapters[name]))
        self.runs_of[name] = self.runs_of.get(name, 0) + 1
        try:
            return await super().execute(writer, path, headers, request_id)
        finally:
            self.runs_of[name] -= 1


class Deployment(PlatformFixture):
    def __init__(self, folder, record):
        super().__init__(folder, seed=7, plain=1, engines=2)
        self.upstreams[1:] = [Engine(self, f"engine-{i + 1}", i + 101) for i in range(2)]
        self.record = record
        self.newest = 1
        self.begins = []  # (time, request, engine, version)
        self.sent = {}    # request: gateway
        self.calls = []   # (time, request, gateway, status)


async def name_version(platform, version):
    body = json.dumps({"Model": MODEL, "Adapter": ADAPTER, "Version": version}).encode()
    platform.newest = version
    while True:  # the call is resent until it receives a 2xx response
        answer = await platform.control_call("POST", "/api/version-put", body)
        if answer.status == 200:
            platform.record(f"operator: version {version} of {MODEL}/{ADAPTER}: 200")
            return time.monotonic()
        await asyncio.sleep(0.1)


async def caller(platform, index, stop):
    connection = Connection(platform.caller_address(index))
    number = 0
    while not stop.is_set():
        number += 1
        request_id = f"{index + 1:04x}{number:012x}"
        platform.sent[request_id] = index
        sent = time.monotonic()
        answer = await connection.call(
            "POST", "/once/x", request_headers(request_id, 4.0, ADAPTER, 3), limit=4.5)
        platform.calls.append((sent, request_id, index, answer.status))
        await asyncio.sleep(PAUSE_S)
    connection.close()


async def run(platform, record):
    await platform.start_all()
    record("started: " + ", ".join(platform.coordinators + platform.gateways))
    record(f"both engines hold {ADAPTER}@1 from their start")
    stop = asyncio.Event()
    callers = [asyncio.create_task(caller(platform, i, stop))
               for i in range(len(platform.gateways)) for _ in range(1)]
    await asyncio.sleep(STABLE_WINDOW_S + 1)
    acks = {2: await name_version(platform, 2)}
    await asyncio.sleep(APART_S)
    if TROUBLE:
        acks[3] = await name_version(platform, 3)
    await asyncio.sleep(WATCH_S)
    stop.set()
    await asyncio.gather(*callers)
    for version in (1, 2, 3):
        begun = [at for at, _, _, held in platform.begins if held == version]
        if begun:
            record(f"requests that began on version {version}: {len(begun)}, the last "
                   f"{max(begun) - record.begun:.2f} s after the start")
    runs = {request_id: (engine, held) for _, request_id, engine, held in platform.begins}
    for sent, request_id, index, status in platform.calls:
        record.only_in_file(f"request {request_id} sent to gateway-{index + 1}: {status}; begun at "
                            f"{runs.get(request_id, 'no engine')}", sent)
    late = []
    for at, request_id, engine, held in platform.begins:
        newer = [acked for version, acked in acks.items() if version > held]
        if newer and at - min(newer) > VERSION_S:
            late.append((at, request_id, engine, held, at - min(newer)))
    for at, request_id, engine, held, after in late[:10]:
        record(f"request {request_id}, sent to gateway-{platform.sent[request_id] + 1}, begins at "
               f"{engine} on version {held}, {after:.2f} s after version {held + 1} was acknowledged",
               at)
    if not any(held == 2 for _, _, _, held in platform.begins):
        record("could not run: no request began on version 2")
        return 2
    record(f"requests that began on a version later than {VERSION_S} s after a newer one was "
           f"acknowledged: {len(late)} of {len(platform.begins)}")
    record("rule broken" if late else "rule held")
    return 1 if late else 0


async def main():
    record = Record()
    folder = tempfile.mkdtemp(prefix="review-7-")
    platform = Deployment(folder, record)
    try:
        return await asyncio.wait_for(run(platform, record), 110)
    except Exception as error:  # the case could not run
        record(f"could not run: {type(error).__name__}: {error}")
        return 2
    finally:
        platform.finished = True
        platform.stop_all()
        shutil.rmtree(folder, ignore_errors=True)


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
