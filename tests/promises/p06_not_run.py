#!/usr/bin/env python3
"""Promise 6: a refusal that says "not run" is true."""
import json
import threading
import time

from harness import (Caller, FakeService, Failed, ask, case, complete, fake_routes, fnv, main,
                     parallel, pay, reset_connection, response_bytes)


def ran(fleet, body):
    """How often a paid call was executed."""
    return fleet.bodies_executed().get(f"{fnv(body.encode()):016x}", 0)


def check_calls(t, fleet, calls, key=True):
    """Sends paid calls, each with its own body; counts lies: refused as not run, and executed or
    received by a service that did not refuse it."""
    lies = 0
    said = 0
    for _ in range(calls):
        body = t.body()
        r = pay(fleet, t.vm(fleet), f"k-{body}"[:60] if key else None, body, timeout=15)
        if r.complete and r.outcome == "not_run":
            said += 1
            time.sleep(0.05)
            if ran(fleet, body):
                lies += 1
                t.note((body, r))
    return lies, said


def service_fault(t, kind, second=None, **more):
    """Faults at all services; a not_run is a lie when the service executed the call."""
    with t.fleet() as fleet:
        if second:
            second(fleet)
        lies = 0
        for key in (True, False):
            for s in fleet.services:
                s.fault(kind, fleet.paid_path, 2, **more)
            n, _ = check_calls(t, fleet, 8, key)
            lies += n
            for s in fleet.services:
                s.clear()
        return lies, 0


@case
def service_drops_answer(t):
    """Executed, and the connection closed without an answer."""
    return service_fault(t, "drop_answer")


@case
def service_drops_answer_and_store_slow(t):
    return service_fault(t, "drop_answer", lambda fleet: fleet.store_slow(300))


@case
def service_closes_after_read(t):
    return service_fault(t, "close_after_read")


@case
def service_cuts_answer(t):
    return service_fault(t, "cut")


@case
def service_refuses(t):
    return service_fault(t, "refuse")


@case
def service_answers_after_deadline(t):
    """Executed only after the router has given up."""
    with t.fleet() as fleet:
        for s in fleet.services:
            s.fault("delay", fleet.paid_path, ms=6500)
        bodies = [t.body() for _ in range(4)]
        answers = parallel([lambda b=b: pay(fleet, t.vm(fleet), None, b) for b in bodies])
        time.sleep(3)
        lies = [(b, r) for b, r in zip(bodies, answers)
                if r.outcome == "not_run" and (ran(fleet, b) or fleet.times_sent(b))]
        t.note(answers)
        return len(lies), 0


@case
def service_dies(t):
    """Some services die with a request in hand, others refuse connections from then on."""
    with t.fleet() as fleet:
        for s in fleet.services[:3]:
            s.fault("die", fleet.paid_path, 1)
        lies, _ = check_calls(t, fleet, 16, False)
        return lies, 0


@case
def all_services_dead(t):
    """Refused connections: "not run" must be said, and is true."""
    with t.fleet() as fleet:
        for s in fleet.services:
            s.fault("die")
            s.hold_port()
        time.sleep(0.3)
        wrong = 0
        for i in range(6):
            r = pay(fleet, t.vm(fleet), f"dead-{i}" if i % 2 else None, t.body())
            if r.outcome != "not_run":
                wrong += 1
                t.note(r)
        return wrong, 0


# --- resets at any byte ---

def fake_calls(t, on_accept, behave, idempotent=False, calls=8):
    """Calls a service under byte control; executed holds the bodies that it has acted on. Returns
    (lies, refusals)."""
    executed, received = set(), []
    lock = threading.Lock()

    def accept(conn, number):
        return on_accept(conn, number, received, executed, lock)

    service = FakeService(lambda conn, rq, n: behave(conn, rq, n, executed, lock), accept)
    rows = {**fake_routes(idempotent), "config/endpoint/fake-1": service.row()}
    with t.fleet(rows=rows, vms=2) as fleet:
        lies = said = 0
        for i in range(calls):
            body = t.body()
            r = ask(fleet.callers[i % 2], "POST", "/fake", fleet.key, body,
                    {"Idempotency-Key": f"fake-{i}"} if i % 3 == 0 else None, timeout=10)
            if r.complete and r.outcome == "not_run":
                said += 1
                with lock:
                    touched = body in executed or any(body[:30].encode() in x for x in received)
                if touched:
                    lies += 1
                    t.note((body, r))
    service.close()
    return lies, said


