"""Event queue of the simulation: a calendar queue (Brown, 1988) of events in tenths of a ms, whose buckets
are sorted when they are reached.

Suited to many events that lie far ahead (deadlines, timers, timeouts) and are mostly added roughly in order.
Adding an event appends it to its bucket; a bucket is sorted once, by `list.sort`, when its time comes. Events
added to the bucket that is being emptied are inserted by bisection, so the bucket width should be chosen to
hold some tens of events. `python -m benchmarks.emulator queue` compares the queue with heapq at a million
pending events.

Events with the same time are processed in the order in which they were added, on every machine."""

from __future__ import annotations

import heapq
from bisect import insort
from collections.abc import Callable
from itertools import count

BUCKET_WIDTH = 10  # 1 ms holds some tens of events at the event rates of a simulated fleet


class EventQueue:
    def __init__(self, bucket_width: int = BUCKET_WIDTH) -> None:
        self.now = 0
        self.bucket_width = bucket_width
        self.sequence_numbers = count()
        self.buckets: dict[int, list[tuple]] = {}
        self.pending_indices: list[int] = []  # heap of the indices of `buckets`
        self.current: list[tuple] = []  # sorted bucket; events before `position` are processed
        self.position = 0
        self.current_index = -1  # index of the bucket in `current`
        self.processed_count = 0

    def __len__(self) -> int:
        return len(self.current) - self.position + sum(map(len, self.buckets.values()))

    def put(self, time: int, action: Callable, *arguments) -> None:
        """Schedules an action; one with a time in the past is scheduled for the current time."""
        event = (max(time, self.now), next(self.sequence_numbers), action, arguments)
        index = event[0] // self.bucket_width
        if index <= self.current_index:
            insort(self.current, event, self.position)
            return
        bucket = self.buckets.get(index)
        if bucket is None:
            self.buckets[index] = [event]
            heapq.heappush(self.pending_indices, index)
        else:
            bucket.append(event)

    def after(self, time: int, action: Callable, *arguments) -> None:
        self.put(self.now + time, action, *arguments)

    def next_time(self) -> int | None:
        """Time of the next event, or None if no event is pending."""
        if self.position < len(self.current):
            return self.current[self.position][0]
        if not self.pending_indices:
            return None
        self.current_index = heapq.heappop(self.pending_indices)
        self.current = self.buckets.pop(self.current_index)
        self.current.sort()
        self.position = 0
        return self.current[0][0]

    def run(self, until: int) -> None:
        """Processes all events up to and including `until`, and sets the current time to `until`."""
        while (time := self.next_time()) is not None and time <= until:
            _, _, action, arguments = self.current[self.position]
            self.position += 1
            self.now = time
            self.processed_count += 1
            action(*arguments)
        self.now = max(self.now, until)
