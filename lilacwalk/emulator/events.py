"""Event queue of the simulations: a calendar queue (Brown, 1988). Times are in tenths of a ms.

The queue suits many events that are due far in the future (deadlines, timers, timeouts) and are
added roughly in order of time. An event is appended to the bucket of its time, and a bucket is
sorted once, by `list.sort`, when its first event is due. Events added to the bucket that is being
processed are inserted by bisection, so the bucket width should be chosen such that a bucket holds
some tens of events. `python -m benchmarks.emulator queue` compares the queue with heapq at a
million pending events.

Events with the same time are processed in the order in which they were added, on every machine."""

from __future__ import annotations

import heapq
from bisect import insort
from collections.abc import Callable
from itertools import count

BUCKET_WIDTH = 10  # 1 ms holds some tens of events at the event rates of a simulated fleet


class EventQueue:
    """Calls scheduled actions in order of time; `now` is the simulated time."""

    def __init__(self, bucket_width: int = BUCKET_WIDTH) -> None:
        self.now = 0
        self.bucket_width = bucket_width
        self.sequence_numbers = count()
        self.buckets: dict[int, list[tuple]] = {}
        self.bucket_indices: list[int] = []  # heap of the indices of `buckets`
        # The bucket that is being processed, sorted. Events before `next_position` are processed.
        self.current_bucket: list[tuple] = []
        self.next_position = 0
        self.current_bucket_index = -1  # index of the bucket in `current_bucket`
        self.processed_count = 0

    def __len__(self) -> int:
        """Returns the number of pending events."""
        return len(self.current_bucket) - self.next_position + sum(map(len, self.buckets.values()))

    def put(self, time: int, action: Callable, *arguments) -> None:
        """Schedules a call of `action` at `time`, or at the current time if that is later."""
        event = (max(time, self.now), next(self.sequence_numbers), action, arguments)
        index = event[0] // self.bucket_width
        if index <= self.current_bucket_index:
            insort(self.current_bucket, event, self.next_position)
            return
        bucket = self.buckets.get(index)
        if bucket is None:
            self.buckets[index] = [event]
            heapq.heappush(self.bucket_indices, index)
        else:
            bucket.append(event)

    def after(self, delay: int, action: Callable, *arguments) -> None:
        """Schedules a call of `action` after `delay`."""
        self.put(self.now + delay, action, *arguments)

    def next_time(self) -> int | None:
        """Returns the time of the next event, or None if no event is pending."""
        if self.next_position < len(self.current_bucket):
            return self.current_bucket[self.next_position][0]
        if not self.bucket_indices:
            return None
        self.current_bucket_index = heapq.heappop(self.bucket_indices)
        self.current_bucket = self.buckets.pop(self.current_bucket_index)
        self.current_bucket.sort()
        self.next_position = 0
        return self.current_bucket[0][0]

    def run(self, until: int) -> None:
        """Processes all events up to and including `until`, then sets the time to `until`."""
        while (time := self.next_time()) is not None and time <= until:
            _, _, action, arguments = self.current_bucket[self.next_position]
            self.next_position += 1
            self.now = time
            self.processed_count += 1
            action(*arguments)
        self.now = max(self.now, until)
