"""A worker leaves with a DELETE; processes are killed at once; an older status report arrives late.

The core and one gateway are killed: half of the processes.

Exit status: 1 if requests reach the worker later than DrainMs after the DELETE was acknowledged, 0 if
not, 2 if the case could not run. TROUBLE=0 leaves out the kill.
"""

import asyncio
import json
import os
import pathlib
import shutil
import signal
import sys
import tempfile
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent.parent / "tests"))

import platform_fixture  # noqa: E402
from platform_fixture import PlatformFixture, Upstream, call_once, request_headers  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_S = 1.2       # HeartbeatMs
STABLE_WINDOW_S = 3.0   # StableWindowMs
DRAIN_S = 2.0           # DrainMs
ACK_S = 1.0             # a report is acknowledged if its answer comes within a second
RESTART_S = 0.3         # until a killed process starts again
LATE_AFTER_START_S = 4.5  # when the late report arrives, from the restart
SERVES_ON_S = 14.0      # the worker serves for so long after the ack ("at times many seconds")
PAUSE_S = 0.05          # between two requests at each gateway

platform_fixture.ANNOUNCE_S = HEARTBEAT_S


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


def report(worker):
    worker.announcements += 1
    return json.dumps({"Service": worker.service, "Address": worker.address, "Zone": "a",
                       "Version": worker.software, "Slots": platform_fixture.SLOTS,
                       "State": "ready", "ColdLeftMs": 0, "Models": [],
                       "Seq": worker.announcements, "born": worker.started_ms}).encode()


class LeavingWorker(Upstream):
    """Reports about every HeartbeatMs until the script takes over."""
    leaving = False

    async def announce(self):
        while not self.leaving and not self.platform.finished:
            for address in self.platform.random.sample(self.platform.control_addresses, 3):
                answer = await call_once(address, "PUT", f"/api/instances/{self.name}",
                                         body=report(self), limit=ACK_S)
                if answer.status == 200:
                    break
            await asyncio.sleep(HEARTBEAT_S)


class SlowPath:
    """A proxy before one coordinator: keeps what it receives until it is released."""

    def __init__(self, listen, target):
        self.listen, self.target = listen, target
        self.released = asyncio.Event()
        self.delivered_at = None
        self.status = None

    async def start(self):
        ip, port = self.listen.split(":")
        self.server = await asyncio.start_server(self.accept, ip, int(port))

    async def accept(self, reader, writer):
        data = b""
        while True:  # the peer gives up after a second; its bytes are on their way all the same
            part = await reader.read(65536)
            if not part:
                break
            data += part
        await self.released.wait()
        ip, port = self.target.split(":")
        to_reader, to_writer = await asyncio.open_connection(ip, int(port))
        to_writer.write(data)
        await to_writer.drain()
        self.delivered_at = time.monotonic()
        self.status = (await to_reader.readline()).decode().strip()
        to_writer.close()
        writer.close()


async def caller(platform, index, number, stop):
    """Sends safe requests to one gateway, each on a channel of its own."""
    while not stop.is_set():
        number[0] += 1
        request_id = f"{number[0]:016x}"
        platform.sent[request_id] = (time.monotonic(), index)
        answer = await call_once(platform.caller_address(index), "POST", "/safe/x",
                                 request_headers(request_id, 1.0), limit=1.2)
        platform.answers[request_id] = answer.status
        await asyncio.sleep(PAUSE_S)


