"""A TCP relay that can simulate a network partition on open connections."""

import selectors
import socket
import threading


class Relay:
    """Forwards connections to a target; drops data without closing while `partitioned` is set."""

    def __init__(self, listen, target):
        self.target = target
        self.partitioned = False
        self.server = socket.create_server(listen)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                client, _ = self.server.accept()
            except OSError:
                return
            if self.partitioned:
                continue  # accepted but never served; closed when the next one is accepted
            try:
                upstream = socket.create_connection(self.target, timeout=2)
                upstream.settimeout(None)
            except OSError:
                client.close()
                continue
            threading.Thread(target=self._pump, args=(client, upstream), daemon=True).start()

    def _pump(self, left, right):
        selector = selectors.DefaultSelector()
        selector.register(left, selectors.EVENT_READ, right)
        selector.register(right, selectors.EVENT_READ, left)
        while True:
            for key, _ in selector.select(1):
                try:
                    data = key.fileobj.recv(65536)
                    if self.partitioned:
                        continue
                    if not data:
                        raise OSError
                    key.data.sendall(data)
                except OSError:
                    left.close()
                    right.close()
                    return
