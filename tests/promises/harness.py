"""Harness of the promise tests: fleets, faults, callers over raw sockets, and results.

A test is a function marked with @case. It gets a Test, which starts fleets and draws random numbers
from the test's seed, and returns (figure, bound): it passes when figure <= bound. Each prints
    promise=<n> test=<name> seed=<n> figure=<..> bound=<..> ok|FAILED
"""
import argparse
import contextlib
import hashlib
import http.client
import importlib.machinery
import importlib.util
import io
import json
import os
import random
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BUILD = os.environ.get("TOUCANLB_BUILD", os.path.join(ROOT, "build"))
TOKEN_BYTES = 4
ANSWER_SECONDS = 20  # a caller's patience


class Failed(Exception):
    """The test could not establish its figure."""


# --- stand-ins and daemons ---

def http_json(addr, method, path, body=None, key=None, timeout=5):
    """One request; returns (status, parsed body), or (0, None) without a response."""
    headers = {"Authorization": f"Bearer {key}"} if key else {}
    c = http.client.HTTPConnection(addr, timeout=timeout)
    try:
        c.request(method, path, None if body is None else json.dumps(body), headers)
        r = c.getresponse()
        data = r.read()
        return r.status, json.loads(data) if data else None
    except (OSError, http.client.HTTPException, ValueError):
        return 0, None
    finally:
        c.close()


def hold_port(addr):
    """Takes the port of a process that ends, without listening: the system could give it to another
    process or to an outgoing connection otherwise. A process that sets SO_REUSEADDR can listen there all
    the same."""
    host, port = addr.split(":")
    holder = socket.socket()
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)

    def bound():
        try:
            holder.bind((host, int(port)))
            return True
        except OSError:
            return False
    if wait_until(bound, 2, 0.002) is None:
        raise Failed(f"the port {port} was taken")
    return holder


class Standin:
    """A stand-in under fault control."""

    def __init__(self, name, listen, control, pid):
        self.name, self.listen, self.control, self.pid = name, listen, control, pid

    def state(self):
        """The stand-in's state, or None when its process has ended."""
        return http_json(self.control, "GET", "/state")[1]

    def seen(self, path):
        """Requests received on a path so far."""
        return ((self.state() or {}).get("seen_by_path") or {}).get(path, 0)

    def requests(self, prefix=""):
        """The last requests as received."""
        return http_json(self.control, "GET", f"/requests?path={prefix}")[1] or []

    def fault(self, kind, path="", count=-1, **more):
        """Sets a fault; count -1 hits every request until clear()."""
        body = {"kind": kind, "path": path, "count": count, **more}
        status, _ = http_json(self.control, "POST", "/fault", body)
        if status != 200 and kind != "die":
            raise Failed(f"{self.name} refused the fault {kind}")

    def clear(self):
        http_json(self.control, "POST", "/fault", {"kind": "none"})

    def hold_port(self):
        """A fleet that runs beside this one could get the port of a stand-in that has ended otherwise,
        and would execute what is sent to the dead stand-in."""
        self.port_holder = hold_port(self.listen)


def load_fleet_module():
    path = os.path.join(ROOT, "scripts", "fleet")
    loader = importlib.machinery.SourceFileLoader("fleet_script", path)
    spec = importlib.util.spec_from_loader("fleet_script", loader)
    module = importlib.util.module_from_spec(spec)
    loader.exec_module(module)
    return module


