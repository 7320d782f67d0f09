"""Calls to the dependency over a connection pool, one at a time on each connection."""

from __future__ import annotations

import logging
import threading
import time
from collections import deque
from typing import Protocol

from lilacwalk.event_queue import EventQueue
from lilacwalk.limits import SECOND, Limits
from lilacwalk.log import ReportThrottle
from lilacwalk.overload.model import Outcome
from lilacwalk.protocols.dependency_connection import DependencyCall, DependencyConnection
from lilacwalk.protocols.errors import FramingError
from lilacwalk.protocols.send_buffer import shut_down_socket

log = logging.getLogger(__name__)


class CallFinishedHandler(Protocol):
    """Handles the end of a call."""

    def __call__(
        self,
        connection: DependencyConnection | None,
        call: DependencyCall,
        outcome: Outcome,
        body: bytes,
        /,
    ) -> object:
        """Must call `call_finished`; `connection` is None if the call had no connection."""
        ...


class DependencyClient:
    """A pool of connections to the dependency.

    The connection that has been idle longest makes the next call, so that under load no connection
    is idle for so long that the peer closes it.

    The event loop's thread owns the client. Only `connection_failed`, `connection_opened` and
    `reply_malformed` are called by the connections' threads. The handler `on_call_finished` is
    set before the first call; the event loop calls it in its own thread.
    """

    def __init__(
        self, address: tuple[str, int] | None, limits: Limits, event_queue: EventQueue
    ) -> None:
        """Creates an empty pool; without an address, every call fails."""
        self.address = address
        self.limits = limits
        self.event_queue = event_queue
        self.on_call_finished: CallFinishedHandler
        # serializes the start and the abandonment of calls, and the closing of sockets
        self.lock = threading.Lock()
        self.idle_connections: deque[DependencyConnection] = deque()  # longest idle first
        self.connection_count = 0
        self.queued_calls: deque[DependencyCall] = deque()  # waiting for a connection
        self.next_connect_at = 0.0  # monotonic clock, in seconds
        self.reconnect_delay = limits.min_reconnect_delay
        self.malformed_replies = ReportThrottle()

    def set_address(self, address: tuple[str, int] | None) -> None:
        """Sends new calls to another address at once; calls in progress finish at the old one."""
        self.address = address
        self.next_connect_at = 0.0

    def start_call(self, call: DependencyCall) -> None:
        """Makes a call once a connection is free; `on_call_finished` receives its outcome."""
        if not self.idle_connections and not self._add_connection():
            self.event_queue.post(self.on_call_finished, None, call, Outcome.UNREACHABLE, b"")
            return
        if self.idle_connections:
            self.idle_connections.popleft().calls.put(call)
        else:
            self.queued_calls.append(call)

    def _add_connection(self) -> bool:
        """Adds an idle connection if the limit and the system allow it.

        Returns:
            Whether there is at least one connection that a call can wait for.
        """
        if self.connection_count >= self.limits.max_dependency_connections:
            return True
        connection = DependencyConnection(self)
        try:
            connection.start()
        except RuntimeError as error:
            log.warning("event=no_thread detail=%r", str(error))
            return self.connection_count > 0
        self.connection_count += 1
        self.idle_connections.append(connection)
        return True

    def abandon(self, call: DependencyCall) -> bool:
        """Abandons a call, and closes its connection, as the peer may be unresponsive.

        Returns:
            Whether it is certain that the call was not executed.
        """
        with self.lock:
            call.is_abandoned = True
            if call.started_on is not None:
                shut_down_socket(call.started_on)
        return call.started_on is None

    def call_finished(self, connection: DependencyConnection | None, now: int) -> None:
        """Assigns the next queued call to the connection, or marks it as idle."""
        while self.queued_calls and self.queued_calls[0].is_abandoned:
            self.queued_calls.popleft()
        if connection is None:
            return
        if self.queued_calls:
            connection.calls.put(self.queued_calls.popleft())
        else:
            connection.idle_since = now
            self.idle_connections.append(connection)

    def close_idle(self, idle_since: int) -> None:
        """Closes connections that became idle before the time `idle_since`.

        The owner passes a time such that this side closes an idle connection before the peer does.
        """
        while self.idle_connections and self.idle_connections[0].idle_since < idle_since:
            self.idle_connections.popleft().calls.put(None)
            self.connection_count -= 1

    def close(self) -> None:
        """Closes all idle connections."""
        while self.idle_connections:
            self.idle_connections.popleft().calls.put(None)

    def connection_failed(self, reason: str) -> None:
        """Logs the first failure, and delays the next attempt, twice as long after each failure."""
        if self.reconnect_delay == self.limits.min_reconnect_delay:
            log.warning("event=dependency_down detail=%r", reason)
        self.next_connect_at = time.monotonic() + self.reconnect_delay / SECOND
        self.reconnect_delay = min(self.limits.max_reconnect_delay, 2 * self.reconnect_delay)

    def connection_opened(self) -> None:
        """Resets the reconnect delay, and logs the recovery if an attempt had failed."""
        if self.reconnect_delay != self.limits.min_reconnect_delay:
            log.info("event=dependency_up")
        self.reconnect_delay = self.limits.min_reconnect_delay

    def reply_malformed(self, error: FramingError) -> None:
        """Reports a reply that could not be decoded."""
        if count := self.malformed_replies.count_and_check():
            log.warning("event=dependency_reply_malformed count=%d detail=%r", count, str(error))
