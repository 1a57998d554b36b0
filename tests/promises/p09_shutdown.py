#!/usr/bin/env python3
"""Promise 9: a graceful shutdown cuts off no request."""
import json
import threading
import time

from harness import (Caller, Failed, Response, ask, case, complete, completion_body,
                     judge_completion, load_result, load_tool, main, output_of, parallel,
                     wait_until)

SLOW_TOKENS = {"engine": ["--token-us", "60000"]}  # streams of up to 4 s
EXIT_BOUND = 30  # seconds; the longest request takes about 5
# A balancer looks at /readyz and stops sending to a VM that isn't ready this long afterwards.
BALANCER_LAG = 1.0
# The daemon takes new requests for at most 30 s after SIGTERM when they don't stop coming.
ENDLESS_EXIT_BOUND = 45


class Steady:
    """Callers that keep sending short requests to one VM on kept-alive connections, until stopped.
    cut counts requests that were sent on an open connection and not answered; refused ones must be
    not run."""

    def __init__(self, fleet, vm, count, endless=False):
        self.fleet, self.vm, self.endless = fleet, vm, endless
        self.unready_since = None
        self.stop = threading.Event()
        self.lock = threading.Lock()
        self.answered = self.refused = self.no_connection = 0
        self.cut = []
        self.threads = [threading.Thread(target=self._run, args=(i,)) for i in range(count)]
        self.threads.append(threading.Thread(target=self._balance))
        for thread in self.threads:
            thread.start()

    def end(self):
        self.stop.set()
        for thread in self.threads:
            thread.join()

    def _balance(self):
        while not self.stop.is_set():
            if self.unready_since is None and not self.fleet.ready(self.vm):
                self.unready_since = time.monotonic()
            time.sleep(0.3)

    def _may_connect(self):
        return (self.endless or self.unready_since is None
                or time.monotonic() < self.unready_since + BALANCER_LAG)

    def _run(self, worker):
        c, n = None, 0
        while not self.stop.is_set():
            n += 1
            try:
                if c is None or c.closed_by_peer():
                    if not self._may_connect():
                        return
                    c = Caller(self.fleet.callers[self.vm])
            except OSError:
                with self.lock:
                    self.no_connection += 1
                c = None
                time.sleep(0.05)
                continue
            c = self._one(c, f"{worker}-{n}")
            time.sleep(0.02)

    def _one(self, c, name):
        paid = int(name.rsplit("-", 1)[1]) % 4 == 0
        path = self.fleet.paid_path if paid else self.fleet.service_path
        try:
            c.send("POST" if paid else "GET", path, self.fleet.key,
                   json.dumps({"order": name}) if paid else None)
            r = c.receive()
        except OSError as e:
            r = None
            reason = str(e)
        with self.lock:
            if r and r.complete and r.status == 200:
                self.answered += 1
            elif r and r.complete and r.outcome == "not_run":
                self.refused += 1
            else:
                self.cut.append(repr(r) if r else reason)
        if r is None or not r.complete or r.headers.get("connection") == "close":
            c.close()
            return None
        return c


def shutdown(t, fleet, disturb=None, prompts=10, tokens=500, endless=False):
    """Terminates a VM with streams, queued work, idle connections and new requests. Returns the
    number of requests cut off."""
    vm = t.vm(fleet)
    bound = ENDLESS_EXIT_BOUND if endless else EXIT_BOUND
    steady = Steady(fleet, vm, 6, endless)
    idle = [Caller(fleet.callers[vm]) for _ in range(5)]
    for c in idle:
        c.send("GET", fleet.service_path, fleet.key)
        c.receive()
    plans = [t.prompt(t.random.randint(50, tokens)) for _ in range(prompts)]
    exited = []

    def one(i):
        r = complete(fleet, vm, plans[i], 64, i % 3 != 0, timeout=40)
        verdict = judge_completion(r, plans[i], 64, i % 3 != 0)
        if verdict not in ("whole", "refused"):
            t.note((verdict, r))
        return verdict

    def end():
        time.sleep(0.7)
        if disturb:
            disturb(fleet, vm)
        begin = time.monotonic()
        fleet.terminate(vm)
        exited.append((fleet.wait_exit(vm, bound), time.monotonic() - begin))
    verdicts = parallel([end, *(lambda i=i: one(i) for i in range(len(plans)))])[1:]
    steady.end()
    for c in idle:
        c.close()
    t.note(f"verdicts {verdicts} answered {steady.answered} refused {steady.refused} "
           f"no connection {steady.no_connection} exit {exited}")
    for text in steady.cut[:3]:
        t.note(text)
    if steady.answered < 10:
        raise Failed("too few requests were answered before the shutdown")
    if exited[0][0] != 0:
        raise Failed(f"exit status {exited[0][0]} (None: still running after {bound} s)")
    return len(steady.cut) + len(plans) - verdicts.count("whole") - verdicts.count("refused")


