"""Starts and stops a complete deployment on loopback addresses, for demo.py and prove.py."""

import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request

from loopback import free_port_block

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = pathlib.Path(os.environ.get("SISKINDRIFT_BIN", ROOT / "build" / "bin"))

ENTRY_VMS = 7
CONTROL_VMS = 3
OPERATOR_TOKEN = "demo-operator-token"

DEPLOYMENTS = {
    "magnolia": {
        "domains": ["south-central-a", "south-central-b", "south-central-c"],
        "engines": ("review", 9), "services": ("filing", 3), "base_model": "review-base",
        "loads_per_second": 2.0, "matters_more": "load_stalls", "adapters": 3000,
    },
    "sangat-austral": {
        "domains": ["santiago-a", "santiago-b", "santiago-c"],
        "engines": ("assistant", 12), "services": ("pantry", 3), "base_model": "assistant-base",
        "loads_per_second": 3.0, "matters_more": "batch_efficiency", "adapters": 3000,
    },
}


def sha256(text):
    import hashlib
    return hashlib.sha256(text.encode()).hexdigest()


def http(method, url, body=None, headers=None, timeout=5):
    """Returns (status, headers, body) of one HTTP request."""
    data = body.encode() if isinstance(body, str) else body
    request = urllib.request.Request(url, data=data, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, dict(answer.headers), answer.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read().decode()


def wait_until(condition, limit, what):
    """Polls a condition; raises TimeoutError if it does not become true within `limit` seconds."""
    end = time.monotonic() + limit
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.02)
    raise TimeoutError(f"timed out after {limit} s: {what}")