def read_some(conn, n):
    data = b""
    while len(data) < n:
        more = conn.recv(n - len(data))
        if not more:
            break
        data += more
    return data


@case
def reset_before_any_byte(t):
    """The connection is accepted and reset at once: nothing was read."""
    def accept(conn, number, received, executed, lock):
        reset_connection(conn)
        return False
    return fake_calls(t, accept, lambda *a: False)[0], 0


@case
def reset_during_request(t):
    """Half of the request was read; the service may have acted on it."""
    def accept(conn, number, received, executed, lock):
        data = read_some(conn, 220)
        with lock:
            received.append(data)
        reset_connection(conn)
        return False
    return fake_calls(t, accept, lambda *a: False)[0], 0


@case
def reset_after_last_byte(t):
    """The whole request was read and acted on, then the connection was reset."""
    def behave(conn, request, n, executed, lock):
        with lock:
            executed.add(request.partition(b"\r\n\r\n")[2].decode())
        reset_connection(conn)
        return False
    return fake_calls(t, lambda *a: True, behave)[0], 0


@case
def reset_after_last_byte_idempotent(t):
    """The same on an idempotent route, where the call is tried again."""
    def behave(conn, request, n, executed, lock):
        with lock:
            executed.add(request.partition(b"\r\n\r\n")[2].decode())
        reset_connection(conn)
        return False
    return fake_calls(t, lambda *a: True, behave, idempotent=True)[0], 0


@case
def closed_after_head_of_answer(t):
    def behave(conn, request, n, executed, lock):
        with lock:
            executed.add(request.partition(b"\r\n\r\n")[2].decode())
        conn.sendall(response_bytes("x" * 50)[:60])
        return False
    return fake_calls(t, lambda *a: True, behave)[0], 0


@case
def refused_and_then_run(t):
    """The first endpoint acts and resets, the next would refuse: the outcome stays unknown."""
    def behave(conn, request, n, executed, lock):
        if n % 2:
            with lock:
                executed.add(request.partition(b"\r\n\r\n")[2].decode())
            reset_connection(conn)
            return False
        conn.sendall(response_bytes("busy", "503 Service Unavailable"))
        return True
    return fake_calls(t, lambda *a: True, behave, idempotent=True)[0], 0


# --- model requests ---

def check_prompts(t, fleet, count, tokens=300, disturb=None, timeout=20):
    """Sends model requests; a not_run is a lie when an engine received the prompt and did not
    refuse it."""
    prompts = [t.prompt(t.random.randint(20, tokens)) for _ in range(count)]
    functions = [lambda p=p: complete(fleet, t.vm(fleet), p, 40, t.random.random() < 0.5,
                                      timeout=timeout) for p in prompts]
    if disturb:
        functions.append(disturb)
    answers = parallel(functions)[:count]
    lies = 0
    for p, r in zip(prompts, answers):
        outcome = (r.stream_error() or {}).get("outcome") if r.status == 200 else r.outcome
        if outcome == "not_run" and fleet.prompts_seen(p):
            lies += 1
            t.note(r)
    return lies


def engine_fault(t, engines, kind, **more):
    with t.fleet() as fleet:
        for e in getattr(fleet, engines):
            e.fault(kind, **more)
        return check_prompts(t, fleet, 12), 0


@case
def prefill_answers_dropped(t):
    return engine_fault(t, "prefills", "drop_answer", path="/prefill")


@case
def prefill_stalls(t):
    return engine_fault(t, "prefills", "stall", path="/prefill", ms=20000)


@case
def prefill_engines_die(t):
    return engine_fault(t, "prefills", "die", path="/prefill")


@case
def imports_fail(t):
    return engine_fault(t, "decodes", "close_after_read", path="/kv/import")


@case
def decode_streams_cut(t):
    return engine_fault(t, "decodes", "cut", path="/decode", after_tokens=2)


@case
def queue_too_long(t):
    """More than the engines can take in time: what is refused was never begun."""
    with t.fleet(standin_options={"prefill": ["--prefill-us-per-token", "400"]}) as fleet:
        return check_prompts(t, fleet, 60, 8000, timeout=40), 0


