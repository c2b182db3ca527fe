"""Mutation testing: checks that a test fails when a safety check is removed from the code.

Each entry of tools/mutations.json names a file, the text to replace (which must occur exactly once),
its replacement and the test that must then fail: a program or a script. Works on a copy of the tree.
Usage: python3 tools/mutate.py [NAME ...]
"""

import json
import os
import pathlib
import re
import shutil
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROGRAMS = ["siskindrift-gateway", "siskindrift-coordinator"]  # of the tests that are scripts


def copy_tree(target):
    listed = subprocess.run(["git", "ls-files", "-co", "--exclude-standard"], cwd=ROOT,
                            capture_output=True, text=True, check=True).stdout.split("\n")
    for name in filter(None, listed):
        if (ROOT / name).exists():
            (target / name).parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(ROOT / name, target / name)


def apply_edits(tree, mutation):
    """Applies the edits; returns the original texts by path, or None if an edit does not apply."""
    before = {}
    for edit in [mutation] + mutation.get("also", []):
        path = tree / edit["file"]
        text = path.read_text()
        before.setdefault(path, text)
        # White space is matched loosely, because clang-format may break lines differently.
        pattern = r"\s+".join(re.escape(word) for word in edit["from"].split())
        found = re.findall(pattern, text)
        if len(found) != 1:
            restore(before)
            return None
        path.write_text(text.replace(found[0], edit["to"]))
    return before


def restore(before):
    for path, text in before.items():
        path.write_text(text)


def try_mutation(tree, mutation):
    before = apply_edits(tree, mutation)
    if before is None:
        return False, "the text to replace does not occur exactly once"
    try:
        test = mutation["test"]
        script = tree / "tests" / f"{test}.py"
        targets = PROGRAMS if script.exists() else [test]
        built = subprocess.run(["ninja", "-C", str(tree / "build"), *targets], capture_output=True, text=True)
        if built.returncode != 0:
            return False, "the mutated code does not build: " + built.stdout[-400:]
        environment = dict(os.environ)
        environment.setdefault("RC_PARAMS", "seed=20261203 max_success=500 noshrink=1")
        command = [sys.executable, str(script)] if script.exists() else [str(tree / "build" / "bin" / test)]
        run = subprocess.run(command, capture_output=True, text=True, env=environment, timeout=240)
        if run.returncode == 0:
            return False, "NOT DETECTED by " + test
        result = re.search(r"^at \d+ ms: .*$", run.stdout, re.MULTILINE) or \
            re.search(r"Failure in TEST\(.*\)", run.stdout) or \
            re.search(r"^(FAIL|ERROR): .*$", run.stderr, re.MULTILINE)
        return True, (result.group(0).strip() if result else f"exit {run.returncode}")[:150]
    finally:
        restore(before)


def main():
    wanted = set(sys.argv[1:])
    mutations = json.loads((ROOT / "tools" / "mutations.json").read_text())
    passed = failed = 0
    with tempfile.TemporaryDirectory() as folder:
        tree = pathlib.Path(folder)
        copy_tree(tree)
        subprocess.run(["cmake", "-S", str(tree), "-B", str(tree / "build"), "-G", "Ninja",
                        "-DCMAKE_BUILD_TYPE=RelWithDebInfo"], check=True, capture_output=True)
        for mutation in mutations:
            if wanted and mutation["name"] not in wanted:
                continue
            detected, result = try_mutation(tree, mutation)
            passed += detected
            failed += not detected
            print(f"{mutation['name']}: {'detected: ' if detected else ''}{result}", flush=True)
    print(f"{passed} passed, {failed} failed")
    return 0 if failed == 0 else 1


if __name__ == "__main__":
    sys.exit(main())
