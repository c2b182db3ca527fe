"""Injects seeded random faults into the platform's programs and checks callers and upstreams.

One seed: python3 tests/fault_soak.py --seed 7. Many: --seeds 50 --jobs 4. A seed fixes the kind,
time and target of each fault; the scheduling of the processes is not deterministic.
"""

import argparse
import asyncio
import json
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time

from client_crowd import CHUNKED, HEARTBEAT, MIB, ClientCrowd, frame_header, peak_resident_bytes
from platform_fixture import (APPLY_S, Connection, GRACE_S, HOST, PlatformFixture, STREAM_PREFIXES,
                              call_once, check_answer, event_versions, request_headers)

CALLERS = 12
STREAM_EVENTS = 9
CRASHING_PART = "bad1"   # ends the engine that begins an answer on it
CRASHING_SHARE = 0.02    # of the requests before the recovery
CRASHING_REQUEST = ("/safe/crash", b"X")  # ends the upstream that runs it
CRASHING_REQUEST_SHARE = 0.01
ADAPTERS = 10            # more than the engines' eight adapter slots, so that some are evicted
RECOVERY_S = 8.0         # time from the last fault until requests must be served again
DISK_RECOVERY_S = 4.0    # time until a coordinator has recovered from the loss of its disk
LIMIT_PER_S = 4.0        # named by one upstream at a time
LIMIT_LEARNING_S = 3.0   # time from the first answer with the limit until it must be kept
LIMIT_WINDOW_S = 4.0     # in which at most one and a half times the limit and 5 may arrive
MIN_SERVED_SHARE = 0.9   # of RECOVERY_REQUESTS
RECOVERY_REQUESTS = 60
MEMORY_MB = 160          # limit of each program
MAX_DESCRIPTORS = 400    # limit of each program
CROWD_SEND_S = 2.0       # for what a crowd beyond the limits sends
OVERHEAD_S = 90.0        # time limit of a run for start, recovery and stop, added to --seconds


