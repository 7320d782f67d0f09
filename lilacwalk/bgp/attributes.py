"""Codec of path attributes (RFC 4271 section 4.3).

A malformed attribute is handled as RFC 7606 requires: the attribute is discarded, its routes are
treated as withdrawn, or the session is reset.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field
from enum import IntEnum

from lilacwalk.bgp.errors import BgpError, Code, UpdateFault

# Attribute flags.
OPTIONAL, TRANSITIVE, PARTIAL, EXTENDED_LENGTH = 0x80, 0x40, 0x20, 0x10
AS_TRANS = 23_456  # RFC 6793: replaces an AS number that does not fit in two octets
# Types of AS path segments (RFC 4271 section 4.3, RFC 5065 section 3).
SET, SEQUENCE, CONFED_SEQUENCE, CONFED_SET = 1, 2, 3, 4
GRACEFUL_SHUTDOWN = 0xFFFF0000  # community (RFC 8326)


class Type(IntEnum):
    """Type codes of path attributes."""

    ORIGIN = 1
    AS_PATH = 2
    NEXT_HOP = 3
    MED = 4
    LOCAL_PREF = 5
    ATOMIC_AGGREGATE = 6
    AGGREGATOR = 7
    COMMUNITIES = 8
    ORIGINATOR_ID = 9
    CLUSTER_LIST = 10
    MP_REACH = 14
    MP_UNREACH = 15
    EXTENDED_COMMUNITIES = 16
    AS4_PATH = 17
    AS4_AGGREGATOR = 18
    LARGE_COMMUNITIES = 32
    ONLY_TO_CUSTOMER = 35


WELL_KNOWN = TRANSITIVE  # flags of a well-known attribute
FLAGS = {  # required values of the optional and transitive flags of each attribute type
    Type.ORIGIN: WELL_KNOWN,
    Type.AS_PATH: WELL_KNOWN,
    Type.NEXT_HOP: WELL_KNOWN,
    Type.MED: OPTIONAL,
    Type.LOCAL_PREF: WELL_KNOWN,
    Type.ATOMIC_AGGREGATE: WELL_KNOWN,
    Type.AGGREGATOR: OPTIONAL | TRANSITIVE,
    Type.COMMUNITIES: OPTIONAL | TRANSITIVE,
    Type.ORIGINATOR_ID: OPTIONAL,
    Type.CLUSTER_LIST: OPTIONAL,
    Type.MP_REACH: OPTIONAL,
    Type.MP_UNREACH: OPTIONAL,
    Type.EXTENDED_COMMUNITIES: OPTIONAL | TRANSITIVE,
    Type.AS4_PATH: OPTIONAL | TRANSITIVE,
    Type.AS4_AGGREGATOR: OPTIONAL | TRANSITIVE,
    Type.LARGE_COMMUNITIES: OPTIONAL | TRANSITIVE,
    Type.ONLY_TO_CUSTOMER: OPTIONAL | TRANSITIVE,
}
# Types of attributes that are discarded if an external peer sends them (RFC 7606 section 7).
ONLY_INTERNAL = (
    Type.LOCAL_PREF,
    Type.ORIGINATOR_ID,
    Type.CLUSTER_LIST,
)

Path = tuple[tuple[int, tuple[int, ...]], ...]  # segments as (type, AS numbers)


class Severity(IntEnum):
    """How a malformed attribute is handled (RFC 7606 section 2), mildest first."""

    DISCARD = 1
    WITHDRAW = 2
    RESET = 3


@dataclass(frozen=True, slots=True)
class Fault:
    """The fault of a malformed attribute, for which the session is not reset."""

    severity: Severity
    kind: int  # type code of the attribute; 0 if its header is truncated
    text: str


@dataclass(frozen=True, slots=True)
class Attributes:
    """The path attributes of a route."""

    origin: int = 0  # 0 IGP, 1 EGP, 2 INCOMPLETE
    as_path: Path = ()
    next_hop: bytes = b""  # 4 or 16 bytes; for IPv6 the global address
    med: int | None = None
    local_pref: int | None = None
    atomic: bool = False  # whether ATOMIC_AGGREGATE is present
    aggregator: tuple[int, bytes] | None = None  # AS number and IPv4 address
    communities: tuple[int, ...] = ()
    large: tuple[tuple[int, int, int], ...] = ()  # large communities
    extended: bytes = b""  # encoded extended communities
    only_to_customer: int | None = None
    # Unrecognized transitive attributes as (flags, type, value).
    others: tuple[tuple[int, int, bytes], ...] = ()

    @property
    def path_length(self) -> int:
        """AS path length (RFC 4271 section 9.1.2.2): an AS_SET counts as one, confederation
        segments as zero (RFC 5065).
        """
        return as_path_length(self.as_path)

    @property
    def first_as(self) -> int | None:
        """The neighbouring AS; None if the path does not begin with an AS_SEQUENCE."""
        for kind, numbers in self.as_path:
            return numbers[0] if kind == SEQUENCE and numbers else None
        return None

    def in_path(self, number: int) -> bool:
        """Returns whether an AS number occurs in the AS path."""
        return any(number in numbers for _, numbers in self.as_path)


@dataclass(slots=True)
class ParsedAttributes:
    """The attributes of one UPDATE while it is parsed."""

    values: dict[str, object] = field(default_factory=dict)  # by field name of `Attributes`
    faults: list[Fault] = field(default_factory=list)
    # MP_REACH_NLRI: AFI, SAFI, next hop, encoded prefixes.
    reach: tuple[int, int, bytes, bytes] | None = None
    # MP_UNREACH_NLRI: AFI, SAFI, encoded prefixes.
    unreach: tuple[int, int, bytes] | None = None
    seen: set[int] = field(default_factory=set)  # type codes that occurred

    def fault(self, severity: Severity, kind: int, text: str) -> None:
        """Records a fault of the attribute with the type code `kind`."""
        self.faults.append(Fault(severity, kind, text))

    @property
    def severity(self) -> int:
        """The highest severity among the faults; 0 if there are none."""
        return max((each.severity for each in self.faults), default=0)


class MalformedAttributeError(Exception):
    """An attribute's value is malformed; `severity` says how the attribute is handled."""

    def __init__(self, text: str, severity: Severity = Severity.WITHDRAW) -> None:
        super().__init__(text)
        self.severity = severity


