"""Capabilities of an OPEN (RFC 5492): what each side can do, and what both can."""

from __future__ import annotations

import struct
from dataclasses import dataclass, field

from lilacwalk.bgp.errors import BgpError, Code, OpenFault
from lilacwalk.bgp.prefixes import UNICAST, Afi

MULTIPROTOCOL, REFRESH, EXTENDED_MESSAGES, ROLE = 1, 2, 6, 9
GRACEFUL_RESTART, FOUR_OCTET_AS, ENHANCED_REFRESH = 64, 65, 70
RESTARTED, NOTIFICATION = 0x8, 0x4  # restart flags: RFC 4724 section 3, RFC 8538 section 2
FORWARDING = 0x80  # of a family: its routes are still in use there
ROLES = {"provider": 0, "rs": 1, "rs-client": 2, "customer": 3, "peer": 4}  # RFC 9234 section 4.1
COMPATIBLE_ROLES = {0: 3, 3: 0, 1: 2, 2: 1, 4: 4}  # which role the other side must have


@dataclass(frozen=True, slots=True)
class GracefulRestart:
    time: int  # seconds, 0 to 4095
    restarted: bool = False
    notification: bool = False  # RFC 8538: also through NOTIFICATION and hold timer
    families: tuple[tuple[int, int, bool], ...] = ()  # afi, safi, still forwarding


@dataclass(frozen=True, slots=True)
class Capabilities:
    families: tuple[tuple[int, int], ...] = ()
    as4: int | None = None
    refresh: bool = False
    enhanced_refresh: bool = False
    extended: bool = False
    role: int | None = None
    restart: GracefulRestart | None = None
    unknown: tuple[tuple[int, bytes], ...] = field(default=(), compare=False)

    def encode(self) -> bytes:
        parts = [(MULTIPROTOCOL, struct.pack("!HBB", afi, 0, safi)) for afi, safi in self.families]
        if self.refresh:
            parts.append((REFRESH, b""))
        if self.enhanced_refresh:
            parts.append((ENHANCED_REFRESH, b""))
        if self.extended:
            parts.append((EXTENDED_MESSAGES, b""))
        if self.role is not None:
            parts.append((ROLE, bytes((self.role,))))
        if self.restart is not None:
            restart = self.restart
            flags = RESTARTED * restart.restarted | NOTIFICATION * restart.notification
            parts.append(
                (
                    GRACEFUL_RESTART,
                    struct.pack("!H", flags << 12 | restart.time)
                    + b"".join(
                        struct.pack("!HBB", afi, safi, FORWARDING * forwarding)
                        for afi, safi, forwarding in restart.families
                    ),
                )
            )
        if self.as4 is not None:
            parts.append((FOUR_OCTET_AS, struct.pack("!I", self.as4)))
        return b"".join(bytes((code, len(value))) + value for code, value in parts)


def decode(data: bytes) -> Capabilities:
    """One capability stated twice counts once, the last for those of one value (RFC 5492 section 4). Raises
    BgpError for lengths that lie; a known capability whose value has another length than its RFC says is
    passed over as one not understood, as a session without it is still of use."""
    families: dict[tuple[int, int], None] = {}
    values: dict[str, object] = {}
    unknown, at = [], 0
    while at < len(data):
        if len(data) < at + 2 or len(data) < at + 2 + data[at + 1]:
            raise BgpError(
                Code.OPEN, OpenFault.OPTIONAL_PARAMETER, text="a capability runs past its end"
            )
        code, value = data[at], data[at + 2 : at + 2 + data[at + 1]]
        at += 2 + len(value)
        if code == MULTIPROTOCOL and len(value) == 4:
            families[struct.unpack("!HxB", value)] = None
        elif code == REFRESH and not value:
            values["refresh"] = True
        elif code == ENHANCED_REFRESH and not value:
            values["enhanced_refresh"] = True
        elif code == EXTENDED_MESSAGES and not value:
            values["extended"] = True
        elif code == ROLE and len(value) == 1:
            if (
                values.get("role", value[0]) != value[0]
            ):  # RFC 9234 section 4.2: several that differ
                raise BgpError(Code.OPEN, OpenFault.ROLE_MISMATCH, text="two roles")
            values["role"] = value[0]
        elif code == GRACEFUL_RESTART and len(value) >= 2 and len(value) % 4 == 2:
            flags, rows = value[0] >> 4, struct.iter_unpack("!HBB", value[2:])
            values["restart"] = GracefulRestart(
                int.from_bytes(value[:2], "big") & 0xFFF,
                bool(flags & RESTARTED),
                bool(flags & NOTIFICATION),
                tuple((afi, safi, bool(forwarding & FORWARDING)) for afi, safi, forwarding in rows),
            )
        elif code == FOUR_OCTET_AS and len(value) == 4:
            values["as4"] = int.from_bytes(value, "big")
            if not values["as4"]:  # RFC 7607 section 2
                raise BgpError(Code.OPEN, OpenFault.PEER_AS, text="AS 0")
        else:
            unknown.append((code, value))
    return Capabilities(families=tuple(families), unknown=tuple(unknown), **values)  # type: ignore[arg-type]


@dataclass(frozen=True, slots=True)
class NegotiatedCapabilities:
    """What a session may use: what both sides can do, and what only one need say."""

    families: tuple[int, ...] = (Afi.IPV4,)
    as4: bool = False
    refresh: bool = False
    enhanced_refresh: bool = False
    extended: bool = False  # we may send long messages
    role: int | None = None  # the peer's
    restart: GracefulRestart | None = None  # the peer's

    @classmethod
    def between(
        cls, ours: Capabilities, theirs: Capabilities, our_role_strict: bool = False
    ) -> NegotiatedCapabilities:
        """Raises BgpError where roles do not fit, or ours is strict and theirs is not told (RFC 9234 4.2)."""
        if ours.role is not None and (theirs.role is not None or our_role_strict):
            if theirs.role is None or COMPATIBLE_ROLES.get(theirs.role) != ours.role:
                raise BgpError(Code.OPEN, OpenFault.ROLE_MISMATCH, text=f"role {theirs.role}")
        # who states no family at all means IPv4 unicast (RFC 4760 section 8)
        peer_families = (
            [afi for afi, safi in theirs.families if safi == UNICAST]
            if theirs.families
            else [Afi.IPV4]
        )
        return cls(
            families=tuple(
                afi for afi, safi in ours.families if safi == UNICAST and afi in peer_families
            ),
            as4=ours.as4 is not None and theirs.as4 is not None,
            refresh=ours.refresh and theirs.refresh,
            enhanced_refresh=ours.enhanced_refresh and theirs.enhanced_refresh,
            extended=ours.extended and theirs.extended,
            role=theirs.role,
            restart=theirs.restart if ours.restart is not None else None,
        )
