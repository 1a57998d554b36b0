#!/usr/bin/env python3
"""Runs the promise tests, some files side by side, and prints a closing line with the counts.

A failing test that KNOWN-RED.txt lists as "tests/promises/FILE TEST ..." is printed as known; the
exit status is 0 when no other test failed.
"""
import argparse
import concurrent.futures
import glob
import os
import re
import subprocess
import sys
import threading

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
RESULT = re.compile(r"^promise=\d+ test=(\S+) seed=\d+ .* (ok|FAILED)$")


def known_red():
    path = os.path.join(ROOT, "KNOWN-RED.txt")
    if not os.path.exists(path):
        return set()
    with open(path, encoding="utf-8") as f:
        words = [line.split() for line in f]
    return {(w[0], w[1]) for w in words if len(w) > 1 and w[0].startswith("tests/promises/")}


class Run:
    """Counts of one run."""

    def __init__(self):
        self.passed = self.failed = 0
        self.unexpected = []
        self.known = known_red()
        self.lock = threading.Lock()

    def take(self, name, line):
        m = RESULT.match(line)
        with self.lock:
            if m and m.group(2) == "ok":
                self.passed += 1
            elif m:
                self.failed += 1
                if (name, m.group(1)) in self.known:
                    line += " (known red)"
                else:
                    self.unexpected.append(f"{name} {m.group(1)}")
            print(line, flush=True)
        return bool(m)

    def file(self, path, seed):
        name = os.path.relpath(path, ROOT)
        p = subprocess.Popen([sys.executable, path, "--seed", str(seed)], text=True,
                             stdout=subprocess.PIPE, stderr=subprocess.STDOUT)
        results = sum(self.take(name, line.rstrip("\n")) for line in p.stdout)
        p.wait()
        expected = len(subprocess.run([sys.executable, path, "--list"], text=True, check=True,
                                      stdout=subprocess.PIPE).stdout.split())
        if results < expected:
            with self.lock:
                self.failed += expected - results
                self.unexpected.append(f"{name} ended after {results} of {expected} tests")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--jobs", "-j", type=int, default=3, help="files side by side (3)")
    args = parser.parse_args()
    run = Run()
    files = sorted(glob.glob(os.path.join(HERE, "p[0-9][0-9]_*.py")))
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        list(pool.map(lambda path: run.file(path, args.seed), files))
    for name in run.unexpected:
        print(f"FAILED: {name}")
    print(f"{run.passed} passed, {run.failed} failed")
    return 0 if run.passed and not run.unexpected else 1


if __name__ == "__main__":
    sys.exit(main())