class Fleet:
    """A running fleet of scripts/fleet.

    rows overrides or adds configuration rows (None removes one); standin_options adds options to
    stand-ins by kind or name; edit_settings(vm, path) may change a settings file before its start.
    """

    def __init__(self, vms=8, deployment="bakstehuset", rows=None, standin_options=None,
                 edit_settings=None):
        self.dir = tempfile.mkdtemp(prefix="toucanlb-promise-")
        self.script = load_fleet_module()
        self.standins = {}
        self.dead = set()
        self.port_holders = []
        self._patch(rows or {}, standin_options or {}, edit_settings)
        try:
            with contextlib.redirect_stdout(io.StringIO()):
                self.script.start(argparse.Namespace(dir=self.dir, vms=vms, deployment=deployment))
        except BaseException:
            self.stop()
            raise
        with open(os.path.join(self.dir, "fleet.env"), encoding="utf-8") as f:
            self.env = {k: v.strip().strip('"') for k, v in
                        (line.split("=", 1) for line in f if "=" in line)}
        self.callers = self.env["CALLER_ADDRS"].split()
        self.operators = self.env.get("OPERATOR_ADDRS", "").split()
        self.pids = [int(p) for p in self.env["VM_PIDS"].split()]
        self.key = self.env["KEY"]
        self.model = self.env["MODEL"]
        self.paid_path = self.env["PAID_PATH"]
        self.service_path = self.env["SERVICE_PATH"]
        self.table = self.standins["table"]
        for vm in range(vms):
            if not self.wait_ready(vm, 15):
                self.stop()
                raise Failed(f"vm-{vm + 1} is not ready 15 s after the fleet's start")

    def _patch(self, rows, options, edit_settings):
        """Hooks into the script: records the fleet, adds rows and options."""
        outer, script = self, self.script
        base_standin, base_rows = script.Fleet.standin, script.other_rows

        def standin(inner, name, kind, *given):
            outer.processes = inner
            extra = options.get(name, options.get(kind, []))
            listen, control = base_standin(inner, name, kind, *given, *extra)
            outer.standins[name] = Standin(name, listen, control, inner.pids[-1]["pid"])
            return listen, control

        real_dump = json.dump

        def other_rows(d):
            return {**base_rows(d), **{k: v for k, v in rows.items() if v is not None}}

        class Json:
            """json for the script; takes removed rows out of rows.json."""
            dumps, load, loads = json.dumps, json.load, json.loads

            @staticmethod
            def dump(value, f):
                if isinstance(value, dict):
                    value = {k: v for k, v in value.items() if rows.get(k, v) is not None}
                    value.update({k: v for k, v in rows.items() if v is not None})
                real_dump(value, f)

        base_settings = script.write_settings

        def write_settings(inner, vm, *given):
            path = base_settings(inner, vm, *given)
            if edit_settings:
                edit_settings(vm, path)
            return path

        script.write_settings = write_settings
        script.Fleet.standin = standin
        script.other_rows = other_rows
        script.json = Json

    def __enter__(self):
        return self

    def __exit__(self, kind, *rest):
        self.stop()

    def stop(self):
        for holder in self.port_holders:
            holder.close()
        if os.path.exists(os.path.join(self.dir, "pids.json")):
            with contextlib.redirect_stdout(io.StringIO()):
                self.script.stop(argparse.Namespace(dir=self.dir))
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.dir, ignore_errors=True)

    # --- parts ---

    def of_kind(self, prefix):
        return [s for name, s in self.standins.items() if name.startswith(prefix + "-")]

    @property
    def prefills(self):
        return self.of_kind("prefill")

    @property
    def decodes(self):
        return self.of_kind("decode")

    @property
    def services(self):
        return self.of_kind("service")

    @property
    def engines(self):
        return self.prefills + self.decodes

    def account_key(self, number):
        return self.key if number == 1 else f"{self.key}-{number}"

    # --- processes ---

    def kill(self, vm):
        """SIGKILL; vm is an index from 0. Its ports stay reserved for replace()."""
        self.dead.add(vm)
        os.kill(self.pids[vm], signal.SIGKILL)
        self._hold_ports(vm)

    def _hold_ports(self, vm):
        for addr in [self.callers[vm], *self.operators[vm:vm + 1]]:
            self.port_holders.append(hold_port(addr))

    def freeze(self, vm):
        os.kill(self.pids[vm], signal.SIGSTOP)

    def thaw(self, vm):
        os.kill(self.pids[vm], signal.SIGCONT)

    def terminate(self, vm):
        os.kill(self.pids[vm], signal.SIGTERM)

    def wait_exit(self, vm, seconds):
        """Returns the exit status, or None when the daemon still runs."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            pid, status = os.waitpid(self.pids[vm], os.WNOHANG)
            if pid:
                self._hold_ports(vm)
                return os.waitstatus_to_exitcode(status)
            time.sleep(0.02)
        return None

    def replace(self, vm, wait=True):
        """Starts the VM's daemon again, on the same caller and operator addresses."""
        path = os.path.join(self.dir, f"vm-{vm + 1}.yaml")
        with open(path, encoding="utf-8") as f:
            text = f.read()
        text = text.replace("caller: 127.0.0.1:0", f"caller: {self.callers[vm]}")
        if self.operators:
            text = text.replace("operator: 127.0.0.1:0", f"operator: {self.operators[vm]}")
        with open(path, "w", encoding="utf-8") as f:
            f.write(text)
        pid, ready = self.processes.spawn(f"vm-{vm + 1}",
                                          [os.path.join(BUILD, "toucanlbd"), path])
        self.pids[vm] = pid
        self.dead.discard(vm)
        self.callers[vm] = ready["caller"]
        if self.operators:
            self.operators[vm] = ready["operator"]
        if wait and not self.wait_ready(vm, 15):
            raise Failed(f"vm-{vm + 1} is not ready 15 s after its start")

    def ready(self, vm):
        if self.operators:
            return http_json(self.operators[vm], "GET", "/readyz", timeout=1)[0] == 200
        return http_json(self.callers[vm], "GET", self.service_path, key=self.key,
                         timeout=1)[0] == 200

    def wait_ready(self, vm, seconds):
        return wait_until(lambda: self.ready(vm), seconds) is not None

    # --- the store ---

    def store_down(self):
        """Every request to the table service is refused."""
        self.table.fault("refuse")

    def store_slow(self, ms):
        self.table.fault("delay", ms=ms)

    def store_up(self):
        self.table.clear()

    def credential(self):
        with open(self.env["OPERATOR_CREDENTIAL_FILE"], encoding="utf-8") as f:
            return f.read().strip()

    def version(self, vm, timeout=2):
        """The configuration version in force at a VM, or None."""
        _, body = http_json(self.operators[vm], "GET", "/v1/table?kind=operator",
                            key=self.credential(), timeout=timeout)
        return body.get("version") if body else None

    def change(self, rows, vm=0, base=None, change_id=None, timeout=15):
        """An operator's change at one VM; returns (status, body). Without an operator listener the
        rows are written to the table service."""
        if not self.operators:
            return self.change_in_store(rows)
        if base is None:
            base = self.version(vm) or 0
        body = {"change_id": change_id or "t-" + secrets.token_hex(6), "base_version": base,
                "summary": "promise test",
                "rows": [{"key": k, "value": v} for k, v in rows.items()]}
        return http_json(self.operators[vm], "POST", "/v1/change", body, self.credential(), timeout)

    def change_in_store(self, rows):
        _, head = http_json(self.table.listen, "GET", "/row?key=config/head")
        new = dict(head["value"], version=head["value"]["version"] + 1,
                   change_id="t-" + secrets.token_hex(6))
        status, _ = http_json(self.table.listen, "POST", "/txn", {
            "checks": [{"key": "config/head", "version": head["version"]}],
            "writes": [{"key": "config/head", "value": new},
                       *({"key": k, "value": v} for k, v in rows.items())]})
        return status, {"version": new["version"]}

    def row(self, key):
        """The value of a row in the table service, or None."""
        _, body = http_json(self.table.listen, "GET", f"/row?key={key}")
        return body.get("value") if body else None

    # --- what ran ---

    def bodies_executed(self):
        """Executions by hash of the body over all services."""
        total = {}
        for s in self.services:
            for key, n in (((s.state() or {}).get("executions") or {}).get("by_body")
                           or {}).items():
                total[key] = total.get(key, 0) + n
        return total

    def times_sent(self, body):
        """How often a request with exactly this body reached a service."""
        return sum(1 for s in self.services for r in s.requests() if r["body"] == body)

    def held_pieces(self):
        return sum((e.state() or {}).get("held_pieces", 0) for e in self.engines)

    def wait_released(self, seconds):
        """Seconds until no engine holds memory, or None."""
        return wait_until(lambda: self.held_pieces() == 0, seconds)

    def logs(self):
        """The daemons' logs, all in one."""
        text = []
        for name in sorted(os.listdir(self.dir)):
            if name.startswith("vm-") and name.endswith(".log"):
                with open(os.path.join(self.dir, name), encoding="utf-8", errors="replace") as f:
                    text.append(f.read())
        return "\n".join(text)

    def prompts_seen(self, prompt):
        """How often a prefill of this prompt reached an engine."""
        n = 0
        for e in self.prefills:
            for r in e.requests("/prefill"):
                if isinstance(r["body"], str) and json.loads(r["body"]).get("prompt") == prompt:
                    n += 1
        return n


