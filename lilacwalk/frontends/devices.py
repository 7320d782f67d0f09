"""The front end for devices, between the event loop and the thread that serves their sessions.

The two threads exchange events through queues. For the event loop, each session with requests in
flight is a client connection.
"""

from __future__ import annotations

import logging
import os
from collections.abc import Callable
from hashlib import blake2b
from itertools import count
from typing import Protocol

import xxhash

from lilacwalk.edge.config import EdgeConfig
from lilacwalk.edge.device_service import DeviceRequest, DeviceRequestClass
from lilacwalk.edge.duplicate_detector import COMPLETED, DENIED, TERMINATED
from lilacwalk.edge.host import EdgeHost
from lilacwalk.edge.session import OpenRequest, Session
from lilacwalk.event_queue import EventQueue
from lilacwalk.frontends.interface import RequestHandler
from lilacwalk.overload.model import Effect
from lilacwalk.requests.records import FinalResponse, FinalStatus, IncomingRequest, InFlightRequest

log = logging.getLogger(__name__)
WORDS_BY_STATUS = {
    FinalStatus.COMPLETED: COMPLETED,
    FinalStatus.REJECTED: DENIED,
    FinalStatus.FAILED: TERMINATED,
}
RETRY_AFTER = 10_000  # tenths of a millisecond; by then other servers have taken over
DEFAULT_MEMORY_KB = 8.0  # memory of a request that does not state it
FIRST_CLIENT_NUMBER = 1 << 52  # above all client numbers that proxies use
REQUEST_ID_COUNT = 1 << 64
REQUEST_ID_BYTES = 8


class SessionsHandler(Protocol):
    """Persists sessions."""

    def __call__(self, sessions: dict[bytes, bytes | None], /) -> None:
        """Persists encoded sessions by identifier, removing those that are None.

        Called in the sessions' thread.
        """
        ...


class DeviceConnection:
    """The client connection of a session with requests in flight."""

    __slots__ = ("frontend", "open_requests", "peer", "session")

    def __init__(self, session: Session, frontend: DeviceFrontend) -> None:
        """Creates a connection without requests."""
        self.open_requests: dict[int, InFlightRequest] = {}
        self.peer = session.device.decode("utf-8", "replace")
        self.frontend = frontend
        self.session = session


