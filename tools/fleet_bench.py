"""Measures a running fleet; prints JSON lines `name, baseline, measured, ratio`."""

import http.client
import json
import os
import pathlib
import re
import signal
import statistics
import subprocess
import sys
import tempfile
import threading
import time

import demo
import fleet
import prove
import uuid7


def emit(name, measured, baseline=None, unit=""):
    line = {"name": name, "baseline": baseline, "measured": round(measured, 4), "unit": unit}
    line["ratio"] = round(measured / baseline, 3) if baseline else None
    print(json.dumps(line), flush=True)


def quantile(values, share):
    values = sorted(values)
    return values[min(len(values) - 1, int(share * len(values)))]


def timed_calls(address, path, headers, body, count):
    ip, port = address.split(":")
    connection = http.client.HTTPConnection(ip, int(port), timeout=10)
    times = []
    for _ in range(count):
        begun = time.perf_counter()
        connection.request("POST", path, body, headers)
        answer = connection.getresponse()
        answer.read()
        if answer.status == 200:
            times.append((time.perf_counter() - begun) * 1000)
    return times


def added_latency(run):
    service = run.fleet.profile["services"][0]
    index = run.fleet.profile["engines"][1]
    headers = {"Authorization": "Bearer " + run.fleet.team_key, "Siskindrift-Idempotent": "true",
               "Content-Type": "application/json", "Siskindrift-Fencing": "99999999"}
    direct = timed_calls(run.fleet.upstream_address(index + 1), "/submit", headers, "{}", 200)
    through = timed_calls(run.fleet.caller_address(0), f"/v1/services/{service}/submit", headers, "{}", 200)
    for share, name in ((0.5, "p50"), (0.99, "p99")):
        emit(f"service_call_ms_{name}", quantile(through, share), quantile(direct, share), "ms")
        emit(f"added_latency_ms_{name}", quantile(through, share) - quantile(direct, share), None, "ms")


def cpu_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mb(pid):
    return int(re.search(r"VmRSS:\s+(\d+)", pathlib.Path(f"/proc/{pid}/status").read_text()).group(1)) / 1024


def inner_bytes(run, i):
    _, _, text = fleet.http("GET", f"http://{run.fleet.caller_address(i)}/metrics")
    return sum(float(value) for value in re.findall(r"^siskindrift_inner_(?:sent|received)_bytes (\S+)", text, re.M))


def idle_cost(run):
    names = ["entry-1", "entry-7", "control-1", "control-2"]
    before = {name: cpu_seconds(run.fleet.processes[name]["pid"]) for name in names}
    bytes_before = inner_bytes(run, 6)
    length = 10
    time.sleep(length)
    for name in names:
        pid = run.fleet.processes[name]["pid"]
        emit(f"idle_cpu_percent_{name}", (cpu_seconds(pid) - before[name]) / length * 100, 1.3, "% of a core")
        emit(f"resident_mb_{name}", resident_mb(pid), 64, "MB")
    emit("idle_inner_kb_per_s_entry-7", (inner_bytes(run, 6) - bytes_before) / length / 1000, 29, "KB/s")


def in_force(run):
    times = []
    for i in range(8):
        code, answer = prove.put_adapter(run, "measured", [str(i)])
        begun = time.monotonic()
        assert code == 0, answer

        def everywhere():
            return all(vm["revision"] >= answer["revision"] for vm in run.fleet.status()["vms"])
        fleet.wait_until(everywhere, 20, "in force")
        times.append(time.monotonic() - begun)
    emit("in_force_everywhere_s_p50", statistics.median(times), 1.0, "s")
    emit("in_force_everywhere_s_max", max(times), 1.0, "s")


class Prober:
    """Calls continuously from four threads and records when calls succeeded."""

    def __init__(self, call):
        self.call = call
        self.good = []
        self.stop = threading.Event()
        self.threads = [threading.Thread(target=self.loop, args=(k,), daemon=True) for k in range(4)]
        for thread in self.threads:
            thread.start()

    def loop(self, worker):
        while not self.stop.is_set():
            begun = time.monotonic()
            try:
                if self.call(worker):
                    self.good.append((begun, time.monotonic()))
            except OSError:
                pass
            time.sleep(0.02)

    def finish(self):
        self.stop.set()
        for thread in self.threads:
            thread.join()

    def gap_after(self, moment):
        """Returns the seconds until the first success of a call that began after `moment`."""
        later = [end for begun, end in self.good if begun >= moment]
        return min(later) - moment if later else float("inf")

    def longest_gap(self, begin, end):
        times = sorted([begin] + [done for _, done in self.good if begin <= done <= end] + [end])
        return max(b - a for a, b in zip(times, times[1:]))