class Soak:
    """One seeded run: callers, fault injection and the checks after recovery."""

    def __init__(self, platform, seed, seconds):
        self.platform = platform
        self.seed = seed
        self.random = random.Random(seed)
        self.seconds = seconds
        self.answers = []  # (request id, path, answer)
        self.next_id = 0
        self.stop_callers = False
        self.disk_loss_ends_at = 0.0
        self.affected = set()  # processes with an active fault
        self.open_faults = []
        self.event_log = []

    def log_event(self, text):
        self.event_log.append(f"{time.monotonic() - self.begun:7.2f} {text}")

    # --- callers ---
    async def caller(self, number):
        rng = random.Random(self.random.random() + number)
        connection = None
        while not self.stop_callers:
            if connection is None or not connection.usable or rng.random() < 0.2:
                if connection:
                    connection.close()
                connection = Connection(rng.choice(await self.addresses(rng)))
            if rng.random() < CRASHING_REQUEST_SHARE:
                await self.send_crashing_request(connection)
            else:
                await self.send_request(rng, connection, crashing=rng.random() < CRASHING_SHARE)
            await asyncio.sleep(rng.expovariate(1 / 0.15))

    async def addresses(self, rng):
        """Resolves gateway addresses through the first gateway that answers, as callers do."""
        order = list(range(len(self.platform.gateways)))
        rng.shuffle(order)
        for i in order:
            answer = await call_once(self.platform.directory_address(i), "GET",
                                     "/api/resolve?Name=x&Region=r&Zone=a", limit=1.0)
            if answer.status == 200:
                return json.loads(answer.body)["Addresses"]
        return [self.platform.caller_address(i) for i in order]

    async def send_request(self, rng, connection, deadline_s=4.0, crashing=False):
        self.next_id += 1
        request_id = f"{self.next_id:016x}"
        path = rng.choice(["/safe/x", "/unsafe/x", "/unsafe/x", "/stream/x", "/once/x"])
        adapter = f"a{rng.randrange(ADAPTERS)}" if path.startswith(STREAM_PREFIXES) else ""
        limit = deadline_s if rng.random() < 0.95 else 0.1  # 5% of callers time out early
        parts = [f"{CRASHING_PART}:20"] * crashing + ["5c1e07a2:60", f"{self.next_id:x}:40"]
        headers = request_headers(request_id, deadline_s, adapter, STREAM_EVENTS, ",".join(parts))
        answer = await connection.call("POST", path, headers, limit=limit + 0.5)
        self.answers.append((request_id, path, answer, 1))
        if path == "/stream/x" and not answer.whole and event_versions(answer.body):
            await self.resume_stream(rng, headers, answer)
        return answer

    async def resume_stream(self, rng, headers, begun):
        """Takes up a stream at any gateway; its events must all come from one software version."""
        versions = event_versions(begun.body)
        self.next_id += 1
        request_id = f"{self.next_id:016x}"
        resuming = {**headers, "X-Siskindrift-Request-Id": request_id,
                    "Resumes": headers["X-Siskindrift-Request-Id"],
                    "Last-Event-Id": str(len(versions))}
        connection = Connection(rng.choice(await self.addresses(rng)))
        answer = await connection.call("POST", "/stream/x", resuming, limit=4.5)
        connection.close()
        self.answers.append((request_id, "/stream/x", answer, len(versions) + 1))
        if len(set(versions + event_versions(answer.body))) > 1:
            self.platform.report_violation(f"{request_id}: a stream of {versions[0]} went on at "
                                           f"{event_versions(answer.body)[0]}")

    async def send_crashing_request(self, connection):
        self.next_id += 1
        request_id = f"{self.next_id:016x}"
        path, body = CRASHING_REQUEST
        headers = request_headers(request_id, 2.0)
        answer = await connection.call("POST", path, headers, body, limit=2.5)
        self.answers.append((request_id, path, answer, 1))

    # --- faults; each reverts itself ---
    def unaffected(self, names):
        return [name for name in names if name not in self.affected]

    async def inject_faults(self):
        kinds = [self.kill_gateway, self.stop_gateway, self.pause_program, self.reload_program,
                 self.kill_coordinator, self.kill_all_coordinators, self.lose_disk, self.fill_disk,
                 self.disturb_link, self.lose_responses, self.restart_engine, self.drain_upstream,
                 self.change_document]
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            kind = self.random.choice(kinds)
            self.open_faults.append(asyncio.create_task(kind()))
            await asyncio.sleep(self.random.uniform(0.1, 1.6))
        await asyncio.gather(*self.open_faults)

    async def apply_fault(self, names, what, act, undo, seconds):
        self.affected |= set(names)
        self.log_event(f"{what} {','.join(names)} for {seconds:.2f} s")
        try:
            await act()
            await asyncio.sleep(seconds)
            await undo()
        finally:
            self.affected -= set(names)
        self.log_event(f"{what} {','.join(names)} ended")

    async def kill(self, names, seconds):
        async def act():
            for name in names:
                self.platform.signal(name, signal.SIGKILL)
                await self.platform.wait_for_exit(name, 5)

        async def undo():
            for name in names:
                self.platform.start(name)
        await self.apply_fault(names, "kill", act, undo, seconds)

    async def kill_gateway(self):
        if candidates := self.unaffected(self.platform.gateways):
            await self.kill([self.random.choice(candidates)], self.random.uniform(0.05, 1.0))

    async def kill_coordinator(self):
        if candidates := self.unaffected(self.platform.coordinators):
            await self.kill([self.random.choice(candidates)], self.random.uniform(0.05, 2.0))

    async def kill_all_coordinators(self):
        if len(self.unaffected(self.platform.coordinators)) == len(self.platform.coordinators):
            await self.kill(self.platform.coordinators, self.random.uniform(0.05, 0.8))

    async def stop_gateway(self):
        if not (candidates := self.unaffected(self.platform.gateways)):
            return
        name = self.random.choice(candidates)

        async def act():
            self.platform.signal(name, signal.SIGTERM)
            status = await self.platform.wait_for_exit(name, GRACE_S)
            if status != 0:
                self.platform.report_violation(f"{name}: exited with {status} after SIGTERM")
                self.platform.signal(name, signal.SIGKILL)
                await self.platform.wait_for_exit(name, 5)

        async def undo():
            self.platform.start(name)
        await self.apply_fault([name], "stop", act, undo, self.random.uniform(0.05, 0.5))

    async def pause_program(self):
        if not (candidates := self.unaffected(self.platform.gateways + self.platform.coordinators)):
            return
        name = self.random.choice(candidates)

        async def act():
            self.platform.signal(name, signal.SIGSTOP)

        async def undo():
            self.platform.signal(name, signal.SIGCONT)
        await self.apply_fault([name], "pause", act, undo, self.random.uniform(0.1, 4.0))

    async def reload_program(self):
        if candidates := self.unaffected(self.platform.gateways + self.platform.coordinators):
            name = self.random.choice(candidates)
            self.log_event(f"reload {name}")
            self.platform.signal(name, signal.SIGHUP)

    async def lose_disk(self):
        """Deletes one coordinator's data, only while all coordinators are without a fault."""
        coordinators = self.platform.coordinators
        all_available = len(self.unaffected(coordinators)) == len(coordinators)
        if not all_available or time.monotonic() < self.disk_loss_ends_at:
            return
        self.disk_loss_ends_at = time.monotonic() + 60
        name = self.random.choice(self.platform.coordinators)
        names = list(self.platform.coordinators)  # excludes other faults of coordinators

        async def act():
            self.platform.signal(name, signal.SIGKILL)
            await self.platform.wait_for_exit(name, 5)
            shutil.rmtree(self.platform.folder / name / "data", ignore_errors=True)
            self.platform.start(name)

        async def undo():
            self.disk_loss_ends_at = time.monotonic()
        await self.apply_fault(names, f"lose disk of {name}", act, undo, DISK_RECOVERY_S)

    async def fill_disk(self):
        if not (candidates := self.unaffected(self.platform.coordinators)):
            return
        name = self.random.choice(candidates)

        async def act():
            self.platform.fill_disk(name)

        async def undo():
            self.platform.free_disk(name)
            if self.platform.processes[name].poll() is not None:
                self.platform.start(name)
        await self.apply_fault([name], "fill disk", act, undo, self.random.uniform(0.2, 3.0))

    async def disturb_link(self):
        link = self.random.choice(self.platform.upstreams).link
        how = self.random.choice(["delay", "drop to target", "drop from target", "reset"])
        seconds = self.random.uniform(0.1, 3.0)
        self.log_event(f"link {link.listen} {how} for {seconds:.2f} s")
        if how == "reset":
            link.reset()
            return
        link.delay_s = 0.1 if how == "delay" else link.delay_s
        link.drop_to_target = link.drop_to_target or how == "drop to target"
        link.drop_from_target = link.drop_from_target or how == "drop from target"
        await asyncio.sleep(seconds)
        link.delay_s, link.drop_to_target, link.drop_from_target = 0.0, False, False

    async def lose_responses(self):
        upstream = self.random.choice(self.platform.upstreams)
        self.log_event(f"lose responses of {upstream.name}")
        upstream.lost_response_share = 0.5
        await asyncio.sleep(self.random.uniform(0.2, 2.0))
        upstream.lost_response_share = 0.0

    async def break_responses(self):
        """Breaks answers off beside the other faults, whose sequence for a seed stays the same."""
        rng = random.Random(self.seed)
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            await asyncio.sleep(rng.uniform(0.0, 2.0))
            upstream = rng.choice(self.platform.upstreams)
            self.log_event(f"break responses of {upstream.name}")
            upstream.broken_response_share = 0.5
            await asyncio.sleep(rng.uniform(0.2, 2.0))
            upstream.broken_response_share = 0.0

    async def name_limits(self):
        """Names limits beside the other faults, whose sequence for a seed stays the same."""
        rng = random.Random(self.seed + 1)
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            upstream = rng.choice([item for item in self.platform.upstreams
                                   if not item.adapter_slots])
            self.log_event(f"{upstream.name} names a limit of {LIMIT_PER_S} a second")
            upstream.limit = LIMIT_PER_S
            begin = time.monotonic() + LIMIT_LEARNING_S
            await asyncio.sleep(rng.uniform(4.0, 8.0))
            upstream.limit = None
            self.check_limit(upstream.name, begin, time.monotonic())
            await asyncio.sleep(rng.uniform(0.2, 1.0))

    def check_limit(self, name, begin, end):
        times = [at for at, upstream in self.platform.arrivals_by_upstream
                 if upstream == name and begin <= at <= end]
        allowed = 1.5 * LIMIT_PER_S * LIMIT_WINDOW_S + 5
        for first in times:
            arrived = sum(first <= at <= first + LIMIT_WINDOW_S for at in times)
            if arrived > allowed:
                self.platform.report_violation(
                    f"{name}: {arrived} requests in {LIMIT_WINDOW_S} s, {allowed} allowed")
                return

    async def cut_paths(self):
        """Cuts gateways off from upstreams beside the other faults."""
        rng = random.Random(self.seed + 2)
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            await asyncio.sleep(rng.uniform(0.5, 4.0))
            gateways = rng.sample(range(len(self.platform.gateways)),
                                  rng.randrange(1, len(self.platform.gateways)))
            upstreams = rng.choice([self.platform.upstreams, self.platform.upstreams,
                                    rng.sample(self.platform.upstreams, 2)])
            how = rng.choice(["silent", "reset", "live"])
            self.log_event(f"cut gateways {gateways} off from {len(upstreams)} upstreams, {how}")
            for upstream in upstreams:
                upstream.link.block([self.platform.source_address(i) for i in gateways], how)
            await asyncio.sleep(rng.choice([1.2, 2.0, 6.0]))
            for upstream in self.platform.upstreams:
                upstream.link.unblock()

    async def leave_limits(self):
        """Sends crowds of clients beyond the limits to all addresses beside the other faults."""
        rng = random.Random(self.seed + 4)
        end = time.monotonic() + self.seconds
        head = f"POST /safe/x HTTP/1.1\r\nHost: {HOST}\r\n".encode() + CHUNKED.encode()
        chunk = b"10000\r\n" + b"b" * 65536 + b"\r\n"
        while time.monotonic() < end:
            await asyncio.sleep(rng.uniform(0.2, 2.0))
            name = rng.choice(self.platform.gateways + self.platform.coordinators)
            kind, count, what = rng.choice([
                ("extension", 3, (head + b"4;", b"e" * 65536, 400)),
                ("trailers", 20, (head + b"0\r\n", b"X-Trailer: value\r\n" * 4096, 20)),
                ("unfinished bodies", 60, (head, chunk, 15)), ("silence", 200, (b"",)),
                ("half heads", 200, (head[:-2],)), ("frames", 20, (frame_header(16 * MIB), b"\x10" * 65536, 64)),
                ("echoes", 3, (HEARTBEAT, HEARTBEAT * 2048, 100))])
            address = rng.choice(self.platform.inner_addresses(name) if kind in ("frames", "echoes")
                                 else self.platform.http_addresses(name))
            self.log_event(f"{count} clients send {kind} to {name} at {address}")
            crowd = ClientCrowd()
            await crowd.send_all(count, CROWD_SEND_S, address, *what)
            await asyncio.sleep(rng.uniform(0.0, 2.0))
            self.check_memory()
            crowd.leave()

    def check_memory(self):
        for name, process in self.platform.processes.items():
            peak = peak_resident_bytes(process.pid)
            if peak > MEMORY_MB * MIB:
                self.platform.report_violation(f"{name}: {peak // MIB} MB of {MEMORY_MB} resident")

    async def change_software(self):
        """Restarts engines with other software versions beside the other faults."""
        rng = random.Random(self.seed + 3)
        end = time.monotonic() + self.seconds
        engines = [item for item in self.platform.upstreams if item.adapter_slots]
        while time.monotonic() < end:
            await asyncio.sleep(rng.uniform(1.0, 5.0))
            engine = rng.choice([item for item in engines if not item.down] or [None])
            if engine is None:
                continue
            software = rng.choice(["v1", "v2", "V2"])
            self.log_event(f"{engine.name} restarts with software {software}")
            await engine.crash(0.2, software)

    async def restart_engine(self):
        engines = [item for item in self.platform.upstreams if item.adapter_slots]
        engine = self.random.choice(engines)
        self.log_event(f"restart {engine.name}")
        engine.link.reset()
        engine.started_ms = int(time.time() * 1000)
        engine.adapters.clear()
        engine.orders, engine.fence, engine.holder = 0, 0, ""

    async def drain_upstream(self):
        upstream = self.random.choice(self.platform.upstreams)
        if any(item.draining for item in self.platform.upstreams):
            return
        self.log_event(f"drain {upstream.name}")
        upstream.draining = True
        await asyncio.sleep(self.random.uniform(1.0, 3.0))
        upstream.started_ms = int(time.time() * 1000)  # a new start time marks a restart
        upstream.orders, upstream.fence, upstream.holder = 0, 0, ""
        upstream.adapters.clear()
        upstream.draining = False

    async def change_document(self):
        done = await self.platform.put_document(limit=2.0)
        self.log_event(f"document {self.platform.version} "
                       f"{'acknowledged' if done else 'not acknowledged'}")

    async def read_documents(self):
        while not self.stop_callers:
            before = self.platform.acknowledged
            read = await self.platform.read_document()
            if read is not None and read < before:
                self.platform.report_violation(
                    f"read document {read} after {before} was acknowledged")
            await asyncio.sleep(0.2)

    async def restart_exited(self):
        """Restarts exited processes, as the platform does, and reports unexpected exits."""
        while not self.stop_callers:
            await asyncio.sleep(0.3)
            for name, process in list(self.platform.processes.items()):
                full = name in self.platform.file_limits
                if process.poll() is not None and (name not in self.affected or full):
                    if not full:
                        self.platform.report_violation(
                            f"{name}: exited unexpectedly with {process.returncode}")
                    self.platform.start(name)

    # --- run and checks ---
    async def run(self):
        await self.platform.start_all()
        for upstream in self.platform.upstreams:
            upstream.crashing_parts = {CRASHING_PART}
            upstream.crashing_requests = {CRASHING_REQUEST}
        self.begun = time.monotonic()
        background = [asyncio.create_task(self.caller(i)) for i in range(CALLERS)]
        background.append(asyncio.create_task(self.read_documents()))
        background.append(asyncio.create_task(self.restart_exited()))
        await asyncio.gather(self.inject_faults(), self.break_responses(), self.name_limits(),
                             self.cut_paths(), self.change_software(), self.leave_limits())
        for upstream in self.platform.upstreams:
            upstream.crashing_parts = set()
            upstream.crashing_requests = set()
        await asyncio.sleep(RECOVERY_S)
        await self.check_recovery()
        self.stop_callers = True
        await asyncio.gather(*background)
        await asyncio.sleep(0.5)  # late executions at upstreams are checked as well
        for request_id, path, answer, first in self.answers:
            check_answer(self.platform, request_id, path, answer, STREAM_EVENTS, first)
        self.check_memory()
        for name in self.platform.gateways + self.platform.coordinators:
            self.platform.signal(name, signal.SIGTERM)
        for name in self.platform.gateways + self.platform.coordinators:
            status = await self.platform.wait_for_exit(name, GRACE_S + 2)
            if status != 0:
                self.platform.report_violation(
                    f"{name}: exited with {status} after the final SIGTERM")

    async def run_within(self, limit):
        try:
            await asyncio.wait_for(self.run(), limit)
        finally:
            self.stop_callers = True
            self.platform.finished = True

    async def check_recovery(self):
        if not await self.platform.put_document(limit=10):
            self.platform.report_violation("no document was acknowledged after the recovery")
        await asyncio.sleep(APPLY_S)
        newest = self.platform.acknowledged
        for i in range(len(self.platform.gateways)):
            self.next_id += 1
            answer = await call_once(self.platform.caller_address(i), "POST", f"/v{newest}/x",
                                     request_headers(f"{self.next_id:016x}", 4.0))
            if answer.status != 200:
                self.platform.report_violation(
                    f"gateway {i + 1}: {answer.status} on a route of document {newest}")
        rng = random.Random(1)
        served = 0
        for _ in range(RECOVERY_REQUESTS):
            connection = Connection(rng.choice(await self.addresses(rng)))
            answer = await self.send_request(rng, connection)
            served += answer.whole and answer.status == 200
            connection.close()
        if served < MIN_SERVED_SHARE * RECOVERY_REQUESTS:
            self.platform.report_violation(
                f"only {served} of {RECOVERY_REQUESTS} served after the recovery")


