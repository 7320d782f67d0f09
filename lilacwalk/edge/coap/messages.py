"""Encodes and decodes CoAP messages (RFC 7252 section 3).

Any input is decoded to a Message or raises a MessageError, which says whether it is rejected or
ignored.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

VERSION = 1
MAX_TOKEN_BYTES = 8
MAX_OPTIONS = 32  # requests of this service have at most ten; each option allocates an object


class Type(IntEnum):
    """Message types (RFC 7252 section 3)."""

    CON = 0
    NON = 1
    ACK = 2
    RST = 3


class Option(IntEnum):
    """Option numbers (RFC 7252 section 5.10, RFC 7641, 7959, 7967 and 9175).

    The device's token uses a critical option of the range for experiments.
    """

    URI_HOST = 3
    OBSERVE = 6
    URI_PORT = 7
    URI_PATH = 11
    CONTENT_FORMAT = 12
    MAX_AGE = 14
    URI_QUERY = 15
    ACCEPT = 17
    BLOCK2 = 23
    BLOCK1 = 27
    SIZE2 = 28
    SIZE1 = 60
    ECHO = 252
    NO_RESPONSE = 258
    REQUEST_TAG = 292
    DEVICE = 65_001


def code(code_class: int, detail: int) -> int:
    """Returns the code of a class and a detail."""
    return code_class << 5 | detail


def format_code(code_value: int) -> str:
    """Returns a code as class and detail, such as 4.04 (RFC 7252 section 3)."""
    return f"{code_value >> 5}.{code_value & 31:02d}"


# Codes of messages (RFC 7252 section 12.1, RFC 7959, 8132 and 8516).
EMPTY, POST, FETCH = 0, code(0, 2), code(0, 5)
CHANGED, CONTENT, CONTINUE = code(2, 4), code(2, 5), code(2, 31)
BAD_REQUEST, UNAUTHORIZED, BAD_OPTION, NOT_FOUND = code(4, 0), code(4, 1), code(4, 2), code(4, 4)
NOT_ALLOWED, INCOMPLETE, TOO_LARGE, TOO_MANY = code(4, 5), code(4, 8), code(4, 13), code(4, 29)
INTERNAL, UNAVAILABLE, TIMEOUT = code(5, 0), code(5, 3), code(5, 4)
# Options that may occur more than once in a message.
REPEATABLE = {Option.URI_PATH, Option.URI_QUERY, Option.ECHO, Option.REQUEST_TAG}
OPTION_LENGTHS = {  # minimum and maximum length of the value in bytes
    Option.URI_HOST: (1, 255),
    Option.OBSERVE: (0, 3),
    Option.URI_PORT: (0, 2),
    Option.URI_PATH: (0, 255),
    Option.CONTENT_FORMAT: (0, 2),
    Option.MAX_AGE: (0, 4),
    Option.URI_QUERY: (0, 255),
    Option.ACCEPT: (0, 2),
    Option.BLOCK2: (0, 3),
    Option.BLOCK1: (0, 3),
    Option.SIZE2: (0, 4),
    Option.SIZE1: (0, 4),
    Option.ECHO: (1, 40),
    Option.NO_RESPONSE: (0, 1),
    Option.REQUEST_TAG: (0, 8),
    Option.DEVICE: (1, 128),
}


class MessageError(Exception):
    """The input is not a valid message.

    `mid` is the id of a message to be rejected with RST, or None if the message is ignored (RFC
    7252 section 3).
    """

    def __init__(self, text: str, mid: int | None = None) -> None:
        super().__init__(text)
        self.mid = mid


@dataclass(frozen=True, slots=True)
class Message:
    """A CoAP message; `mid` is the message id."""

    type: Type
    code: int
    mid: int
    token: bytes = b""
    options: tuple[tuple[int, bytes], ...] = ()
    payload: bytes = b""

    def first(self, option: int) -> bytes | None:
        """Returns the value of the first option with this number, or None."""
        return next((value for number, value in self.options if number == option), None)

    def all(self, option: int) -> list[bytes]:
        """Returns the values of all options with this number."""
        return [value for number, value in self.options if number == option]

    def number(self, option: int, default: int) -> int:
        """Returns the integer value of the first option with this number, or the default."""
        value = self.first(option)
        return default if value is None else int.from_bytes(value, "big")

    @property
    def is_request(self) -> bool:
        """Whether the code is that of a request (class 0, not empty)."""
        return 0 < self.code < 32

    @property
    def is_response(self) -> bool:
        """Whether the code is that of a response (classes 2 to 5)."""
        return 64 <= self.code < 192


def uint(value: int) -> bytes:
    """Encodes an integer in as few bytes as possible (RFC 7252 section 3.2)."""
    return value.to_bytes((value.bit_length() + 7) // 8, "big")


def decode(data: bytes) -> Message:
    """Decodes a message.

    Raises:
        MessageError: The data is not a valid message.
    """
    if len(data) < 4 or data[0] >> 6 != VERSION:
        raise MessageError(
            f"message of {len(data)} bytes with header {data[:4].hex()}, expected at least 4 bytes "
            f"and CoAP version {VERSION}"
        )
    type_, token_length, code_value = Type(data[0] >> 4 & 3), data[0] & 15, data[1]
    mid = int.from_bytes(data[2:4], "big")
    # An invalid ACK or RST is ignored (RFC 7252 section 4.2).
    reject_mid = mid if type_ in (Type.CON, Type.NON) else None
    if token_length > MAX_TOKEN_BYTES or len(data) < 4 + token_length:
        raise MessageError(
            f"token of {token_length} bytes with {len(data) - 4} bytes left, expected at most "
            f"{MAX_TOKEN_BYTES} bytes and no truncation",
            reject_mid,
        )
    if code_value == EMPTY and (len(data) > 4 or token_length):
        raise MessageError(
            f"empty message of {len(data)} bytes with a token of {token_length} bytes, expected 4 "
            "bytes and no token",
            reject_mid,
        )
    if 32 <= code_value < 64 or 192 <= code_value < 224 or code_value >> 5 in (1, 6):
        raise MessageError(
            f"code {format_code(code_value)}, expected a class other than 1 and 6",
            reject_mid,
        )
    token, offset, number, options = data[4 : 4 + token_length], 4 + token_length, 0, []
    while offset < len(data) and data[offset] != 0xFF:
        delta, length = data[offset] >> 4, data[offset] & 15
        offset += 1
        delta, offset = decode_extended(data, offset, delta, reject_mid)
        length, offset = decode_extended(data, offset, length, reject_mid)
        number += delta
        if offset + length > len(data) or len(options) == MAX_OPTIONS:
            raise MessageError(
                f"option {number} of {length} bytes at byte {offset} of {len(data)} is truncated, "
                f"or there are more than {MAX_OPTIONS} options",
                reject_mid,
            )
        options.append((number, data[offset : offset + length]))
        offset += length
    payload = data[offset + 1 :]
    if offset < len(data) and not payload:
        raise MessageError(f"payload marker at byte {offset} without payload", reject_mid)
    return Message(type_, code_value, mid, token, tuple(options), payload)


def decode_extended(
    data: bytes, offset: int, value: int, reject_mid: int | None
) -> tuple[int, int]:
    """Decodes an option's delta or length with its extension (RFC 7252 section 3.1).

    `value` is the four-bit value, `offset` the position of the extension. Returns the decoded value
    and the offset after the extension.
    """
    if value < 13:
        return value, offset
    extension_length = value - 12
    if value == 15 or offset + extension_length > len(data):
        raise MessageError(
            f"option header with value {value} at byte {offset} of {len(data)}: value 15 is "
            "reserved, or the extension is truncated",
            reject_mid,
        )
    return int.from_bytes(data[offset : offset + extension_length], "big") + (
        13 if extension_length == 1 else 269
    ), offset + extension_length


def encode(message: Message) -> bytes:
    """Encodes a message."""
    parts = [
        struct.pack(
            "!BBH", VERSION << 6 | message.type << 4 | len(message.token), message.code, message.mid
        ),
        message.token,
    ]
    previous = 0
    for number, value in sorted(message.options, key=lambda each: each[0]):
        delta, delta_extension = encode_extended(number - previous)
        length, length_extension = encode_extended(len(value))
        parts += [bytes((delta << 4 | length,)), delta_extension, length_extension, value]
        previous = number
    if message.payload:
        parts += [b"\xff", message.payload]
    return b"".join(parts)


def encode_extended(value: int) -> tuple[int, bytes]:
    """Returns the four-bit value and the extension of an option's delta or length."""
    if value < 13:
        return value, b""
    return (13, bytes((value - 13,))) if value < 269 else (14, struct.pack("!H", value - 269))


def unknown_critical(message: Message) -> int | None:
    """Returns the number of the first unknown, malformed or wrongly repeated critical option.

    Returns None if there is none. Such an option makes a request invalid; elective options of this
    kind are ignored (RFC 7252 sections 5.4.1 to 5.4.5).
    """
    seen = set()
    for number, value in message.options:
        is_valid = (
            number in OPTION_LENGTHS
            and OPTION_LENGTHS[Option(number)][0] <= len(value) <= OPTION_LENGTHS[Option(number)][1]
        )
        # Critical options have odd numbers (RFC 7252 section 5.4.6).
        if number & 1 and (not is_valid or number in seen and number not in REPEATABLE):
            return number
        seen.add(number)
    return None
