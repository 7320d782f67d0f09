"""Prefixes and addresses as integers (RFC 4271 section 4.3, RFC 4760 section 5)."""

from __future__ import annotations

import ipaddress
from enum import IntEnum
from typing import NamedTuple


class Afi(IntEnum):
    IPV4 = 1
    IPV6 = 2


UNICAST = 1
WIDTH = {Afi.IPV4: 32, Afi.IPV6: 128}


class Prefix(NamedTuple):
    """An address prefix.

    `bits` is the network address as an integer of the address family's full width, with all host
    bits zero.
    """

    afi: Afi
    bits: int
    length: int

    @classmethod
    def of(cls, text: str) -> Prefix:
        """Parses a prefix such as 192.0.2.0/24.

        Raises:
            ValueError: The text is not a prefix, or host bits are set.
        """
        network = ipaddress.ip_network(text)
        return cls(
            Afi.IPV4 if network.version == 4 else Afi.IPV6,
            int(network.network_address),
            network.prefixlen,
        )

    def __str__(self) -> str:
        make = ipaddress.IPv4Address if self.afi == Afi.IPV4 else ipaddress.IPv6Address
        return f"{make(self.bits)}/{self.length}"

    def covers(self, other: Prefix) -> bool:
        """Returns whether `other` equals this prefix or is a more specific prefix of it."""
        shift = WIDTH[self.afi] - self.length
        return (
            self.afi == other.afi
            and self.length <= other.length
            and self.bits >> shift == other.bits >> shift
        )


def address_bytes(text: str) -> bytes:
    """Returns the 4 or 16 bytes of an address.

    Raises:
        ValueError: The text is not an IP address.
    """
    return ipaddress.ip_address(text).packed


def address_text(raw: bytes) -> str:
    """Returns the textual form of an address of 4 or 16 bytes."""
    return str(ipaddress.ip_address(raw))


def encode(prefix: Prefix) -> bytes:
    """Encodes one prefix as NLRI."""
    size = (prefix.length + 7) // 8
    return bytes((prefix.length,)) + prefix.bits.to_bytes(WIDTH[prefix.afi] // 8, "big")[:size]


def decode(data: bytes | memoryview, afi: Afi) -> list[Prefix]:
    """Decodes the prefixes of an NLRI field.

    Bits beyond a prefix's length have no meaning (RFC 4271 section 4.3) and are cleared, so that
    equal prefixes compare equal.

    Raises:
        ValueError: A length exceeds the family's width, or a prefix runs past the end.
    """
    width, at, end = WIDTH[afi], 0, len(data)
    whole, found = width // 8, []
    while at < end:
        length = data[at]
        size = (length + 7) // 8
        if length > width:
            raise ValueError(f"prefix length {length}, expected 0 to {width}")
        if at + 1 + size > end:
            raise ValueError(
                f"prefix of length {length} truncated: got {end - at - 1} of {size} bytes"
            )
        shift = width - length
        bits = (
            int.from_bytes(data[at + 1 : at + 1 + size], "big")
            << 8 * (whole - size)
            >> shift
            << shift
        )
        found.append(Prefix(afi, bits, length))
        at += 1 + size
    return found
