"""Codec of BGP messages (RFC 4271 section 4; RFC 2918, 4760, 6793, 7313, 8654, 9072).

Any bytes yield either a record or a `BgpError` with the code and subcode that the RFC assigns to
the error.
"""

from __future__ import annotations

import ipaddress
import struct
from collections.abc import Iterator
from dataclasses import dataclass

from lilacwalk.bgp import attributes as path_attributes
from lilacwalk.bgp import capabilities as capability_codec
from lilacwalk.bgp import prefixes as prefix_codec
from lilacwalk.bgp.attributes import (
    EXTENDED_LENGTH,
    OPTIONAL,
    Attributes,
    Fault,
    Severity,
    Type,
    encode_attribute,
)
from lilacwalk.bgp.capabilities import Capabilities, NegotiatedCapabilities
from lilacwalk.bgp.errors import BgpError, Code, Header, OpenFault, UpdateFault
from lilacwalk.bgp.prefixes import UNICAST, Afi, Prefix

MARKER = b"\xff" * 16
HEADER_SIZE, MAX_SIZE, MAX_EXTENDED_SIZE = 19, 4_096, 65_535
OPEN, UPDATE, NOTIFICATION, KEEPALIVE, REFRESH = 1, 2, 3, 4, 5
MIN_SIZES = {OPEN: 29, UPDATE: 23, NOTIFICATION: 21, KEEPALIVE: 19, REFRESH: 23}
CAPABILITIES, EXTENDED_PARAMETERS = 2, 255  # types of optional parameters (RFC 5492, RFC 9072)
VERSION = 4


@dataclass(frozen=True, slots=True)
class Open:
    """An OPEN message; `asn` is the four-octet number if the peer sent one."""

    asn: int
    hold: int  # seconds
    router_id: str
    capabilities: Capabilities = Capabilities()


@dataclass(frozen=True, slots=True)
class Update:
    """An UPDATE message."""

    withdrawn: tuple[Prefix, ...] = ()
    # (attributes, prefixes) of the NLRI field and of MP_REACH_NLRI.
    reachable: tuple[tuple[Attributes, tuple[Prefix, ...]], ...] = ()
    end_of_rib: int | None = None  # the AFI of an End-of-RIB marker (RFC 4724 section 2)
    faults: tuple[Fault, ...] = ()  # malformed attributes that do not end the session (RFC 7606)

    @property
    def announced(self) -> tuple[Prefix, ...]:
        """All announced prefixes."""
        return tuple(prefix for _, prefixes in self.reachable for prefix in prefixes)


@dataclass(frozen=True, slots=True)
class Notification:
    """A NOTIFICATION message."""

    code: int
    subcode: int
    data: bytes = b""

    @property
    def text(self) -> str:
        """The shutdown communication (RFC 8203, 9003) with unprintable characters replaced, for
        logs.
        """
        if self.code == Code.CEASE and self.subcode in (2, 4) and self.data:
            raw = self.data[1 : 1 + self.data[0]]
            return "".join(
                char if char.isprintable() else "." for char in raw.decode("utf-8", "replace")
            )
        return ""


@dataclass(frozen=True, slots=True)
class Keepalive:
    """A KEEPALIVE message."""


@dataclass(frozen=True, slots=True)
class Refresh:
    """A ROUTE-REFRESH message."""

    afi: int
    safi: int
    kind: int = 0  # subtype: 0 request, 1 beginning, 2 end of a refresh (RFC 7313)


Message = Open | Update | Notification | Keepalive | Refresh


