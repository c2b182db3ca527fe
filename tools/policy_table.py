"""Prints the policy benchmark's JSON lines as a table that compares three policies."""

import collections
import json
import sys

rows = collections.defaultdict(dict)
for line in sys.stdin:
    item = json.loads(line)
    rows[(item["deployment"], item["workload"])][item["policy"]] = item
print(f"{'deployment':15}{'workload':16}{'stall s: naive':>15}{'ours':>9}{'clair':>9}{'/naive':>8}{'/clair':>8}"
      f"{'p99 ms':>9}{'/naive':>8}{'fill: naive':>12}{'ours':>7}{'clair':>7}{'/naive':>8}{'/clair':>8}"
      f"{'ttft95':>8}{'naive':>8}{'rec s':>7}{'miss':>6}{'naive':>6}")
for (deployment, workload), item in rows.items():
    n, o, c = item["naive"], item["siskindrift"], item["clairvoyant"]

    def ratio(a, b):
        return a / b if b else float("inf") if a else 1.0
    print(f"{deployment:15}{workload:16}{n['stall_total_s']:15.1f}{o['stall_total_s']:9.1f}{c['stall_total_s']:9.1f}"
          f"{ratio(o['stall_total_s'], n['stall_total_s']):8.2f}{ratio(o['stall_total_s'], c['stall_total_s']):8.2f}"
          f"{o['stall_p99_ms']:9.0f}{ratio(o['stall_p99_ms'], n['stall_p99_ms']):8.2f}"
          f"{n['batch_fill']:12.3f}{o['batch_fill']:7.3f}{c['batch_fill']:7.3f}"
          f"{ratio(o['batch_fill'], n['batch_fill']):8.2f}{ratio(o['batch_fill'], c['batch_fill']):8.2f}"
          f"{o['first_token_p95_ms']:8.0f}{n['first_token_p95_ms']:8.0f}{o['recovery_s']:7.1f}"
          f"{o['deadline_misses']:6}{n['deadline_misses']:6}")
