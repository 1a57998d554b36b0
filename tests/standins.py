"""Contract test of the stand-ins: the rows of standins.txt, then cases that need several steps."""
import http.client
import json
import os
import socket
import subprocess
import sys
import tempfile
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
BUILD = os.environ.get("BUILD", os.path.join(HERE, "..", "build"))
SILENCE = 0.3  # seconds without data after which a connection counts as silent
ENGINE = ["--prefill-us-per-token", "100", "--token-us", "10000", "--evict-ms", "2000"]
OPTIONS = {
    "prefill": ["engine", "--role", "prefill"] + ENGINE,
    "decode": ["engine", "--role", "decode"] + ENGINE,
    "vmlist": ["vmlist", "--vms", "vm1"],
}


class Standin:
    """A running stand-in process and its two addresses."""

    def __init__(self, name, *options):
        program, *default = OPTIONS.get(name, [name])
        self.process = subprocess.Popen(
            [f"{BUILD}/standin-{program}", "--listen", "127.0.0.1:0", "--control", "127.0.0.1:0",
             *default, *options], stdout=subprocess.PIPE, text=True)
        words = self.process.stdout.readline().split()
        assert words and words[0] == "ready", f"{name} did not start"
        self.listen = words[1].removeprefix("listen=")
        self.control = words[2].removeprefix("control=")

    def __enter__(self):
        return self

    def __exit__(self, *exc):
        self.process.terminate()
        self.process.wait(5)
        self.process.stdout.close()

    def call(self, method, url, body=None, timeout=5.0):
        """Returns (outcome, parsed body or bytes); the outcome is as in standins.txt."""
        return exchange(connect(self.listen, timeout), method, url, body)

    def json(self, method, url, body=None):
        outcome, answer = self.call(method, url, body)
        assert outcome == "200", f"{method} {url}: {outcome} {answer}"
        return answer

    def ask(self, method, url, body=None):
        outcome, answer = exchange(connect(self.control), method, url, body)
        assert outcome == "200", f"control {method} {url}: {outcome} {answer}"
        return answer

    def state(self):
        return self.ask("GET", "/state")

    def fault(self, **fault):
        self.ask("POST", "/fault", fault)


def connect(address, timeout=5.0):
    host, port = address.split(":")
    return http.client.HTTPConnection(host, int(port), timeout=timeout)


def exchange(conn, method, url, body=None):
    data = json.dumps(body) if isinstance(body, (dict, list)) else body
    try:
        conn.request(method, url, data, {"Idempotency-Key": "k1"})
        response = conn.getresponse()
    except ConnectionRefusedError:
        return "refused", None
    except TimeoutError:
        return "silent", None
    except (ConnectionError, http.client.BadStatusLine):
        return "closed", None
    try:
        answer = response.read()
    except (http.client.IncompleteRead, ConnectionError):
        return "cut", None
    if response.getheader("Content-Type") == "application/json":
        answer = json.loads(answer)
    return str(response.status), answer


def eventually(condition, what):
    """Waits up to 2 s for the effect of another thread of the stand-in."""
    end = time.monotonic() + 2
    while not condition():
        assert time.monotonic() < end, what
        time.sleep(0.01)


def prompt_hash(prompt):
    h = 0xCBF29CE484222325
    for byte in prompt.encode():
        h = (h ^ byte) * 0x100000001B3 % 2**64
    return h


def expected_tokens(prompt, max_tokens):
    h = prompt_hash(prompt)
    return [f"tok{i}-{h % 2**32:08x} " for i in range(min(max_tokens, 8 + h % 57))]


def load_kv(prefill, decode, request_id, prompt="some prompt", **fields):
    """Prefills a prompt and imports its KV cache; returns the outcome of the import."""
    kv = prefill.json("POST", "/prefill", {"request_id": request_id, "owner": "vm1/1",
                                           "prompt": prompt, **fields})
    return decode.call("POST", "/kv/import", {
        "request_id": request_id, "owner": "vm1/1", "kv_id": kv["kv_id"],
        "source": prefill.listen, "max_tokens": 64})[0]


