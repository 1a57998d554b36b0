#!/usr/bin/env python3
"""Randomized fault-injection soak test: real daemons and stand-ins of the store and the endpoints,
under load, with faults injected from outside the daemons. From what callers and endpoints observe,
it checks that no call runs twice, that a request refused as not run did not run, that answers are
complete and reach the right caller, that withdrawn keys are refused, and that service recovers when
the faults end.

Usage: soak.py [--seed N] [--seeds FROM TO] [--seconds S] [--vms N]
Prints "seed=N ok" or "seed=N FAILED: ..." after each seed; keeps the directory of a failed seed."""
import argparse
import http.client
import json
import os
import random
import shutil
import signal
import sys
import threading
import time
import zlib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path[:0] = [os.path.join(ROOT, "tests"), os.path.join(ROOT, "soak")]
import answers  # noqa: E402
import edge  # noqa: E402
import edge_standin  # noqa: E402
import proxy  # noqa: E402

RECOVERY_SECONDS = 5.0  # for frozen or restarted VMs and expired entries to return
CALM_SECONDS = 2.0      # at least CALM_SERVED of its requests must succeed
CALM_SERVED = 0.95
DRAIN_SECONDS = 9.0     # drain_timeout_ms of 8 s plus a margin of 1 s
CALLERS = 6
WITHDRAWN = "a-key-that-is-withdrawn"
EVENTS = 6
ROUTES_MAX = 4000         # added routes of a configuration
SWITCH_SECONDS = 0.3      # time for an engine to change its role
EVACUATE_SECONDS = 5.0     # until nothing is sent to an evacuated zone
ZONES = ("z1", "z2")
COLD = {"coldStartS": 1, "coldPerS": 60}
LEASE_SECONDS = 3.0       # only one VM may send orders to an engine in this time


class Judge:
    """Records answers and runs by attempt id, and the faults found."""

    def __init__(self):
        self.lock = threading.Lock()
        self.runs = {}
        self.orders = {}  # engine: [(time, holder, fencing number)]
        self.answers = {}
        self.faults = []

    def fault(self, text):
        with self.lock:
            self.faults.append(text)

    def ran(self, attempt):
        with self.lock:
            self.runs[attempt] = self.runs.get(attempt, 0) + 1

    def answered(self, attempt, kind, status):
        with self.lock:
            self.answers[attempt] = (kind, status)

    def check(self):
        for attempt, (kind, status) in self.answers.items():
            runs = self.runs.get(attempt, 0)
            if kind in ("pay", "once") and runs > 1:
                self.faults.append(f"{kind} {attempt} ran {runs} times")
            if kind in ("pay", "once") and status in (408, 421, 429, 503) and runs:
                self.faults.append(f"{kind} {attempt} got {status} and ran")
            if kind in ("withdrawn", "unknown") and runs:
                self.faults.append(f"{kind} {attempt} ran")


    def ordered(self, engine, holder, fence):
        """Checks that fencing numbers increase and that one VM sends all orders within a lease."""
        with self.lock:
            now = time.monotonic()
            for at, other, older in self.orders.get(engine, []):
                if fence <= older:
                    self.faults.append(f"{engine}: fence {fence} after {older}")
                if other != holder and now < at + LEASE_SECONDS:
                    self.faults.append(f"{engine}: orders from {other} and {holder}")
            self.orders.setdefault(engine, []).append((now, holder, fence))


def stream_text(attempt):
    return "".join(f"id: {n}\ndata: {attempt} {n}\n\n" for n in range(1, EVENTS + 1))


