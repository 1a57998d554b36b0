#!/usr/bin/env python3
"""Load reports in a fleet: which VM polls each engine, and which reports the other VMs have.

Guards against engines that every VM or no VM polls, against a VM that takes over an engine without
polling it, and against stale reports that look fresh. Prints one line for each check.
"""
import os
import socket
import sys
import time
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "tests", "promises"))
from harness import (Fleet, Test, complete, http_json, judge_completion,  # noqa: E402
                     load_result, load_tool, wait_until)

VMS = 4
MAX_POLL_RATE = 2.6  # polls/s at an engine: 2 by its owner and a margin for the ends of the window
REPORT_LIFE_MS = 3000  # TLB_REPORT_LIFE
# Seconds: lease of 3 s, margin of 0.7 s, a heartbeat, fencing, the first poll, the next heartbeat.
TAKEOVER_SECONDS = 8.0
MAX_RENEWALS = 0.13  # renewals per request; docs/CAPACITY.md, endpoint control
SEED = 1
results = []


def check(name, ok, detail=""):
    results.append(ok)
    print(f"load_reports: {name}: {'ok' if ok else 'FAILED'} {detail}", flush=True)


def report_ages(fleet, vm):
    """Returns {engine: report_age_ms} at this VM, without services."""
    _, body = http_json(fleet.operators[vm], "GET", "/v1/endpoints", key=fleet.credential())
    rows = body if isinstance(body, list) else (body or {}).get("endpoints", [])
    return {r["endpoint"]: r["report_age_ms"] for r in rows if r["role"] != "service"}


def all_fresh(fleet, vms):
    seen = [report_ages(fleet, vm) for vm in vms]
    return all(a and all(0 <= v <= REPORT_LIFE_MS for v in a.values()) for a in seen)


def poll_rates(fleet, seconds):
    before = {e.name: e.seen("/load") for e in fleet.engines}
    time.sleep(seconds)
    return {e.name: (e.seen("/load") - before[e.name]) / seconds for e in fleet.engines}


def served(t, fleet, vms):
    prompts = [t.prompt(100) for _ in vms]
    answers = [complete(fleet, vm, p, 10) for vm, p in zip(vms, prompts)]
    return all(judge_completion(r, p, 10, False) == "whole" for r, p in zip(answers, prompts))


def check_single_poller(fleet, name, vms):
    r = poll_rates(fleet, 5)
    check(f"{name}: each engine is asked by one VM",
          all(1 <= v <= MAX_POLL_RATE for v in r.values()), r)
    check(f"{name}: no service is asked", not any(s.seen("/load") for s in fleet.services))
    check(f"{name}: every VM knows every engine", all_fresh(fleet, vms),
          [report_ages(fleet, v) for v in vms])


def owner_of(fleet, engine):
    """Returns the VM that polls this engine according to the logs, or None."""
    for i in set(range(VMS)) - fleet.dead:
        with open(os.path.join(fleet.dir, f"vm-{i + 1}.decisions.log"), encoding="utf-8") as f:
            lines = [x for x in f if f"event=poll endpoint={engine} " in x]
        if lines and "decision=begin" in lines[-1]:
            return i
    return None


def frozen_owner(t, fleet):
    """A paused owner is fenced; resumed, it must neither poll nor make old reports look fresh."""
    owner = owner_of(fleet, "decode-1")
    others = [v for v in range(VMS) if v != owner]
    fleet.freeze(owner)
    time.sleep(3.2)
    check("takeover window: requests are served", served(t, fleet, others))
    known = wait_until(lambda: all_fresh(fleet, others), TAKEOVER_SECONDS - 3.2)
    check("frozen owner: the engines are known again", known is not None)
    fleet.thaw(owner)
    for _ in range(20):
        if not all_fresh(fleet, others):
            break
        time.sleep(0.1)
    else:
        check("continued owner: reports stay known", True)
    fleet.wait_ready(owner, 15)
    time.sleep(5)
    check_single_poller(fleet, "continued owner", range(VMS))


def no_reports(t, fleet):
    """Without load reports, endpoint selection uses the owners' booking tables."""
    for e in fleet.engines:
        e.fault("stall", path="/load", ms=0)
    time.sleep(REPORT_LIFE_MS / 1000 + 1.5)
    seen = [report_ages(fleet, v) for v in range(VMS)]
    check("no reports: all are too old", all(a > REPORT_LIFE_MS for s in seen for a in s.values()))
    check("no reports: requests are served", served(t, fleet, range(VMS)))
    for e in fleet.engines:
        e.clear()
    check("reports again: every engine is known",
          wait_until(lambda: all_fresh(fleet, range(VMS)), 5) is not None)


def dead_engine(fleet):
    """No VM may treat a dead engine's last report as fresh."""
    fleet.decodes[0].fault("die")
    name = fleet.decodes[0].name
    time.sleep(REPORT_LIFE_MS / 1000 + 1.5)
    seen = [report_ages(fleet, v)[name] for v in range(VMS)]
    check("dead engine: its report is too old on every VM",
          all(a > REPORT_LIFE_MS for a in seen), seen)


def counter(fleet, name):
    total = 0
    for addr in fleet.operators:
        with urllib.request.urlopen(f"http://{addr}/metrics", timeout=3) as answer:
            total += sum(int(line.split()[1]) for line in answer.read().decode().splitlines()
                         if line.startswith(name + " "))
    return total


def renewals(fleet):
    """Streams shorter than 2 s must end before their bookings are due for renewal."""
    before = counter(fleet, "toucanlb_bookings_renewed_total")
    load = load_result(load_tool(fleet, 5, 10, "stream=1", SEED, "--prompt-median", "200",
                                 "--prompt-max", "400", "--output-median", "20"))
    renewed = counter(fleet, "toucanlb_bookings_renewed_total") - before
    check("short streams: bookings renewed a request", load["answered"] > 0 and
          renewed <= MAX_RENEWALS * load["answered"], f"{renewed} of {load['answered']}")


def can_connect_from(addr):
    """Whether an outgoing connection could have this port: a VM could not be started on it again."""
    host, port = addr.split(":")
    with socket.socket() as s:
        try:
            s.bind((host, int(port)))
            return True
        except OSError:
            return False


def main():
    t = Test("load_reports", SEED)
    with Fleet(vms=VMS) as fleet:
        wait_until(lambda: all_fresh(fleet, range(VMS)), 10)
        time.sleep(3)
        check_single_poller(fleet, "steady", range(VMS))
        frozen_owner(t, fleet)
        killed = owner_of(fleet, "prefill-1")
        fleet.kill(killed)
        left = [v for v in range(VMS) if v != killed]
        time.sleep(4)
        check("killed owner: its port is reserved", not can_connect_from(fleet.callers[killed]))
        known = wait_until(lambda: all_fresh(fleet, left), TAKEOVER_SECONDS - 4)
        check("killed owner: the engines are known again", known is not None)
        fleet.replace(killed)
        check("started VM: every engine is known",
              wait_until(lambda: all_fresh(fleet, range(VMS)), 5) is not None)
        renewals(fleet)
        no_reports(t, fleet)
        dead_engine(fleet)
    return 0 if results and all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
