"""Checks the documented guarantees with real processes under injected failures.

Usage: prove.py PROPERTY ... | all | list
"""

import json
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time

import audit
import demo
import fleet
import relay

CONFIG_BOUND_S = 5.0     # an entry VM stops serving on a configuration unconfirmed for this time
IN_FORCE_BOUND_S = 20.0  # required time until a change is applied everywhere
LEAVING_BOUND_S = 2.0    # an upstream that leaves gets no new work after this time
IDEMPOTENT_FAILED_SHARE = 0.005
NON_IDEMPOTENT_UNKNOWN_SHARE = 0.02


class PropertyViolated(Exception):
    """A checked guarantee does not hold, or a check could not be carried out."""


def expect(condition, text):
    if not condition:
        raise PropertyViolated(text)


class FleetRun:
    """One fleet under load while faults are injected."""

    def __init__(self, deployment="magnolia", **options):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="siskindrift-prove-"))
        self.fleet = fleet.Fleet(self.folder / "fleet", deployment, adapters=200, **options)
        self.random = random.Random(7)

    def __enter__(self):
        try:
            self.fleet.start_all()
        except BaseException:
            self.fleet.stop_all()
            raise
        return self

    def __exit__(self, *_):
        self.fleet.stop_all()
        shutil.rmtree(self.folder, ignore_errors=True)

    def load(self, seconds, faults, rate=40, share=0.35, zipf=1.6, tokens=24, extra=()):
        """Runs load, calls faults() meanwhile, and returns (summary, records, ledger, audit)."""
        command = demo.load_command(self.fleet, seconds, rate, zipf=zipf, share=share, tokens=tokens,
                                    seed=self.random.randrange(1000), extra=extra)
        process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        try:
            faults()
            output, _ = process.communicate(timeout=seconds + 90)
        finally:
            if process.poll() is None:
                process.kill()
        summary = json.loads(output)
        records = audit.read_records(self.fleet.folder / "records.jsonl")
        ledger = self.fleet.ledger()
        found = audit.audit(records, ledger, LEAVING_BOUND_S)
        print("   ", json.dumps({key: summary[key] for key in (
            "requests", "ran", "not_run", "may_have_run", "no_answer", "idempotent_failed_share",
            "non_idempotent_unknown_share", "reasons")}), json.dumps(found), flush=True)
        for record in [each for each in records if each["verdict"] == "ran" and not each["right"]][:3]:
            print("    wrong:", json.dumps(record))
            print(self.fleet.ctl("explain", record["request_id"], check=False).stdout)
        for name, count in found.items():
            expect(count == 0, f"{name}: {count}")
        expect(summary["ran"] > summary["requests"] * 0.5, "at most half of the requests ran, too few for the check")
        return summary, records, ledger

    def engines(self):
        name, count = self.fleet.profile["engines"]
        return [f"{name}-{i + 1}" for i in range(count)]

    def services(self):
        name, count = self.fleet.profile["services"]
        return [f"{name}-{i + 1}" for i in range(count)]

    def owner_of(self, upstream):
        for owned in self.fleet.status()["owners"]:
            if owned["upstream"] == upstream and owned["vm"]:
                return "entry-" + owned["vm"].split("-")[1]
        return "entry-7"

    def control_leader(self):
        status = self.fleet.status()
        for member in status["members"]:
            if member["leader"]:
                return "control-" + member["vm"].split("-")[1]
        raise PropertyViolated("no control leader")

    def kill_and_restart(self, name, down_s):
        self.fleet.stop(name)
        time.sleep(down_s)
        self.fleet.restart(name)

    def freeze(self, name, seconds):
        self.fleet.kill(name, signal.SIGSTOP)
        time.sleep(seconds)
        self.fleet.kill(name, signal.SIGCONT)


def check_adapter():
    """Every answer comes from exactly the adapter and version that was asked for."""
    with FleetRun() as run:
        def faults():
            time.sleep(2)
            for engine in run.engines()[:4]:
                run.fleet.inject_fault(engine, "wrong_adapter", 3)
                run.fleet.inject_fault(engine, "crossed", 3)
            run.kill_and_restart(run.owner_of(run.engines()[0]), 1)
            run.fleet.inject_fault(run.engines()[1], "restart_empty")
        run.load(12, faults)


