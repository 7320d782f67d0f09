"""The listener that proxies connect to."""

from __future__ import annotations

import logging
import socket
import threading
from typing import Protocol

from lilacwalk.event_queue import EventQueue
from lilacwalk.limits import Limits
from lilacwalk.log import ReportThrottle
from lilacwalk.protocols.proxy_connection import Connection
from lilacwalk.protocols.send_buffer import shut_down_socket

log = logging.getLogger(__name__)
ACCEPT_RETRY_DELAY = 0.05  # seconds; accepting fails if the process is out of descriptors


class ProxyListenerEvents(Protocol):
    """Receives a listener's events, in the event loop's thread."""

    def connection_opened(self, connection: Connection) -> None:
        """Handles a new connection."""

    def input_received(self, connection: Connection, max_messages: int) -> int:
        """Handles at most `max_messages` messages in order, and returns their number."""

    def connection_ended(self, connection: Connection) -> None:
        """Handles the last event of a connection, and releases its resources."""

    def listener_closed(self) -> None:
        """Called when the listener's thread has ended, and when its backlog has been drained."""


class ProxyListener:
    """Accepts connections up to the limit; further ones wait in the operating system's backlog.

    Its thread accepts connections until the server drains; then the event loop accepts those that
    are left in the backlog.
    """

    def __init__(
        self,
        address: tuple[str, int],
        limits: Limits,
        event_queue: EventQueue,
        connection_slots: threading.Semaphore | None = None,
    ) -> None:
        """Listens on the address.

        Args:
            address: IPv4 address and port; port 0 lets the system choose.
            limits: The limits of this listener and of its connections.
            event_queue: The event loop's queue.
            connection_slots: Slots of another listener, to share its limit of connections, or None
                for a limit of its own.

        Raises:
            OSError: Listening on the address failed.
        """
        self.limits = limits
        self.event_queue = event_queue
        self.events: ProxyListenerEvents
        self.connection_slots = connection_slots or threading.Semaphore(limits.connections)
        self.is_draining = False
        self.backlog_drained = False
        self.malformed_messages = ReportThrottle()
        self.framing_errors = ReportThrottle()
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):  # connections inherit them
            self.sock.setsockopt(socket.SOL_SOCKET, option, limits.socket_buffer_bytes)
        self.sock.bind(address)
        self.sock.listen(limits.listen_backlog)

    @property
    def address(self) -> tuple[str, int]:
        """The address and port of the listening socket."""
        return self.sock.getsockname()

    def start(self) -> None:
        """Starts the thread that accepts connections."""
        threading.Thread(target=self._run, name="listener", daemon=True).start()

    def release_slot(self) -> None:
        """Allows another connection after one has ended."""
        self.connection_slots.release()

    def close(self) -> None:
        """Stops listening; connections in the backlog are reset."""
        self.is_draining = self.backlog_drained = True
        shut_down_socket(self.sock)

    def drain_backlog(self) -> bool:
        """Accepts the connections that are left in the backlog, then closes the socket.

        The connections may already contain requests, and would be reset if the socket was closed
        first. The event loop calls this method until it returns True, when the backlog is empty.
        """
        if not self.is_draining:
            self.is_draining = True
            # The accept calls below must not block. The non-blocking mode does not wake the
            # listener's thread if that thread is already blocked in accept.
            self.sock.setblocking(False)
            # Wakes the listener's thread if it is waiting for a slot. The additional slot allows
            # one connection over the limit, which is harmless during a drain.
            self.connection_slots.release()
        while not self.backlog_drained and self.connection_slots.acquire(blocking=False):
            try:
                sock, (host, port) = self.sock.accept()
            except OSError as error:
                self.connection_slots.release()
                if not isinstance(error, BlockingIOError):
                    return False  # out of descriptors, or the peer is gone: retry later
                self.backlog_drained = True
                shut_down_socket(self.sock)
                self.sock.close()
                # The event loop receives `listener_closed` after `connection_opened` for each
                # connection accepted from the backlog.
                self.event_queue.post_for_client(self.events.listener_closed)
            else:
                self._open_connection(sock, f"{host}:{port}")
        return self.backlog_drained

    def _run(self) -> None:
        try:
            while not self.is_draining:
                self.connection_slots.acquire()
                try:
                    sock, (host, port) = self.sock.accept()
                except OSError as error:
                    self.connection_slots.release()
                    if not self.is_draining:
                        log.warning("event=accept_failed detail=%r", str(error))
                        threading.Event().wait(ACCEPT_RETRY_DELAY)  # avoids a busy loop
                    continue
                self._open_connection(sock, f"{host}:{port}")
        except Exception:
            log.exception("event=thread_failed thread=listener")
            self.event_queue.fail("the listener's thread failed")
        finally:
            if not self.is_draining or self.backlog_drained:
                self.sock.close()  # otherwise the event loop still drains the backlog
            self.event_queue.post_for_client(self.events.listener_closed)

    def _open_connection(self, sock: socket.socket, peer: str) -> None:
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:  # the peer has disconnected, which must not end the listener
            sock.close()
            self.connection_slots.release()
            return
        connection = Connection(sock, peer, self.limits, self.event_queue, self)
        self.event_queue.post_for_client(self.events.connection_opened, connection)
        try:
            connection.start()
        except RuntimeError as error:  # no thread available: only this connection is closed
            log.warning(
                "event=connection_ended peer=%s reason=no_thread detail=%r", peer, str(error)
            )
            self.event_queue.post_for_client(self.events.connection_ended, connection)
