"""A client that sends requests to an app server by the protocol of the proxies.

It records all answers to each tag, so that tests find duplicate answers.
"""

from __future__ import annotations

import socket
import threading
import time
from itertools import count

from lilacwalk.protocols.errors import FramingError
from lilacwalk.protocols.resp import RespParser, encode_array

REQUEST_IDS = count(1)


class ProxyClient:
    def __init__(self, address: tuple[str, int], tenant: str = "acme") -> None:
        self.tenant = tenant
        self.sock = socket.create_connection(address, 10.0)
        self.sock.settimeout(None)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.changed = threading.Condition()
        self.sent_at: dict[int, float] = {}  # monotonic time of sending, by tag
        # by tag: monotonic arrival time, status word and body of each answer
        self.answers: dict[int, list[tuple[float, str, bytes]]] = {}
        self.retry_after: dict[int, float] = {}  # retry-after of a denial in seconds, by tag
        self.tags = count(1)
        self.closed = False  # whether the connection is closed, by either side
        threading.Thread(target=self._read, daemon=True).start()

    def send_request(
        self, class_name: str, body: bytes = b"hello", wait_ms: int = 1000, **fields: object
    ) -> int:
        """Sends a request with the next free tag; returns the tag.

        `wait_ms` is the time that the client waits for the answer, in milliseconds. `fields`
        replace or extend the fields of the message by their names on the wire.
        """
        tag = next(self.tags)
        fields = {
            "i": f"{0x5000_0000_0000 + next(REQUEST_IDS):016x}",
            "s": int(time.time() * 1000),
            "d": wait_ms,
            "t": self.tenant,
            "m": "8.0",
            "p": "0.5",
        } | fields
        text = ",".join(f"{name}={value}" for name, value in fields.items())
        with self.changed:
            self.sent_at[tag] = time.monotonic()
        self.sock.sendall(
            encode_array(b"SUBMIT", b"%d" % tag, class_name.encode(), text.encode(), body)
        )
        return tag

    def answer(self, tag: int, timeout: float = 10.0) -> tuple[float, str, bytes]:
        """Waits up to `timeout` seconds for the first answer to `tag`.

        Returns its monotonic arrival time, status word and body. Raises TimeoutError if no answer
        arrives in time, KeyError if the connection is closed first.
        """
        with self.changed:
            if not self.changed.wait_for(lambda: tag in self.answers or self.closed, timeout):
                raise TimeoutError(f"no answer to tag {tag} within {timeout:g} s")
            return self.answers[tag][0]

    def end(self) -> None:
        """Closes the connection."""
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.sock.close()

    def _read(self) -> None:
        parser = RespParser(8, 65_536, 65_536)
        try:
            while chunk := self.sock.recv(65_536):
                for parts in parser.feed(chunk):
                    tag, status = int(bytes(parts[0])), bytes(parts[1]).decode()
                    body = bytes(parts[3]) if len(parts) > 3 else b""
                    if tag:
                        for field in (
                            bytes(parts[2] or b"").decode().split(",") if len(parts) > 2 else ()
                        ):
                            if field.startswith("w="):
                                self.retry_after[tag] = float(field[2:]) / 1000
                        with self.changed:
                            self.answers.setdefault(tag, []).append(
                                (time.monotonic(), status, body)
                            )
                            self.changed.notify_all()
        except (OSError, FramingError, ValueError):
            pass
        with self.changed:
            self.closed = True
            self.changed.notify_all()
