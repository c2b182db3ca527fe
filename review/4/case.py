"""A zone is lost, as the settings say may happen, right after a configuration was acknowledged."""

import asyncio
import json
import os
import pathlib
import re
import shutil
import signal
import sys
import tempfile
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
import standins  # noqa: E402, needs the path above
from standins import ROOT, fixture  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# What may be lost at once; another value shows that the test can pass with the trouble.
TOLERANCE = json.loads(os.environ.get("TOLERANCE", '{"Machines": 0, "Zones": 1, "Regions": 0}'))
RECOVERY_S = 12.0
READ_S = 5.0  # StableWindowMs is 3 s


def render(template, fields):
    """Fills in a settings template as DEPLOY.md says; sections don't occur in it."""
    def value(match):
        path, _, form = match.group(1).partition("|")
        found = fields
        for part in path.split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return json.dumps(found) if form == "json" else "" if found is None else str(found)
    return re.sub(r"\{\{([^{}]+)\}\}", value, template)


class Platform(fixture.PlatformFixture):
    """Settings of coordinators come from the deploy file's template."""

    def settings_for(self, name):
        if not name.startswith("coordinator"):
            return super().settings_for(name)
        i = int(name.rpartition("-")[2]) - 1
        port = self.port
        fields = {"NodeName": name, "Zone": "abc"[i], "Ip": f"127.7.1.{i + 1}",
                  "Listen": {"Control": self.control_addresses[i]},
                  "Seeds": self.control_addresses, "InternalPorts": [port + 4, port + 5],
                  "DataDir": str(self.folder / name / "data"), "Bootstrap": name not in self.started,
                  "FaultTolerance": TOLERANCE, "HeartbeatMs": 1200,
                  "Bounds": {"LeaseMs": 3000, "FencingEnforced": True, "BudgetWindowS": 10}}
        template = (ROOT / "deploy" / "coordinator.settings.json").read_text(encoding="utf-8")
        settings = json.loads(render(template, fields))
        settings["metrics_address"] = self.coordinator_metrics_address(i)  # a free port
        return settings


async def put_document(platform, record):
    """Sends the next document; returns the name of the coordinator that acknowledged it."""
    platform.version += 1
    body = json.dumps(platform.document(platform.version)).encode()
    end = time.monotonic() + 10
    while time.monotonic() < end:
        for address in platform.control_addresses:
            answer = await fixture.call_once(address, "PUT", "/api/config", body=body, limit=1.0)
            if answer.status == 200:
                name = platform.coordinators[platform.control_addresses.index(address)]
                record.line(f"configuration {platform.version} acknowledged by {name}")
                return name
        await asyncio.sleep(0.1)
    raise TimeoutError("no acknowledgement")


async def main():
    record = standins.Record(HERE / "record.txt")
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        platform = Platform(folder, gateways=2, plain=1, engines=1)
        try:
            await platform.start_all()
            await asyncio.sleep(6.0)  # longer than CatchUpS
            name = await put_document(platform, record)
            if TROUBLE:
                platform.signal(name, signal.SIGKILL)
                platform.processes[name].wait()
                shutil.rmtree(platform.folder / name / "data")
                record.line(f"the zone of {name} is lost, with its disk")
                await asyncio.sleep(1.0)
                platform.start(name)
                record.line(f"{name} is back, with an empty disk")
            await asyncio.sleep(RECOVERY_S)
            found = None
            end = time.monotonic() + READ_S
            while time.monotonic() < end and found != platform.version:
                found = await platform.read_document()
                record.line(f"read back: {found}")
                await asyncio.sleep(0.3)
        except (TimeoutError, OSError) as error:
            record.line(f"could not run: {error}")
            return 2
        finally:
            platform.finished = True
            platform.stop_all()
    record.line(f"acknowledged {platform.version}, read back {found}")
    return 0 if found == platform.version else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