@case
def terminate_under_load(t):
    """Guards against a shutdown that closes connections with requests in flight."""
    with t.fleet(standin_options=SLOW_TOKENS) as fleet:
        return shutdown(t, fleet), 0


@case
def terminate_with_endless_callers(t):
    """Callers that no balancer sends elsewhere must not keep the daemon for ever."""
    with t.fleet(standin_options=SLOW_TOKENS) as fleet:
        return shutdown(t, fleet, endless=True), 0


@case
def terminate_with_queued_work(t):
    """More long prompts than the engines take at once."""
    with t.fleet(standin_options=SLOW_TOKENS) as fleet:
        return shutdown(t, fleet, prompts=50, tokens=16000), 0


@case
def terminate_with_store_down(t):
    with t.fleet(standin_options=SLOW_TOKENS) as fleet:
        return shutdown(t, fleet, lambda f, vm: f.store_down()), 0


@case
def terminate_with_another_vm_killed(t):
    """The killed VM may own the shards that the leaving one depends on."""
    with t.fleet(standin_options=SLOW_TOKENS) as fleet:
        return shutdown(t, fleet, lambda f, vm: f.kill(t.vm(f, but=[vm]))), 0


@case
def terminate_with_decode_engine_dying(t):
    """A stream that has to be resumed during the shutdown."""
    def die(fleet, vm):
        for d in fleet.decodes[:2]:
            d.fault("die", "/load")
    with t.fleet(standin_options=SLOW_TOKENS) as fleet:
        return shutdown(t, fleet, die), 0


@case
def terminate_with_slow_sender(t):
    """A request that is still being sent when the shutdown begins is answered or refused."""
    with t.fleet() as fleet:
        vm = t.vm(fleet)
        cut = 0
        senders = []
        for _ in range(4):
            prompt = t.prompt(100)
            c = Caller(fleet.callers[vm])
            body = json.dumps(completion_body(fleet, prompt, 40, False)).encode()
            c.sock.sendall(f"POST /v1/completions HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer "
                           f"{fleet.key}\r\nContent-Length: {len(body)}\r\n\r\n".encode())
            senders.append((c, prompt, body))
        time.sleep(0.2)
        fleet.terminate(vm)
        time.sleep(0.3)
        for c, prompt, body in senders:
            try:
                for k in range(0, len(body), 100):
                    c.sock.sendall(body[k:k + 100])
                    time.sleep(0.05)
                r = c.receive()
            except OSError as e:
                t.note(e)
                cut += 1
                continue
            if judge_completion(r, prompt, 40, False) not in ("whole", "refused"):
                t.note(r)
                cut += 1
        if fleet.wait_exit(vm, EXIT_BOUND) != 0:
            cut += 1
        return cut, 0


def cut_at_exit(t, fleet, vm, callers, late=()):
    """Sends the requests of the late callers, reads the responses of all and waits for the exit.
    Returns the number of callers without an answer or a refusal."""
    cut = 0
    for c in [*late, *(c for c in callers if c not in late)]:
        try:
            if c in late:
                c.send("GET", fleet.service_path, fleet.key)
            r = c.receive()
        except OSError as e:
            r = e
        if not (isinstance(r, Response) and r.complete
                and (r.status == 200 or r.outcome == "not_run")):
            cut += 1
            t.note(f"{'late' if c in late else 'queued'}: {r!r}")
        c.close()
    status = fleet.wait_exit(vm, EXIT_BOUND)
    if status != 0:
        raise Failed(f"exit status {status}")
    return cut


@case
def terminate_with_unaccepted_connections(t):
    """Guards against a shutdown that resets connections which wait to be accepted. The daemon is
    frozen past the end of its notice while they queue up; every third one sends its request late."""
    with t.fleet(vms=3) as fleet:
        vm = t.vm(fleet)
        begin = time.monotonic()
        fleet.terminate(vm)
        time.sleep(1)
        fleet.freeze(vm)
        try:
            callers = [Caller(fleet.callers[vm]) for _ in range(60)]
            late = callers[::3]
            for c in callers:
                if c not in late:
                    c.send("GET", fleet.service_path, fleet.key)
            time.sleep(max(0, begin + 2.5 - time.monotonic()))
        finally:
            fleet.thaw(vm)
        time.sleep(0.3)
        return cut_at_exit(t, fleet, vm, callers, late), 0