def run_seed(seed, seconds, folder):
    memory = {"memory_mb": MEMORY_MB}
    platform = PlatformFixture(folder, seed=seed, gateway_settings=memory, coordinator_settings=memory)
    for name in platform.gateways + platform.coordinators:
        platform.descriptor_limits[name] = MAX_DESCRIPTORS
    if seed % 2:
        for upstream in platform.upstreams:
            upstream.announces_to = platform.control_addresses[0]
    soak = Soak(platform, seed, seconds)
    try:
        asyncio.run(soak.run_within(seconds + OVERHEAD_S))
    except (asyncio.TimeoutError, TimeoutError, OSError) as error:
        platform.report_violation(f"the run ended early: {error!r}")
    finally:
        platform.stop_all()
    for task in soak.open_faults:
        if task.done() and not task.cancelled() and task.exception():
            platform.report_violation(f"a fault could not be injected: {task.exception()!r}")
    served = sum(1 for _, _, answer, _ in soak.answers if answer.whole and answer.status == 200)
    print(f"seed {seed}: {len(soak.answers)} requests, {served} served, {platform.acknowledged}"
          f" documents acknowledged, {len(platform.violations)} promises broken", flush=True)
    if platform.violations:
        print("\n".join(["  " + violation for violation in platform.violations[:20]] +
                        ["  " + line for line in soak.event_log] + [f"  logs: {folder}"]),
              flush=True)
    return not platform.violations


