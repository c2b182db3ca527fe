"""Compares what callers were told with what the stand-ins truly did."""

import collections
import json


def read_records(path):
    with open(path) as file:
        return [json.loads(line) for line in file]


def base_id(request_id):
    return request_id.rsplit(".", 1)[0]


def audit(records, ledger, leaving_bound_s=2.0):
    """Returns counts that must all be 0, and the ledger's own totals."""
    runs = [line for line in ledger if line["kind"] == "run"]
    runs_by_id = collections.Counter(base_id(line["request_id"]) for line in runs)
    keyed = collections.Counter(line["key"] for line in runs if line.get("service"))
    adapter_of = {}
    for line in runs:
        adapter_of.setdefault(base_id(line["request_id"]), set()).add(line.get("adapter"))
    found = collections.Counter()
    for record in records:
        request = record["request_id"]
        if record["verdict"] == "not_run" and request and runs_by_id[request] > 0:
            found["not_run_that_ran"] += 1
        if record["verdict"] != "ran":
            continue
        if not record["right"]:
            found["crossed_answers"] += 1
        if not record["service"] and adapter_of.get(request, {record["adapter"]}) != {record["adapter"]}:
            found["wrong_adapter"] += 1
        if record["service"] and keyed[record["key"]] == 0:
            found["ran_without_a_run"] += 1
    found["doubled"] = sum(1 for count in keyed.values() if count > 1)
    found["evicted_in_use"] = sum(1 for line in ledger if line["kind"] == "unload" and line["in_use"] > 0)
    leaving = {}
    for line in ledger:
        if line["kind"] == "leave":
            leaving[line["upstream"]] = line["at"]
        elif line["kind"] in ("serve", "restart"):
            leaving.pop(line["upstream"], None)
        elif line["kind"] == "run" and line["upstream"] in leaving:
            if line["at"] - leaving[line["upstream"]] > leaving_bound_s * 1000:
                found["work_after_leaving"] += 1
    names = ("not_run_that_ran", "crossed_answers", "wrong_adapter", "doubled", "evicted_in_use",
             "work_after_leaving", "ran_without_a_run")
    return {name: found[name] for name in names}
