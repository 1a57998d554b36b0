#!/usr/bin/env python3
"""Random schedules: faults of VMs, engines, services and the table service, one and two at a time, over
a fleet under load; a checker for each promise that can be judged from outside.

Each case is one schedule; --seed gives another set of them. A violation is one of: a wrong, doubled
or lost answer (promises 2 and 5); engine memory still held 15 s after the last fault (1); a withdrawn
key that runs a request 7 s after the withdrawal was accepted (3); more tokens of an account admitted
in any window than burst + rate x window (4); a call refused as not run that was executed (6); a paid
call executed more than once (7); new work at a leaving endpoint 7 s after the change was accepted (8);
a VM that has not exited 30 s after SIGTERM, or with an error (9); an accepted change that is not in
force on every live VM after 7 s (10) or not ordered at every engine after 13 s (11).
"""
import threading
import time

from harness import Failed, case, fnv, load_result, load_tool, main, pay, wait_until
from observers import (ACCOUNT, Flood, Holder, Watch, endpoint_row, key_row, new_key, worst_window)

LOAD_SECONDS = 16
MEMORY_BOUND = 15.0
CONFIG_BOUND = 7.0
ORDERS_BOUND = CONFIG_BOUND + 6  # an order is repeated at most 5 s after a failure
EXIT_BOUND = 30.0
RATE, BURST = 500, 1000  # tokens per second and tokens of the account that floods
MIX = "completions=4,stream=4,status=5,paid=3"
# Frozen longer than the lease, so that it is fenced; shorter than the load tool waits for an answer.
FREEZE_SECONDS = 5.0


class Payer(threading.Thread):
    """Sends paid calls without an Idempotency-Key; refused holds the bodies refused as not run."""

    def __init__(self, t, fleet):
        super().__init__()
        self.t, self.fleet = t, fleet
        self.stop = threading.Event()
        self.refused = []

    def run(self):
        number = 0
        while not self.stop.is_set():
            number += 1
            body = f'{{"order":"payer-{self.t.seed}-{number}"}}'
            r = pay(self.fleet, number % len(self.fleet.callers), None, body, timeout=8)
            if r.complete and r.outcome == "not_run":
                self.refused.append(body)
            self.stop.wait(0.2)

    def lies(self):
        executed = self.fleet.bodies_executed()
        return sum(1 for body in self.refused if f"{fnv(body.encode()):016x}" in executed)


class Operator(threading.Thread):
    """Withdraws the key and sets two endpoints to leaving, once, at a random moment; repeats the change
    until a VM accepts it."""

    def __init__(self, t, fleet, schedule, key, leaving):
        super().__init__()
        self.fleet, self.schedule = fleet, schedule
        self.begin = t.random.uniform(2, 6)
        self.rows = {"config/key/key-test": key_row(key, "withdrawn")}
        for name in leaving:
            self.rows.update(endpoint_row(fleet, name, "leaving"))
        self.accepted = None

    def attempt(self, vm):
        try:
            return self.fleet.change(self.rows, vm=vm, timeout=5)[0] == 200
        except OSError:
            return False

    def run(self):
        time.sleep(self.begin)
        deadline = time.monotonic() + 30
        while not self.accepted and time.monotonic() < deadline:
            for vm in self.schedule.live():
                if self.attempt(vm):
                    self.accepted = time.monotonic()
                    return
            time.sleep(0.2)


class Observers:
    """Everything that judges a schedule while it runs."""

    def __init__(self, t, fleet, schedule, key):
        leaving = [t.random.choice(fleet.services).name, t.random.choice(fleet.decodes).name]
        self.fleet = fleet
        self.operator = Operator(t, fleet, schedule, key, leaving)
        self.payer = Payer(t, fleet)
        self.holders = [Holder(fleet, vm, key) for vm in range(len(fleet.callers))]
        self.watches = [Watch(fleet, fleet.standins[name]) for name in leaving]
        self.threads = [self.operator, self.payer, *self.holders, *self.watches]
        for thread in self.threads:
            thread.start()
        self.flood = Flood(fleet, 1, gap=0.05)

    def end(self):
        self.operator.join()
        if not self.operator.accepted:
            self.stop()
            raise Failed("no VM accepted the operator's change")
        time.sleep(max(0, self.operator.accepted + CONFIG_BOUND + 3 - time.monotonic()))
        self.stop()

    def stop(self):
        self.flood.end()
        for thread in self.threads:
            if thread is not self.operator:
                thread.stop.set()
        for thread in self.threads:
            thread.join()

    def violations(self):
        """By number of the promise."""
        after = [h.last - self.operator.accepted for h in self.holders]
        work = [w.last - self.operator.accepted for w in self.watches]
        return {3: sum(x > CONFIG_BOUND for x in after),
                4: int(worst_window(self.flood.admitted, RATE, BURST) > 1.0),
                6: self.payer.lies(),
                8: sum(x > CONFIG_BOUND for x in work)}


