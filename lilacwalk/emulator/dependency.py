"""A simulated dependency that all app servers share, such as a database or a search index.

Assumptions: at most `slots` calls are in progress at once; the others wait in one queue, first in,
first out. Above `crowding_threshold` calls in flight per slot, a call that starts takes longer, in
proportion to the calls in flight. Above `collapse_threshold` calls in flight per slot, the
dependency fails and refuses connections until `restore` is called. A call continues after the app
server has stopped waiting for it, as in a database that does not check whether its client is still
connected."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable

from lilacwalk.emulator.events import EventQueue
from lilacwalk.overload.model import Outcome


class Dependency:
    """A dependency with a limited number of slots for calls; see the module."""

    def __init__(
        self,
        events: EventQueue,
        slots: int,
        mean_duration: int,
        rng: random.Random,
        crowding_threshold: float = 4.0,
        collapse_threshold: float = 0.0,
        variability: float = 0.0,
    ) -> None:
        """Creates a dependency that is up.

        `mean_duration`: mean duration of a call, in tenths of a ms; `variability`: 0 for constant
        durations, 1 for exponentially distributed ones. If `collapse_threshold` is 0, the
        dependency does not fail under load.
        """
        self.events, self.slots, self.mean_duration, self.rng = events, slots, mean_duration, rng
        self.crowding_threshold, self.collapse_threshold, self.variability = (
            crowding_threshold,
            collapse_threshold,
            variability,
        )
        self.duration_factor = 1.0  # multiplies the duration of calls that start
        self.is_down = False
        self.incarnation = 0  # number of failures
        self.active_count = 0  # calls in progress
        self.queue: deque[Callable[[Outcome], None]] = deque()
        self.call_count = self.max_in_flight = 0  # accepted calls; highest number in flight

    @property
    def in_flight(self) -> int:
        """Number of calls in progress or queued."""
        return self.active_count + len(self.queue)

    def call(self, on_complete: Callable[[Outcome], None]) -> bool:
        """Starts or queues a call, whose outcome is passed to `on_complete`.

        Returns False if the dependency is down: the call is not executed, and `on_complete` is not
        called.
        """
        if self.is_down:
            return False
        self.call_count += 1
        self.queue.append(on_complete)
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        if self.collapse_threshold and self.in_flight > self.collapse_threshold * self.slots:
            self.fail_all()
        else:
            self._start_queued()
        return True

    def fail_all(self) -> None:
        """Makes the dependency fail: all calls in flight end with the outcome CONNECTION_LOST.

        Queued calls end at once, calls in progress at the time at which they would have completed.
        """
        self.is_down, self.incarnation = True, self.incarnation + 1
        interrupted, self.queue, self.active_count = list(self.queue), deque(), 0
        for on_complete in interrupted:
            self.events.after(0, on_complete, Outcome.CONNECTION_LOST)

    def restore(self) -> None:
        """Makes the dependency accept calls again."""
        self.is_down = False

    def _start_queued(self) -> None:
        while self.queue and self.active_count < self.slots:
            crowding_factor = max(1.0, self.in_flight / (self.crowding_threshold * self.slots))
            duration = self.mean_duration * self.duration_factor * crowding_factor
            if self.variability:
                duration *= 1 - self.variability + self.variability * self.rng.expovariate(1.0)
            self.active_count += 1
            self.events.after(
                max(1, round(duration)), self._complete, self.queue.popleft(), self.incarnation
            )

    def _complete(self, on_complete: Callable[[Outcome], None], incarnation: int) -> None:
        if incarnation != self.incarnation:
            on_complete(Outcome.CONNECTION_LOST)
            return
        self.active_count -= 1
        self._start_queued()
        on_complete(Outcome.OK)
