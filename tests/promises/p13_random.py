#!/usr/bin/env python3
"""Random schedules: faults of VMs, engines, services and the table service, one and two at a time, over
a fleet under load; a checker for each promise that can be judged from outside at the end.

Each case is one schedule; --seed gives another set of them. A violation is one of: a wrong, doubled
or lost answer (promises 2 and 5), a paid call executed more than once (7), engine memory still held
15 s after the last fault (1), an accepted change that is not in force on every live VM after 7 s (10).
"""
import threading
import time

from harness import Failed, case, load_result, load_tool, main, wait_until

LOAD_SECONDS = 16
MEMORY_BOUND = 15.0
CONFIG_BOUND = 7.0
MIX = "completions=4,stream=4,status=5,paid=3"
# Frozen longer than the lease, so that it is fenced; shorter than the load tool waits for an answer.
FREEZE_SECONDS = 5.0


class Schedule:
    """Draws faults until the load ends; knows which VMs are gone for good."""

    def __init__(self, t, fleet):
        self.t, self.fleet = t, fleet
        self.dead, self.frozen, self.drawn = set(), {}, []
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
        if self.dead or len(self.live()) < 6:
            return
        vm = self.t.random.choice(self.live())
        self.fleet.kill(vm)
        self.dead.add(vm)

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
        kinds = [self.kill, self.freeze, self.store, self.store, self.engine, self.engine,
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
    def accepted():
        vm = t.random.choice(schedule.live())
        try:
            status, body = fleet.change({"config/account/account-5": {
                "weight": 1, "rate": 60000, "burst": 240000}}, vm=vm)
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


def run_schedule(t, number):
    for _ in range(number):
        t.random.random()
    with t.fleet() as fleet:
        schedule = Schedule(t, fleet)
        load = load_tool(fleet, LOAD_SECONDS, 14, MIX, t.random.randrange(1 << 30))
        time.sleep(1)
        schedule.run(LOAD_SECONDS - 3)
        result = load_result(load)
        t.note(" ".join(schedule.drawn))
        t.note({k: result[k] for k in ("sent", "answered", "not_run", "unknown", "lost", "wrong",
                                       "faults")})
        t.note(result["stderr"][-600:])
        violations = result["lost"] + result["wrong"]
        violations += sum(n - 1 for n in fleet.bodies_executed().values() if n > 1)
        if fleet.wait_released(MEMORY_BOUND) is None:
            t.note(f"{fleet.held_pieces()} pieces still held")
            violations += 1
        version = accepted_change(t, fleet, schedule)
        if wait_until(lambda: in_force(fleet, schedule, version), CONFIG_BOUND) is None:
            t.note(f"version {version} is not in force everywhere")
            violations += 1
        if result["answered"] < result["sent"] * 0.5:
            raise Failed("fewer than half of the requests were answered: the schedule proves little")
        return violations, 0


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