def stream(decode, request_id, max_tokens=64, first_index=0, timeout=5.0):
    """Returns (tokens, how the stream ended), or (None, outcome) if no stream started."""
    conn = connect(decode.listen, timeout)
    tokens = []
    try:
        conn.request("POST", "/decode", json.dumps({
            "request_id": request_id, "owner": "vm1/1", "max_tokens": max_tokens,
            "first_index": first_index}))
        response = conn.getresponse()
        if response.status != 200:
            return None, str(response.status)
        for line in iter(response.readline, b""):
            if not line.strip():
                continue
            event = json.loads(line.removeprefix(b"data: "))
            if "done" in event:
                assert event["count"] == first_index + len(tokens), event
                return tokens, "done"
            assert event["index"] == first_index + len(tokens), event
            tokens.append(event["token"])
        return tokens, "cut"
    except TimeoutError:
        return tokens, "silent"
    except (http.client.IncompleteRead, http.client.RemoteDisconnected, ConnectionError) as e:
        return tokens, "closed" if isinstance(e, http.client.RemoteDisconnected) else "cut"
    finally:
        conn.close()


def contains(actual, part):
    if isinstance(part, dict):
        return isinstance(actual, dict) and all(
            k in actual and contains(actual[k], v) for k, v in part.items())
    return actual == part


def check_answer(row, expected, outcome, body, elapsed):
    expected, _, least = expected.partition(" >")
    status, _, part = expected.partition(" {")
    if least:
        assert elapsed * 1000 >= int(least.removesuffix("ms")), f"{row}: after {elapsed:.3f} s"
    if " tokens, " not in expected:
        assert outcome == status, f"{row}: {outcome} {body}, expected {expected}"
        assert not part or contains(body, json.loads("{" + part)), f"{row}: {body}"
    else:
        assert outcome == expected, f"{row}: {outcome}, expected {expected}"


def check_state(standin, row, expected):
    for item in expected.split() if expected != "-" else []:
        path, value = item.split("=")

        def reached(path=path, value=value):
            state = standin.state()
            for name in path.split("."):
                state = state[name]
            return state == json.loads(value)
        eventually(reached, f"{row}: not {item}: {standin.state()}")


class Row:
    """A test case from a row of standins.txt."""

    def __init__(self, line):
        (self.program, self.fault, self.request, self.answer, self.again, self.state,
         self.guards) = line.split(" | ")

    def __str__(self):
        return f"{self.program} {self.fault} {self.request}"

    def send(self, standin, expected, request_id):
        start = time.monotonic()
        body = None
        timeout = SILENCE if "silent" in expected else 5.0
        if self.request.startswith("decode"):
            max_tokens = int(self.request.split()[1])
            tokens, how = stream(standin, request_id, max_tokens, timeout=timeout)
            if tokens is not None and how != "closed":
                assert tokens == expected_tokens("some prompt", max_tokens)[:len(tokens)]
            outcome = how if tokens is None else f"{len(tokens)} tokens, {how}"
        else:
            method, url, *rest = self.request.split(" ", 2)
            outcome, body = standin.call(method, url, rest[0] if rest else None, timeout)
        check_answer(self, expected, outcome, body, time.monotonic() - start)

    def run(self):
        with Standin("prefill") as prefill, Standin(self.program) as standin:
            for expected, request_id in ((self.answer, "r1"), (self.again, "r2")):
                if self.request.startswith("decode") and expected != "refused":
                    assert load_kv(prefill, standin, request_id) == "200", self
                if self.fault != "-" and request_id == "r1":
                    standin.fault(**json.loads(self.fault))
                    if json.loads(self.fault) == {"kind": "die"}:
                        standin.process.wait(5)
                if expected == "refused" and request_id == "r2":
                    standin.process.wait(5)
                    assert standin.call("GET", "/")[0] == "refused", self
                else:
                    self.send(standin, expected, request_id)
            check_state(standin, self, self.state)


def test_output_complete_and_resumed():
    """Guards against output that tests can't predict, or that differs after a resume."""
    prompt = "q" * 300
    complete = expected_tokens(prompt, 64)
    with Standin("prefill") as prefill, Standin("decode") as decode:
        assert load_kv(prefill, decode, "r", prompt) == "200"
        assert stream(decode, "r") == (complete, "done")
        assert load_kv(prefill, decode, "r", prompt, prefix_tokens=5,
                       generated="".join(complete[:5])) == "200"
        assert stream(decode, "r", first_index=5) == (complete[5:], "done")


