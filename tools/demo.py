"""Runs a whole deployment for a while under mixed load and says what happened."""

import argparse
import json
import pathlib
import re
import signal
import subprocess
import sys
import tempfile

import audit
import fleet

METRIC = re.compile(r"^(siskindrift_[a-z_]+)(\{[^}]*\})? ([0-9.e+-]+)$", re.MULTILINE)


def load_command(running, seconds, rate, zipf=1.6, share=0.2, seed=1, tokens=32, records=None, extra=()):
    command = [str(fleet.BIN / "siskindrift-load"), "--key", running.team_key, "--seconds", str(seconds),
               "--rate", str(rate), "--zipf", str(zipf), "--tokens", str(tokens),
               "--service", running.shape["services"][0], "--service-share", str(share),
               "--adapters", str(running.shape["adapters"]), "--seed", str(seed),
               "--records", str(records or running.folder / "records.jsonl")]
    for i in range(fleet.ENTRY_VMS):
        command += ["--entry", running.caller_address(i)]
    return command + list(extra)


def stall_quantiles(running):
    """Waits between admission and start at the engines, from the VMs' histograms."""
    buckets = {}
    total = 0.0
    for i in range(fleet.ENTRY_VMS):
        _, _, text = fleet.http("GET", f"http://{running.caller_address(i)}/metrics")
        previous = 0.0
        for bound, value in re.findall(r'siskindrift_wait_ms_bucket\{le="([^"]+)"\} (\S+)', text):
            if bound == "+Inf":
                continue
            buckets[float(bound)] = buckets.get(float(bound), 0.0) + float(value) - previous
            previous = float(value)
        for value in re.findall(r"^siskindrift_wait_ms_sum (\S+)", text, re.MULTILINE):
            total += float(value)
    count = sum(buckets.values())

    def quantile(share):
        seen = 0.0
        for bound in sorted(buckets):
            seen += buckets[bound]
            if seen >= share * count:
                return round(bound, 1)
        return 0.0
    return {"p50": quantile(0.5), "p95": quantile(0.95), "p99": quantile(0.99), "total": round(total)}


def batch_fill(ledger, running):
    """Tokens made against what the engines could have made at full batches while busy."""
    tokens = sum(line.get("tokens", 0) for line in ledger if line["kind"] == "run_end")
    events = []
    batch = 16
    starts = {(line["upstream"], line["run"]): line["at"] for line in ledger if line["kind"] == "run"}
    for line in ledger:
        if line["kind"] == "run_end" and line.get("tokens"):
            events.append((line["upstream"], starts.get((line["upstream"], line["run"])), line["at"]))
    busy_ms = 0
    for upstream in {event[0] for event in events}:
        last = 0
        for _, start, end in sorted((event for event in events if event[0] == upstream and event[1]),
                                    key=lambda event: event[1]):
            busy_ms += max(0, end - max(start, last))
            last = max(last, end)
    full_step_ms = 16 + 0.4 * batch
    possible = busy_ms / full_step_ms * batch
    return round(tokens / possible, 4) if possible else 0.0


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--deployment", choices=sorted(fleet.DEPLOYMENTS), default="magnolia")
    parser.add_argument("--seconds", type=int, default=20)
    parser.add_argument("--rate", type=float, default=25)
    parser.add_argument("--folder")
    options = parser.parse_args()
    folder = options.folder or tempfile.mkdtemp(prefix="siskindrift-demo-")
    running = fleet.Fleet(pathlib.Path(folder), options.deployment)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    try:
        print(f"starting {options.deployment}: 7 entry VMs, 3 control replicas, "
              f"{running.shape['engines'][1]} engines, {running.shape['services'][1]} services", flush=True)
        running.up()
        print("a team joined through its questionnaire; load for", options.seconds, "s", flush=True)
        done = subprocess.run(load_command(running, options.seconds, options.rate),
                              capture_output=True, text=True)
        summary = json.loads(done.stdout)
        ledger = running.ledger()
        records = audit.read_records(running.folder / "records.jsonl")
        broken = audit.audit(records, ledger)
        stalls = stall_quantiles(running)
        loads = sum(1 for line in ledger if line["kind"] == "load")
        evictions = sum(1 for line in ledger if line["kind"] == "unload")
        print(f"requests {summary['requests']}: ran {summary['ran']}, not run {summary['not_run']}, "
              f"may have run {summary['may_have_run']}, no answer {summary['no_answer']}")
        print(f"first token p95 {summary['first_token_ms']['p95']:.0f} ms; load stalls p99 {stalls['p99']} ms; "
              f"{loads} loads, {evictions} evictions")
        for name, count in broken.items():
            print(f"  {name}: {count}")
        result = {"deployment": options.deployment, "seconds": options.seconds,
                  "requests": summary["requests"], "ran": summary["ran"],
                  "not_run": summary["not_run"],
                  "may_have_run": summary["may_have_run"] + summary["no_answer"],
                  "wrong_adapter": broken["wrong_adapter"] + summary["wrong_adapter"],
                  "crossed_answers": broken["crossed_answers"], "doubled": broken["doubled"],
                  "load_stall_ms": stalls, "batch_fill": batch_fill(ledger, running),
                  "first_token_ms": summary["first_token_ms"]}
        print(json.dumps(result))
        return 0 if not any(broken.values()) else 1
    finally:
        running.down()


if __name__ == "__main__":
    sys.exit(main())
