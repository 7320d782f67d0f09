"""The operator's configuration of the edge.

The records are immutable; the operator package checks them when it reads the operator's file. Times
are in tenths of a millisecond, sizes in bytes.
"""

from __future__ import annotations

from typing import Annotated, ClassVar

from msgspec import Meta, Struct

SECOND = 10_000


def unit(name: str, **limits) -> Meta:
    """Returns field metadata with the notation `name` and msgspec's limits of the value."""
    return Meta(extra={"unit": name}, **limits)


Time = Annotated[int, unit("duration", ge=SECOND // 100, le=24 * 3600 * SECOND)]
Size = Annotated[int, unit("size", ge=1_000, le=1_000_000_000)]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]


class Tls(Struct, frozen=True, kw_only=True):
    """Certificate and key of the TLS listener."""

    certificate: str
    key: str
    # File of the certificate authority that signs the devices' certificates.
    authority: str | None = None
    mutual: bool = False  # whether each device must present a certificate

    def faults(self) -> list[tuple[str, str]]:
        """Returns the invalid fields, each with the expected value."""
        return (
            [("mutual", "an authority beside it")] if self.mutual and self.authority is None else []
        )


class EdgeConfig(Struct, frozen=True, kw_only=True):
    """Listeners, limits and timeouts of the service for devices."""

    ARGUMENTS: ClassVar = ()
    listen: Annotated[tuple[str, int], unit("endpoint")]
    coap: Annotated[tuple[str, int], unit("endpoint")] | None = None  # UDP
    secrets: str  # path of a file with one hexadecimal secret per line
    tls: Tls | None = None
    customer: str = ""  # tenant of requests that do not name one
    connections: Count = 2_000
    sessions: Count = 4_000
    sessions_each: Annotated[int, Meta(ge=1, le=64)] = 4  # limit per device
    # Maximum number of requests in flight, including those over CoAP.
    in_hand: Count = 500
    window: Annotated[int, Meta(ge=1, le=256)] = 16  # requests that one session may have in flight
    body: Size = 2_048  # maximum size of a request body; requests of proxies have the same limit
    kept: Size = 4_000_000  # maximum bytes of unacknowledged answers of all sessions together
    kept_each: Size = 131_072  # maximum bytes of unacknowledged answers of one session
    buffer: Size = 32_768  # unsent bytes on one connection; further answers wait in the session
    session_time: Time = 600 * SECOND  # a session without a connection is removed after this time
    repeat_window: Time = 60 * SECOND  # time for which a request is compared with later ones
    heartbeat: Time = 30 * SECOND  # maximum time between probes of an idle link
    # Maximum time from the start of a connection until its HELLO frame has been received.
    hello: Time = 5 * SECOND
    frame_time: Time = 60 * SECOND  # maximum time from the first byte of a frame to its last
    slowest: Annotated[int, Meta(ge=1, le=1_000_000)] = 64  # minimum bytes per second
    # Maximum number of connections per source in about 10 s.
    arrivals: Annotated[int, Meta(ge=1, le=1_000_000)] = 60
    # Whether to subtract the expected delivery time of the answer from a request's timeout.
    estimates: bool = True
    # Whether to detect duplicate requests across sessions, without relying on idempotency keys.
    repeats: bool = True
    resume: bool = True  # whether a session can be resumed on another connection

    def faults(self) -> list[tuple[str, str]]:
        """Returns the invalid fields, each with the expected value."""
        if self.kept_each > self.kept:
            return [("kept-each", "no more than kept")]
        return []
