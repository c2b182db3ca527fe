"""Tests that retries which reach upstreams late stay within the budget that all gateways share.

LATE_ARRIVAL_S is the length of the disturbance.
"""

import asyncio
import os
import time
import unittest

from platform_fixture import RETRY_WINDOW_S
from retry_traffic import RetryTrafficTest

FREEZE_S = (2.0, 20.0)
MIN_USED_SHARE = 0.9  # of the retries that are allowed
BACK_S = 4.0          # time until an upstream that runs again is used
TROUBLE_S = float(os.environ.get("LATE_ARRIVAL_S", "24"))


class LateArrivalTest(RetryTrafficTest):
    async def disturb_in_turn(self, upstream, disturb, restore):
        """Disturbs an upstream again and again until the trouble ends."""
        end = time.monotonic() + TROUBLE_S
        while time.monotonic() < end:
            await asyncio.sleep(self.random.uniform(0.1, 1.5))
            disturb(upstream)
            length = self.random.uniform(*FREEZE_S)
            await asyncio.sleep(min(length, max(0.0, end - time.monotonic())))
            restore(upstream)

    async def disturb_some(self, disturb, restore):
        plain = [upstream for upstream in self.platform.upstreams if upstream.service == "desk"]
        engines = [upstream for upstream in self.platform.upstreams if upstream.service != "desk"]
        chosen = self.random.sample(plain, 2) + self.random.sample(engines, 1)
        await asyncio.gather(*[self.disturb_in_turn(upstream, disturb, restore)
                               for upstream in chosen])
        await asyncio.sleep(2.0)

    async def test_retries_to_frozen_upstreams_stay_within_the_budget(self):
        def set_frozen(frozen):
            return lambda upstream: setattr(upstream, "frozen", frozen)
        self.refuse_requests()
        await self.disturb_some(set_frozen(True), set_frozen(False))
        await self.check_budget()

    async def test_retries_on_links_that_hold_and_then_deliver_stay_within_the_budget(self):
        def set_held(held):
            return lambda upstream: setattr(upstream.link, "held", held)
        self.refuse_requests()
        await self.disturb_some(set_held(True), set_held(False))
        await self.check_budget()

    async def test_retries_are_usable_beside_one_frozen_upstream(self):
        self.refuse_requests()
        self.platform.upstreams[0].frozen = True
        begin = time.monotonic()
        await asyncio.sleep(RETRY_WINDOW_S)
        self.assertGreaterEqual(self.used_share("desk", begin), MIN_USED_SHARE)
        self.platform.upstreams[0].frozen = False
        await asyncio.sleep(BACK_S)
        seen = {name for at, name in self.platform.arrivals_by_upstream
                if at > time.monotonic() - 1}
        self.assertIn(self.platform.upstreams[0].name, seen)
        await self.check_budget()


if __name__ == "__main__":
    unittest.main(verbosity=2, warnings="ignore")
