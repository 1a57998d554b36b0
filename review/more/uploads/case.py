"""Many users come at once with bodies as large as the operator's limit allows. Payments of other clients,
on connections that are kept, must still be answered."""
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "lib"))
from deployment import (BROKEN, HELD, KEY, LIMITS, NOT_RUN, TROUBLE, Client,  # noqa: E402
                        Deployment, Endpoint, main, route, service, tenant)

WORK_S = 0.1  # of a payment
PAYERS = 6  # at each machine
UPLOADERS = 20  # at each machine
BODY = b"x" * (LIMITS["maxBodyBytes"] - 1024)
BYTES_PER_S = 4e6  # of each uploader
DEADLINE_MS = 14000
ROUNDS = 3
ALLOWED = 3


def configuration():
    return {"version": 7,
            "routes": [route("ordre-betal", "/baye92/", "non_idempotent", "butikk-app"),
                       route("last-opp", "/lohu930/", "non_idempotent", "butikk-arkiv",
                             timeoutMs=DEADLINE_MS)],
            "services": [service("butikk-app"), service("butikk-arkiv")],
            "tenants": [tenant("huka270", KEY)], "limits": LIMITS}


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


def upload(machine, attempt, record):
    """Sends one large request at the speed of the user's link."""
    client = Client(machine, record)
    try:
        client.connect()
        client.sock.settimeout(DEADLINE_MS / 1000)
        client.sock.sendall(client.head("POST", "/lohu930/2f", attempt, deadline_ms=DEADLINE_MS,
                                        length=len(BODY)))
        began = time.monotonic()
        for at in range(0, len(BODY), 65536):
            time.sleep(max(0, began + at / BYTES_PER_S - time.monotonic()))
            client.sock.sendall(BODY[at:at + 65536])
        record(f"client: {attempt} sent to {machine.name}: body of {len(BODY)} bytes in "
               f"{time.monotonic() - began:.2f} s")
        record(f"client: {attempt} gets {client.read()}")
    except OSError as e:
        record(f"client: {attempt}: {e}")
    finally:
        client.close()


def play(record):
    runners = [Endpoint(f"i-{n}", "butikk-app", slots=6) for n in range(4)]
    archive = [Endpoint(f"i-a{n}", "butikk-arkiv", slots=16) for n in range(3)]

    def plan(h):
        record(f"runner {h.endpoint.name}: runs {h.headers.get('X-Attempt-Id')}")
        time.sleep(WORK_S)
        return False

    for e in runners + archive:
        e.plan = plan
    with Deployment(record, configuration(), runners + archive) as d:
        if not d.settle():
            return NOT_RUN, "the machines did not become ready"
        ended = threading.Event()
        cut = []
        threads = [threading.Thread(target=pay_all_the_time, args=(m, n, record, ended, cut))
                   for m in d.machines for n in range(PAYERS)]
        for t in threads:
            t.start()
        for turn in range(ROUNDS):
            time.sleep(4)  # in touch again
            users = [threading.Thread(target=upload, args=(m, f"up-{m.name}-{turn}-{n}", record))
                     for n in range(UPLOADERS) for m in d.machines]
            if TROUBLE:
                for t in users:
                    t.start()
            else:
                for t in users[:2 * len(d.machines)]:  # the same users, one after the other
                    t.start()
                    t.join()
            for t in users:
                if t.ident:
                    t.join()
        time.sleep(1)
        ended.set()
        for t in threads:
            t.join()
        run = {h.get("X-Attempt-Id") for e in runners for h in e.seen}
        lost = [a for a in cut if a in run]
        record(f"LOST: passed on to a sound runner and not answered: {' '.join(lost) or 'none'}")
        text = (f"{len(lost)} requests on kept connections passed on to sound runners and closed "
                f"without an answer ({ALLOWED} allowed); killed for memory: "
                f"{[m.memory_kills for m in d.machines]}; most memory: "
                f"{[round(m.peak_mb) for m in d.machines]} MB")
    return (BROKEN if len(lost) > ALLOWED else HELD), text


main(os.path.dirname(os.path.abspath(__file__)), play)
