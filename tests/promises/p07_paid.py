#!/usr/bin/env python3
"""Promise 7: a non-idempotent payment or booking runs at most once."""
import json
import time

from harness import (Caller, FakeService, Failed, ask, case, fake_routes, fnv, main, parallel, pay,
                     response_bytes, wait_until)

WORK = {"service": ["--work-ms", "600"]}  # long enough to act while a call runs


def most_executions(fleet, least=1):
    """The most executions of one body; every call of a test has its own body. A test of which fewer
    bodies ran than expected proves nothing."""
    ran = fleet.bodies_executed()
    if len(ran) < least:
        raise Failed(f"{len(ran)} of at least {least} calls ran")
    return max(ran.values(), default=0)


def wait_running(fleet, body):
    """Waits until a service has received the call."""
    if wait_until(lambda: fleet.times_sent(body) > 0, 5, 0.02) is None:
        raise Failed("the call did not reach a service")


def start_and_kill(t, fleet, vm, key, body, when):
    """Sends a paid call to a VM and kills the VM once when() returns."""
    def kill():
        when()
        fleet.kill(vm)
    parallel([lambda: pay(fleet, vm, key, body), kill])


def repeat(t, fleet, vm, key, body, seconds):
    """Repeats a call until it is answered; returns the last response."""
    end = time.monotonic() + seconds
    while True:
        r = pay(fleet, vm, key, body)
        if r.status == 200 or time.monotonic() > end:
            return r
        time.sleep(0.3)


def two_at_once(t, fleet):
    wrong = 0
    for i in range(8):
        key, body = f"two-{t.seed}-{i}", t.body()
        a, b = t.random.sample(range(len(fleet.callers)), 2)
        answers = parallel([lambda: pay(fleet, a, key, body), lambda: pay(fleet, b, key, body)])
        whole = [r.body for r in answers if r.status == 200]
        others = [r for r in answers if r.status != 200]
        if not whole or len(set(whole)) > 1 or any(
                r.status != 409 or r.code != "in_progress" or r.outcome != "unknown"
                for r in others):
            wrong += 1
            t.note(answers)
    return max(most_executions(fleet, 8), 2 if wrong else 0), 1


@case
def same_key_to_two_vms_at_once(t):
    """Guards against both VMs dispatching the call."""
    with t.fleet(standin_options=WORK) as fleet:
        return two_at_once(t, fleet)


@case
def same_key_to_two_vms_with_slow_store(t):
    """The same with a store that answers after 300 ms."""
    with t.fleet(standin_options=WORK) as fleet:
        fleet.store_slow(300)
        return two_at_once(t, fleet)


@case
def vm_killed_while_claiming(t):
    """The claim may or may not have been written; the repeat must run at most once."""
    with t.fleet() as fleet:
        a = t.vm(fleet)
        b = t.vm(fleet, but=[a])
        body = t.body()
        fleet.table.fault("delay", "/txn", ms=500)
        start_and_kill(t, fleet, a, "claiming", body, lambda: time.sleep(0.2))
        fleet.store_up()
        r = repeat(t, fleet, b, "claiming", body, 2)
        t.note(r)
        if r.status != 200 and r.code != "in_progress":
            return 2, 1
        return most_executions(fleet, 1 if r.status == 200 else 0), 1


@case
def vm_killed_after_claim_answer_lost(t):
    """The claim stands, its VM is gone: nothing was sent, and nothing may be sent twice."""
    with t.fleet() as fleet:
        a = t.vm(fleet)
        b = t.vm(fleet, but=[a])
        body = t.body()
        fleet.table.fault("drop_answer", "/txn", 1)
        fleet.table.fault("delay", "/row", ms=3000)
        start_and_kill(t, fleet, a, "claimed", body, lambda: time.sleep(0.3))
        fleet.store_up()
        r = repeat(t, fleet, b, "claimed", body, 1)
        t.note(r)
        return most_executions(fleet, 0), 1


