#!/usr/bin/env python3
"""Promise 5: a caller receives the complete response to its own request, even when responses
arrive late or crossed. An answer that was cut never looks complete."""
import socket
import time

from harness import (Caller, FakeService, ask, case, complete, completion_body, fake_routes,
                     judge_completion, main, parallel, request_bytes, reset_connection,
                     response_bytes)


def run_requests(t, fleet, count, tokens=800, max_tokens=64, stream=None, disturb=None, key=1):
    """Sends requests side by side; returns the judgements by name."""
    plans = [(t.prompt(t.random.randint(20, tokens)), max_tokens,
              t.random.random() < 0.6 if stream is None else stream,
              t.random.randrange(len(fleet.callers))) for _ in range(count)]

    def one(plan):
        prompt, limit, as_stream, vm = plan
        r = complete(fleet, vm, prompt, limit, as_stream, fleet.account_key(key))
        verdict = judge_completion(r, prompt, limit, as_stream)
        if verdict != "whole":
            t.note((verdict, r))
        return verdict
    functions = [lambda p=p: one(p) for p in plans]
    if disturb:
        functions.append(disturb)
    verdicts = parallel(functions)[:count]
    return {v: verdicts.count(v) for v in set(verdicts)}


def wrong_and_few(counts, count, least):
    """The figure: wrong answers, plus whole ones that are missing from the least expected."""
    return counts.get("wrong", 0) + max(0, int(count * least) - counts.get("whole", 0)), 0


@case
def many_at_once(t):
    """Guards against crossed answers: each prompt has its own output."""
    with t.fleet() as fleet:
        return wrong_and_few(run_requests(t, fleet, 120), 120, 1)


def engine_fault(t, kind, least, engines="decodes", hit=None, vm_killed=False, requests=24, **more):
    """Sets a fault at some engines, by default at all but two, for two requests each. An explicit
    error is allowed, so that least is only the share of whole answers that a test must show."""
    with t.fleet() as fleet:
        all_engines = getattr(fleet, engines)
        for e in t.random.sample(all_engines, hit or len(all_engines) - 2):
            e.fault(kind, count=2, **more)

        def disturb():
            if vm_killed:
                time.sleep(0.8)
                fleet.kill(t.vm(fleet))
        return wrong_and_few(run_requests(t, fleet, requests, disturb=disturb), requests, least)


@case
def decode_engine_dies_mid_stream(t):
    """The stream resumes elsewhere without a missing or doubled token."""
    return engine_fault(t, "die", 0.9, hit=2, path="/decode", after_tokens=5)


@case
def most_decode_engines_die_mid_stream(t):
    """Two engines stay; a stream may lose several in turn and must resume or end explicitly."""
    return engine_fault(t, "die", 0.3, path="/decode", after_tokens=5)


@case
def slow_prefill_engine_is_ejected(t):
    """Guards against an engine that is slow but not dead and keeps getting work: its latency has to
    be compared with the median of its pool."""
    with t.fleet(vms=2, standin_options={"prefill-1": ["--prefill-us-per-token", "600"]}) as fleet:
        counts = {}
        for _ in range(5):
            counts = run_requests(t, fleet, 40, tokens=400, max_tokens=8)
        ejected = [line for line in fleet.logs().splitlines() if "event=eject " in line]
        t.note(ejected)
        others = [line for line in ejected if "endpoint=prefill-1 " not in line]
        wrong, bound = wrong_and_few(counts, 40, 1)
        return wrong + (0 if len(ejected) > len(others) else 1), bound


@case
def decode_engine_dies_at_first_token(t):
    return engine_fault(t, "die", 0.9, hit=2, path="/decode", after_tokens=1)


@case
def decode_engine_dies_during_transfer(t):
    return engine_fault(t, "die", 0.9, hit=2, path="/kv/import")


@case
def decode_stream_is_cut(t):
    return engine_fault(t, "cut", 0.9, path="/decode", after_tokens=7)