def check_eviction():
    """No adapter is evicted while a request runs on it, across takeovers and restarts."""
    with FleetRun("sangat-austral") as run:
        def faults():
            time.sleep(3)
            run.fleet.stop(run.owner_of(run.engines()[0]))
            run.fleet.inject_fault(run.engines()[1], "freeze_connections")
            run.freeze("entry-6", 4)
            run.fleet.inject_fault(run.engines()[2], "lose_order")
            run.fleet.inject_fault(run.engines()[3], "restart_empty")
        # A flat popularity of adapters keeps the slots contended, so that evictions occur.
        _, _, ledger = run.load(15, faults, rate=12, zipf=0.6, tokens=60)
        expect(any(line["kind"] == "load" for line in ledger), "nothing was loaded")


def check_own_answer():
    """Each caller gets the whole answer to its own request, late and crossed ones included."""
    with FleetRun() as run:
        def faults():
            time.sleep(2)
            for upstream in run.engines()[:5] + run.services()[:1]:
                run.fleet.inject_fault(upstream, "crossed", 2)
                run.fleet.inject_fault(upstream, "lose_answer", 1)
            run.fleet.inject_fault(run.engines()[0], "late", 2)
            run.fleet.inject_fault(run.engines()[1], "freeze_connections")
            run.freeze("entry-5", 2)
            run.fleet.inject_fault(run.engines()[2], "freeze_connections")
        run.load(12, faults)


def check_not_run():
    """What was called not_run truly was not run."""
    with FleetRun() as run:
        def faults():
            time.sleep(2)
            for upstream in run.engines()[:4] + run.services():
                run.fleet.inject_fault(upstream, "refuse", 3)
            owner = run.owner_of(run.services()[0])
            threading.Thread(target=run.freeze, args=(owner, 4), daemon=True).start()
            time.sleep(1)
            run.kill_and_restart("entry-2" if owner != "entry-2" else "entry-3", 1)
            run.fleet.inject_fault(run.engines()[0], "fail_load", 3)
        run.load(14, faults)


def check_at_most_once():
    """A non-idempotent call runs at most once, whichever VM is asked, resends included."""
    with FleetRun() as run:
        def faults():
            time.sleep(2)
            for service in run.services():
                run.fleet.inject_fault(service, "lose_answer", 2)
            run.fleet.stop(run.owner_of(run.services()[0]))
            leader = run.control_leader()
            run.fleet.stop(leader)
            time.sleep(2)
            run.fleet.restart(leader)
            run.freeze(run.owner_of(run.services()[1]), 4)
        run.load(14, faults, share=0.7)


def check_leaving():
    """An upstream that leaves gets no new work after two seconds, though the VM that heard it dies."""
    with FleetRun() as run:
        def faults():
            time.sleep(3)
            run.fleet.inject_fault(run.engines()[0], "leave")
            run.fleet.stop("entry-1")
            run.fleet.inject_fault(run.services()[0], "leave")
            run.freeze(run.owner_of(run.services()[0]), 3)
            time.sleep(2)
        _, _, ledger = run.load(12, faults)
        left = {line["upstream"] for line in ledger if line["kind"] == "leave"}
        expect(len(left) == 2, "two upstreams should have left")


def check_graceful():
    """A rolling restart of all VMs under load fails no request."""
    with FleetRun() as run:
        def faults():
            time.sleep(1)
            for i in range(fleet.ENTRY_VMS):
                name = f"entry-{i + 1}"
                status = run.fleet.stop(name, signal.SIGTERM, limit=45)
                expect(status == 0, f"{name} ended with {status}")
                run.fleet.restart(name)
                fleet.wait_until(lambda: ready(run, i), IN_FORCE_BOUND_S, f"{name} ready again")
            leader = run.control_leader()
            status = run.fleet.stop(leader, signal.SIGTERM)
            log = pathlib.Path(run.fleet.processes[leader]["log"]).read_text()[-500:]
            expect(status == 0, f"{leader} ended with {status}: {log}")
            run.fleet.restart(leader)
        summary, _, _ = run.load(32, faults, rate=20, extra=("--resends", "0"))
        failed = summary["requests"] - summary["ran"]
        print(f"    requests failed: {failed}")
        expect(failed == 0, f"{failed} requests failed: {summary['reasons']}")


