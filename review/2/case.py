"""A runner ends the body of an answer with trailer lines without end. Payments at sound runners, on
connections that are kept, must still be answered."""
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from deployment import (BROKEN, HELD, NOT_RUN, TROUBLE, Client, Deployment, Endpoint,  # noqa: E402
                        LIMITS, main, route, service, tenant, KEY)

WORK_S = 0.1  # of a payment; the site's longest are 0.11 s
CLIENTS = 6  # at each machine
ROUNDS = 3  # of requests to the runner in trouble, at each machine
BYTES_PER_S = 20e6  # that the runner in trouble sends; links of the site carry 125e6
LINES = b"X-T: 1\r\n" * 8192
ALLOWED = 3  # kept connections that may end without an answer


def configuration():
    return {"version": 7,
            "routes": [route("ordre-betal", "/baye92/", "non_idempotent", "butikk-app"),
                       route("sjekk-ordre", "/puxa403/", "idempotent", "butikk-lese")],
            "services": [service("butikk-app"), service("butikk-lese")],
            "tenants": [tenant("huka270", KEY)], "limits": LIMITS}


def pay(record):
    """The plan of a sound runner."""
    def plan(h):
        record(f"runner {h.endpoint.name}: runs {h.headers.get('X-Attempt-Id')}")
        time.sleep(WORK_S)
        return False
    return plan


def answer_without_end(record):
    """The plan of the runner in trouble: a chunked answer whose trailer section does not end."""
    def plan(h):
        attempt = h.headers.get("X-Attempt-Id")
        record(f"runner {h.endpoint.name}: runs {attempt}")
        if not TROUBLE:
            return False
        sent = 0
        began = time.monotonic()
        h.close_connection = True
        try:
            h.begin_stream()
            h.chunk(b"done")
            h.wfile.write(b"0\r\n")
            while time.monotonic() < began + 20:
                h.wfile.write(LINES)
                sent += len(LINES)
                time.sleep(max(0, began + sent / BYTES_PER_S - time.monotonic()))
        except OSError:
            pass  # the caller has closed
        record(f"runner {h.endpoint.name}: {attempt} closed by its caller after "
               f"{time.monotonic() - began:.2f} s and {sent} bytes of trailer")
        return True
    return plan


def pay_all_the_time(machine, number, record, ended, cut):
    client = Client(machine, record)
    n = 0
    while not ended.is_set():
        n += 1
        attempt = f"pay-{machine.name}-{number}-{n}"
        kept = client.used > 0
        try:
            answer = client.request("POST", "/baye92/2f", attempt, b"x" * 600)
        except OSError:
            time.sleep(0.2)  # no process there; the request was not sent
            continue
        if kept and answer and not answer.status:
            cut.append(attempt)


def play(record):
    sound = [Endpoint(f"i-{n}", "butikk-app", slots=6) for n in range(4)]
    bad = Endpoint("i-bad", "butikk-lese", slots=6)
    for e in sound:
        e.plan = pay(record)
    bad.plan = answer_without_end(record)
    with Deployment(record, configuration(), sound + [bad]) as d:
        if not d.settle():
            return NOT_RUN, "the machines did not become ready"
        ended = threading.Event()
        cut = []
        threads = [threading.Thread(target=pay_all_the_time, args=(m, n, record, ended, cut))
                   for m in d.machines for n in range(CLIENTS)]
        for t in threads:
            t.start()
        for turn in range(ROUNDS):
            time.sleep(4)  # in touch again
            look = [threading.Thread(target=look_up, args=(m, turn, record)) for m in d.machines]
            for t in look:
                t.start()
            for t in look:
                t.join()
        time.sleep(1)
        ended.set()
        for t in threads:
            t.join()
        run = {h.get("X-Attempt-Id") for e in sound for h in e.seen}
        lost = [a for a in cut if a in run]
        kills = [m.memory_kills for m in d.machines]
        record(f"LOST: passed on to a sound runner and not answered: {' '.join(lost) or 'none'}")
        text = (f"{len(lost)} requests on kept connections passed on to sound runners and closed "
                f"without an answer ({ALLOWED} allowed); killed for memory: {kills}; "
                f"most memory: {[round(m.peak_mb) for m in d.machines]} MB")
    return (BROKEN if len(lost) > ALLOWED else HELD), text


def look_up(machine, turn, record):
    """One request whose route leads to the runner in trouble."""
    try:
        Client(machine, record).request("GET", "/puxa403/2f", f"look-{machine.name}-{turn}")
    except OSError as e:
        record(f"client: look-{machine.name}-{turn} not sent: {e}")


main(os.path.dirname(os.path.abspath(__file__)), play)