class SoakEndpoint(edge_standin.EndpointHandler):
    """An endpoint that reports its runs to the judge and fails in the way that `mode` selects."""
    judge = None
    events = EVENTS
    pause = 0.02

    def run(self):
        e = self.endpoint
        self.payload = self.body()
        attempt = self.headers.get("X-Attempt-Id", "")
        if "Authorization" in self.headers:
            self.judge.fault(f"{attempt}: the key reached an endpoint")
        if self.headers.get("X-Tenant") != "acct":
            self.judge.fault(f"{attempt}: account {self.headers.get('X-Tenant')}")
        if self.headers.get("X-Target-Instance") != e.name:
            return self.reply(421, headers=[("X-Instance-Id", e.name)])
        e.requests += 1
        if e.mode == "full":
            return self.reply(503, headers=[("X-Not-Executed", "1")])
        if e.mode == "mute":
            time.sleep(1.5)
            return self.cut()
        if self.headers.get("X-Serving-Stage") == "prefill":
            return self.reply(200, {"kvHandle": f"kv{time.monotonic_ns()}", "tokens": 1,
                                    "version": 1})
        self.judge.ran(attempt)
        if e.mode == "lose":
            return self.cut()
        if e.mode == "garble":
            return self.garble(attempt)
        if e.stage:
            return self.generate(attempt)
        time.sleep(0.005)
        return self.answer(200, f"done {attempt}".encode())

    def do_POST(self):
        return self.order() if self.path == "/order" else super().do_POST()

    def order(self):
        """Accepts an order to change the role; it is also executed when the answer is lost."""
        e = self.endpoint
        order = json.loads(self.body())
        if self.headers.get("X-Target-Instance") != e.name:
            return self.reply(421)
        self.judge.ordered(e.name, order["holder"], order["fence"])
        threading.Timer(SWITCH_SECONDS, e.take_role, (order["stage"],)).start()
        return self.cut() if e.mode in ("mute", "lose") else self.reply(202)

    def garble(self, attempt):
        """Sends an answer that is none: its status line or one of its headers is broken."""
        headers = [("X-Attempt-Id", attempt), ("X-Response-Signature", "s"),
                   ("Content-Type", "text/event-stream")]
        sound = edge.response(200, headers, b"id: 1\ndata: garbled\n\n")
        broken = [answers.replace_status_line(sound, line) for line in answers.NO_STATUS_LINES]
        broken += [answers.add_header(sound, line) for line in answers.NO_HEADERS]
        self.wfile.write(broken[zlib.crc32(attempt.encode()) % len(broken)])
        self.close_connection = True

    def generate(self, attempt):
        cut_at = EVENTS // 2 if self.endpoint.mode == "cut" else None
        try:
            self.begin_stream()
            for n in range(int(self.headers.get("Last-Event-Id") or 0) + 1, EVENTS + 1):
                if n == cut_at:
                    self.chunk(f"id: {n}\nda".encode())
                    return self.cut()
                self.chunk(f"id: {n}\ndata: {attempt} {n}\n\n".encode())
                time.sleep(self.pause)
            self.wfile.write(b"0\r\n\r\n")
        except OSError:
            return None
        return None


