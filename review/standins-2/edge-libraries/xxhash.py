"""A substitute for the library of this name: other hashes with the same names.

Used only where the library is not installed. The edge uses them to compare, never on the wire.
"""

from __future__ import annotations

from hashlib import blake2b


class xxh3_128:  # noqa: N801
    """A hash of 128 bits that is updated in steps."""

    def __init__(self, data: bytes = b"", seed: int = 0) -> None:
        """Starts with this data."""
        self._hash = blake2b(data, digest_size=16, key=seed.to_bytes(8, "big"))

    def update(self, data: bytes) -> None:
        """Adds data."""
        self._hash.update(data)

    def intdigest(self) -> int:
        """Returns the hash of all data."""
        return int.from_bytes(self._hash.digest(), "big")


def xxh3_128_intdigest(data: bytes, seed: int = 0) -> int:
    """Returns a hash of 128 bits."""
    return xxh3_128(data, seed).intdigest()


def xxh32_intdigest(data: bytes, seed: int = 0) -> int:
    """Returns a hash of 32 bits."""
    return xxh3_128(data, seed).intdigest() & 0xFFFFFFFF
