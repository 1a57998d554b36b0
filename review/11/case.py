"""A caller states the length of its body on a continuation line. The body looks like a request; it
must not run as one."""
import os
import socket
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-3"))
from site_3 import (BROKEN, HELD, HOST, KEY, NOT_RUN, TROUBLE, Endpoint, Record, Site,  # noqa: E402
                    run)

# How the name of the header and its value are written; {} is the length.
PLAIN = "Content-Length: {}"
FOLDED = ("Content-Length:\r\n {}", "Content-Length: \r\n {}", "Content-Length:\r\n\t{}")
def request(path, attempt, length_line, body):
    head = (f"POST /betal/{path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n"
            f"X-Deadline-Ms: 1000\r\nAuthorization: Bearer {KEY}\r\n"
            f"{length_line.format(len(body))}\r\n\r\n")
    return head.encode() + body


def send(site, data):
    """Sends bytes on a new connection and returns what comes within a second."""
    s = socket.create_connection(("127.0.0.1", site.machines[0].ports["front"]))
    s.settimeout(1)
    s.sendall(data)
    answer = b""
    try:
        while part := s.recv(65536):
            answer += part
    except OSError:
        pass
    s.close()
    return answer


def main():
    record = Record(FOLDER)
    runners = [Endpoint(f"app-{n}", "butikk-app", None, 6) for n in range(2)]
    ran = []

    def plan(h):
        attempt = h.headers.get("X-Attempt-Id")
        ran.append(attempt)
        record(f"run attempt={attempt} path={h.path} body_bytes={len(h.payload)}")
        return False

    for r in runners:
        r.plan = plan
    sent = []
    with Site(runners) as site:
        for n, line in enumerate(FOLDED if TROUBLE else (PLAIN,) * len(FOLDED)):
            inner = request("inner", f"inner-{n}", PLAIN, b"abc")
            data = request("outer", f"outer-{n}", line, inner)
            sent.append(f"outer-{n}")
            record(f"sent attempt=outer-{n} length_line={line!r} body_bytes={len(inner)}")
            answer = send(site, data)
            record(f"answered attempt=outer-{n} first={answer[:15]!r} "
                   f"answers={answer.count(b'HTTP/1.1 ')}")
        time.sleep(0.2)
    unasked = [a for a in ran if a not in sent]
    record(f"runs of a request that no caller sent: {unasked}")
    print(f"runs of a request that no caller sent: {unasked}")
    if not TROUBLE and ran != sent:
        return NOT_RUN
    return BROKEN if unasked else HELD


run(main)