def parse_attributes(data: bytes, as4: bool, internal: bool) -> ParsedAttributes:
    """Parses all path attributes of one UPDATE.

    Args:
        data: The encoded attributes.
        as4: Whether AS numbers have four octets on this session (RFC 6793).
        internal: Whether the peer has our AS number.

    Raises:
        BgpError: The session must end: an unknown attribute is flagged as well-known, MP_REACH_NLRI
            or MP_UNREACH_NLRI occurs twice, or one of them cannot be parsed, so that the affected
            routes are unknown (RFC 7606 sections 3g and 5.3).
    """
    parsed, offset = ParsedAttributes(), 0
    while offset < len(data):
        flags = data[offset]
        header_size = 4 if flags & EXTENDED_LENGTH else 3
        if len(data) - offset < header_size:
            # Treat-as-withdraw, as RFC 7606 section 4 requires.
            parsed.fault(
                Severity.WITHDRAW,
                0,
                f"truncated attribute header: got {len(data) - offset} of {header_size} bytes",
            )
            break
        kind = data[offset + 1]
        size = int.from_bytes(data[offset + 2 : offset + header_size], "big")
        value = data[offset + header_size : offset + header_size + size]
        if len(value) < size:
            if kind in (Type.MP_REACH, Type.MP_UNREACH):
                raise BgpError(
                    Code.UPDATE,
                    UpdateFault.OPTIONAL,
                    data[offset:],
                    f"attribute {kind}: {len(value)} of {size} bytes left in the message",
                )
            parsed.fault(Severity.WITHDRAW, kind, f"truncated: got {len(value)} of {size} bytes")
            break
        raw = data[offset : offset + header_size + size]
        offset += header_size + size
        if kind in parsed.seen:
            if kind in (Type.MP_REACH, Type.MP_UNREACH):
                raise BgpError(
                    Code.UPDATE,
                    UpdateFault.ATTRIBUTE_LIST,
                    text=f"attribute {kind} occurs more than once, expected once",
                )
            parsed.fault(Severity.DISCARD, kind, "occurs more than once, expected once")
            continue
        parsed.seen.add(kind)
        parse_attribute(parsed, flags, kind, value, raw, as4, internal)
    if not as4:
        merge_four_octet_attributes(parsed)
    return parsed


