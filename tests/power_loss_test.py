"""Tests that nothing acknowledged is lost when a disk is lost and all machines lose power at once."""

import asyncio
import shutil
import signal
import time
import unittest

from platform_fixture import call_once, request_headers
from retry_traffic import PATHS, RetryTrafficTest

RECOVERY_S = 12.0  # time until callers are served again
MAX_DOWN_S = 1.5
TORN_BYTES = 40    # of a record that was being written


class PowerLossTest(RetryTrafficTest):
    async def lose_power(self):
        """Kills all programs at the moment of an acknowledgement, and loses one disk."""
        names = self.platform.coordinators + self.platform.gateways
        self.assertTrue(await self.platform.put_document(limit=10))
        for name in names:
            self.platform.signal(name, signal.SIGKILL)
        for name in names:
            self.assertIsNotNone(await self.platform.wait_for_exit(name, 5))
        lost, torn = self.random.sample(self.platform.coordinators, 2)
        shutil.rmtree(self.platform.folder / lost / "data")
        newest = max((self.platform.folder / torn / "data").glob("log-*.seg"))
        with newest.open("ab") as log:
            log.write(self.random.randbytes(TORN_BYTES))
        self.random.shuffle(names)
        for name in names:
            await asyncio.sleep(self.random.uniform(0, MAX_DOWN_S / len(names)))
            self.platform.start(name)

    async def is_served(self, service, gateway):
        request_id = f"{self.random.getrandbits(60):016x}"
        answer = await call_once(self.platform.caller_address(gateway), "POST", PATHS[service],
                                 request_headers(request_id, 1.0), limit=1.5)
        return answer.status == 200

    async def test_documents_and_callers_are_back_after_a_lost_disk_and_a_loss_of_power(self):
        await self.lose_power()
        end = time.monotonic() + RECOVERY_S
        for gateway in range(len(self.platform.gateways)):
            for service in PATHS:
                await self.platform.wait_until(lambda s=service, g=gateway: self.is_served(s, g),
                                               end - time.monotonic(),
                                               f"gateway {gateway + 1} serves {service}")
        self.assertEqual(await self.platform.read_document(), self.platform.acknowledged)
        self.assertTrue(await self.platform.put_document(limit=10))

    async def test_retries_stay_within_the_budget_after_a_lost_disk_and_a_loss_of_power(self):
        self.refuse_requests()
        frozen = self.random.sample(self.platform.upstreams, 3)
        for upstream in frozen:
            upstream.frozen = True
        await asyncio.sleep(3.0)
        await self.lose_power()
        await asyncio.sleep(10.0)
        for upstream in frozen:
            upstream.frozen = False
        await asyncio.sleep(4.0)
        await self.check_budget()


if __name__ == "__main__":
    unittest.main(verbosity=2, warnings="ignore")