class Fleet:
    """The store, endpoints, proxies and VMs of one seed."""

    def __init__(self, rnd, vms, judge, directory):
        self.rnd = rnd
        self.judge = judge
        self.directory = directory
        self.version = 3
        self.added_routes = 0
        self.drains = []
        self.evacuated = set()
        self.restarting = threading.Lock()
        self.store = edge_standin.Store()
        self.endpoints = [self.make(f"shop-{n}", "shop", None) for n in range(3)]
        self.endpoints += [self.make(f"pre-{n}", "llm", "prefill") for n in range(3)]
        self.endpoints += [self.make(f"dec-{n}", "llm", "decode") for n in range(3)]
        for e in self.endpoints:
            self.announce(e)
        self.doors = [edge_standin.Door(self.store) for _ in range(vms)]
        self.store_links = [proxy.Proxy(d.addr) for d in self.doors]
        self.configure()
        self.vms = [edge.Vm(f"vm-{n}", directory, p.addr)
                    for n, p in enumerate(self.store_links)]
        for vm in self.vms:
            vm.start()

    def make(self, name, service, stage):
        e = edge_standin.Endpoint.__new__(edge_standin.Endpoint)
        e.begin(name, service, stage)
        e.mode = ""
        e.requests = 0
        e.zone = ZONES[name.endswith("2")]
        e.take_role = lambda role: self.take_role(e, role)
        e.server, e.direct = edge_standin.serve(SoakEndpoint, endpoint=e, judge=self.judge)
        e.link = proxy.Proxy(e.direct)
        e.addr = e.link.addr
        return e

    def take_role(self, e, role):
        e.stage = role
        self.announce(e)

    def announce(self, e, state="ready", cold_ms=0):
        e.state = state
        self.store.put("servers", e.name,
                       dict(e.entry(state), zone=e.zone, coldRemainingMs=cold_ms))

    def evacuate(self, zone, begin=True):
        (self.evacuated.add if begin else self.evacuated.discard)(zone)
        self.store.put("op", f"evacuate/{zone}", {} if begin else None)

    def configure(self, withdrawn=False):
        keys = [edge.KEY] + ([] if withdrawn else [WITHDRAWN])
        self.version += self.rnd.randint(1, 3)
        tenant = {"name": "acct", "apiKeys": keys, "unit": "token_count", "plainTokens": 1,
                  "ratePerS": 0, "burst": 0}
        config = edge.many_routes(self.version, self.added_routes, tenants=[tenant])
        config["services"][1]["engine"]["stageSwitchS"] = SWITCH_SECONDS
        for service in config["services"]:
            service.update(COLD)
        self.config = json.dumps(config)
        self.store.put("op", "config", self.config)

    def write_again(self):
        """Writes what the operator and the endpoints wrote last, as after a loss of the newest rows."""
        self.store.put("op", "config", self.config)
        for zone in ZONES:
            self.evacuate(zone, zone in self.evacuated)
        for e in self.endpoints:
            self.announce(e, e.state)

    def restart(self, n, old):
        """Waits for the VM's process to end and restarts it, once for each process."""
        old.process.wait()
        with self.restarting:
            if self.vms[n] is not old:
                return
            vm = edge.Vm.__new__(edge.Vm)
            vm.__dict__.update(old.__dict__)
            vm.process = edge.subprocess.Popen(old.process.args)
            self.vms[n] = vm

    def close(self):
        for vm in self.vms:
            if vm.process.poll() is None:
                vm.process.kill()
            vm.process.wait()
        for p in self.store_links + [e.link for e in self.endpoints]:
            p.close()
        for s in [e.server for e in self.endpoints] + [d.server for d in self.doors]:
            s.shutdown()
            s.server_close()


