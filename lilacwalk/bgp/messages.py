"""Messages: bytes to records and back (RFC 4271 section 4, 2918, 4760, 6793, 7313, 8654, 9072). Total over
any bytes: a record, or a BgpError with the code and subcode that the RFC names for the fault."""

from __future__ import annotations

import ipaddress
import struct
from collections.abc import Iterator
from dataclasses import dataclass

from lilacwalk.bgp import attributes as path_attributes
from lilacwalk.bgp import capabilities as capability_codec
from lilacwalk.bgp import prefixes as prefix_codec
from lilacwalk.bgp.attributes import LONG, OPTIONAL, Attributes, Fault, Severity, Type, pack
from lilacwalk.bgp.capabilities import Capabilities, NegotiatedCapabilities
from lilacwalk.bgp.errors import BgpError, Code, Header, OpenFault, UpdateFault
from lilacwalk.bgp.prefixes import UNICAST, Afi, Prefix

MARKER = b"\xff" * 16
HEAD, MAX_SIZE, MAX_EXTENDED_SIZE = 19, 4_096, 65_535
OPEN, UPDATE, NOTIFICATION, KEEPALIVE, REFRESH = 1, 2, 3, 4, 5
LEAST = {OPEN: 29, UPDATE: 23, NOTIFICATION: 21, KEEPALIVE: 19, REFRESH: 23}
CAPABILITIES, LONG_PARAMETERS = 2, 255  # optional parameters: RFC 5492, RFC 9072
VERSION = 4


@dataclass(frozen=True, slots=True)
class Open:
    asn: int
    hold: int  # seconds
    router_id: str
    capabilities: Capabilities = Capabilities()


@dataclass(frozen=True, slots=True)
class Update:
    withdrawn: tuple[Prefix, ...] = ()
    reachable: tuple[
        tuple[Attributes, tuple[Prefix, ...]], ...
    ] = ()  # at most one for each way to state them
    end_of_rib: int | None = None  # the family (RFC 4724 section 2)
    faults: tuple[Fault, ...] = ()  # those that RFC 7606 lets the session live through

    @property
    def announced(self) -> tuple[Prefix, ...]:
        return tuple(prefix for _, prefixes in self.reachable for prefix in prefixes)


@dataclass(frozen=True, slots=True)
class Notification:
    code: int
    subcode: int
    data: bytes = b""

    @property
    def text(self) -> str:
        """The operator's words of a shutdown or reset (RFC 8203 and 9003), safe for a log."""
        if self.code == Code.CEASE and self.subcode in (2, 4) and self.data:
            raw = self.data[1 : 1 + self.data[0]]
            return "".join(
                char if char.isprintable() else "." for char in raw.decode("utf-8", "replace")
            )
        return ""


@dataclass(frozen=True, slots=True)
class Keepalive:
    pass


@dataclass(frozen=True, slots=True)
class Refresh:
    afi: int
    safi: int
    kind: int = 0  # 0 request, 1 beginning, 2 end of a refresh (RFC 7313)


Message = Open | Update | Notification | Keepalive | Refresh


class Stream:
    """Chunks as they were read, cut anywhere, to whole messages. Holds one message at most, as long as `most`
    allows; raises BgpError on what can be no header, and is of no use after that."""

    __slots__ = ("rest", "most")

    def __init__(self, most: int = MAX_SIZE) -> None:
        self.rest, self.most = b"", most

    def feed(self, chunk: bytes) -> Iterator[tuple[int, bytes]]:
        """(type, body) each."""
        data, at = self.rest + chunk if self.rest else chunk, 0
        try:
            while len(data) - at >= HEAD:
                size, kind = int.from_bytes(data[at + 16 : at + 18], "big"), data[at + 18]
                if data[at : at + 16] != MARKER:
                    raise BgpError(Code.HEADER, Header.NOT_SYNCHRONIZED)
                if (
                    not HEAD <= size <= self.most
                    or kind in LEAST
                    and size < LEAST[kind]
                    or kind == KEEPALIVE
                    and size != HEAD
                    or kind == OPEN
                    and size > MAX_SIZE
                ):
                    raise BgpError(
                        Code.HEADER, Header.BAD_LENGTH, data[at + 16 : at + 18], f"length {size}"
                    )
                if kind not in LEAST:
                    raise BgpError(Code.HEADER, Header.BAD_TYPE, bytes((kind,)), f"type {kind}")
                if len(data) - at < size:
                    break
                body = data[at + HEAD : at + size]
                at += size
                yield kind, body
        finally:
            self.rest = data[at:]


def frame(kind: int, body: bytes) -> bytes:
    return MARKER + struct.pack("!HB", HEAD + len(body), kind) + body


