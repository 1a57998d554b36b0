#!/usr/bin/env python3
"""Promise 11: orders to engines come from one sender that holds a lease, with fencing numbers."""
import json
import os
import re
import socket
import threading
import time

from harness import (Failed, case, http_json, main, parallel, response_bytes, wait_until,
                     whole_request)

# From docs/design.md: lease and margin, fence round, then backoff of an order (at most 5 s).
TAKEOVER = 5 + 1 + 2
BACKOFF = 5
CONFIG = 7  # invariant 10
IN_FLIGHT = 6
ASSERT = 30
LOG_SECONDS = 1.0
WITNESSES_MIN = 3  # one may be lost
# The fleet's odd engines check the number; these are the others.
IGNORING = [f"{role}-{i}" for role in ("prefill", "decode") for i in (2, 4, 6)]
# A stand-in keeps this many requests: a minute of load reports, so that the orders are among them.
RECORDS = ["--record-count", "1000"]
OPTIONS = {"engine": RECORDS, **{name: ["--ignore-fencing", *RECORDS] for name in IGNORING}}
SEND = re.compile(r"^(\S+) .*event=order endpoint=(\S+) decision=send fencing=(\d+) ", re.M)


def start(t, **more):
    fleet = t.fleet(standin_options=OPTIONS, **more)
    if wait_until(lambda: all(orders(e) for e in fleet.engines), 5) is None:
        fleet.stop()
        raise Failed("some engine got no order after the fleet's start")
    return fleet


def orders(engine):
    return (engine.state() or {}).get("orders") or []


def log_of(fleet, vm):
    with open(os.path.join(fleet.dir, f"vm-{vm + 1}.decisions.log"), encoding="utf-8") as f:
        return f.read()


def sends(fleet, endpoint):
    """(time, VM index, fencing number) of the orders to an endpoint, by time."""
    return sorted((m[1], vm, int(m[3])) for vm in range(len(fleet.pids))
                  for m in SEND.finditer(log_of(fleet, vm)) if m[2] == endpoint)


def owner(fleet, endpoint):
    sent = sends(fleet, endpoint)
    if not sent:
        raise Failed(f"no order to {endpoint} in the logs")
    return sent[-1][1]


def number(name):
    return int(name[1:])


def change_version(fleet, version, vm, base=None, adapter=""):
    """An operator's change of the model's version; returns the status and the body."""
    key = f"config/model/{fleet.model}"
    row = dict(fleet.row(key), version=version, adapter=adapter)
    return fleet.change({key: row}, vm=vm, base=base)


def order_version(fleet, version, vm, base=None, adapter=""):
    return change_version(fleet, version, vm, base, adapter)[0]


def settle(fleet):
    """Waits until every VM row names witnesses and the shard map has not changed for a while. A VM
    that joined alone can't be fenced before its row names witnesses, and without the table service
    only a standby that is written in the map takes over."""
    seen = [None, 0.0]

    def steady():
        rows = http_json(fleet.table.listen, "GET", "/rows?prefix=vm/")[1]["rows"]
        if any(len(r["value"]["witnesses"]) < WITNESSES_MIN for r in rows):
            return False
        version = http_json(fleet.table.listen, "GET", "/row?key=shards")[1]["version"]
        if version != seen[0]:
            seen[:] = [version, time.monotonic()]
        return time.monotonic() - seen[1] > 4
    if wait_until(steady, 30) is None:
        raise Failed("the shard map does not settle")


def must_order(fleet, version, vm):
    """Orders a version at a VM as soon as the last one that was accepted is in force there, within the
    time of invariant 10; a change based on an earlier one would be refused as a conflict."""
    last = fleet.row("config/head")["version"]
    if wait_until(lambda: (fleet.version(vm) or 0) >= last, CONFIG, 0.01) is None:
        raise Failed(f"configuration {last} is not in force at vm-{vm + 1}")
    status, body = change_version(fleet, version, vm, last)
    if status != 200:
        raise Failed(f"the change to version {version} was not accepted by vm-{vm + 1}: "
                     f"status {status}, {body}")


def has(engine, version):
    return (engine.state() or {}).get("version") == version


def steps_back(applied):
    """How often a list of carried-out orders goes back to an earlier version v<N>."""
    versions = [number(o["version"]) for o in applied if o["version"].startswith("v")]
    return sum(b < a for a, b in zip(versions, versions[1:]))


def pair(t, fleet):
    """A checking and an ignoring engine, chosen at random."""
    return (t.random.choice([e for e in fleet.engines if e.name not in IGNORING]),
            t.random.choice([e for e in fleet.engines if e.name in IGNORING]))


