#!/usr/bin/env python3
"""Tests complete daemons whose endpoints and store send broken answers. Each check names the failure
that it guards against. Usage: answers.py [CHECK...]; without arguments it runs all."""
import sys
import threading
import time

from edge import EVENTS, GEN, STREAM, World, config, equal, read_stream, response, run_checks

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


if __name__ == "__main__":
    sys.exit(run_checks("answers", globals()))