def decode(
    kind: int,
    body: bytes,
    agreed: NegotiatedCapabilities = NegotiatedCapabilities(),
    internal: bool = False,
) -> Message:
    """One message of a known type; `agreed` and `internal` say how an UPDATE is to be read. Raises
    BgpError."""
    if kind == OPEN:
        return decode_open(body)
    if kind == UPDATE:
        return decode_update(body, agreed, internal)
    if kind == NOTIFICATION:
        if len(body) < 2:  # also where no stream counted its bytes first
            raise BgpError(Code.HEADER, Header.BAD_LENGTH, struct.pack("!H", HEAD + len(body)))
        return Notification(body[0], body[1], body[2:])
    if kind == KEEPALIVE:
        return Keepalive()
    if kind == REFRESH:
        if len(body) != 4:
            raise BgpError(
                Code.ROUTE_REFRESH, 1, frame(REFRESH, body), "a refresh of another length"
            )
        afi, subtype, safi = struct.unpack("!HBB", body)
        return Refresh(afi, safi, subtype)
    raise BgpError(Code.HEADER, Header.BAD_TYPE, bytes((kind & 0xFF,)))


def decode_open(body: bytes) -> Open:
    if len(body) < 10:
        raise BgpError(Code.HEADER, Header.BAD_LENGTH, struct.pack("!H", HEAD + len(body)))
    version, asn, hold, ident, size = struct.unpack("!BHHIB", body[:10])
    if version != VERSION:
        raise BgpError(
            Code.OPEN, OpenFault.VERSION, struct.pack("!H", VERSION), f"version {version}"
        )
    parameters, head = body[10:], 2
    if size == LONG_PARAMETERS and parameters[:1] == b"\xff":  # RFC 9072: lengths of two octets
        if len(parameters) < 3:
            raise BgpError(Code.OPEN, 0, text="parameters without their length")
        size, parameters, head = int.from_bytes(parameters[1:3], "big"), parameters[3:], 3
    if size != len(parameters):
        raise BgpError(
            Code.OPEN, 0, text=f"{len(parameters)} bytes of parameters, said to be {size}"
        )
    stated, at = b"", 0
    while at < len(parameters):
        length = int.from_bytes(parameters[at + 1 : at + head], "big")
        value = parameters[at + head : at + head + length]
        if len(parameters) < at + head or len(value) < length:
            raise BgpError(Code.OPEN, 0, text="a parameter runs past the end")
        if parameters[at] != CAPABILITIES:
            raise BgpError(
                Code.OPEN, OpenFault.OPTIONAL_PARAMETER, text=f"parameter {parameters[at]}"
            )
        stated += value
        at += head + length
    capabilities = capability_codec.decoded(stated)
    if not asn:
        raise BgpError(Code.OPEN, OpenFault.PEER_AS, text="AS 0")
    if hold in (1, 2):
        raise BgpError(Code.OPEN, OpenFault.HOLD_TIME, text=f"{hold} s")
    if not ident:
        raise BgpError(Code.OPEN, OpenFault.ROUTER_ID, text="0.0.0.0")
    return Open(
        asn if capabilities.as4 is None else capabilities.as4,
        hold,
        str(ipaddress.IPv4Address(ident)),
        capabilities,
    )


def decode_update(body: bytes, agreed: NegotiatedCapabilities, internal: bool) -> Update:
    if len(body) < 4:
        raise BgpError(Code.HEADER, Header.BAD_LENGTH, struct.pack("!H", HEAD + len(body)))
    gone = int.from_bytes(body[:2], "big")
    if len(body) < gone + 4:
        raise BgpError(
            Code.UPDATE, UpdateFault.ATTRIBUTE_LIST, text="withdrawn routes run past the end"
        )
    size = int.from_bytes(body[2 + gone : 4 + gone], "big")
    if len(body) < 4 + gone + size:
        raise BgpError(Code.UPDATE, UpdateFault.ATTRIBUTE_LIST, text="attributes run past the end")
    if len(body) == 4:
        return Update(end_of_rib=Afi.IPV4)
    withdrawn = prefixes_of(body[2 : 2 + gone], Afi.IPV4)
    raw, announced = (
        body[4 + gone : 4 + gone + size],
        prefixes_of(body[4 + gone + size :], Afi.IPV4),
    )
    found = path_attributes.read(raw, agreed.as4, internal)
    if found.unreach is not None:
        afi, safi, rows = found.unreach
        if safi == UNICAST and afi in (Afi.IPV4, Afi.IPV6):
            if not rows and found.seen == {Type.MP_UNREACH} and not withdrawn and not announced:
                return Update(end_of_rib=afi, faults=tuple(found.faults))
            if afi in agreed.families:  # what was not agreed on is passed over (RFC 4760 section 7)
                withdrawn += prefixes_of(rows, Afi(afi))
    reached: list[Prefix] = []
    if found.reach is not None:
        afi, safi, hop, rows = found.reach
        if safi == UNICAST and afi in agreed.families:
            reached = prefixes_of(rows, Afi(afi))
    if announced or reached:
        missing(found, bool(announced), internal)
    if found.severity >= Severity.WITHDRAW:
        if not (announced or reached) and (withdrawn or found.seen - {Type.MP_UNREACH}):
            # RFC 7606 section 5.2: nobody knows what was meant to be withdrawn
            worst = max(found.faults, key=lambda each: each.severity)
            raise BgpError(
                Code.UPDATE,
                UpdateFault.ATTRIBUTE_LIST,
                text=f"attribute {worst.kind}: {worst.text}, and no route it was meant for",
            )
        return Update(
            tuple(dict.fromkeys([*withdrawn, *announced, *reached])), faults=tuple(found.faults)
        )
    groups = []
    if announced:
        groups.append((Attributes(**found.values), tuple(announced)))  # type: ignore[arg-type]
    if reached:
        values = found.values | {"next_hop": hop}
        groups.append((Attributes(**values), tuple(reached)))  # type: ignore[arg-type]
    if (
        withdrawn and groups
    ):  # who withdraws and announces a prefix at once announces it (RFC 4271 4.3)
        both = {*announced, *reached}
        withdrawn = [each for each in withdrawn if each not in both]
    return Update(tuple(withdrawn), tuple(groups), faults=tuple(found.faults))


