"""Tests that a group of coordinators bears a lost disk beside the end of a replaced member.

Guards against a group that no longer elects a leader: the successor of the replaced member has to
count at once, however the member ends, and whichever loss comes first.
"""

import asyncio
import os
import random
import shutil
import signal
import tempfile
import time
import unittest

from platform_fixture import PlatformFixture, call_once

FIRST = 3          # coordinators of the first start
LOSSES_BORNE = 1   # disks that may be lost at once
CATCH_UP_S = 4.0   # time after which a new coordinator counts
DOWN_S = 1.0       # until a coordinator that lost its disk runs again
RECOVERY_S = 12.0  # time until an acknowledged document is read again
SEED = int(os.environ.get("SEED", "65"))


class CoordinatorFixture(PlatformFixture):
    """Three coordinators, and further ones that start later as successors."""

    def __init__(self, folder):
        super().__init__(folder, seed=SEED, coordinators=FIRST + 2, gateways=0, plain=0, engines=0)
        self.first = self.coordinators[:FIRST]
        self.successors = self.coordinators[FIRST:]
        self.coordinators = list(self.first)

    def settings_for(self, name):
        settings = super().settings_for(name)
        seeds = [self.inner_addresses(other)[0] for other in self.first]
        first_start = name in self.first and name not in self.started
        return {**settings, "seeds": seeds, "losses_borne": LOSSES_BORNE,
                "first_start": first_start}

    async def find_leader(self):
        for name in self.coordinators:
            address = self.control_addresses[int(name.rpartition("-")[2]) - 1]
            if (await call_once(address, "GET", "/api/config", limit=1.0)).status == 200:
                return name
        return None


class ReplacedCoordinatorTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.folder = tempfile.mkdtemp(prefix="replaced-coordinator-test-")
        self.random = random.Random(SEED)
        self.platform = CoordinatorFixture(self.folder)
        try:
            await self.platform.start_all()
            await asyncio.sleep(CATCH_UP_S)
        except BaseException:
            await self.asyncTearDown()
            raise

    async def asyncTearDown(self):
        self.platform.finished = True
        self.platform.stop_all()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder)
        else:
            print(f"logs: {self.folder}")

    async def start_successors(self, count):
        for name in self.platform.successors[:count]:
            self.platform.coordinators.append(name)
            self.platform.start(name)
        await asyncio.sleep(CATCH_UP_S)
        self.assertTrue(await self.platform.put_document(limit=10))

    async def choose(self, leads):
        """Returns one of the first coordinators that leads, or one that doesn't."""
        leader = await self.platform.find_leader()
        self.assertIsNotNone(leader)
        others = [n for n in self.platform.first if n != leader]
        return leader if leads and leader in self.platform.first else self.random.choice(others)

    async def remove(self, name, how):
        """Ends a coordinator whose machine never comes back."""
        self.platform.signal(name, how)
        self.assertIsNotNone(await self.platform.wait_for_exit(name, 8))
        self.platform.coordinators.remove(name)

    async def lose_disk(self, name):
        self.platform.signal(name, signal.SIGKILL)
        await self.platform.wait_for_exit(name, 5)
        shutil.rmtree(self.platform.folder / name / "data")

    async def check_group(self):
        """Reads back what was acknowledged last, and changes it."""
        end = time.monotonic() + RECOVERY_S
        found = None
        while found is None and time.monotonic() < end:
            found = await self.platform.read_document()
        self.assertEqual(found, self.platform.acknowledged)
        self.assertTrue(await self.platform.put_document(limit=RECOVERY_S))

    async def remove_then_lose_a_disk(self, how, leads, pause):
        await self.start_successors(1)
        await self.remove(await self.choose(leads), how)
        await asyncio.sleep(pause)
        self.assertTrue(await self.platform.put_document(limit=10))
        lost = await self.platform.find_leader() or self.random.choice(self.platform.coordinators)
        await self.lose_disk(lost)
        await asyncio.sleep(DOWN_S)
        self.platform.start(lost)
        await self.check_group()

    async def test_a_member_that_stops(self):
        await self.remove_then_lose_a_disk(signal.SIGTERM, leads=False, pause=1.0)

    async def test_a_leader_that_stops(self):
        await self.remove_then_lose_a_disk(signal.SIGTERM, leads=True, pause=0.0)

    async def test_a_member_that_is_killed(self):
        await self.remove_then_lose_a_disk(signal.SIGKILL, leads=False, pause=0.0)

    async def test_a_leader_that_is_killed(self):
        await self.remove_then_lose_a_disk(signal.SIGKILL, leads=True, pause=1.0)

    async def test_a_member_that_is_killed_together_with_the_loss(self):
        await self.start_successors(1)
        gone = await self.choose(leads=False)
        lost = self.random.choice([n for n in self.platform.coordinators if n != gone])
        await asyncio.gather(self.remove(gone, signal.SIGKILL), self.lose_disk(lost))
        await asyncio.sleep(DOWN_S)
        self.platform.start(lost)
        await self.check_group()

    async def test_a_member_that_is_killed_while_the_disk_is_being_replaced(self):
        await self.start_successors(1)
        lost = self.random.choice(self.platform.coordinators)
        await self.lose_disk(lost)
        gone = self.random.choice([n for n in self.platform.first if n != lost])
        await self.remove(gone, signal.SIGKILL)
        await asyncio.sleep(DOWN_S)
        self.platform.start(lost)
        await self.check_group()

    async def test_two_members_that_are_killed_one_after_the_other(self):
        await self.start_successors(2)
        for leads in (False, True):
            await self.remove(await self.choose(leads), signal.SIGKILL)
            await asyncio.sleep(1.0)
        await self.check_group()


if __name__ == "__main__":
    unittest.main(verbosity=2, warnings="ignore")
