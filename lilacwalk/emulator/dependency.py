"""What all app servers call: a store or an index that they share.

Assumed: `slots` calls are worked on at once, each for its own time; more wait in one line, first come first
served. Beyond `crowd` calls for each slot in its hands every call takes longer, in proportion; beyond `death`
for each slot it is gone until it is told to come back, and refuses connections. A caller that gives up takes
nothing off it: what was begun goes on, as with a store that does not look who still waits."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable

from lilacwalk.emulator.events import EventQueue
from lilacwalk.overload.model import Outcome


class Dependency:
    def __init__(
        self,
        events: EventQueue,
        slots: int,
        mean: int,
        rng: random.Random,
        crowd: float = 4.0,
        death: float = 0.0,
        spread: float = 0.0,
    ) -> None:
        """`mean`: of a call, tenths of a ms; `spread`: 0 for a constant time, 1 for an exponential one.
        `death` 0: none."""
        self.events, self.slots, self.mean, self.rng = events, slots, mean, rng
        self.crowd, self.death, self.spread = crowd, death, spread
        self.slowness = 1.0
        self.down = False
        self.life = 0
        self.in_work = 0
        self.line: deque[Callable[[Outcome], None]] = deque()
        self.made = self.most = 0

    @property
    def in_hands(self) -> int:
        return self.in_work + len(self.line)

    def call(self, on_end: Callable[[Outcome], None]) -> bool:
        """Whether it was taken: False proves that it never ran."""
        if self.down:
            return False
        self.made += 1
        self.line.append(on_end)
        self.most = max(self.most, self.in_hands)
        if self.death and self.in_hands > self.death * self.slots:
            self.end()
        else:
            self._work()
        return True

    def end(self) -> None:
        """It dies: all calls in its hands break off."""
        self.down, self.life = True, self.life + 1
        lost, self.line, self.in_work = list(self.line), deque(), 0
        for on_end in lost:
            self.events.after(0, on_end, Outcome.CONNECTION_LOST)

    def back(self) -> None:
        self.down = False

    def _work(self) -> None:
        while self.line and self.in_work < self.slots:
            crowd = max(1.0, self.in_hands / (self.crowd * self.slots))
            time = self.mean * self.slowness * crowd
            if self.spread:
                time *= 1 - self.spread + self.spread * self.rng.expovariate(1.0)
            self.in_work += 1
            self.events.after(max(1, round(time)), self._ended, self.line.popleft(), self.life)

    def _ended(self, on_end: Callable[[Outcome], None], life: int) -> None:
        if life != self.life:
            on_end(Outcome.CONNECTION_LOST)
            return
        self.in_work -= 1
        self._work()
        on_end(Outcome.OK)
