"""Threads that use a fleet while faults are injected, and judge one promise each from outside, and
relays between the daemons."""
import os
import secrets
import select
import socket
import tempfile
import threading
import time

from harness import BUILD, Caller, sha256

ACCOUNT = 5  # the account whose rate the rate tests set
COST = 10  # tokens per status request
PATHS = ("/prefill", "/kv/import", "/decode")


def new_key():
    return "tlb_" + secrets.token_urlsafe(24)


def key_row(key, state="granted", account="account-1"):
    return {"account": account, "hash": sha256(key), "state": state}


class Holder(threading.Thread):
    """Uses a key on one kept-alive connection to a VM until stopped; last is the moment at which
    the last request was sent that was run."""

    def __init__(self, fleet, vm, key):
        super().__init__()
        self.fleet, self.vm, self.key = fleet, vm, key
        self.stop = threading.Event()
        self.runs, self.last, self.connections = 0, 0.0, 0

    def run(self):
        c = None
        while not self.stop.is_set():
            sent = time.monotonic()
            try:
                if c is None:
                    c = Caller(self.fleet.callers[self.vm], 4)
                    self.connections += 1
                c.send("GET", self.fleet.service_path, self.key)
                r = c.receive()
            except OSError:
                c = None
                time.sleep(0.1)
                continue
            if r.status == 200:
                self.runs += 1
                self.last = sent
            if not r.complete or r.headers.get("connection") == "close":
                c.close()
                c = None
            time.sleep(0.05)


class Flood:
    """Callers that send status requests of one account as fast as they are answered."""

    def __init__(self, fleet, per_vm, vms=None, gap=0.0, number=ACCOUNT):
        self.fleet, self.gap = fleet, gap
        self.key = fleet.account_key(number)
        self.stop = threading.Event()
        self.lock = threading.Lock()
        self.admitted = []  # (sent, answered) of the requests that were run
        self.refused = 0
        self.other = []
        self.threads = [threading.Thread(target=self._run, args=(vm,))
                        for vm in (vms if vms is not None else range(len(fleet.callers)))
                        for _ in range(per_vm)]
        for thread in self.threads:
            thread.start()

    def end(self):
        self.stop.set()
        for thread in self.threads:
            thread.join()
        return self

    def _run(self, vm):
        c = None
        due = time.monotonic()
        while not self.stop.is_set():
            due = max(due + self.gap, time.monotonic() - 0.2)
            time.sleep(max(0.0, due - time.monotonic()))
            try:
                c = c or Caller(self.fleet.callers[vm], 6)
                sent = time.monotonic()
                c.send("GET", self.fleet.service_path, self.key)
                r = c.receive()
            except OSError:
                c = None
                time.sleep(0.05)
                continue
            with self.lock:
                if r.complete and r.status == 200:
                    self.admitted.append((sent, time.monotonic()))
                elif r.complete and r.status == 429:
                    self.refused += 1
                else:
                    self.other.append(repr(r))
            if not r.complete or r.headers.get("connection") == "close":
                c.close()
                c = None


def worst_window(admitted, rate, burst, cost=None):
    """The largest quotient of tokens surely admitted within a window and burst + rate * window.
    Each request was admitted at some moment between its sending and its answer, so the window that
    surely holds requests i..j, by their sending, ends with the latest of their answers."""
    ordered = sorted(admitted)
    worst = 0.0
    for i in range(0, len(ordered), max(1, len(ordered) // 400)):
        tokens, end = 0, 0.0
        for k in range(i, len(ordered)):
            tokens += cost[ordered[k]] if cost else COST
            end = max(end, ordered[k][1])
            worst = max(worst, tokens / (burst + rate * (end - ordered[i][0])))
    return worst


class Watch(threading.Thread):
    """Notes when an endpoint last received new work."""

    def __init__(self, fleet, standin):
        super().__init__()
        self.fleet, self.standin = fleet, standin
        self.stop = threading.Event()
        self.last, self.count = 0.0, self.work()

    def work(self):
        seen = (self.standin.state() or {}).get("seen_by_path") or {}
        paths = (self.fleet.service_path, self.fleet.paid_path) + PATHS
        return sum(n for path, n in seen.items() if path in paths)

    def run(self):
        while not self.stop.is_set():
            n = self.work()
            if n > self.count:
                self.count, self.last = n, time.monotonic()
            time.sleep(0.1)


def endpoint_row(fleet, name, state):
    return {f"config/endpoint/{name}": dict(fleet.row(f"config/endpoint/{name}"), state=state)}


class Relay(threading.Thread):
    """Passes the bytes of TCP connections on to an address. silence() lets every open connection
    go silent for good, without a close, while new ones work."""

    def __init__(self):
        super().__init__(daemon=True)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addr = "127.0.0.1:%d" % self.listener.getsockname()[1]
        self.target = None
        self.other = {}  # each socket's other end
        self.silent = set()
        self.lock = threading.Lock()

    def silence(self):
        with self.lock:
            self.silent |= set(self.other)
            self.other = {}
            return len(self.silent) // 2

    def run(self):
        while True:
            with self.lock:
                watched = [self.listener, *self.other]
            for s in select.select(watched, [], [], 0.05)[0]:
                if s is self.listener:
                    self._accept()
                else:
                    self._pass(s)

    def _accept(self):
        conn, _ = self.listener.accept()
        try:
            out = socket.create_connection(self.target, 1)
        except OSError:
            conn.close()
            return
        with self.lock:
            self.other.update({conn: out, out: conn})

    def _pass(self, s):
        with self.lock:
            out = self.other.get(s)
        if out is None:
            return
        try:
            data = s.recv(65536)
            if data:
                out.sendall(data)
                return
        except OSError:
            pass
        with self.lock:
            for end in (s, out):
                self.other.pop(end, None)
                end.close()


class WallClock:
    """Steps the wall clocks of the daemons that are started within it; see tests/clockstep.c."""

    def __enter__(self):
        with tempfile.NamedTemporaryFile("w", delete=False) as f:
            self.path = f.name
        os.environ["CLOCKSTEP_FILE"] = self.path
        os.environ["LD_PRELOAD"] = os.path.join(BUILD, "clockstep.so")
        return self

    def step(self, seconds):
        with open(self.path, "w", encoding="utf-8") as f:
            f.write(f"{seconds}\n")

    def __exit__(self, kind, *rest):
        del os.environ["LD_PRELOAD"], os.environ["CLOCKSTEP_FILE"]
        os.unlink(self.path)


def relays_for(count):
    """Relays in front of the peer listeners of VMs, and the hook that puts them into the settings that
    scripts/fleet writes."""
    relays = [Relay() for _ in range(count)]

    def edit(vm, path):
        with socket.create_server(("127.0.0.1", 0)) as free:
            port = free.getsockname()[1]
        with open(path, encoding="utf-8") as f:
            text = f.read()
        text = text.replace("  peer: 127.0.0.1:0", f"  peer: 127.0.0.1:{port}\n"
                            f"  peer_advertised: {relays[vm].addr}")
        with open(path, "w", encoding="utf-8") as f:
            f.write(text)
        relays[vm].target = ("127.0.0.1", port)
        relays[vm].start()
    return relays, edit