class Stream:
    """Splits a byte stream into messages.

    Buffers at most one message of up to `max_size` bytes, in `rest`. After a `BgpError` the stream
    cannot be used any more.
    """

    __slots__ = ("rest", "max_size")

    def __init__(self, max_size: int = MAX_SIZE) -> None:
        self.rest, self.max_size = b"", max_size

    def feed(self, chunk: bytes) -> Iterator[tuple[int, bytes]]:
        """Yields the type and body of each message that the chunk completes.

        Raises:
            BgpError: A message header is invalid.
        """
        data, offset = self.rest + chunk if self.rest else chunk, 0
        try:
            while len(data) - offset >= HEADER_SIZE:
                size, kind = (
                    int.from_bytes(data[offset + 16 : offset + 18], "big"),
                    data[offset + 18],
                )
                if data[offset : offset + 16] != MARKER:
                    raise BgpError(Code.HEADER, Header.NOT_SYNCHRONIZED)
                if (
                    not HEADER_SIZE <= size <= self.max_size
                    or kind in MIN_SIZES
                    and size < MIN_SIZES[kind]
                    or kind == KEEPALIVE
                    and size != HEADER_SIZE
                    or kind == OPEN
                    and size > MAX_SIZE
                ):
                    raise BgpError(
                        Code.HEADER,
                        Header.BAD_LENGTH,
                        data[offset + 16 : offset + 18],
                        f"invalid length {size} of a message of type {kind}",
                    )
                if kind not in MIN_SIZES:
                    raise BgpError(
                        Code.HEADER,
                        Header.BAD_TYPE,
                        bytes((kind,)),
                        f"message type {kind}, expected 1 to 5",
                    )
                if len(data) - offset < size:
                    break
                body = data[offset + HEADER_SIZE : offset + size]
                offset += size
                yield kind, body
        finally:
            self.rest = data[offset:]


def frame(kind: int, body: bytes) -> bytes:
    """Returns a message with its header."""
    return MARKER + struct.pack("!HB", HEADER_SIZE + len(body), kind) + body


def decode(
    kind: int,
    body: bytes,
    negotiated: NegotiatedCapabilities = NegotiatedCapabilities(),
    internal: bool = False,
) -> Message:
    """Decodes the body of one message.

    Args:
        kind: The message type.
        body: The message without its header.
        negotiated: The negotiated capabilities, which determine the encoding of an UPDATE.
        internal: Whether the peer has our AS number.

    Raises:
        BgpError: The message is malformed, or its type is unknown.
    """
    if kind == OPEN:
        return decode_open(body)
    if kind == UPDATE:
        return decode_update(body, negotiated, internal)
    if kind == NOTIFICATION:
        if len(body) < 2:  # `Stream` checks this too, but not every caller uses it
            raise BgpError(
                Code.HEADER, Header.BAD_LENGTH, struct.pack("!H", HEADER_SIZE + len(body))
            )
        return Notification(body[0], body[1], body[2:])
    if kind == KEEPALIVE:
        return Keepalive()
    if kind == REFRESH:
        if len(body) != 4:
            raise BgpError(
                Code.ROUTE_REFRESH,
                1,
                frame(REFRESH, body),
                f"body of {len(body)} bytes, expected 4",
            )
        afi, subtype, safi = struct.unpack("!HBB", body)
        return Refresh(afi, safi, subtype)
    raise BgpError(Code.HEADER, Header.BAD_TYPE, bytes((kind & 0xFF,)))


