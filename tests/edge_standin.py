"""Stand-ins for the users' store and endpoints, with faults that a test can set.

They implement the part of the platform's published protocol that the router uses. All listen on
loopback, and endpoints record the headers of every request.
"""
import base64
import itertools
import json
import socket
import socketserver
import threading
import time
from http.server import BaseHTTPRequestHandler
from random import SystemRandom
from urllib.parse import parse_qs, urlsplit


# Outside the range from which the system takes ports by itself: an outgoing connection could have a
# port before a daemon listens on it, and daemons of other tests still call endpoints of theirs that
# are gone.
PORTS = range(10000, 32000)
next_port = itertools.cycle(PORTS)
for _ in range(SystemRandom().randrange(len(PORTS))):
    next(next_port)


def free_ports(*names):
    """Returns a different free port for each name; other calls return other ones."""
    ports = {}
    while len(ports) < len(names):
        port = next(next_port)
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports[names[len(ports)]] = port
    return ports


class Server(socketserver.ThreadingMixIn, socketserver.TCPServer):
    allow_reuse_address = True
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        pass  # tests make the router close connections early


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *args):
        pass

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def reply(self, status, payload=b"", headers=()):
        if isinstance(payload, (dict, list)):
            payload = json.dumps(payload).encode()
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(payload)))
        self.end_headers()
        self.wfile.write(payload)

    def cut(self):
        """Closes the connection with a TCP reset, as when the process is killed."""
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self.close_connection = True
        self.connection.close()


def serve(handler, **attributes):
    cls = type("Bound", (handler,), attributes)
    server = Server(("127.0.0.1", free_ports("server")["server"]), cls)
    threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
    return server, f"127.0.0.1:{server.server_address[1]}"


def close_all(servers):
    """Ends the servers and waits for it. A server that is left over wakes up 20 times a second."""
    threads = [threading.Thread(target=s.shutdown) for s in servers]
    for t in threads:
        t.start()
    for t, s in zip(threads, servers):
        t.join()
        s.server_close()


class Door:
    """One listening address of the store; answers 503 while `closed`, unlike the others. Listings of
    the endpoints are answered `list_delay_s` late, from the rows before, and further pages of one
    after `page_pause_s`."""

    def __init__(self, store):
        self.closed = False
        self.list_delay_s = 0
        self.page_pause_s = 0
        self.server, self.addr = serve(StoreHandler, store=store, door=self)


# The tables without which a VM does not become ready.
STARTUP_TABLES = ("op", "servers", "toucanlb-secret", "toucanlb-vm")
KEY_BYTES_MAX = 200
SILENCE = object()
CUT = object()
SILENCE_S = 15  # longer than any call of the router


def key_bytes(key):
    """A key may be any text that JSON can hold."""
    return key.encode(errors="surrogatepass")


class Store:
    """Rows with one version counter. Faults: `down`, `read_only`, closed doors, `silent` (calls that
    arrive meanwhile are never answered), `withheld` (only reads of `STARTUP_TABLES` are answered),
    a dropped change log (`forgotten`: the last version whose change is no longer available), and a
    return from an older copy (`restore`). Pages of a listing have `page_rows` rows."""

    def __init__(self):
        self.rows = {}
        self.log = []  # changes that can be read
        self.history = []  # all changes, for `restore`
        self.version = 0
        self.era = 1
        self.changed = threading.Condition()
        self.down = False
        self.read_only = False
        self.silent = False
        self.withheld = False
        self.forgotten = 0
        self.page_rows = 500
        self.calls = 0
        self.listings = 0  # calls for a page of the endpoints

    def put(self, table, key, value):
        with self.changed:
            self._put(table, key, value)

    def _put(self, table, key, value):
        self.version += 1
        row = {"table": table, "part": "", "key": key, "ver": self.version}
        if value is None:
            self.rows.pop((table, key), None)
            row["removed"] = True
        else:
            if not isinstance(value, str):
                value = json.dumps(value)
            row["value"] = base64.b64encode(value.encode()).decode()
            self.rows[table, key] = row
        self.log.append(row)
        self.history.append(row)
        self.changed.notify_all()

    def restore(self, version):
        """Goes back to the rows as of a version; later versions are given out again."""
        with self.changed:
            self.log = [r for r in self.log if r["ver"] <= version]
            self.history = [r for r in self.history if r["ver"] <= version]
            self.rows = {}
            for r in self.history:
                self.rows[r["table"], r["key"]] = r
            self.rows = {k: r for k, r in self.rows.items() if "removed" not in r}
            self.version = version
            self.era += 1
            self.changed.notify_all()

    def answer(self, **fields):
        return dict(fields, ver=self.version, nowMs=int(time.monotonic() * 1000))

    def listing(self, table, start=""):
        """One page of a table, of at most `page_rows` rows, with keys in byte order."""
        with self.changed:
            rows = [r for (t, k), r in sorted(self.rows.items(), key=lambda i: key_bytes(i[0][1]))
                    if t == table and key_bytes(k) >= key_bytes(start)]
            return self.answer(rows=rows[:self.page_rows], truncated=len(rows) > self.page_rows)

    def feed(self, table, after, wait_ms, door):
        end = time.monotonic() + wait_ms / 1000
        with self.changed:
            era = self.era
            while True:
                if after < self.forgotten or after > self.version:
                    return None
                if era != self.era:
                    return CUT
                if self.silent:
                    return SILENCE
                rows = [r for r in self.log if r["table"] == table and r["ver"] > after]
                left = end - time.monotonic()
                if rows or left <= 0 or self.down or door.closed:
                    return self.answer(rows=rows)
                self.changed.wait(min(left, 0.1))

    def transact(self, tx):
        with self.changed:
            for e in tx["expected"]:
                row = self.rows.get((e["table"], e["key"]))
                if (row["ver"] if row else 0) != e["ver"]:
                    return 412, self.answer(rows=[row] if row else [])
            for e in tx["puts"]:
                self._put(e["table"], e["key"], base64.b64decode(e["value"]).decode())
            for e in tx["remove"]:
                self._put(e["table"], e["key"], None)
            return 200, self.answer()


