"""Bodies in pieces (RFC 7959): requests put together from Block1, answers taken apart by Block2; told apart
by the endpoint and its Request-Tag (RFC 9175), bounded in count and bytes, and ended by silence."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass

MAX_SIZE_EXPONENT = 6  # 2^(6+4): 1,024 bytes, the largest block there is


class BlockError(Exception):
    """`incomplete`: a piece is missing, the device begins anew; else the body is larger than it may be."""

    def __init__(self, incomplete: bool) -> None:
        super().__init__("a piece is missing" if incomplete else "too large")
        self.incomplete = incomplete


@dataclass(frozen=True, slots=True)
class Block:
    number: int
    more: bool
    size: int  # bytes

    @classmethod
    def decode(cls, value: bytes) -> Block | None:
        """None for the size that is reserved."""
        raw = int.from_bytes(value, "big")
        return (
            None if raw & 7 > MAX_SIZE_EXPONENT else cls(raw >> 4, bool(raw & 8), 16 << (raw & 7))
        )

    def encode(self) -> bytes:
        raw = self.number << 4 | self.more << 3 | (self.size.bit_length() - 5)
        return raw.to_bytes((raw.bit_length() + 7) // 8, "big")

    @property
    def offset(self) -> int:
        return self.number * self.size


@dataclass(eq=False, slots=True)
class PartialBody:
    data: bytes
    last_block_at: int


class BlockAssembler:
    def __init__(self, max_bodies: int, max_bytes: int, max_body_bytes: int, timeout: int) -> None:
        """`most` bodies under way, of `body` bytes each at most; `silence` ends one, in tenths of a ms."""
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
        """The whole body with its last piece. A piece that is doubled changes nothing; one out of its place
        ends the body (RFC 7959 section 2.5). Raises BlockError."""
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
            return None  # it came before
        data = (partial.data[: block.offset] if partial is not None else b"") + payload
        if not block.more:
            self.drop(key)
            return data
        self.drop(key)
        self.partial_bodies[key] = PartialBody(data, now)
        self.buffered_bytes += len(data)
        while len(self.partial_bodies) > self.max_bodies or self.buffered_bytes > self.max_bytes:
            self.drop(next(iter(self.partial_bodies)))  # the one that has waited longest
        if key not in self.partial_bodies:
            raise BlockError(False)
        return None

    def drop(self, key: tuple) -> None:
        partial = self.partial_bodies.pop(key, None)
        if partial is not None:
            self.buffered_bytes -= len(partial.data)

    def tick(self, now: int) -> int:
        """How many were ended by silence."""
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
    """The piece of an answer that was asked for, with its Block2; no block where all fits in one. None: it
    asks for what lies beyond the end."""
    size = min(requested.size if requested is not None else max_block_bytes, max_block_bytes)
    number = requested.number if requested is not None else 0
    if requested is None and len(body) <= max_block_bytes:
        return None, body
    offset = number * size
    if offset and offset >= len(body):
        return None
    return Block(number, offset + size < len(body), size), body[offset : offset + size]
