"""Contract test of the operator interface: its HTTP paths and command-line tool, against a daemon
and the table stand-in. TOUCANLBD is the path of the daemon's executable."""
import hashlib
import http.client
import json
import os
import socket
import subprocess
import tempfile
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
BUILD = os.environ.get("BUILD", os.path.join(HERE, "..", "build"))
TOUCANLBD = os.environ.get("TOUCANLBD", f"{BUILD}/toucanlbd")
FIRST = "first-credential"
ACCOUNT = {"weight": 1.0, "rate": 10, "burst": 100}


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


def write_private(path, text):
    with open(os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600), "w") as f:
        f.write(text)


def exchange(address, method, path, body=None, credential=None, timeout=15):
    host, port = address.split(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=timeout)
    headers = {"Authorization": f"Bearer {credential}"} if credential else {}
    data = json.dumps(body) if isinstance(body, (dict, list)) else body
    conn.request(method, path, data, headers)
    response = conn.getresponse()
    data = response.read()
    conn.close()
    try:
        return response.status, json.loads(data)
    except ValueError:
        return response.status, data


class Fixture:
    """A table stand-in and a daemon, with calls of the HTTP interface and the command-line tool."""

    def __init__(self, directory):
        self.directory = directory
        self.table = subprocess.Popen(
            [f"{BUILD}/standin-table", "--listen", "127.0.0.1:0", "--control", "127.0.0.1:0"],
            stdout=subprocess.PIPE, text=True)
        words = self.table.stdout.readline().split()
        self.store = words[1].removeprefix("listen=")
        self.control = words[2].removeprefix("control=")
        self.address = f"127.0.0.1:{free_port()}"
        self.credential = FIRST
        self.start_daemon()

    def start_daemon(self):
        hashed = hashlib.sha256(FIRST.encode()).hexdigest()
        write_private(f"{self.directory}/secrets",
                      f"peer_key: 1 {'ab' * 32}\noperator: {hashed}\n")
        with open(f"{self.directory}/settings.yaml", "w") as f:
            f.write(f'vm: {{id: vm1, zone: z1, region: r1}}\n'
                    f'listen: {{caller: "127.0.0.1:0", operator: "{self.address}", '
                    f'peer: "127.0.0.1:0"}}\n'
                    f'platform: {{store_url: "http://{self.store}"}}\n'
                    f'log: {{file: {self.directory}/log}}\n'
                    f'secrets: {{file: secrets}}\n')
        self.daemon = subprocess.Popen([TOUCANLBD, f"{self.directory}/settings.yaml"],
                                       stdout=subprocess.DEVNULL)
        self.wait(lambda: exchange(self.address, "GET", "/healthz")[0] == 200)
        # The daemon refuses every credential until it has loaded a configuration.
        self.wait(lambda: self.call("GET", "/v1/status")[0] == 200)

    def stop(self):
        for process in (self.daemon, self.table):
            process.terminate()
            process.wait(15)
        self.table.stdout.close()

    @staticmethod
    def wait(condition, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                if condition():
                    return
            except OSError:
                pass
            time.sleep(0.05)
        raise AssertionError("condition not met in time")

    def call(self, method, path, body=None, credential=None):
        return exchange(self.address, method, path, body, credential or self.credential)

    def version(self):
        return self.call("GET", "/v1/table")[1]["version"]

    def change(self, rows, base=None, change_id=None, path="/v1/change"):
        return self.call("POST", path, {
            "change_id": change_id or f"c{time.monotonic_ns()}", "summary": "test",
            "base_version": self.version() if base is None else base,
            "rows": [{"key": f"config/{k}", "value": v} for k, v in rows.items()]})

    def fault(self, **fault):
        status, _ = exchange(self.control, "POST", "/fault", fault)
        assert status == 200

    def tool(self, *args):
        write_private(f"{self.directory}/credential", self.credential + "\n")
        env = dict(os.environ, TOUCANLB_OPERATORS=f"127.0.0.1:{free_port()},{self.address}",
                   TOUCANLB_CREDENTIAL_FILE=f"{self.directory}/credential")
        done = subprocess.run([f"{BUILD}/toucanlb", *args], env=env, capture_output=True, text=True,
                              timeout=60)
        assert self.credential not in done.stderr, "a credential was shown"
        return done.returncode, done.stdout, done.stderr


def test_credentials(f):
    """Guards against access without a granted credential."""
    for path in ("/v1/table", "/v1/status", "/v1/change", "/v1/nothing", "/nothing"):
        status, body = exchange(f.address, "GET", path)
        assert (status, body["error"]["code"]) == (401, "missing_key"), path
        status, body = exchange(f.address, "GET", path, credential="a-wrong-credential")
        assert (status, body["error"]["code"]) == (401, "invalid_key"), path
        assert body["error"]["outcome"] == "not_run"
    for path in ("/healthz", "/metrics"):
        assert exchange(f.address, "GET", path)[0] == 200, path


def test_first_operator(f):
    """Guards against a first credential that stays valid once an operator has been granted."""
    code, out, err = f.tool("grant-operator", "ann")
    assert code == 0, err
    f.credential = out.strip()
    assert f.call("GET", "/v1/status")[0] == 200
    assert f.call("GET", "/v1/status", credential=FIRST)[0] == 401
    status, body = f.change({"operator/ann": None})
    assert status == 400, "the last operator was removed"
    assert len(body["faults"]) == 1


def test_change(f):
    status, body = f.change({"account/a1": ACCOUNT})
    assert status == 200, body
    status, table = f.call("GET", "/v1/table?kind=account&id=a1")
    assert table["rows"] == [{"key": "config/account/a1", "value": ACCOUNT}]
    assert table["version"] == body["version"]
    status, row = exchange(f.store, "GET", "/row?key=config/head")
    assert (row["value"]["version"], row["value"]["author"]) == (body["version"], "ann")
    assert f.call("GET", "/v1/table.csv?kind=account")[1] == b"id,weight,rate,burst\r\na1,1.0,10,100\r\n"


def test_long_id(f):
    """Guards against a request for a row whose id is cut to that of another row."""
    longest = "a" * 47
    assert f.change({f"account/{longest}": ACCOUNT})[0] == 200
    status, table = f.call("GET", f"/v1/table?kind=account&id={longest}")
    assert (status, len(table["rows"])) == (200, 1)
    status, body = f.call("GET", f"/v1/table?kind=account&id={longest}b")
    assert (status, body["error"]["code"]) == (400, "bad_request"), body
    assert f.change({f"account/{longest}": None})[0] == 200


def test_faults(f):
    """Guards against an invalid change that is partly written, or reported with missing faults."""
    before = f.version()
    rows = {"account/a2": {"weight": 0, "rate": "x", "burst": 1}, "account/a3": ACCOUNT,
            "key/k9": {"account": "a9", "hash": "my-secret-key", "state": "granted"}}
    for path in ("/v1/change", "/v1/check"):
        status, body = f.change(rows, path=path)
        assert status == 400
        assert [(x["row"], x["column"]) for x in body["faults"]] == [
            ("account/a2", "weight"), ("account/a2", "rate"), ("key/k9", "hash")], body
        assert "my-secret-key" not in json.dumps(body)
    assert f.version() == before
    status, body = f.change({"account/a3": ACCOUNT}, path="/v1/check")
    assert status == 200 and f.version() == before


def test_bad_requests(f):
    for body in ("", "[]", "{", '{"a":1,"a":2}'):
        assert f.call("POST", "/v1/change", body)[0] == 400, body
    status, body = f.call("POST", "/v1/change", {"rows": [{"key": 5}], "colour": "red"})
    assert status == 400
    assert [x["column"] for x in body["faults"]] == ["change_id", "base_version", "summary", "",
                                                     "colour"]
    assert f.call("POST", "/v1/status")[0] == 405
    assert f.call("GET", "/v1/nothing")[0] == 404
    assert f.call("GET", "/v1/table?kind=shoe")[0] == 400
    status, body = f.call("POST", "/v1/change", "x" * (6 << 20) + "x")
    assert (status, body["error"]["code"]) == (413, "too_large")


def test_conflict(f):
    """Guards against a change that overwrites a newer version than its base version."""
    base = f.version()
    assert f.change({"account/a1": ACCOUNT | {"rate": 11}}, base)[0] == 200
    status, body = f.change({"account/a1": ACCOUNT | {"rate": 12}}, base)
    assert (status, body["error"]["code"], body["error"]["outcome"]) == (409, "conflict", "not_run")
    assert (body["winner"]["version"], body["winner"]["author"]) == (base + 1, "ann")
    assert [x["version"] for x in body["since"]] == [base + 1]
    row = f.call("GET", "/v1/table?kind=account&id=a1")[1]["rows"][0]
    assert row["value"]["rate"] == 11


def test_lost_answer(f):
    """Guards against a write reported as failed or applied twice when the answer is lost."""
    base = f.version()
    f.fault(kind="drop_answer", path="/txn", count=1)
    status, body = f.change({"account/a1": ACCOUNT | {"rate": 21}}, change_id="lost")
    assert (status, body["version"]) == (200, base + 1)
    assert f.change({"account/a4": ACCOUNT})[1]["version"] == base + 2
    status, body = f.change({"account/a1": ACCOUNT | {"rate": 21}}, base, change_id="lost")
    assert (status, body["version"]) == (200, base + 1), "a repeated change id was not recognised"
    assert f.version() == base + 2


def test_store_down(f):
    before = f.version()
    f.fault(kind="refuse", path="/", count=-1)
    status, body = f.change({"account/a1": ACCOUNT})
    assert (status, body["error"]["code"]) == (503, "store_unavailable")
    assert body["error"]["outcome"] == "not_run"
    assert f.call("GET", "/v1/table")[0] == 200, "the table in force is served without the store"
    f.fault(kind="none")
    assert f.version() == before


def test_tool(f):
    f.change({"account/a1": ACCOUNT})
    code, out, _ = f.tool("grant-key", "k1", "a1")
    assert code == 0
    row = f.call("GET", "/v1/table?kind=key&id=k1")[1]["rows"][0]["value"]
    assert row["hash"] == hashlib.sha256(out.strip().encode()).hexdigest()
    assert f.tool("grant-key", "k1", "a1")[0] == 1, "an existing key was replaced"
    assert f.tool("withdraw-key", "k1", "--wait")[0] == 0
    row = f.call("GET", "/v1/table?kind=key&id=k1")[1]["rows"][0]["value"]
    assert row["state"] == "withdrawn"
    code, out, err = f.tool("set", "account", "a1", "rate=0", "burst=-1")
    assert code == 1 and err.count("fault: ") == 2, err
    assert f.tool("set", "account", "a1", "speed=1")[0] == 2
    assert f.tool("set", "account", "a1")[0] == 2
    assert f.tool("delete", "account", "a1")[0] == 1, "an account with a key was removed"
    assert f.tool("force", "999999")[0] == 1
    code, out, _ = f.tool("--json", "status")
    assert code == 0 and json.loads(out)["vm"] == "vm1"
    assert f.tool("--operator", f"127.0.0.1:{free_port()}", "status")[0] == 3
    code, _, err = f.tool("--credential-file", f"{f.directory}/settings.yaml", "status")
    assert code == 2 and "0600" in err, "a credential file that others can read was accepted"


def test_import(f):
    """Guards against an import that applies the valid records of an invalid file."""
    path = f"{f.directory}/accounts.csv"
    code, out, _ = f.tool("export", "account")
    assert code == 0
    with open(path, "w") as file:
        file.write(out.replace("\r\n", "\n") + "b1,1,5,50\nb2,0,5,50\n")
    before = f.version()
    code, _, err = f.tool("import", "account", path)
    assert code == 1 and "account/b2, column weight" in err, err
    assert f.version() == before
    with open(path, "w") as file:
        file.write("id,weight,rate,burst\nb1,1,5,50\nb2,1,5,50\n")
    assert f.tool("import", "account", path)[0] == 0
    assert f.tool("import", "account", path)[0] == 0
    assert f.version() == before + 1, "an import without changes made a version"


def test_tool_conflict(f):
    """Guards against lost updates: concurrent changes of a row apply or report a conflict."""
    env = dict(os.environ, TOUCANLB_OPERATORS=f.address,
               TOUCANLB_CREDENTIAL_FILE=f"{f.directory}/credential")
    f.tool("status")
    before = f.version()
    running = [subprocess.Popen([f"{BUILD}/toucanlb", "set", "account", "a1", f"rate={i}"], env=env,
                                stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
               for i in range(1, 9)]
    codes = [p.wait(30) for p in running]
    assert set(codes) <= {0, 4} and 0 in codes, codes
    assert f.version() == before + codes.count(0)


def test_withdrawn_operator(f):
    code, out, _ = f.tool("grant-operator", "bob")
    assert code == 0
    assert f.tool("withdraw-operator", "ann")[0] == 0
    assert f.call("GET", "/v1/status")[0] == 401
    f.credential = out.strip()
    assert f.call("GET", "/v1/status")[0] == 200


class SlowRequest(threading.Thread):
    """Sends an incomplete request and waits for the end of its connection beside the other tests."""

    def __init__(self, address):
        super().__init__(daemon=True)
        host, port = address.split(":")
        self.conn = socket.create_connection((host, int(port)), timeout=20)
        self.conn.sendall(b"GET /healthz HTTP/1.1\r\nHost: x\r\n")
        self.began = time.monotonic()
        self.answer = b""
        self.seconds = None
        self.start()

    def run(self):
        while more := self.conn.recv(1000):
            self.answer += more
        self.seconds = time.monotonic() - self.began
        self.conn.close()


def test_slow_request(f):
    """Guards against connections kept open by requests that are never completed."""
    f.slow.join(max(0, f.slow.began + 20 - time.monotonic()))
    assert f.slow.answer.startswith(b"HTTP/1.1 408 "), f.slow.answer
    assert f.slow.seconds is not None and f.slow.seconds < 20, f.slow.seconds


TESTS = [test_credentials, test_first_operator, test_change, test_long_id, test_faults,
         test_bad_requests, test_conflict, test_lost_answer, test_store_down, test_tool, test_import,
         test_tool_conflict, test_withdrawn_operator, test_slow_request]


def main():
    with tempfile.TemporaryDirectory() as directory:
        f = Fixture(directory)
        try:
            f.slow = SlowRequest(f.address)
            for test in TESTS:
                test(f)
        finally:
            f.stop()
    print(f"operator: {len(TESTS)} tests passed")


if __name__ == "__main__":
    main()