def parse_attribute(
    parsed: ParsedAttributes,
    flags: int,
    kind: int,
    value: bytes,
    raw: bytes,
    as4: bool,
    internal: bool,
) -> None:
    """Checks the flags of one attribute and stores its value; a fault is recorded in `parsed`.

    Args:
        parsed: Receives the value or the fault.
        flags: The attribute flags.
        kind: The type code.
        value: The value without the attribute's header.
        raw: The whole attribute, to be returned in a NOTIFICATION.
        as4: Whether AS numbers have four octets on this session.
        internal: Whether the peer has our AS number.

    Raises:
        BgpError: The session must end; see `parse_attributes`.
    """
    expected = FLAGS.get(kind)  # type: ignore[call-overload]
    if expected is None:
        if not flags & OPTIONAL:
            raise BgpError(
                Code.UPDATE,
                UpdateFault.UNKNOWN_WELL_KNOWN,
                raw,
                f"unknown attribute {kind} with the well-known flag",
            )
        if flags & TRANSITIVE:
            others = parsed.values.get("others", ())
            parsed.values["others"] = (*others, (flags | PARTIAL, kind, value))  # type: ignore[misc]
        return
    if kind in ONLY_INTERNAL and not internal:
        parsed.fault(
            Severity.DISCARD,
            kind,
            "received from an external peer, expected from internal peers only",
        )
        return
    if flags & (OPTIONAL | TRANSITIVE) != expected:
        # MP_REACH_NLRI and MP_UNREACH_NLRI are parsed nevertheless, as their prefixes are needed to
        # treat the routes as withdrawn.
        if kind in (
            Type.MP_REACH,
            Type.MP_UNREACH,
        ):
            parsed.fault(
                Severity.WITHDRAW,
                kind,
                f"flags {flags:#04x}, expected optional and transitive bits {expected:#04x}",
            )
        else:
            parsed.fault(
                Severity.WITHDRAW,
                kind,
                f"flags {flags:#04x}, expected optional and transitive bits {expected:#04x}",
            )
            return
    try:
        PARSERS[kind](parsed, value, as4)
    except MalformedAttributeError as error:
        if error.severity is Severity.RESET:
            raise BgpError(Code.UPDATE, UpdateFault.OPTIONAL, raw, str(error)) from None
        parsed.fault(error.severity, kind, str(error))


def check_size(value: bytes, *sizes: int, severity: Severity = Severity.WITHDRAW) -> None:
    """Raises MalformedAttributeError unless the value has one of the sizes in bytes."""
    if len(value) not in sizes:
        raise MalformedAttributeError(
            f"{len(value)} bytes, expected {' or '.join(map(str, sizes))}", severity
        )


def parse_origin(parsed: ParsedAttributes, value: bytes, as4: bool) -> None:
    check_size(value, 1)
    if value[0] > 2:
        raise MalformedAttributeError(f"origin {value[0]}, expected 0 to 2")
    parsed.values["origin"] = value[0]


def parse_path(value: bytes, size: int) -> Path:
    """Parses an AS path whose AS numbers have `size` bytes.

    Raises:
        MalformedAttributeError: The path is malformed.
    """
    segments, offset = [], 0
    while offset < len(value):
        if len(value) < offset + 2:
            raise MalformedAttributeError(
                f"truncated AS path segment header: got {len(value) - offset} of 2 bytes"
            )
        kind, count = value[offset], value[offset + 1]
        end = offset + 2 + count * size
        if (
            kind not in (SET, SEQUENCE, CONFED_SEQUENCE, CONFED_SET)
            or not count
            or end > len(value)
        ):
            raise MalformedAttributeError(
                f"invalid AS path segment: type {kind} with {count} AS numbers of {size} bytes and "
                f"{len(value) - offset - 2} bytes left; expected type 1 to 4, at least 1 AS number, and "
                f"{count * size} bytes"
            )
        numbers = struct.unpack(f"!{count}{'I' if size == 4 else 'H'}", value[offset + 2 : end])
        if 0 in numbers:
            # AS 0 is reserved (RFC 7607 section 2).
            raise MalformedAttributeError("reserved AS 0 in the path, expected 1 or higher")
        segments.append((kind, numbers))
        offset = end
    return tuple(segments)


def parse_as_path(parsed: ParsedAttributes, value: bytes, as4: bool) -> None:
    parsed.values["as_path"] = parse_path(value, 4 if as4 else 2)


