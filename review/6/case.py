"""A core machine is replaced as planned; then one of the others loses its disk after an ack.

Exit status: 1 if the acknowledged configuration can't be read back any more, 0 if it can, 2 if the
case could not run. TROUBLE=0 leaves out the loss of the disk.
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

from platform_fixture import PlatformFixture, call_once  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CATCH_UP_S = 4.0        # CatchUpS
GRACE_S = 8.0           # GraceS
RECOVERY_S = 12.0       # RecoveryS
STABLE_WINDOW_S = 3.0   # StableWindowMs
BORNE = 1               # FaultTolerance.Machines
SUCCESSOR_LEAD_S = 8.0  # the successor runs for so long before the SIGTERM; twice CatchUpS
LOSS_AFTER_S = 1.0      # from the end of the stopped process to the next change
DOWN_S = 1.0            # until the machine that lost its disk runs again
READ_BACK_S = 15.0      # after RecoveryS; the pages ask for StableWindowMs at least


class Record:
    def __init__(self):
        self.begun = time.monotonic()
        self.file = (HERE / "record.txt").open("w")

    def __call__(self, text):
        line = f"{time.monotonic() - self.begun:7.2f} {text}"
        print(line, flush=True)
        self.file.write(line + "\n")
        self.file.flush()


class Deployment(PlatformFixture):
    """Three coordinators that start together, and a fourth that is added later."""

    def __init__(self, folder):
        super().__init__(folder, seed=6, coordinators=4, gateways=2, plain=1, engines=1)
        self.successor = self.coordinators.pop()
        self.first = list(self.coordinators)

    def settings_for(self, name):
        settings = super().settings_for(name)
        inner = [self.inner_addresses(other)[0] for other in self.first]
        if name.startswith("coordinator"):
            # Bootstrap is true only when the whole system starts for the first time.
            first_start = name in self.first and name not in self.started
            return {**settings, "seeds": inner, "losses_borne": BORNE, "first_start": first_start}
        return {**settings, "seeds": inner}

    def control_of(self, name):
        return self.control_addresses[int(name.rpartition("-")[2]) - 1]


async def put(platform, record, names, limit):
    """Sends the next configuration to the named machines in turn until it is acknowledged."""
    platform.version += 1
    version = platform.version
    body = json.dumps(platform.document(version)).encode()
    end = time.monotonic() + limit
    last = None
    while time.monotonic() < end:
        for name in names:
            address = platform.control_of(name)
            for _ in range(3):
                answer = await call_once(address, "PUT", "/api/config", body=body, limit=1.0)
                if answer.status != 307:
                    break
                address = answer.headers["location"].split("/")[2]
            last = answer.status
            if answer.status == 200:
                record(f"operator: PUT version {version} at {address}: 200")
                return version, address
        await asyncio.sleep(0.2)
    record(f"operator: PUT version {version}: no 200 within {limit} s, last status {last}")
    return None, None


async def read(platform, name):
    address = platform.control_of(name)
    for _ in range(3):
        answer = await call_once(address, "GET", "/api/config", limit=1.0)
        if answer.status != 307:
            break
        address = answer.headers["location"].split("/")[2]
    return answer.status, json.loads(answer.body)["Version"] if answer.status == 200 else None


async def members(platform, name):
    address = platform.coordinator_metrics_address(int(name.rpartition("-")[2]) - 1)
    return (int(await platform.read_metric(address, "siskindrift_members")),
            int(await platform.read_metric(address, "siskindrift_voters")))


async def run(platform, record):
    await platform.start_all()
    record("started: " + ", ".join(platform.coordinators + platform.gateways))
    await asyncio.sleep(CATCH_UP_S)
    successor = platform.successor
    platform.coordinators.append(successor)
    platform.start(successor)
    record(f"planned work: {successor} starts with an empty disk, as the successor of another")
    await asyncio.sleep(SUCCESSOR_LEAD_S)
    version, leader_address = await put(platform, record, platform.coordinators, 10)
    if version is None:
        return 2
    leader = next(n for n in platform.coordinators if platform.control_of(n) == leader_address)
    count, voters = await members(platform, leader)
    record(f"{leader} acknowledges; it counts {count} members, {voters} of them voters")
    # Planned: the machine that leaves is neither the one that acknowledges nor the successor.
    leaving = next(n for n in platform.first if n != leader)
    platform.signal(leaving, signal.SIGTERM)
    record(f"planned work: SIGTERM to {leaving}; {successor} has run for {SUCCESSOR_LEAD_S} s, "
           f"CatchUpS is {CATCH_UP_S} s")
    status = await platform.wait_for_exit(leaving, GRACE_S)
    record(f"{leaving} has ended with status {status}; its machine is removed")
    if status is None:
        return 2
    platform.coordinators.remove(leaving)
    await asyncio.sleep(LOSS_AFTER_S)
    version, address = await put(platform, record, platform.coordinators, 10)
    if version is None:
        return 2
    if TROUBLE:
        lost = next(n for n in platform.coordinators if platform.control_of(n) == address)
        platform.signal(lost, signal.SIGKILL)
        await platform.wait_for_exit(lost, 5)
        shutil.rmtree(platform.folder / lost / "data")
        record(f"disruption: {lost} acknowledged version {version} and loses its disk")
        await asyncio.sleep(DOWN_S)
        platform.start(lost)
        record(f"{lost} runs again at its old address with an empty disk, Bootstrap false")
    await asyncio.sleep(RECOVERY_S)
    record(f"{RECOVERY_S} s later: the operator reads the configuration back")
    newest = None
    statuses = {}
    end = time.monotonic() + READ_BACK_S
    while time.monotonic() < end:
        for name in platform.coordinators:
            status, held = await read(platform, name)
            statuses[name, status, held] = statuses.get((name, status, held), 0) + 1
            newest = max(newest or 0, held) if held else newest
        await asyncio.sleep(0.3)
    for (name, status, held), times in sorted(statuses.items(), key=str):
        record(f"operator: GET at {name}: {times} times status {status}, version {held}")
    for name in platform.coordinators:
        running = platform.processes[name].poll() is None
        record(f"{name} runs: {running}; members, voters: {await members(platform, name)}")
    if newest is None or newest < version:
        record(f"rule broken: version {version} was acknowledged; read back: {newest}")
        await put(platform, record, platform.coordinators, 5)
        return 1
    record(f"rule held: version {newest} is read back")
    return 0


async def main():
    record = Record()
    folder = tempfile.mkdtemp(prefix="review-6-")
    platform = Deployment(folder)
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