def run_seeds(first, count, seconds, jobs, folder):
    """Runs seeds in parallel, each in its own process."""
    running, failed, seed = {}, [], first
    while seed < first + count or running:
        while seed < first + count and len(running) < jobs:
            running[seed] = subprocess.Popen(
                [sys.executable, __file__, "--seed", str(seed), "--seconds", str(seconds),
                 "--folder", str(folder / str(seed))])
            seed += 1
        time.sleep(0.2)
        for number in [item for item, process in running.items() if process.poll() is not None]:
            if running.pop(number).returncode != 0:
                failed.append(number)
    print(f"{count} seeds from {first}: {len(failed)} failed {sorted(failed)}")
    return not failed


def main():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--seconds", type=float, default=20,
                        help="seconds of fault injection for each seed")
    parser.add_argument("--jobs", type=int, default=2, help="seeds run in parallel")
    parser.add_argument("--folder", type=pathlib.Path, help="folder for data and logs; not removed")
    options = parser.parse_args()
    folder = options.folder or pathlib.Path(tempfile.mkdtemp(prefix="fault-soak-"))
    if options.seeds == 1:
        good = run_seed(options.seed, options.seconds, folder)
    else:
        good = run_seeds(options.seed, options.seeds, options.seconds, options.jobs, folder)
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