def survivor(t, fleet, gone):
    return t.vm(fleet, but=(gone,))


@case
def table_reaches_every_engine(t):
    """Guards the plain case: version, adapter and a change of role, at every engine."""
    with start(t) as fleet:
        if order_version(fleet, "v2", t.vm(fleet), adapter="spring") != 200:
            raise Failed("the change was not accepted")
        begin = time.monotonic()
        e = t.random.choice(fleet.prefills)
        key = f"config/endpoint/{e.name}"
        status, _ = fleet.change({key: dict(fleet.row(key), role="decode")}, vm=t.vm(fleet))
        if status != 200:
            raise Failed(f"the change of role got {status}")

        def right():
            states = [(s, s.state()) for s in fleet.engines]
            return all(x["version"] == "v2" and x["adapter"] == "spring" for _, x in states) \
                and e.state()["role"] == "decode"
        if wait_until(right, 3 * CONFIG) is None:
            raise Failed("the engines are not in the table's state")
        return time.monotonic() - begin, CONFIG + 1


def owner_frozen(t, which):
    """The owner has an order to repeat when it is frozen; the table moves on meanwhile."""
    with start(t) as fleet:
        settle(fleet)
        engine = pair(t, fleet)[which]
        victim = owner(fleet, engine.name)
        other = survivor(t, fleet, victim)
        engine.fault("refuse", "/order")
        must_order(fleet, "v2", victim)
        time.sleep(t.random.uniform(0.1, 1.5))
        fleet.freeze(victim)
        begin = time.monotonic()
        must_order(fleet, "v3", other)
        engine.clear()
        if wait_until(lambda: has(engine, "v3"), TAKEOVER + BACKOFF + CONFIG) is None:
            raise Failed("the new owner's order did not arrive")
        figure = time.monotonic() - begin
        # The daemons write their log lines every 100 ms.
        if wait_until(lambda: owner(fleet, engine.name) != victim, LOG_SECONDS) is None:
            raise Failed("the frozen VM is still the last sender")
        fleet.thaw(victim)
        time.sleep(IN_FLIGHT + 2)
        applied = orders(engine)
        t.note([(o["version"], o["fencing"]) for o in applied])
        if steps_back(applied) or not has(engine, "v3"):
            raise Failed("the engine went back")
        return figure, TAKEOVER + 2


@case
def owner_frozen_engine_checks(t):
    return owner_frozen(t, 0)


@case
def owner_frozen_engine_ignores(t):
    return owner_frozen(t, 1)


class FakeEngine:
    """An engine that ignores fencing numbers and can stop to accept connections: the router's
    connects then stay pending in the kernel."""

    def __init__(self):
        self.orders = []
        self.fillers = []
        self.open = threading.Event()
        self.open.set()
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.addr = "127.0.0.1:%d" % self.sock.getsockname()[1]
        threading.Thread(target=self._serve, daemon=True).start()

    def row(self):
        return {"role": "decode", "pool": "fake", "zone": "zone-a", "addr": self.addr,
                "state": "active", "fencing": False, "pieces": 50, "link_mbps": 20000}

    def block(self):
        """Accepts nothing more and fills the queue of the listening socket."""
        self.open.clear()
        host, port = self.addr.split(":")
        for _ in range(4):
            s = socket.socket()
            s.setblocking(False)
            s.connect_ex((host, int(port)))
            self.fillers.append(s)
            time.sleep(0.05)

    def unblock(self):
        for s in self.fillers:
            s.close()
        self.open.set()

    def _serve(self):
        while True:
            self.open.wait()
            conn, _ = self.sock.accept()
            threading.Thread(target=self._answer, args=(conn,), daemon=True).start()

    def _answer(self, conn):
        data = b""
        try:
            while True:
                while not whole_request(data):
                    more = conn.recv(65536)
                    if not more:
                        return
                    data += more
                n = whole_request(data)
                request, data = data[:n], data[n:]
                if request.startswith(b"POST /order"):
                    self.orders.append(json.loads(request.partition(b"\r\n\r\n")[2]))
                conn.sendall(response_bytes('{"held":[]}'))
        except OSError:
            pass
        finally:
            conn.close()