class Faults:
    """Injects random faults and undoes each after its duration; faults can overlap."""

    def __init__(self, fleet, rnd):
        self.fleet = fleet
        self.rnd = rnd
        self.open = []  # (monotonic end time in s, undo function)
        self.log = []

    def begin(self, name, seconds, undo):
        self.log.append(f"{name}({seconds:.1f})")
        self.open.append((time.monotonic() + seconds, undo))

    def draw(self):
        kinds = [self.freeze, self.kill, self.terminate, self.close_door, self.store_down,
                 self.link_fault, self.link_fault, self.reset_links, self.endpoint_fault,
                 self.endpoint_fault, self.leave, self.expire_entry, self.change,
                 self.drop_history, self.hup, self.overload_pool, self.overload_pool,
                 self.add_routes, self.restore, self.evacuate, self.turn_cold]
        self.rnd.choice(kinds)()

    def step(self):
        now = time.monotonic()
        over = [f for f in self.open if f[0] <= now]
        self.open = [f for f in self.open if f[0] > now]
        for _, undo in over:
            undo()

    def finish(self):
        while self.open:
            self.open.pop()[1]()

    def pick_vm(self):
        return self.rnd.randrange(len(self.fleet.vms))

    def freeze(self):
        process = self.fleet.vms[self.pick_vm()].process
        if process.poll() is None:
            process.send_signal(signal.SIGSTOP)
            self.begin("freeze", self.rnd.uniform(0.2, 3),
                       lambda: process.poll() is None and process.send_signal(signal.SIGCONT))

    def kill(self):
        n = self.pick_vm()
        vm = self.fleet.vms[n]
        vm.process.kill()
        self.fleet.restart(n, vm)
        self.begin("kill", 0, lambda: None)

    def terminate(self):
        n = self.pick_vm()
        vm = self.fleet.vms[n]
        if any(d[0] == n for d in self.fleet.drains) or vm.process.poll() is not None:
            return
        vm.process.send_signal(signal.SIGCONT)
        vm.process.send_signal(signal.SIGTERM)
        thread = threading.Thread(target=self.await_exit, args=(n, vm), daemon=True)
        self.fleet.drains.append((n, thread))
        thread.start()
        self.begin("terminate", 0, lambda: None)

    def await_exit(self, n, vm):
        end = time.monotonic() + DRAIN_SECONDS + 4  # a frozen VM drains only after SIGCONT
        while vm.process.poll() is None and time.monotonic() < end:
            time.sleep(0.05)
        if vm.process.poll() is None:
            self.fleet.judge.fault(f"{vm.name} did not end after SIGTERM")
            vm.process.kill()
        self.fleet.restart(n, vm)
        self.fleet.drains = [d for d in self.fleet.drains if d[0] != n]

    def close_door(self):
        door = self.rnd.choice(self.fleet.doors)
        door.closed = True
        self.begin("door", self.rnd.uniform(0.5, 4), lambda: setattr(door, "closed", False))

    def store_down(self):
        self.fleet.store.down = True
        self.begin("store", self.rnd.uniform(0.3, 3),
                   lambda: setattr(self.fleet.store, "down", False))

    def links(self):
        return self.fleet.store_links + [e.link for e in self.fleet.endpoints]

    def link_fault(self):
        link = self.rnd.choice(self.links())
        link.mode = self.rnd.choice([proxy.DELAY, proxy.SILENT, proxy.ONE_WAY])
        self.begin(f"link-{link.mode}", self.rnd.uniform(0.3, 3),
                   lambda: setattr(link, "mode", proxy.PASS))

    def reset_links(self):
        for link in self.rnd.sample(self.links(), 3):
            link.reset_all()
        self.begin("reset", 0, lambda: None)

    def endpoint_fault(self):
        e = self.rnd.choice(self.fleet.endpoints)
        e.mode = self.rnd.choice(["full", "mute", "lose", "cut", "garble"])
        self.begin(f"{e.name}-{e.mode}", self.rnd.uniform(0.3, 3), lambda: setattr(e, "mode", ""))

    def leave(self):
        e = self.rnd.choice(self.fleet.endpoints)
        self.fleet.announce(e, "draining")
        self.begin(f"{e.name}-leaves", self.rnd.uniform(0.5, 2), lambda: self.fleet.announce(e))

    def expire_entry(self):
        e = self.rnd.choice(self.fleet.endpoints)
        self.fleet.store.put("servers", e.name, None)
        self.begin(f"{e.name}-lapses", self.rnd.uniform(0.2, 2), lambda: self.fleet.announce(e))

    def change(self):
        self.fleet.configure()
        self.begin("change", 0, lambda: None)

    def add_routes(self):
        f = self.fleet
        f.added_routes = min(f.added_routes + self.rnd.randint(100, 1500), ROUTES_MAX)
        f.configure()
        self.begin(f"routes-{f.added_routes}", 0, lambda: None)

    def restore(self):
        """The store is away, and returns from a copy that lacks some of the newest writes."""
        s = self.fleet.store
        lost = self.rnd.randint(1, 30)
        s.down = True

        def come_back():
            s.restore(max(s.version - lost, 1))
            s.down = False
            self.begin("again", self.rnd.uniform(0.1, 1), self.fleet.write_again)

        self.begin(f"restore-{lost}", self.rnd.uniform(0.1, 1.5), come_back)

    def evacuate(self):
        zone = self.rnd.choice(ZONES)
        if self.fleet.evacuated:
            return
        self.fleet.evacuate(zone)
        self.begin(f"evacuate-{zone}", self.rnd.uniform(0.5, 4),
                   lambda: self.fleet.evacuate(zone, False))

    def turn_cold(self):
        for e in self.rnd.sample(self.fleet.endpoints, 3):
            self.fleet.announce(e, e.state, 1000)
        self.begin("cold", 0, lambda: None)

    def drop_history(self):
        s = self.fleet.store
        with s.changed:
            s.forgotten = s.version
            s.log.clear()
        self.begin("forget", 0, lambda: None)

    def overload_pool(self):
        """Reports a full prefill or decode pool, which makes the router change an engine's role."""
        full = self.rnd.choice(["prefill", "decode"])
        for e in self.fleet.endpoints:
            e.load = {"running": 8, "kvUsed": 900} if e.stage == full else {}
        self.begin(f"crowd-{full}", self.rnd.uniform(2, 5), self.clear_load)

    def clear_load(self):
        for e in self.fleet.endpoints:
            e.load = {}

    def hup(self):
        process = self.fleet.vms[self.pick_vm()].process
        if process.poll() is None:
            process.send_signal(signal.SIGHUP)
            self.begin("hup", 0, lambda: None)