@case
def vm_killed_while_running(t):
    """The service goes on with the call; a repeat elsewhere must not run it again."""
    with t.fleet(standin_options=WORK) as fleet:
        a = t.vm(fleet)
        b = t.vm(fleet, but=[a])
        body = t.body()
        start_and_kill(t, fleet, a, "running", body, lambda: wait_running(fleet, body))
        for _ in range(4):
            r = pay(fleet, b, "running", body)
            if r.status == 200 or r.outcome != "unknown":
                t.note(r)
                return 2, 1
            time.sleep(0.4)
        return most_executions(fleet), 1


@case
def vm_killed_while_running_and_store_down(t):
    """The same while the store refuses everything, and after it is back."""
    with t.fleet(standin_options=WORK) as fleet:
        a = t.vm(fleet)
        b = t.vm(fleet, but=[a])
        body = t.body()

        def when():
            wait_running(fleet, body)
            fleet.store_down()
        start_and_kill(t, fleet, a, "running", body, when)
        time.sleep(1)
        down = pay(fleet, b, "running", body)
        fleet.store_up()
        up = repeat(t, fleet, b, "running", body, 1)
        t.note((down, up))
        if down.status == 200 or up.status == 200:
            return 2, 1
        return most_executions(fleet), 1


@case
def vm_killed_before_record(t):
    """The call has run and its response is not recorded."""
    with t.fleet(standin_options=WORK) as fleet:
        a = t.vm(fleet)
        b = t.vm(fleet, but=[a])
        body = t.body()

        def when():
            wait_running(fleet, body)
            fleet.table.fault("stall", "/txn", ms=2000)
            time.sleep(1)
        start_and_kill(t, fleet, a, "unrecorded", body, when)
        fleet.store_up()
        r = repeat(t, fleet, b, "unrecorded", body, 1)
        t.note(r)
        if r.status == 200 and r.json["executed"] != 1:
            return 2, 1
        return most_executions(fleet), 1


@case
def vm_killed_after_answer(t):
    """A repeat at another VM gets the recorded response, byte for byte."""
    with t.fleet() as fleet:
        a = t.vm(fleet)
        b = t.vm(fleet, but=[a])
        body = t.body()
        first = pay(fleet, a, "answered", body)
        fleet.kill(a)
        second = pay(fleet, b, "answered", body)
        t.note((first, second))
        if first.status != 200 or (second.status, second.body) != (200, first.body):
            return 2, 1
        return most_executions(fleet), 1


@case
def vm_frozen_while_running(t):
    """A frozen VM that goes on later must not run the call again or release its claim."""
    with t.fleet(standin_options=WORK) as fleet:
        a = t.vm(fleet)
        b = t.vm(fleet, but=[a])
        body = t.body()

        def freeze():
            wait_running(fleet, body)
            fleet.freeze(a)
            time.sleep(8)
            fleet.thaw(a)
        _, _, during = parallel([lambda: pay(fleet, a, "frozen", body), freeze,
                                 lambda: repeat(t, fleet, b, "frozen", body, 4)])
        after = repeat(t, fleet, b, "frozen", body, 3)
        t.note((during, after))
        if during.outcome == "not_run" or after.outcome == "not_run":
            return 2, 1
        return most_executions(fleet), 1


@case
def another_body_is_refused(t):
    """The same key with another body, while the first call runs and after it."""
    with t.fleet(standin_options=WORK) as fleet:
        first, second = t.body(), t.body()
        a = t.vm(fleet)
        b = t.vm(fleet, but=[a])

        def other():
            wait_running(fleet, first)
            return pay(fleet, b, "body", second)
        answer, during = parallel([lambda: pay(fleet, a, "body", first), other])
        after = [pay(fleet, vm, "body", second) for vm in (a, b)]
        wrong = sum(1 for r in [during, *after]
                    if r.status != 422 or r.code != "body_mismatch" or r.outcome != "not_run")
        t.note((answer, during, after))
        sent = fleet.times_sent(second)
        return sent + wrong + (answer.status != 200), 0


@case
def claim_answer_lost(t):
    """The claim took effect and its answer was lost: the call runs once and is answered."""
    with t.fleet() as fleet:
        a = t.vm(fleet)
        b = t.vm(fleet, but=[a])
        body = t.body()
        fleet.table.fault("drop_answer", "/txn", 1)
        first = pay(fleet, a, "lost", body)
        second = pay(fleet, b, "lost", body)
        t.note((first, second))
        if first.status != 200 or second.body != first.body:
            return 2, 1
        return most_executions(fleet), 1


