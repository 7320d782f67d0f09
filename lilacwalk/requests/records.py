"""Records of requests, shared by the front ends, the event loop and the protocol clients.

The records do not depend on any protocol. Times and durations are in tenths of a millisecond.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, StrEnum, auto
from typing import NamedTuple, Protocol

from lilacwalk.overload.model import Request


@dataclass(slots=True)
class IncomingRequest:
    """A request with the values that its client has sent.

    Attributes:
        id: The id chosen by the client, unique among the requests in flight.
        class_name: The name of the request class.
        tenant_name: The name of the tenant; empty if none was stated.
        client: The number of the client that made the request; 0 if none was stated.
        arrived_at: The Unix time at which the request reached this machine.
        timeout: The time from `arrived_at` until the deadline; None for the timeout of the request
            class.
        work_hint: The execution time that the client expects; 0 if none was stated.
        memory_kb: The memory in kilobytes that the request needs while it is queued.
        is_retry: Whether the client has made an earlier attempt.
        subject: The object that the request reads; empty if unknown. Requests with the same subject
            may share a result.
        idempotency_key: The idempotency key; empty if there is none.
        body: A slice of the socket's read buffer, or a copy.
    """

    id: str
    class_name: str
    tenant_name: str
    client: int
    arrived_at: int
    timeout: int | None
    work_hint: int
    memory_kb: float
    is_retry: bool
    subject: str
    idempotency_key: str
    body: memoryview | bytes


class CacheKeyKind(StrEnum):
    """The property by which duplicates of a request are identified; the values are persisted."""

    IDEMPOTENCY_KEY = "key"
    SUBJECT = "subject"
    REQUEST_ID = "id"


class CacheKey(NamedTuple):
    """The key under which a request is found by its duplicates; persisted as an array."""

    class_name: str
    tenant_name: str
    kind: str  # a `CacheKeyKind`
    text: str  # the idempotency key, subject or request id, depending on `kind`


class FinalStatus(Enum):
    """The final status of a request."""

    COMPLETED = auto()
    REJECTED = auto()  # the attempt was not executed
    FAILED = auto()  # the outcome is unknown, or the execution failed or was not finished in time


@dataclass(slots=True)
class FinalResponse:
    """The one final response to a request."""

    status: FinalStatus
    body: bytes | memoryview = b""
    retry_after: int = 0  # 0 if no retry-after is to be sent
    do_not_retry_elsewhere: bool = False


@dataclass(eq=False, slots=True)
class PendingCommand:
    """A command that the executor is not known to have read.

    Attributes:
        data: The encoded command.
        replacement: What is sent over the next link if the executor may have read the command: the
            command itself if it may be read twice, another one, or None if nothing may be sent.
        polls_before: The number of gauge polls sent before the command; None if the command itself
            has not been sent.
        end_position: The position in the byte stream of the link at which the command ends.
    """

    data: bytes
    replacement: bytes | None
    polls_before: int | None = None
    end_position: int = 0

    @property
    def may_be_read(self) -> bool:
        """Whether the executor may have read the command."""
        return self.polls_before is not None

    @property
    def is_repeatable(self) -> bool:
        """Whether it does no harm if the executor reads the command twice."""
        return self.replacement == self.data


@dataclass(eq=False, slots=True)
class InFlightRequest:
    """The state of a request until it is answered and its execution has ended.

    Attributes:
        request: The controller's record of the request.
        id: The id chosen by the client, also used towards the executor and the dependency.
        tag: The number that identifies the request on its client connection.
        connection: The connection that awaits the response; None after the response was sent, or
            the client has disconnected or withdrawn the request.
        class_name: The name of the request class on the wire.
        body: The body of the request.
        cache_key: The key of the request's entry in the result cache; None if it has no entry.
        pending_commands: Commands that the executor is not known to have read.
        commands_resent: Whether commands were sent again after the link was lost, so that the
            executor may have received them twice.
        is_unconfirmed: Whether the execution may not exist or not continue, because a command may
            have been lost with the link and must not be repeated.
        call_body: The body of the dependency call that the execution requested last.
        call_event_number: The number of the executor event by which the execution requested it.
        call: The dependency call in progress.
        call_started_at: The time at which the dependency call started.
        awaits_result_of: The original request whose result answers this duplicate.
    """

    request: Request
    id: str
    tag: int
    connection: ClientConnection | None
    class_name: str
    body: bytes
    cache_key: CacheKey | None = None
    pending_commands: list[PendingCommand] = field(default_factory=list)
    commands_resent: bool = False
    is_unconfirmed: bool = False
    call_body: bytes = b""
    call_event_number: int = 0
    call: object | None = None
    call_started_at: int = 0
    awaits_result_of: Request | None = None


class ClientConnection(Protocol):
    """The destination of responses: the connection of a proxy or the session of a device.

    Attributes:
        open_requests: The requests in flight, by the client's tag.
        peer: A description of the client for the log.
        frontend: The front end to which the client is connected.
    """

    open_requests: dict[int, InFlightRequest]
    peer: str
    frontend: Frontend


class Frontend(Protocol):
    """The event loop's interface to one protocol by which requests are received.

    All methods are called in the event loop's thread.

    Attributes:
        name: The name of the protocol.
        source_site: The site whose failover traffic is received here; empty for local traffic.
        max_in_flight: The maximum number of requests in flight of this front end, so that a flood
            of requests at one front end leaves capacity for the others.
        in_flight: The number of requests in flight of this front end.
    """

    name: str
    source_site: str
    max_in_flight: int
    in_flight: int

    def send_response(self, client: ClientConnection, tag: int, response: FinalResponse, /) -> None:
        """Sends the response to a request, in the event loop iteration that decided on it."""

    def reject_malformed(self, client: ClientConnection, tag: int, reason: str, /) -> None:
        """Logs a malformed message and responds with an error, unless `tag` is 0."""

    def tick(self, now: int, was_stalled: bool, /) -> None:
        """Does the front end's housekeeping, such as closing idle connections.

        If `was_stalled` is true, the event loop was delayed. Messages that have arrived may then be
        unread, so that no connection may be closed as idle.
        """

    def start_draining(self, now: int, /) -> None:
        """Handles the start of a drain, in which requests are still received."""

    def stop_accepting(self) -> None:
        """Closes the listener and asks clients to disconnect."""

    def close_idle_connections(self, now: int, is_final: bool, /) -> None:
        """Closes unused connections; called repeatedly after `stop_accepting`.

        If `is_final` is true, the process is about to end, and connections are closed without
        waiting for the clients to do so.
        """

    def is_drained(self) -> bool:
        """Whether no client is connected any more."""
        ...

    def is_flushed(self) -> bool:
        """Whether all responses have been sent."""
        ...