def decode_open(body: bytes) -> Open:
    """Decodes the body of an OPEN message.

    Raises:
        BgpError: The message is malformed, or has an unacceptable value (RFC 4271 section 6.2).
    """
    if len(body) < 10:
        raise BgpError(Code.HEADER, Header.BAD_LENGTH, struct.pack("!H", HEADER_SIZE + len(body)))
    version, asn, hold, router_id, parameters_size = struct.unpack("!BHHIB", body[:10])
    if version != VERSION:
        raise BgpError(
            Code.OPEN,
            OpenFault.VERSION,
            struct.pack("!H", VERSION),
            f"version {version}, expected {VERSION}",
        )
    parameters, parameter_header_size = body[10:], 2
    # RFC 9072: each parameter's length and the total length have two octets.
    if parameters_size == EXTENDED_PARAMETERS and parameters[:1] == b"\xff":
        if len(parameters) < 3:
            raise BgpError(
                Code.OPEN,
                0,
                text=f"truncated extended parameters length: got {len(parameters) - 1} of 2 bytes",
            )
        parameters_size, parameters, parameter_header_size = (
            int.from_bytes(parameters[1:3], "big"),
            parameters[3:],
            3,
        )
    if parameters_size != len(parameters):
        raise BgpError(
            Code.OPEN,
            0,
            text=f"{len(parameters)} bytes of parameters, expected {parameters_size}",
        )
    capability_data, offset = b"", 0
    while offset < len(parameters):
        length = int.from_bytes(parameters[offset + 1 : offset + parameter_header_size], "big")
        value = parameters[offset + parameter_header_size : offset + parameter_header_size + length]
        if len(parameters) < offset + parameter_header_size or len(value) < length:
            raise BgpError(
                Code.OPEN,
                0,
                text=f"truncated parameter at byte {offset}: {len(parameters) - offset} bytes left",
            )
        if parameters[offset] != CAPABILITIES:
            raise BgpError(
                Code.OPEN,
                OpenFault.OPTIONAL_PARAMETER,
                text=f"optional parameter {parameters[offset]}, expected {CAPABILITIES} (capabilities)",
            )
        capability_data += value
        offset += parameter_header_size + length
    capabilities = capability_codec.decode(capability_data)
    if not asn:
        raise BgpError(Code.OPEN, OpenFault.PEER_AS, text="reserved AS 0, expected 1 or higher")
    if hold in (1, 2):
        raise BgpError(
            Code.OPEN,
            OpenFault.HOLD_TIME,
            text=f"hold time of {hold} s, expected 0 or at least 3 s",
        )
    if not router_id:
        raise BgpError(
            Code.OPEN, OpenFault.ROUTER_ID, text="router id 0.0.0.0, expected a nonzero one"
        )
    return Open(
        asn if capabilities.as4 is None else capabilities.as4,
        hold,
        str(ipaddress.IPv4Address(router_id)),
        capabilities,
    )


def decode_update(body: bytes, negotiated: NegotiatedCapabilities, internal: bool) -> Update:
    """Decodes the body of an UPDATE message; for the arguments see `decode`.

    Raises:
        BgpError: The message is malformed in a way that RFC 7606 answers with a session reset.
    """
    if len(body) < 4:
        raise BgpError(Code.HEADER, Header.BAD_LENGTH, struct.pack("!H", HEADER_SIZE + len(body)))
    withdrawn_size = int.from_bytes(body[:2], "big")
    if len(body) < withdrawn_size + 4:
        raise BgpError(
            Code.UPDATE,
            UpdateFault.ATTRIBUTE_LIST,
            text=f"withdrawn routes of {withdrawn_size} bytes exceed the body of {len(body)} bytes",
        )
    attributes_size = int.from_bytes(body[2 + withdrawn_size : 4 + withdrawn_size], "big")
    if len(body) < 4 + withdrawn_size + attributes_size:
        raise BgpError(
            Code.UPDATE,
            UpdateFault.ATTRIBUTE_LIST,
            text=f"attributes of {attributes_size} bytes exceed the body of {len(body)} bytes",
        )
    if len(body) == 4:
        return Update(end_of_rib=Afi.IPV4)
    withdrawn = decode_prefixes(body[2 : 2 + withdrawn_size], Afi.IPV4)
    raw, announced = (
        body[4 + withdrawn_size : 4 + withdrawn_size + attributes_size],
        decode_prefixes(body[4 + withdrawn_size + attributes_size :], Afi.IPV4),
    )
    parsed = path_attributes.parse_attributes(raw, negotiated.as4, internal)
    if parsed.unreach is not None:
        afi, safi, nlri = parsed.unreach
        if safi == UNICAST and afi in (Afi.IPV4, Afi.IPV6):
            if not nlri and parsed.seen == {Type.MP_UNREACH} and not withdrawn and not announced:
                return Update(end_of_rib=afi, faults=tuple(parsed.faults))
            # Families not negotiated are ignored (RFC 4760 section 7).
            if afi in negotiated.families:
                withdrawn += decode_prefixes(nlri, Afi(afi))
    mp_reached: list[Prefix] = []
    if parsed.reach is not None:
        afi, safi, next_hop, nlri = parsed.reach
        if safi == UNICAST and afi in negotiated.families:
            mp_reached = decode_prefixes(nlri, Afi(afi))
    if announced or mp_reached:
        check_mandatory(parsed, bool(announced), internal)
    if parsed.severity >= Severity.WITHDRAW:
        if not (announced or mp_reached) and (withdrawn or parsed.seen - {Type.MP_UNREACH}):
            # The routes to treat as withdrawn are unknown (RFC 7606 section 5.2).
            worst = max(parsed.faults, key=lambda each: each.severity)
            raise BgpError(
                Code.UPDATE,
                UpdateFault.ATTRIBUTE_LIST,
                text=f"attribute {worst.kind}: {worst.text}, in an UPDATE without reachable routes",
            )
        return Update(
            tuple(dict.fromkeys([*withdrawn, *announced, *mp_reached])), faults=tuple(parsed.faults)
        )
    reachable = []
    if announced:
        reachable.append((Attributes(**parsed.values), tuple(announced)))  # type: ignore[arg-type]
    if mp_reached:
        values = parsed.values | {"next_hop": next_hop}
        reachable.append((Attributes(**values), tuple(mp_reached)))  # type: ignore[arg-type]
    # A prefix both withdrawn and announced counts as announced (RFC 4271 section 4.3).
    if withdrawn and reachable:
        announced_again = {*announced, *mp_reached}
        withdrawn = [each for each in withdrawn if each not in announced_again]
    return Update(tuple(withdrawn), tuple(reachable), faults=tuple(parsed.faults))


