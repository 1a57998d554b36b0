"""A caller resumes a stream after its machine was killed; the runner crashes before its first piece.
The caller must get the pieces after its Last-Event-Id, each once."""
import os
import re
import socket
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-3"))
from site_3 import (BROKEN, HELD, HOST, KEY, NOT_RUN, TROUBLE, Record, Site, engines,  # noqa: E402
                    run)

ROUNDS = 5
PIECES = 60
PIECE_INTERVAL_S = 0.02
QUEUED_S = 0.1  # a request waits this long for a slot before its first piece


class Runners:
    """The plan of the decode runners: a comment while the request waits, then the pieces after
    Last-Event-Id. A runner that crashes does so while the resumed request waits."""

    def __init__(self, record):
        self.record = record
        self.site = None
        self.crashes = True

    def plan(self, h):
        attempt = h.headers.get("X-Attempt-Id")
        after = h.headers.get("Last-Event-Id")
        self.record(f"run attempt={attempt} runner={h.endpoint.name} after={after}")
        try:
            h.begin_stream()
            h.chunk(b": waiting for a slot\n\n")
            time.sleep(QUEUED_S)
            if TROUBLE and self.crashes and attempt.startswith("second"):
                self.crashes = False
                self.record(f"crash runner={h.endpoint.name}")
                h.endpoint.crash(self.site.store, down_s=2.0)
                return True
            for n in range(int(after or 0) + 1, PIECES + 1):
                h.event(n)
                time.sleep(PIECE_INTERVAL_S)
            h.wfile.write(b"0\r\n\r\n")
        except OSError:
            self.record(f"run broken off attempt={attempt} runner={h.endpoint.name}")
        return True


def request(site, record, machine, attempt, after, until=None):
    """Sends a request and returns the ids of the pieces, up to `until` of them, and its status."""
    s = socket.create_connection(("127.0.0.1", site.machines[machine].ports["front"]))
    s.settimeout(15)
    resume = f"Last-Event-Id: {after}\r\n" if after else ""
    s.sendall((f"POST /kveld/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n"
               f"X-Model: m\r\nX-Token-Usage: 1460,{PIECES}\r\n"
               f"X-Prompt-Prefix: 5c1e07a2:200,91bd3f06:1260\r\nX-Deadline-Ms: 14000\r\n{resume}"
               f"Authorization: Bearer {KEY}\r\nContent-Length: 5\r\n\r\nhello").encode())
    record(f"sent attempt={attempt} machine={site.machines[machine].name} after={after}")
    text = b""
    ids = []
    while not text.endswith(b"\r\n0\r\n\r\n") and (until is None or len(ids) < until):
        try:
            part = s.recv(65536)
        except OSError:
            break
        if not part:
            break
        text += part
        ids = [int(n) for n in re.findall(rb"id: (\d+)\ndata: piece \1\n\n", text)]
    complete = text.endswith(b"\r\n0\r\n\r\n")
    record(f"answered attempt={attempt} status={text[:12]!r} pieces={ids} "
           f"complete={int(complete)}")
    return s, ids


def one_round(record, n):
    plan = Runners(record)
    runners = engines()
    for r in runners:
        if r.stage == "decode":
            r.plan = plan.plan
    with Site(runners, machines=2) as site:
        plan.site = site
        s, ids = request(site, record, 0, f"first-{n}", None, until=20 if TROUBLE else None)
        if TROUBLE:
            site.machines[0].process.kill()
            record(f"killed machine={site.machines[0].name}")
        s.close()
        if not ids:
            return None
        rest = []
        if TROUBLE:
            _, rest = request(site, record, 1, f"second-{n}", ids[-1])
        for m in site.machines:
            for line in m.lines("attempt_failed", "forward_end", "stream_cut"):
                record(f"log {m.name} {line}")
    got = ids + rest
    twice = sorted({i for i in got if got.count(i) > 1})
    missing = [i for i in range(1, (got or [0])[-1] + 1) if i not in got]
    record(f"round {n}: pieces twice={twice} missing={missing}")
    return bool(twice or missing)


def main():
    record = Record(FOLDER)
    results = [one_round(record, n) for n in range(ROUNDS)]
    if None in results:
        return NOT_RUN
    print(f"streams with a missing or repeated piece: {sum(results)} of {ROUNDS}")
    return BROKEN if any(results) else HELD


run(main)
