"""A device's connection: one thread reads, the threads of callers write.

A lost connection is opened again after a randomized delay, which doubles with each failure, so that
many devices do not reconnect at the same time.
"""

from __future__ import annotations

import random
import socket
import ssl
import threading
import time

from lilacwalk.edge.client.state import ClientSession, Outcome
from lilacwalk.edge.frames import FrameError, Stream

# Seconds; the delay after a brief loss, and the limit while the edge is unreachable.
MIN_RECONNECT_DELAY, MAX_RECONNECT_DELAY = 0.05, 2.0
CONNECT_TIMEOUT = 10.0
MAX_FRAME_BYTES = 65_536  # largest frame that a client accepts; results have at most 4 KiB


class Device:
    """A device that sends requests over the device link."""

    def __init__(
        self,
        address: tuple[str, int],
        token: bytes = b"",
        tls: ssl.SSLContext | None = None,
        server_name: str | None = None,
        has_stable_numbers: bool = False,
        seed: int = 0,
    ) -> None:
        """Starts the thread that connects to the edge.

        `has_stable_numbers` says whether the device's request numbers outlive its sessions. A token
        is not needed if `tls` has a certificate of the device.
        """
        self.address, self.tls, self.server_name = address, tls, server_name
        self.session, self.rng = ClientSession(token, has_stable_numbers), random.Random(seed)
        # Guards all state; notified when outcomes or the connection change.
        self.changed = threading.Condition()
        self.sock: socket.socket | None = None
        self.is_stopped = False
        self.connections = 0  # number of connections opened
        self.thread = threading.Thread(target=self._run, name="device", daemon=True)
        self.thread.start()

    def ask(self, group: str, body: bytes, wait: int = 0, **more) -> int:
        """Sends a request, now or once connected, and returns its number.

        `wait` is its timeout in milliseconds, or 0 for that of the request class; `more` are
        further fields of `Ask`.
        """
        with self.changed:
            number = self.session.ask(group, body, wait, **more)
            self._write()
        return number

    def outcome(self, number: int, timeout: float) -> Outcome:
        """Waits up to `timeout` seconds for the outcome of a request.

        Raises:
            TimeoutError: There is no outcome yet.
            ConnectionRefusedError: The edge refuses this device permanently, or `end` was called.
        """
        with self.changed:
            session = self.session
            if not self.changed.wait_for(
                lambda: number in session.outcomes or self.is_stopped, timeout
            ):
                raise TimeoutError(f"no answer to request {number} within {timeout} s")
            if number not in session.outcomes:
                raise ConnectionRefusedError(
                    session.refused.reason
                    if session.refused
                    else f"the device was ended before request {number} was answered"
                )
            return session.outcomes[number]

    def drop_connection(self) -> None:
        """Resets the connection, as an unreliable link would."""
        with self.changed:
            if self.sock is not None:
                try:
                    self.sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass

    def end(self) -> None:
        """Closes the connection and stops the thread."""
        with self.changed:
            self.is_stopped = True
            self.changed.notify_all()
        self.drop_connection()
        self.thread.join(2.0)

    def _write(self) -> None:
        """Sends the session's output; the caller holds `changed`."""
        data = self.session.take_output()
        if data and self.sock is not None:
            try:
                self.sock.sendall(data)
            except OSError:
                pass  # the reading thread detects the loss and reconnects

    def _run(self) -> None:
        """Connects and reads until the device is stopped or permanently refused."""
        delay = MIN_RECONNECT_DELAY
        while not self.is_stopped:
            try:
                sock = socket.create_connection(self.address, CONNECT_TIMEOUT)
                if self.tls is not None:
                    sock = self.tls.wrap_socket(sock, server_hostname=self.server_name)
                sock.settimeout(None)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                if self._read(sock):
                    delay = MIN_RECONNECT_DELAY
            except (OSError, FrameError):
                pass
            with self.changed:
                self.sock = None
                refused = self.session.refused
                if (
                    refused is not None
                    and not refused.come_back
                    and "taken over" not in refused.reason
                ):
                    self.is_stopped = True  # another attempt would be refused as well
                self.changed.notify_all()
                self.changed.wait_for(lambda: self.is_stopped, delay * self.rng.uniform(0.5, 1.0))
            delay = min(MAX_RECONNECT_DELAY, 2 * delay)

    def _read(self, sock: socket.socket) -> bool:
        """Reads until the connection ends.

        Returns whether the server accepted the session with a `Welcome` frame.
        """
        stream = Stream(MAX_FRAME_BYTES)
        with self.changed:
            self.sock = sock
            self.connections += 1
            self.session.connected()
            self._write()
        try:
            while not self.is_stopped and (chunk := sock.recv(16_384)):
                with self.changed:
                    for frame in stream.feed(chunk):
                        self.session.frame_received(frame)
                    self._write()
                    self.changed.notify_all()
        finally:
            sock.close()
        return self.session.welcome is not None


def ask_once(
    address: tuple[str, int],
    token: bytes,
    group: str,
    body: bytes,
    wait: int,
    tls: ssl.SSLContext | None = None,
    server_name: str | None = None,
    **more,
) -> Outcome:
    """Sends one request, over several connections if needed, and returns its outcome.

    Raises:
        TimeoutError: There is no outcome in time.
        OSError: The edge refused the device.
    """
    device = Device(address, token, tls, server_name, seed=time.monotonic_ns())
    try:
        return device.outcome(device.ask(group, body, wait, **more), max(1, wait) / 1000 + 1.0)
    finally:
        device.end()
