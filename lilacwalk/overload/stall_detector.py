"""Detects that executions make no progress while the event loop still runs."""

from __future__ import annotations

from lilacwalk.overload.batch_context import BatchContext
from lilacwalk.overload.latency_estimator import LatencyEstimator
from lilacwalk.overload.server_load import ServerLoad
from lilacwalk.overload.slow_start import SlowStart

# Executions count as stalled if none has made progress for this multiple of the expected time
# between the ends of two executions. The probability of such a gap without a stall is e^-9.
STALL_GAP_MULTIPLE = 9
# Number of timer periods added to the time after which executions count as stalled.
STALL_TIMER_PERIODS = 4


class StallDetector:
    """Owns the state of the executions (stalled or not) and of the link to the executor."""

    def __init__(
        self,
        context: BatchContext,
        load: ServerLoad,
        *,
        latency: LatencyEstimator,
        slow_start: SlowStart,
        timer_period: int,
    ) -> None:
        """Assumes at first that executions are not stalled and that the link is up.

        `timer_period` is in tenths of a millisecond.
        """
        self._context = context
        self._load = load
        self._latency = latency
        self._slow_start = slow_start
        self._timer_period = timer_period
        self.stalled = False
        self._executor_link_is_up = True
        self._last_timer_at = context.now

    def set_executor_link(self, is_up: bool) -> None:
        """Sets whether the link to the executor is up; no stall is detected while it is down."""
        self._executor_link_is_up = is_up
        self._load.last_progress_at = self._context.now

    def record_timer(self) -> None:
        """Records a timer event, which shows whether this process itself was paused.

        If the event is late by more than two timer periods, the process did not run. The delay does
        not count as time without progress of executions.
        """
        now = self._context.now
        pause = now - self._last_timer_at - self._timer_period
        self._last_timer_at = now
        if pause > 2 * self._timer_period:
            self._load.last_progress_at += pause

    def record_progress(self) -> bool:
        """Records that an execution made progress; returns whether this ended a stall."""
        self._load.last_progress_at = self._context.now
        ends_stall = self.stalled
        self.stalled = False
        return ends_stall

    def detects_new_stall(self) -> bool:
        """Checks for a stall and sets `stalled` if there is one.

        Returns:
            Whether this call detected a new stall.
        """
        load = self._load
        if self.stalled or not self._executor_link_is_up or not load.running:
            return False
        # The longest mean is used, so that a single long execution does not count as a stall.
        longest_mean = max(
            self._latency.execution_times.values(), default=self._latency.mean_execution_time
        )
        parallel = min(load.running, load.server.cores)
        expected_gap = longest_mean / parallel / self._slow_start.capacity_share()
        allowed = STALL_GAP_MULTIPLE * expected_gap + STALL_TIMER_PERIODS * self._timer_period
        self.stalled = not self._context.now - load.last_progress_at < allowed
        return self.stalled
