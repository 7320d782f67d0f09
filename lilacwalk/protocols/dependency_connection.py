"""A connection to the dependency and the thread that makes calls on it."""

from __future__ import annotations

import logging
import socket
import threading
import time
from queue import SimpleQueue
from typing import TYPE_CHECKING

from lilacwalk.limits import SECOND
from lilacwalk.overload.model import Outcome
from lilacwalk.protocols.dependency_codec import (
    DependencyReply,
    decode_reply,
    encode_call,
    has_body,
)
from lilacwalk.protocols.errors import FramingError
from lilacwalk.protocols.lines import LineParser
from lilacwalk.protocols.send_buffer import shut_down_socket

if TYPE_CHECKING:
    from lilacwalk.protocols.dependency_client import DependencyClient

log = logging.getLogger(__name__)


class DependencyCall:
    """A call to the dependency.

    Attributes:
        message: The encoded call.
        at_most_once: Whether the call must not be executed twice. Such a call uses a new
            connection: if an idle connection breaks, it is unknown whether the peer had closed it
            before the call or has received the call.
        started_on: The socket on which sending may have begun; None: nothing has been sent, so
            a call abandoned in this state has certainly not been executed.
        is_abandoned: Whether its outcome is no longer needed.
    """

    __slots__ = ("at_most_once", "is_abandoned", "message", "request_id", "started_on")

    def __init__(
        self, request_id: str, timeout_ms: int, body: bytes, at_most_once: bool = False
    ) -> None:
        """Encodes the call of the request with this id."""
        self.request_id = request_id
        self.at_most_once = at_most_once
        self.message = encode_call(request_id, timeout_ms, body)
        self.started_on: socket.socket | None = None
        self.is_abandoned = False


class DependencyConnection:
    """A connection that is reopened on demand, and the thread that makes one call at a time on it.

    A malformed, late or missing reply fails only the current call, and closes the connection. A
    reply to another request is ignored. A duplicate reply could be mistaken for the reply to the
    next call of the same request, so that call uses a new connection.

    The thread owns all attributes except `idle_since`, which the event loop's thread owns.
    """

    def __init__(self, client: DependencyClient) -> None:
        """Creates a connection that is not yet open."""
        self.client = client
        self.limits = client.limits
        self.calls: SimpleQueue[DependencyCall | None] = SimpleQueue()  # None: stops the thread
        self.sock: socket.socket | None = None
        self.address: tuple[str, int] | None = None
        self.parser: LineParser
        self.last_request_id = ""
        self.idle_since = 0

    def start(self) -> None:
        """Starts the thread.

        Raises:
            RuntimeError: The system cannot start another thread.
        """
        threading.Thread(target=self._run, name="dependency-connection", daemon=True).start()

    def _run(self) -> None:
        client = self.client
        while (call := self.calls.get()) is not None:
            outcome, body = Outcome.CONNECTION_LOST, b""
            try:
                outcome, body = self._make_call(call)
            except FramingError as error:
                client.reply_malformed(error)
            except OSError:
                pass
            except Exception:
                log.exception("event=thread_failed thread=dependency-connection")
            if outcome is Outcome.CONNECTION_LOST:
                self._close()
            client.event_queue.post(client.on_call_finished, self, call, outcome, body)
        self._close()

    def _make_call(self, call: DependencyCall) -> tuple[Outcome, bytes]:
        """Makes a call; returns its outcome and the body of the reply."""
        needs_new_connection = (
            call.at_most_once
            or call.request_id == self.last_request_id
            or self.address != self.client.address
        )
        if self.sock is not None and (needs_new_connection or not self._is_usable()):
            self._close()
        if self.sock is None and not self._connect():
            return Outcome.UNREACHABLE, b""
        with self.client.lock:
            if call.is_abandoned:
                return Outcome.UNREACHABLE, b""
            call.started_on = self.sock
        self.last_request_id = call.request_id
        self.sock.sendall(call.message)
        while chunk := self.sock.recv(self.limits.link_read_bytes):
            for reply in self._decode(chunk):
                if reply.request_id == call.request_id:
                    return reply.outcome, reply.body
        return Outcome.CONNECTION_LOST, b""

    def _decode(self, chunk: bytes) -> list[DependencyReply]:
        return [decode_reply(words, body) for words, body in self.parser.feed(chunk)]

    def _is_usable(self) -> bool:
        """Discards late replies; returns whether the connection can be used for a call.

        It cannot if it is closed or has failed, or if malformed data arrived.
        """
        try:
            chunk = self.sock.recv(self.limits.link_read_bytes, socket.MSG_DONTWAIT)
            self._decode(chunk)
        except BlockingIOError:
            return True
        except (OSError, FramingError):
            return False
        return bool(chunk)

    def _connect(self) -> bool:
        """Connects, after the delay set by an earlier failure; returns whether it succeeded."""
        client = self.client
        delay = client.next_connect_at - time.monotonic()
        time.sleep(max(0.0, min(delay, client.limits.max_reconnect_delay / SECOND)))
        address = client.address
        if address is None:
            client.connection_failed("no dependency is configured")
            return False
        try:
            self.sock = socket.create_connection(address, self.limits.connect_timeout / SECOND)
        except OSError as error:
            client.connection_failed(str(error))
            return False
        client.connection_opened()
        self.address = address
        self.last_request_id = ""
        self.sock.settimeout(None)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.parser = LineParser(has_body, self.limits.max_line_bytes, self.limits.max_reply_bytes)
        return True

    def _close(self) -> None:
        """Closes the socket; an unanswered call on it is lost."""
        if self.sock is not None:
            shut_down_socket(self.sock)
            with self.client.lock:  # `abandon` must not use the closed descriptor
                self.sock.close()
            self.sock = None
