"""Capabilities of an OPEN message (RFC 5492) and their negotiation."""

from __future__ import annotations

import struct
from dataclasses import dataclass, field

from lilacwalk.bgp.errors import BgpError, Code, OpenFault
from lilacwalk.bgp.prefixes import UNICAST, Afi

# Capability codes.
MULTIPROTOCOL, REFRESH, EXTENDED_MESSAGES, ROLE = 1, 2, 6, 9
GRACEFUL_RESTART, FOUR_OCTET_AS, ENHANCED_REFRESH = 64, 65, 70
RESTARTED, NOTIFICATION = 0x8, 0x4  # restart flags: RFC 4724 section 3, RFC 8538 section 2
FORWARDING = 0x80  # flag of an address family: forwarding state was preserved
ROLES = {"provider": 0, "rs": 1, "rs-client": 2, "customer": 3, "peer": 4}  # RFC 9234 section 4.1
COMPATIBLE_ROLES = {0: 3, 3: 0, 1: 2, 2: 1, 4: 4}  # role -> role that the other side must have


@dataclass(frozen=True, slots=True)
class GracefulRestart:
    """The graceful restart capability (RFC 4724 section 3)."""

    time: int  # restart time in seconds, 0 to 4095
    restarted: bool = False  # whether the sender of the capability has just restarted
    # RFC 8538: graceful restart also after a NOTIFICATION or hold timer expiry.
    notification: bool = False
    families: tuple[tuple[int, int, bool], ...] = ()  # (AFI, SAFI, forwarding state preserved)


@dataclass(frozen=True, slots=True)
class Capabilities:
    """The capabilities that one side advertises."""

    families: tuple[tuple[int, int], ...] = ()  # (AFI, SAFI)
    as4: int | None = None  # AS number of the four-octet AS number capability (RFC 6793)
    refresh: bool = False  # RFC 2918
    enhanced_refresh: bool = False  # RFC 7313
    extended: bool = False  # messages of up to 65,535 bytes (RFC 8654)
    role: int | None = None  # code of `ROLES`
    restart: GracefulRestart | None = None
    unknown: tuple[tuple[int, bytes], ...] = field(default=(), compare=False)  # (code, value)

    def encode(self) -> bytes:
        """Returns the value of the OPEN parameter that carries the capabilities."""
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
    """Parses the value of a capabilities parameter.

    Multiprotocol capabilities are collected. If another capability is repeated with different
    values, the last one applies (RFC 5492 section 4), except that different roles are an error. A
    known capability whose value has the wrong length is treated as unknown, as the session is still
    useful without it.

    Raises:
        BgpError: A length exceeds the data, the roles contradict each other, or the AS number is 0.
    """
    families: dict[tuple[int, int], None] = {}
    values: dict[str, object] = {}
    unknown, at = [], 0
    while at < len(data):
        if len(data) < at + 2 or len(data) < at + 2 + data[at + 1]:
            raise BgpError(
                Code.OPEN,
                OpenFault.OPTIONAL_PARAMETER,
                text=f"truncated capability at byte {at}: {len(data) - at} bytes left",
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
            if values.get("role", value[0]) != value[0]:  # RFC 9234 section 4.2
                raise BgpError(
                    Code.OPEN,
                    OpenFault.ROLE_MISMATCH,
                    text=f"contradicting roles {values['role']} and {value[0]}, expected one",
                )
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
                raise BgpError(
                    Code.OPEN, OpenFault.PEER_AS, text="reserved AS 0, expected 1 or higher"
                )
        else:
            unknown.append((code, value))
    return Capabilities(families=tuple(families), unknown=tuple(unknown), **values)  # type: ignore[arg-type]


@dataclass(frozen=True, slots=True)
class NegotiatedCapabilities:
    """The capabilities that both sides support, and what the peer alone has advertised."""

    families: tuple[int, ...] = (Afi.IPV4,)  # AFIs, unicast only
    as4: bool = False
    refresh: bool = False
    enhanced_refresh: bool = False
    extended: bool = False  # RFC 8654: we may send messages of up to 65,535 bytes
    role: int | None = None  # the peer's role
    restart: GracefulRestart | None = None  # the peer's; None if we do not support it

    @classmethod
    def between(
        cls, ours: Capabilities, theirs: Capabilities, our_role_strict: bool = False
    ) -> NegotiatedCapabilities:
        """Returns the result of the negotiation of our capabilities and the peer's.

        Raises:
            BgpError: The roles are incompatible, or the peer sent none although `our_role_strict`
                requires one (RFC 9234 section 4.2).
        """
        if ours.role is not None and (theirs.role is not None or our_role_strict):
            if theirs.role is None or COMPATIBLE_ROLES.get(theirs.role) != ours.role:
                raise BgpError(
                    Code.OPEN,
                    OpenFault.ROLE_MISMATCH,
                    text=f"peer's role {theirs.role}, expected {COMPATIBLE_ROLES.get(ours.role)} for our role {ours.role}",
                )
        # Without a multiprotocol capability, the peer supports only IPv4 unicast (RFC 4760 section
        # 8).
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