class StoreHandler(Handler):
    store = None
    door = None

    def reply(self, status, payload=b"", headers=()):
        super().reply(status, payload, [("Store-Era", str(self.store.era)), *headers])

    def is_down(self):
        return self.store.down or self.door.closed

    def do_GET(self):
        s = self.store
        s.calls += 1
        parts = urlsplit(self.path)
        q = {k: v[0] for k, v in parse_qs(parts.query).items()}
        if self.is_down() or (s.withheld and q["table"] not in STARTUP_TABLES):
            return self.reply(503)
        if parts.path == "/rows-get":
            endpoints = q["table"] == "servers"
            time.sleep(self.door.page_pause_s if endpoints and q.get("from") else 0)
            start = q.get("from", "")
            if len(key_bytes(start)) > KEY_BYTES_MAX:
                return self.reply(400)
            s.listings += endpoints
            answer = s.listing(q["table"], start)
            time.sleep(self.door.list_delay_s if endpoints else 0)
            return self.reply(200, answer)
        answer = s.feed(q["table"], int(q["after"]), int(q["waitMs"]), self.door)
        if answer is SILENCE:
            time.sleep(SILENCE_S)
            return self.cut()
        if self.is_down() or answer is CUT:
            return self.cut()
        return self.reply(410 if answer is None else 200, answer or {})

    def do_POST(self):
        self.store.calls += 1
        tx = json.loads(self.body())
        if self.is_down() or self.store.read_only or self.store.withheld:
            return self.reply(503)
        return self.reply(*self.store.transact(tx))


class Endpoint:
    """One endpoint. `plan` is called with the handler of each request and returns True if it has
    answered the request."""

    def __init__(self, name, service, stage=None, slots=8):
        self.begin(name, service, stage, slots)
        self.listen()

    def listen(self):
        self.server, self.addr = serve(EndpointHandler, endpoint=self)

    def begin(self, name, service, stage=None, slots=8):
        """Sets all fields but the address, for tests with a handler of their own."""
        self.name = name
        self.service = service
        self.stage = stage
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.plan = lambda handler: False
        self.plan_early = lambda handler: False  # the same, before the request's body is read
        self.room = True
        self.hold_pause_s = 0  # before a request for a reservation is answered
        self.free_tokens = None  # larger reservations are refused; None: no limit
        self.reserved = []  # tokens of the reservations granted
        self.load = {}  # fields of the load report
        self.reports = 0
        self.orders = []
        self.order_status = 202  # None: orders are not answered
        self.seen = []
        self.holds = 0
        self.released = []
        self.broken_off = 0
        self.open = set()  # connections
        self.crashes = []  # times
        self.ended = False
        self.leaving = False  # all answers say that it leaves
        self.retry_after = None  # in all refusals
        self.lock = threading.Lock()

    def crash(self, store, down_s=0.3, new_id=False):
        """Breaks off all open connections, as when the process is killed. For `down_s` connections
        are refused; then it is back as a new incarnation, with or without a new id."""
        with self.lock:
            server, self.server = self.server, None
            if not server:
                return
            self.crashes.append(time.monotonic())
            broken = list(self.open)
        server.socket.shutdown(socket.SHUT_RDWR)
        for connection in broken:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # closed meanwhile
        server.shutdown()
        server.server_close()
        timer = threading.Timer(down_s, self.come_back, (store, new_id))
        timer.daemon = True
        timer.start()

    def end(self):
        """Returns the server, which the caller closes, or None after a crash. No server is started any
        more."""
        with self.lock:
            self.ended = True
            server, self.server = self.server, None
        return server

    def come_back(self, store, new_id):
        former = self.name
        if new_id:
            self.name = f"{former.split('.')[0]}.{len(self.crashes)}"
            store.put("servers", former, None)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        with self.lock:
            if self.ended:
                return
            self.listen()
        store.put("servers", self.name, self.entry())

    def entry(self, state="ready"):
        """The entry that it writes now; the sequence rises with every write."""
        self.sequence += 1
        row = {"service": self.service, "address": self.addr, "zone": "z1", "version": "v1",
               "slots": self.slots, "state": state, "coldRemainingMs": 0, "sequence": self.sequence,
               "born": self.born}
        if self.stage:
            row["stage"] = self.stage
        return row

    def attempts(self):
        return [h.get("X-Attempt-Id") for h in self.seen]