@case
def decode_stream_is_cut_and_vm_killed(t):
    """The killed VM's own streams may break, and visibly so."""
    return engine_fault(t, "cut", 0.5, path="/decode", after_tokens=7, vm_killed=True)


@case
def decode_stream_stalls(t):
    return engine_fault(t, "stall", 0.9, path="/decode", after_tokens=4, ms=20000)


@case
def decode_stream_pauses(t):
    """A pause longer than the silence bound: the late tokens of the old stream must not mix with
    those of the resumed one."""
    return engine_fault(t, "delay", 0.9, path="/decode", after_tokens=4, ms=3500)


@case
def prefill_engine_dies(t):
    return engine_fault(t, "die", 0.9, "prefills", path="/prefill")


@case
def prefill_answers_lost(t):
    return engine_fault(t, "drop_answer", 0.9, "prefills", path="/prefill")


@case
def prefill_answers_cut(t):
    return engine_fault(t, "cut", 0.9, "prefills", path="/prefill")


@case
def prefill_answers_late(t):
    """Later than the router waits, then on a connection that must not be used again."""
    return engine_fault(t, "delay", 0.6, "prefills", path="/prefill", ms=9000, requests=16)


@case
def import_answers_lost(t):
    return engine_fault(t, "drop_answer", 0.9, path="/kv/import")


@case
def import_answers_cut(t):
    return engine_fault(t, "cut", 0.9, path="/kv/import")


@case
def exports_stall(t):
    return engine_fault(t, "stall", 0.9, "prefills", path="/kv/export", ms=30000)


@case
def all_decode_engines_die(t):
    """Nothing is left to resume on: every stream must end with an explicit error."""
    with t.fleet() as fleet:
        for d in fleet.decodes:
            d.fault("die", "/decode", after_tokens=5)
        counts = run_requests(t, fleet, 10)
        return counts.get("wrong", 0) + counts.get("broken", 0) + counts.get("whole", 0), 0


def faulty_streams(t, option, least):
    """Decode engines whose streams repeat or leave out tokens."""
    with t.fleet(standin_options={"engine": [option, "7"]}) as fleet:
        return wrong_and_few(run_requests(t, fleet, 16), 16, least)


@case
def engines_repeat_tokens(t):
    """Guards against a token that reaches the caller twice."""
    return faulty_streams(t, "--repeat-every", 1.0)


@case
def engines_skip_tokens(t):
    """Guards against an answer with a hole that looks whole."""
    return faulty_streams(t, "--skip-every", 0.0)


@case
def vm_killed_mid_answer(t):
    """A killed VM's answers are broken visibly, streamed and whole ones."""
    with t.fleet(standin_options={"engine": ["--token-us", "40000"]}) as fleet:
        vm = t.vm(fleet)
        prompts = [t.prompt(200) for _ in range(10)]

        def kill():
            time.sleep(0.6)
            fleet.kill(vm)

        def one(i):
            r = complete(fleet, vm, prompts[i], 64, i % 2 == 0)
            return judge_completion(r, prompts[i], 64, i % 2 == 0)
        verdicts = parallel([kill, *(lambda i=i: one(i) for i in range(10))])[1:]
        t.note(verdicts)
        if "broken" not in verdicts:
            return 1, 0
        return verdicts.count("wrong"), 0


@case
def vm_frozen_mid_stream(t):
    """After it goes on, the streams end with an explicit error or whole, never wrong."""
    with t.fleet(standin_options={"engine": ["--token-us", "30000"]}) as fleet:
        vm = t.vm(fleet)
        prompts = [t.prompt(200) for _ in range(10)]

        def freeze():
            time.sleep(0.6)
            fleet.freeze(vm)
            time.sleep(9)
            fleet.thaw(vm)

        def one(i):
            r = complete(fleet, vm, prompts[i], 64, i % 2 == 0)
            verdict = judge_completion(r, prompts[i], 64, i % 2 == 0)
            if verdict in ("wrong", "broken"):
                t.note((verdict, r))
            return verdict
        verdicts = parallel([freeze, *(lambda i=i: one(i) for i in range(10))])[1:]
        t.note(verdicts)
        return verdicts.count("wrong") + verdicts.count("broken"), 0


