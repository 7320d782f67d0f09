"""Damping of ourselves: a penalty that each flap raises and time halves (RFC 2439 section 4.2)."""

from __future__ import annotations

import math

from lilacwalk.bgp.config import Damping

FLAP, CHANGE = 1_000, 500  # RFC 2439 section 4.2: a withdrawal counts whole, another change half


class Penalty:
    """Exact decay, no steps: what it is at a time depends on the flaps alone, not on how often it is
    asked."""

    def __init__(self, given: Damping) -> None:
        self.given = given
        self.value, self.at = 0.0, 0
        self.suppressed = False

    @property
    def ceiling(self) -> float:
        """Above this, it would take more than the longest time to be reused (RFC 2439 section 4.2)."""
        return self.given.reuse * 2.0 ** (self.given.longest / self.given.half_life)

    def value_at(self, now: int) -> float:
        return self.value * 2.0 ** (-max(0, now - self.at) / self.given.half_life)

    def add(self, amount: int, now: int) -> None:
        self.value = min(self.ceiling, self.value_at(now) + amount)
        self.at = max(now, self.at)
        if self.value >= self.given.suppress:
            self.suppressed = True

    def holds(self, now: int) -> bool:
        """Whether it keeps us from being announced."""
        if self.suppressed and now >= self.free_at():
            self.suppressed = False
        return self.suppressed

    def free_at(self) -> int:
        """When it falls to `reuse`, if nothing comes in between."""
        if self.value <= self.given.reuse:
            return self.at
        return self.at + math.ceil(self.given.half_life * math.log2(self.value / self.given.reuse))

    def restore(self, value: float, suppressed: bool, age: int, now: int) -> None:
        """What an earlier life had, decayed since; on top of what this one has."""
        was = max(0.0, value) * 2.0 ** (-max(0, age) / self.given.half_life)
        self.value, self.at = min(self.ceiling, self.value_at(now) + was), now
        self.suppressed = self.suppressed or suppressed and self.value > self.given.reuse

    def take_over(self, given: Damping, now: int) -> None:
        """New figures: the penalty stays what it is, under the new ceiling."""
        self.value, self.at = self.value_at(now), now
        self.given = given
        self.value = min(self.value, self.ceiling)
        self.suppressed = (
            self.suppressed and self.value > given.reuse or self.value >= given.suppress
        )
