"""A small deployment on loopback addresses for the scripts of the cases.

The daemons are separate processes, started with the command and the settings template of the deploy
file. Clients, endpoints, the store and the platform are stand-ins; store and endpoints come from
tests/edge_standin.py. Everything that matters is written to record.txt in the folder of the case.
"""
import itertools
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

sys.dont_write_bytecode = True
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests"))
from edge_standin import Door, Endpoint, Store, close_all, free_ports  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2

# Bounds of the site paiordre (SYSTEM.md).
CONTACT_S = 3.0
CONFIG_APPLY_S = 2.0
MEMORY_MB = 110
BOUNDS = {"graceS": 8, "retryBudgetRatio": 0.2, "budgetSlack": 56}
# The site has 4 MiB as the largest body; the other limits are those of the project's own tests.
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
          "idleTimeoutMs": 15000}
HOST = "wuka97.example"
KEY = "k3d3zji9n73hh2b9wu3fe"


class Record:
    """record.txt: one line for everything sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
            self.file.flush()


def route(name, prefix, kind, service, **more):
    out = {"name": name, "hostname": HOST, "prefix": prefix, "kind": kind, "service": service,
           "timeoutMs": 2000, "targetLatencyMs": 100, "maxAttempts": 1, "priority": 2}
    out.update(more)
    return out


def tenant(name, *keys):
    return {"name": name, "apiKeys": list(keys), "unit": "token_count", "plainTokens": 10,
            "ratePerS": 0, "burst": 0}


def service(name, engine=False):
    out = {"name": name, "healthPath": "/health", "maxConnections": 110}
    if engine:
        out["engine"] = {"slots": 16, "kvTokens": 91723, "kvTokenBytes": 18432,
                         "linkMbps": 1100000, "kvHoldS": 0.5, "holdMs": 2000}
    return out


def render(template, fields):
    """Fills in the placeholders of deploy/settings.yaml as the platform does."""
    def value(m):
        at = fields
        for part in m[1].split("."):
            at = at[int(part)] if isinstance(at, list) else at[part]
        return str(at)
    return re.sub(r"\{\{([\w.]+)\}\}", value, template)


class Daemon:
    """One machine: its process is started again a moment after it has ended, like the platform does,
    and killed when it has more memory than the machine (DEPLOY.md, "Memory and descriptors")."""

    addresses = itertools.count(2)

    def __init__(self, name, folder, store, record):
        self.name = name
        self.record = record
        self.ip = f"127.{os.getpid() % 200 + 20}.{os.getpid() // 200 % 250}.{next(self.addresses)}"
        ports = free_ports("front", "ready", "peer")
        self.front = (self.ip, ports["front"])
        self.ready_addr = (self.ip, ports["ready"])
        self.settings = os.path.join(folder, f"{name}.conf")
        self.log = open(os.path.join(folder, f"{name}.log"), "ab")
        fields = {"nodeName": name, "zone": "brg-hall1", "region": "vestkyst", "ip": self.ip,
                  "listen": {"front": "%s:%d" % self.front, "ready": "%s:%d" % self.ready_addr},
                  "internalPorts": [ports["peer"], ports["peer"] + 15],
                  "provider": {"address": store}, "bounds": BOUNDS}
        with open(os.path.join(ROOT, "deploy", "settings.yaml"), encoding="utf-8") as f:
            text = render(f.read(), fields)
        with open(self.settings, "w", encoding="utf-8") as f:
            f.write(text)
        self.memory_kills = 0
        self.peak_mb = 0.0
        self.ended = threading.Event()
        self.process = None
        self.start()
        self.keeper = threading.Thread(target=self.keep, daemon=True)
        self.keeper.start()

    def start(self):
        self.process = subprocess.Popen(
            ["target/toucanlbd", self.settings], cwd=ROOT, stdout=self.log, stderr=self.log,
            env={"PATH": os.environ["PATH"], "TOUCANLB_BOOT": self.settings})
        self.record(f"platform: {self.name} started")

    def memory_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as f:
                return int(re.search(r"VmRSS:\s+(\d+)", f.read())[1]) / 1024
        except (OSError, TypeError):
            return 0.0

    def keep(self):
        while not self.ended.wait(0.02):
            used = self.memory_mb()
            self.peak_mb = max(self.peak_mb, used)
            if used > MEMORY_MB:
                self.memory_kills += 1
                self.record(f"platform: {self.name} uses {used:.0f} MB of {MEMORY_MB}: killed")
                self.process.kill()
            if self.process.poll() is not None:
                self.record(f"platform: {self.name} ended with {self.process.returncode}")
                if not self.ended.wait(0.3):
                    self.start()

    def is_ready(self):
        try:
            with socket.create_connection(self.ready_addr, 1) as s:
                s.settimeout(1)
                s.sendall(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                return s.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def end(self):
        self.ended.set()
        self.keeper.join()
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
            try:
                self.process.wait(1)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()
        self.log.close()


class Deployment:
    """Store, endpoints and machines; leaving the context ends all of them."""

    def __init__(self, record, configuration, endpoints, machines=2):
        self.record = record
        self.store = Store()
        self.folder = tempfile.TemporaryDirectory()
        self.endpoints = endpoints
        for e in endpoints:
            self.store.put("servers", e.name, e.entry())
        self.doors = [Door(self.store) for _ in range(machines)]
        self.machines = [Daemon(f"front-{n}", self.folder.name, d.addr, record)
                         for n, d in enumerate(self.doors)]
        self.configure(configuration)

    def configure(self, configuration):
        self.store.put("op", "config", json.dumps(configuration))
        self.record(f"operator: version {configuration['version']} acknowledged")

    def __enter__(self):
        return self

    def __exit__(self, *args):
        for m in self.machines:
            m.end()
        servers = [e.end() for e in self.endpoints]
        close_all([s for s in servers if s] + [d.server for d in self.doors])
        self.folder.cleanup()

    def settle(self):
        """Waits until all machines are ready, and then until they are in touch. Returns success."""
        end = time.monotonic() + 20
        while not all(m.is_ready() for m in self.machines):
            if time.monotonic() > end:
                return False
            time.sleep(0.1)
        time.sleep(CONTACT_S + 0.5)
        self.record("all machines are ready and in touch")
        return True


class Answer:
    def __init__(self, status, headers, body, whole):
        self.status = status
        self.headers = headers
        self.body = body
        self.whole = whole

    def __str__(self):
        if not self.status:
            return "connection closed without an answer"
        return f"{self.status}, {len(self.body)} bytes{'' if self.whole else ', not whole'}"


class Client:
    """A client with one connection, which it keeps as long as the machine does."""

    def __init__(self, machine, record):
        self.machine = machine
        self.record = record
        self.sock = None
        self.used = 0  # requests answered on this connection

    def close(self):
        if self.sock:
            self.sock.close()
        self.sock = None
        self.used = 0

    def connect(self):
        if not self.sock:
            self.sock = socket.create_connection(self.machine.front, 2)
            self.used = 0

    def head(self, method, target, attempt, key=KEY, deadline_ms=1000, headers=(), length=None):
        lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}", f"X-Attempt-Id: {attempt}",
                 f"X-Deadline-Ms: {deadline_ms}"]
        if key:
            lines.append(f"Authorization: Bearer {key}")
        lines += [f"{n}: {v}" for n, v in headers]
        if length is not None:
            lines.append(f"Content-Length: {length}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def request(self, method, target, attempt, body=b"", quiet=False, timeout=None, **more):
        """Sends a request and reads its answer. A connection that ends gives status 0."""
        self.connect()
        kept = self.used
        head = self.head(method, target, attempt, length=len(body) if body else None, **more)
        if not quiet:
            self.record(f"client: {attempt} sent to {self.machine.name}: {method} {target[:60]} "
                        f"({len(head)} bytes of head, {len(body)} of body, "
                        f"{kept} answers before on the connection)")
        self.sock.settimeout(timeout or more.get("deadline_ms", 1000) / 1000 + 1)
        try:
            self.sock.sendall(head + body)
            answer = self.read()
        except socket.timeout:
            answer = None
        except OSError:
            answer = Answer(0, {}, b"", False)
        if not quiet or (answer and not answer.status):
            self.record(f"client: {attempt} gets "
                        f"{answer if answer else 'no answer by its deadline'}")
        if answer and answer.status and answer.whole and \
                answer.headers.get("connection", "").lower() != "close":
            self.used += 1
        else:
            self.close()
        return answer

    def read(self):
        data = b""
        while b"\r\n\r\n" not in data:
            more = self.sock.recv(65536)
            if not more:
                return Answer(0, {}, b"", False)
            data += more
        head, _, body = data.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = dict((n.lower(), v.strip()) for n, _, v in (x.partition(":") for x in lines[1:]))
        status = int(lines[0].split()[1])
        if "chunked" in headers.get("transfer-encoding", ""):
            end, done = b"0\r\n\r\n", lambda b: b.endswith(b"\r\n0\r\n\r\n") or b == b"0\r\n\r\n"
        else:
            length = int(headers.get("content-length", "0"))
            end, done = b"", lambda b: len(b) >= length
        while not done(body):
            more = self.sock.recv(65536)
            if not more:
                return Answer(status, headers, body, False)
            body += more
        return Answer(status, headers, body[:-len(end)] if end else body, True)


def main(folder, play):
    """Plays a case and ends with its exit status; a case that can't run ends with 2."""
    record = Record(folder)
    record(f"TROUBLE={'1' if TROUBLE else '0'}")
    try:
        status, verdict = play(record)
    except Exception as e:  # whatever keeps the case from running is no verdict
        status, verdict = NOT_RUN, f"the case could not run: {e!r}"
    record(f"verdict: {verdict}")
    print(verdict)
    sys.stdout.flush()
    os._exit(status)