def wait_until(true, seconds, interval=0.1):
    """Seconds until true() holds, or None."""
    begin = time.monotonic()
    while time.monotonic() - begin < seconds:
        if true():
            return time.monotonic() - begin
        time.sleep(interval)
    return None


# --- expected outputs ---

def fnv(data):
    h = 0xcbf29ce484222325
    for b in data:
        h = ((h ^ b) * 0x100000001b3) & 0xffffffffffffffff
    return h


def output_of(prompt, max_tokens):
    """The engine stand-in's output for a prompt."""
    h = fnv(prompt.encode())
    n = min(max_tokens, 8 + h % 57)
    return "".join(f"tok{i}-{h & 0xffffffff:08x} " for i in range(n))


# --- callers ---

class Response:
    """What a caller has received. complete: the framing has ended as HTTP says it must."""

    def __init__(self):
        self.status, self.headers, self.body = 0, {}, b""
        self.complete, self.broken, self.extra = False, "", b""

    @property
    def json(self):
        try:
            return json.loads(self.body)
        except ValueError:
            return None

    @property
    def error(self):
        """The router's error object; {} when the body is something else."""
        j = self.json
        e = j.get("error") if isinstance(j, dict) else None
        return e if isinstance(e, dict) else {}

    @property
    def code(self):
        return self.error.get("code")

    @property
    def outcome(self):
        return self.error.get("outcome")

    def events(self):
        """The data of the server-sent events received whole."""
        return [e[6:].decode() for e in self.body.split(b"\n\n")[:-1] if e.startswith(b"data: ")]

    def stream_text(self):
        return "".join((json.loads(e).get("choices") or [{}])[0].get("text", "")
                       for e in self.events() if e != "[DONE]")

    def stream_error(self):
        for e in self.events():
            if e != "[DONE]" and "error" in json.loads(e):
                return json.loads(e)["error"]
        return None

    def __repr__(self):
        return f"<{self.status} complete={self.complete} broken={self.broken!r} {self.body[-120:]}>"