class EndpointHandler(Handler):
    endpoint = None
    events = 4
    pause = 0.0

    def setup(self):
        super().setup()
        with self.endpoint.lock:
            self.endpoint.open.add(self.connection)

    def finish(self):
        with self.endpoint.lock:
            self.endpoint.open.discard(self.connection)
        super().finish()

    def send_response(self, code, message=None):
        super().send_response(code, message)
        if code == 503 and self.endpoint.retry_after is not None:
            self.send_header("Retry-After", self.endpoint.retry_after)

    def end_headers(self):
        if self.endpoint.leaving:
            self.send_header("Server-Leaving", "1")
        super().end_headers()

    def refuse(self):
        self.reply(503, headers=[("X-Not-Executed", "1")])
        return True

    def do_GET(self):
        if self.path == "/report":
            self.endpoint.reports += 1
            report = {"stage": self.endpoint.stage, "running": 0, "waiting": 0, "kvUsed": 0,
                      "kvTotal": 1000}
            return self.reply(200, dict(report, **self.endpoint.load))
        return self.run()

    def do_POST(self):
        e = self.endpoint
        if self.path == "/order":
            e.orders.append(dict(json.loads(self.body()),
                                 instance=self.headers.get("X-Target-Instance")))
            return self.reply(e.order_status) if e.order_status else self.cut()
        if self.path == "/hold-take":
            tokens = json.loads(self.body())["tokens"]
            e.holds += 1
            time.sleep(e.hold_pause_s)
            if not e.room or (e.free_tokens is not None and tokens > e.free_tokens):
                return self.reply(503, headers=[("X-Not-Executed", "1")])
            e.reserved.append(tokens)
            return self.reply(200, {"hold": f"h{e.holds}"})
        return self.run()

    def do_DELETE(self):
        self.endpoint.released.append(self.path)
        self.reply(200)

    def run(self):
        e = self.endpoint
        if e.plan_early(self):
            e.seen.append(dict(self.headers.items()))
            return self.body()
        self.payload = self.body()
        e.seen.append(dict(self.headers.items()))
        if self.headers.get("X-Target-Instance") != e.name:
            return self.reply(421, headers=[("X-Instance-Id", e.name)])
        if e.plan(self):
            return None
        if self.headers.get("X-Serving-Stage") == "prefill":
            return self.reply(200, {"kvHandle": f"kv{len(e.seen)}", "tokens": 10, "version": 1})
        if e.stage:
            return self.stream(int(self.headers.get("Last-Event-Id") or 0))
        return self.answer(200, b"done")

    def answer(self, status, payload):
        self.reply(status, payload, [("X-Attempt-Id", self.headers.get("X-Attempt-Id", "")),
                                     ("X-Response-Signature", f"sig-{self.endpoint.name}"),
                                     ("Content-Type", "text/plain")])

    def begin_stream(self, chunked=True):
        self.send_response(200)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("X-Attempt-Id", self.headers.get("X-Attempt-Id", ""))
        self.send_header("X-Response-Signature", f"sig-{self.endpoint.name}")
        if chunked:
            self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()

    def answer_until_close(self, payload, reset=False):
        """Sends a response with neither a length nor chunks, which ends with its connection."""
        self.begin_stream(chunked=False)
        self.wfile.write(payload)
        self.close_connection = True
        if reset:
            time.sleep(0.1)  # a reset discards what the router has not read
            self.cut()
        return True

    def chunk(self, data):
        self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
        self.wfile.flush()

    def event(self, n):
        self.chunk(b"id: %d\ndata: piece %d\n\n" % (n, n))

    def stream(self, after, until=None, pause=0.0):
        """Sends the events after `after`. With `until` it stops there without the last chunk."""
        try:
            self.begin_stream()
            for n in range(after + 1, self.events + 1):
                if until is not None and n > until:
                    return
                self.event(n)
                time.sleep(pause)
            self.wfile.write(b"0\r\n\r\n")
        except OSError:
            self.endpoint.broken_off += 1
