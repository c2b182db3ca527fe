"""The operator raises the limit of request headers; a caller sends a header that uses half of it.

Exit status: 1 if a gateway passed requests from kept channels on and closed these channels without
an answer more than three times, 0 if not, 2 if the case could not run. TROUBLE=0 leaves out the
change of the configuration: the caller then uses half of the limit that stays in force.
"""

import asyncio
import os
import pathlib
import shutil
import sys
import tempfile
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent.parent / "tests"))

from platform_fixture import Connection, PlatformFixture, request_headers  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BEFORE_BYTES = 16384    # MaxHeaderBytes at first, as on our pages
AFTER_BYTES = 135168    # MaxHeaderBytes of the next version
APPLY_S = 2.0           # ConfigApplyMs
STABLE_WINDOW_S = 3.0   # StableWindowMs
CALLERS = 8
WORK_S = 1.5            # of each request at its worker
DEADLINE_S = 3.5
ALLOWED = 3             # "more than three times"


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
    max_header_bytes = BEFORE_BYTES

    def document(self, version):
        document = super().document(version)
        document["Limits"]["MaxHeaderBytes"] = self.max_header_bytes
        return document


def long_prompt(header_bytes):
    """The parts of a long session, as one header of the given length."""
    parts = []
    length = 0
    number = 0x5c1e07a2
    while length < header_bytes:
        parts.append(f"{number:x}:250")
        length += len(parts[-1]) + 1
        number += 1
    return ",".join(parts)


async def call(platform, record, connection, number, name, prompt="5c1e07a2:60,91bd3f06:40"):
    request_id = f"{number:016x}"
    headers = request_headers(request_id, DEADLINE_S)
    headers["X-Siskindrift-Prompt-Prefix"] = prompt
    answer = await connection.call("POST", "/unsafe/x", headers, limit=DEADLINE_S + 1)
    runs = len(platform.executions.get(request_id, []))
    outcome = answer.status or "channel closed without an answer"
    record(f"{name}: request {request_id} on a {'kept' if number > 1000 else 'new'} channel: "
           f"{outcome}; runs at workers: {runs}")
    return answer, runs


async def run(platform, record):
    await platform.start_all()
    record("started: " + ", ".join(platform.coordinators + platform.gateways))
    if TROUBLE:
        platform.max_header_bytes = AFTER_BYTES
        if not await platform.put_document(limit=10):
            return 2
        record(f"operator: version {platform.version} with MaxHeaderBytes {AFTER_BYTES}: 200")
    limit = platform.max_header_bytes
    await asyncio.sleep(APPLY_S + STABLE_WINDOW_S)
    gateway = platform.caller_address(0)
    connections = [Connection(gateway) for _ in range(CALLERS)]
    for i, connection in enumerate(connections):
        answer, _ = await call(platform, record, connection, i + 1, f"caller {i + 1}")
        if answer.status != 200 or not connection.usable:
            return 2
    for upstream in platform.upstreams:
        upstream.work_s = WORK_S
    tasks = [asyncio.create_task(call(platform, record, connection, 1001 + i, f"caller {i + 1}"))
             for i, connection in enumerate(connections)]
    await asyncio.sleep(WORK_S / 2)
    prompt = long_prompt(limit // 2 - 512)
    long_caller = Connection(gateway)
    record(f"caller {CALLERS + 1}: sends a header of {len(prompt)} bytes, MaxHeaderBytes is {limit}")
    answer, runs = await call(platform, record, long_caller, 500, f"caller {CALLERS + 1}", prompt)
    results = await asyncio.gather(*tasks)
    await asyncio.sleep(0.5)
    status = platform.processes["gateway-1"].poll()
    record(f"gateway-1: {'runs' if status is None else f'has ended with status {status}'}")
    # A client that waited in vain for its whole time isn't one whose channel was closed.
    cut = sum(1 for answer, runs in results
              if answer.status == 0 and runs > 0 and answer.seconds < DEADLINE_S)
    served = sum(1 for answer, runs in results if answer.status == 200)
    record(f"passed on from kept channels: {CALLERS}; answered with 200: {served}; "
           f"closed without an answer: {cut}")
    if cut > ALLOWED:
        record(f"rule broken: {cut} times, {ALLOWED} are allowed")
        return 1
    if served < CALLERS or answer.status != 200:
        record("could not run: the requests were not served")
        return 2
    record("rule held")
    return 0


async def main():
    record = Record()
    folder = tempfile.mkdtemp(prefix="review-8-")
    platform = Deployment(folder, seed=8, engines=1)
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
