"""A machine that runs exchanges: cores that all runs share.

Assumed: processor sharing. Each of n runs gets min(1, cores / n) of a core, at the machine's speed; nothing
is lost to switching until the crowd: beyond `crowd` runs for each core, each further one takes `contention`
off the whole machine's speed, as caches and locks do, down to a twentieth. A cold machine works at `cold` of
its speed for `warm_up`, whatever it is asked. More than `death` runs for each core end it: memory and the run
queue are gone.

Closed forms that the tests hold it to: the mean time of a run in an M/G/1 with processor sharing is
s / (1 - ρ), whatever the distribution of work (Kleinrock, 1976); no run is faster than alone; work is
conserved."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count

from lilacwalk.emulator.events import EventQueue

SLOWEST = 0.05


class Machine:
    def __init__(
        self,
        events: EventQueue,
        cores: int,
        speed: float = 1.0,
        crowd: float = 8.0,
        contention: float = 0.0,
        death: float = 0.0,
        cold: float = 1.0,
        warm_up: int = 0,
        on_death: Callable[[], None] = lambda: None,
    ) -> None:
        """`death` 0: none. Times in tenths of a ms."""
        self.events, self.cores, self.speed = events, cores, speed
        self.crowd, self.contention, self.death, self.on_death = crowd, contention, death, on_death
        self.cold, self.warm_at = cold, events.now + warm_up
        if warm_up:
            events.after(warm_up, self._changed)
        # Each run ends when the service that a run has attained since the beginning of all reaches its own
        # level: one number moves for all of them, and a heap tells who is next.
        self.attained = 0.0
        self.as_of = events.now
        self.runs: list[tuple[float, int, object, Callable]] = []
        self.left: set[int] = set()  # numbers of runs that were stopped
        self.numbers = count()
        self.running = 0
        self.busy = 0.0  # core time given, as work
        self.turn = 0  # of the next end: those put in before a change are void
        self.standing_still = False

    # What is asked

    def start(self, work: float, on_end: Callable[[object], None], what: object = None) -> int:
        """A run of so much work, in tenths of a ms of one core at full speed. Its number."""
        self._advance()
        number = next(self.numbers)
        heapq.heappush(self.runs, (self.attained + max(0.0, work), number, what, on_end))
        self.running += 1
        if self.death and self.running > self.death * self.cores:
            self.on_death()
            return number
        self._next()
        return number

    def stop(self, number: int) -> None:
        """A run that has ended is none."""
        if any(each[1] == number for each in self.runs) and number not in self.left:
            self._advance()
            self.left.add(number)
            self.running -= 1
            self._next()

    def end(self) -> None:
        """All that runs is lost."""
        self._advance()
        self.runs.clear()
        self.left.clear()
        self.running = 0
        self.turn += 1

    def stand_still(self, still: bool) -> None:
        """The whole machine, as in a long pause: nothing moves."""
        self._advance()
        self.standing_still = still
        self._next()

    def set_speed(self, speed: float) -> None:
        self._advance()
        self.speed = speed
        self._next()

    # What it tells, as a kernel's gauges do

    @property
    def core_use(self) -> float:
        return min(1.0, self.running / self.cores)

    @property
    def run_queue(self) -> float:
        """Runs beyond the cores."""
        return float(max(0, self.running - self.cores))

    # Time

    def rate(self) -> float:
        """Of one run, in work a tenth of a ms."""
        if not self.running or self.standing_still:
            return 0.0
        over = self.running - self.crowd * self.cores
        slowed = max(SLOWEST, 1 - self.contention * over) if over > 0 else 1.0
        cold = self.cold if self.events.now < self.warm_at else 1.0
        return self.speed * slowed * cold * min(1.0, self.cores / self.running)

    def _advance(self) -> None:
        gone = self.events.now - self.as_of
        if gone > 0:
            rate = self.rate_then
            self.attained += gone * rate
            self.busy += gone * rate * self.running
            self.as_of = self.events.now

    rate_then = 0.0  # since `as_of`

    def _changed(self) -> None:
        self._advance()
        self._next()

    def _next(self) -> None:
        """The next end, as things are now."""
        self.turn += 1
        self.rate_then = self.rate()
        while self.runs and self.runs[0][1] in self.left:
            self.left.discard(heapq.heappop(self.runs)[1])
        if self.runs and self.rate_then > 0:
            wait = (self.runs[0][0] - self.attained) / self.rate_then
            self.events.after(max(0, -int(-wait // 1)), self._ended, self.turn)

    def _ended(self, turn: int) -> None:
        if turn != self.turn:
            return
        self._advance()
        ended = []
        while self.runs and (
            self.runs[0][1] in self.left or self.runs[0][0] <= self.attained + 1e-6
        ):
            each = heapq.heappop(self.runs)
            if each[1] in self.left:
                self.left.discard(each[1])
            else:
                self.running -= 1
                ended.append(each)
        self._next()
        for _, _, what, on_end in ended:
            on_end(what)