class Caller(threading.Thread):
    """Sends one request at a time, each to a random VM, and checks the answers."""

    def __init__(self, fleet, number, seed):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.number = number
        self.rnd = random.Random(seed * 1000 + number)
        self.stop = False
        self.counts = {}

    def run(self):
        n = 0
        while not self.stop:
            n += 1
            kind = self.rnd.choice(["pay", "pay", "look", "gen", "once", "unknown", "withdrawn"])
            if kind == "withdrawn" and not self.withdrawn:
                kind = "pay"
            self.send_request(kind, f"c{self.number}-{n}")
            time.sleep(self.rnd.uniform(0, 0.03))

    withdrawn = False

    def send_request(self, kind, attempt):
        vm = self.rnd.choice(self.fleet.vms)
        key = {"unknown": edge.OTHER_KEY, "withdrawn": WITHDRAWN}.get(kind, edge.KEY)
        path = f"/{kind if kind not in ('unknown', 'withdrawn') else 'pay'}/{attempt}"
        conn = vm.connect(timeout=8)
        try:
            r = vm.send(path, "GET" if kind == "look" else "POST", b"" if kind == "look" else b"x",
                        key=key, attempt=attempt, conn=conn,
                        headers=edge.GEN if kind in ("gen", "once") else None)
            if kind == "gen" and self.rnd.random() < 0.1:
                r.read(10)
                conn.close()
                status = None
            else:
                text, complete = edge.read_stream(r)
                status = self.judge_answer(kind, attempt, r.status, text, complete)
        except (OSError, http.client.HTTPException):
            status = 0
        finally:
            conn.close()
        self.fleet.judge.answered(attempt, kind, status)
        if kind not in ("unknown", "withdrawn") and status is not None:
            self.counts.setdefault(status == 200, []).append(attempt)

    def judge_answer(self, kind, attempt, status, text, complete):
        fault = self.fleet.judge.fault
        if kind in ("unknown", "withdrawn"):
            if status not in (401, 503):
                fault(f"{kind} {attempt}: status {status}")
            return status
        if status in (400, 401, 403, 404):
            fault(f"{kind} {attempt}: status {status} for a valid request")
        if status != 200 or not complete:
            return status if status != 200 else 0
        expected = stream_text(attempt) if kind in ("gen", "once") else f"done {attempt}"
        if text != expected:
            fault(f"{kind} {attempt}: answer {text!r}")
        return status


