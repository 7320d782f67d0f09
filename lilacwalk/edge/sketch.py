"""A count-min sketch whose counts decay (Cormode and Muthukrishnan, 2005, with exponential decay).

It counts recent events per source, in memory that does not depend on the number of sources. A count
may be too high if sources collide, but is never too low. A dict is not used because attackers
choose the number of keys: spoofed sources would fill it. The seed is secret, so that nobody can
construct collisions with another source's counters.
"""

from __future__ import annotations

import xxhash

ROWS = 4  # with 2^12 counters per row, an error above 1/1,500 of the total has probability e^-4
COLUMNS = 4_096


class Sketch:
    """Decayed counts by key; times are in tenths of a millisecond."""

    def __init__(self, seed: int, half_life: int, now: int, columns: int = COLUMNS) -> None:
        """Creates an empty sketch; `half_life` is in tenths of a millisecond."""
        self.seed, self.half_life, self.updated_at = seed & (1 << 64) - 1, half_life, now
        # Stored counts are multiplied by `scale`, so that decay changes this number only.
        self.columns, self.scale = columns, 1.0
        self.rows = [[0.0] * columns for _ in range(ROWS)]

    def _columns(self, key: bytes) -> list[int]:
        """Returns the key's column in each row.

        All columns are derived from two hashes (Kirsch and Mitzenmacher, 2006).
        """
        digest = xxhash.xxh3_128_intdigest(key, self.seed)
        low, high = digest & (1 << 64) - 1, digest >> 64 | 1
        return [(low + row * high) % self.columns for row in range(ROWS)]

    def _decay(self, now: int) -> None:
        if now > self.updated_at:
            # After 1,000 half-lives the counts are zero.
            self.scale *= 2.0 ** min(1_000.0, (now - self.updated_at) / self.half_life)
            self.updated_at = now
            if self.scale > 1e12:
                for row in self.rows:
                    row[:] = [count / self.scale for count in row]
                self.scale = 1.0

    def add(self, key: bytes, now: int, amount: float = 1.0) -> float:
        """Adds `amount` to a key's count and returns the new count.

        Of the key's counters, only those below the new count are raised (conservative update).
        """
        self._decay(now)
        key_columns = self._columns(key)
        count = (
            min(row[column] for row, column in zip(self.rows, key_columns, strict=True))
            + amount * self.scale
        )
        for row, column in zip(self.rows, key_columns, strict=True):
            row[column] = max(row[column], count)
        return count / self.scale

    def count(self, key: bytes, now: int) -> float:
        """Returns a key's decayed count."""
        self._decay(now)
        return (
            min(row[column] for row, column in zip(self.rows, self._columns(key), strict=True))
            / self.scale
        )