def test_eviction_and_memory():
    """Guards against KV cache usable after its eviction, and blocks that are allocated twice."""
    with Standin("prefill", "--evict-ms", "100") as prefill, \
            Standin("decode", "--pieces", "2") as decode:
        kv = prefill.json("POST", "/prefill", {"request_id": "r", "prompt": "a"})
        time.sleep(0.15)
        assert decode.call("POST", "/kv/import", {
            "request_id": "r", "kv_id": kv["kv_id"], "source": prefill.listen})[0] == "410"
        assert prefill.state()["evicted"] == 1 and prefill.state()["held_pieces"] == 0
        assert [load_kv(prefill, decode, r) for r in ("a", "b", "c")] == ["200", "200", "507"]
        held = decode.json("GET", "/held")["held"]
        assert held == [{"request_id": r, "owner": "vm1/1", "pieces": 1} for r in ("a", "b")]
        decode.json("POST", "/cancel", {"request_id": "a"})
        decode.json("POST", "/cancel", {"request_id": "a"})
        assert load_kv(prefill, decode, "c") == "200"


def test_closed_stream_frees_memory():
    """Guards against KV blocks that stay allocated after the router has closed the stream."""
    with Standin("prefill") as prefill, Standin("decode", "--token-us", "200000") as decode:
        assert load_kv(prefill, decode, "r") == "200"
        assert stream(decode, "r", timeout=0.1) == ([], "silent")
        eventually(lambda: decode.state()["held_pieces"] == 0, "memory still held")


def test_closed_prefill_is_given_up():
    """Guards against a prefill that continues after its caller has disconnected."""
    with Standin("prefill", "--prefill-us-per-token", "100000") as prefill:
        assert prefill.call("POST", "/prefill", {"request_id": "r", "prompt": "a" * 400},
                            timeout=0.1)[0] == "silent"
        eventually(lambda: prefill.state()["cancelled"] == 1, "prefill not given up")
        assert prefill.state()["held_pieces"] == 0


def test_priorities():
    """Guards against a batch prefill that runs before a queued interactive one."""
    order = []

    def prefill_one(name, priority):
        prefill.json("POST", "/prefill", {"request_id": name, "prompt": name * 400,
                                          "priority": priority})
        order.append(name)

    with Standin("prefill", "--prefill-us-per-token", "1000") as prefill:
        threads = [threading.Thread(target=prefill_one, args=a) for a in
                   (("1", "batch"), ("2", "batch"), ("3", "interactive"))]
        for t in threads:
            t.start()
            time.sleep(0.02)
        for t in threads:
            t.join()
    assert order == ["1", "3", "2"], order


def test_prefix_cache_and_events():
    """Guards against a prefix cache without a size limit, and against cache events that ignore the
    configured delay and gaps."""
    with Standin("prefill", "--cache-blocks", "4", "--event-delay-ms", "300",
                 "--event-gap-percent", "40", "--seed", "3") as prefill:
        def cached(prompt):
            return prefill.json("POST", "/prefill", {"request_id": "r", "prompt": prompt})[
                "cached_tokens"]
        assert [cached(p) for p in ("a" * 3000, "a" * 4000, "b" * 4096, "a" * 3000)] == [
            0, 512, 0, 0]
        assert prefill.json("GET", "/events?after=0")["events"] == []
        time.sleep(0.35)
        events = prefill.json("GET", "/events?after=0")["events"]
        numbers = [e["seq"] for e in events]
        assert 0 < len(numbers) < numbers[-1], numbers
        assert {e["kind"] for e in events} == {"cached", "evicted"}
        assert {f"{prompt_hash('a' * 1024):016x}"} <= {e["prefix_hash"] for e in events}
        assert prefill.json("GET", f"/events?after={numbers[-1]}")["events"] == []


def import_seconds(prefill, decodes):
    """Imports into all decode engines concurrently; returns the seconds until the last is done."""
    kvs = [prefill.json("POST", "/prefill", {"request_id": str(i), "prompt": "a" * 400})
           for i in range(len(decodes))]
    threads = [threading.Thread(target=d.json, args=("POST", "/kv/import", {
        "request_id": kv["kv_id"], "kv_id": kv["kv_id"], "source": prefill.listen}))
        for d, kv in zip(decodes, kvs)]
    start = time.monotonic()
    for t in threads:
        t.start()
    for t in threads:
        t.join()
    return time.monotonic() - start


def test_shared_link():
    """Guards against concurrent transfers that don't share the bandwidth. 100 tokens of 10 kB take
    0.1 s at 80 Mbit/s."""
    link = ["--link-mbps", "80", "--kv-bytes-per-token", "10000"]
    with Standin("prefill", *link) as prefill, Standin("decode", "--link-mbps", "0") as d1, \
            Standin("decode", "--link-mbps", "0") as d2, Standin("decode", *link) as slow, \
            Standin("prefill", "--kv-bytes-per-token", "10000", "--link-mbps", "0") as fast:
        assert 0.09 < import_seconds(prefill, [d1]) < 0.19
        assert 0.18 < import_seconds(prefill, [d1, d2]) < 0.38
        assert 0.18 < import_seconds(fast, [slow, slow]) < 0.38


