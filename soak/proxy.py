"""A TCP proxy on loopback that can delay or reset connections or drop bytes, one way or both."""
import selectors
import socket
import threading
import time

PASS, DELAY, SILENT, ONE_WAY = "pass", "delay", "silent", "one_way"
DELAY_SECONDS = 0.15
CHUNK = 65536


def reset(s):
    """Closes with a TCP reset instead of a FIN."""
    try:
        s.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        s.close()
    except OSError:
        pass


class Proxy:
    """Forwards connections to `target`. A change of `mode` applies to new and open connections
    alike."""

    def __init__(self, target):
        self.target = target
        self.mode = PASS
        self.pairs = set()
        self.lock = threading.Lock()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.addr = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(client,), daemon=True).start()

    def serve(self, client):
        host, port = self.target.rsplit(":", 1)
        try:
            server = socket.create_connection((host, int(port)), timeout=2)
        except OSError:
            reset(client)
            return
        pair = (client, server)
        with self.lock:
            self.pairs.add(pair)
        try:
            self.forward(client, server)
        except (OSError, ValueError):
            pass
        finally:
            with self.lock:
                self.pairs.discard(pair)
            reset(client)
            reset(server)

    def forward(self, client, server):
        other = {client: server, server: client}
        with selectors.DefaultSelector() as sel:
            for s in other:
                sel.register(s, selectors.EVENT_READ)
            while other:
                for key, _ in sel.select(0.5):
                    if not self.pass_on(key.fileobj, other[key.fileobj], client):
                        sel.unregister(key.fileobj)
                        del other[key.fileobj]

    def pass_on(self, source, sink, client):
        """Forwards the bytes that are available. Returns False when the source has sent a FIN."""
        data = source.recv(CHUNK)
        mode = self.mode
        if mode == SILENT or (mode == ONE_WAY and source is not client):
            return True  # dropped, as by a firewall that has lost the state of the connection
        if mode == DELAY:
            time.sleep(DELAY_SECONDS)
        if not data:
            sink.shutdown(socket.SHUT_WR)
            return False
        sink.sendall(data)
        return True

    def reset_all(self):
        with self.lock:
            pairs = list(self.pairs)
        for pair in pairs:
            for s in pair:
                reset(s)

    def close(self):
        self.listener.close()
        self.reset_all()
