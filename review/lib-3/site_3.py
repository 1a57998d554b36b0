"""A small deployment on loopback for the cases of the third review.

Starts target/toucanlbd with the settings that deploy/settings.yaml gives, beside the project's
stand-ins of the store and the runners (tests/edge_standin.py), and writes what happens to
record.txt in the folder of the case.
"""
import http.client
import os
import re
import subprocess
import sys
import tempfile
import threading
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests"))
from edge_standin import Door, Endpoint, Store, close_all, free_ports  # noqa: E402

DAEMON = os.path.join(ROOT, "target", "toucanlbd")
TEMPLATE = os.path.join(ROOT, "deploy", "settings.yaml")
KEY = "3d3zji9n73hh2b9wu3fe"
HOST = "ficu95.example"
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def configuration(version=7):
    """Routes, services and limits as on the site paiordre."""
    routes = [
        {"name": "kveld", "hostname": HOST, "prefix": "/kveld/", "kind": "streaming",
         "service": "baker-llm", "timeoutMs": 14000, "targetLatencyMs": 900, "gapAimMs": 300,
         "maxAttempts": 2, "priority": 1, "sessionAffinity": True, "resumable": True},
        {"name": "betal", "hostname": HOST, "prefix": "/betal/", "kind": "non_idempotent",
         "service": "butikk-app", "timeoutMs": 1000, "targetLatencyMs": 100, "maxAttempts": 1,
         "priority": 2},
        {"name": "sjekk", "hostname": HOST, "prefix": "/sjekk/", "kind": "idempotent",
         "service": "butikk-app", "timeoutMs": 1000, "targetLatencyMs": 100, "maxAttempts": 2,
         "priority": 2},
    ]
    services = [
        {"name": "baker-llm", "healthPath": "/health", "maxConnections": 180,
         "engine": {"slots": 16, "kvTokens": 91723, "kvTokenBytes": 18432, "linkMbps": 1100000,
                    "kvHoldS": 0.5, "holdMs": 2000, "stageSwitchS": 6}},
        {"name": "butikk-app", "healthPath": "/health", "maxConnections": 110}]
    tenant = {"name": "huka270", "apiKeys": [KEY], "unit": "token_count", "plainTokens": 200,
              "ratePerS": 0, "burst": 0}
    return {"version": version, "routes": routes, "services": services, "tenants": [tenant],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}


class Record:
    """Lines of record.txt, with the time since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
            self.file.flush()


class Machine:
    """A toucanlbd process with the settings of the deploy file."""

    def __init__(self, name, directory, store_addr):
        self.name = name
        self.ports = free_ports("front", "ready", "internal")
        fields = {"nodeName": name, "zone": "z1", "region": "vestkyst", "ip": "127.0.0.1",
                  "listen.front": f"127.0.0.1:{self.ports['front']}",
                  "listen.ready": f"127.0.0.1:{self.ports['ready']}",
                  "internalPorts.0": str(self.ports["internal"]),
                  "provider.address": store_addr, "bounds.graceS": "8",
                  "bounds.retryBudgetRatio": "0.2", "bounds.budgetSlack": "56"}
        with open(TEMPLATE, encoding="utf-8") as f:
            text = re.sub(r"\{\{([^}]+)\}\}", lambda m: fields[m[1]], f.read())
        # The template gives every machine the metrics port 7501; here they share an address.
        text = text.replace(":7501", f":{free_ports('metrics')['metrics']}")
        self.settings = os.path.join(directory, f"{name}.conf")
        self.log = os.path.join(directory, f"{name}.log")
        with open(self.settings, "w", encoding="utf-8") as f:
            f.write(text)
        self.process = None

    def start(self):
        with open(self.log, "a", encoding="utf-8") as log:
            self.process = subprocess.Popen(
                [DAEMON, self.settings], cwd=ROOT, stdout=log, stderr=subprocess.STDOUT,
                env={"PATH": os.environ["PATH"], "TOUCANLB_BOOT": self.settings})

    def ready(self):
        try:
            c = http.client.HTTPConnection("127.0.0.1", self.ports["ready"], timeout=1)
            c.request("GET", "/readiness")
            return c.getresponse().status == 200
        except OSError:
            return False

    def lines(self, *events):
        """Lines of the log that have one of these events."""
        with open(self.log, encoding="utf-8") as f:
            return [x.strip() for x in f if re.search(rf"event=({'|'.join(events)}) ", x)]


class Site:
    """The store, the runners and the machines of one case; leaving the context ends all."""

    def __init__(self, runners, machines=1):
        self.directory = tempfile.TemporaryDirectory()
        self.store = Store()
        self.runners = runners
        for r in runners:
            self.store.put("servers", r.name, r.entry())
        self.doors = [Door(self.store) for _ in range(machines)]
        self.machines = [Machine(f"front-z1-{n}", self.directory.name, d.addr)
                         for n, d in enumerate(self.doors)]

    def __enter__(self):
        self.store.put("op", "config", configuration())
        for m in self.machines:
            m.start()
        end = time.monotonic() + 10
        while not all(m.ready() for m in self.machines):
            if time.monotonic() > end:
                self.__exit__()
                sys.exit(NOT_RUN)
            time.sleep(0.05)
        return self

    def __exit__(self, *args):
        for m in self.machines:
            if m.process.poll() is None:
                m.process.kill()
            m.process.wait()
        servers = [r.end() for r in self.runners]
        close_all([s for s in servers if s] + [d.server for d in self.doors])
        self.directory.cleanup()


def engines(prefills=2, decodes=4):
    return ([Endpoint(f"pre-{n}", "baker-llm", "prefill", 16) for n in range(prefills)] +
            [Endpoint(f"dec-{n}", "baker-llm", "decode", 16) for n in range(decodes)])


def run(main):
    """Exits with the result of the case; one that fails by itself could not run."""
    try:
        result = main()
    except Exception:  # pylint: disable=broad-except
        traceback.print_exc()
        result = NOT_RUN
    sys.exit(result)
