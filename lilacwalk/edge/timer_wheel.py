"""A hierarchical timing wheel (Varghese and Lauck, 1987).

Most timers are rescheduled or cancelled before they expire. The wheel schedules and cancels a timer
in constant time, whatever their number; a heap takes log n for each and keeps cancelled timers
until they are due. `heapq` is not used because sessions reschedule several timers with each frame;
`benchmarks/edge.py` compares both. A timer expires at the end of its slot: up to one slot late and
never early. An empty interval is scanned slot by slot, so callers use `due` to find the next slot
with timers.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterator

SLOT_DURATION = 100  # tenths of a ms; 10 ms is precise enough for links that stall for seconds
SLOTS_PER_LEVEL = 64  # four levels cover 64^4 slots, about 46 hours
LEVELS = 4


class Wheel:
    """Timers by name; scheduling a name again moves its timer.

    Times are in tenths of a millisecond and never decrease.
    """

    def __init__(self, now: int, slot: int = SLOT_DURATION) -> None:
        """Creates a wheel without timers."""
        # `next_tick` is the number of the first slot that has not expired.
        self.slot_duration, self.next_tick = slot, now // slot
        self.levels: list[list[dict[Hashable, int]]] = [
            [{} for _ in range(SLOTS_PER_LEVEL)] for _ in range(LEVELS)
        ]
        self.slots_by_name: dict[Hashable, dict[Hashable, int]] = {}

    def __len__(self) -> int:
        return len(self.slots_by_name)

    def schedule(self, name: Hashable, due: int) -> None:
        """Sets or moves the timer `name` to the time `due`."""
        self.cancel(name)
        self._insert(name, max(self.next_tick, -(-due // self.slot_duration)))

    def _insert(self, name: Hashable, tick: int) -> None:
        """Adds a timer that expires with slot `tick`."""
        remaining, index = tick - self.next_tick, 0
        while remaining >= SLOTS_PER_LEVEL ** (index + 1) and index < LEVELS - 1:
            index += 1
        # A timer beyond the last level cascades early and is then inserted again.
        slot = min(tick, self.next_tick + SLOTS_PER_LEVEL**LEVELS - 1)
        bucket = self.levels[index][slot // SLOTS_PER_LEVEL**index % SLOTS_PER_LEVEL]
        bucket[name] = tick
        self.slots_by_name[name] = bucket

    def cancel(self, name: Hashable) -> bool:
        """Removes a timer, and returns whether there was one."""
        bucket = self.slots_by_name.pop(name, None)
        if bucket is None:
            return False
        del bucket[name]
        return True

    def due(self) -> int | None:
        """Returns the earliest time at which `expire` has work to do, or None without timers."""
        if not self.slots_by_name:
            return None
        for tick in range(self.next_tick, self.next_tick + SLOTS_PER_LEVEL):
            if self.levels[0][tick % SLOTS_PER_LEVEL]:
                return tick * self.slot_duration
            if tick % SLOTS_PER_LEVEL == 0 and self._cascades_at(tick):
                return tick * self.slot_duration
        return (self.next_tick // SLOTS_PER_LEVEL + 1) * SLOTS_PER_LEVEL * self.slot_duration

    def _cascades_at(self, tick: int) -> bool:
        """Whether timers of a higher level move to a lower one at this tick."""
        for level in range(1, LEVELS):
            if tick % SLOTS_PER_LEVEL**level:
                return False
            if self.levels[level][tick // SLOTS_PER_LEVEL**level % SLOTS_PER_LEVEL]:
                return True
        return False

    def expire(self, now: int) -> Iterator[Hashable]:
        """Yields the timers whose slot has ended, in order of slots.

        The caller may schedule timers during the iteration.
        """
        last = now // self.slot_duration
        while self.next_tick <= last:
            if not self.slots_by_name:
                self.next_tick = last + 1
                return
            tick = self.next_tick
            for level in range(1, LEVELS):
                if tick % SLOTS_PER_LEVEL**level:
                    break
                self._cascade(level, tick)
            bucket = self.levels[0][tick % SLOTS_PER_LEVEL]
            while bucket:
                name = next(iter(bucket))
                del bucket[name]
                del self.slots_by_name[name]
                yield name
            self.next_tick = tick + 1

    def _cascade(self, level: int, tick: int) -> None:
        """Moves the timers of one slot to lower levels."""
        bucket = self.levels[level][tick // SLOTS_PER_LEVEL**level % SLOTS_PER_LEVEL]
        timers = list(bucket.items())
        bucket.clear()
        for name, due in timers:
            self._insert(name, max(due, tick))
