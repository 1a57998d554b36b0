#!/usr/bin/env python3
"""Runs the golden sessions in tests/golden/*.txt against a fleet of one VM.

A session is a list of exchanges. Lines that begin with "> " are the request: method and target,
headers, an empty "> " line, the body. Lines that begin with "< " are the expected response: status,
the headers in SHOWN_HEADERS, an empty "< " line, the body. $KEY, $KEY_WITHDRAWN and $MODEL are
replaced by the values in fleet.env, $PAD_40K and $PAD_80K by 40000 and 80000 bytes. In responses,
ids and times are replaced by ID and TIME. A request that ends in the line "> ..." is left
incomplete: the caller waits for the response without ending the headers. With --update the
responses in the files are rewritten.

Afterwards the daemon's log must have exactly one line with the outcome of each refused request, and
no line that a caller injected.
"""
import collections
import glob
import http.client
import os
import re
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
REQUEST_ID = re.compile(r'"request_id":"([^"]+)"')
LOG_LINE = re.compile(r"\d{4}-\d\d-\d\dT[\d:.]+Z [A-Z]+ event=\w+ ")
END_LINE = re.compile(r" event=(?:refuse|end) request=(\S+) account=\S* ")
LOG_SECONDS = 1.0
SHOWN_HEADERS = ("Content-Type", "Retry-After", "Transfer-Encoding")


def read_env(path):
    with open(path, encoding="utf-8") as f:
        return dict(re.findall(r'^(\w+)="(.*)"$', f.read(), re.M))


def parse(text):
    """Returns [(comment lines, request lines, response lines)], one for each exchange."""
    exchanges, current = [], ([], [], [])
    for line in text.splitlines():
        if line.startswith(">") and current[2]:
            exchanges.append(current)
            current = ([], [], [])
        kind = 1 if line.startswith(">") else 2 if line.startswith("<") else 0
        if kind == 0 and current[2]:
            exchanges.append(current)
            current = ([], [], [])
        current[kind].append(line[2:] if kind else line)
    if current[1]:
        exchanges.append(current)
    return exchanges


def normalise(text):
    text = re.sub(r"\b[0-9a-f]{16}-[0-9a-f]+\b", "ID", text)
    return re.sub(r'"created":\d+', '"created":TIME', text)


def substitute(line, env):
    return re.sub(r"\$(\w+)", lambda m: env.get(m.group(1), m.group(0)), line)


def perform(address, lines, env, refused):
    lines = [substitute(line, env) for line in lines]
    blank = lines.index("") if "" in lines else len(lines)
    method, target = lines[0].split(" ", 1)
    headers = [h.split(": ", 1) if ": " in h else [h.rstrip(":"), ""] for h in lines[1:blank]]
    body = "\n".join(lines[blank + 1:]).encode()
    if lines[-1] == "...":
        return format_response(send_incomplete(address, lines[:-1]), refused)
    conn = http.client.HTTPConnection(address, timeout=20)
    conn.putrequest(method, target, skip_accept_encoding=True)
    for name, value in headers:
        conn.putheader(name, value)
    framed = any(name.lower() in ("content-length", "transfer-encoding") for name, _ in headers)
    if body and not framed:
        conn.putheader("Content-Length", str(len(body)))
    conn.endheaders(body if body else None)
    return format_response(conn.getresponse(), refused)


def send_incomplete(address, lines):
    """Sends a request without the empty line that ends its headers, and returns the response."""
    host, port = address.rsplit(":", 1)
    with socket.create_connection((host, int(port)), timeout=20) as s:
        s.sendall("".join(line + "\r\n" for line in [lines[0] + " HTTP/1.1", *lines[1:]]).encode())
        r = http.client.HTTPResponse(s)
        r.begin()
        return r


def format_response(r, refused):
    text = r.read().decode()
    refused += REQUEST_ID.findall(text)
    out = [str(r.status)]
    out += [f"{name}: {r.getheader(name)}" for name in SHOWN_HEADERS if r.getheader(name)]
    return out + [""] + normalise(text).rstrip("\n").split("\n")


def run_file(path, address, env, update, refused):
    with open(path, encoding="utf-8") as f:
        exchanges = parse(f.read())
    failed, out = 0, []
    for comment, request, expected in exchanges:
        got = perform(address, request, env, refused)
        got = [line.replace(env["MODEL"], "$MODEL") for line in got]
        if got != expected and not update:
            failed += 1
            print(f"{path}: {request[0]}\n  expected {expected}\n  got      {got}")
        out += comment + [f"> {s}".rstrip() for s in request] + [f"< {s}".rstrip() for s in got]
    if update:
        with open(path, "w", encoding="utf-8") as f:
            f.write("\n".join(out) + "\n")
    return len(exchanges) - failed, failed


def check_log(path, refused):
    """Returns the number of faults. The log must show operators why each request was refused."""
    time.sleep(LOG_SECONDS)
    with open(path, encoding="utf-8") as f:
        lines = f.read().splitlines()
    ended = collections.Counter(m[1] for m in map(END_LINE.search, lines) if m)
    faults = [f"request {i}: {ended[i]} lines" for i in refused if ended[i] != 1]
    faults += [f"forged line: {line}" for line in lines if not LOG_LINE.match(line)]
    for fault in faults:
        print(f"{path}: {fault}")
    return len(faults)


def main():
    update = "--update" in sys.argv
    with tempfile.TemporaryDirectory() as directory:
        fleet = os.path.join(ROOT, "scripts", "fleet")
        subprocess.run([fleet, "start", directory, "--vms", "1"], check=True,
                       stdout=subprocess.DEVNULL)
        try:
            env = {**read_env(os.path.join(directory, "fleet.env")), "PAD_40K": "x" * 40000,
                   "PAD_80K": "x" * 80000}
            refused = []
            results = [run_file(p, env["CALLER_ADDRS"], env, update, refused)
                       for p in sorted(glob.glob(os.path.join(ROOT, "tests/golden/*.txt")))]
            results.append((1, check_log(os.path.join(directory, "vm-1.decisions.log"), refused)))
        finally:
            subprocess.run([fleet, "stop", directory], check=True, stdout=subprocess.DEVNULL)
    passed, failed = (sum(r[i] for r in results) for i in (0, 1))
    print(f"golden: {passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
