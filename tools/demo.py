"""Runs a deployment under mixed load, prints a summary and fails if the audit finds a violation."""

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


def load_command(active_fleet, seconds, rate, zipf=1.6, share=0.2, seed=1, tokens=32, records=None, extra=()):
    command = [str(fleet.BIN / "siskindrift-load"), "--key", active_fleet.team_key, "--seconds", str(seconds),
               "--rate", str(rate), "--zipf", str(zipf), "--tokens", str(tokens),
               "--service", active_fleet.profile["services"][0], "--service-share", str(share),
               "--adapters", str(active_fleet.profile["adapters"]), "--seed", str(seed),
               "--records", str(records or active_fleet.folder / "records.jsonl")]
    for i in range(fleet.ENTRY_VMS):
        command += ["--entry", active_fleet.caller_address(i)]
    return command + list(extra)


def stall_quantiles(active_fleet):
    """Quantiles in ms of the wait from admission to start at an engine, from the VMs' metrics."""
    buckets = {}
    total = 0.0
    for i in range(fleet.ENTRY_VMS):
        _, _, text = fleet.http("GET", f"http://{active_fleet.caller_address(i)}/metrics")
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


def batch_fill(ledger, active_fleet):
    """Ratio of generated tokens to the tokens that full batches would have generated while busy.

    The time of a step follows the simulated engines: 16 ms + 0.4 ms for each request in the batch.
    """
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
    max_tokens = busy_ms / full_step_ms * batch
    return round(tokens / max_tokens, 4) if max_tokens else 0.0


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--deployment", choices=sorted(fleet.DEPLOYMENTS), default="magnolia")
    parser.add_argument("--seconds", type=int, default=20)
    parser.add_argument("--rate", type=float, default=25)
    parser.add_argument("--folder")
    options = parser.parse_args()
    folder = options.folder or tempfile.mkdtemp(prefix="siskindrift-demo-")
    active_fleet = fleet.Fleet(pathlib.Path(folder), options.deployment)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    try:
        print(f"starting {options.deployment}: 7 entry VMs, 3 control replicas, "
              f"{active_fleet.profile['engines'][1]} engines, {active_fleet.profile['services'][1]} services",
              flush=True)
        active_fleet.start_all()
        print("a team joined through its questionnaire; load for", options.seconds, "s", flush=True)
        done = subprocess.run(load_command(active_fleet, options.seconds, options.rate),
                              capture_output=True, text=True)
        summary = json.loads(done.stdout)
        ledger = active_fleet.ledger()
        records = audit.read_records(active_fleet.folder / "records.jsonl")
        violations = audit.audit(records, ledger)
        stalls = stall_quantiles(active_fleet)
        loads = sum(1 for line in ledger if line["kind"] == "load")
        evictions = sum(1 for line in ledger if line["kind"] == "unload")
        print(f"requests {summary['requests']}: ran {summary['ran']}, not run {summary['not_run']}, "
              f"may have run {summary['may_have_run']}, no answer {summary['no_answer']}")
        print(f"first token p95 {summary['first_token_ms']['p95']:.0f} ms; load stalls p99 {stalls['p99']} ms; "
              f"{loads} loads, {evictions} evictions")
        for name, count in violations.items():
            print(f"  {name}: {count}")
        result = {"deployment": options.deployment, "seconds": options.seconds,
                  "requests": summary["requests"], "ran": summary["ran"],
                  "not_run": summary["not_run"],
                  "may_have_run": summary["may_have_run"] + summary["no_answer"],
                  "wrong_adapter": violations["wrong_adapter"] + summary["wrong_adapter"],
                  "crossed_answers": violations["crossed_answers"], "doubled": violations["doubled"],
                  "load_stall_ms": stalls, "batch_fill": batch_fill(ledger, active_fleet),
                  "first_token_ms": summary["first_token_ms"]}
        print(json.dumps(result))
        return 0 if not any(violations.values()) else 1
    finally:
        active_fleet.stop_all()


if __name__ == "__main__":
    sys.exit(main())