def check_mandatory(
    parsed: path_attributes.ParsedAttributes, has_ipv4_nlri: bool, internal: bool
) -> None:
    """Records missing mandatory attributes as faults.

    The routes of the UPDATE are then treated as withdrawn (RFC 7606 section 3d).
    """
    mandatory = [Type.ORIGIN, Type.AS_PATH]
    if has_ipv4_nlri:
        mandatory.append(Type.NEXT_HOP)
    if internal:
        mandatory.append(Type.LOCAL_PREF)
    for kind in mandatory:
        if kind not in parsed.seen:
            parsed.fault(Severity.WITHDRAW, kind, "mandatory attribute missing")


def decode_prefixes(data: bytes, afi: Afi) -> list[Prefix]:
    """Decodes the prefixes of an NLRI field.

    Raises:
        BgpError: A prefix is malformed; the session ends.
    """
    try:
        return prefix_codec.decode(data, afi)
    except ValueError as error:
        raise BgpError(Code.UPDATE, UpdateFault.NETWORK, text=str(error)) from None


def encode(message: Message) -> bytes:
    """Encodes a message other than UPDATE, with its header.

    Raises:
        TypeError: The message is an `Update`.
    """
    if isinstance(message, Open):
        return encode_open(message)
    if isinstance(message, Notification):
        return frame(NOTIFICATION, bytes((message.code, message.subcode)) + message.data)
    if isinstance(message, Refresh):
        return frame(REFRESH, struct.pack("!HBB", message.afi, message.kind, message.safi))
    if isinstance(message, Keepalive):
        return frame(KEEPALIVE, b"")
    raise TypeError(
        f"cannot encode {type(message).__name__}: expected Open, Notification, Refresh or Keepalive; "
        "use `announcements`, `withdrawals` or `end_of_rib` for an UPDATE"
    )


def encode_open(message: Open) -> bytes:
    capability_data = message.capabilities.encode()
    parameters = (
        bytes((CAPABILITIES, len(capability_data))) + capability_data if capability_data else b""
    )
    two_octet_as = message.asn if message.asn < 65_536 else path_attributes.AS_TRANS
    router_id = int(ipaddress.IPv4Address(message.router_id))
    fixed = struct.pack("!BHHIB", VERSION, two_octet_as, message.hold, router_id, len(parameters))
    return frame(OPEN, fixed + parameters)


