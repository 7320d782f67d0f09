"""State shared by the parts of the controller while it handles a batch of events."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count

from lilacwalk.overload.decision_sink import DecisionSink


class BatchContext:
    """The time and decision sink of the current batch, and actions scheduled for later batches.

    Owned by the controller, which sets `now` and `sink` before the first event of a batch. Actions
    that are due at the same time run in the order in which they were scheduled. Times are in tenths
    of a millisecond.
    """

    __slots__ = ("_scheduled", "_sequence", "now", "sink")

    sink: DecisionSink

    def __init__(self, now: int) -> None:
        """Sets the current time to `now`; no action is scheduled."""
        self.now = now
        self._scheduled: list[tuple] = []  # heap of (time, sequence number, action, *arguments)
        self._sequence = count()

    def schedule(self, time: int, action: Callable[..., None], *arguments: object) -> None:
        """Schedules `action` to run in the first batch at or after `time`."""
        heapq.heappush(self._scheduled, (time, next(self._sequence), action, *arguments))

    def run_due_actions(self) -> None:
        """Runs the scheduled actions that are due at the current time."""
        scheduled = self._scheduled
        while scheduled and scheduled[0][0] <= self.now:
            _, _, action, *arguments = heapq.heappop(scheduled)
            action(*arguments)