@case
def decode_engine_dies_with_store_down(t):
    with t.fleet() as fleet:
        fleet.store_down()
        for d in fleet.decodes[:2]:
            d.fault("die", "/decode", after_tokens=5)
        return wrong_and_few(run_requests(t, fleet, 24), 24, 0.9)


@case
def slow_callers(t):
    """Callers that send byte by byte, and read late, still get their own answers."""
    with t.fleet() as fleet:
        def one(i):
            prompt = t.prompt(40 + i)
            vm = i % len(fleet.callers)
            with Caller(fleet.callers[vm]) as c:
                data = request_bytes("POST", "/v1/completions", fleet.key,
                                     completion_body(fleet, prompt, 64, i % 2 == 0))
                for k in range(0, len(data), 16):
                    c.sock.sendall(data[k:k + 16])
                    time.sleep(0.01)
                time.sleep(1.5)
                r = c.receive()
            verdict = judge_completion(r, prompt, 64, i % 2 == 0)
            if verdict != "whole":
                t.note((verdict, r))
            return verdict
        verdicts = parallel([lambda i=i: one(i) for i in range(12)])
        return 12 - verdicts.count("whole"), 0


@case
def kept_alive_and_pipelined(t):
    """Requests on one connection, the second sent before the first is answered."""
    with t.fleet() as fleet:
        wrong = 0
        for vm in range(0, len(fleet.callers), 2):
            prompts = [t.prompt(60) for _ in range(3)]
            with Caller(fleet.callers[vm]) as c:
                for p in prompts:
                    c.send("POST", "/v1/completions", fleet.key,
                           completion_body(fleet, p, 40, False))
                for p in prompts:
                    r = c.receive()
                    if judge_completion(r, p, 40, False) != "whole":
                        wrong += 1
                        t.note(r)
        return wrong, 0


# --- services under byte control ---

def echo(request):
    """The target of a request, which its answer repeats."""
    return request.split(b" ", 2)[1].decode()


def fake_service(t, behave, requests=24, vms=2, least=0, pause=0.0):
    """Sends GET /fake?n=I to a service that misbehaves; counts answers that aren't their own."""
    service = FakeService(behave)
    rows = {**fake_routes(idempotent=True), "config/endpoint/fake-1": service.row()}
    with t.fleet(rows=rows, vms=vms) as fleet:
        def one(i):
            path = f"/fake?n={i}-{t.seed}"
            r = ask(fleet.callers[i % vms], "GET", path, fleet.key)
            if r.complete and r.status == 200:
                right = r.body.decode(errors="replace") == path
                if not right:
                    t.note((path, r))
                return "whole" if right else "wrong"
            return "error" if r.complete and r.outcome else "broken"
        verdicts = []
        for batch in range(0, requests, 4):
            verdicts += parallel([lambda i=i: one(i) for i in range(batch, batch + 4)])
            time.sleep(pause)
    service.close()
    t.note({v: verdicts.count(v) for v in set(verdicts)})
    return (verdicts.count("wrong") + verdicts.count("broken")
            + max(0, least - verdicts.count("whole"))), 0


@case
def service_answers_late(t):
    """An answer after the deadline, on a connection kept alive, meets the next request."""
    def behave(conn, request, n):
        if n % 3 == 1:
            time.sleep(2.4)
        conn.sendall(response_bytes(echo(request)))
    return fake_service(t, behave, requests=12, least=6)


@case
def service_answers_twice(t):
    """Two responses to one request: the second must not answer the next request."""
    def behave(conn, request, n):
        answer = response_bytes(echo(request))
        conn.sendall(answer + answer)
    return fake_service(t, behave, least=12)


