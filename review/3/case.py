"""Look-ups and payments with a long query, inside the operator's limit on heads, must reach the runner
with the query that the client sent."""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from deployment import (BROKEN, HELD, KEY, LIMITS, NOT_RUN, TROUBLE, Client, Deployment,  # noqa: E402
                        Endpoint, main, route, service, tenant)

ORDERS = (330, 400, 500, 800) if TROUBLE else (1, 20, 100, 300)  # listed in the query
PER_SIZE = 5


def configuration():
    return {"version": 7,
            "routes": [route("ordre-betal", "/baye92/", "non_idempotent", "butikk-app"),
                       route("sjekk-ordre", "/puxa403/", "idempotent", "butikk-app")],
            "services": [service("butikk-app")],
            "tenants": [tenant("huka270", KEY)], "limits": LIMITS}


def query_of(orders, n):
    return "?ids=" + ",".join(f"{100000 * n + i:011d}" for i in range(orders)) + "&pickup=saturday"


def play(record):
    runners = [Endpoint(f"i-{n}", "butikk-app", slots=6) for n in range(2)]
    run = {}

    def plan(h):
        attempt = h.headers.get("X-Attempt-Id")
        run[attempt] = h.path
        record(f"runner {h.endpoint.name}: runs {attempt}: {h.command}, target of {len(h.path)} "
               f"bytes, ends with {h.path[-24:]!r}")
        return False

    for e in runners:
        e.plan = plan
    changed = []
    sent = 0
    largest = 0
    with Deployment(record, configuration(), runners) as d:
        if not d.settle():
            return NOT_RUN, "the machines did not become ready"
        for orders in ORDERS:
            for n in range(PER_SIZE):
                for method, prefix in (("GET", "/puxa403/2f"), ("POST", "/baye92/2f")):
                    target = prefix + query_of(orders, n)
                    attempt = f"{method}-{orders}-{n}"
                    client = Client(d.machines[n % 2], record)
                    largest = max(largest, len(client.head(method, target, attempt, length=4)))
                    record(f"client: {attempt} has a target of {len(target)} bytes, "
                           f"ends with {target[-24:]!r}")
                    client.request(method, target, attempt, b"pay!" if method == "POST" else b"")
                    client.close()
                    sent += 1
                    if attempt in run and run[attempt] != target:
                        changed.append(attempt)
        time.sleep(0.2)
    if largest > LIMITS["maxHeaderBytes"]:
        return NOT_RUN, f"a head of {largest} bytes is over the operator's limit"
    for a in changed:
        record(f"UNASKED: {a} ran with a target that its client did not send")
    return (BROKEN if changed else HELD), (
        f"{len(changed)} of {sent} requests ran with another query than the client sent; "
        f"largest head {largest} of {LIMITS['maxHeaderBytes']} bytes allowed")


main(os.path.dirname(os.path.abspath(__file__)), play)
