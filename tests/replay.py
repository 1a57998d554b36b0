#!/usr/bin/env python3
"""Replay test of the peer protocol: guards against a recorded frame that is accepted a second time,
on another connection, at another VM or out of order. Two daemons connect through recording proxies,
which each daemon advertises as its own peer address."""
import argparse
import hashlib
import hmac
import importlib.machinery
import importlib.util
import os
import re
import socket
import struct
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
# Covers the reconnect backoff; a heartbeat follows every second.
LINK_SECONDS = 8
# Hello, LinkReady, the first heartbeat and that of the next second. By then one of two links opened
# at the same time from both sides has been closed.
FRAMES = 4
LOG_SECONDS = 0.3  # daemons flush their logs every 0.1 s
CLOSE_SECONDS = 2


class Proxy:
    """Forwards connections to one VM and records the frames of the connecting side."""

    def __init__(self, vm):
        self.vm = vm  # index from 0
        self.target = None
        self.opened = 0  # monotonic time of the newest connection
        self.frames = []  # sent by the connecting side on the newest connection
        self.change = None  # called once with the next frame; returns the bytes to forward
        self.ends = 0  # connections that have ended
        self.lock = threading.Lock()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addr = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            near, _ = self.listener.accept()
            far = connect(self.target)
            frames = self.frames = []
            self.opened = time.monotonic()
            threading.Thread(target=self.forward, args=(near, far, frames), daemon=True).start()
            threading.Thread(target=self.forward_answers, args=(far, near, frames),
                             daemon=True).start()

    def forward(self, near, far, frames):
        try:
            while True:
                frame = read_frame(near)
                with self.lock:
                    change, self.change = self.change, None
                    frames.append(frame)
                far.sendall(change(frame) if change else frame)
        except OSError:
            end(near, far)

    def forward_answers(self, far, near, frames):
        try:
            while data := far.recv(65536):
                near.sendall(data)
        except OSError:
            pass
        end(near, far)
        if self.frames is frames:
            self.frames = []
        self.ends += 1


def end(*sockets):
    for s in sockets:
        try:
            s.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass


def connect(addr):
    host, port = addr.rsplit(":", 1)
    return socket.create_connection((host, int(port)), timeout=LINK_SECONDS)


def read_exactly(s, n):
    data = b""
    while len(data) < n:
        more = s.recv(n - len(data))
        if not more:
            raise OSError("closed")
        data += more
    return data


def read_frame(s):
    head = read_exactly(s, 4)
    return head + read_exactly(s, struct.unpack(">I", head)[0])


def field(number, data):
    """Encodes a protobuf bytes field of less than 128 bytes."""
    return bytes([number << 3 & 0x7f | 2 | (0x80 if number > 15 else 0)] +
                 ([number >> 4] if number > 15 else []) + [len(data)]) + data


def hello(key, source, target, nonce):
    """Returns a Hello. As the first frame it is signed with a zero nonce and frame number."""
    body = field(1, target.encode()) + (field(40, nonce) if nonce else b"")
    payload = field(1, source.encode()) + b"\x11" + b"\x05" * 8 + field(10, body)
    mac = hmac.new(key, bytes(24) + b"\x01" + payload, hashlib.sha512).digest()[:32]
    return struct.pack(">I", 33 + len(payload)) + b"\x01" + mac + payload


def load_fleet_module():
    loader = importlib.machinery.SourceFileLoader("fleet_script",
                                                  os.path.join(ROOT, "scripts", "fleet"))
    spec = importlib.util.spec_from_loader("fleet_script", loader)
    module = importlib.util.module_from_spec(spec)
    loader.exec_module(module)
    return module


class Daemons:
    """The running fleet: counters, logs and the peer key."""

    def __init__(self, directory):
        self.dir = directory
        with open(os.path.join(directory, "fleet.env"), encoding="utf-8") as f:
            self.operators = dict(re.findall(r'^(\w+)="(.*)"$', f.read(), re.M))[
                "OPERATOR_ADDRS"].split()
        with open(os.path.join(directory, "peer.secrets"), encoding="utf-8") as f:
            self.key = bytes.fromhex(f.read().split()[2])

    def counter(self, vm, name):
        with urllib.request.urlopen(f"http://{self.operators[vm]}/metrics", timeout=3) as r:
            return int(re.search(rf"^toucanlb_{name} (\d+)", r.read().decode(), re.M)[1])

    def links_lost(self):
        """Returns the number of link_down events in the logs of both VMs."""
        time.sleep(LOG_SECONDS)
        lost = 0
        for vm in (1, 2):
            path = os.path.join(self.dir, f"vm-{vm}.decisions.log")
            with open(path, encoding="utf-8") as f:
                lost += f.read().count("event=link_down")
        return lost


def wait(condition, seconds):
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            return False
        time.sleep(0.05)
    return True


def established_link(proxies):
    """Returns the proxy of the established link: its newest connection has at least FRAMES frames.
    Returns None after LINK_SECONDS."""
    def used():
        return max(proxies, key=lambda p: (len(p.frames) >= FRAMES, p.opened))

    return used() if wait(lambda: len(used().frames) >= FRAMES, LINK_SECONDS) else None


