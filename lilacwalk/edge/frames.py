"""Frames of the device link: a length of four bytes and a CBOR array (RFC 8949).

`docs/specs/device-link.md` specifies them. Any input is decoded to a record or raises a FrameError.
The structure of a frame is checked before the CBOR library builds objects from it, so that depth,
number of items and lengths are bounded.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass, field

import cbor2

HEADER_BYTES = 4
MAX_DEPTH = 3  # the array, a map of options in it, and the values in the map
MAX_ITEMS = 64
NUMBER_LIMIT = 2**53  # integers below this are exact in the languages of all devices


class FrameError(Exception):
    """The input is not a frame; the rest of the connection cannot be decoded.

    The edge sends the message of the error to the device, as the reason in a Refused frame.
    """


@dataclass(frozen=True, slots=True)
class Hello:
    """Opens or resumes a session; the first frame on a connection."""

    version: int
    token: bytes  # the device's token; empty if a certificate identifies the device
    session: bytes  # token of the session to resume; empty to open a new one
    got: int  # sequence number up to which all answers have been received
    window: int  # answers that the device can hold unread
    steady: bool = False  # whether the device's request numbers outlive its sessions


@dataclass(frozen=True, slots=True)
class Ask:
    """A request."""

    number: int
    group: str
    body: bytes
    wait: int  # timeout in ms from when the frame is sent; 0 for the timeout of the request class
    got: int  # sequence number up to which all answers have been received
    customer: str = ""
    subject: str = ""
    key: str = ""  # idempotency key
    again: bool = False  # whether the request may have been sent before
    work: int = 0  # expected execution time in ms
    hold: int = 0  # memory reserved in KB


@dataclass(frozen=True, slots=True)
class Got:
    """Acknowledges all answers up to a sequence number."""

    upto: int


@dataclass(frozen=True, slots=True)
class Ping:
    """Requests an echo of the stamp, and acknowledges answers."""

    stamp: int
    got: int  # sequence number up to which all answers have been received


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancels a request."""

    number: int


@dataclass(frozen=True, slots=True)
class Bye:
    """Closes the session."""


