"""Callers that read at full speed get long streams while their machine is frozen for a moment. The
pieces that each gets must have no gap."""
import os
import re
import signal
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "..", "lib-3"))
from site_3 import (BROKEN, HELD, HOST, KEY, NOT_RUN, TROUBLE, Record, Site, engines,  # noqa: E402
                    run)

PIECES = 3000
PIECE_BYTES = 1900  # the largest of the site
PIECE_INTERVAL_S = 0.0012  # two steps of the site's engines
FIRST_S = 0.1  # a runner's time to the first piece
FREEZE_AFTER_S = 0.7
FREEZE_S = 3.2  # callers give a stream up after 3.6 s without a piece
FAST_CALLERS = 8


def stream(record):
    """The plan of the decode runners: all pieces after Last-Event-Id, at the engine's pace."""
    def plan(h):
        attempt = h.headers.get("X-Attempt-Id")
        after = int(h.headers.get("Last-Event-Id") or 0)
        record(f"run attempt={attempt} runner={h.endpoint.name} after={after}")
        last = after
        try:
            time.sleep(FIRST_S)
            h.begin_stream()
            at = time.monotonic()
            for n in range(after + 1, PIECES + 1):
                text = f"piece {n} ".ljust(PIECE_BYTES, "x")
                h.chunk(b"id: %d\ndata: %s\n\n" % (n, text.encode()))
                last = n
                at += PIECE_INTERVAL_S
                time.sleep(max(0, at - time.monotonic()))
            h.wfile.write(b"0\r\n\r\n")
            record(f"run ended attempt={attempt} runner={h.endpoint.name} last={last}")
        except OSError:
            record(f"run broken off attempt={attempt} runner={h.endpoint.name} last={last}")
        return True
    return plan


class Caller:
    """Sends one request and reads its stream."""

    def __init__(self, site, record, name):
        self.site, self.record, self.name = site, record, name
        self.ids = []
        self.complete = False

    def run(self):
        s = socket.socket()
        # As over a network: segments of Ethernet's size and a small window.
        s.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1448)
        s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        s.settimeout(20)
        s.connect(("127.0.0.1", self.site.machines[0].ports["front"]))
        s.sendall((f"POST /kveld/{self.name} HTTP/1.1\r\nHost: {HOST}\r\n"
                   f"X-Attempt-Id: {self.name}\r\nX-Model: m\r\nX-Token-Usage: 1460,{PIECES}\r\n"
                   f"X-Prompt-Prefix: 5c1e07a2:200,{self.name.encode().hex()}:1260\r\n"
                   f"X-Deadline-Ms: 14000\r\nAuthorization: Bearer {KEY}\r\n"
                   "Content-Length: 5\r\n\r\nhello").encode())
        self.record(f"sent attempt={self.name}")
        began = time.monotonic()
        text = self.read(s)
        s.close()
        status = text[:12].decode(errors="replace")
        body, self.complete = dechunk(text)
        self.ids = [int(n) for n in re.findall(rb"^id: (\d+)\ndata: piece \1 x+\n\n", body, re.M)]
        self.record(f"answered attempt={self.name} status={status!r} pieces={len(self.ids)} "
                    f"complete={int(self.complete)} after_s={time.monotonic() - began:.1f} "
                    f"gaps={self.gaps()}")

    def read(self, s):
        text = b""
        while not text.endswith(b"\r\n0\r\n\r\n"):
            try:
                part = s.recv(16384)
            except OSError:
                break
            if not part:
                break
            text += part
        return text

    def gaps(self):
        """Pairs of ids that follow each other in the stream but not in number."""
        before = [0] + self.ids
        return [(a, b) for a, b in zip(before, self.ids) if b != a + 1]


def dechunk(text):
    """The body of a chunked answer, and whether its last chunk has come."""
    body = b""
    rest = text[text.find(b"\r\n\r\n") + 4:]
    while rest:
        size, found, rest = rest.partition(b"\r\n")
        if not found or not int(size, 16):
            return body, bool(found)
        body += rest[:int(size, 16)]
        rest = rest[int(size, 16) + 2:]
    return body, False


def main():
    record = Record(FOLDER)
    runners = engines()
    for r in runners:
        if r.stage == "decode":
            r.plan = stream(record)
    with Site(runners) as site:
        callers = [Caller(site, record, f"a{n}") for n in range(FAST_CALLERS)]
        threads = [threading.Thread(target=c.run) for c in callers]
        for t in threads:
            t.start()
            time.sleep(0.1)
        if TROUBLE:
            time.sleep(FREEZE_AFTER_S)
            record(f"frozen machine={site.machines[0].name}")
            site.machines[0].process.send_signal(signal.SIGSTOP)
            time.sleep(FREEZE_S)
            site.machines[0].process.send_signal(signal.SIGCONT)
            record(f"thawed machine={site.machines[0].name}")
        for t in threads:
            t.join()
        for line in site.machines[0].lines("attempt_failed", "forward_end", "stream_cut"):
            record(f"log {line}")
    if not all(c.ids for c in callers):
        return NOT_RUN
    broken = [c for c in callers if c.gaps() or (c.complete and c.ids[-1:] != [PIECES])]
    for c in broken:
        print(f"{c.name}: gaps {c.gaps()}, complete {c.complete}")
    record(f"streams with a missing or repeated piece: {len(broken)} of {len(callers)}")
    return BROKEN if broken else HELD


run(main)
