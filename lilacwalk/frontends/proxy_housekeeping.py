"""Closing of idle, stuck and excess proxy connections."""

from __future__ import annotations

from itertools import islice
from typing import Protocol

from lilacwalk.limits import Limits
from lilacwalk.protocols.proxy_connection import Connection
from lilacwalk.protocols.send_buffer import shut_down_socket


class CloseRequester(Protocol):
    """Requests a proxy to close its connection."""

    def __call__(self, connection: Connection, /) -> None:
        """Sends the request; does nothing if it was sent before."""
        ...


class ConnectionHousekeeper:
    """Decides which connections of a front end are closed, and how.

    Owned by the front end, and used in the event loop's thread.
    """

    def __init__(
        self, connections: dict[Connection, None], limits: Limits, request_close: CloseRequester
    ) -> None:
        """Uses the front end's own table of connections, not a copy."""
        self.connections = connections
        self.limits = limits
        self.request_close = request_close

    def close_idle(self, now: int, idle_timeout: int) -> None:
        """Closes stuck connections, and requests proxies to close idle ones."""
        for connection in self.connections:
            self._close_if_idle_or_stuck(connection, now, idle_timeout)
        self.close_excess_connections(now)

    def _close_if_idle_or_stuck(self, connection: Connection, now: int, idle_timeout: int) -> None:
        if connection.is_shut_down:
            self._limit_linger(connection, now)
        elif self._is_stuck(connection, now):
            connection.abort()
        elif connection.open_requests:
            return
        elif not connection.send_buffer.is_flushed:
            if now - connection.last_used > self.limits.unsent_timeout:
                connection.abort(reset=True)
        elif connection.close_requested_at:
            time_since_close_request = now - connection.close_requested_at
            if (
                time_since_close_request > self.limits.close_request_timeout
                and connection.is_between_messages
            ):
                connection.half_close(now)
        elif now - connection.last_used > idle_timeout:
            self.request_close(connection)

    def close_unused(self, now: int, is_final: bool) -> None:
        """Half closes unused connections that their proxies were requested to close, but did not.

        A connection is unused if it has no request in flight and no unread or unsent data.
        `is_final`: whether the process is about to end, so that there is no time to wait for the
        proxies.
        """
        for connection in self.connections:
            if connection.is_shut_down:
                self._limit_linger(connection, now)
            elif is_unused(connection) and self._may_half_close(connection, now, is_final):
                connection.half_close(now)

    def _may_half_close(self, connection: Connection, now: int, is_final: bool) -> bool:
        if is_final:
            return connection.is_input_processed
        time_since_close_request = now - connection.close_requested_at
        return (
            time_since_close_request > self.limits.drain_settle_time
            and connection.is_between_messages
        )

    def close_excess_connections(self, now: int) -> None:
        """Closes unused connections until the number of connections is at the high-water mark.

        Connections on which no valid message was received are closed first, then those that have
        been idle longest, and new ones last, so that a proxy with a request can connect even while
        its first request is in transit.
        """
        open_connections = [each for each in self.connections if not each.is_shut_down]
        excess = len(open_connections) - self.limits.connection_high_water
        if excess <= 0:
            return
        new_since = now - self.limits.new_connection_age

        def closing_order(connection: Connection) -> tuple[int, int]:
            if connection.has_sent_valid_message:
                return 1, connection.last_used
            return 2 if connection.last_used > new_since else 0, connection.last_used

        unused = sorted(filter(is_unused, open_connections), key=closing_order)
        closable = (each for each in unused if _has_no_unprocessed_input(each))
        for connection in islice(closable, excess):
            if connection.has_sent_valid_message:  # a response may be in transit
                connection.half_close(now)
            else:
                connection.abort()

    def _limit_linger(self, connection: Connection, now: int) -> None:
        """Shuts down a half-closed connection that the peer has not closed in time."""
        half_closed_at = connection.half_closed_at
        if half_closed_at and now - half_closed_at > self.limits.half_close_linger:
            shut_down_socket(connection.sock)

    def _is_stuck(self, connection: Connection, now: int) -> bool:
        """Whether the peer sent nothing after it connected, or stopped in the middle of a message.

        Such a peer is not a proxy, and would take up a connection that a proxy could use. The
        timeout of a partial message starts at its own beginning, since the message may follow a
        long idle time or a long execution.
        """
        if connection.partial_message_number != connection.seen_partial_message_number:
            connection.seen_partial_message_number = connection.partial_message_number
            connection.partial_message_seen_since = now
        timeout = self.limits.message_timeout
        if connection.partial_message_number:
            return (
                not connection.open_requests
                and not connection.has_unprocessed_input
                and now - connection.partial_message_seen_since > timeout
            )
        return (
            not connection.has_sent_valid_message
            and now - connection.last_used > timeout
            and connection.is_input_processed
        )


def is_unused(connection: Connection) -> bool:
    """Whether a connection has no request in flight and no unsent response."""
    return not connection.open_requests and connection.send_buffer.is_flushed


def _has_no_unprocessed_input(connection: Connection) -> bool:
    return (
        connection.is_between_messages
        if connection.has_sent_valid_message
        else connection.is_input_processed
    )