@case
def vm_killed_between_dispatch_and_answer(t):
    """The callers of the killed VM see a broken connection, and no "not run" for what ran."""
    with t.fleet(standin_options={"service": ["--work-ms", "700"]}) as fleet:
        vm = t.vm(fleet)
        bodies = [t.body() for _ in range(6)]

        def kill():
            time.sleep(0.4)
            fleet.kill(vm)
        answers = parallel([kill, *(lambda b=b: pay(fleet, vm, None, b) for b in bodies)])[1:]
        time.sleep(1)
        lies = [r for b, r in zip(bodies, answers) if r.outcome == "not_run" and ran(fleet, b)]
        if not any(ran(fleet, b) for b in bodies):
            raise Failed("no call ran")
        t.note(answers)
        return len(lies), 0


@case
def vm_frozen_between_dispatch_and_answer(t):
    """The VM goes on after its session has ended: what it dispatched may have run."""
    with t.fleet(standin_options={"service": ["--work-ms", "700"]}) as fleet:
        vm = t.vm(fleet)
        bodies = [t.body() for _ in range(6)]

        def freeze():
            time.sleep(0.4)
            fleet.freeze(vm)
            time.sleep(8)
            fleet.thaw(vm)
        answers = parallel([freeze, *(lambda b=b, i=i: pay(fleet, vm, f"f{i}" if i % 2 else None, b)
                                      for i, b in enumerate(bodies))])[1:]
        lies = [r for b, r in zip(bodies, answers) if r.outcome == "not_run" and ran(fleet, b)]
        t.note(answers)
        return len(lies), 0


@case
def model_requests_on_frozen_vm(t):
    with t.fleet(standin_options={"engine": ["--token-us", "50000"]}) as fleet:
        vm = t.vm(fleet)

        def freeze():
            time.sleep(0.5)
            fleet.freeze(vm)
            time.sleep(8)
            fleet.thaw(vm)
        return check_prompts(t, fleet, 24, disturb=freeze), 0


@case
def store_fails_at_random(t):
    """Claims refused, lost and slow: a refused call was not sent."""
    with t.fleet() as fleet:
        lies = 0
        for kind in ("refuse", "drop_answer", "close_after_read", "delay", "stall", "cut"):
            fleet.table.fault(kind, "/txn", 3, ms=2500)
            n, _ = check_calls(t, fleet, 4)
            lies += n
            fleet.store_up()
        return lies, 0


@case
def caller_too_slow(t):
    """A request that is never sent whole is not run."""
    with t.fleet(vms=2) as fleet:
        body = t.body()
        with Caller(fleet.callers[0], 20) as c:
            c.sock.sendall(f"POST {fleet.paid_path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
                           f"{fleet.key}\r\nContent-Length: {len(body) + 1}\r\n\r\n{body}".encode())
            c.receive(timeout=14)
        return fleet.times_sent(body), 0


@case
def refusals_name_their_outcome(t):
    """Every refusal carries code and outcome, 429 and 503 carry Retry-After."""
    with t.fleet(vms=2) as fleet:
        wrong = 0
        a = fleet.callers[0]
        answers = [
            ask(a, "POST", "/v1/completions", fleet.key, "{"),
            ask(a, "POST", "/v1/completions", fleet.key, {"model": "none", "prompt": "x"}),
            ask(a, "GET", "/v1/completions", fleet.key),
            ask(a, "GET", "/nothing", fleet.key),
            ask(a, "DELETE", fleet.paid_path, fleet.key),
            ask(a, "GET", fleet.service_path),
            ask(a, "GET", fleet.service_path, "x"),
            ask(a, "POST", "/v1/completions", fleet.key,
                json.dumps({"model": fleet.model, "prompt": "x" * 300000})),
            pay(fleet, 0, "k" * 5000, t.body()),
        ]
        for r in answers:
            if not r.complete or not r.code or r.outcome != "not_run":
                wrong += 1
                t.note(r)
            if r.status in (429, 503) and "retry-after" not in r.headers:
                wrong += 1
                t.note(r)
        return wrong, 0


if __name__ == "__main__":
    main(6)