def test_broken_transfers():
    """Guards against an interrupted transfer that looks complete or keeps its KV blocks."""
    with Standin("prefill", "--evict-ms", "300") as prefill, Standin("decode") as decode:
        prefill.fault(kind="cut", path="/kv/export", after_tokens=1)
        assert load_kv(prefill, decode, "a") == "502"
        prefill.fault(kind="stall", path="/kv/export", after_tokens=1)
        kv = prefill.json("POST", "/prefill", {"request_id": "b", "prompt": "a"})
        body = {"request_id": "b", "kv_id": kv["kv_id"], "source": prefill.listen}
        assert decode.call("POST", "/kv/import", body, SILENCE)[0] == "silent"
        eventually(lambda: decode.state()["held_pieces"] == 0, "import not given up")
        eventually(lambda: prefill.state()["held_pieces"] == 0, "result not evicted")
        assert decode.state()["imported"] == 0 and prefill.state()["exported"] == 0


def test_load_lag():
    """Guards against a load report without the configured lag."""
    with Standin("prefill", "--load-lag-ms", "200") as prefill:
        prefill.json("POST", "/prefill", {"request_id": "r", "prompt": "a"})
        assert prefill.json("GET", "/load")["held_pieces"] == 0
        time.sleep(0.25)
        assert prefill.json("GET", "/load") == {"running": 0, "queued": 0, "held_pieces": 1,
                                                "total_pieces": 40, "age_ms": 200}


def test_fencing_ignored():
    """Guards against a check of fencing numbers in spite of --ignore-fencing."""
    with Standin("prefill", "--ignore-fencing") as prefill:
        for number in (5, 4):
            prefill.json("POST", "/order", {"fencing": number, "model": "m"})
        assert [o["fencing"] for o in prefill.state()["orders"]] == [5, 4]


def test_silent_connections():
    """Guards against the fault `silent` answering on open connections or affecting new ones."""
    with Standin("service") as service:
        old = connect(service.listen, SILENCE)
        assert exchange(old, "GET", "/a")[0] == "200"
        service.fault(kind="silent")
        assert exchange(old, "POST", "/a", "x")[0] == "silent"
        assert service.call("GET", "/a")[1] == {"path": "/a", "count": 2}
        assert service.state()["executions"]["total"] == 0


def test_silent_stream():
    """Guards against an engine that detects the close of a silent connection."""
    with Standin("prefill") as prefill, Standin("decode", "--token-us", "100000") as decode:
        assert load_kv(prefill, decode, "r") == "200"
        threading.Timer(0.15, decode.fault, kwargs={"kind": "silent"}).start()
        tokens, how = stream(decode, "r", timeout=SILENCE)
        assert how == "silent" and len(tokens) == 1, (tokens, how)
        time.sleep(0.1)
        assert decode.state()["held_requests"] == 1
        decode.json("POST", "/cancel", {"request_id": "r"})
        assert decode.state()["held_requests"] == 0


def test_faults_in_sequence():
    """Guards against a second fault that replaces the first one."""
    with Standin("service") as service:
        service.fault(kind="refuse", count=2)
        service.fault(kind="close_after_read")
        outcomes = [service.call("GET", "/a")[0] for _ in range(4)]
        assert outcomes == ["503", "503", "closed", "200"], outcomes
        service.fault(kind="refuse", count=-1)
        service.fault(kind="none")
        assert service.call("GET", "/a")[0] == "200"


def test_requests_as_received():
    """Guards against request records without some bytes, headers or the query."""
    with Standin("service") as service:
        host, port = service.listen.split(":")
        with socket.create_connection((host, int(port))) as s:
            s.sendall(b"POST /a%20b?c=%41 HTTP/1.1\r\nHost: x\r\nX-A: 1\r\nX-A: 2\r\n"
                      b"Content-Length: 4\r\n\r\na\xff\r\n")
            assert s.recv(4096).startswith(b"HTTP/1.1 200")
        for _ in range(250):
            service.json("GET", "/later")
        assert len(service.ask("GET", "/requests")) == 200
        service.call("POST", "/last", "text")
        assert service.ask("GET", "/requests?path=/last")[0]["body"] == "text"
    with Standin("service", "--record-count", "1") as service:
        service.call("POST", "/a%20b?c=%41", b"a\xff")
        record = service.ask("GET", "/requests")[0]
        assert record["method"] == "POST" and record["url"] == "/a%20b?c=%41", record
        assert record["body"] == {"hex": "61ff"} and record["headers"]["Idempotency-Key"] == "k1"


