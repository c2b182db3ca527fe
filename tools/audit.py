"""Compares the callers' records with the ledger of the simulated upstreams."""

import collections
import json


def read_records(path):
    with open(path) as file:
        return [json.loads(line) for line in file]


def base_id(request_id):
    """Removes the suffix after the last dot, which tells the attempts of a request apart."""
    return request_id.rsplit(".", 1)[0]


def audit(records, ledger, leaving_bound_s=2.0):
    """Returns the number of violations of each kind; all must be 0.

    An upstream may still be given work for `leaving_bound_s` seconds after it announced to leave.
    """
    runs = [line for line in ledger if line["kind"] == "run"]
    runs_by_id = collections.Counter(base_id(line["request_id"]) for line in runs)
    runs_by_key = collections.Counter(line["key"] for line in runs if line.get("service"))
    adapters_by_id = {}
    for line in runs:
        adapters_by_id.setdefault(base_id(line["request_id"]), set()).add(line.get("adapter"))
    violations = collections.Counter()
    for record in records:
        request = record["request_id"]
        if record["verdict"] == "not_run" and request and runs_by_id[request] > 0:
            violations["not_run_that_ran"] += 1
        if record["verdict"] != "ran":
            continue
        if not record["right"]:
            violations["crossed_answers"] += 1
        if not record["service"] and adapters_by_id.get(request, {record["adapter"]}) != {record["adapter"]}:
            violations["wrong_adapter"] += 1
        if record["service"] and runs_by_key[record["key"]] == 0:
            violations["ran_without_a_run"] += 1
    violations["doubled"] = sum(1 for count in runs_by_key.values() if count > 1)
    violations["evicted_in_use"] = sum(1 for line in ledger if line["kind"] == "unload" and line["in_use"] > 0)
    leave_times = {}
    for line in ledger:
        if line["kind"] == "leave":
            leave_times[line["upstream"]] = line["at"]
        elif line["kind"] in ("serve", "restart"):
            leave_times.pop(line["upstream"], None)
        elif line["kind"] == "run" and line["upstream"] in leave_times:
            if line["at"] - leave_times[line["upstream"]] > leaving_bound_s * 1000:
                violations["work_after_leaving"] += 1
    names = ("not_run_that_ran", "crossed_answers", "wrong_adapter", "doubled", "evicted_in_use",
             "work_after_leaving", "ran_without_a_run")
    return {name: violations[name] for name in names}
