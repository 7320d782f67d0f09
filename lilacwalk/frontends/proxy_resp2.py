"""The front end for proxies, which send requests over RESP connections."""

from __future__ import annotations

import logging

from lilacwalk.frontends.interface import RequestHandler
from lilacwalk.frontends.proxy_housekeeping import ConnectionHousekeeper
from lilacwalk.limits import Limits
from lilacwalk.protocols import proxy_codec
from lilacwalk.protocols.proxy_codec import Malformed, Probe, ProxyMessage, Submit, Withdraw
from lilacwalk.protocols.proxy_connection import Connection
from lilacwalk.protocols.proxy_listener import ProxyListener
from lilacwalk.requests.records import FinalResponse, FinalStatus

log = logging.getLogger(__name__)
WORDS_BY_STATUS = {
    FinalStatus.COMPLETED: b"done",
    FinalStatus.REJECTED: b"later",
    FinalStatus.FAILED: b"error",
}
MALFORMED = WORDS_BY_STATUS[FinalStatus.FAILED]
HEALTHY = b"healthy"
UNHEALTHY = b"sick"


class ProxyFrontend:
    """Submits the requests of one listener's connections, and sends the responses.

    Owns the listener's connections once they are open. Implements `Frontend` for the event loop
    and `ProxyListenerEvents` for the listener; all methods are called in the event loop's thread.
    """

    name = "resp2"

    def __init__(
        self,
        host: RequestHandler,
        listener: ProxyListener,
        max_in_flight: int,
        limits: Limits | None = None,
        source_site: str = "",
    ) -> None:
        """Registers as the event handler of a listener that is not started yet.

        Args:
            host: The event loop.
            listener: The listener that accepts the connections.
            max_in_flight: Limit of requests in flight from this front end.
            limits: Limits of this front end, or None for those of the process.
            source_site: The site whose traffic this front end receives, or empty for local traffic.
        """
        self.host = host
        self.listener = listener
        self.max_in_flight = max_in_flight
        self.in_flight = 0
        self.limits = limits or host.limits
        self.source_site = source_site
        self.connections: dict[Connection, None] = {}
        self.housekeeper = ConnectionHousekeeper(self.connections, self.limits, self._request_close)
        # One for the listener's thread, one for its backlog: `listener_closed` is called for each.
        self.pending_listener_closures = 2
        listener.events = self

    # Called by the event loop

    def send_response(self, client: Connection, tag: int, response: FinalResponse) -> None:
        """Sends the response to the request with this tag."""
        client.last_used = self.host.now
        self._send(
            client,
            proxy_codec.encode_response(
                tag,
                WORDS_BY_STATUS[response.status],
                proxy_codec.encode_load_report(self.host.advertised_capacity),
                response.body,
                response.retry_after,
                response.do_not_retry_elsewhere,
            ),
        )

    def reject_malformed(self, client: Connection, tag: int, reason: str) -> None:
        """Logs a message that cannot be processed, and responds to it unless the tag is 0.

        The number of log lines grows only with the logarithm of the number of such messages. The
        connection is suspect until its next valid message.
        """
        client.is_suspect = True
        if count := self.listener.malformed_messages.count_and_check():
            log.warning(
                "event=malformed_message count=%d peer=%s reason=%r", count, client.peer, reason
            )
        if tag:
            self.reply(client, tag, MALFORMED)

    def tick(self, now: int, was_stalled: bool) -> None:
        """Closes idle connections, except after a stall: their data may not have been read yet."""
        if not was_stalled:
            idle_timeout = self.host.close_idle_after or self.limits.proxy_idle_timeout
            self.housekeeper.close_idle(now, idle_timeout)

    def start_draining(self, _now: int) -> None:
        """Does nothing: for proxies, the drain begins when the listener closes."""

    def stop_accepting(self) -> None:
        """Drains the listener's backlog, and requests all proxies to close their connections."""
        self.listener.drain_backlog()
        for connection in self.connections:
            self._request_close(connection)

    def close_idle_connections(self, now: int, is_final: bool) -> None:
        """Continues to drain the backlog and to close connections."""
        self.listener.drain_backlog()
        self.housekeeper.close_unused(now, is_final)

    def is_drained(self) -> bool:
        """Whether no connection is open and none can be accepted any more."""
        return not self.pending_listener_closures and not self.connections

    def is_flushed(self) -> bool:
        """Whether all responses have been sent."""
        return all(connection.send_buffer.is_flushed for connection in self.connections)

    # Called for the listener

    def connection_opened(self, connection: Connection) -> None:
        """Adds the connection, and closes others if there are too many."""
        connection.frontend = self
        if connection.has_unprocessed_input:
            connection.event_queue.announce_input(connection)
        connection.last_used = self.host.now
        self.connections[connection] = None
        self.host.connection_opened()
        if len(self.connections) > self.limits.connection_high_water:
            self.housekeeper.close_excess_connections(self.host.now)
        if self.listener.is_draining:
            self._request_close(connection)

    def connection_ended(self, connection: Connection) -> None:
        """Removes the connection, frees its slot, and reports its open requests as abandoned."""
        self.connections.pop(connection, None)
        connection.is_shut_down = True
        connection.discard_input()
        connection.send_buffer.close()
        self.listener.release_slot()
        for in_flight in list(connection.open_requests.values()):
            self.host.client_gone(in_flight)

    def listener_closed(self) -> None:
        """Records that the listener's thread has ended, or that its backlog has been drained."""
        self.pending_listener_closures -= 1

    def input_received(self, connection: Connection, max_messages: int) -> int:
        """Processes messages until one is malformed, the limit, or the end of the connection.

        The input of a connection that the peer has closed, or that has been shut down, is
        discarded: its client is gone.
        """
        if connection.frontend is None:
            return 0  # the connection is still in the event queue
        if not connection.is_shut_down and connection.has_left_unnoticed:
            connection.abort()
        connection.last_used = self.host.now
        processed = 0
        while not connection.is_shut_down and processed < max_messages:
            message = connection.next_message()
            if message is None:
                break
            processed += 1
            self._process(connection, message)
            if connection.is_suspect:
                break
        if connection.is_shut_down:
            connection.discard_input()
        return processed

    # Internals

    def _process(self, connection: Connection, message: ProxyMessage) -> None:
        match message:
            case Submit():
                connection.has_sent_valid_message = True
                self._submit(connection, message)
            case Withdraw():
                connection.has_sent_valid_message = True
                if message.tag in connection.open_requests:
                    self.host.client_gone(connection.open_requests[message.tag])
            case Probe():
                connection.has_sent_valid_message = True
                connection.is_suspect = False
                word = HEALTHY if self.host.is_healthy else UNHEALTHY
                self.reply(connection, message.tag, word)
            case Malformed():
                is_answered = message.tag not in connection.open_requests
                self.reject_malformed(
                    connection, message.tag if is_answered else 0, message.problem
                )

    def _submit(self, connection: Connection, message: Submit) -> None:
        tag = message.tag
        if tag in connection.open_requests:
            self.reject_malformed(connection, 0, f"tag {tag} is in use by an open request")
            # The proxy could not tell the responses to the two requests apart.
            connection.abort()
        elif len(connection.open_requests) >= self.limits.max_open_requests:
            self.reject_malformed(
                connection,
                tag,
                f"request limit reached: {self.limits.max_open_requests} open requests",
            )
        elif problem := self.host.submit(connection, tag, message.incoming):
            self.reject_malformed(connection, tag, problem)
        else:
            connection.is_suspect = False

    def reply(self, connection: Connection, tag: int, word: bytes) -> None:
        """Sends a response of a status word and the load report."""
        load_report = proxy_codec.encode_load_report(self.host.advertised_capacity)
        self._send(connection, proxy_codec.encode_response(tag, word, load_report))

    def _send(self, connection: Connection, data: bytes) -> None:
        """Sends data; resets the connection of a proxy that does not read, to limit memory."""
        if not connection.is_shut_down and not self.host.send(connection.send_buffer, data):
            log.warning("event=connection_ended peer=%s reason=stopped_reading", connection.peer)
            connection.abort(reset=True)

    def _request_close(self, connection: Connection) -> None:
        if not connection.close_requested_at:
            connection.close_requested_at = self.host.now
            self._send(connection, proxy_codec.CLOSE_REQUEST)
