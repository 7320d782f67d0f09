"""Block-wise transfer (RFC 7959): assembles requests from Block1, and splits answers by Block2.

Partial bodies are distinguished by endpoint, request class, queries and Request-Tag (RFC 9175).
They are bounded in number and bytes, and dropped after a timeout without a new block.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass

MAX_SIZE_EXPONENT = 6  # 2^(6+4) = 1,024 bytes is the largest block size


class BlockError(Exception):
    """A block cannot be used.

    `incomplete` is true if a block is missing or has the wrong size, so that the device has to send
    the body again from the first block, and false if the body is too large or there is no room.
    """

    def __init__(self, incomplete: bool) -> None:
        super().__init__(
            "a block of the body is missing or has the wrong size"
            if incomplete
            else "the body is too large, or there is no room for it"
        )
        self.incomplete = incomplete


@dataclass(frozen=True, slots=True)
class Block:
    """The value of a Block1 or Block2 option."""

    number: int
    more: bool  # whether further blocks follow
    size: int  # bytes

    @classmethod
    def decode(cls, value: bytes) -> Block | None:
        """Decodes an option; returns None for the reserved size."""
        raw = int.from_bytes(value, "big")
        return (
            None if raw & 7 > MAX_SIZE_EXPONENT else cls(raw >> 4, bool(raw & 8), 16 << (raw & 7))
        )

    def encode(self) -> bytes:
        """Encodes the option."""
        raw = self.number << 4 | self.more << 3 | (self.size.bit_length() - 5)
        return raw.to_bytes((raw.bit_length() + 7) // 8, "big")

    @property
    def offset(self) -> int:
        """Offset of the block in the body."""
        return self.number * self.size


@dataclass(eq=False, slots=True)
class PartialBody:
    """The blocks of a body received so far."""

    data: bytes
    last_block_at: int  # time at which the last block was received


class BlockAssembler:
    """Assembles request bodies."""

    def __init__(self, max_bodies: int, max_bytes: int, max_body_bytes: int, timeout: int) -> None:
        """Creates an assembler.

        Args:
            max_bodies: Maximum number of partial bodies.
            max_bytes: Maximum size of all partial bodies.
            max_body_bytes: Maximum size of one body.
            timeout: Time without a block after which a partial body is dropped, in tenths of a
                millisecond.
        """
        self.max_bodies, self.max_bytes, self.max_body_bytes, self.timeout = (
            max_bodies,
            max_bytes,
            max_body_bytes,
            timeout,
        )
        self.partial_bodies: OrderedDict[tuple, PartialBody] = OrderedDict()
        self.buffered_bytes = 0

    def add(
        self, key: tuple[Hashable, ...], block: Block, payload: bytes, now: int
    ) -> bytes | None:
        """Adds a block of the body `key`; returns the whole body after the last block, else None.

        The first block starts the body anew. A duplicate block only restarts the timeout. A block
        after a missing one drops the body (RFC 7959 section 2.5).

        Raises:
            BlockError: A block is missing or has the wrong size, the body is too large, or there is
                no room for it.
        """
        if block.more and len(payload) != block.size:
            raise BlockError(True)
        if block.offset + len(payload) > self.max_body_bytes:
            self.drop(key)
            raise BlockError(False)
        partial = self.partial_bodies.get(key)
        if block.number == 0:
            self.drop(key)
            partial = None
        elif partial is None or block.offset > len(partial.data):
            self.drop(key)
            raise BlockError(True)
        elif block.offset + len(payload) <= len(partial.data) and block.more:
            partial.last_block_at = now
            return None  # duplicate
        data = (partial.data[: block.offset] if partial is not None else b"") + payload
        if not block.more:
            self.drop(key)
            return data
        self.drop(key)
        self.partial_bodies[key] = PartialBody(data, now)
        self.buffered_bytes += len(data)
        while len(self.partial_bodies) > self.max_bodies or self.buffered_bytes > self.max_bytes:
            self.drop(next(iter(self.partial_bodies)))  # the one without a new block for longest
        if key not in self.partial_bodies:
            raise BlockError(False)
        return None

    def drop(self, key: tuple) -> None:
        """Drops a partial body, if there is one."""
        partial = self.partial_bodies.pop(key, None)
        if partial is not None:
            self.buffered_bytes -= len(partial.data)

    def tick(self, now: int) -> int:
        """Drops the bodies that timed out, and returns their number."""
        expired = [
            key
            for key, partial in self.partial_bodies.items()
            if now - partial.last_block_at > self.timeout
        ]
        for key in expired:
            self.drop(key)
        return len(expired)


def select_block(
    body: bytes, requested: Block | None, max_block_bytes: int
) -> tuple[Block | None, bytes] | None:
    """Returns the Block2 value and the bytes of the requested block of an answer.

    If no block is requested, the first one is returned; its Block2 value is None if the body fits
    in one message. Returns None if the requested block is beyond the end of the body.
    """
    size = min(requested.size if requested is not None else max_block_bytes, max_block_bytes)
    number = requested.number if requested is not None else 0
    if requested is None and len(body) <= max_block_bytes:
        return None, body
    offset = number * size
    if offset and offset >= len(body):
        return None
    return Block(number, offset + size < len(body), size), body[offset : offset + size]
