"""Route flap damping of this node's own announcements (RFC 2439 section 4.2)."""

from __future__ import annotations

import math

from lilacwalk.bgp.config import Damping

# Penalties of a withdrawal and of an attribute change, which counts half as much (RFC 2439 section
# 4.2).
FLAP, CHANGE = (
    1_000,
    500,
)


class Penalty:
    """Flap penalty with exponential decay; times are in tenths of a millisecond.

    The decay is computed exactly from the time passed, so the penalty at a given time depends only
    on the flaps and not on how often it is read.
    """

    def __init__(self, config: Damping) -> None:
        self.config = config
        self.value, self.updated_at = 0.0, 0
        self.suppressed = False

    @property
    def ceiling(self) -> float:
        """The maximum penalty: from a higher one, decay to `reuse` would take longer than `longest`
        (RFC 2439 section 4.2).
        """
        return self.config.reuse * 2.0 ** (self.config.longest / self.config.half_life)

    def value_at(self, now: int) -> float:
        """Returns the decayed penalty at `now`."""
        return self.value * 2.0 ** (-max(0, now - self.updated_at) / self.config.half_life)

    def add(self, amount: int, now: int) -> None:
        """Adds the penalty `amount` of a flap; suppression starts at `suppress`."""
        self.value = min(self.ceiling, self.value_at(now) + amount)
        self.updated_at = max(now, self.updated_at)
        if self.value >= self.config.suppress:
            self.suppressed = True

    def is_suppressed(self, now: int) -> bool:
        """Returns whether the penalty suppresses announcements at `now`."""
        if self.suppressed and now >= self.reuse_at():
            self.suppressed = False
        return self.suppressed

    def reuse_at(self) -> int:
        """Returns the time at which the penalty has decayed to `reuse` if no flap is added."""
        if self.value <= self.config.reuse:
            return self.updated_at
        return self.updated_at + math.ceil(
            self.config.half_life * math.log2(self.value / self.config.reuse)
        )

    def restore(self, value: float, suppressed: bool, age: int, now: int) -> None:
        """Adds the penalty `value` that an earlier process had `age` ago, decayed since then.

        `suppressed` says whether that process suppressed announcements.
        """
        restored = max(0.0, value) * 2.0 ** (-max(0, age) / self.config.half_life)
        self.value, self.updated_at = min(self.ceiling, self.value_at(now) + restored), now
        self.suppressed = self.suppressed or suppressed and self.value > self.config.reuse

    def reconfigure(self, config: Damping, now: int) -> None:
        """Applies new settings; the penalty keeps its value, limited by the new ceiling."""
        self.value, self.updated_at = self.value_at(now), now
        self.config = config
        self.value = min(self.value, self.ceiling)
        self.suppressed = (
            self.suppressed and self.value > config.reuse or self.value >= config.suppress
        )
