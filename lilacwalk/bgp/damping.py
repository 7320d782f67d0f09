"""Damping of ourselves: a penalty that each flap raises and time halves (RFC 2439 section 4.2)."""

from __future__ import annotations

import math

from lilacwalk.bgp.config import Damping

FLAP, CHANGE = 1_000, 500  # RFC 2439 section 4.2: a withdrawal counts whole, another change half


class Penalty:
    """Exact decay, no steps: what it is at a time depends on the flaps alone, not on how often it is
    asked."""

    def __init__(self, config: Damping) -> None:
        self.config = config
        self.value, self.updated_at = 0.0, 0
        self.suppressed = False

    @property
    def ceiling(self) -> float:
        """Above this, it would take more than the longest time to be reused (RFC 2439 section 4.2)."""
        return self.config.reuse * 2.0 ** (self.config.longest / self.config.half_life)

    def value_at(self, now: int) -> float:
        return self.value * 2.0 ** (-max(0, now - self.updated_at) / self.config.half_life)

    def add(self, amount: int, now: int) -> None:
        self.value = min(self.ceiling, self.value_at(now) + amount)
        self.updated_at = max(now, self.updated_at)
        if self.value >= self.config.suppress:
            self.suppressed = True

    def is_suppressed(self, now: int) -> bool:
        """Whether it keeps us from being announced."""
        if self.suppressed and now >= self.reuse_at():
            self.suppressed = False
        return self.suppressed

    def reuse_at(self) -> int:
        """When it falls to `reuse`, if nothing comes in between."""
        if self.value <= self.config.reuse:
            return self.updated_at
        return self.updated_at + math.ceil(
            self.config.half_life * math.log2(self.value / self.config.reuse)
        )

    def restore(self, value: float, suppressed: bool, age: int, now: int) -> None:
        """What an earlier life had, decayed since; on top of what this one has."""
        restored = max(0.0, value) * 2.0 ** (-max(0, age) / self.config.half_life)
        self.value, self.updated_at = min(self.ceiling, self.value_at(now) + restored), now
        self.suppressed = self.suppressed or suppressed and self.value > self.config.reuse

    def reconfigure(self, config: Damping, now: int) -> None:
        """New figures: the penalty stays what it is, under the new ceiling."""
        self.value, self.updated_at = self.value_at(now), now
        self.config = config
        self.value = min(self.value, self.ceiling)
        self.suppressed = (
            self.suppressed and self.value > config.reuse or self.value >= config.suppress
        )
