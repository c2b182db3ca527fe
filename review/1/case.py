"""Many configuration changes, then all coordinators are killed at the same moment, once."""

import asyncio
import json
import os
import pathlib
import signal
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
MEMORY_MB = 256  # MemoryMb of a core machine
BIG_CONFIGS = 6  # as in the day beside this script
BIG_CONFIG_ROUTES = 350
STORMS = 8
STORM_CHANGES = 25  # one each 0.06 s for 1.5 s
CHANGE_GAP_S = 0.06
STORM_PAUSE_S = 1.0
RECOVERY_S = 12.0
READ_S = 5.0     # StableWindowMs is 3 s


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begun = time.monotonic()

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.begun:8.3f} s  {text}\n")
        self.file.flush()


class Platform(fixture.PlatformFixture):
    extra_routes = 0

    def document(self, version):
        document = super().document(version)
        document["Routes"] += [
            {"Name": f"r-{i:07d}", "Host": f"h{i % 17:05d}.example", "PathPrefix": f"/p{i:06d}/",
             "Kind": "safe", "TimeoutMs": 4000, "LatencySloMs": 500, "Priority": 1,
             "Service": "desk", "MaxAttempts": 2, "SessionAffinity": False, "Resumable": False}
            for i in range(self.extra_routes)]
        return document


def memory_mb(process):
    try:
        with open(f"/proc/{process.pid}/status", encoding="utf-8") as status:
            fields = dict(line.split(":", 1) for line in status)
        return int(fields["VmRSS"].split()[0]) / 1024
    except (OSError, KeyError):
        return 0.0


async def watch_memory(platform, record, ends):
    """Does what the platform does: kills a process that uses more than its memory, restarts it."""
    restart_at = {}
    while not platform.finished:
        for name in platform.coordinators:
            process = platform.processes[name]
            used = memory_mb(process)
            if used > MEMORY_MB:
                process.kill()
                process.wait()
                ends.append(name)
                record.line(f"{name} uses {used:.0f} MB of {MEMORY_MB} and is killed")
                restart_at[name] = time.monotonic() + 0.5
            if restart_at.get(name, float("inf")) < time.monotonic():
                del restart_at[name]
                platform.start(name)
        await asyncio.sleep(0.01)


async def put_document(platform, record):
    if not await platform.put_document(limit=10):
        raise TimeoutError("no acknowledgement")
    size = len(json.dumps(platform.document(platform.version)))
    record.line(f"configuration {platform.version} of {size} bytes acknowledged")


async def main():
    record = Record(HERE / "record.txt")
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        platform = Platform(folder, gateways=2, plain=1, engines=1)
        ends = []
        try:
            await platform.start_all()
            await asyncio.sleep(2.0)
            watch = asyncio.create_task(watch_memory(platform, record, ends))
            for _ in range(BIG_CONFIGS):
                platform.extra_routes += BIG_CONFIG_ROUTES
                await put_document(platform, record)
                await asyncio.sleep(STORM_PAUSE_S)
            for _ in range(STORMS):
                for _ in range(STORM_CHANGES):
                    begun = time.monotonic()
                    await put_document(platform, record)
                    await asyncio.sleep(max(0.0, CHANGE_GAP_S - (time.monotonic() - begun)))
                await asyncio.sleep(STORM_PAUSE_S)
            record.line(f"{len(ends)} ends by memory so far")
            if ends:
                raise TimeoutError("the changes alone used up the memory")
            if TROUBLE:
                for name in platform.coordinators:
                    platform.signal(name, signal.SIGKILL)
                for name in platform.coordinators:
                    platform.processes[name].wait()
                record.line("all coordinators are killed at the same moment; their disks are kept")
                await asyncio.sleep(0.5)
                for name in platform.coordinators:
                    platform.start(name)
            await asyncio.sleep(RECOVERY_S)
            found = None
            end = time.monotonic() + READ_S
            while time.monotonic() < end and found != platform.acknowledged:
                found = await platform.read_document()
                record.line(f"read back: {found}")
                await asyncio.sleep(0.3)
        except (TimeoutError, OSError) as error:
            record.line(f"could not run: {error}")
            return 2
        finally:
            platform.finished = True
            platform.stop_all()
        await watch
    record.line(f"acknowledged {platform.acknowledged}, read back {found}; {len(ends)} ends by "
                f"memory")
    return 0 if found == platform.acknowledged else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