class DeviceFrontend:
    """Submits the requests of devices to the event loop, and sends the responses.

    Owns the `EdgeHost`, whose thread serves the sessions, and the table of client connections.
    Implements `Frontend`. Methods are called in the event loop's thread, except for the handlers
    of the `EdgeHost`, which post to the event loop's queue.
    """

    name = "devices"
    source_site = ""  # a session is bound to one node, so its requests are local traffic

    def __init__(
        self,
        host: RequestHandler,
        config: EdgeConfig,
        request_classes: dict[str, DeviceRequestClass],
        node: str,
        seed: int,
        event_queue: EventQueue,
        clock: Callable[[], int],
        persist_sessions: SessionsHandler | None = None,
    ) -> None:
        """Opens the listening sockets; connections are served after `start`.

        Args:
            host: The event loop.
            config: The operator's configuration.
            request_classes: The request classes by name.
            node: Name of this server.
            seed: Seed of random choices.
            event_queue: The event loop's queue.
            clock: A clock like the event loop's, for use only by the sessions' thread.
            persist_sessions: Persists sessions, or None if sessions end with the process.

        Raises:
            EdgeError: The certificates or secrets cannot be used.
            OSError: Listening on the address failed.
        """
        self.host = host
        self.config = config
        self.event_queue = event_queue
        self.max_in_flight = config.in_hand
        self.in_flight = 0
        self.clients: dict[Session, DeviceConnection] = {}
        # A random start makes a collision with the ids that proxies choose unlikely.
        self.request_numbers = count(int.from_bytes(os.urandom(REQUEST_ID_BYTES), "big"))
        self.edge = EdgeHost(
            config,
            request_classes,
            node,
            seed,
            clock,
            self._post_request,
            self._post_client_gone,
            persist_sessions,
            self._post_recovered_request,
        )
        self.is_closing = False

    def start(self) -> None:
        """Starts the thread that serves the sessions."""
        self.edge.start()

    # Called in the sessions' thread

    def _post_request(self, session: Session, number: int, device_request: DeviceRequest) -> None:
        self.event_queue.post(self.request_received, session, number, device_request)

    def _post_client_gone(self, session: Session, number: int) -> None:
        self.event_queue.post(self.client_gone, session, number)

    def _post_recovered_request(self, session: Session, number: int, opened: OpenRequest) -> None:
        self.event_queue.post(self.request_recovered, session, number, opened)

    # Posted by the sessions' thread, called in the event loop's thread

    def request_received(
        self, session: Session, number: int, device_request: DeviceRequest
    ) -> None:
        """Handles a request; `number` is its number in the session."""
        client = self.clients.get(session)
        if client is None:
            client = self.clients[session] = DeviceConnection(session, self)
        problem = self.host.submit(
            client, number, self._to_incoming(session, number, device_request)
        )
        if problem:
            self.reject_malformed(client, number, problem)

    def _to_incoming(
        self, session: Session, number: int, device_request: DeviceRequest
    ) -> IncomingRequest:
        frame = device_request.frame
        return IncomingRequest(
            id=self._request_id(session, number),
            class_name=frame.group,
            tenant_name=device_request.tenant,
            client=FIRST_CLIENT_NUMBER | xxhash.xxh32_intdigest(session.device),
            arrived_at=device_request.arrived_at,
            timeout=device_request.timeout,
            work_hint=frame.work * 10,
            memory_kb=float(frame.hold) or DEFAULT_MEMORY_KB,
            is_retry=device_request.is_retry,
            subject=frame.subject,
            idempotency_key=frame.key,
            body=frame.body,
        )

    def _request_id(self, session: Session, number: int) -> str:
        """Returns the request's id.

        The id of a request from a session is the same after a restart of the server, so that the
        record of its execution can be found. A request over CoAP has no session and gets an id that
        differs after a restart.
        """
        if isinstance(session, Session):
            identity = session.ident + number.to_bytes(8, "big")
            return blake2b(identity, digest_size=REQUEST_ID_BYTES).hexdigest()
        return f"{next(self.request_numbers) % REQUEST_ID_COUNT:016x}"

    def client_gone(self, session: Session, number: int) -> None:
        """Handles a device that no longer waits for the response."""
        client = self.clients.get(session)
        if client is not None and number in client.open_requests:
            self.host.client_gone(client.open_requests[number])
            self._remove_if_idle(client)

    def request_recovered(self, session: Session, number: int, opened: OpenRequest) -> None:
        """Responds to a request that was in flight when the previous process ended.

        Sends the result if it is known. Otherwise, a request that is not idempotent and may have
        been executed is answered as failed; any other is rejected, and may be retried. A duplicate
        may have been executed: the request that it waited for is not known any more.
        """
        began, result = self.host.find_earlier_execution(
            *opened.execution_key, self._request_id(session, number)
        )
        if result is not None:
            self.edge.send_answer(session, number, COMPLETED, result, 0)
        elif (began or opened.is_duplicate) and opened.effect is not Effect.IDEMPOTENT:
            self.edge.send_answer(session, number, TERMINATED, b"", 0)
        else:
            self.edge.send_answer(session, number, DENIED, b"", RETRY_AFTER)

    # Called by the event loop

    def send_response(self, client: DeviceConnection, tag: int, response: FinalResponse) -> None:
        """Sends the response to the request; `tag` is its number in the session."""
        self.edge.send_answer(
            client.session,
            tag,
            WORDS_BY_STATUS[response.status],
            bytes(response.body),
            response.retry_after,
        )
        self._remove_if_idle(client)

    def reject_malformed(self, client: DeviceConnection, tag: int, _reason: str) -> None:
        """Responds to a request that cannot be processed, unless the tag is 0."""
        if tag:
            self.edge.send_answer(client.session, tag, TERMINATED, b"", 0)
            self._remove_if_idle(client)

    def _remove_if_idle(self, client: DeviceConnection) -> None:
        """Removes a client connection that has no request in flight."""
        if not client.open_requests:
            self.clients.pop(client.session, None)

    def tick(self, _now: int, _was_stalled: bool) -> None:
        """Does nothing: the sessions' thread does its periodic work itself."""

    def start_draining(self, _now: int) -> None:
        """Redirects the devices to other servers."""
        self.edge.post(self.edge.start_draining, RETRY_AFTER)

    def stop_accepting(self) -> None:
        """Closes idle connections, and rejects new connections and requests."""
        self.is_closing = True
        self.edge.post(self.edge.stop_accepting)

    def close_idle_connections(self, _now: int, _is_final: bool) -> None:
        """Does nothing: the sessions' thread closes its connections."""

    def is_drained(self) -> bool:
        """Whether no device is connected any more."""
        return self.edge.has_stopped.is_set() or (self.is_closing and self.edge.is_idle)

    def is_flushed(self) -> bool:
        """Whether all responses have been sent."""
        return self.edge.has_stopped.is_set() or not any(
            device_socket.queue for device_socket in list(self.edge.device_sockets.values())
        )

    def reload(self, config: EdgeConfig) -> None:
        """Applies a new configuration, except for its listen address.

        Raises:
            EdgeError: The new configuration is invalid; the old one remains in effect.
        """
        if config.listen != self.config.listen:
            log.warning(
                {"event": "edge_reload", "detail": "new listen address takes effect at next start"}
            )
        self.edge.reload(config)
        self.config = config

    def end(self, timeout: float) -> None:
        """Stops the sessions' thread, and waits for its end for at most `timeout` seconds."""
        self.edge.end(timeout)