def shutdown_data(text: str) -> bytes:
    """Encodes a shutdown communication (RFC 9003): at most 255 bytes of UTF-8, cut between
    characters.
    """
    raw = text.encode()[:255].decode("utf-8", "ignore").encode()
    return bytes((len(raw),)) + raw if raw else b""


def end_of_rib(afi: int) -> bytes:
    """Returns the End-of-RIB marker of a family (RFC 4724 section 2)."""
    if afi == Afi.IPV4:
        return frame(UPDATE, b"\0\0\0\0")
    unreach = encode_attribute(OPTIONAL, Type.MP_UNREACH, struct.pack("!HB", afi, UNICAST))
    return frame(UPDATE, b"\0\0" + struct.pack("!H", len(unreach)) + unreach)


def pack_prefixes(prefixes: list[Prefix], room: int) -> Iterator[bytes]:
    """Yields the prefixes encoded as NLRI, in pieces of at most `room` bytes."""
    piece = bytearray()
    for each in prefixes:
        raw = prefix_codec.encode(each)
        if len(piece) + len(raw) > room and piece:
            yield bytes(piece)
            piece.clear()
        piece += raw
    if piece:
        yield bytes(piece)


def announcements(
    prefixes: list[Prefix],
    attributes: Attributes,
    as4: bool,
    internal: bool,
    max_size: int = MAX_SIZE,
) -> Iterator[bytes]:
    """Yields as few UPDATE messages as possible that announce prefixes with shared attributes.

    Args:
        prefixes: At least one prefix, all of one address family.
        attributes: The attributes of all prefixes.
        as4: Whether AS numbers have four octets on the session.
        internal: Whether the peer has our AS number.
        max_size: Maximum size of a message in bytes.
    """
    uses_next_hop_attribute = prefixes[0].afi == Afi.IPV4 and len(attributes.next_hop) == 4
    encoded_attributes = path_attributes.encode(attributes, as4, internal, uses_next_hop_attribute)
    if uses_next_hop_attribute:
        for piece in pack_prefixes(prefixes, max_size - HEADER_SIZE - 4 - len(encoded_attributes)):
            yield frame(
                UPDATE,
                b"\0\0" + struct.pack("!H", len(encoded_attributes)) + encoded_attributes + piece,
            )
        return
    next_hop = attributes.next_hop
    reach_header = struct.pack("!HBB", prefixes[0].afi, UNICAST, len(next_hop)) + next_hop + b"\0"
    for piece in pack_prefixes(
        prefixes, max_size - HEADER_SIZE - 4 - len(encoded_attributes) - len(reach_header) - 4
    ):
        value = reach_header + piece
        reach = struct.pack("!BBH", OPTIONAL | EXTENDED_LENGTH, Type.MP_REACH, len(value)) + value
        yield frame(
            UPDATE,
            b"\0\0"
            + struct.pack("!H", len(reach) + len(encoded_attributes))
            + reach
            + encoded_attributes,
        )


def withdrawals(prefixes: list[Prefix], max_size: int = MAX_SIZE) -> Iterator[bytes]:
    """Yields the UPDATE messages of up to `max_size` bytes that withdraw prefixes.

    `prefixes` has at least one prefix, all of one address family.
    """
    if prefixes[0].afi == Afi.IPV4:
        for piece in pack_prefixes(prefixes, max_size - HEADER_SIZE - 4):
            yield frame(UPDATE, struct.pack("!H", len(piece)) + piece + b"\0\0")
        return
    # The MP_UNREACH_NLRI attribute has 7 bytes before its prefixes.
    for piece in pack_prefixes(prefixes, max_size - HEADER_SIZE - 4 - 7):
        value = struct.pack("!HB", prefixes[0].afi, UNICAST) + piece
        unreach = (
            struct.pack("!BBH", OPTIONAL | EXTENDED_LENGTH, Type.MP_UNREACH, len(value)) + value
        )
        yield frame(UPDATE, b"\0\0" + struct.pack("!H", len(unreach)) + unreach)