def ready(run, i):
    try:
        return fleet.http("GET", f"http://{run.fleet.caller_address(i)}/readyz", timeout=1)[0] == 200
    except OSError:
        return False


def check_configuration():
    """An accepted configuration is in force everywhere in time and never reverts."""
    isolated_vm = 6
    with FleetRun(relays={}) as run:
        relays = []
        port = run.fleet.base_port + 3
        for i in range(fleet.CONTROL_VMS):
            target = (run.fleet.vm_ip(i), run.fleet.base_port + 2)
            relays.append(relay.Relay((run.fleet.vm_ip(i), port), target))
        run.fleet.stop(f"entry-{isolated_vm + 1}")
        run.fleet.relays[isolated_vm] = [f"{run.fleet.vm_ip(i)}:{port}" for i in range(fleet.CONTROL_VMS)]
        time.sleep(4)  # until the session of the stopped VM has expired
        run.fleet.start(f"entry-{isolated_vm + 1}", "siskindrift-entry", run.fleet.entry_settings(isolated_vm))
        fleet.wait_until(lambda: ready(run, isolated_vm), IN_FORCE_BOUND_S, "the VM behind the relay is ready")
        accepted = change_config_under_failures(run)
        check_conflicting_changes(run)
        check_isolated_vm_stops_serving(run, isolated_vm, relays)
        check_replica_replacement(run)
        status = run.fleet.status()
        expect(status["revision"] >= accepted, "an accepted revision is gone")
        history = json.loads(run.fleet.ctl("config", "history").stdout)
        expect([item["revision"] for item in history] == sorted({item["revision"] for item in history}),
               "the history has gaps or repeats")


def put_adapter(run, name, versions, operator="demo", revision=None, change_id=None):
    path = run.folder / f"change-{name}-{operator}.json"
    path.write_text(json.dumps([{"key": f"adapter/{name}", "value": {
        "team": f"{run.fleet.deployment}-team", "base_model": run.fleet.profile["base_model"],
        "versions": versions}}]))
    words = ["config", "put", path] + ([revision] if revision is not None else [])
    done = run.fleet.ctl(*words, check=False, operator=operator, change_id=change_id)
    return done.returncode, json.loads(done.stdout) if done.stdout.startswith("{") else {}


def change_config_under_failures(run):
    """Makes 200 changes while control replicas are killed and frozen; returns the last revision."""
    stop = threading.Event()

    def disturb_replicas():
        while not stop.is_set():
            name = f"control-{run.random.randrange(fleet.CONTROL_VMS) + 1}"
            if run.random.random() < 0.5:
                run.kill_and_restart(name, run.random.random() * 0.5)
            else:
                run.freeze(name, 0.5 + run.random.random())
            time.sleep(run.random.random())
    thread = threading.Thread(target=disturb_replicas)
    thread.start()
    accepted = 0
    try:
        revision = run.fleet.status()["revision"]
        for i in range(200):
            change_id = f"prove-{i}"
            code, answer = put_adapter(run, f"changed-{i % 5}", [str(i)], revision=revision, change_id=change_id)
            expect(code == 0, f"change {i} ended with {code}: {answer}")
            expect(answer["revision"] == revision + 1, f"change {i} became revision {answer['revision']}")
            revision = answer["revision"]
            accepted = revision
            if i % 40 == 0:  # a resend with the same change id gets the first answer
                _, again = put_adapter(run, f"changed-{i % 5}", [str(i)], revision=revision - 1, change_id=change_id)
                expect(again["revision"] == revision, "a resend got another answer")
    finally:
        stop.set()
        thread.join()
    print(f"    200 changes accepted under kills and freezes, revision {accepted}", flush=True)
    fleet.wait_until(lambda: all(vm["revision"] >= accepted for vm in run.fleet.status()["vms"]),
                     IN_FORCE_BOUND_S, "the last change in force at every VM")
    return accepted


def check_conflicting_changes(run):
    """Of two concurrent changes to one revision, one is accepted and the other reports a conflict."""
    revision = run.fleet.status()["revision"]
    answers = []

    def put(operator):
        answers.append(put_adapter(run, "raced", [operator], operator=operator, revision=revision))
    threads = [threading.Thread(target=put, args=(name,)) for name in ("asha", "bruno")]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    codes = sorted(code for code, _ in answers)
    expect(codes == [0, 3], f"one of two racing operators should win: {answers}")
    loser = next(answer for code, answer in answers if code == 3)
    expect(loser["winner_operator"] in ("asha", "bruno"), f"the conflict names no winner: {loser}")


