"""The interface of the event loop to the front ends; its records are in `requests.records`."""

from __future__ import annotations

from typing import Protocol

from lilacwalk.limits import Limits
from lilacwalk.protocols.send_buffer import SendBuffer
from lilacwalk.requests.records import ClientConnection, IncomingRequest, InFlightRequest


class RequestHandler(Protocol):
    """The event loop as seen by front ends, which use it only in its own thread.

    Attributes:
        now: The time of the current iteration, in tenths of a millisecond.
        limits: The limits of the process.
    """

    now: int
    limits: Limits

    @property
    def is_healthy(self) -> bool:
        """Whether health checks report this server as healthy."""
        ...

    @property
    def advertised_capacity(self) -> float | None:
        """The capacity that each response reports, or None if it is not known yet."""
        ...

    @property
    def close_idle_after(self) -> int:
        """Idle time after which connections are closed, or 0 to apply the front end's limit."""
        ...

    def submit(self, client: ClientConnection, tag: int, incoming: IncomingRequest, /) -> str:
        """Takes over a request; the response carries the tag, which must not be in use.

        Returns:
            The reason why the request is malformed; empty if it was accepted or answered.
        """
        ...

    def connection_opened(self) -> None:
        """Counts a new connection."""

    def client_gone(self, in_flight: InFlightRequest, /) -> None:
        """Handles a client that no longer waits for the response."""

    def find_earlier_execution(
        self, class_name: str, tenant_name: str, idempotency_key: str, request_id: str, /
    ) -> tuple[bool, bytes | None]:
        """Looks up the execution of a request before the last restart.

        Returns:
            Whether it may have begun, and its result, or None if the result is not known.
        """
        ...

    def send(self, send_buffer: SendBuffer, data: bytes, /) -> bool:
        """Sends data at the end of the iteration; returns False if the buffer is full."""
        ...
