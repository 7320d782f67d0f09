"""What happens when, in simulated time: a calendar queue (Brown, 1988, with buckets sorted when they are
reached) of events in tenths of a ms.

Good for: many events that lie far ahead (due times, timers, patience) and are mostly put in roughly in their
order. Putting one in is an append to its bucket; a bucket is sorted once, by the library's sort, when its
time comes. Cost: events into the bucket that is being emptied are inserted by bisection, so its width should
hold some tens of events. Why not heapq: see benchmarks/events.py for both at a million pending events.

Events of one time come in the order in which they were put in, on every machine."""

from __future__ import annotations

import heapq
from bisect import insort
from collections.abc import Callable
from itertools import count

WIDTH = 10  # a ms: some tens of events at the rates of a fleet


class EventQueue:
    def __init__(self, width: int = WIDTH) -> None:
        self.now = 0
        self.width = width
        self.numbers = count()
        self.buckets: dict[int, list[tuple]] = {}
        self.ahead: list[int] = []  # a heap of the buckets' indices
        self.current: list[tuple] = []  # sorted; those before `at` have happened
        self.at = 0
        self.index = -1  # of the current bucket
        self.happened = 0

    def __len__(self) -> int:
        return len(self.current) - self.at + sum(map(len, self.buckets.values()))

    def put(self, time: int, action: Callable, *arguments) -> None:
        """What lies in the past happens now."""
        event = (max(time, self.now), next(self.numbers), action, arguments)
        index = event[0] // self.width
        if index <= self.index:
            insort(self.current, event, self.at)
            return
        bucket = self.buckets.get(index)
        if bucket is None:
            self.buckets[index] = [event]
            heapq.heappush(self.ahead, index)
        else:
            bucket.append(event)

    def after(self, time: int, action: Callable, *arguments) -> None:
        self.put(self.now + time, action, *arguments)

    def next(self) -> int | None:
        """When; None: nothing is due any more."""
        if self.at < len(self.current):
            return self.current[self.at][0]
        if not self.ahead:
            return None
        self.index = heapq.heappop(self.ahead)
        self.current = self.buckets.pop(self.index)
        self.current.sort()
        self.at = 0
        return self.current[0][0]

    def run(self, until: int) -> None:
        """All that happens up to and at `until`. Then it is `until`."""
        while (time := self.next()) is not None and time <= until:
            _, _, action, arguments = self.current[self.at]
            self.at += 1
            self.now = time
            self.happened += 1
            action(*arguments)
        self.now = max(self.now, until)