@case
def owner_frozen_while_it_connects(t):
    """Guards the check of the lease after the connect: the owner is frozen with its connect
    pending, which completes in the kernel; on resume the request would be written at once."""
    fake = FakeEngine()
    rows = {"config/endpoint/fake-1": fake.row(),
            "config/model/fake": {"version": "v1", "pool": "fake"}}
    with start(t, rows=rows) as fleet:
        if wait_until(lambda: fake.orders, 10) is None:
            raise Failed("no order to the fake engine")
        settle(fleet)
        victim = owner(fleet, "fake-1")
        other = survivor(t, fleet, victim)
        time.sleep(IN_FLIGHT + 1)
        fake.block()
        before = len(sends(fleet, "fake-1"))
        row = {"version": "v2", "pool": "fake"}
        fleet.change({"config/model/fake": row}, vm=victim)
        if wait_until(lambda: len(sends(fleet, "fake-1")) > before, 5, 0.01) is None:
            raise Failed("no order for the changed table")
        fleet.freeze(victim)
        if any(o["version"] == "v2" for o in fake.orders):
            raise Failed("the order arrived before the owner was frozen")
        fleet.change({"config/model/fake": dict(row, version="v3")}, vm=other)
        fake.unblock()
        arrived = wait_until(lambda: any(o["version"] == "v3" for o in fake.orders),
                             TAKEOVER + BACKOFF + CONFIG)
        if arrived is None:
            raise Failed("the new owner's order did not arrive")
        time.sleep(8)  # the kernel's retries complete the pending connect
        fleet.thaw(victim)
        time.sleep(3)
        t.note([(o["version"], o["fencing"]) for o in fake.orders])
        return steps_back(fake.orders), 0


def replay(engine, order):
    """Delivers an order of a former owner late; returns the status."""
    return http_json(engine.listen, "POST", "/order", order)[0]


def take_over(t, fleet, engine):
    """Kills the owner of an engine that has v2 while the table moves to v3. Returns the owner's
    last order and the seconds from the kill until the engine has v3."""
    settle(fleet)
    victim = owner(fleet, engine.name)
    must_order(fleet, "v2", victim)
    if wait_until(lambda: has(engine, "v2"), CONFIG) is None:
        raise Failed("v2 did not arrive")
    late = orders(engine)[-1]
    engine.fault("refuse", "/order")
    begin = time.monotonic()
    fleet.kill(victim)
    must_order(fleet, "v3", survivor(t, fleet, victim))
    engine.clear()
    if wait_until(lambda: has(engine, "v3"), TAKEOVER + BACKOFF + CONFIG) is None:
        raise Failed("the new owner's order did not arrive")
    return late, time.monotonic() - begin


@case
def owner_killed(t):
    with start(t) as fleet:
        engine = pair(t, fleet)[t.random.randrange(2)]
        late, seconds = take_over(t, fleet, engine)
        if orders(engine)[-1]["fencing"] <= late["fencing"]:
            raise Failed("the new owner's number is not higher")
        return seconds, TAKEOVER + 2


@case
def late_order_is_refused_by_number(t):
    """A former owner's order that arrives after the takeover, at an engine that checks."""
    with start(t) as fleet:
        engine = pair(t, fleet)[0]
        late, _ = take_over(t, fleet, engine)
        status = replay(engine, late)
        t.note(f"status {status}")
        return 0 if status == 412 and has(engine, "v3") else 1, 0


@case
def late_order_is_corrected(t):
    """The same at an engine that ignores the number, within the time in flight."""
    with start(t) as fleet:
        engine = pair(t, fleet)[1]
        late, _ = take_over(t, fleet, engine)
        if replay(engine, late) != 200 or has(engine, "v3"):
            raise Failed("the engine did not obey the late order")
        return wait_until(lambda: has(engine, "v3"), 2 * ASSERT), IN_FLIGHT + 1


@case
def very_late_order_is_corrected(t):
    """The same after the time in flight: the regular assertion corrects it."""
    with start(t) as fleet:
        engine = pair(t, fleet)[1]
        late, _ = take_over(t, fleet, engine)
        time.sleep(IN_FLIGHT + 2)
        replay(engine, late)
        return wait_until(lambda: has(engine, "v3"), 2 * ASSERT), ASSERT + 1


@case
def answers_lost(t):
    """Every engine carries out the order and loses the answer, twice."""
    with start(t) as fleet:
        for e in fleet.engines:
            e.fault("drop_answer", "/order", count=2)
        must_order(fleet, "v2", t.vm(fleet))
        begin = time.monotonic()

        def confirmed():
            return all(len([o for o in orders(e) if o["version"] == "v2"]) >= 3
                       for e in fleet.engines)
        if wait_until(confirmed, CONFIG + BACKOFF) is None:
            raise Failed("an order was not repeated")
        figure = time.monotonic() - begin
        for e in fleet.engines:
            same = {json.dumps(dict(o, fencing=0), sort_keys=True) for o in orders(e)
                    if o["version"] == "v2"}
            if len(same) != 1:
                raise Failed(f"{e.name} got different orders: {same}")
        return figure, CONFIG


