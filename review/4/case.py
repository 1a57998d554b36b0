"""The operator adds a route with a long prefix and, with it, takes a key away. The key must be refused
after the time that the pages allow, and the new route served."""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from deployment import (BROKEN, CONFIG_APPLY_S, HELD, KEY, LIMITS, NOT_RUN, TROUBLE,  # noqa: E402
                        Client, Deployment, Endpoint, main, route, service, tenant)

LEAKED = "leaked3zji9n73hh2b9wu3fe"
PREFIX = "/" + "/".join(["v2/tenants/kystbakeriene/regions/vestkyst/places/brg-hall1",
                         "departments/pies-and-pastry/orders/saturday-pickup",
                         "confirmations-and-receipts"][:None if TROUBLE else 2]) + "/"
WATCH_S = 20  # after the bound


def configuration(version, changed):
    routes = [route("ordre-betal", "/baye92/", "non_idempotent", "butikk-app"),
              route("sjekk-ordre", "/puxa403/", "idempotent", "butikk-app")]
    if changed:
        routes.append(route("bekreft", PREFIX, "idempotent", "butikk-app"))
    return {"version": version, "routes": routes, "services": [service("butikk-app")],
            "tenants": [tenant("huka270", KEY), tenant("wuka97", *([] if changed else [LEAKED]))],
            "limits": LIMITS}


def play(record):
    runners = [Endpoint(f"i-{n}", "butikk-app", slots=6) for n in range(2)]
    run = {}

    def plan(h):
        run[h.headers.get("X-Attempt-Id")] = h.headers.get("X-Tenant")
        record(f"runner {h.endpoint.name}: runs {h.headers.get('X-Attempt-Id')} for the tenant "
               f"{h.headers.get('X-Tenant')}")
        return False

    for e in runners:
        e.plan = plan
    with Deployment(record, configuration(7, False), runners) as d:
        if not d.settle():
            return NOT_RUN, "the machines did not become ready"

        def ask(path, attempt, key, machine):
            client = Client(machine, record)
            answer = client.request("POST" if "baye92" in path else "GET", path, attempt, key=key)
            client.close()
            return answer.status if answer else None

        for m in d.machines:
            if ask("/baye92/2f", f"before-{m.name}", LEAKED, m) != 200:
                return NOT_RUN, "the key was not served while it was in force"
        record(f"operator: version 9 adds a route with a prefix of {len(PREFIX)} bytes and takes "
               f"the key of the tenant wuka97 away")
        d.configure(configuration(9, True))
        time.sleep(CONFIG_APPLY_S + 0.5)
        taken = []
        refused = 0
        n = 0
        end = time.monotonic() + WATCH_S
        while time.monotonic() < end:
            for m in d.machines:
                n += 1
                ask("/baye92/2f", f"leaked-{n}", LEAKED, m)
                if f"leaked-{n}" in run:
                    taken.append(n)
                refused += ask(PREFIX + "2f", f"new-{n}", KEY, m) == 404
            time.sleep(0.5)
        for i in taken:
            record(f"CONFIG: leaked-{i} ran with a key that version 9 had taken away")
    return (BROKEN if taken else HELD), (
        f"{len(taken)} of {n} requests ran with a key that had been taken away, up to "
        f"{CONFIG_APPLY_S + WATCH_S:.0f} s after the acknowledgement; {refused} of {n} on the new "
        f"route (prefix of {len(PREFIX)} bytes) got 404")


main(os.path.dirname(os.path.abspath(__file__)), play)