def test_rates():
    """Guards against a table stand-in that ignores its rate limits."""
    with Standin("table", "--write-rate", "5", "--read-rate", "5") as table:
        for call in (("POST", "/txn", {"writes": []}), ("GET", "/rows")):
            outcomes = [table.call(*call)[0] for _ in range(5)]
            assert outcomes == ["200"] + ["429"] * 4, outcomes
        time.sleep(0.25)
        assert table.call("GET", "/rows")[0] == "200"


def test_table_load_and_order():
    """Guards against preloaded rows without a version, and unsorted rows."""
    with tempfile.NamedTemporaryFile("w", suffix=".json") as f:
        json.dump({"b/2": [2], "b/1": 1, "a": None}, f)
        f.flush()
        with Standin("table", "--load", f.name) as table:
            assert table.json("GET", "/rows?prefix=b/")["rows"] == [
                {"key": "b/1", "version": 1, "value": 1}, {"key": "b/2", "version": 1, "value": [2]}]
            table.json("POST", "/txn", {"checks": [{"key": "b/1", "version": 1}],
                                        "writes": [{"key": "b/1", "value": 3}]})
            assert table.json("GET", "/row?key=b/1") == {"key": "b/1", "version": 2, "value": 3}


def test_vmlist_lag():
    """Guards against a VM list without the configured lag."""
    with Standin("vmlist", "--lag-ms", "200") as vmlist:
        vmlist.ask("POST", "/vms", {"id": "vm1", "state": "leaving"})
        vmlist.ask("POST", "/vms", {"id": "vm2", "state": "live"})
        assert vmlist.json("GET", "/vms") == {"vms": [{"id": "vm1", "state": "live"}]}
        time.sleep(0.25)
        assert vmlist.json("GET", "/vms") == {"vms": [{"id": "vm1", "state": "leaving"},
                                                      {"id": "vm2", "state": "live"}]}
        vmlist.ask("POST", "/vms", {"id": "vm1", "state": "gone"})
        eventually(lambda: len(vmlist.json("GET", "/vms")["vms"]) == 1, "entry not removed")


def test_objects_and_weights():
    """Guards against corrupted objects and weights sent without a rate limit. 100 kB take
    0.1 s at 8 Mbit/s."""
    with Standin("object") as store, \
            Standin("weights", "--link-mbps", "8", "--size-bytes", "100000") as weights:
        store.call("PUT", "/o/x", b"\0\xff")
        assert store.call("GET", "/o/x") == ("200", b"\0\xff")
        store.call("DELETE", "/o/x")
        assert store.call("GET", "/o/x")[0] == "404"
        start = time.monotonic()
        assert len(weights.call("GET", "/weights/m1")[1]) == 100000
        assert 0.09 < time.monotonic() - start < 0.3


def test_restart_on_the_same_address():
    """Guards against a restart that fails while connections of the dead process are open."""
    with Standin("service") as service:
        conns = [connect(service.listen) for _ in range(3)]
        assert [exchange(c, "GET", "/a")[0] for c in conns] == ["200"] * 3
        service.fault(kind="die")
        assert service.process.wait(5) == 3
        with Standin("service", "--listen", service.listen, "--control", service.control) as again:
            assert (again.listen, again.control) == (service.listen, service.control)
            assert again.call("GET", "/a")[1] == {"path": "/a", "count": 1}


def test_termination():
    """Guards against a stand-in that does not end on SIGTERM while a request is stalled."""
    standin = Standin("service")
    standin.fault(kind="stall")
    assert standin.call("GET", "/a", timeout=0.1)[0] == "silent"
    standin.__exit__()
    assert standin.process.returncode == 0, standin.process.returncode


def main():
    with open(os.path.join(HERE, "standins.txt"), encoding="utf-8") as f:
        cases = [Row(line.strip()) for line in f if line.strip() and line[0] != "#"]
    cases += [fn for name, fn in globals().items() if name.startswith("test_")]
    failed = 0
    for case in cases:
        try:
            case.run() if isinstance(case, Row) else case()
        except Exception as e:  # pylint: disable=broad-except
            failed += 1
            name = str(case) if isinstance(case, Row) else case.__name__
            guards = case.guards if isinstance(case, Row) else case.__doc__
            print(f"FAILED {name} ({guards}): {type(e).__name__}: {e}")
    print(f"standins: {len(cases) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
