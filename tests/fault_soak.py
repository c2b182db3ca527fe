"""Plays seeded faults against the platform's programs and checks what callers and upstreams see.

One seed: python3 tests/fault_soak.py --seed 7. Many: --seeds 50 --jobs 4. A seed fixes which faults
come, when and at whom; how the programs' turns fall between them is not fixed.
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

from platform_world import (APPLY_S, Connection, GRACE_S, World, call_once, judge, request_headers)

CALLERS = 12
STREAM_EVENTS = 9
ADAPTERS = 10       # for eight places
RECOVERY_S = 8.0    # from the last fault until requests are served again
CATCH_UP_S = 4.0    # a replaced disk counts as whole again
SERVED_SHARE = 0.9  # of the requests after the recovery
LAST_REQUESTS = 60
OVERHEAD_S = 90.0   # of a run beside its faults: start, recovery, stop


class Soak:
    def __init__(self, world, seed, seconds):
        self.world = world
        self.random = random.Random(seed)
        self.seconds = seconds
        self.asked = []  # (request id, path, answer)
        self.next_id = 0
        self.stop_callers = False
        self.disks_lost_until = 0.0
        self.busy = set()  # programs that a fault holds
        self.open_faults = []
        self.story = []

    def tell(self, text):
        self.story.append(f"{time.monotonic() - self.begun:7.2f} {text}")

    # --- callers ---
    async def caller(self, number):
        draw = random.Random(self.random.random() + number)
        connection = None
        while not self.stop_callers:
            if connection is None or not connection.usable or draw.random() < 0.2:
                if connection:
                    connection.close()
                connection = Connection(draw.choice(await self.addresses(draw)))
            await self.ask(draw, connection)
            await asyncio.sleep(draw.expovariate(1 / 0.15))

    async def addresses(self, draw):
        """Asks one gateway after the other where to connect, as callers do."""
        order = list(range(len(self.world.gateways)))
        draw.shuffle(order)
        for i in order:
            answer = await call_once(self.world.directory_address(i), "GET",
                                     "/api/resolve?Name=x&Region=r&Zone=a", limit=1.0)
            if answer.status == 200:
                return json.loads(answer.body)["Addresses"]
        return [self.world.caller_address(i) for i in order]

    async def ask(self, draw, connection, patience=4.0):
        self.next_id += 1
        request_id = f"{self.next_id:016x}"
        path = draw.choice(["/safe/x", "/unsafe/x", "/unsafe/x", "/stream/x"])
        adapter = f"a{draw.randrange(ADAPTERS)}" if path.startswith("/stream/") else ""
        limit = patience if draw.random() < 0.95 else 0.1  # some callers leave early
        headers = request_headers(request_id, patience, adapter, STREAM_EVENTS)
        answer = await connection.call("POST", path, headers, limit=limit + 0.5)
        self.asked.append((request_id, path, answer))
        return answer

    # --- faults; each undoes itself ---
    def free(self, names):
        return [name for name in names if name not in self.busy]

    async def play_faults(self):
        kinds = [self.kill_gateway, self.stop_gateway, self.pause_program, self.reload_program,
                 self.kill_coordinator, self.kill_core, self.lose_disk, self.fill_disk,
                 self.harm_link, self.break_answers, self.restart_engine, self.drain_upstream,
                 self.change_document]
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            kind = self.random.choice(kinds)
            self.open_faults.append(asyncio.create_task(kind()))
            await asyncio.sleep(self.random.uniform(0.1, 1.6))
        await asyncio.gather(*self.open_faults)

    async def hold(self, names, what, act, undo, seconds):
        self.busy |= set(names)
        self.tell(f"{what} {','.join(names)} for {seconds:.2f} s")
        try:
            await act()
            await asyncio.sleep(seconds)
            await undo()
        finally:
            self.busy -= set(names)
        self.tell(f"{what} {','.join(names)} over")

    async def kill(self, names, seconds):
        async def act():
            for name in names:
                self.world.signal(name, signal.SIGKILL)
                await self.world.ended(name, 5)

        async def undo():
            for name in names:
                self.world.start(name)
        await self.hold(names, "kill", act, undo, seconds)

    async def kill_gateway(self):
        if free := self.free(self.world.gateways):
            await self.kill([self.random.choice(free)], self.random.uniform(0.05, 1.0))

    async def kill_coordinator(self):
        if free := self.free(self.world.names):
            await self.kill([self.random.choice(free)], self.random.uniform(0.05, 2.0))

    async def kill_core(self):
        if len(self.free(self.world.names)) == len(self.world.names):
            await self.kill(self.world.names, self.random.uniform(0.05, 0.8))

    async def stop_gateway(self):
        if not (free := self.free(self.world.gateways)):
            return
        name = self.random.choice(free)

        async def act():
            self.world.signal(name, signal.SIGTERM)
            status = await self.world.ended(name, GRACE_S)
            if status != 0:
                self.world.fault(f"{name}: ended with {status} after SIGTERM")
                self.world.signal(name, signal.SIGKILL)
                await self.world.ended(name, 5)

        async def undo():
            self.world.start(name)
        await self.hold([name], "stop", act, undo, self.random.uniform(0.05, 0.5))

    async def pause_program(self):
        if not (free := self.free(self.world.gateways + self.world.names)):
            return
        name = self.random.choice(free)

        async def act():
            self.world.signal(name, signal.SIGSTOP)

        async def undo():
            self.world.signal(name, signal.SIGCONT)
        await self.hold([name], "pause", act, undo, self.random.uniform(0.1, 4.0))

    async def reload_program(self):
        if free := self.free(self.world.gateways + self.world.names):
            name = self.random.choice(free)
            self.tell(f"reload {name}")
            self.world.signal(name, signal.SIGHUP)

    async def lose_disk(self):
        """One disk at a time, and only while all others are whole."""
        calm = len(self.free(self.world.names)) == len(self.world.names)
        if not calm or time.monotonic() < self.disks_lost_until:
            return
        self.disks_lost_until = time.monotonic() + 60
        name = self.random.choice(self.world.names)
        names = list(self.world.names)  # nothing else befalls the core meanwhile

        async def act():
            self.world.signal(name, signal.SIGKILL)
            await self.world.ended(name, 5)
            shutil.rmtree(self.world.folder / name / "data", ignore_errors=True)
            self.world.start(name)

        async def undo():
            self.disks_lost_until = time.monotonic()
        await self.hold(names, f"lose disk of {name}", act, undo, CATCH_UP_S)

    async def fill_disk(self):
        if not (free := self.free(self.world.names)):
            return
        name = self.random.choice(free)

        async def act():
            self.world.fill_disk(name)

        async def undo():
            self.world.empty_disk(name)
            if self.world.processes[name].poll() is not None:
                self.world.start(name)
        await self.hold([name], "fill disk", act, undo, self.random.uniform(0.2, 3.0))

    async def harm_link(self):
        link = self.random.choice(self.world.upstreams).link
        how = self.random.choice(["delay", "silent to", "silent from", "reset"])
        seconds = self.random.uniform(0.1, 3.0)
        self.tell(f"link {link.listen} {how} for {seconds:.2f} s")
        if how == "reset":
            link.reset()
            return
        link.delay_s = 0.1 if how == "delay" else link.delay_s
        link.silent_to = link.silent_to or how == "silent to"
        link.silent_from = link.silent_from or how == "silent from"
        await asyncio.sleep(seconds)
        link.delay_s, link.silent_to, link.silent_from = 0.0, False, False

    async def break_answers(self):
        upstream = self.random.choice(self.world.upstreams)
        self.tell(f"break answers of {upstream.name}")
        upstream.break_share = 0.5
        await asyncio.sleep(self.random.uniform(0.2, 2.0))
        upstream.break_share = 0.0

    async def restart_engine(self):
        engines = [item for item in self.world.upstreams if item.adapter_places]
        engine = self.random.choice(engines)
        self.tell(f"restart {engine.name}")
        engine.link.reset()
        engine.born = int(time.time() * 1000)
        engine.adapters.clear()
        engine.orders, engine.fence, engine.holder = 0, 0, ""

    async def drain_upstream(self):
        upstream = self.random.choice(self.world.upstreams)
        if any(item.draining for item in self.world.upstreams):
            return
        self.tell(f"drain {upstream.name}")
        upstream.draining = True
        await asyncio.sleep(self.random.uniform(1.0, 3.0))
        upstream.born = int(time.time() * 1000)  # it comes back as another run
        upstream.orders, upstream.fence, upstream.holder = 0, 0, ""
        upstream.adapters.clear()
        upstream.draining = False

    async def change_document(self):
        done = await self.world.put_document(limit=2.0)
        self.tell(f"document {self.world.version} {'acknowledged' if done else 'not acknowledged'}")

    async def read_documents(self):
        while not self.stop_callers:
            before = self.world.acknowledged
            read = await self.world.read_document()
            if read is not None and read < before:
                self.world.fault(f"read document {read} after {before} was acknowledged")
            await asyncio.sleep(0.2)

    async def restart_ended(self):
        """The platform starts a process again that ended by itself."""
        while not self.stop_callers:
            await asyncio.sleep(0.3)
            for name, process in list(self.world.processes.items()):
                full = name in self.world.file_limits
                if process.poll() is not None and (name not in self.busy or full):
                    if not full:
                        self.world.fault(f"{name}: ended by itself with {process.returncode}")
                    self.world.start(name)

    # --- one run ---
    async def play(self):
        await self.world.up()
        self.begun = time.monotonic()
        background = [asyncio.create_task(self.caller(i)) for i in range(CALLERS)]
        background.append(asyncio.create_task(self.read_documents()))
        background.append(asyncio.create_task(self.restart_ended()))
        await self.play_faults()
        await asyncio.sleep(RECOVERY_S)
        await self.check_recovery()
        self.stop_callers = True
        await asyncio.gather(*background)
        await asyncio.sleep(0.5)  # what runs late is judged too
        for request_id, path, answer in self.asked:
            judge(self.world, request_id, path, answer, STREAM_EVENTS)
        for name in self.world.gateways + self.world.names:
            self.world.signal(name, signal.SIGTERM)
        for name in self.world.gateways + self.world.names:
            status = await self.world.ended(name, GRACE_S + 2)
            if status != 0:
                self.world.fault(f"{name}: ended with {status} after the last SIGTERM")

    async def play_within(self, limit):
        try:
            await asyncio.wait_for(self.play(), limit)
        finally:
            self.stop_callers = True
            self.world.over = True

    async def check_recovery(self):
        if not await self.world.put_document(limit=10):
            self.world.fault("no document is acknowledged after the recovery")
        await asyncio.sleep(APPLY_S)
        newest = self.world.acknowledged
        for i in range(len(self.world.gateways)):
            self.next_id += 1
            answer = await call_once(self.world.caller_address(i), "POST", f"/v{newest}/x",
                                     request_headers(f"{self.next_id:016x}", 4.0))
            if answer.status != 200:
                self.world.fault(f"gateway {i + 1}: {answer.status} on a route of document {newest}")
        draw = random.Random(1)
        served = 0
        for _ in range(LAST_REQUESTS):
            connection = Connection(draw.choice(await self.addresses(draw)))
            answer = await self.ask(draw, connection)
            served += answer.whole and answer.status == 200
            connection.close()
        if served < SERVED_SHARE * LAST_REQUESTS:
            self.world.fault(f"only {served} of {LAST_REQUESTS} served after the recovery")


def play_seed(seed, seconds, folder):
    world = World(folder, seed=seed)
    soak = Soak(world, seed, seconds)
    try:
        asyncio.run(soak.play_within(seconds + OVERHEAD_S))
    except (asyncio.TimeoutError, TimeoutError, OSError) as error:
        world.fault(f"the run ended early: {error!r}")
    finally:
        world.down()
    for task in soak.open_faults:
        if task.done() and not task.cancelled() and task.exception():
            world.fault(f"a fault could not be played: {task.exception()!r}")
    served = sum(1 for _, _, answer in soak.asked if answer.whole and answer.status == 200)
    print(f"seed {seed}: {len(soak.asked)} requests, {served} served, {world.acknowledged} documents"
          f" acknowledged, {len(world.faults)} promises broken", flush=True)
    if world.faults:
        print("\n".join(["  " + fault for fault in world.faults[:20]] +
                        ["  " + line for line in soak.story] + [f"  logs: {folder}"]), flush=True)
    return not world.faults


def play_many(first, count, seconds, jobs, folder):
    """Plays seeds side by side, each in a process of its own."""
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
    parser.add_argument("--seeds", type=int, default=1, help="how many")
    parser.add_argument("--seconds", type=float, default=20, help="of faults in each")
    parser.add_argument("--jobs", type=int, default=2, help="seeds at a time")
    parser.add_argument("--folder", type=pathlib.Path, help="kept, with the logs")
    options = parser.parse_args()
    folder = options.folder or pathlib.Path(tempfile.mkdtemp(prefix="fault-soak-"))
    if options.seeds == 1:
        good = play_seed(options.seed, options.seconds, folder)
    else:
        good = play_many(options.seed, options.seeds, options.seconds, options.jobs, folder)
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
