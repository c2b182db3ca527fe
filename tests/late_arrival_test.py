"""Tests that retries which reach upstreams late stay within the budget that all gateways share.

LATE_ARRIVAL_S is the length of the disturbance.
"""

import asyncio
import os
import signal
import time
import unittest

from platform_fixture import RETRY_WINDOW_S
from retry_traffic import RetryTrafficTest

FREEZE_S = (2.0, 20.0)
MIN_USED_SHARE = 0.9  # of the retries that are allowed
CALM_REQUESTS_PER_S = 10.0
SHORT_PATIENCE_S = 0.3
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

    async def test_retries_whose_callers_leave_early_stay_within_the_budget_on_held_links(self):
        self.requests_per_s = CALM_REQUESTS_PER_S
        self.patience_s = SHORT_PATIENCE_S
        self.refuse_requests()
        await self.disturb_some(lambda upstream: setattr(upstream.link, "held", True),
                                lambda upstream: setattr(upstream.link, "held", False))
        await self.check_budget()

    async def repeat_until(self, end, pause_s, act):
        """Calls `act` again and again, after pauses of random length."""
        while True:
            await asyncio.sleep(self.random.uniform(*pause_s))
            if time.monotonic() >= end:
                return
            await act()

    async def stop_and_continue(self, names, length_s):
        name = self.random.choice(names)
        self.platform.signal(name, signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(*length_s))
        self.platform.signal(name, signal.SIGCONT)

    async def kill_and_start(self, names):
        name = self.random.choice(names)
        self.platform.signal(name, signal.SIGKILL)
        await self.platform.wait_for_exit(name, 5)
        self.platform.start(name)

    async def cut_gateway_off(self):
        """Cuts a gateway off from some upstreams, so that others pass its requests on."""
        source = self.platform.source_address(self.random.randrange(len(self.platform.gateways)))
        links = [upstream.link for upstream in self.platform.upstreams]
        chosen = self.random.sample(links, self.random.choice((3, len(links))))
        old = self.random.choice(("silent", "reset", "live"))
        for link in chosen:
            link.block([source], old)
        await asyncio.sleep(self.random.uniform(1.0, 8.0))
        for link in chosen:
            link.unblock()

    async def test_retries_stay_within_the_budget_in_all_kinds_of_trouble_at_once(self):
        end = time.monotonic() + TROUBLE_S
        gateways, coordinators = self.platform.gateways, self.platform.coordinators
        for upstream in self.platform.upstreams:
            upstream.refusing = self.random.random() < 0.9
            upstream.lost_response_share = self.random.choice((0.0, 0.6))

        async def crash():
            await self.random.choice(self.platform.upstreams).crash(1.5)
        await asyncio.gather(
            self.disturb_some(lambda upstream: setattr(upstream, "frozen", True),
                              lambda upstream: setattr(upstream, "frozen", False)),
            self.disturb_some(lambda upstream: setattr(upstream.link, "held", True),
                              lambda upstream: setattr(upstream.link, "held", False)),
            self.repeat_until(end, (1, 4), lambda: self.stop_and_continue(gateways[:2], (1, 6))),
            self.repeat_until(end, (4, 10), lambda: self.kill_and_start(gateways[2:])),
            self.repeat_until(end, (4, 10), lambda: self.kill_and_start(coordinators)),
            self.repeat_until(end, (2, 6), self.cut_gateway_off),
            self.repeat_until(end, (3, 8), crash))
        await self.check_budget()

    async def test_retries_through_other_gateways_stay_within_the_budget(self):
        self.refuse_requests()
        for upstream in self.platform.upstreams:
            upstream.link.block([self.platform.source_address(0)], "reset")
        await asyncio.sleep(RETRY_WINDOW_S + 2)
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