@case
def service_answers_twice_while_idle(t):
    """The second response arrives before the connection is used again."""
    def behave(conn, request, n):
        time.sleep(0.05)
        answer = response_bytes(echo(request))
        conn.sendall(answer)
        time.sleep(0.02)
        conn.sendall(answer)
    return fake_service(t, behave, least=12, pause=0.2)


@case
def service_answers_twice_later(t):
    """The second response arrives when the connection is already in use for the next request."""
    def behave(conn, request, n):
        answer = response_bytes(echo(request))
        conn.sendall(answer)
        time.sleep(0.02)
        conn.sendall(answer)
    return fake_service(t, behave, least=6)


@case
def service_answer_cut(t):
    """Closed in the middle of a body whose length was announced."""
    def behave(conn, request, n):
        answer = response_bytes(echo(request))
        if n % 2:
            conn.sendall(answer[:-3])
            return False
        return conn.sendall(answer)
    return fake_service(t, behave)


@case
def service_answer_cut_in_chunks(t):
    """Closed without the last chunk."""
    def behave(conn, request, n):
        text = echo(request).encode()
        conn.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                     + b"%x\r\n%s\r\n" % (len(text), text))
        if n % 2:
            return False
        return conn.sendall(b"0\r\n\r\n")
    return fake_service(t, behave)


@case
def service_answer_reset(t):
    """Reset in the middle of the head or the body."""
    def behave(conn, request, n):
        answer = response_bytes(echo(request))
        if n % 3:
            conn.sendall(answer[:10 if n % 3 == 1 else -2])
            reset_connection(conn)
            return False
        return conn.sendall(answer)
    return fake_service(t, behave)


@case
def service_answers_garbage(t):
    """Bytes that are no HTTP, or headers that contradict each other."""
    def behave(conn, request, n):
        text = echo(request)
        if n % 3 == 1:
            conn.sendall(b"\x00\x01garbage\r\n\r\n" + text.encode())
            return False
        if n % 3 == 2:
            conn.sendall(response_bytes(text, headers="Content-Length: 1\r\n"))
            return False
        return conn.sendall(response_bytes(text))
    return fake_service(t, behave)


@case
def service_answers_with_a_broken_head(t):
    """The same for a status line or a header that HTTP/1 does not have, in an answer that is whole."""
    broken = [b"HTTP/1.1 000 OK\r\n", b"HTTP/1.1 0200 OK\r\n", b"HTTP/2.0 200 OK\r\n",
              b"HTTP/1.1 099 X\r\n\r\nHTTP/1.1 200 OK\r\n", b"HTTP/1.1 200 OK\r\nX Y: v\r\n",
              b"HTTP/1.1 200 OK\r\nX : v\r\n", b"HTTP/1.1 200 OK\r\nX: v\r\n Y: w\r\n",
              b"HTTP/1.1 200 OK\r\nX\1: v\r\n", b"HTTP/1.1 200 OK\r\nContent-Length : 3\r\n",
              b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n"]

    def behave(conn, request, n):
        if n % 2:
            conn.sendall(broken[n // 2 % len(broken)] + b"Content-Length: 6\r\n\r\nbroken")
            return False
        return conn.sendall(response_bytes(echo(request)))
    return fake_service(t, behave, requests=40, pause=0.1)


@case
def service_resets_during_an_upload(t):
    """It answers a long request at once without a length, sends a part and resets the connection."""
    def behave(conn, number):
        conn.recv(100)
        conn.sendall(b"HTTP/1.1 200 OK\r\n\r\npart")
        reset_connection(conn)
        return False

    service = FakeService(None, behave)
    service.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    rows = {**fake_routes(idempotent=False), "config/endpoint/fake-1": service.row()}
    with t.fleet(rows=rows, vms=2) as fleet:
        answers = [ask(fleet.callers[i % 2], "POST", "/fake", fleet.key, b"x" * 900000)
                   for i in range(12)]
    t.note(answers)
    service.close()
    if service.connections == 0:
        return None, 0
    return sum(not r.complete or not r.outcome for r in answers), 0


if __name__ == "__main__":
    main(5)
