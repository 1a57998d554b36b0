"""A small deployment for the cases of the second review: daemons started with the command and the
settings template of deploy/, and the project's stand-ins of the store and the endpoints
(tests/edge_standin.py). Everything listens on loopback."""
import json
import os
import random
import re
import shlex
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(ROOT, "tests"))
from edge_standin import Door, Endpoint, EndpointHandler, Store, close_all, free_ports  # noqa: E402,F401

PAGE_BYTES = 1 << 20
KEY = "3d3zji9n73hh2b9wu3fe"
HOST = "ficu95.example"
# The bounds of paiordre in SYSTEM.md that the settings template uses.
BOUNDS = {"bounds.graceS": "8", "bounds.retryBudgetRatio": "0.2", "bounds.budgetSlack": "56"}


def configuration(version=3, **changes):
    """The kinds of request of paiordre: their sheet in SYSTEM.md, and its site file for maxAttempts."""
    def route(name, kind, service, timeout_ms, target_ms, attempts, **more):
        return {"name": name, "hostname": HOST, "prefix": f"/{name}/", "kind": kind,
                "service": service, "timeoutMs": timeout_ms, "targetLatencyMs": target_ms,
                "maxAttempts": attempts, "priority": 1, **more}

    stream = {"gapAimMs": 300, "sessionAffinity": True}
    out = {
        "version": version,
        "routes": [
            route("oppsum", "streaming", "baker-llm", 14000, 900, 2, resumable=True, **stream),
            route("notat", "streaming", "baker-llm", 14000, 900, 1, resumable=False, **stream),
            route("betal", "non_idempotent", "butikk-app", 1000, 100, 1),
            route("sjekk", "idempotent", "butikk-app", 1000, 100, 2),
        ],
        "services": [
            {"name": "butikk-app", "healthPath": "/health", "maxConnections": 110},
            {"name": "baker-llm", "healthPath": "/health", "maxConnections": 180,
             "engine": {"slots": 16, "kvTokens": 91723, "kvTokenBytes": 18432,
                        "linkMbps": 1100000, "kvHoldS": 0.5, "holdMs": 2000, "pinMs": 4000}},
        ],
        "tenants": [{"name": "huka270", "apiKeys": [KEY], "unit": "token_count",
                     "plainTokens": 200, "ratePerS": 0, "burst": 0}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
    }
    out.update(changes)
    return out


def loopback_ip():
    """An address of its own for each daemon, as each has a machine of its own."""
    return "127.%d.%d.%d" % tuple(random.randrange(2, 250) for _ in range(3))


class Daemon:
    def __init__(self, name, directory, store_addr):
        self.name = name
        self.ip = loopback_ip()
        self.front = (self.ip, self.port())
        self.ready_addr = (self.ip, self.port())
        self.peer = (self.ip, self.port())
        self.log = os.path.join(directory, f"{name}.log")
        self.settings = os.path.join(directory, f"{name}.conf")
        self.process = None
        self.write_settings(store_addr)

    def port(self):
        with socket.socket() as s:
            s.bind((self.ip, 0))
            return s.getsockname()[1]

    def write_settings(self, store_addr):
        values = dict(BOUNDS)
        values.update({"nodeName": self.name, "zone": "z1", "region": "vestkyst", "ip": self.ip,
                       "listen.front": "%s:%d" % self.front,
                       "listen.ready": "%s:%d" % self.ready_addr,
                       "internalPorts.0": str(self.peer[1]), "provider.address": store_addr})
        with open(os.path.join(ROOT, "deploy", "settings.yaml"), encoding="utf-8") as f:
            text = f.read()
        text = re.sub(r"\{\{([^}]+)\}\}", lambda m: values[m[1]], text)
        with open(self.settings, "w", encoding="utf-8") as f:
            f.write(text)

    def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as f:
            command = shlex.split(tomllib.load(f)["roles"]["router"]["run"])
        command[-1] = self.settings  # stands for the place at which the platform puts it
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["TOUCANLB_BOOT"] = self.settings
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, env=env, stdout=log, stderr=log)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()

    def is_ready(self):
        try:
            with socket.create_connection(self.ready_addr, timeout=1) as s:
                s.settimeout(1)
                s.sendall(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return s.recv(64).split(b" ")[1:2] == [b"200"]
        except OSError:
            return False

    def log_lines(self, event):
        with open(self.log, encoding="utf-8", errors="replace") as f:
            return [line.rstrip() for line in f if f"event={event} " in line]


class PagedStore(Store):
    """Ends the page of a listing at 1 MB too, as the platform's store does."""

    def listing(self, table, start=""):
        answer = super().listing(table, start)
        size = 0
        for n, row in enumerate(answer["rows"]):
            size += len(row["value"])
            if n > 0 and size > PAGE_BYTES:
                answer.update(rows=answer["rows"][:n], truncated=True)
                break
        return answer


class CannotRun(Exception):
    """The case could not be played: exit status 2."""


class Site:
    """The store, the endpoints and the daemons. Leaving the context ends all of them."""

    def __init__(self, daemons=2, prefills=1, decodes=2, shops=2):
        self.directory = tempfile.TemporaryDirectory()
        self.store = PagedStore()
        self.shops = [Endpoint(f"i-shop{n}", "butikk-app", slots=6) for n in range(shops)]
        self.prefills = [Endpoint(f"i-pre{n}", "baker-llm", "prefill", 16)
                         for n in range(prefills)]
        self.decodes = [Endpoint(f"i-dec{n}", "baker-llm", "decode", 16) for n in range(decodes)]
        self.endpoints = self.shops + self.prefills + self.decodes
        self.store.put("op", "config", configuration())
        self.doors = [Door(self.store) for _ in range(daemons)]
        self.daemons = [Daemon(f"front-z1-{n}", self.directory.name, d.addr)
                        for n, d in enumerate(self.doors)]
        self.beating = True
        for e in self.endpoints:
            self.store.put("servers", e.name, e.entry())

    def beat(self):
        """Each endpoint writes its entry every heartbeatMs (1,200)."""
        while self.beating:
            time.sleep(1.2)
            for e in self.endpoints:
                if self.beating and e.server:
                    self.store.put("servers", e.name, e.entry())

    def __enter__(self):
        for d in self.daemons:
            d.start()
        threading.Thread(target=self.beat, daemon=True).start()
        end = time.monotonic() + 15
        while not all(d.is_ready() for d in self.daemons):
            if time.monotonic() > end:
                self.__exit__()
                raise CannotRun("a daemon is not ready within 15 s")
            time.sleep(0.05)
        return self

    def __exit__(self, *args):
        self.beating = False
        for d in self.daemons:
            d.end()
        servers = [e.end() for e in self.endpoints]
        close_all([s for s in servers if s] + [d.server for d in self.doors])
        self.directory.cleanup()


class Record:
    """record.txt: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def write(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.began:8.3f}  {text}\n")
            self.file.flush()


def request_bytes(method, path, attempt, body=b"", deadline_ms=14000, **headers):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Attempt-Id: {attempt}",
             f"X-Deadline-Ms: {deadline_ms}", f"Authorization: Bearer {KEY}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def read_head(sock):
    """Returns the head of a response and what was read of its body."""
    data = b""
    while b"\r\n\r\n" not in data:
        more = sock.recv(65536)
        if not more:
            raise ConnectionError("closed inside the head")
        data += more
    head, rest = data.split(b"\r\n\r\n", 1)
    return head.decode("latin-1"), rest


class Dechunker:
    """Takes the chunks off a body. `done` is set at the last chunk."""

    def __init__(self):
        self.raw = b""
        self.done = False

    def feed(self, data):
        self.raw += data
        out = b""
        while not self.done:
            line, found, rest = self.raw.partition(b"\r\n")
            if not found:
                break
            size = int(line.split(b";")[0], 16)
            if size == 0:
                self.done = True
            elif len(rest) < size + 2:
                break
            else:
                out += rest[:size]
                self.raw = rest[size + 2:]
        return out


def main(case, folder):
    """Runs case(record, trouble) -> (broken, text) and exits with 1, 0 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record.write(f"begins; TROUBLE={int(trouble)}")
    try:
        broken, text = case(record, trouble)
    except CannotRun as e:
        record.write(f"could not run: {e}")
        print(f"could not run: {e}")
        sys.exit(2)
    verdict = "the rule was broken" if broken else "the rule held"
    record.write(f"{verdict}: {text}")
    print(f"{verdict}: {text}")
    sys.exit(1 if broken else 0)


def dump(value):
    return json.dumps(value, sort_keys=True)
