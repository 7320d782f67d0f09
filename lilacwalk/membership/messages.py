"""The datagram codec: one record in MessagePack, authenticated with a shared key.

    1 byte     format version, 1
    16 bytes   keyed BLAKE2b of the body (RFC 7693), personalised with TAG_PERSONALISATION
    body       a Datagram in MessagePack, its fields in the order of their declaration

All records are encoded as arrays, so the order of the fields is part of the wire format and their
names are not. Any bytes decode to a record or raise a DatagramError. A body is decoded only if its
tag matches.
"""

from __future__ import annotations

import hmac
from enum import IntEnum
from hashlib import blake2b
from typing import Annotated, Literal, TypeAlias

import msgspec
from msgspec import Meta, Struct

from lilacwalk.errors import LilacwalkError

FORMAT_VERSION = 1
TAG_BYTES = 16
HEADER_BYTES = 1 + TAG_BYTES
MAX_DATAGRAM_BYTES = 1_400  # fits an Ethernet frame with room for two tunnels' headers
FIXED_FIELDS_BYTES = 170  # reserved for the fields other than updates: names, address, numbers
MAX_UPDATE_BYTES = MAX_DATAGRAM_BYTES - HEADER_BYTES - FIXED_FIELDS_BYTES  # all updates together
MAX_INCARNATION = 1 << 62  # incarnations are milliseconds of the Unix clock: 2^41 today
MAX_REFUTATION = 1 << 31
TAG_PERSONALISATION = b"lilacwalk-fleet"
DIGEST_BUCKETS = 32
BUCKET_DIGEST_BYTES = 8

Name = Annotated[str, Meta(min_length=1, max_length=40)]
Incarnation = Annotated[int, Meta(ge=0, le=MAX_INCARNATION)]
Refutation = Annotated[int, Meta(ge=0, le=MAX_REFUTATION)]
Port = Annotated[int, Meta(ge=1, le=65_535)]
Host = Annotated[str, Meta(min_length=2, max_length=45)]
Permille = Annotated[int, Meta(ge=0, le=1_000_000)]
Unsigned32 = Annotated[int, Meta(ge=0, le=1 << 32)]
Unsigned63 = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]

Address: TypeAlias = tuple[str, int]
Process: TypeAlias = tuple[int, int]
"""Incarnation and instance, which identify a process; the larger pair is the newer process."""
Precedence: TypeAlias = tuple[int, int, int, int]
"""Incarnation, instance, refutation, health: of two claims about a member the larger one wins."""
DatagramErrorKind: TypeAlias = Literal["short", "long", "format", "seal", "shape"]


class DatagramError(LilacwalkError):
    """Bytes that are not a datagram of this fleet, or a datagram that is too long to send."""

    def __init__(self, kind: DatagramErrorKind, detail: str) -> None:
        """Stores the kind of the error; the detail goes into the message."""
        super().__init__(f"{kind}: {detail}")
        self.kind = kind


class Health(IntEnum):
    """A member's health; of claims that differ only in health, the larger value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class NodeState(IntEnum):
    """The state that a member reports about its own service."""

    COLD = 0
    WARMING = 1
    READY = 2
    UNHEALTHY = 3
    STALLED = 4
    DRAINING = 5
    STOPPED = 6


NODE_STATE_NAMES = {  # as used by operators, in commands and reports
    NodeState.COLD: "cold",
    NodeState.WARMING: "warming",
    NodeState.READY: "ready",
    NodeState.UNHEALTHY: "sick",
    NodeState.STALLED: "standing-still",
    NodeState.DRAINING: "leaving",
    NodeState.STOPPED: "gone",
}
NODE_STATES_BY_NAME = {name: state for state, name in NODE_STATE_NAMES.items()}


class MemberMetadata(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The metadata that a member publishes; within one process the larger `version` is newer."""

    site: Name
    host: Host
    port: Port
    version: Unsigned32
    state: NodeState = NodeState.COLD
    withdrawn: bool = False  # whether the member has withdrawn its routes as unhealthy
    cores: Unsigned32 = 0
    completed_per_second: Unsigned32 = 0  # requests
    load_permille: Permille = 0  # utilisation of the cores
    admission_permille: Permille = 1_000
    rejected_classes: Annotated[
        tuple[Annotated[str, Meta(max_length=24)], ...], Meta(max_length=6)
    ] = ()
    revision: Annotated[str, Meta(max_length=16)] = ""
    # operator commands that the member relays, and the fingerprint of its failover plan
    operator_commands: Annotated[
        tuple[Annotated[str, Meta(max_length=80)], ...], Meta(max_length=5)
    ] = ()
    # recovery stages of unhealthy sites, as this member sees them
    site_stages: Annotated[tuple[Annotated[str, Meta(max_length=48)], ...], Meta(max_length=4)] = ()
    # why effects are not stored as configured; empty if they are, or without a store
    storage_state: Annotated[str, Meta(max_length=12)] = ""

    @property
    def address(self) -> Address:
        """The address at which other members reach this one."""
        return self.host, self.port


