"""Callers of several gateways, whose retries are counted where they arrive.

SEED seeds the faults of a test, KEEP_LOGS keeps the logs of its processes; GATEWAYS, PLAIN and
ENGINES are the numbers of processes and upstreams, REQUESTS_PER_S the requests to each service.
"""

import asyncio
import collections
import datetime
import json
import os
import pathlib
import random
import shutil
import tempfile
import time
import unittest

from platform_fixture import (PlatformFixture, RETRY_EXTRA, RETRY_RATIO, RETRY_WINDOW_S, call_once,
                              request_headers)
from retry_budget_test import START_S, excess_retries, find_retries

GATEWAYS = int(os.environ.get("GATEWAYS", "4"))
PLAIN = int(os.environ.get("PLAIN", "6"))
ENGINES = int(os.environ.get("ENGINES", "3"))
REQUESTS_PER_S = float(os.environ.get("REQUESTS_PER_S", "30"))  # to each service
DEADLINE_S = 1.5
PATHS = {"desk": "/safe/x", "models": "/stream/x"}
SEED = int(os.environ.get("SEED", "52"))


def read_log(folder, event):
    """Yields the lines of an event in the logs of all gateways, with their times in s."""
    for path in pathlib.Path(folder).glob("gateway-*/log.jsonl"):
        for line in path.read_text(errors="replace").splitlines():
            if f'"event":"{event}"' in line:
                entry = json.loads(line)
                yield datetime.datetime.fromisoformat(entry["time"]).timestamp(), entry


class RetryTrafficTest(unittest.IsolatedAsyncioTestCase):
    """Sends requests to all gateways for as long as a test runs."""

    async def asyncSetUp(self):
        self.folder = tempfile.mkdtemp(prefix="retry-traffic-")
        self.random = random.Random(SEED)
        self.platform = PlatformFixture(self.folder, seed=SEED, gateways=GATEWAYS, plain=PLAIN,
                                        engines=ENGINES)
        self.request_times = {service: [] for service in PATHS}
        self.statuses = []
        self.calls = set()
        self.requests_per_s = REQUESTS_PER_S
        self.patience_s = DEADLINE_S + 0.5  # after which callers leave
        try:
            await self.platform.start_all()
        except BaseException:
            await self.asyncTearDown()
            raise
        self.begun = time.monotonic()
        self.callers = [asyncio.create_task(self.call_service(service)) for service in PATHS]
        await asyncio.sleep(START_S)

    async def asyncTearDown(self):
        self.platform.finished = True
        self.platform.stop_all()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder)
        else:
            print(f"logs: {self.folder}")

    async def call_service(self, service):
        number = 0
        due = time.monotonic()
        while not self.platform.finished:
            number += 1
            request_id = f"{PATHS[service][1]}{number:015x}"
            call = asyncio.create_task(self.call(service, request_id, number % GATEWAYS))
            self.calls.add(call)
            call.add_done_callback(self.calls.discard)
            due += 1 / self.requests_per_s
            await asyncio.sleep(max(0.0, due - time.monotonic()))

    async def call(self, service, request_id, gateway):
        self.request_times[service].append(time.monotonic())
        answer = await call_once(self.platform.caller_address(gateway), "POST", PATHS[service],
                                 request_headers(request_id, DEADLINE_S), limit=self.patience_s)
        self.statuses.append(answer.status)

    def refuse_requests(self):
        for upstream in self.platform.upstreams:
            upstream.refusing = True

    async def check_budget(self):
        self.platform.finished = True
        await asyncio.gather(*self.callers)
        await asyncio.gather(*self.calls)
        excesses = {service: excess_retries(self.request_times[service], self.platform.arrivals,
                                            service) for service in PATHS}
        for service, (excess, begin) in excesses.items():
            print(f"seed {SEED}, {service}: {excess:+.1f} retries over the budget in the window "
                  f"from {begin - self.begun:.1f} s, "
                  f"{len(find_retries(self.platform.arrivals, service))} in all")
        for service, (excess, begin) in excesses.items():
            self.assertLessEqual(excess, 0, f"{service}, from {begin - self.begun:.1f} s: "
                                 f"{self.describe_window(service, begin)}")

    def describe_window(self, service, begin):
        """Returns how the repeats of a window came about, by the gateways' logs."""
        retried = {(line["request"], line["upstream"]) for _, line in
                   read_log(self.folder, "retry_sent")}
        given_up = {(line["request"], line["upstream"]): at for at, line in
                    read_log(self.folder, "send_unanswered")}
        offset = time.time() - time.monotonic()
        kinds = collections.Counter()
        seen = set()
        arrivals = zip(self.platform.arrivals, self.platform.arrivals_by_upstream)
        for (at, counted_service, request_id), (_, upstream) in arrivals:
            if counted_service != service:
                continue
            if request_id in seen and begin <= at <= begin + RETRY_WINDOW_S:
                key = (request_id, upstream)
                kind = "counted retry" if key in retried else "first send that came last"
                late = at + offset - given_up.get(key, at + offset)
                kinds[kind + (", over 1 s after it was given up" if late > 1 else "")] += 1
            seen.add(request_id)
        return dict(kinds)

    def used_share(self, service, begin):
        """Returns which share of the allowed retries of the window from `begin` was used."""
        def count(times):
            return sum(begin <= at < begin + RETRY_WINDOW_S for at in times)
        retries = count(find_retries(self.platform.arrivals, service))
        allowed = RETRY_RATIO * count(self.request_times[service]) + RETRY_EXTRA
        print(f"{service}: {retries} of {allowed:.0f} allowed retries used")
        return retries / allowed
