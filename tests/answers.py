#!/usr/bin/env python3
"""Tests complete daemons whose endpoints and store send broken answers. Each check names the failure
that it guards against. Usage: answers.py [CHECK...]; without arguments it runs all."""
import sys
import threading
import time

from edge import (CHUNKED, EVENTS, GEN, OWN, STREAM, World, chunks, config, equal, event, read_stream,
                  response, resume_with, run_checks, wait)
from edge_standin import EndpointHandler, StoreHandler

UPLOAD_BYTES = 12 << 20  # more than the sockets of both ends hold
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 16 << 20, "headerTimeoutMs": 3000,
          "idleTimeoutMs": 15000}


def reset_first_upload(w, payload, pause_s):
    """The first run is answered before its body is read, without a length, and then reset."""
    first = threading.Event()

    def early(h):
        if first.is_set() or h.headers.get("X-Serving-Stage"):
            return False
        first.set()
        h.endpoint.seen.append(dict(h.headers.items()))
        h.wfile.write(response(200, STREAM + [("Connection", "close")], payload))
        time.sleep(pause_s)
        h.cut()
        raise ConnectionAbortedError("the body is not read")

    for e in w.shops + w.decodes:
        e.plan_early = early


def check_answer_that_is_reset_during_its_upload_is_not_complete():
    """The part of an answer that arrived before its connection was reset must not look complete. When
    sending the body noticed the reset first, a caller got the part as a whole answer."""
    events = EVENTS.encode()
    part = events[:events.index(b"id: 3")]
    with World() as w:
        vm = w.start(config(3, limits=LIMITS))
        for path, payload, status, whole in (
                ("/pay/1", b"half", 502, None),
                ("/pay/1", b"", 502, None),
                ("/pay/1", b"half" * 15000, 502, None),
                ("/look/1", b"half", 200, b"done"),
                ("/gen/1", part, 200, events),
                ("/once/1", part, 200, None)):
            for pause_s in (0, 0, 0.3):
                case = f"{path} {payload[-4:]!r} after {pause_s} s"
                reset_first_upload(w, payload, pause_s)
                r = vm.send(path, "POST", b"x" * UPLOAD_BYTES, headers=GEN)
                text, complete = read_stream(r)
                equal((case, r.status), (case, status), "status")
                if whole is not None:
                    equal((case, text.encode(), complete), (case, whole, True), "answer")
                elif status == 200:
                    equal((case, complete), (case, False), "complete")
                else:
                    assert "half" not in text, case


class Breaker:
    """Replaces the next answer of one kind of call by bytes of a test and closes the connection."""

    def __init__(self, w):
        self.w = w
        self.raw = None
        self.lock = threading.Lock()
        for e in w.shops + w.prefills + w.decodes:
            e.plan = self.send
            e.server.RequestHandlerClass.do_POST = lambda h: self.post(h)

    def wanted(self, h):
        kind = "reservation" if h.path == "/hold-take" else h.headers.get("X-Serving-Stage", "run")
        return kind == self.kind

    def send(self, h):
        with self.lock:
            raw = self.raw if self.wanted(h) else None
            if raw is None:
                return False
            self.raw = None
        h.wfile.write(raw)
        h.close_connection = True
        return True

    def post(self, h):
        if h.path != "/hold-take" or not self.send(h):
            EndpointHandler.do_POST(h)

    def call(self, path, kind, raw):
        """Returns the status and the text that the caller gets, and whether that is whole. An endpoint
        that fails often is left out for a while; then the request is refused and comes again."""
        self.kind = kind
        self.raw = raw
        deadline = time.monotonic() + 20
        while True:
            assert time.monotonic() < deadline, f"{path}: no {kind} arrives for {raw}"
            r = self.w.vms[0].send(path, "POST", b"x", headers=GEN)
            text, whole = read_stream(r)
            if self.raw is None and r.status != 503:
                return r.status, text, whole
            time.sleep(0.05)


def expect_no_answer(break_head):
    """No call may take for an answer what break_head makes of the head of one: not a payment, a
    look-up, a stream or the rest of one, and not the calls that prepare a stream."""
    json_type = [("Content-Type", "application/json")]
    prefill = response(200, json_type, b'{"kvHandle":"bad","tokens":100,"version":1}')
    reservation = response(200, json_type, b'{"hold":"bad"}')
    stream = response(200, STREAM + [CHUNKED], chunks(event(1), event(2), event(3), event(4)))
    used = []
    with World() as w:
        vm = w.start()
        breaker = Breaker(w)
        for path, kind, raw, expected in (
                ("/pay/1", "run", response(200, OWN, b"half"), (502, None)),
                ("/look/1", "run", response(200, OWN, b"half"), (200, "done")),
                ("/once/1", "run", stream, (502, None)),
                ("/gen/1", "run", stream, (200, EVENTS)),
                ("/gen/1", "prefill", prefill, (200, EVENTS)),
                ("/gen/1", "reservation", reservation, (200, EVENTS))):
            status, text, whole = breaker.call(path, kind, break_head(raw))
            case = path, kind, break_head(raw)
            equal((*case, status), (*case, expected[0]), "status")
            if expected[1] is not None:
                equal((*case, text, whole), (*case, expected[1], True), "answer")
        for d in w.decodes:
            used += [h.get(name, "") for h in d.seen for name in ("X-Kv-Source", "X-Kv-Hold")]
        assert not any("bad" in u for u in used), f"used: {used}"
        assert vm.ready()
    rest = break_head(response(200, STREAM + [CHUNKED], chunks(event(3), event(4))))
    equal((rest, *resume_with(rest)), (rest, EVENTS, True), "resumed stream")