def claim_call(run, vms):
    service = run.fleet.profile["services"][0]

    def call(worker):
        address = run.fleet.caller_address(vms[worker % len(vms)])
        status, _, _ = fleet.http("POST", f"http://{address}/v1/services/{service}/x", "{}", {
            "Authorization": "Bearer " + run.fleet.team_key, "Idempotency-Key": uuid7.new(),
            "Siskindrift-Deadline-Ms": "8000"}, timeout=10)
        return status == 200
    return call


def leader_loss(run):
    for name, how in (("killed", signal.SIGKILL), ("frozen", signal.SIGSTOP)):
        prober = Prober(claim_call(run, [3, 4, 5, 6]))
        time.sleep(2)
        leader = run.control_leader()
        begin = time.monotonic()
        run.fleet.kill(leader, how)
        time.sleep(6)
        prober.finish()
        emit(f"claims_unavailable_s_leader_{name}", prober.longest_gap(begin, begin + 6), 2.0, "s")
        if how == signal.SIGSTOP:
            run.fleet.kill(leader, signal.SIGCONT)
        else:
            run.fleet.restart(leader)
        time.sleep(2)


def model_call(run, vms, model):
    def call(worker):
        status, _, _ = prove.ask_model(run, vms[worker % len(vms)], model)
        return status == 200
    return call


def failures(run):
    model = "adapter-00001@1"
    fleet.wait_until(lambda: prove.ask_model(run, 3, model)[0] == 200, 20, "the adapter is loaded")
    engine = next(line["upstream"] for line in reversed(run.fleet.ledger())
                  if line["kind"] == "run" and line.get("adapter") == model)
    owner = run.owner_of(engine)
    callers = [i for i in range(fleet.ENTRY_VMS) if f"entry-{i + 1}" != owner][:4]
    for name, inject, undo in (
            ("silent_connection", lambda: run.fleet.inject_fault(engine, "freeze_connections"), lambda: None),
            ("restarted_engine", lambda: run.fleet.inject_fault(engine, "restart_empty"), lambda: None),
            ("frozen_vm", lambda: run.fleet.kill(owner, signal.SIGSTOP), lambda: run.fleet.kill(owner, signal.SIGCONT)),
            ("killed_vm", lambda: run.fleet.kill(run.owner_of(engine)), lambda: None)):
        prober = Prober(model_call(run, callers, model))
        time.sleep(1.5)
        inject()
        moment = time.monotonic()
        time.sleep(9)
        prober.finish()
        emit(f"first_good_answer_s_{name}", prober.gap_after(moment), None, "s")
        undo()
        time.sleep(4)


def overload(run):
    rates = {}
    for times in (1, 2, 3):
        command = demo.load_command(run.fleet, 10, 80 * times, zipf=2.5, share=0.0, tokens=64,
                                    extra=("--resends", "0", "--deadline-ms", "4000"))
        done = subprocess.run(command, capture_output=True, text=True, timeout=120)
        rates[times] = json.loads(done.stdout)["ran"] / 10
        emit(f"goodput_at_{times}x", rates[times], max(rates.values()), "1/s")


def real_policy(seconds=25):
    for deployment in sorted(fleet.DEPLOYMENTS):
        for policy in ("naive", "siskindrift"):
            folder = pathlib.Path(tempfile.mkdtemp(prefix="siskindrift-bench-"))
            active_fleet = fleet.Fleet(folder / "fleet", deployment, adapters=3000, policy=policy)
            try:
                active_fleet.start_all()
                done = subprocess.run(demo.load_command(active_fleet, seconds, 20), capture_output=True, text=True)
                summary = json.loads(done.stdout)
                stalls = demo.stall_quantiles(active_fleet)
                ledger = active_fleet.ledger()
                print(json.dumps({"name": "real_processes", "deployment": deployment, "policy": policy,
                                  "ran": summary["ran"], "requests": summary["requests"],
                                  "load_stall_ms": stalls, "batch_fill": demo.batch_fill(ledger, active_fleet),
                                  "first_token_ms": summary["first_token_ms"],
                                  "loads": sum(1 for line in ledger if line["kind"] == "load")}), flush=True)
            finally:
                active_fleet.stop_all()


def main():
    wanted = sys.argv[1:] or ["fleet"]
    if "policy-real" in wanted:
        real_policy()
        return 0
    with prove.FleetRun() as run:
        for step in (idle_cost, added_latency, in_force, overload, leader_loss, failures):
            if wanted == ["fleet"] or step.__name__ in wanted:
                step(run)
    return 0


if __name__ == "__main__":
    sys.exit(main())
