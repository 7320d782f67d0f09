"""Administration of a running component over a Unix socket that only its owner can open.

A client sends one line of words and receives one line of JSON; connections are served one at a
time.
"""

from __future__ import annotations

import contextlib
import json
import logging
import os
import socket
import threading
from typing import Protocol

from lilacwalk.protocols.send_buffer import shut_down_socket

log = logging.getLogger(__name__)
MAX_QUERY_BYTES = 512
CLIENT_TIMEOUT = 2.0  # seconds, for each operation on a connection
READ_BYTES = 65_536
ACCEPT_RETRY_DELAY = 0.05  # seconds; accepting fails if the process is out of descriptors


class QueryHandler(Protocol):
    """Returns the answer to a query, an object that can be encoded as JSON."""

    def __call__(self, query: str, /) -> object:
        """Runs in the admin socket's thread; a TimeoutError is reported to the client."""
        ...


class AdminSocket:
    """A listening Unix socket and the thread that serves it."""

    def __init__(self, path: str, answer: QueryHandler, name: str) -> None:
        """Listens at the path, replacing the stale socket of a process that has ended.

        Args:
            path: Path of the socket; a socket that a running process serves is not replaced.
            answer: Returns the answer to a query.
            name: Name of the thread.

        Raises:
            OSError: The socket cannot be created there.
        """
        self.path = path
        self.answer = answer
        self.name = name
        self.is_closed = False
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            if os.path.exists(path) and not self._is_served(path):
                os.unlink(path)
            self.sock.bind(path)
            os.chmod(path, 0o600)  # before it listens, so that no other user can connect
            self.sock.listen(1)
        except OSError:
            self.sock.close()
            raise

    @staticmethod
    def _is_served(path: str) -> bool:
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
            probe.settimeout(CLIENT_TIMEOUT)
            try:
                probe.connect(path)
            except ConnectionRefusedError:
                return False
            return True

    def start(self) -> None:
        """Starts serving, in a thread that ends after `close`."""
        threading.Thread(target=self._run, name=self.name, daemon=True).start()

    def close(self) -> None:
        """Stops accepting connections and removes the path."""
        self.is_closed = True
        shut_down_socket(self.sock)
        with contextlib.suppress(OSError):
            os.unlink(self.path)

    def _run(self) -> None:
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError as error:
                if self.is_closed:
                    self.sock.close()
                    return
                log.warning("event=accept_failed detail=%r", str(error))
                threading.Event().wait(ACCEPT_RETRY_DELAY)  # avoids a busy loop
                continue
            with sock:
                self._serve(sock)

    def _serve(self, sock: socket.socket) -> None:
        try:
            sock.settimeout(CLIENT_TIMEOUT)
            sock.sendall(json.dumps(self._answer(sock)).encode() + b"\n")
        except OSError:
            pass  # the client has disconnected
        except Exception:
            log.exception("event=thread_failed thread=%s", self.name)

    def _answer(self, sock: socket.socket) -> object:
        line = b""
        while b"\n" not in line and len(line) < MAX_QUERY_BYTES:
            chunk = sock.recv(MAX_QUERY_BYTES)
            if not chunk:
                break
            line += chunk
        try:
            return self.answer(line.decode("utf-8", "replace"))
        except TimeoutError as error:
            return {"error": str(error)}


def query(path: str, question: str) -> object:
    """Sends a query to the admin socket at the path and returns the decoded answer.

    Raises:
        OSError: No process answers at the path in time.
        ValueError: The answer is not JSON.
    """
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
        sock.settimeout(2 * CLIENT_TIMEOUT)
        sock.connect(path)
        sock.sendall(question.encode() + b"\n")
        pieces = []
        while chunk := sock.recv(READ_BYTES):
            pieces.append(chunk)
    return json.loads(b"".join(pieces))