class GossipUpdate(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A claim about one member, and the member that made it."""

    name: Name
    incarnation: Incarnation
    instance: Unsigned63
    refutation: Refutation
    health: Health
    reported_by: Annotated[str, Meta(max_length=40)] = ""
    metadata: MemberMetadata | None = None

    @property
    def process(self) -> Process:
        """The process that the claim is about."""
        return self.incarnation, self.instance

    @property
    def precedence(self) -> Precedence:
        """The precedence of this claim among the claims about its member."""
        return self.incarnation, self.instance, self.refutation, self.health


class MessageType(IntEnum):
    """The purpose of a datagram."""

    PING = 1
    ACK = 2  # answers a ping and repeats its sequence number
    PING_REQ = 3  # requests the receiver to ping `target`
    NACK = 4  # answers a ping-req: the helper runs, but its target has not answered yet
    STATE_REQUEST = 5  # carries bucket digests; requests the members in buckets that differ
    STATE_REPLY = 6  # carries a part of the requested members
    STATE_PUSH = 7  # carries members that the sender of a state reply lacks; not answered


class Datagram(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """One message between two members, with piggybacked updates."""

    message_type: MessageType
    sender: Name
    incarnation: Incarnation
    instance: Unsigned63
    refutation: Refutation
    host: Host  # address at which the sender is reached; the UDP source address is not used
    port: Port
    sequence: Unsigned32 = 0
    view_digest: Unsigned63 = 0
    # the member to ping, or in a relayed ack the member that answered
    target: Annotated[str, Meta(max_length=40)] = ""
    updates: Annotated[tuple[GossipUpdate, ...], Meta(max_length=64)] = ()
    bucket_digests: Annotated[bytes, Meta(max_length=BUCKET_DIGEST_BYTES * DIGEST_BUCKETS)] = b""
    part: Unsigned32 = 0  # number of this part of a state reply or push, from 1
    parts: Unsigned32 = 0

    @property
    def process(self) -> Process:
        """The process that sent the datagram."""
        return self.incarnation, self.instance

    @property
    def reply_address(self) -> Address:
        """The address to which answers are sent."""
        return self.host, self.port


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Datagram)


def encode(record: Struct) -> bytes:
    """Returns a record of this module in MessagePack."""
    return _encoder.encode(record)


def seal(datagram: Datagram, key: bytes) -> bytes:
    """Returns the datagram's bytes, with a tag computed with the key.

    Raises:
        DatagramError: the datagram is too long to send.
    """
    body = _encoder.encode(datagram)
    if len(body) + HEADER_BYTES > MAX_DATAGRAM_BYTES:
        raise DatagramError(
            "long", f"{len(body) + HEADER_BYTES} bytes, expected at most {MAX_DATAGRAM_BYTES}"
        )
    return bytes((FORMAT_VERSION,)) + authentication_tag(body, key) + body


def unseal(data: bytes, keys: tuple[bytes, ...]) -> Datagram:
    """Returns the datagram in these bytes, if its tag matches any of the keys.

    Raises:
        DatagramError: the bytes are not a datagram of this fleet.
    """
    if len(data) > MAX_DATAGRAM_BYTES:
        raise DatagramError("long", f"{len(data)} bytes, expected at most {MAX_DATAGRAM_BYTES}")
    if len(data) <= HEADER_BYTES:
        raise DatagramError("short", f"{len(data)} bytes, expected more than {HEADER_BYTES}")
    if data[0] != FORMAT_VERSION:
        raise DatagramError("format", f"version {data[0]}, expected {FORMAT_VERSION}")
    tag = data[1:HEADER_BYTES]
    body = data[HEADER_BYTES:]
    if not any(hmac.compare_digest(tag, authentication_tag(body, key)) for key in keys):
        raise DatagramError("seal", "the tag matches none of the configured keys")
    try:
        return _decoder.decode(body)
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:  # ValueError: not UTF-8
        raise DatagramError("shape", str(error)) from error


def authentication_tag(body: bytes | memoryview, key: bytes) -> bytes:
    """Returns the keyed hash that precedes a body."""
    return blake2b(body, digest_size=TAG_BYTES, key=key, person=TAG_PERSONALISATION).digest()
