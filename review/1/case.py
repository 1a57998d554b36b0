"""A runner sends a stream whose first event does not end, in small chunks. Other callers' payments at
sound runners must still be answered, or ended at the time-out of their route."""
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from deployment import (BROKEN, HELD, KEY, LIMITS, NOT_RUN, TROUBLE, Client,  # noqa: E402
                        Deployment, Endpoint, main, route, service, tenant)

TIMEOUT_MS = 1000  # of the route of the payments
SLACK_S = 0.5  # that the rule adds
DEADLINE_MS = 4000  # of the clients
CLIENTS = 6  # at each machine
BYTES_PER_S = 1e6  # that the runner in trouble sends; links of the site carry 125e6
CHUNK = b"8\r\n" + b"x" * 8 + b"\r\n"
LENGTH_S = 30
FEWEST = 8  # unanswered requests that the rule needs


def configuration():
    return {"version": 7,
            "routes": [route("ordre-betal", "/baye92/", "non_idempotent", "butikk-app",
                             timeoutMs=TIMEOUT_MS),
                       route("kundenotat", "/pule252/", "streaming", "baker-llm",
                             timeoutMs=14000, targetLatencyMs=900, gapAimMs=300, priority=1,
                             sessionAffinity=True)],
            "services": [service("butikk-app"), service("baker-llm", engine=True)],
            "tenants": [tenant("huka270", KEY)], "limits": LIMITS}


def stream_without_end(record):
    """The plan of a decode runner: one event that does not end."""
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
            while time.monotonic() < began + LENGTH_S + 20:
                h.wfile.write(CHUNK * 500)
                sent += 500 * len(CHUNK)
                time.sleep(max(0, began + sent / BYTES_PER_S - time.monotonic()))
        except OSError:
            pass  # the caller has closed
        record(f"runner {h.endpoint.name}: {attempt} closed by its caller after "
               f"{time.monotonic() - began:.2f} s and {sent} bytes")
        return True
    return plan


def pay(record):
    def plan(h):
        record(f"runner {h.endpoint.name}: runs {h.headers.get('X-Attempt-Id')}")
        time.sleep(0.02)
        return False
    return plan


def pay_all_the_time(machine, number, record, ended, taken):
    """taken: seconds until the answer of each request, or until the client gave up."""
    client = Client(machine, record)
    n = 0
    while not ended.is_set():
        n += 1
        began = time.monotonic()
        try:
            answer = client.request("POST", "/baye92/2f", f"pay-{machine.name}-{number}-{n}",
                                    b"x" * 600, deadline_ms=DEADLINE_MS,
                                    timeout=DEADLINE_MS / 1000)
        except OSError as e:
            record(f"client: no connection to {machine.name}: {e}")
            answer = None
        taken.append((time.monotonic() - began, bool(answer and answer.status)))
        time.sleep(0.1)


def processor_s(machine):
    with open(f"/proc/{machine.process.pid}/stat", encoding="ascii") as f:
        fields = f.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def play(record):
    sound = [Endpoint(f"i-{n}", "butikk-app", slots=6) for n in range(4)]
    prefill = Endpoint("i-pre", "baker-llm", "prefill", slots=16)
    bad = Endpoint("i-dec", "baker-llm", "decode", slots=16)
    for e in sound:
        e.plan = pay(record)
    bad.plan = stream_without_end(record)
    with Deployment(record, configuration(), sound + [prefill, bad]) as d:
        if not d.settle():
            return NOT_RUN, "the machines did not become ready"
        ended = threading.Event()
        taken = []
        threads = [threading.Thread(target=pay_all_the_time, args=(m, n, record, ended, taken))
                   for m in d.machines for n in range(CLIENTS)]
        used = [processor_s(m) for m in d.machines]
        for t in threads:
            t.start()
        time.sleep(2)
        began = time.monotonic()
        for m in d.machines:
            t = threading.Thread(target=summarize, args=(m, record))
            t.start()
            threads.append(t)
        unready = 0
        checks = 0
        while time.monotonic() < began + LENGTH_S:
            for m in d.machines:
                checks += 1
                if not m.is_ready():
                    unready += 1
                    record(f"platform: {m.name} does not answer whether it is ready")
            time.sleep(1)
        used = [processor_s(m) - u for m, u in zip(d.machines, used)]
        ended.set()
        for t in threads:
            t.join(20)
    limit = TIMEOUT_MS / 1000
    late = [s for s, _ in taken if s > limit]
    unanswered = [s for s, answered in taken
                  if s > limit + SLACK_S or (s > limit and not answered)]
    broken = len(unanswered) >= FEWEST and 2 * len(unanswered) > len(late)
    return (BROKEN if broken else HELD), (
        f"{len(late)} of {len(taken)} payments had no answer at the {TIMEOUT_MS} ms of their route, "
        f"{len(unanswered)} of these none {SLACK_S} s later (longest {max(taken)[0]:.1f} s); "
        f"{unready} of {checks} questions whether machines are ready not answered; "
        f"processor time {[round(u, 1) for u in used]} s in {LENGTH_S + 2} s")


def summarize(machine, record):
    """One request that reaches the runner in trouble."""
    client = Client(machine, record)
    try:
        client.request("POST", "/pule252/2f", f"note-{machine.name}", b"x", deadline_ms=14000,
                       headers=[("X-Model", "m"), ("X-Token-Usage", "5200,70"),
                                ("X-Prompt-Prefix", "5c1e07a2:200,91bd3f06:5000")])
    except OSError as e:
        record(f"client: note-{machine.name}: {e}")
    finally:
        client.close()


main(os.path.dirname(os.path.abspath(__file__)), play)