class Fleet:
    """The processes of one deployment; all files are written below `folder`."""

    def __init__(self, folder, deployment="magnolia", adapters=None, policy="siskindrift",
                 config_bound_ms=5000, relays=None):
        self.folder = pathlib.Path(folder).resolve()
        self.profile = dict(DEPLOYMENTS[deployment])
        self.profile["adapters"] = adapters or self.profile["adapters"]
        self.deployment = deployment
        self.policy = policy
        self.config_bound_ms = config_bound_ms
        self.relays = relays or {}
        self.processes = {}
        self.base_port = free_port_block(["127.0.1.1", "127.0.1.7", "127.0.2.1", "127.0.3.1"], 4)
        self.team_key = f"{deployment}-demo-team-key"

    # --- addresses ---
    def vm_name(self, i):
        return f"vm-{i + 1}"

    def vm_ip(self, i):
        return f"127.0.1.{i + 1}"

    def caller_address(self, i):
        return f"{self.vm_ip(i)}:{self.base_port}"

    def inner_address(self, i):
        return f"{self.vm_ip(i)}:{self.base_port + 1}"

    def control_address(self, i):
        return f"{self.vm_ip(i)}:{self.base_port + 2}"

    def upstream_address(self, i):
        return f"127.0.2.{i + 1}:{self.base_port}"

    def fault_address(self):
        return f"127.0.3.1:{self.base_port}"

    # --- processes ---
    def start(self, name, program, settings):
        folder = self.folder / name
        folder.mkdir(parents=True, exist_ok=True)
        path = folder / "settings.json"
        path.write_text(json.dumps(settings, indent=2))
        self.processes[name] = {"program": program, "settings": str(path),
                                "log": str(folder / "log.jsonl")}
        self.restart(name)

    def restart(self, name):
        entry = self.processes[name]
        log = open(entry["log"], "ab")
        process = subprocess.Popen([str(BIN / entry["program"]), "--settings", entry["settings"]],
                                   stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                                   start_new_session=True)
        log.close()
        entry["process"] = process
        entry["pid"] = process.pid
        self.write_index()

    def kill(self, name, signal_number=signal.SIGKILL):
        self.processes[name]["process"].send_signal(signal_number)

    def stop(self, name, signal_number=signal.SIGKILL, limit=30):
        self.kill(name, signal_number)
        return self.processes[name]["process"].wait(limit)

    def write_index(self):
        index = []
        for name, entry in self.processes.items():
            settings = json.loads(pathlib.Path(entry["settings"]).read_text())
            index.append({"name": name, "pid": entry["pid"], "settings": entry["settings"],
                          "log": entry["log"],
                          "address": settings.get("caller_address") or settings.get("address")
                          or settings.get("fault_address"),
                          "ledger": settings.get("ledger")})
        (self.folder / "fleet.json").write_text(json.dumps(
            {"deployment": self.deployment, "team_key": self.team_key,
             "control": self.control_addresses(), "operator_token": OPERATOR_TOKEN,
             "entries": [self.caller_address(i) for i in range(ENTRY_VMS)],
             "processes": index}, indent=2))

    def control_addresses(self):
        return [self.control_address(i) for i in range(CONTROL_VMS)]

    def start_all(self):
        if self.folder.exists():
            shutil.rmtree(self.folder)
        self.folder.mkdir(parents=True)
        for i in range(CONTROL_VMS):
            self.start(f"control-{i + 1}", "siskindrift-control", {
                "vm": self.vm_name(i), "address": self.control_address(i),
                "data_folder": str(self.folder / f"control-{i + 1}" / "data"),
                "operator_token_hashes": [sha256(OPERATOR_TOKEN)]})
        self.form_control_group()
        for i in range(ENTRY_VMS):
            self.start(f"entry-{i + 1}", "siskindrift-entry", self.entry_settings(i))
        self.start("standin", "siskindrift-standin", self.standin_settings())
        self.configure()
        self.wait_ready()

    def entry_settings(self, i):
        domains = self.profile["domains"]
        settings = {"vm": self.vm_name(i), "failure_domain": domains[i % len(domains)],
                    "caller_address": self.caller_address(i),
                    "inner_address": self.inner_address(i),
                    "control": self.relays.get(i, self.control_addresses()),
                    "workers": 2, "endpoints_ttl_ms": 1000,
                    "config_bound_ms": self.config_bound_ms,
                    "operator_token_hashes": [sha256(OPERATOR_TOKEN)]}
        if i < CONTROL_VMS:
            settings["data_folder"] = str(self.folder / f"entry-{i + 1}" / "data")
        return settings

    def standin_settings(self):
        domains = self.profile["domains"]
        upstreams = []
        engine, engines = self.profile["engines"]
        service, services = self.profile["services"]
        for i in range(engines):
            upstreams.append({"id": f"{engine}-{i + 1}", "kind": "engine",
                              "address": self.upstream_address(i),
                              "failure_domain": domains[i % len(domains)],
                              "base_model": self.profile["base_model"], "slots": 8, "batch": 16,
                              "fencing": "checked" if i % 2 == 0 else "ignored"})
        for i in range(services):
            upstreams.append({"id": f"{service}-{i + 1}", "kind": "service",
                              "address": self.upstream_address(engines + i),
                              "failure_domain": domains[i % len(domains)],
                              "service": service, "slots": 1, "batch": 32,
                              "fencing": "checked" if i % 2 == 0 else "ignored"})
        return {"ledger": str(self.folder / "standin" / "ledger.jsonl"),
                "fault_address": self.fault_address(),
                "loads_per_second": self.profile["loads_per_second"],
                "entries": [self.caller_address(i) for i in range(ENTRY_VMS)],
                "upstreams": upstreams}

    def ctl(self, *words, check=True, operator="demo", change_id=None):
        command = [str(BIN / "siskindrift-ctl"), "--token", OPERATOR_TOKEN, "--operator", operator]
        for address in self.control_addresses():
            command += ["--control", address]
        if change_id:
            command += ["--change-id", change_id]
        command += ["--json"] + [str(word) for word in words]
        done = subprocess.run(command, capture_output=True, text=True, timeout=60)
        if check and done.returncode != 0:
            raise RuntimeError(f"ctl {words}: {done.stdout}{done.stderr}")
        return done

    def status(self):
        return json.loads(self.ctl("status").stdout)

    def form_control_group(self):
        def listening(address):
            ip, port = address.split(":")
            with socket.socket() as probe:
                return probe.connect_ex((ip, int(port))) == 0
        for address in self.control_addresses():
            wait_until(lambda: listening(address), 10, f"{address} listens")
        self.ctl("control", "form", self.vm_name(0), self.control_address(0))
        for i in range(1, CONTROL_VMS):
            self.ctl("control", "add", self.vm_name(i), self.control_address(i))

    def adapter_names(self):
        return [f"adapter-{i:05d}" for i in range(self.profile["adapters"])]

    def questionnaire(self):
        return {"team": {"name": f"{self.deployment}-team",
                         "matters_more": self.profile["matters_more"]},
                "callers": {"api_keys": [self.team_key], "peak_requests_per_second": 2000},
                "adapters": {"base_model": self.profile["base_model"],
                             "names": self.adapter_names(), "first_version": "1"},
                "services": [{"name": self.profile["services"][0], "repeatable": False}],
                "priorities": {"default": 5, "highest": 9},
                "limits": {"max_concurrent": 2000, "max_queued": 4000,
                           "longest_answer_seconds": 60}}

    def configure(self):
        path = self.folder / "questionnaire.json"
        path.write_text(json.dumps(self.questionnaire()))
        operations = [{"key": "deployment",
                       "value": {"policy": self.policy,
                                 "loads_per_second": self.profile["loads_per_second"]}}]
        for upstream in self.standin_settings()["upstreams"]:
            operations.append({"key": "upstream/" + upstream["id"],
                               "value": {"fencing": upstream["fencing"]}})
        put = self.folder / "deployment.json"
        put.write_text(json.dumps(operations))
        self.ctl("config", "put", put)
        self.ctl("questionnaire", "apply", path)

    def wait_ready(self):
        wanted = len(self.standin_settings()["upstreams"])

        def ready():
            for i in range(ENTRY_VMS):
                try:
                    if http("GET", f"http://{self.caller_address(i)}/readyz")[0] != 200:
                        return False
                except OSError:
                    return False
            status = self.status()
            return (sum(1 for owned in status["owners"] if owned["vm"]) >= wanted
                    and all(vm["revision"] == status["revision"] for vm in status["vms"])
                    and len(status["vms"]) == ENTRY_VMS)
        try:
            wait_until(ready, 20, "every VM ready and every upstream owned")
        except TimeoutError as error:
            raise TimeoutError(f"{error}; {self.describe_state()}") from None

    def describe_state(self):
        """Returns which processes have ended, with the end of their logs, and the status."""
        ended = {name: (entry["process"].returncode,
                        pathlib.Path(entry["log"]).read_text(errors="replace")[-500:])
                 for name, entry in self.processes.items() if entry["process"].poll() is not None}
        return f"ended: {ended or 'none'}; status: {self.ctl('status', check=False).stdout[:1500]}"

    def inject_fault(self, upstream, fault, count=1):
        status, _, body = http("POST", f"http://{self.fault_address()}/fault", json.dumps(
            {"upstream": upstream, "fault": fault, "count": count}))
        if status != 200:
            raise RuntimeError(f"fault {fault} at {upstream}: {status} {body}")

    def ledger(self):
        lines = []
        path = self.folder / "standin" / "ledger.jsonl"
        for line in path.read_text().splitlines():
            try:
                lines.append(json.loads(line))
            except json.JSONDecodeError:
                pass  # the last line may be incomplete while it is written
        return lines

    def stop_all(self):
        for entry in self.processes.values():
            if entry["process"].poll() is None:
                entry["process"].send_signal(signal.SIGCONT)
                entry["process"].kill()
        for entry in self.processes.values():
            entry["process"].wait()


def main():
    if len(sys.argv) < 3 or sys.argv[1] not in ("up", "down"):
        print("usage: fleet.sh up DIR [--deployment magnolia|sangat-austral] | down DIR")
        return 2
    folder = sys.argv[2]
    if sys.argv[1] == "up":
        deployment = sys.argv[4] if len(sys.argv) == 5 and sys.argv[3] == "--deployment" else "magnolia"
        fleet = Fleet(folder, deployment)
        try:
            fleet.start_all()
        except BaseException:
            fleet.stop_all()
            raise
        print(pathlib.Path(folder) / "fleet.json")
        return 0
    index = json.loads((pathlib.Path(folder) / "fleet.json").read_text())
    for item in index["processes"]:
        try:
            command = pathlib.Path(f"/proc/{item['pid']}/cmdline").read_bytes().decode()
        except OSError:
            continue
        if item["settings"] in command:  # the pid may have been reused by another process
            os.kill(item["pid"], signal.SIGKILL)
    return 0


if __name__ == "__main__":
    sys.exit(main())