@dataclass(frozen=True, slots=True)
class Welcome:
    """Accepts a HELLO frame."""

    session: bytes  # token of the session
    resumed: bool  # whether the session of the HELLO frame was resumed
    asked: int  # highest request number received in this session
    heartbeat: int  # ms
    window: int  # requests that the session may have in flight
    most: int  # maximum size of a request body in bytes


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a request."""

    order: int  # sequence number of the answer in its session, which the device acknowledges
    number: int  # number of the answered request
    # 0 completed, 1 denied (may be retried), 2 terminated (failed, or may have been executed).
    word: int
    body: bytes = b""
    come_back: int = 0  # delay in ms after which a denied request may be retried


@dataclass(frozen=True, slots=True)
class Pong:
    """Echoes the stamp of a ping."""

    stamp: int


@dataclass(frozen=True, slots=True)
class Leaving:
    """The server drains; the device should reconnect after `come_back`."""

    come_back: int  # delay in ms
    open: int  # requests that this server will still answer


@dataclass(frozen=True, slots=True)
class Refused:
    """The connection is rejected, and closed after this frame."""

    reason: str
    come_back: int = 0  # delay in ms before the device reconnects; 0 if none is stated


KINDS = {
    0: Hello,
    1: Ask,
    2: Got,
    3: Ping,
    4: Cancel,
    5: Bye,
    16: Welcome,
    17: Answer,
    18: Pong,
    20: Leaving,
    21: Refused,
}
NUMBERS = {kind: number for number, kind in KINDS.items()}
# Types and default values of the fields, by the number of the frame kind.
FIELD_TYPES = {
    each: [kind.__annotations__[name] for name in kind.__slots__] for each, kind in KINDS.items()
}
DEFAULTS = {
    each: [kind.__dataclass_fields__[name].default for name in kind.__slots__]
    for each, kind in KINDS.items()
}
Frame = Hello | Ask | Got | Ping | Cancel | Bye | Welcome | Answer | Pong | Leaving | Refused
TYPE_CHECKS = {
    "int": lambda value: type(value) is int and 0 <= value < NUMBER_LIMIT,
    "bytes": lambda value: type(value) is bytes,
    "str": lambda value: type(value) is str,
    "bool": lambda value: type(value) is bool,
}


def check_cbor(data: bytes) -> None:
    """Checks the structure of one CBOR item without building it.

    Raises:
        FrameError: The data is not exactly one item, is truncated, has too many or too deeply
            nested items, or has a tag, a simple value other than true, false and null, a float, or
            an indefinite or reserved length.
    """
    # `at` is the position of the next byte, `remaining` the number of items left to read at each
    # nesting depth, outermost first, and `items` the number of items read.
    at, remaining, items = 0, [1], 0
    while remaining:
        if not remaining[-1]:
            remaining.pop()
            continue
        remaining[-1] -= 1
        items += 1
        if at >= len(data) or items > MAX_ITEMS:
            raise FrameError("an item is missing" if at >= len(data) else "too many items")
        major, additional = data[at] >> 5, data[at] & 31
        at += 1
        if additional < 24:
            value = additional
        elif additional < 28:
            size = 1 << (additional - 24)
            if at + size > len(data):
                raise FrameError("a length is cut off")
            value = int.from_bytes(data[at : at + size], "big")
            at += size
        else:
            raise FrameError("no length")
        if major in (2, 3):
            if value > len(data) - at:
                raise FrameError("a string runs past the end")
            at += value
        elif major in (4, 5):
            if value > MAX_ITEMS or len(remaining) > MAX_DEPTH:
                raise FrameError("too deep or too long")
            remaining.append(value * (major - 3))
        elif major == 6 or major == 7 and additional not in (20, 21, 22):
            raise FrameError("neither a tag nor a float has a place here")
    if at != len(data):
        raise FrameError("more than one item")


def decode(data: bytes) -> Frame:
    """Decodes the content of a frame.

    Raises:
        FrameError: The content is not a frame.
    """
    check_cbor(data)
    try:
        array = cbor2.loads(data)
    except (ValueError, cbor2.CBORError) as error:  # such as text that is not UTF-8
        raise FrameError(str(error)) from None
    if type(array) is not list or not array or type(array[0]) is not int or array[0] not in KINDS:
        raise FrameError("no frame of a known kind")
    kind, values = array[0], array[1:]
    types, defaults = FIELD_TYPES[kind], DEFAULTS[kind]
    # Fields without a default value are required; their default is a sentinel.
    min_values = sum(not isinstance(each, int | str | bytes) for each in defaults)
    if not min_values <= len(values) <= len(types):
        raise FrameError(f"{KINDS[kind].__name__} with {len(values)} values")
    for value, name in zip(values, types, strict=False):
        if not TYPE_CHECKS[name](value):
            raise FrameError(f"{KINDS[kind].__name__} with a value that is no {name}")
    return KINDS[kind](*values)


def encode(frame: Frame) -> bytes:
    """Encodes a frame with its length, omitting default values at the end."""
    kind = NUMBERS[type(frame)]
    values = [getattr(frame, name) for name in type(frame).__slots__]
    while values and values[-1] == DEFAULTS[kind][len(values) - 1]:
        values.pop()
    data = cbor2.dumps([kind, *values])
    return struct.pack("!I", len(data)) + data


@dataclass(slots=True)
class Stream:
    """Splits a byte stream into frames.

    Buffers at most one frame. A length of 0 or above `max_frame_bytes` is rejected as soon as the
    header has been received.
    """

    max_frame_bytes: int
    partial_frame: bytes = b""
    frame_count: int = field(default=0)  # complete frames decoded so far

    def feed(self, chunk: bytes) -> Iterator[Frame]:
        """Yields the frames that the chunk completes.

        Raises:
            FrameError: The stream does not contain a valid frame.
        """
        data, at = self.partial_frame + chunk if self.partial_frame else chunk, 0
        try:
            while len(data) - at >= HEADER_BYTES:
                size = int.from_bytes(data[at : at + HEADER_BYTES], "big")
                if size > self.max_frame_bytes or not size:
                    raise FrameError(f"a frame of {size} bytes")
                if len(data) - at < HEADER_BYTES + size:
                    break
                frame = decode(data[at + HEADER_BYTES : at + HEADER_BYTES + size])
                at += HEADER_BYTES + size
                self.frame_count += 1
                yield frame
        finally:
            self.partial_frame = data[at:]