class Caller:
    """A caller on one raw connection, which can close, half-close, stall or send slowly."""

    def __init__(self, addr, timeout=ANSWER_SECONDS):
        host, port = addr.rsplit(":", 1)
        self.addr = addr
        self.buffer = b""
        self.sock = socket.create_connection((host, int(port)), timeout=timeout)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def __enter__(self):
        return self

    def __exit__(self, *rest):
        self.close()

    def close(self):
        self.sock.close()

    def reset(self):
        """Closes with a reset instead of a normal end."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self.sock.close()

    def half_close(self):
        self.sock.shutdown(socket.SHUT_WR)

    def closed_by_peer(self):
        """Whether the other side has already ended the connection."""
        self.sock.setblocking(False)
        try:
            return self.sock.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True
        finally:
            self.sock.settimeout(ANSWER_SECONDS)

    def send(self, method, path, key=None, body=None, headers=None):
        """Sends a request; a dict as body becomes JSON."""
        self.sock.sendall(request_bytes(method, path, key, body, headers))

    def _more(self):
        data = self.sock.recv(65536)
        if not data:
            raise ConnectionError("closed")
        self.buffer += data

    def _line(self):
        while b"\r\n" not in self.buffer:
            self._more()
        line, self.buffer = self.buffer.split(b"\r\n", 1)
        return line

    def _take(self, n):
        while len(self.buffer) < n:
            self._more()
        data, self.buffer = self.buffer[:n], self.buffer[n:]
        return data

    def read_head(self, r):
        r.status = int(self._line().split()[1])
        while True:
            line = self._line()
            if not line:
                break
            name, value = line.decode().split(":", 1)
            r.headers[name.strip().lower()] = value.strip()
        if r.status == 100:
            self.read_head(r)

    def _chunks(self, r, on_data):
        while True:
            n = int(self._line().split(b";")[0], 16)
            if n == 0:
                self._line()
                return
            r.body += self._take(n)
            self._take(2)
            if on_data and on_data(r) is False:
                raise InterruptedError

    def receive(self, on_data=None, timeout=None):
        """Reads a response as far as it comes. on_data(response) runs after each chunk and may
        return False to stop reading."""
        r = Response()
        if timeout:
            self.sock.settimeout(timeout)
        try:
            self.read_head(r)
            if r.headers.get("transfer-encoding") == "chunked":
                self._chunks(r, on_data)
            else:
                need = int(r.headers.get("content-length", 0))
                while len(r.body) < need:
                    if not self.buffer:
                        self._more()
                    part = self._take(min(need - len(r.body), len(self.buffer)))
                    r.body += part
            r.complete = True
        except InterruptedError:
            r.broken = "stopped"
        except socket.timeout:
            r.broken = "timeout"
        except (OSError, ValueError, IndexError) as e:
            r.broken = str(e) or type(e).__name__
        return r

    def extra_bytes(self, seconds):
        """Bytes that arrive after the response."""
        self.sock.settimeout(seconds)
        data = self.buffer
        try:
            while True:
                more = self.sock.recv(65536)
                if not more:
                    break
                data += more
        except OSError:
            pass
        return data


def request_bytes(method, path, key=None, body=None, headers=None):
    if isinstance(body, dict):
        body = json.dumps(body)
    data = (body or "").encode() if not isinstance(body, bytes) else body
    lines = [f"{method} {path} HTTP/1.1", "Host: test"]
    if key:
        lines.append(f"Authorization: Bearer {key}")
    lines += [f"{n}: {v}" for n, v in (headers or {}).items()]
    if body is not None:
        lines += ["Content-Type: application/json", f"Content-Length: {len(data)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + data


def ask(addr, method, path, key=None, body=None, headers=None, timeout=ANSWER_SECONDS,
        on_data=None):
    """One request on its own connection; a connection that can't be made has status -1."""
    try:
        with Caller(addr, timeout) as c:
            c.send(method, path, key, body, headers)
            return c.receive(on_data)
    except OSError as e:
        r = Response()
        r.status, r.broken = -1, str(e)
        return r