def modify_frames(daemons, proxies, change):
    """Modifies frames on the link. Returns True if the receiver closed the link because of a bad
    frame and the link was established again."""
    proxy = established_link(proxies)
    if not proxy:
        return False
    ends, bad = proxy.ends, daemons.counter(proxy.vm, "peer_bad_frames_total")
    with proxy.lock:
        proxy.change = change
    closed = wait(lambda: proxy.ends > ends, LINK_SECONDS)
    refused = daemons.counter(proxy.vm, "peer_bad_frames_total") == bad + 1
    for p in proxies:
        p.change = None
    return closed and refused and established_link(proxies) is not None


def swap_frames(proxies):
    """Returns a change that swaps the next two frames."""
    held = []

    def change(frame):
        held.append(frame)
        if len(held) == 2:
            return frame + held[0]
        if len(held) == 1:
            for proxy in proxies:
                proxy.change = change
        return b""

    return change


def refused(daemons, addr, data, answers):
    """Sends `data` on a new connection. Returns True if the daemon closes it after `answers` frames
    and the link between the daemons stays up."""
    lost = daemons.links_lost()
    with connect(addr) as s:
        s.settimeout(CLOSE_SECONDS)
        got = 0
        begin = time.monotonic()
        s.sendall(data)
        try:
            while True:
                read_frame(s)
                got += 1
        except TimeoutError:
            return False
        except OSError:
            pass
    prompt = time.monotonic() - begin < CLOSE_SECONDS / 2
    return prompt and got == answers and daemons.links_lost() == lost


def answered(addr, vm, data):
    with connect(addr) as s:
        s.sendall(data)
        return vm.encode() in read_frame(s)


def run(daemons, proxies):
    results = {"frames recorded": established_link(proxies) is not None}
    results["sent again on the same connection"] = modify_frames(daemons, proxies, lambda f: f + f)
    early = established_link(proxies).frames[1]
    results["an early frame again"] = modify_frames(daemons, proxies, lambda f: f + early)
    results["left out"] = modify_frames(daemons, proxies, lambda f: b"")
    results["swapped"] = modify_frames(daemons, proxies, swap_frames(proxies))
    proxy = established_link(proxies)
    recorded, vm, addr = list(proxy.frames), proxy.vm, proxy.target
    other = proxies[1 - vm].target
    # The daemon answers with its Hello, whose new nonce the recorded frames don't match. The VM
    # with the lower id refuses the second link before sending its Hello.
    results["on another connection"] = refused(daemons, addr, b"".join(recorded),
                                               1 if vm != 0 else 0)
    results["a later frame alone"] = refused(daemons, addr, recorded[-1], 0)
    results["to another VM"] = refused(daemons, other, b"".join(recorded), 0)
    nonce = os.urandom(16)
    target = f"vm-{vm + 1}"
    results["Hello without a nonce"] = refused(daemons, addr,
                                               hello(daemons.key, "vm-8", target, b""), 0)
    results["Hello with a short nonce"] = refused(daemons, addr,
                                                  hello(daemons.key, "vm-8", target, nonce[1:]), 0)
    # The same Hello with a valid nonce is answered, so the two above were refused for their nonce.
    results["Hello with a nonce is answered"] = answered(addr, target, hello(
        daemons.key, "vm-8", target, nonce))
    # A recorded Hello of the other VM, alone, must not replace the link in use.
    results["Hello alone"] = hello_alone(daemons, vm, addr, recorded[0])
    return results


def hello_alone(daemons, vm, addr, frame):
    """Sends a recorded Hello. The VM with the lower id refuses a second link before its Hello; the
    other answers and waits for a LinkReady, which a recorded frame can't provide."""
    lost, links = daemons.links_lost(), daemons.counter(vm, "peer_links")
    with connect(addr) as s:
        s.settimeout(CLOSE_SECONDS)
        s.sendall(frame)
        try:
            read_frame(s)
            answered_it = True
        except OSError:
            answered_it = False
        return (answered_it == (vm != 0) and daemons.links_lost() == lost
                and daemons.counter(vm, "peer_links") == links)


def main():
    script = load_fleet_module()
    proxies = [Proxy(0), Proxy(1)]
    write_settings = script.write_settings

    def settings(fleet, i, *given):
        """Makes VM `i` advertise the proxy as its peer address."""
        path = write_settings(fleet, i, *given)
        with socket.create_server(("127.0.0.1", 0)) as free:
            proxies[i].target = "127.0.0.1:%d" % free.getsockname()[1]
        with open(path, encoding="utf-8") as f:
            text = f.read()
        with open(path, "w", encoding="utf-8") as f:
            f.write(text.replace("  peer: 127.0.0.1:0", f"  peer: {proxies[i].target}\n"
                                 f"  peer_advertised: {proxies[i].addr}"))
        return path

    script.write_settings = settings
    with tempfile.TemporaryDirectory() as directory:
        try:
            script.start(argparse.Namespace(dir=directory, vms=2, deployment="bakstehuset"))
            results = run(Daemons(directory), proxies)
        finally:
            script.stop(argparse.Namespace(dir=directory))
    for name, ok in results.items():
        print(f"replay: {name}: {'ok' if ok else 'FAILED'}")
    return 0 if all(results.values()) else 1


if __name__ == "__main__":
    sys.exit(main())