def expect_no_rows(break_line):
    """What a store sends must not be taken for rows when each line of its heads is broken."""
    with World() as w:
        vm = w.start()
        flush = StoreHandler.flush_headers

        def flush_broken(h):
            h._headers_buffer = [break_line(line) for line in h._headers_buffer]
            flush(h)

        handler = w.doors[0].server.RequestHandlerClass
        handler.flush_headers = flush_broken
        w.store.put("op", "config", config(4, routes=config(4)["routes"][:1]))
        end = time.monotonic() + 1
        while time.monotonic() < end:
            equal(vm.call("/look/1")[0], 200, "a route of the version in force")
        assert vm.ready()
        handler.flush_headers = flush
        wait(lambda: vm.call("/look/1")[0] == 404, "the new version is in force")


# Replacements of the status line "HTTP/1.1 200 OK".
NO_STATUS_LINES = (b"HTTP/1.1 000 OK", b"HTTP/1.1 0 OK", b"HTTP/1.1 099 OK", b"HTTP/1.1 0200 OK",
                   b"HTTP/1.1 600 OK", b"HTTP/2.0 200 OK", b"HTTP/0.9 200 OK", b"HTTP/1.1 200 O\1K",
                   b"HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 OK")


def replace_status_line(raw, line):
    return line + raw[raw.index(b"\r\n"):]


def check_answer_without_a_status_is_not_passed_on():
    """An answer whose status line is none of HTTP/1, or whose status is none, is no answer; a status
    of 000 looked like an interim one, and 0200 or a version of HTTP/2.0 like a plain 200."""
    for line in NO_STATUS_LINES:
        expect_no_answer(lambda raw, line=line: replace_status_line(raw, line))


def check_store_without_a_status_is_not_read():
    """The same for the answers of the store."""
    for line in NO_STATUS_LINES:
        expect_no_rows(lambda raw, line=line: raw.replace(b"HTTP/1.1 200 OK", line))


# Lines of a head that are no headers.
NO_HEADERS = (b"X Y: v", b"X : v", b" X: v", b"\tX: v", b"X\tY: v", b"X\0Y: v", b"X\1: v", b"X\x7f: v",
              b"Content-Length : 2", b"Transfer-Encoding : chunked")


def add_header(raw, line):
    """Adds a line to a head as its second to last one."""
    end = raw.index(b"\r\n\r\n")
    last = raw.rindex(b"\r\n", 0, end)
    return raw[:last] + b"\r\n" + line + raw[last:]


def check_answer_with_a_broken_header_is_not_passed_on():
    """An answer in whose head the name of a header holds a blank or a control character is no answer.
    One with "Content-Length : 2" was cut to 2 bytes, a line that begins with a blank became part of
    the value before it, and others reached callers without that line."""
    for line in NO_HEADERS:
        expect_no_answer(lambda raw, line=line: add_header(raw, line))
    cut = response(200, OWN, b"half").replace(b"Content-Length: 4", b"Content-Length : 2")
    with World() as w:
        w.start()
        equal(Breaker(w).call("/pay/1", "run", cut)[0], 502, "status")


def check_store_with_a_broken_header_is_not_read():
    """The same for the answers of the store."""
    for line in NO_HEADERS:
        expect_no_rows(lambda raw, line=line: line + b"\r\n" + raw
                       if raw.startswith(b"Content-Length") else raw)


def check_answer_in_an_unknown_coding_is_not_passed_on():
    """An answer in a transfer coding other than chunks is no body that a caller can be given; it came
    with its chunk sizes, or still compressed, as a whole answer."""
    chunked = response(200, OWN + [CHUNKED], chunks(b"half"))
    whole = response(200, OWN, b"half")
    with World() as w:
        w.start()
        breaker = Breaker(w)
        for coding in (b"gzip", b"identity", b"chunked, gzip", b"gzip, chunked", b"chunked;x=1",
                       b"chunked\r\nTransfer-Encoding: gzip"):
            for raw in (chunked.replace(b"chunked", coding),
                        whole.replace(b"Content-Length: 4", b"Transfer-Encoding: " + coding)):
                equal((raw, breaker.call("/pay/1", "run", raw)[0]), (raw, 502), "status")
                answer = breaker.call("/look/1", "run", raw)
                equal((raw, *answer), (raw, 200, "done", True), "answer")


if __name__ == "__main__":
    sys.exit(run_checks("answers", globals()))