def pay(fleet, vm, idempotency_key, body, key=None, timeout=ANSWER_SECONDS):
    """A paid call; idempotency_key None leaves the header out."""
    headers = {"Idempotency-Key": idempotency_key} if idempotency_key else None
    return ask(fleet.callers[vm], "POST", fleet.paid_path, key or fleet.key, body, headers, timeout)


def completion_body(fleet, prompt, max_tokens=40, stream=False, **more):
    return {"model": fleet.model, "prompt": prompt, "max_tokens": max_tokens, "stream": stream,
            **more}


def complete(fleet, vm, prompt, max_tokens=40, stream=False, key=None, timeout=ANSWER_SECONDS,
             on_data=None):
    return ask(fleet.callers[vm], "POST", "/v1/completions", key or fleet.key,
               completion_body(fleet, prompt, max_tokens, stream), None, timeout, on_data)


def judge_completion(r, prompt, max_tokens, stream):
    """"whole", "refused" (not run), "error" (explicit), "broken" (visibly cut) or "wrong"."""
    want = output_of(prompt, max_tokens)
    if stream and r.status == 200:
        return judge_stream(r, want)
    if not r.complete:
        return "broken"
    if r.status == 200:
        choices = (r.json or {}).get("choices") or [{}]
        return "whole" if choices[0].get("text") == want else "wrong"
    if r.outcome == "not_run":
        return "refused"
    return "error" if r.outcome == "unknown" else "wrong"


def judge_stream(r, want):
    events = r.events()
    text = r.stream_text()
    if not want.startswith(text):
        return "wrong"
    if "[DONE]" in events:
        right = text == want and r.complete and events.count("[DONE]") == 1
        return "whole" if right and events[-1] == "[DONE]" else "wrong"
    if r.stream_error():
        return "error"
    return "wrong" if r.complete else "broken"


def parallel(functions):
    """Runs functions side by side; returns their results in order."""
    results = [None] * len(functions)

    def run(i, fn):
        try:
            results[i] = fn()
        except Exception as e:  # pylint: disable=broad-except
            results[i] = e

    threads = [threading.Thread(target=run, args=(i, fn)) for i, fn in enumerate(functions)]
    for t in threads:
        t.start()
    for t in threads:
        t.join()
    for r in results:
        if isinstance(r, Exception):
            raise r
    return results


def load_tool(fleet, seconds, rate, mix, seed, *more):
    """Starts toucanlb-load; load_result() waits for it."""
    return subprocess.Popen(
        [os.path.join(BUILD, "toucanlb-load"), "--env", os.path.join(fleet.dir, "fleet.env"),
         "--json", "--seconds", str(seconds), "--rate", str(rate), "--mix", mix, "--seed",
         str(seed), *more], stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)


def load_result(process):
    out, err = process.communicate(timeout=180)
    result = json.loads(out)
    result["stderr"] = err
    return result


# --- endpoints under byte control ---