@case
def engine_refuses(t):
    """An engine that refuses for a while has the table's state soon afterwards."""
    with start(t) as fleet:
        engine = t.random.choice(fleet.engines)
        engine.fault("refuse", "/order")
        must_order(fleet, "v2", t.vm(fleet))
        time.sleep(t.random.uniform(4, 8))
        engine.clear()
        return wait_until(lambda: has(engine, "v2"), 4 * BACKOFF), BACKOFF + 1


@case
def store_down_during_takeover(t):
    """The number grows with a takeover on a fence alone; the table goes on when the store is up."""
    with start(t) as fleet:
        settle(fleet)
        engine = t.random.choice(fleet.engines)
        victim = owner(fleet, engine.name)
        last = orders(engine)[-1]["fencing"]
        fleet.store_down()
        fleet.kill(victim)
        figure = wait_until(lambda: orders(engine)[-1]["fencing"] > last,
                            TAKEOVER + BACKOFF + CONFIG)
        if figure is None or wait_until(lambda: owner(fleet, engine.name) != victim,
                                        LOG_SECONDS) is None:
            raise Failed("no order with a higher number")
        fleet.store_up()

        def accepted():
            return order_version(fleet, "v2", survivor(t, fleet, victim)) == 200
        if wait_until(accepted, 10, 0.5) is None:
            raise Failed("no change is accepted after the outage")
        if wait_until(lambda: all(has(e, "v2") for e in fleet.engines), 2 * CONFIG) is None:
            raise Failed("the engines are not in the table's state")
        numbers = [[o["fencing"] for o in orders(e)] for e in fleet.engines]
        if any(n != sorted(n) for n in numbers):
            raise Failed(f"a number fell: {numbers}")
        return figure, TAKEOVER + 2


def sent_after(engine, number):
    """Fencing numbers of the orders that the engine got after the one with this number. They are
    told apart by number, not by position: the stand-in keeps its last requests only, so that
    earlier orders drop out of its list while load reports come in."""
    numbers = [json.loads(r["body"])["fencing"] for r in engine.requests("/order")]
    if number not in numbers:
        raise Failed("the stand-in's list of requests no longer has the order")
    return numbers[numbers.index(number) + 1:]


@case
def refused_sender_stops(t):
    """A sender that is refused for an old number sends nothing more with such a number."""
    with start(t) as fleet:
        engine = pair(t, fleet)[0]
        high = orders(engine)[-1]["fencing"] + (1 << 40)
        replay(engine, dict(orders(engine)[-1], fencing=high))
        must_order(fleet, "v2", t.vm(fleet))
        time.sleep(CONFIG)
        sent = sent_after(engine, high)
        time.sleep(LOG_SECONDS)
        refused = len(re.findall(rf"endpoint={engine.name} decision=refused", fleet.logs()))
        t.note(f"{refused} refusals logged, numbers sent: {sent}")
        if not sent or refused != len(sent):
            raise Failed("not every refusal is logged")
        return sum(b <= a for a, b in zip(sent, sent[1:])), 0


@case
def operators_race(t):
    """Two operators order opposite versions: one wins, and every engine follows the table."""
    with start(t) as fleet:
        worst = 0
        for i in range(5):
            a, b = t.random.sample(range(len(fleet.callers)), 2)
            base = fleet.version(a)
            names = [f"v{2 * i + 2}", f"v{2 * i + 3}"]
            statuses = parallel([lambda: order_version(fleet, names[0], a, base),
                                 lambda: order_version(fleet, names[1], b, base)])
            if sorted(statuses) != [200, 409]:
                raise Failed(f"statuses {statuses}")
            begin = time.monotonic()
            want = fleet.row(f"config/model/{fleet.model}")["version"]
            if want != names[statuses.index(200)]:
                raise Failed("the table has the loser's version")
            if wait_until(lambda: all(has(e, want) for e in fleet.engines), 2 * CONFIG) is None:
                raise Failed("the engines are not in the table's state")
            worst = max(worst, time.monotonic() - begin)
            lost = names[statuses.index(409)]
            if any(o["version"] == lost for e in fleet.engines for o in orders(e)):
                raise Failed("an engine got the loser's order")
        return worst, CONFIG


if __name__ == "__main__":
    main(11)