def settle(fleet, callers, judge, seconds):
    """After the faults: withdraws a key, waits for recovery, and checks the success rate."""
    fleet.configure(withdrawn=True)
    for n, vm in enumerate(fleet.vms):
        if vm.process.poll() is not None and not any(d[0] == n for d in fleet.drains):
            judge.fault(f"{vm.name} ended by itself with status {vm.process.returncode}")
            fleet.restart(n, vm)
    deadline = time.monotonic() + DRAIN_SECONDS + 5
    while fleet.drains and time.monotonic() < deadline:
        time.sleep(0.05)
    time.sleep(seconds)
    if fleet.added_routes:
        check_added_routes(fleet, judge)
    check_evacuation(fleet, judge)
    for c in callers:
        c.withdrawn = True
        c.counts = {}
    time.sleep(CALM_SECONDS)
    served = sum(len(c.counts.get(True, [])) for c in callers)
    missed = [a for c in callers for a in c.counts.get(False, [])]
    if served < CALM_SERVED * (served + len(missed)) or served < 20:
        judge.fault(f"after the faults {served} served, {len(missed)} not: {missed[:5]}")


def check_evacuation(fleet, judge):
    """While a zone is evacuated, nothing is sent to its endpoints."""
    zone = ZONES[1]
    inside = [e for e in fleet.endpoints if e.zone == zone]
    fleet.evacuate(zone)
    time.sleep(EVACUATE_SECONDS)
    before = sum(e.requests for e in inside)
    time.sleep(1)
    after = sum(e.requests for e in inside)
    fleet.evacuate(zone, False)
    if after > before:
        judge.fault(f"{after - before} requests reached the evacuated {zone}")


def check_added_routes(fleet, judge):
    """Each VM must serve the route that was added last."""
    for vm in fleet.vms:
        status = vm.call(f"/m{fleet.added_routes - 1}/x", attempt=f"added-{vm.name}")[0]
        if status in (401, 403, 404):
            judge.fault(f"{vm.name}: status {status} on an added route")


def run_seed(seed, seconds, vms):
    """Returns (judge, injected faults, directory of the logs)."""
    rnd = random.Random(seed)
    judge = Judge()
    directory = os.path.join("/tmp", f"toucanlb-soak-{os.getpid()}-{seed}")
    os.makedirs(directory)
    fleet = Fleet(rnd, vms, judge, directory)
    faults = Faults(fleet, rnd)
    callers = [Caller(fleet, n, seed) for n in range(CALLERS)]
    try:
        edge.wait(lambda: all(vm.ready() for vm in fleet.vms), "all VMs are ready", 10)
        for c in callers:
            c.start()
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            faults.draw()
            pause = time.monotonic() + rnd.uniform(0.05, 0.6)
            while time.monotonic() < pause:
                faults.step()
                time.sleep(0.02)
        faults.finish()
        settle(fleet, callers, judge, RECOVERY_SECONDS)
    finally:
        for c in callers:
            c.stop = True
        for c in callers:
            if c.is_alive():
                c.join(10)
        fleet.close()
    judge.check()
    if not judge.faults:
        shutil.rmtree(directory)
    return judge, faults, directory


def main():
    p = argparse.ArgumentParser()
    p.add_argument("--seed", type=int)
    p.add_argument("--seeds", type=int, nargs=2, metavar=("FROM", "TO"))
    p.add_argument("--seconds", type=float, default=8)
    p.add_argument("--vms", type=int, default=4)
    a = p.parse_args()
    seeds = range(a.seeds[0], a.seeds[1] + 1) if a.seeds else [a.seed if a.seed is not None else 1]
    failed = 0
    for seed in seeds:
        judge, faults, directory = run_seed(seed, a.seconds, a.vms)
        if judge.faults:
            failed += 1
            print(f"seed={seed} FAILED: {'; '.join(judge.faults[:6])}\n  faults: "
                  f"{' '.join(faults.log)}\n  logs: {directory}", flush=True)
        else:
            print(f"seed={seed} ok answers={len(judge.answers)} faults={len(faults.log)} "
                  f"orders={sum(len(o) for o in judge.orders.values())}", flush=True)
    print(f"soak: {len(seeds) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
