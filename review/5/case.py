"""A part of prompts crashes each runner that begins to write an answer on it. The prompts have a long
history, so that the part comes after the first 32 ones. PARTS sets the length of the history."""
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from deployment import (BROKEN, CONTACT_S, HELD, KEY, LIMITS, NOT_RUN, TROUBLE, Client,  # noqa: E402
                        Deployment, Endpoint, main, route, service, tenant)

PARTS = int(os.environ.get("PARTS", "40"))  # before the one that crashes runners, or the last one
HISTORY = ["5c1e07a2:200"] + [f"{0x91bd3f00 + i:x}:100" for i in range(PARTS - 1)]
DEADLY = "e4402b7d:50"
DOWN_S = 2.5  # a runner that has crashed is back after some seconds
PERIOD_S = 1.2  # between requests with the part
LENGTH_S = 40
ALLOWED = 3
FIFTH = 5
TOKENS = f"{200 + 100 * PARTS + 100},70"


def configuration():
    streams = {"timeoutMs": 14000, "targetLatencyMs": 900, "gapAimMs": 300, "priority": 1,
               "sessionAffinity": True}
    return {"version": 7,
            "routes": [route("kveld-oppsum", "/lohu930/", "streaming", "baker-llm", maxAttempts=2,
                             resumable=True, **streams),
                       route("kundenotat", "/pule252/", "streaming", "baker-llm", **streams)],
            "services": [service("baker-llm", engine=True)],
            "tenants": [tenant("huka270", KEY)], "limits": LIMITS}


def headers(*parts):
    return [("X-Model", "m"), ("X-Token-Usage", TOKENS), ("X-Prompt-Prefix", ",".join(parts))]


def play(record):
    prefills = [Endpoint(f"i-pre{n}", "baker-llm", "prefill", slots=16) for n in range(2)]
    decodes = [Endpoint(f"i-dec{n}", "baker-llm", "decode", slots=16) for n in range(10)]
    arrivals = []  # (time, runner) of requests with the part
    crashes = []

    def plan(h):
        e = h.endpoint
        ids = h.headers.get("X-Prompt-Prefix", "").split(",")
        if DEADLY in ids[:-1]:
            arrivals.append(time.monotonic())
            record(f"runner {e.name}: gets {h.headers.get('X-Attempt-Id')}, which has the part")
        if h.headers.get("X-Serving-Stage") == "prefill":
            return False
        if DEADLY in ids[:-1] and TROUBLE:
            crashes.append(time.monotonic())
            record(f"runner {e.name}: crashes on {h.headers.get('X-Attempt-Id')}")
            h.begin_stream()
            e.crash(d.store, down_s=DOWN_S, new_id=True)
            h.cut()
            return True
        h.stream(int(h.headers.get("Last-Event-Id") or 0), pause=0.1)
        return True

    for e in prefills + decodes:
        e.plan = plan
    sound = []  # (time, whole)
    ended = threading.Event()

    def summarize(machine, number):
        n = 0
        while not ended.wait(0.1):
            n += 1
            began = time.monotonic()
            answer = call(machine, "/pule252/2f", f"sound-{machine.name}-{number}-{n}",
                          headers(*HISTORY, f"{number}{n:x}5:30"), quiet=True)
            sound.append((began, bool(answer and answer.whole and answer.status == 200)))

    def call(machine, path, attempt, lines, quiet=False):
        client = Client(machine, record)
        try:
            return client.request("POST", path, attempt, b"x", quiet=quiet, deadline_ms=14000,
                                  headers=lines)
        except OSError:
            return None
        finally:
            client.close()

    with Deployment(record, configuration(), prefills + decodes) as d:
        if not d.settle():
            return NOT_RUN, "the machines did not become ready"
        threads = [threading.Thread(target=summarize, args=(m, n)) for m in d.machines
                   for n in range(3)]
        for t in threads:
            t.start()
        end = time.monotonic() + LENGTH_S
        senders = []
        n = 0
        while time.monotonic() < end:
            n += 1
            t = threading.Thread(target=call, args=(
                d.machines[n % 2], "/lohu930/2f", f"deadly-{n}",
                headers(*HISTORY, DEADLY, f"{n:x}e:30")))
            t.start()
            senders.append(t)
            time.sleep(PERIOD_S)
        ended.set()
        for t in threads + senders:
            t.join(15)
    if not TROUBLE:
        lost = [w for _, w in sound].count(False)
        return HELD, f"no runner crashed; {lost} of {len(sound)} sound streams not whole"
    if len(crashes) < FIFTH:
        return HELD, f"only {len(crashes)} crashes"
    known = crashes[FIFTH - 1] + CONTACT_S
    late = sum(at > known for at in arrivals)
    after = [w for at, w in sound if at > known]
    return (BROKEN if late > ALLOWED else HELD), (
        f"{late} requests with the part reached runners later than {CONTACT_S:.0f} s after the fifth "
        f"crash ({ALLOWED} allowed); {len(crashes)} crashes; {after.count(False)} of {len(after)} "
        f"sound streams begun since then were not answered whole")


main(os.path.dirname(os.path.abspath(__file__)), play)