def parse_as4_path(parsed: ParsedAttributes, value: bytes, as4: bool) -> None:
    if as4:
        return  # ignored on a session with four-octet AS numbers (RFC 6793 section 4.1)
    try:
        parsed.values["as4_path"] = parse_path(value, 4)
    except MalformedAttributeError as error:
        raise MalformedAttributeError(str(error), Severity.DISCARD) from None  # RFC 6793 section 6


def parse_next_hop(parsed: ParsedAttributes, value: bytes, as4: bool) -> None:
    check_size(value, 4)
    parsed.values["next_hop"] = check_next_hop(value)


def check_next_hop(value: bytes) -> bytes:
    """Returns the next hop if it can be the address of a host.

    Raises:
        MalformedAttributeError: The next hop cannot be the address of a host; the route is
            unusable, but the session continues (RFC 4271 section 6.3).
    """
    if (
        not any(value)
        or len(value) == 4
        and (value[0] in (0, 255) or 224 <= value[0] < 240)
        or len(value) == 16
        and value[0] == 0xFF
    ):
        raise MalformedAttributeError(f"next hop {value.hex()}, expected a unicast host address")
    return value


def number_parser(name: str, kind: Type, severity: Severity = Severity.WITHDRAW):
    """Returns a parser that stores a four-octet integer as the field `name`."""

    def parser(parsed: ParsedAttributes, value: bytes, as4: bool) -> None:
        check_size(value, 4, severity=severity)
        parsed.values[name] = int.from_bytes(value, "big")

    return parser


def parse_atomic(parsed: ParsedAttributes, value: bytes, as4: bool) -> None:
    check_size(value, 0, severity=Severity.DISCARD)
    parsed.values["atomic"] = True


def parse_aggregator(parsed: ParsedAttributes, value: bytes, as4: bool) -> None:
    check_size(value, 8 if as4 else 6, severity=Severity.DISCARD)
    asn = int.from_bytes(value[:-4], "big")
    if not asn:
        # AS 0 is reserved (RFC 7607 section 2).
        raise MalformedAttributeError(
            "reserved AS 0 as aggregator, expected 1 or higher", Severity.DISCARD
        )
    parsed.values["aggregator"] = asn, value[-4:]


def parse_as4_aggregator(parsed: ParsedAttributes, value: bytes, as4: bool) -> None:
    if as4:
        return  # ignored on a session with four-octet AS numbers (RFC 6793 section 4.1)
    check_size(value, 8, severity=Severity.DISCARD)
    parsed.values["as4_aggregator"] = int.from_bytes(value[:4], "big"), value[4:]


def check_multiple(value: bytes, size: int) -> None:
    """Raises MalformedAttributeError unless the value has one or more items of `size` bytes."""
    if not value or len(value) % size:
        raise MalformedAttributeError(f"{len(value)} bytes, expected a positive multiple of {size}")


def parse_communities(parsed: ParsedAttributes, value: bytes, as4: bool) -> None:
    check_multiple(value, 4)
    parsed.values["communities"] = struct.unpack(f"!{len(value) // 4}I", value)


def parse_extended_communities(parsed: ParsedAttributes, value: bytes, as4: bool) -> None:
    check_multiple(value, 8)
    parsed.values["extended"] = value


def parse_large_communities(parsed: ParsedAttributes, value: bytes, as4: bool) -> None:
    check_multiple(value, 12)
    # Duplicates are removed (RFC 8092 section 3).
    parsed.values["large"] = tuple(dict.fromkeys(struct.iter_unpack("!III", value)))


def parse_only_to_customer(parsed: ParsedAttributes, value: bytes, as4: bool) -> None:
    check_size(value, 4)  # any other size means treat-as-withdraw (RFC 9234 section 5)
    parsed.values["only_to_customer"] = int.from_bytes(value, "big")


def parse_unused(parsed: ParsedAttributes, value: bytes, as4: bool) -> None:
    """Checks the size of ORIGINATOR_ID or CLUSTER_LIST and drops the value.

    Only route reflectors use these attributes of internal peers, and this speaker is not one.
    """
    check_multiple(value, 4)


