"""Tests that requests whose prompts crash engines are found and refused, and no others."""

import asyncio
import os
import random
import shutil
import signal
import tempfile
import time
import unittest

from platform_fixture import Connection, PlatformFixture, request_headers

GATEWAYS = 3
ENGINES = 6
ADAPTERS = 8            # so that all engines are in use
SOUND_PER_S = 6.0       # at each gateway
CRASHING_PER_S = 1.0    # at each gateway
LEARNING_CRASHES = 5    # engines that may end before a part must be known
LEARNING_S = 3.0        # time after these until it is known everywhere
MAX_LATER_SENDS = 3     # requests with a known part that may still reach engines
SETTLED_S = 6.0         # time after these until sound requests are served again
CALM_S = 3.0            # time without crashes whose requests are compared with later ones
OPEN_S = 1.0            # requests begun so shortly before the first crash may be open then
SHARED, CRASHING = "aa01", "bad1"
STREAM_EVENTS = 9


class PromptCrashTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.folder = tempfile.mkdtemp(prefix="prompt-crash-test-")
        self.platform = PlatformFixture(self.folder, seed=29, gateways=GATEWAYS, engines=ENGINES,
                                        plain=1)
        self.random = random.Random(29)
        self.next_id = 0
        self.sound = []  # (time, answer)
        self.refused = []  # (time, prompt, answer) of answers that name the reason
        self.callers = []
        try:
            await self.platform.start_all()
        except BaseException:
            await self.asyncTearDown()
            raise

    async def asyncTearDown(self):
        self.platform.finished = True
        self.platform.stop_all()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder)

    async def send_request(self, gateway, prompt):
        self.next_id += 1
        request_id = f"{self.next_id:016x}"
        begun = time.monotonic()
        connection = Connection(self.platform.caller_address(gateway))
        adapter = f"a{self.random.randrange(ADAPTERS)}"
        headers = request_headers(request_id, 4.0, adapter, STREAM_EVENTS, prompt)
        answer = await connection.call("POST", "/once/x", headers, limit=4.5)
        connection.close()
        if b"crashing_prompt" in answer.body:
            self.refused.append((begun, prompt, answer))
        return begun, answer

    def sound_prompt(self):
        return f"{SHARED}:40,{self.random.randrange(40) + 0x500:x}:20,{self.next_id + 0x9000:x}:40"

    def crashing_prompt(self):
        parts = [f"{CRASHING}:20", f"{SHARED}:40"]
        self.random.shuffle(parts)
        return ",".join(parts + [f"{self.next_id + 0x9000:x}:40"])

    async def call(self, gateway, per_s, prompt, answers):
        pending = []
        while not self.platform.finished:
            async def one():
                answers.append(await self.send_request(gateway, prompt()))
            pending.append(asyncio.create_task(one()))
            await asyncio.sleep(self.random.expovariate(per_s))
        await asyncio.gather(*pending)

    def start_callers(self, per_s, prompt, answers):
        self.callers += [asyncio.create_task(self.call(i, per_s, prompt, answers))
                         for i in range(GATEWAYS)]

    async def stop_callers(self):
        self.platform.finished = True
        await asyncio.gather(*self.callers)

    def crashing_arrivals(self, begin):
        return [at for at, _, request_id in self.platform.arrivals
                if at > begin and CRASHING in self.platform.prompts[request_id]]

    def served_share(self, begin, end):
        answers = [answer.whole and answer.status == 200 for at, answer in self.sound
                   if begin <= at < end]
        return sum(answers) / max(len(answers), 1)

    def begin_crashing(self):
        for upstream in self.platform.upstreams:
            upstream.crashing_parts = {CRASHING}
        self.start_callers(CRASHING_PER_S, self.crashing_prompt, [])

    def check_learnt(self, begun):
        self.assertGreaterEqual(len(self.platform.crash_times), 1)
        known = self.platform.crash_times[:LEARNING_CRASHES][-1] + LEARNING_S
        self.assertLessEqual(len(self.crashing_arrivals(known)), MAX_LATER_SENDS)
        self.assertTrue(self.refused)
        self.assertEqual([], [prompt for _, prompt, _ in self.refused if CRASHING not in prompt])
        for _, prompt, answer in self.refused:
            self.assertIn(answer.status, (502, 503), prompt)
        calm = self.served_share(begun - OPEN_S - CALM_S, begun - OPEN_S)
        self.assertGreater(calm, 0.9)
        settled = self.platform.crash_times[:LEARNING_CRASHES][-1] + SETTLED_S
        self.assertGreater(self.served_share(settled, time.monotonic() - 4.5), calm / 2)

    async def test_a_prompt_part_that_crashes_engines_is_learnt_by_all_gateways(self):
        self.start_callers(SOUND_PER_S, self.sound_prompt, self.sound)
        await asyncio.sleep(1.0 + CALM_S + OPEN_S)
        begun = time.monotonic()
        self.begin_crashing()
        await asyncio.sleep(18.0)
        await self.stop_callers()
        self.check_learnt(begun)

    async def test_a_learnt_prompt_part_outlasts_restarts_of_all_processes(self):
        self.start_callers(SOUND_PER_S, self.sound_prompt, self.sound)
        await asyncio.sleep(1.0 + CALM_S + OPEN_S)
        begun = time.monotonic()
        self.begin_crashing()
        await asyncio.sleep(8.0)
        for name in self.platform.gateways + self.platform.coordinators:
            self.platform.signal(name, signal.SIGKILL)
            await self.platform.wait_for_exit(name, 5)
        for name in self.platform.coordinators + self.platform.gateways:
            self.platform.start(name)
        await asyncio.sleep(10.0)
        await self.stop_callers()
        self.check_learnt(begun)

    async def test_engines_that_end_for_other_reasons_block_no_prompt_part(self):
        self.start_callers(SOUND_PER_S, self.sound_prompt, self.sound)
        await asyncio.sleep(2.0)
        engines = [item for item in self.platform.upstreams if item.adapter_slots]
        for i in range(8):
            restarts = [engines[i % ENGINES].crash(1.0)]
            if i % 4 == 3:
                restarts.append(engines[(i + 1) % ENGINES].crash(1.0))
            self.platform.tasks += [asyncio.create_task(item) for item in restarts]
            await asyncio.sleep(1.2)
        await asyncio.sleep(2.0)
        await self.stop_callers()
        self.assertEqual([], self.refused)
        self.assertGreater(self.served_share(0, time.monotonic()), 0.7)


if __name__ == "__main__":
    unittest.main(verbosity=2)
