#!/usr/bin/env python3
"""Compares the cost of an additional endpoint, in counts and bytes, with docs/CAPACITY.md.

Guards against polls, reports and memory that each VM repeats for each endpoint. Fleets of two sizes
run in parallel; a slope is the difference of their counters divided by that of their sizes. No
figure is a wall-clock or processor time, so other load on the machine can't make the test fail.
Prints one line for each slope.
"""
import importlib.machinery
import importlib.util
import os
import re
import statistics
import sys
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
NODES = 8
SIZES = (16, 96)  # endpoints; with more, an owner would not send all reports at once
OTHER_SIZES = (16, 416)
WINDOW = 6  # seconds


def load_capacity():
    path = os.path.join(ROOT, "scripts", "capacity")
    loader = importlib.machinery.SourceFileLoader("capacity_script", path)
    module = importlib.util.module_from_spec(
        importlib.util.spec_from_loader("capacity_script", loader))
    sys.dont_write_bytecode = True
    loader.exec_module(module)
    return module


capacity = load_capacity()


def budgets():
    """Returns {slope: upper limit} from the table in docs/CAPACITY.md."""
    with open(os.path.join(ROOT, "docs", "CAPACITY.md"), encoding="utf-8") as f:
        rows = re.findall(r"^\| `(\w+)` \| ([\d.]+) \|", f.read(), re.M)
    return {name: float(limit) for name, limit in rows}


def measure(nodes, size, role, out):
    with capacity.SimulatedEngines(size) as engines, \
            capacity.TestFleet(nodes, services=0,
                           replies={"role": role, "addrs": engines.addrs}) as t:
        t.wait_until_stable()
        time.sleep(2)
        a = t.snapshot()
        time.sleep(WINDOW)
        b = t.snapshot()
        out[nodes, size] = {
            "memory_kb": 1024 * statistics.mean(n.memory_mb("RssAnon") for n in t.nodes),
            **{name: nodes * capacity.mean_delta(a, b, name)
               for name in ("http_calls", "http_bytes_in", "http_bytes_out", "peer_bytes_out")}}


def slope(out, nodes, sizes, *names):
    """Returns the increase over all nodes for each additional endpoint."""
    rise = sum(out[nodes, sizes[1]][n] - out[nodes, sizes[0]][n] for n in names)
    return rise / (sizes[1] - sizes[0])


def main():
    out = {}
    jobs = [(NODES, s, "prefill") for s in SIZES] + [(1, s, "service") for s in OTHER_SIZES]
    threads = [threading.Thread(target=measure, args=(*job, out)) for job in jobs]
    for t in threads:
        t.start()
    for t in threads:
        t.join()
    if len(out) != len(jobs):
        print("slopes: a fleet could not be measured")
        return 1
    found = {
        "endpoint_polls": slope(out, NODES, SIZES, "http_calls"),
        "endpoint_poll_bytes": slope(out, NODES, SIZES, "http_bytes_in", "http_bytes_out"),
        "endpoint_report_bytes": slope(out, NODES, SIZES, "peer_bytes_out") / (NODES - 1),
        "endpoint_memory_kb": slope(out, 1, OTHER_SIZES, "memory_kb"),
    }
    limits = budgets()
    ok = True
    for name, figure in found.items():
        good = name in limits and figure <= limits[name]
        ok = ok and good
        print(f"slopes: {name} {figure:.2f} budget {limits.get(name, 'missing')} "
              f"{'ok' if good else 'FAILED'}")
    return 0 if ok else 1


if __name__ == "__main__":
    sys.exit(main())
