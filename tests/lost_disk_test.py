"""Tests that coordinators that lose their disks, or are replaced, count again for the next loss."""

import asyncio
import os
import random
import shutil
import signal
import tempfile
import time
import unittest

from platform_fixture import PlatformFixture, call_once

COORDINATORS = 5
LOSSES_BORNE = 2   # disks that may be lost at once
SEEDS = 3          # as many coordinators as the settings name
CATCH_UP_S = 6.0   # time after which a coordinator that came back may count as present
RECOVERY_S = 15.0  # time until a loss of power is recovered from
DOWN_S = 1.0
SEED = int(os.environ.get("SEED", "59"))


class CoordinatorFixture(PlatformFixture):
    """Coordinators alone. They know the first ones, and whom they have heard of."""

    def __init__(self, folder):
        super().__init__(folder, seed=SEED, coordinators=COORDINATORS + 1, gateways=0, plain=0,
                         engines=0)
        self.substitute = self.coordinators.pop()
        self.seeds = {}  # by the name of the coordinator whose settings name others
        self.frozen_at_start = None

    def settings_for(self, name):
        settings = super().settings_for(name)
        seeds = self.seeds.get(name, settings["seeds"][:SEEDS])
        return {**settings, "seeds": seeds, "losses_borne": LOSSES_BORNE}

    def control_address(self, name):
        return self.control_addresses[int(name.rpartition("-")[2]) - 1]

    def start(self, name):
        super().start(name)
        if name == self.frozen_at_start:
            self.signal(name, signal.SIGSTOP)

    async def find_leader(self):
        """Returns the name of the coordinator that answers reads itself, or None."""
        for name in self.coordinators:
            answer = await call_once(self.control_address(name), "GET", "/api/config", limit=1.0)
            if answer.status == 200:
                return name
        return None

    async def stop(self, name):
        self.signal(name, signal.SIGKILL)
        await self.wait_for_exit(name, 5)

    async def lose_disk(self, name):
        await self.stop(name)
        shutil.rmtree(self.folder / name / "data")


class LostDiskTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.folder = tempfile.mkdtemp(prefix="lost-disk-test-")
        self.random = random.Random(SEED)
        self.platform = CoordinatorFixture(self.folder)
        if "frozen_at_the_start" in self._testMethodName:
            self.platform.frozen_at_start = self.platform.coordinators[-1]
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

    async def wait_for_leader(self):
        end = time.monotonic() + RECOVERY_S
        while time.monotonic() < end:
            leader = await self.platform.find_leader()
            if leader is not None:
                return leader
            await asyncio.sleep(0.1)
        self.fail(f"no coordinator leads within {RECOVERY_S} s")

    async def let_a_coordinator_lead_that_is_no_seed(self):
        """Restarts the seeds so that none has the newest document while there is no leader."""
        seeds = self.platform.coordinators[:SEEDS]
        for name in seeds[:-1]:
            await self.platform.stop(name)
        self.assertTrue(await self.platform.put_document(limit=RECOVERY_S))
        await self.platform.stop(seeds[-1])
        for name in seeds[:-1]:
            self.platform.start(name)
        self.assertNotIn(await self.wait_for_leader(), seeds)
        self.platform.start(seeds[-1])
        await asyncio.sleep(CATCH_UP_S)

    async def lose_disks_and_power(self, candidates):
        """Loses as many disks as are borne at an acknowledgement, and the power of all others."""
        self.assertTrue(await self.platform.put_document(limit=10))
        lost = self.random.sample(candidates, LOSSES_BORNE)
        for name in self.platform.coordinators:
            self.platform.signal(name, signal.SIGKILL)
        for name in lost:
            await self.platform.lose_disk(name)
        await asyncio.sleep(DOWN_S)
        for name in self.platform.coordinators:
            self.platform.start(name)

    async def check_document(self):
        """Reads back what was acknowledged last."""
        end = time.monotonic() + RECOVERY_S
        found = None
        while found is None and time.monotonic() < end:
            found = await self.platform.read_document()
        self.assertEqual(found, self.platform.acknowledged)

    async def replace_a_lost_disk(self, lost):
        """Loses a disk and, once its coordinator is back, as many others as are borne."""
        await self.platform.lose_disk(lost)
        await asyncio.sleep(DOWN_S)
        self.platform.start(lost)
        await asyncio.sleep(CATCH_UP_S)
        await self.lose_disks_and_power([n for n in self.platform.coordinators if n != lost])
        await self.check_document()

    async def test_a_lost_disk_counts_as_replaced_where_the_leader_is_a_seed(self):
        leader = await self.wait_for_leader()
        self.assertIn(leader, self.platform.coordinators[:SEEDS])
        await self.replace_a_lost_disk(self.platform.coordinators[-1])

    async def test_a_lost_disk_counts_as_replaced_where_the_leader_is_no_seed(self):
        await self.let_a_coordinator_lead_that_is_no_seed()
        await self.replace_a_lost_disk(self.platform.coordinators[self.random.randrange(SEEDS)])

    async def test_a_lost_disk_counts_as_replaced_where_no_other_seed_answers(self):
        lost = await self.wait_for_leader()
        silent = [f"127.7.1.{i}:{self.platform.port + 4}" for i in (101, 102)]
        self.platform.seeds[lost] = [*self.platform.inner_addresses(lost), *silent]
        await self.replace_a_lost_disk(lost)

    async def test_a_substitute_at_another_address_counts_where_the_leader_is_no_seed(self):
        await self.let_a_coordinator_lead_that_is_no_seed()
        gone = self.platform.coordinators[self.random.randrange(SEEDS)]
        await self.platform.stop(gone)
        self.platform.coordinators.remove(gone)
        substitute = self.platform.substitute
        self.platform.started.add(substitute)  # this isn't the first start of the deployment
        self.platform.coordinators.append(substitute)
        self.platform.start(substitute)
        await asyncio.sleep(CATCH_UP_S)
        await self.lose_disks_and_power([n for n in self.platform.coordinators if n != substitute])
        await self.check_document()

    async def test_lost_disks_are_replaced_where_another_coordinator_was_frozen_at_the_start(self):
        frozen = self.platform.frozen_at_start
        self.platform.frozen_at_start = None
        self.assertTrue(await self.platform.put_document(limit=10))
        lost = self.random.sample(self.platform.coordinators[:-1], LOSSES_BORNE)
        for name in lost:
            await self.platform.lose_disk(name)
        await asyncio.sleep(DOWN_S)
        for name in lost:
            self.platform.start(name)
        self.platform.signal(frozen, signal.SIGCONT)
        await self.check_document()
        self.assertTrue(await self.platform.put_document(limit=10))


if __name__ == "__main__":
    unittest.main(verbosity=2, warnings="ignore")
