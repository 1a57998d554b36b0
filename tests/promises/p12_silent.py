#!/usr/bin/env python3
"""Promise 12: open connections that go permanently silent are found and replaced within a stated
bound."""
import time

from harness import (Caller, Failed, ask, case, complete, judge_completion, load_result, load_tool,
                     main, parallel, pay)
from observers import relays_for

# Seconds after which every new request is answered as fast as before. The longest call deadline
# that applies to these requests is that of a prefill, 3 s and a share for the prompt.
BOUND = 8.0
FAST = 3.0  # seconds; a request without a fault takes less


def silence(standins):
    for s in standins:
        s.fault("silent")


def probe(t, fleet, vm, kind):
    """One request of a kind; returns seconds and whether it was answered whole."""
    begin = time.monotonic()
    if kind == "status":
        r = ask(fleet.callers[vm], "GET", fleet.service_path, fleet.key)
        ok = r.status == 200 and r.complete
    elif kind == "paid":
        body = t.body()
        r = pay(fleet, vm, f"probe-{body}"[:60], body)
        ok = r.status == 200 and r.complete
    else:
        prompt = t.prompt(100)
        r = complete(fleet, vm, prompt, 20, kind == "stream")
        ok = judge_completion(r, prompt, 20, kind == "stream") == "whole"
    if not ok:
        t.note((kind, r))
    return time.monotonic() - begin, ok


def recovery(t, fleet, kinds, since):
    """Probes all VMs until each answers every kind fast; returns the seconds since then."""
    waiting = {(vm, kind) for vm in range(len(fleet.callers)) for kind in kinds}
    while waiting and time.monotonic() - since < BOUND + 10:
        batch = sorted(waiting)
        results = parallel([lambda p=p: probe(t, fleet, *p) for p in batch])
        waiting -= {p for p, (seconds, ok) in zip(batch, results) if ok and seconds < FAST}
    return time.monotonic() - since if not waiting else BOUND + 19


def run(t, chosen, kinds=("status", "paid", "stream", "completion"), before=None):
    with t.fleet() as fleet:
        warm = load_tool(fleet, 4, 60, "completions=2,stream=2,status=4,paid=2", t.seed,
                         "--prompt-median", "100", "--prompt-max", "400")
        if load_result(warm)["answered"] < 100:
            raise Failed("the load before the fault was not served")
        if before:
            before(fleet)
        silence(chosen(fleet))
        return recovery(t, fleet, kinds, time.monotonic()), BOUND


@case
def everything_goes_silent(t):
    """Every open connection at every stand-in: engines, services and the store."""
    return run(t, lambda fleet: list(fleet.standins.values()))


@case
def engines_go_silent(t):
    return run(t, lambda fleet: fleet.engines)


@case
def services_go_silent(t):
    return run(t, lambda fleet: fleet.services)


@case
def store_goes_silent(t):
    return run(t, lambda fleet: [fleet.table], ("status", "paid"))


@case
def silent_with_vm_killed(t):
    """The requests of the probes go to the other VMs."""
    with t.fleet() as fleet:
        load_result(load_tool(fleet, 3, 60, "completions=2,stream=2,status=4,paid=2", t.seed,
                              "--prompt-median", "100", "--prompt-max", "400"))
        fleet.kill(7)
        silence(fleet.standins.values())
        since = time.monotonic()
        fleet.callers.pop(7)
        return recovery(t, fleet, ("status", "paid", "completion"), since), BOUND


def peers_go_silent(t, chosen):
    """Open connections between daemons go silent: found by the peers, with no VM fenced."""
    relays, edit = relays_for(8)
    with t.fleet(edit_settings=edit) as fleet:
        warm = load_tool(fleet, 3, 40, "completions=2,stream=2,status=4,paid=2", t.seed,
                         "--prompt-median", "100", "--prompt-max", "400")
        load_result(warm)
        before = fleet.logs().count("event=fence ")
        cut = sum(r.silence() for r in chosen(relays))
        if not cut:
            raise Failed("no connection between daemons went through the relays")
        seconds = recovery(t, fleet, ("status", "paid", "stream", "completion"), time.monotonic())
        time.sleep(4)
        fences = fleet.logs().count("event=fence ") - before
        t.note(f"{cut} connections silent, {fences} fences")
        return (seconds if not fences else BOUND + 19), BOUND


@case
def all_peer_links_go_silent(t):
    return peers_go_silent(t, lambda relays: relays)


@case
def peer_links_of_one_vm_go_silent(t):
    return peers_go_silent(t, lambda relays: [t.random.choice(relays)])


@case
def silence_under_load(t):
    """Nothing is lost or wrong: every request is answered, or refused, or fails explicitly."""
    with t.fleet() as fleet:
        load = load_tool(fleet, 16, 40, "completions=2,stream=3,status=4,paid=2", t.seed,
                         "--prompt-median", "150", "--prompt-max", "800", "--timeout-ms", "20000")
        time.sleep(4)
        silence(fleet.standins.values())
        time.sleep(5)
        silence(fleet.standins.values())
        result = load_result(load)
        t.note({k: result[k] for k in ("sent", "answered", "not_run", "unknown", "lost", "wrong",
                                       "codes", "faults")})
        if result["answered"] < result["sent"] * 0.9:
            raise Failed("fewer than nine tenths were answered")
        return result["lost"] + result["wrong"] + result["faults"].get("broken", 0), 0


@case
def streams_resume_after_silence(t):
    """Streams under way on silent connections resume on another engine or end explicitly."""
    with t.fleet(standin_options={"engine": ["--token-us", "30000"]}) as fleet:
        prompts = [t.prompt(100) for _ in range(16)]

        def quiet():
            time.sleep(0.8)
            silence(fleet.decodes)

        def one(i):
            begin = time.monotonic()
            r = complete(fleet, i % len(fleet.callers), prompts[i], 64, True, timeout=30)
            return judge_completion(r, prompts[i], 64, True), time.monotonic() - begin, r
        results = parallel([quiet, *(lambda i=i: one(i) for i in range(16))])[1:]
        bad = [r for r in results if r[0] not in ("whole", "error")]
        whole = sum(1 for r in results if r[0] == "whole")
        t.note(bad)
        t.note(f"{whole} of 16 whole")
        if bad or whole < 14:
            return BOUND + 19, BOUND + 4
        # A stream of up to 2 s, the silence bound of 2 s, and a resumed rest.
        return max(r[1] for r in results), BOUND + 4


def ended(caller, received):
    """Reads what has come; whether the connection has ended behind it."""
    while not caller.closed_by_peer():
        caller.sock.setblocking(False)
        try:
            received[caller] = received.get(caller, b"") + caller.sock.recv(4096)
        except BlockingIOError:
            return False
    return True


@case
def silent_caller_is_dropped(t):
    """A caller's connection that never completes a request is closed; others are not affected."""
    with t.fleet(vms=2) as fleet:
        held = [Caller(fleet.callers[0]) for _ in range(20)]
        for c in held[:10]:
            c.sock.sendall(b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Le")
        begin = time.monotonic()
        received = {}
        while time.monotonic() - begin < 20 and not all([ended(c, received) for c in held]):
            time.sleep(0.2)
        seconds = time.monotonic() - begin
        if not all(b.startswith(b"HTTP/1.1 408 ") for b in received.values()):
            seconds = 98.0
        if not probe(t, fleet, 0, "status")[1]:
            seconds = 99.0
        for c in held:
            c.close()
        # request_timeout_ms is 10 s.
        return seconds, 12.0


if __name__ == "__main__":
    main(12)
