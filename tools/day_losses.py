#!/usr/bin/env python3
"""Tells where the worth of a played day was lost, from the report and the output of one run.

Usage: python3 tools/day_losses.py [--deployment FILE] REPORT [OUTPUT]

REPORT is the file that a run wrote with --report, OUTPUT what it printed with --log all. FILE is the deployment's file,
which tells what a request of each kind is worth; without it, all kinds are worth one and half of it when late. The first table is exact: the
weighted shares that are missing and the prices add up to one less the worth. The second shares the missing part of the
whole day among the kinds of requests by their counts; what the sizes of single requests account for is its last row.
The third parts late first bytes by the stage that took longest, from the gateways' lines of served requests; lines that
the log limit left out are missing there, their number is printed.
"""

import argparse
import collections
import json
import pathlib
import tomllib

SLOW_MS = 400  # half of the shortest objective of a first byte


def print_table(title, rows):
    print(f"\n{title}")
    for name, value in rows:
        print(f"  {name:54} {value:8.4f}")
    print(f"  {'sum':54} {sum(value for _, value in rows):8.4f}")


def exact_parts(report):
    rows = [(f"missing from {name} (weight {weight})", weight * (1 - share)) for name, weight, share in report["parts"]]
    rows += [(f"price: {name}", price) for name, _, price in report["prices"] if abs(price) >= 0.00005]
    rest = 1 - report["G"] - sum(value for _, value in rows)
    return rows + [("prices below 0.00005", rest)]


def lost_by_kind(report, worths):
    """Shares the missing part of the whole day by the counts of late, refused and failed requests."""
    owed = sum(kind["n"] * worths.get(kind["name"], (1, 0.5))[0] for kind in report["classes"])
    rows = []
    for kind in report["classes"]:
        worth, late_worth = worths.get(kind["name"], (1, 0.5))
        lost = {"late": kind["late"] * (worth - late_worth), "refused": kind["refused"] * worth,
                "failed": kind["failed"] * worth}
        rows += [(f"{kind['name']}: {cause}", value / owed) for cause, value in lost.items() if value > 0]
    missing = 1 - report["parts"][0][2]
    return rows + [("sizes of single requests", missing - sum(value for _, value in rows))]


def log_lines(path):
    """Yields the simulated time and the fields of each JSON line in the output of a run."""
    for line in path.read_text(errors="replace").splitlines():
        start = line.find('{"time"')
        if start < 0:
            continue
        try:
            yield float(line[:start].split()[0]), json.loads(line[start:])
        except (ValueError, IndexError):
            continue


def slow_stages(path):
    stages = collections.Counter()
    endings = collections.Counter()
    left_out = 0
    for _, fields in log_lines(path):
        event = fields["event"]
        if event == "request_served" and fields.get("adapter"):
            wait, rest = fields["sent_ms"], fields["first_ms"] - fields["sent_ms"]
            if max(wait, rest) >= SLOW_MS:
                stages["waited for an adapter or an upstream" if wait >= rest else "queue and prefill at the engine"] += 1
            else:
                stages["in time"] += 1
        elif event in ("request_ended", "request_cut"):
            endings[f"{event}: {fields.get('reason')}"] += 1
        elif event == "log_lines_left_out":
            left_out += sum(value for value in fields.values() if isinstance(value, int))
    return stages, endings, left_out


def worths_of(path):
    """Returns worth and late worth by kind of request."""
    with open(path, "rb") as file:
        return {kind["name"]: (kind["worth"], kind["late_worth"]) for kind in tomllib.load(file)["classes"]}


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--deployment")
    parser.add_argument("report", type=pathlib.Path)
    parser.add_argument("output", type=pathlib.Path, nargs="?")
    args = parser.parse_args()
    report = json.loads(args.report.read_text())
    worths = worths_of(args.deployment) if args.deployment else {}
    print(f"worth {report['G']:.4f}, broken rules: {report['breaks'] or 'none'}")
    print_table("one less the worth", exact_parts(report))
    print_table("missing from the whole day, by kind of request", lost_by_kind(report, worths))
    if args.output:
        stages, endings, left_out = slow_stages(args.output)
        print("\nserved requests with an adapter, by their slowest stage")
        for name, count in stages.most_common():
            print(f"  {name:54} {count:8}")
        print("\nrequests that were ended without an upstream's answer")
        for name, count in endings.most_common():
            print(f"  {name:54} {count:8}")
        print(f"\nlines left out of the log: {left_out}")


if __name__ == "__main__":
    main()