def missing(found: path_attributes.Read, plain: bool, internal: bool) -> None:
    """RFC 7606 section 3d: a route without one of these cannot be used."""
    needed = [Type.ORIGIN, Type.AS_PATH]
    if plain:
        needed.append(Type.NEXT_HOP)
    if internal:
        needed.append(Type.LOCAL_PREF)
    for kind in needed:
        if kind not in found.seen:
            found.fault(Severity.WITHDRAW, kind, "is missing")


def prefixes_of(data: bytes, afi: Afi) -> list[Prefix]:
    try:
        return prefix_codec.decode(data, afi)
    except ValueError as error:
        raise BgpError(Code.UPDATE, UpdateFault.NETWORK, text=str(error)) from None


def encode(message: Message) -> bytes:
    if isinstance(message, Open):
        return encode_open(message)
    if isinstance(message, Notification):
        return frame(NOTIFICATION, bytes((message.code, message.subcode)) + message.data)
    if isinstance(message, Refresh):
        return frame(REFRESH, struct.pack("!HBB", message.afi, message.kind, message.safi))
    if isinstance(message, Keepalive):
        return frame(KEEPALIVE, b"")
    raise TypeError("an UPDATE is encoded by `announcements`, `withdrawals` or `end_of_rib`")


def encode_open(message: Open) -> bytes:
    stated = message.capabilities.encoded()
    parameters = bytes((CAPABILITIES, len(stated))) + stated if stated else b""
    narrow = message.asn if message.asn < 65_536 else path_attributes.AS_TRANS
    ident = int(ipaddress.IPv4Address(message.router_id))
    head = struct.pack("!BHHIB", VERSION, narrow, message.hold, ident, len(parameters))
    return frame(OPEN, head + parameters)


def shutdown_data(text: str) -> bytes:
    """RFC 9003: 255 bytes at most, cut between characters."""
    raw = text.encode()[:255].decode("utf-8", "ignore").encode()
    return bytes((len(raw),)) + raw if raw else b""


def end_of_rib(afi: int) -> bytes:
    if afi == Afi.IPV4:
        return frame(UPDATE, b"\0\0\0\0")
    unreach = pack(OPTIONAL, Type.MP_UNREACH, struct.pack("!HB", afi, UNICAST))
    return frame(UPDATE, b"\0\0" + struct.pack("!H", len(unreach)) + unreach)


def packed(prefixes: list[Prefix], room: int) -> Iterator[bytes]:
    """As many prefixes in each piece as fit."""
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
    prefixes: list[Prefix], attributes: Attributes, as4: bool, internal: bool, most: int = MAX_SIZE
) -> Iterator[bytes]:
    """UPDATEs for prefixes of one family that share their attributes, as few as fit."""
    plain = prefixes[0].afi == Afi.IPV4 and len(attributes.next_hop) == 4
    shared = path_attributes.encode(attributes, as4, internal, plain)
    if plain:
        for piece in packed(prefixes, most - HEAD - 4 - len(shared)):
            yield frame(UPDATE, b"\0\0" + struct.pack("!H", len(shared)) + shared + piece)
        return
    hop = attributes.next_hop
    head = struct.pack("!HBB", prefixes[0].afi, UNICAST, len(hop)) + hop + b"\0"
    for piece in packed(prefixes, most - HEAD - 4 - len(shared) - len(head) - 4):
        value = head + piece
        reach = struct.pack("!BBH", OPTIONAL | LONG, Type.MP_REACH, len(value)) + value
        yield frame(UPDATE, b"\0\0" + struct.pack("!H", len(reach) + len(shared)) + reach + shared)


def withdrawals(prefixes: list[Prefix], most: int = MAX_SIZE) -> Iterator[bytes]:
    """UPDATEs that withdraw prefixes of one family."""
    if prefixes[0].afi == Afi.IPV4:
        for piece in packed(prefixes, most - HEAD - 4):
            yield frame(UPDATE, struct.pack("!H", len(piece)) + piece + b"\0\0")
        return
    for piece in packed(prefixes, most - HEAD - 4 - 7):
        value = struct.pack("!HB", prefixes[0].afi, UNICAST) + piece
        unreach = struct.pack("!BBH", OPTIONAL | LONG, Type.MP_UNREACH, len(value)) + value
        yield frame(UPDATE, b"\0\0" + struct.pack("!H", len(unreach)) + unreach)
