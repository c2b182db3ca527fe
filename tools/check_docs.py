"""Checks the documents against the code: names of reasons, tests, mutations and properties, and
the capacity tables."""

import json
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent


def reasons_in_code():
    text = (ROOT / "include/siskindrift/core/verdict.h").read_text()
    block = text.split("#define SISKINDRIFT_REASONS(X)")[1].split("/// Machine-readable")[0]
    return set(re.findall(r"X\((\w+)\)", block)) - {"none"}


def main():
    faults = []
    listed = set(re.findall(r"^\| `(\w+)` \|", (ROOT / "docs/OPERATIONS.md").read_text(), re.M))
    faults += [f"docs/OPERATIONS.md does not list the reason {name}" for name in reasons_in_code() - listed]
    faults += [f"docs/OPERATIONS.md lists an unknown reason {name}" for name in listed - reasons_in_code()]
    tests = set()
    for path in list(ROOT.glob("src/**/*_test.cpp")) + list(ROOT.glob("tests/*_test.cpp")):
        tests |= {f"{group}.{name}" for group, name in re.findall(r"^TEST\((\w+), (\w+)\)", path.read_text(), re.M)}
    mutations = {item["name"] for item in json.loads((ROOT / "tools/mutations.json").read_text())}
    prove = set(re.findall(r'"(\w+)": \w+[,}]', (ROOT / "tools/prove.py").read_text().split("PROPERTIES =")[1].split("\n\n")[0]))
    proofs = (ROOT / "docs/PROOFS.md").read_text()
    for name in re.findall(r"`([A-Z]\w+\.\w+)`", proofs):
        if name not in tests:
            faults.append(f"docs/PROOFS.md names the test {name}, which does not exist")
    for name in re.findall(r"`mutation:(\w+)`", proofs):
        if name not in mutations:
            faults.append(f"docs/PROOFS.md names the mutation {name}, which does not exist")
    for name in re.findall(r"`prove:(\w+)`", proofs):
        if name not in prove:
            faults.append(f"docs/PROOFS.md names the proof {name}, which does not exist")
    capacity = subprocess.run([sys.executable, str(ROOT / "tools/capacity.py"), "--check"])
    if capacity.returncode != 0:
        faults.append("docs/CAPACITY.md does not follow from the measured slopes")
    for fault in faults:
        print(fault)
    print(f"documents: {len(faults)} faults")
    return 0 if not faults else 1


if __name__ == "__main__":
    sys.exit(main())