class Schedule:
    """Draws faults until the load ends; knows which VMs are gone for good."""

    def __init__(self, t, fleet):
        self.t, self.fleet = t, fleet
        self.dead, self.frozen, self.terminated, self.drawn = set(), {}, {}, []
        self.lock = threading.Lock()

    def live(self):
        return [vm for vm in range(len(self.fleet.callers)) if vm not in self.dead
                and vm not in self.frozen]

    def thaw_due(self, now):
        for vm, until in list(self.frozen.items()):
            if now >= until:
                self.fleet.thaw(vm)
                del self.frozen[vm]

    def kill(self):
        if len(self.dead) > len(self.terminated) or len(self.live()) < 6:
            return
        vm = self.t.random.choice(self.live())
        self.fleet.kill(vm)
        self.dead.add(vm)

    def terminate(self):
        if self.terminated or len(self.live()) < 6:
            return
        vm = self.t.random.choice(self.live())
        self.fleet.terminate(vm)
        self.dead.add(vm)
        self.terminated[vm] = time.monotonic() + EXIT_BOUND

    def late_exits(self):
        """Terminated VMs that did not exit in time, or with an error."""
        return sum(self.fleet.wait_exit(vm, until - time.monotonic()) != 0
                   for vm, until in self.terminated.items())

    def freeze(self):
        if self.frozen or len(self.live()) < 6:
            return
        vm = self.t.random.choice(self.live())
        self.fleet.freeze(vm)
        self.frozen[vm] = time.monotonic() + FREEZE_SECONDS

    def store(self):
        kind = self.t.random.choice(["refuse", "delay", "drop_answer", "silent"])
        self.fleet.table.fault(kind, "", self.t.random.randint(1, 25), ms=700)

    def engine(self):
        e = self.t.random.choice(self.fleet.engines)
        kind, path = self.t.random.choice([("drop_answer", "/prefill"), ("drop_answer", "/kv/import"),
                                           ("refuse", "/kv/import"), ("delay", "/prefill"),
                                           ("drop_answer", "/cancel"), ("silent", "")])
        e.fault(kind, path, self.t.random.randint(1, 3), ms=900)

    def cut_stream(self):
        self.t.random.choice(self.fleet.decodes).fault("cut", "/decode", 1, after_tokens=3)

    def service(self):
        s = self.t.random.choice(self.fleet.services)
        kind = self.t.random.choice(["drop_answer", "delay", "close_after_read", "refuse"])
        s.fault(kind, "", self.t.random.randint(1, 3), ms=300)

    def run(self, seconds):
        end = time.monotonic() + seconds
        kinds = [self.kill, self.terminate, self.freeze, self.store, self.store, self.engine, self.engine,
                 self.cut_stream, self.service]
        while time.monotonic() < end:
            for fault in self.t.random.sample(kinds, self.t.random.choice([1, 1, 2])):
                self.drawn.append(fault.__name__)
                fault()
            time.sleep(self.t.random.uniform(0.5, 1.5))
            self.thaw_due(time.monotonic())
        for vm in list(self.frozen):
            self.fleet.thaw(vm)
        self.frozen.clear()
        for s in [self.fleet.table, *self.fleet.engines, *self.fleet.services]:
            s.clear()


def accepted_change(t, fleet, schedule):
    """A change that is accepted after the faults, so that its acceptance does not depend on them."""
    key = f"config/model/{fleet.model}"

    def accepted():
        vm = t.random.choice(schedule.live())
        try:
            status, body = fleet.change({key: dict(fleet.row(key), version="v2")}, vm=vm)
        except OSError:
            return None
        return body["version"] if status == 200 else None
    deadline = time.monotonic() + 20
    while time.monotonic() < deadline:
        version = accepted()
        if version:
            return version
        time.sleep(0.3)
    raise Failed("no VM accepted a change within 20 s after the last fault")


def in_force(fleet, schedule, version):
    try:
        return all((fleet.version(vm) or 0) >= version for vm in schedule.live())
    except OSError:
        return False


def all_ordered(fleet, leaving):
    return all((e.state() or {}).get("version") == "v2" for e in fleet.engines
               if e.name not in leaving)


def judge_end(t, fleet, schedule, leaving):
    """What must hold once the faults are over; violations by number of the promise."""
    found = {7: sum(n - 1 for n in fleet.bodies_executed().values() if n > 1),
             1: int(fleet.wait_released(MEMORY_BOUND) is None)}
    version = accepted_change(t, fleet, schedule)
    begin = time.monotonic()
    found[10] = int(wait_until(lambda: in_force(fleet, schedule, version), CONFIG_BOUND) is None)
    left = begin + ORDERS_BOUND - time.monotonic()
    found[11] = int(wait_until(lambda: all_ordered(fleet, leaving), left) is None)
    found[9] = schedule.late_exits()
    return found


def run_schedule(t, number):
    for _ in range(number):
        t.random.random()
    key = new_key()
    rows = {"config/key/key-test": key_row(key),
            f"config/account/account-{ACCOUNT}": {"weight": 1, "rate": RATE, "burst": BURST}}
    with t.fleet(rows=rows) as fleet:
        time.sleep(3)
        schedule = Schedule(t, fleet)
        load = load_tool(fleet, LOAD_SECONDS, 14, MIX, t.random.randrange(1 << 30))
        observers = Observers(t, fleet, schedule, key)
        try:
            schedule.run(LOAD_SECONDS - 3)
        finally:
            observers.end()
        result = load_result(load)
        t.note(" ".join(schedule.drawn))
        t.note({k: result[k] for k in ("sent", "answered", "not_run", "unknown", "lost", "wrong",
                                       "faults")})
        t.note(result["stderr"][-600:])
        found = {2: result["wrong"], 5: result["lost"], **observers.violations(),
                 **judge_end(t, fleet, schedule, [w.standin.name for w in observers.watches])}
        t.note({f"promise {k}": n for k, n in sorted(found.items()) if n})
        if result["answered"] < result["sent"] * 0.5:
            raise Failed("fewer than half of the requests were answered: the schedule proves little")
        return sum(found.values()), 0


@case
def schedule_1(t):
    return run_schedule(t, 1)


@case
def schedule_2(t):
    return run_schedule(t, 2)


@case
def schedule_3(t):
    return run_schedule(t, 3)


if __name__ == "__main__":
    main(13)