@case
def terminate_with_connections_about_to_send(t):
    """Guards against a shutdown that ends between the accept of a connection and its request."""
    with t.fleet(vms=3) as fleet:
        vm = t.vm(fleet)
        fleet.terminate(vm)
        time.sleep(1.7)
        callers = [Caller(fleet.callers[vm]) for _ in range(20)]
        time.sleep(0.6)
        return cut_at_exit(t, fleet, vm, callers, callers), 0


@case
def terminate_with_overdue_completions(t):
    """Requests that outlast drain_timeout_ms get an error response, which was dropped at the exit."""
    def short_drain(_, path):
        with open(path, "a", encoding="utf-8") as f:
            f.write("limits: {drain_timeout_ms: 3000}\n")
    with t.fleet(vms=3, edit_settings=short_drain, standin_options=SLOW_TOKENS) as fleet:
        vm = t.vm(fleet)
        prompts = [t.prompt(100) for _ in range(100)]
        slow = [p for p in prompts if output_of(p, 64).count(" ") >= 50][:5]
        fleet.terminate(vm)
        time.sleep(1.5)
        callers = [Caller(fleet.callers[vm]) for _ in slow]
        for c, prompt in zip(callers, slow):
            c.send("POST", "/v1/completions", fleet.key,
                   json.dumps(completion_body(fleet, prompt, 64, False)))
        responses = [c.receive() for c in callers]
        status = fleet.wait_exit(vm, EXIT_BOUND)
        if status != 0:
            raise Failed(f"exit status {status}")
        t.note(responses)
        return sum(not (r.complete and r.code == "draining") for r in responses), 0


@case
def idle_connections_do_not_hold_up(t):
    """Without requests the daemon ends quickly, whatever connections are open."""
    with t.fleet() as fleet:
        vm = t.vm(fleet)
        idle = [Caller(fleet.callers[vm]) for _ in range(10)]
        for c in idle[:5]:
            c.send("GET", fleet.service_path, fleet.key)
            c.receive()
        begin = time.monotonic()
        fleet.terminate(vm)
        status = fleet.wait_exit(vm, 20)
        if status != 0:
            raise Failed(f"exit status {status}")
        for c in idle:
            c.close()
        return time.monotonic() - begin, 10.0


def rolling(t, fleet, disturb=None):
    """Replaces every VM in turn under load; returns what was cut off or lost."""
    load = load_tool(fleet, 60, 25, "completions=2,stream=3,status=4,paid=2", t.seed,
                     "--prompt-median", "300", "--prompt-max", "2000", "--timeout-ms", "20000")
    try:
        time.sleep(1)
        for vm in range(len(fleet.callers)):
            if disturb:
                disturb(fleet, vm)
            fleet.terminate(vm)
            if fleet.wait_exit(vm, EXIT_BOUND) != 0:
                raise Failed(f"vm-{vm + 1} did not end properly")
            fleet.replace(vm)
            time.sleep(0.5)
    finally:
        result = load_result(load)
    t.note({k: result[k] for k in ("sent", "answered", "not_run", "unknown", "lost", "wrong",
                                   "codes", "faults", "retried")})
    if result["answered"] < result["sent"] * 0.8:
        raise Failed("fewer than four fifths were answered")
    return result["unknown"] + result["lost"] + result["wrong"]


@case
def rolling_replacement(t):
    """All eight VMs are replaced one after the other under load."""
    with t.fleet() as fleet:
        return rolling(t, fleet), 0


@case
def rolling_replacement_with_slow_store(t):
    with t.fleet() as fleet:
        fleet.store_slow(300)
        return rolling(t, fleet), 0


@case
def leaver_hands_over_at_once(t):
    """A VM that leaves in order costs its accounts no waiting: requests elsewhere go on."""
    with t.fleet() as fleet:
        vm = t.vm(fleet)
        worst = 0.0
        fleet.terminate(vm)
        end = time.monotonic() + 6
        while time.monotonic() < end:
            for number in range(1, 6):
                other = t.vm(fleet, but=[vm])
                begin = time.monotonic()
                r = ask(fleet.callers[other], "GET", fleet.service_path, fleet.account_key(number))
                if r.status != 200:
                    t.note(r)
                    return 9.0, 1.0
                worst = max(worst, time.monotonic() - begin)
        if wait_until(lambda: fleet.wait_exit(vm, 0.1) == 0, EXIT_BOUND) is None:
            raise Failed("the VM did not end")
        return worst, 1.0


if __name__ == "__main__":
    main(9)
