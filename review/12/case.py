"""Another writer leaves entries among those of the runners; then all processes are killed. The machines
must serve again once they are back."""
import http.client
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-3"))
import site_3  # noqa: E402
from site_3 import (BROKEN, HELD, HOST, KEY, NOT_RUN, TROUBLE, Endpoint, Record, Site,  # noqa: E402
                    Store, run)

ENTRIES = 16
VALUE_BYTES = 65000  # a row holds 65,536
PAGE_ROWS = 500
PAGE_BYTES = 1 << 20
RECOVER_S = 12  # recoverS of the site
TRAFFIC_S = 4
INTERVAL_S = 0.05


class PagedStore(Store):
    """Answers a listing with 500 rows or 1 MB at most."""

    def listing(self, table, start=""):
        with self.changed:
            rows = [r for (t, k), r in sorted(self.rows.items(), key=lambda i: i[0][1].encode())
                    if t == table and k.encode() >= start.encode()]
            page = []
            size = 0
            for r in rows[:PAGE_ROWS]:
                size += len(json.dumps(r))
                if size > PAGE_BYTES:
                    break
                page.append(r)
            return self.answer(rows=page, truncated=len(page) < len(rows))


def key_of_another_writer(n):
    """A key that begins with the character U+0000. Without trouble, one without it."""
    return f"{chr(0)}entry-{n}" if TROUBLE else f"entry-{n}"


def pay(machine, attempt):
    """Sends a payment; returns its status, 0 without an answer."""
    c = http.client.HTTPConnection("127.0.0.1", machine.ports["front"], timeout=1)
    try:
        c.request("POST", "/betal/1", body=b"hello", headers={
            "Host": HOST, "X-Attempt-Id": attempt, "X-Deadline-Ms": "1000",
            "Authorization": f"Bearer {KEY}"})
        return c.getresponse().status
    except OSError:
        return 0
    finally:
        c.close()


def traffic(site, record, name):
    """Sends payments to the machines in turn; returns the share that is served."""
    statuses = []
    end = time.monotonic() + TRAFFIC_S
    while time.monotonic() < end:
        machine = site.machines[len(statuses) % len(site.machines)]
        statuses.append(pay(machine, f"{name}-{len(statuses)}"))
        time.sleep(INTERVAL_S)
    counts = {s: statuses.count(s) for s in sorted(set(statuses))}
    ready = [m.ready() for m in site.machines]
    record(f"{name}: sent={len(statuses)} answered={counts} ready={ready}")
    return counts.get(200, 0) / len(statuses)


def main():
    record = Record(FOLDER)
    site_3.Store = PagedStore
    runners = [Endpoint(f"i-{n}", "butikk-app", None, 6) for n in range(4)]
    with Site(runners, machines=2) as site:
        for n in range(ENTRIES):
            site.store.put("servers", key_of_another_writer(n), "x" * VALUE_BYTES)
        record(f"entries of another writer: {ENTRIES}")
        time.sleep(1)
        before = traffic(site, record, "before")
        for m in site.machines:
            m.process.kill()
        for m in site.machines:
            m.process.wait()
            m.start()
        record("killed and started all machines")
        time.sleep(RECOVER_S)
        after = traffic(site, record, "after")
        for m in site.machines:
            for line in m.lines("store_lost")[-2:]:
                record(f"log {m.name} {line}")
    print(f"served before {before:.2f}, later than {RECOVER_S} s after the machines are back "
          f"{after:.2f}")
    if before < 0.25:
        return NOT_RUN
    return BROKEN if after < 0.25 else HELD


run(main)
