"""Converts single words of the operator's file to values, by the unit of a record's field.

Each converter raises `InvalidWordError`, which gives the expected form, if the word has another
form.
"""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Callable

from lilacwalk.bgp.prefixes import Prefix
from lilacwalk.operator.errors import InvalidWordError

TENTHS_OF_MS_BY_UNIT = {"ms": 10, "s": 10_000, "m": 600_000, "h": 36_000_000}
BYTES_BY_UNIT = {"B": 1, "KB": 1_000, "MB": 1_000_000, "GB": 1_000_000_000}
NUMBER_AND_UNIT = re.compile(r"(\d{1,12}(?:\.\d{1,6})?)([A-Za-z]*)", re.ASCII)
MAX_16_BIT = 65_535
# RFC 8326 (graceful-shutdown), RFC 1997 (no-export, no-advertise, no-export-subconfed) and
# RFC 7999 (blackhole)
WELL_KNOWN_COMMUNITIES = {
    "graceful-shutdown": 0xFFFF0000,
    "no-export": 0xFFFFFF01,
    "no-advertise": 0xFFFFFF02,
    "no-export-subconfed": 0xFFFFFF03,
    "blackhole": 0xFFFF029A,
}


def _parse_quantity(word: str, units: dict[str, int], example: str) -> int:
    match = NUMBER_AND_UNIT.fullmatch(word)
    if match is None or match[2] not in units:
        names = ", ".join(units)
        raise InvalidWordError(expected=f"a number with a unit ({names}), such as {example}")
    value = float(match[1]) * units[match[2]]
    if value != int(value):
        is_time = units is TENTHS_OF_MS_BY_UNIT
        raise InvalidWordError(
            expected="a multiple of 0.1 ms" if is_time else "a whole number of bytes"
        )
    return int(value)


def parse_duration(word: str) -> int:
    """Returns a time such as 200ms in tenths of a millisecond."""
    return _parse_quantity(word, TENTHS_OF_MS_BY_UNIT, "200ms")


def parse_size(word: str) -> int:
    """Returns a size such as 64KB in bytes."""
    return _parse_quantity(word, BYTES_BY_UNIT, "64KB")


def parse_flag(word: str) -> bool:
    """Returns True for yes and False for no."""
    if word not in ("yes", "no"):
        raise InvalidWordError(expected="yes or no")
    return word == "yes"


def parse_integer(word: str) -> int:
    """Returns a nonnegative integer of at most 18 digits."""
    if not (word.isascii() and word.isdigit()) or len(word) > 18:
        raise InvalidWordError(expected="a whole number of at most 18 digits")
    return int(word)


def parse_number(word: str) -> float:
    """Returns a nonnegative decimal number without a unit."""
    match = NUMBER_AND_UNIT.fullmatch(word)
    if match is None or match[2]:
        raise InvalidWordError(expected="a number, such as 0.25")
    return float(match[1])


def parse_address(word: str) -> str:
    """Returns an IPv4 or IPv6 address in canonical form."""
    try:
        return str(ipaddress.ip_address(word))
    except ValueError:
        raise InvalidWordError(expected="an IP address, such as 192.0.2.1 or 2001:db8::1") from None


def parse_ipv4(word: str) -> str:
    """Returns an IPv4 address other than 0.0.0.0 in canonical form."""
    try:
        parsed = ipaddress.IPv4Address(word)
    except ValueError:
        raise InvalidWordError(expected="an IPv4 address, such as 192.0.2.1") from None
    if not int(parsed):
        raise InvalidWordError(expected="an IPv4 address other than 0.0.0.0")
    return str(parsed)


def parse_prefix(word: str) -> Prefix:
    """Returns an IPv4 or IPv6 prefix; no host bits may be set."""
    try:
        return Prefix.of(word)
    except ValueError as error:
        if "host bits" in str(error):
            expected = "no host bits set after the prefix length"
        else:
            expected = "a prefix, such as 192.0.2.10/32 or 2001:db8::10/128"
        raise InvalidWordError(expected) from error


def parse_endpoint(word: str) -> tuple[str, int]:
    """Returns the address and the port of host:port; host names are not resolved."""
    host, separator, port = word.rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    try:
        address = str(ipaddress.ip_address(host))
        port_number = int(port) if port.isdecimal() else None
    except ValueError:
        port_number = None
    if not separator or port_number is None or port_number > MAX_16_BIT:
        raise InvalidWordError(
            expected="an address and a port, such as 192.0.2.1:179 or [2001:db8::1]:179"
        )
    return address, port_number


def parse_community(word: str) -> int:
    """Returns a BGP community as one number.

    A community of RFC 1997 is written as 65010:1 or as a well-known name. A large community of
    RFC 8092 is written as 65010:1:2; its number has bit 96 set, which distinguishes it from a
    community of RFC 1997.
    """
    if word in WELL_KNOWN_COMMUNITIES:
        return WELL_KNOWN_COMMUNITIES[word]
    parts = word.split(":")
    numbers = [int(part) for part in parts if part.isascii() and part.isdigit() and len(part) < 11]
    if len(numbers) == len(parts) == 2 and max(numbers) <= MAX_16_BIT:
        return numbers[0] << 16 | numbers[1]
    if len(numbers) == len(parts) == 3 and max(numbers) < 1 << 32:
        return 1 << 96 | numbers[0] << 64 | numbers[1] << 32 | numbers[2]
    raise InvalidWordError(
        expected=f"a community, such as 65010:1, 65010:1:2 or {', '.join(WELL_KNOWN_COMMUNITIES)}"
    )


CONVERTERS_BY_UNIT: dict[str, Callable[[str], object]] = {
    "duration": parse_duration,
    "size": parse_size,
    "address": parse_address,
    "ipv4": parse_ipv4,
    "prefix": parse_prefix,
    "endpoint": parse_endpoint,
    "community": parse_community,
}