class FakeService:
    """A plain service of which a test decides every byte: behave(conn, request, number) gets each
    request read whole and answers on the raw connection; it returns False to close.
    on_accept(conn, number), when given, runs first and returns False to close at once."""

    def __init__(self, behave, on_accept=None):
        self.behave, self.on_accept = behave, on_accept
        self.requests = []
        self.connections = 0
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.addr = "127.0.0.1:%d" % self.sock.getsockname()[1]
        threading.Thread(target=self._serve, daemon=True).start()

    def row(self, pool="fake"):
        return {"role": "service", "pool": pool, "zone": "zone-a", "addr": self.addr,
                "state": "active", "fencing": False, "pieces": 50, "link_mbps": 20000}

    def close(self):
        self.sock.close()

    def _serve(self):
        while True:
            try:
                conn, _ = self.sock.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(target=self._connection, args=(conn, self.connections),
                             daemon=True).start()

    def _connection(self, conn, number):
        data = b""
        try:
            if self.on_accept and self.on_accept(conn, number) is False:
                return
            while True:
                while not whole_request(data):
                    more = conn.recv(65536)
                    if not more:
                        return
                    data += more
                n = whole_request(data)
                request, data = data[:n], data[n:]
                self.requests.append(request)
                if self.behave(conn, request, len(self.requests)) is False:
                    return
        except OSError:
            pass
        finally:
            conn.close()


def whole_request(data):
    """The length of the first request in data, 0 while it is not whole."""
    head, mark, _ = data.partition(b"\r\n\r\n")
    if not mark:
        return 0
    need = 0
    for line in head.split(b"\r\n")[1:]:
        if line.lower().startswith(b"content-length:"):
            need = int(line.split(b":")[1])
    n = len(head) + 4 + need
    return n if len(data) >= n else 0


def response_bytes(body, status="200 OK", headers=""):
    data = body if isinstance(body, bytes) else body.encode()
    return (f"HTTP/1.1 {status}\r\nContent-Type: text/plain\r\nContent-Length: {len(data)}\r\n"
            f"{headers}\r\n").encode() + data


def reset_connection(conn):
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    conn.close()


def fake_routes(idempotent):
    """A route /fake to the pool "fake", for GET and POST."""
    return {f"config/route/fake-{m.lower()}": {
        "path": "/fake", "method": m, "pool": "fake", "open": False, "idempotent": idempotent,
        "cost": 10, "timeout_ms": 2000} for m in ("GET", "POST")}


# --- tests ---

class Test:
    """One run of a case."""

    def __init__(self, name, seed):
        self.name, self.seed = name, seed
        self.random = random.Random(f"{name}-{seed}")
        self.notes = []

    def fleet(self, **options):
        return Fleet(**options)

    def note(self, text):
        """A detail that is printed when the test fails."""
        self.notes.append(str(text)[:300])

    def vm(self, fleet, but=()):
        return self.random.choice([i for i in range(len(fleet.callers)) if i not in but])

    def prompt(self, tokens):
        """A prompt of so many tokens, unlike any other of this test."""
        head = f"{self.name} {self.seed} {self.random.getrandbits(64):016x} "
        length = max(tokens * TOKEN_BYTES, len(head))
        return (head + "abcdefg " * (length // 8 + 1))[:length]

    def body(self):
        return json.dumps({"order": f"{self.name}-{self.random.getrandbits(64):016x}"})


CASES = []


def case(fn):
    """Marks a test."""
    CASES.append(fn)
    return fn


def show(value):
    return f"{value:.2f}" if isinstance(value, float) else str(value)


def run_case(promise, fn, seed):
    t = Test(fn.__name__, seed)
    try:
        figure, bound = fn(t)
        ok = figure is not None and figure <= bound
    except Failed as e:
        figure, bound, ok = "none", "-", False
        t.note(e)
    except Exception:  # pylint: disable=broad-except
        figure, bound, ok = "none", "-", False
        t.note(traceback.format_exc()[-300:].replace("\n", " | "))
    print(f"promise={promise} test={fn.__name__} seed={seed} figure={show(figure)} "
          f"bound={show(bound)} {'ok' if ok else 'FAILED'}", flush=True)
    if not ok:
        for n in t.notes[:6]:
            print(f"  {n}", flush=True)
    return ok


def sha256(text):
    return hashlib.sha256(text.encode()).hexdigest()


def main(promise):
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--list", action="store_true", help="name the tests")
    parser.add_argument("tests", nargs="*", help="run only these")
    args = parser.parse_args()
    chosen = [fn for fn in CASES if not args.tests or fn.__name__ in args.tests]
    if args.list:
        print("\n".join(fn.__name__ for fn in chosen))
        sys.exit(0)
    results = [run_case(promise, fn, args.seed) for fn in chosen]
    sys.exit(0 if all(results) and results else 1)