async def run(platform, record):
    platform.sent = {}
    platform.answers = {}
    await platform.start_all()
    processes = platform.coordinators + platform.gateways
    record("started: " + ", ".join(processes))
    worker = platform.upstreams[2]
    slow = SlowPath(f"127.7.5.1:{platform.port + 3}", platform.control_addresses[1])
    await slow.start()
    stop = asyncio.Event()
    number = [0]
    callers = [asyncio.create_task(caller(platform, i, number, stop))
               for i in range(len(platform.gateways))]
    await asyncio.sleep(STABLE_WINDOW_S + 2)

    worker.leaving = True  # what it says from now on is below
    await asyncio.sleep(0.1)
    body = report(worker)
    record(f"{worker.name}: PUT ready, Seq {worker.announcements}, to {platform.coordinators[1]}, "
           f"on a slow path")
    answer = await call_once(slow.listen, "PUT", f"/api/instances/{worker.name}", body=body,
                             limit=ACK_S)
    record(f"{worker.name}: no answer within {ACK_S} s" if not answer.status else "answered")
    body = report(worker)
    answer = await call_once(platform.control_addresses[2], "PUT",
                             f"/api/instances/{worker.name}", body=body)
    record(f"{worker.name}: PUT ready, Seq {worker.announcements}, to {platform.coordinators[2]}: "
           f"{answer.status}")
    await asyncio.sleep(0.5)
    answer = await call_once(platform.control_addresses[0], "DELETE",
                             f"/api/instances/{worker.name}")
    acknowledged = time.monotonic()
    record(f"{worker.name}: DELETE to {platform.coordinators[0]}: {answer.status}; "
           f"it serves on for {SERVES_ON_S} s")
    if answer.status != 200:
        return 2
    await asyncio.sleep(0.3)
    started = 0.0
    if TROUBLE:
        killed = platform.coordinators + platform.gateways[:1]
        for name in killed:
            platform.signal(name, signal.SIGKILL)
        for name in killed:
            await platform.wait_for_exit(name, 5)
        record(f"disruption: {len(killed)} of {len(processes)} processes are killed at the same "
               f"moment: {', '.join(killed)}")
        await asyncio.sleep(RESTART_S)
        for name in killed:
            platform.start(name)
        started = time.monotonic()
        record("they run again, the disks as they were")
    else:
        await asyncio.sleep(RESTART_S)
    await asyncio.sleep(LATE_AFTER_START_S)
    slow.released.set()
    await asyncio.sleep(0.3)
    record(f"the PUT with Seq {worker.announcements - 1} arrives: {slow.status}", slow.delivered_at)
    await asyncio.sleep(max(acknowledged + SERVES_ON_S - time.monotonic(), 0))
    stop.set()
    await asyncio.gather(*callers)
    # Twice the window, as after a final fault that took most of the core.
    in_touch = started + 2 * STABLE_WINDOW_S
    late = [(at, request) for at, upstream, request in platform.reached
            if upstream == worker.name and at > acknowledged + DRAIN_S and
            platform.sent[request][0] > in_touch]
    others = [at for at, upstream, request in platform.reached
              if upstream != worker.name and at > acknowledged + DRAIN_S]
    record(f"later than {DRAIN_S} s after the ack, from gateways that have run for more than "
           f"{2 * STABLE_WINDOW_S} s: {len(late)} requests reach {worker.name}; {len(others)} reach "
           f"other workers")
    for at, request in late[:5]:
        record(f"request {request} reaches {worker.name} {at - acknowledged:.2f} s after the ack, "
               f"sent to gateway-{platform.sent[request][1] + 1}", at)
    runs = {}
    for _, upstream, request in platform.reached:
        runs.setdefault(request, []).append(upstream)
    for request, (sent, index) in platform.sent.items():
        record.only_in_file(f"request {request} sent to gateway-{index + 1}: "
                            f"{platform.answers.get(request)}; run at {runs.get(request, [])}", sent)
    if not others or slow.delivered_at is None:
        record("could not run: no request was served, or the late report didn't arrive")
        return 2
    if late:
        record("rule broken")
        return 1
    record("rule held")
    return 0


class Deployment(PlatformFixture):
    def __init__(self, folder):
        super().__init__(folder, seed=9, gateways=5, plain=3, engines=1)
        self.upstreams[2] = LeavingWorker(self, "plain-3", "desk", 3)
        self.reached = []

    def settings_for(self, name):
        return {**super().settings_for(name), "announcement_ms": int(HEARTBEAT_S * 1000)}


async def main():
    record = Record()
    folder = tempfile.mkdtemp(prefix="review-9-")
    platform = Deployment(folder)

    async def execute(writer, path, headers, request_id, upstream):
        platform.reached.append((time.monotonic(), upstream.name, request_id))
        return await type(upstream).execute(upstream, writer, path, headers, request_id)
    for upstream in platform.upstreams:
        upstream.execute = (lambda writer, path, headers, request_id, upstream=upstream:
                            execute(writer, path, headers, request_id, upstream))
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
