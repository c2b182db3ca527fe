"""Demand moves to other adapters at engines whose memory is used up before their adapter slots."""

import asyncio
import os
import pathlib
import sys
import tempfile

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
import standins  # noqa: E402, needs the path above
from standins import fixture  # noqa: E402

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


class Platform(fixture.PlatformFixture):
    def __init__(self, folder, record):
        super().__init__(folder, gateways=2, plain=1, engines=0)
        self.record = record
        self.upstreams += [standins.Engine(self, f"engine-{i + 1}", i + 101, ENGINE, record)
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
    record = standins.Record(HERE / "record.txt")
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        platform = Platform(folder, record)
        try:
            await platform.start_all()
            await asyncio.sleep(2.0)
            requests = []
            for number in range(300):  # 25 s
                adapters = BUSY
                if TROUBLE and number >= 60:
                    # Four adapters are busy at a time; every 2 s one falls silent, the next rises.
                    first = min((number - 60) // 20, len(NEXT) - 1)
                    adapters = (BUSY + NEXT)[first + 1:first + 5]
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