def parse_mp_reach(parsed: ParsedAttributes, value: bytes, as4: bool) -> None:
    if len(value) < 5 or len(value) < 5 + value[3]:
        raise MalformedAttributeError(
            f"MP_REACH_NLRI of {len(value)} bytes, expected at least 5 and the next hop",
            Severity.RESET,
        )
    afi, safi, size = struct.unpack("!HBB", value[:4])
    next_hop, prefixes = value[4 : 4 + size], value[5 + size :]
    if afi == 2 and size not in (16, 32) or afi == 1 and size not in (4, 16, 32):
        # An invalid next hop length resets the session (RFC 7606 section 7.11).
        raise MalformedAttributeError(
            f"next hop of {size} bytes, expected 16 or 32 (IPv6), or 4, 16 or 32 (IPv4)",
            Severity.RESET,
        )
    parsed.reach = afi, safi, next_hop[:16], prefixes
    if afi == 2:
        check_next_hop(next_hop[:16])


def parse_mp_unreach(parsed: ParsedAttributes, value: bytes, as4: bool) -> None:
    if len(value) < 3:
        raise MalformedAttributeError(
            f"MP_UNREACH_NLRI of {len(value)} bytes, expected at least 3", Severity.RESET
        )
    parsed.unreach = *struct.unpack("!HB", value[:3]), value[3:]


PARSERS = {
    Type.ORIGIN: parse_origin,
    Type.AS_PATH: parse_as_path,
    Type.NEXT_HOP: parse_next_hop,
    Type.MED: number_parser("med", Type.MED),
    Type.LOCAL_PREF: number_parser("local_pref", Type.LOCAL_PREF),
    Type.ATOMIC_AGGREGATE: parse_atomic,
    Type.AGGREGATOR: parse_aggregator,
    Type.COMMUNITIES: parse_communities,
    Type.ORIGINATOR_ID: parse_unused,
    Type.CLUSTER_LIST: parse_unused,
    Type.MP_REACH: parse_mp_reach,
    Type.MP_UNREACH: parse_mp_unreach,
    Type.EXTENDED_COMMUNITIES: parse_extended_communities,
    Type.AS4_PATH: parse_as4_path,
    Type.AS4_AGGREGATOR: parse_as4_aggregator,
    Type.LARGE_COMMUNITIES: parse_large_communities,
    Type.ONLY_TO_CUSTOMER: parse_only_to_customer,
}


def merge_four_octet_attributes(parsed: ParsedAttributes) -> None:
    """Reconstructs the AS path and aggregator received from a peer without four-octet AS numbers
    (RFC 6793 section 4.2.3).

    Such a peer passes on AS4_PATH and AS4_AGGREGATOR, which speakers earlier on the path have
    added. AS4_AGGREGATOR replaces the aggregator, and AS4_PATH the part of the AS path in which
    AS_TRANS may have replaced other numbers.
    """
    as4_path, as_path = parsed.values.pop("as4_path", None), parsed.values.get("as_path")
    as4_aggregator = parsed.values.pop("as4_aggregator", None)
    aggregator = parsed.values.get("aggregator")
    if aggregator is not None and as4_aggregator is not None:
        if aggregator[0] != AS_TRANS:  # type: ignore[index]
            # A speaker without four-octet support aggregated last; the AS4 attributes are outdated.
            return
        parsed.values["aggregator"] = as4_aggregator
    if as4_path is None or as_path is None:
        return
    path_length, as4_length = as_path_length(as_path), as_path_length(as4_path)  # type: ignore[arg-type]
    if path_length < as4_length:
        return
    # AS4_PATH lacks the leading AS numbers, as speakers without four-octet support prepended them.
    missing, head = path_length - as4_length, []
    for kind, numbers in as_path:  # type: ignore[attr-defined]
        if missing <= 0:
            break
        part = numbers[:missing] if kind in (SEQUENCE, CONFED_SEQUENCE) else numbers
        head.append((kind, part))
        missing -= len(part) if kind == SEQUENCE else 1 if kind == SET else 0
    if head and as4_path and head[-1][0] == SEQUENCE == as4_path[0][0]:  # type: ignore[index]
        joined = (SEQUENCE, (*head.pop()[1], *as4_path[0][1]))  # type: ignore[index]
        as4_path = (joined, *as4_path[1:])  # type: ignore[index]
    parsed.values["as_path"] = (*head, *as4_path)  # type: ignore[misc]


