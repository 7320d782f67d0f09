"""A simulated machine whose cores are shared by all runs. A run is one execution of a request.

Assumptions: processor sharing. Each of n runs gets min(1, cores / n) of a core, at the machine's
speed. Context switches cost nothing up to `crowding_threshold` runs per core. Each run above it
reduces the speed of the whole machine by the fraction `contention`, down to a twentieth, as
contention for caches and locks does. A cold machine runs at `cold_speed` of its speed for
`warm_up`, whatever its load. When the number of runs per core exceeds `collapse_threshold`, the
machine calls `on_collapse`; the simulation then restarts the server, and the runs are lost.

The tests check the machine against closed forms: the mean time of a run in an M/G/1 queue with
processor sharing is s / (1 - ρ) for a mean service time s and a utilization ρ, whatever the
distribution of work (Kleinrock, 1976); no run is faster than when it runs alone; work is
conserved."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count

from lilacwalk.emulator.events import EventQueue

MIN_SPEED_FACTOR = 0.05  # lower bound of the speed factor under contention


class Machine:
    """A machine that shares its cores equally among its runs; see the module."""

    def __init__(
        self,
        events: EventQueue,
        cores: int,
        speed: float = 1.0,
        crowding_threshold: float = 8.0,
        contention: float = 0.0,
        collapse_threshold: float = 0.0,
        cold_speed: float = 1.0,
        warm_up: int = 0,
        on_collapse: Callable[[], None] = lambda: None,
    ) -> None:
        """Creates a machine without runs. Times are in tenths of a ms.

        If `collapse_threshold` is 0, the machine does not collapse.
        """
        self.events, self.cores, self.speed = events, cores, speed
        self.crowding_threshold, self.contention, self.collapse_threshold, self.on_collapse = (
            crowding_threshold,
            contention,
            collapse_threshold,
            on_collapse,
        )
        # `cold_speed` applies until `warm_at`.
        self.cold_speed, self.warm_at = cold_speed, events.now + warm_up
        if warm_up:
            events.after(warm_up, self._on_speed_change)
        # Work completed by a run that has been running since the start of the machine. All runs
        # progress at the same rate, so a run completes when this number reaches its value at the
        # start of the run plus the work of the run.
        self.attained_service = 0.0
        self.updated_at = events.now  # time of the last update of `attained_service`
        # Heap of (`attained_service` at completion, number, tag, `on_complete`).
        self.runs: list[tuple[float, int, object, Callable]] = []
        self.cancelled_runs: set[int] = set()  # numbers of stopped runs that are still in `runs`
        self.run_numbers = count()
        self.run_count = 0  # runs that are neither complete nor stopped
        # Core time used by runs, in tenths of a ms of one core at full speed.
        self.core_time_used = 0.0
        # Incremented when the next completion is rescheduled; events scheduled before are ignored.
        self.generation = 0
        self.is_paused = False

    # Runs

    def start(self, work: float, on_complete: Callable[[object], None], tag: object = None) -> int:
        """Starts a run and returns its number.

        `work` is in tenths of a ms of one core at full speed. When the run completes, `on_complete`
        is called with `tag`.
        """
        self._advance()
        number = next(self.run_numbers)
        heapq.heappush(
            self.runs, (self.attained_service + max(0.0, work), number, tag, on_complete)
        )
        self.run_count += 1
        if self.collapse_threshold and self.run_count > self.collapse_threshold * self.cores:
            self.on_collapse()
            return number
        self._schedule_next_completion()
        return number

    def stop(self, number: int) -> None:
        """Stops a run without calling its `on_complete`; has no effect on a run that has ended."""
        if any(run[1] == number for run in self.runs) and number not in self.cancelled_runs:
            self._advance()
            self.cancelled_runs.add(number)
            self.run_count -= 1
            self._schedule_next_completion()

    def clear(self) -> None:
        """Drops all runs without calling their `on_complete`."""
        self._advance()
        self.runs.clear()
        self.cancelled_runs.clear()
        self.run_count = 0
        self.generation += 1

    def set_paused(self, is_paused: bool) -> None:
        """Pauses or resumes the whole machine; no run progresses while it is paused."""
        self._advance()
        self.is_paused = is_paused
        self._schedule_next_completion()

    def set_speed(self, speed: float) -> None:
        """Sets the speed; 1.0 is full speed."""
        self._advance()
        self.speed = speed
        self._schedule_next_completion()

    # Gauges, as an operating system reports them

    @property
    def core_use(self) -> float:
        """Fraction of the cores in use."""
        return min(1.0, self.run_count / self.cores)

    @property
    def run_queue(self) -> float:
        """Number of runs in excess of the number of cores."""
        return float(max(0, self.run_count - self.cores))

    # Progress of the runs over time

    def rate(self) -> float:
        """Returns the current rate of one run: tenths of a ms of work per tenth of a ms."""
        if not self.run_count or self.is_paused:
            return 0.0
        excess_runs = self.run_count - self.crowding_threshold * self.cores
        contention_factor = (
            max(MIN_SPEED_FACTOR, 1 - self.contention * excess_runs) if excess_runs > 0 else 1.0
        )
        cold_factor = self.cold_speed if self.events.now < self.warm_at else 1.0
        return self.speed * contention_factor * cold_factor * min(1.0, self.cores / self.run_count)

    def _advance(self) -> None:
        """Adds the progress since `updated_at`; must precede each change that affects the rate."""
        elapsed = self.events.now - self.updated_at
        if elapsed > 0:
            rate = self.current_rate
            self.attained_service += elapsed * rate
            self.core_time_used += elapsed * rate * self.run_count
            self.updated_at = self.events.now

    current_rate = 0.0  # rate of one run since `updated_at`

    def _on_speed_change(self) -> None:
        self._advance()
        self._schedule_next_completion()

    def _schedule_next_completion(self) -> None:
        """Updates the rate and schedules the next completion.

        Must be called after each change that affects the rate.
        """
        self.generation += 1
        self.current_rate = self.rate()
        while self.runs and self.runs[0][1] in self.cancelled_runs:
            self.cancelled_runs.discard(heapq.heappop(self.runs)[1])
        if self.runs and self.current_rate > 0:
            delay = (self.runs[0][0] - self.attained_service) / self.current_rate
            self.events.after(max(0, -int(-delay // 1)), self._complete_due_runs, self.generation)

    def _complete_due_runs(self, generation: int) -> None:
        """Completes the due runs, unless the completion was rescheduled after `generation`."""
        if generation != self.generation:
            return
        self._advance()
        completed = []
        while self.runs and (
            self.runs[0][1] in self.cancelled_runs
            or self.runs[0][0] <= self.attained_service + 1e-6
        ):
            run = heapq.heappop(self.runs)
            if run[1] in self.cancelled_runs:
                self.cancelled_runs.discard(run[1])
            else:
                self.run_count -= 1
                completed.append(run)
        self._schedule_next_completion()
        for _, _, tag, on_complete in completed:
            on_complete(tag)