@case
def claim_answer_lost_and_rival(t):
    """A lost answer while another VM claims the same key: one of them sends the call."""
    with t.fleet(standin_options=WORK) as fleet:
        worst = 0
        for i in range(6):
            body, key = t.body(), f"rival-{i}"
            a, b = t.random.sample(range(len(fleet.callers)), 2)
            fleet.table.fault("drop_answer", "/txn", 1)
            answers = parallel([lambda: pay(fleet, a, key, body), lambda: pay(fleet, b, key, body)])
            fleet.store_up()
            if not any(r.status == 200 for r in answers):
                t.note(answers)
                worst = 2
        return max(worst, most_executions(fleet, 6)), 1


@case
def record_answer_lost(t):
    """The record took effect and its answer was lost: the caller is answered all the same."""
    with t.fleet(standin_options=WORK) as fleet:
        a = t.vm(fleet)
        b = t.vm(fleet, but=[a])
        body = t.body()

        def lose():
            wait_running(fleet, body)
            fleet.table.fault("drop_answer", "/txn", 1)
        first, _ = parallel([lambda: pay(fleet, a, "record", body), lose])
        second = repeat(t, fleet, b, "record", body, 3)
        t.note((first, second))
        if first.status != 200 or second.body != first.body:
            return 2, 1
        return most_executions(fleet), 1


@case
def large_answer_is_repeated_whole(t):
    """A recorded response is the same as the first, also when the response is large."""
    text = "x" * 100000
    service = FakeService(lambda conn, rq, n: conn.sendall(response_bytes(text)))
    rows = {**fake_routes(idempotent=False), "config/endpoint/fake-1": service.row()}
    with t.fleet(rows=rows) as fleet:
        answers = [ask(fleet.callers[vm], "POST", "/fake", fleet.key, "{}",
                       {"Idempotency-Key": "large"}) for vm in (0, 1)]
        t.note([(r.status, len(r.body), r.code) for r in answers])
        wrong = sum(1 for r in answers if r.status == 200 and r.body.decode() != text)
        return max(len(service.requests), 1) - 1 + wrong + (answers[0].status != 200), 0


@case
def binary_answer_is_repeated_whole(t):
    """A recorded response that contains NUL bytes is the same as the first; beyond the first NUL the
    repeat once had memory of the daemon in place of the response."""
    data = b"head\x00" + bytes(range(256)) * 200
    service = FakeService(lambda conn, rq, n: conn.sendall(response_bytes(data)))
    rows = {**fake_routes(idempotent=False), "config/endpoint/fake-1": service.row()}
    with t.fleet(rows=rows) as fleet:
        answers = [ask(fleet.callers[vm], "POST", "/fake", fleet.key, "{}",
                       {"Idempotency-Key": "binary"}) for vm in (0, 1)]
        t.note([(r.status, len(r.body), r.code) for r in answers])
        wrong = sum(1 for r in answers if r.status != 200 or r.body != data)
        return max(len(service.requests), 1) - 1 + wrong, 0


@case
def store_down_sends_nothing(t):
    """Without the store a call with a key is refused as not run, and it is true."""
    with t.fleet() as fleet:
        fleet.store_down()
        bodies = [t.body() for _ in range(5)]
        answers = [pay(fleet, t.vm(fleet), f"down-{i}", b) for i, b in enumerate(bodies)]
        wrong = [r for r in answers if r.status != 503 or r.code != "store_unavailable"
                 or r.outcome != "not_run" or "retry-after" not in r.headers]
        t.note(wrong)
        sent = sum(fleet.times_sent(b) for b in bodies)
        fleet.store_up()
        again = [repeat(t, fleet, t.vm(fleet), f"down-{i}", b, 3) for i, b in enumerate(bodies)]
        t.note(again)
        wrong += [r for r in again if r.status != 200]
        return sent + len(wrong) + max(0, most_executions(fleet, 5) - 1), 0


@case
def store_silent_sends_nothing(t):
    """The same with a store that accepts requests and never answers."""
    with t.fleet() as fleet:
        fleet.table.fault("stall", ms=30000)
        body = t.body()
        r = pay(fleet, t.vm(fleet), "silent", body)
        t.note(r)
        sent = fleet.times_sent(body)
        return sent + (r.outcome != "not_run"), 0