def ask_model(run, i, model):
    body = json.dumps({"model": model, "prompt": "hello", "max_tokens": 2})
    return fleet.http("POST", f"http://{run.fleet.caller_address(i)}/v1/completions", body,
                      {"Authorization": "Bearer " + run.fleet.team_key,
                       "Siskindrift-Deadline-Ms": "4000"}, timeout=10)


def check_isolated_vm_stops_serving(run, isolated_vm, relays):
    """An isolated VM stops serving a retired adapter version within CONFIG_BOUND_S."""
    code, answer = put_adapter(run, "adapter-00000", ["1", "2"])
    expect(code == 0, str(answer))
    fleet.wait_until(lambda: ask_model(run, isolated_vm, "adapter-00000@2")[0] == 200, IN_FORCE_BOUND_S,
                     "the new version is served")
    for each in relays:
        each.partitioned = True
    code, answer = put_adapter(run, "adapter-00000", ["1"])
    expect(code == 0, str(answer))
    begun = time.monotonic()
    in_force = {}
    while time.monotonic() - begun < CONFIG_BOUND_S + 2.0:
        for i in (0, isolated_vm):
            status, headers, _ = ask_model(run, i, "adapter-00000@2")
            age = time.monotonic() - begun
            if status == 200:
                expect(age < CONFIG_BOUND_S + 0.5, f"vm-{i + 1} served a retired version {age:.1f} s after")
            else:
                in_force.setdefault(i, round(age, 2))
                expect(headers.get("Siskindrift-Verdict") == "not_run", f"refused as {headers}")
        time.sleep(0.1)
    expect(len(in_force) == 2, f"the retired version is still served: {in_force}")
    print(f"    in force after {in_force[0]} s at a healthy VM, {in_force[isolated_vm]} s at the cut-off one",
          flush=True)
    for each in relays:
        each.partitioned = False
    fleet.wait_until(lambda: ready(run, isolated_vm), IN_FORCE_BOUND_S, "the VM is back after the cut")


def check_replica_replacement(run):
    """Replaces a replica that lost its disk, then stops the leader immediately afterwards."""
    before = run.fleet.status()["revision"]
    leader = run.control_leader()
    lost = next(name for name in ("control-1", "control-2", "control-3") if name != leader)
    run.fleet.stop(lost)
    shutil.rmtree(run.fleet.folder / lost / "data")
    run.fleet.restart(lost)
    number = int(lost.split("-")[1]) - 1
    done = run.fleet.ctl("control", "replace", run.fleet.vm_name(number), run.fleet.control_address(number))
    expect(done.returncode == 0, done.stdout + done.stderr)
    run.fleet.stop(run.control_leader())
    code, answer = put_adapter(run, "after-loss", ["1"])
    expect(code == 0 and answer["revision"] == before + 1, f"after the second loss: {answer}")
    print("    a lost replica was replaced, the next one lost, nothing accepted lost", flush=True)


PROPERTIES = {"adapter": check_adapter, "eviction": check_eviction, "own_answer": check_own_answer,
              "not_run": check_not_run, "at_most_once": check_at_most_once, "leaving": check_leaving,
              "graceful": check_graceful, "configuration": check_configuration}


def main():
    selected = sys.argv[1:] or ["list"]
    if selected == ["list"]:
        for name, check in PROPERTIES.items():
            print(f"{name}: {check.__doc__}")
        return 0
    if selected == ["all"]:
        selected = list(PROPERTIES)
    passed = failed = 0
    for name in selected:
        if name not in PROPERTIES:
            print(f"unknown property {name}; prove.py list shows all")
            return 2
        begun = time.monotonic()
        print(f"{name}: {PROPERTIES[name].__doc__}", flush=True)
        try:
            PROPERTIES[name]()
            passed += 1
            print(f"  passed in {time.monotonic() - begun:.0f} s", flush=True)
        except (PropertyViolated, TimeoutError, RuntimeError, OSError, subprocess.SubprocessError) as fault:
            failed += 1
            print(f"  FAILED: {fault}", flush=True)
    print(f"{passed} passed, {failed} failed")
    return 0 if failed == 0 else 1


if __name__ == "__main__":
    sys.exit(main())