def as_path_length(path: Path) -> int:
    """Returns the length of an AS path as defined at `Attributes.path_length`."""
    return sum(
        1 if kind == SET else len(numbers) for kind, numbers in path if kind in (SET, SEQUENCE)
    )


def encode_attribute(flags: int, kind: int, value: bytes) -> bytes:
    """Returns an attribute with its header, of extended length for a value above 255 bytes."""
    if len(value) > 255:
        return struct.pack("!BBH", flags | EXTENDED_LENGTH, kind, len(value)) + value
    return struct.pack("!BBB", flags, kind, len(value)) + value


def encode_path(path: Path, size: int) -> bytes:
    """Encodes an AS path with AS numbers of `size` bytes.

    An AS number that does not fit in two bytes is replaced by AS_TRANS.
    """
    max_numbers = 255  # the segment's count field is one octet
    pieces = []
    for kind, numbers in path:
        for offset in range(0, len(numbers), max_numbers):
            part = numbers[offset : offset + max_numbers]
            if size == 2:
                part = tuple(each if each < 65_536 else AS_TRANS for each in part)
            pieces.append(
                struct.pack(f"!BB{len(part)}{'I' if size == 4 else 'H'}", kind, len(part), *part)
            )
    return b"".join(pieces)


def encode(attributes: Attributes, as4: bool, internal: bool, with_next_hop: bool) -> bytes:
    """Encodes attributes in the order of their type codes (RFC 4271 appendix F.3), the unrecognized
    ones last.

    Args:
        attributes: The attributes.
        as4: Whether AS numbers have four octets on this session.
        internal: Whether the peer has our AS number, so that it receives LOCAL_PREF.
        with_next_hop: Whether to encode NEXT_HOP; False if MP_REACH_NLRI carries the next hop.
    """
    parts = [
        encode_attribute(WELL_KNOWN, Type.ORIGIN, bytes((attributes.origin,))),
        encode_attribute(
            WELL_KNOWN, Type.AS_PATH, encode_path(attributes.as_path, 4 if as4 else 2)
        ),
    ]
    if with_next_hop:
        parts.append(encode_attribute(WELL_KNOWN, Type.NEXT_HOP, attributes.next_hop))
    if attributes.med is not None:
        parts.append(encode_attribute(OPTIONAL, Type.MED, struct.pack("!I", attributes.med)))
    if internal and attributes.local_pref is not None:
        parts.append(
            encode_attribute(WELL_KNOWN, Type.LOCAL_PREF, struct.pack("!I", attributes.local_pref))
        )
    if attributes.atomic:
        parts.append(encode_attribute(WELL_KNOWN, Type.ATOMIC_AGGREGATE, b""))
    if attributes.aggregator is not None:
        asn, address = attributes.aggregator
        two_octet_asn = asn if asn < 65_536 else AS_TRANS
        value = struct.pack("!I", asn) if as4 else struct.pack("!H", two_octet_asn)
        parts.append(encode_attribute(OPTIONAL | TRANSITIVE, Type.AGGREGATOR, value + address))
    if attributes.communities:
        value = struct.pack(f"!{len(attributes.communities)}I", *attributes.communities)
        parts.append(encode_attribute(OPTIONAL | TRANSITIVE, Type.COMMUNITIES, value))
    if attributes.extended:
        parts.append(
            encode_attribute(OPTIONAL | TRANSITIVE, Type.EXTENDED_COMMUNITIES, attributes.extended)
        )
    has_four_octet_asn = any(each > 65_535 for _, numbers in attributes.as_path for each in numbers)
    if not as4 and has_four_octet_asn:
        parts.append(
            encode_attribute(
                OPTIONAL | TRANSITIVE, Type.AS4_PATH, encode_path(attributes.as_path, 4)
            )
        )
    if attributes.large:
        value = b"".join(struct.pack("!III", *each) for each in attributes.large)
        parts.append(encode_attribute(OPTIONAL | TRANSITIVE, Type.LARGE_COMMUNITIES, value))
    if attributes.only_to_customer is not None:
        parts.append(
            encode_attribute(
                OPTIONAL | TRANSITIVE,
                Type.ONLY_TO_CUSTOMER,
                struct.pack("!I", attributes.only_to_customer),
            )
        )
    parts += [
        encode_attribute(flags & ~EXTENDED_LENGTH, kind, value)
        for flags, kind, value in attributes.others
    ]
    return b"".join(parts)