@case
def store_down_after_claim(t):
    """The store goes down while the call runs: the caller is answered, a repeat runs nothing."""
    with t.fleet(standin_options=WORK) as fleet:
        a = t.vm(fleet)
        b = t.vm(fleet, but=[a])
        body = t.body()

        def down():
            wait_running(fleet, body)
            fleet.store_down()
            time.sleep(3)
            fleet.store_up()
        first, _ = parallel([lambda: pay(fleet, a, "after", body, timeout=40), down])
        second = repeat(t, fleet, b, "after", body, 8)
        t.note((first, second))
        if first.status != 200 or second.body != first.body:
            return 2, 1
        return most_executions(fleet), 1


@case
def without_header_sent_once(t):
    """Without the header a call is sent at most once, whatever becomes of its answer."""
    with t.fleet() as fleet:
        worst, wrong = 0, 0
        for kind in ("close_after_read", "drop_answer", "cut", "refuse", "stall", "die"):
            body = t.body()
            # A dead service stays dead; leave one alive for the end.
            hit = fleet.services[:1] if kind == "die" else fleet.services
            for s in hit:
                s.fault(kind, fleet.paid_path, ms=7000)
            r = pay(fleet, t.vm(fleet), None, body, timeout=12)
            for s in fleet.services:
                s.clear()
            sent = fleet.times_sent(body)
            worst = max(worst, sent)
            if r.complete and r.outcome == "not_run" and sent and kind != "refuse":
                wrong += 1
                t.note((kind, r))
        return worst + wrong, 1


@case
def without_header_on_silent_connections(t):
    """Connections used before go silent; a call must go over a fresh one."""
    with t.fleet() as fleet:
        vm = t.vm(fleet)
        for _ in range(12):
            pay(fleet, vm, None, t.body())
        for s in fleet.services:
            s.fault("silent")
        bodies = [t.body() for _ in range(6)]
        answers = [pay(fleet, vm, None, b) for b in bodies]
        t.note([r for r in answers if r.status != 200])
        ran = fleet.bodies_executed()
        worst = max((ran.get(f"{fnv(b.encode()):016x}", 0) for b in bodies), default=0)
        return worst if all(r.status == 200 for r in answers) else 2, 1


@case
def caller_leaves_and_repeats(t):
    """A caller that closes in the middle and asks again elsewhere."""
    with t.fleet(standin_options=WORK) as fleet:
        worst = 0
        for i in range(6):
            body, key = t.body(), f"leaver-{i}"
            a, b = t.random.sample(range(len(fleet.callers)), 2)
            with Caller(fleet.callers[a]) as c:
                c.send("POST", fleet.paid_path, fleet.key, body, {"Idempotency-Key": key})
                time.sleep(t.random.uniform(0, 0.7))
            r = repeat(t, fleet, b, key, body, 4)
            if r.status != 200:
                t.note(r)
                worst = 2
        return max(worst, most_executions(fleet, 6)), 1


@case
def random_faults(t):
    """Many calls under random faults of services and store, with a VM killed on the way."""
    with t.fleet() as fleet:
        victim = t.vm(fleet)
        kinds = ("drop_answer", "delay", "close_after_read", "cut", "refuse")

        def disturb():
            for i in range(30):
                s = t.random.choice(fleet.services + [fleet.table])
                s.fault(t.random.choice(kinds), "/txn" if s is fleet.table else fleet.paid_path,
                        t.random.randint(1, 4), ms=200)
                time.sleep(0.15)
                if i == 12:
                    fleet.kill(victim)

        def calls(worker):
            for i in range(12):
                body = json.dumps({"order": f"{worker}-{i}"})
                for _ in range(3):
                    vm = t.random.randrange(len(fleet.callers))
                    if pay(fleet, vm, f"{worker}-{i}", body).status == 200:
                        break
        parallel([disturb, *((lambda w=w: calls(w)) for w in range(8))])
        t.note({k: n for k, n in fleet.bodies_executed().items() if n > 1})
        return most_executions(fleet, 50), 1


if __name__ == "__main__":
    main(7)
