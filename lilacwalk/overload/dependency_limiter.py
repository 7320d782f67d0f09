"""The limit on concurrent calls to the dependency."""

from __future__ import annotations

from lilacwalk.overload.batch_context import BatchContext
from lilacwalk.overload.model import SECOND, Request, RequestState, ServerSettings

CALLS_PER_CORE = 4.0  # the limit if no dependency_call_share is set
CALL_TIME_WEIGHT = 0.1  # of the newest call in the mean; calls may slow down within seconds
BASELINE_WEIGHT = 0.005  # weight of the newest call in the baseline
CONGESTED_BASELINE_DIVISOR = 20  # divides BASELINE_WEIGHT while the dependency is congested
INITIAL_CALLS = 20  # averaged with equal weights, so that no single call sets the baseline
OUTLIER_CAP_MULTIPLE = 3  # of the mean call time; a single lost reply must not signal congestion
CONGESTION_MULTIPLE = 2  # of the baseline; exceeds the variance of a mean of ten calls
MINIMUM_LIMIT_SHARE = 0.3  # of the full limit; a dependency may be slow without being overloaded
LIMIT_DECREASE = 0.8  # factor per call during congestion
LIMIT_INCREASE_STEPS = 16  # calls in which the limit grows by the full limit
PROBE_INTERVAL = SECOND  # time without calls or progress after which estimates are ignored


class DependencyLimiter:
    """Owns the pending calls, the number of calls in progress, measured call times and the limit.

    The latency ratio T does not include the time of dependency calls, so admission control alone
    would send ever more calls to a dependency that slows down. Call times well above their
    baseline therefore lower the limit. A limit below one call is applied as a pause between calls,
    because in a large fleet one concurrent call from each server can overload the dependency.
    """

    def __init__(self, context: BatchContext, server: ServerSettings) -> None:
        """Starts with the full limit and without measurements."""
        self._context = context
        self._server = server
        self.pending: list[Request] = []  # requests whose call has not been made or skipped
        self.in_progress = 0  # including abandoned calls that linger at the dependency
        self.call_time = 0.0
        self.baseline_call_time = 0.0
        self.measured_calls = 0
        self.limit = self._full_limit()  # mean number of calls in progress
        self.is_congested = False
        self.next_call_at = context.now
        self._last_call_at = context.now

    def _full_limit(self) -> float:
        share = self._server.dependency_call_share or CALLS_PER_CORE * self._server.cores
        return share if share < 1 else float(int(share))

    def is_full(self) -> bool:
        """Whether the limit permits no further call now."""
        return self.in_progress >= max(1, int(self.limit)) or self._context.now < self.next_call_at

    def has_been_idle(self) -> bool:
        """Whether no call was in progress for PROBE_INTERVAL.

        The next call is then expected to take no time. Otherwise slow calls that made all requests
        infeasible would prevent the calls that could show that the dependency has recovered.
        """
        return not self.in_progress and self._context.now - self._last_call_at > PROBE_INTERVAL

    def expected_wait(self, calls_needed: int) -> float:
        """The time until `calls_needed` requests that cannot skip their call have made it."""
        return self.call_time * (1 + calls_needed / self.limit)

    def add_pending(self, request: Request) -> None:
        """Adds a request whose call is to be made or skipped."""
        request.state = RequestState.CALL_PENDING
        self.pending.append(request)

    def begin_call(self, request: Request) -> None:
        """Accounts for the start of a pending call."""
        self.pending.remove(request)
        request.state = RequestState.CALL_IN_PROGRESS
        self.in_progress += 1

    def end_call(self, elapsed: int, *, lingers: bool) -> None:
        """Accounts for a call that ended, or was abandoned and `lingers` at the dependency."""
        now = self._context.now
        linger = self._server.abandoned_call_linger
        self._last_call_at = now
        if lingers:
            self._context.schedule(now + linger, self._end_lingering_call)
        else:
            self.in_progress -= 1
        if self.limit < 1:  # single calls with pauses keep the mean concurrency within the limit
            occupied = elapsed + (linger if lingers else 0)
            self.next_call_at = max(self.next_call_at, now + int(occupied / self.limit))

    def _end_lingering_call(self) -> None:
        self.end_call(0, lingers=False)

    def record_call_time(self, elapsed: int) -> None:
        """Updates the call times with a call that took `elapsed` and adapts the limit."""
        self.measured_calls += 1
        is_first = self.measured_calls <= INITIAL_CALLS
        counted = elapsed if is_first else min(elapsed, OUTLIER_CAP_MULTIPLE * self.call_time)
        weight = max(CALL_TIME_WEIGHT, 1 / self.measured_calls)
        self.call_time += weight * (counted - self.call_time)
        self.baseline_call_time += self._baseline_weight() * (counted - self.baseline_call_time)
        self.is_congested = self.call_time > CONGESTION_MULTIPLE * self.baseline_call_time
        full_limit = self._full_limit()
        if self.is_congested:
            self.limit = max(full_limit * MINIMUM_LIMIT_SHARE, self.limit * LIMIT_DECREASE)
        else:
            self.limit = min(full_limit, self.limit + full_limit / LIMIT_INCREASE_STEPS)

    def _baseline_weight(self) -> float:
        if self.measured_calls <= INITIAL_CALLS:
            return 1 / self.measured_calls
        return BASELINE_WEIGHT / (CONGESTED_BASELINE_DIVISOR if self.is_congested else 1)

    def restore(self, *, call_time: float, baseline_call_time: float, weight: float) -> None:
        """Adopts call times of an earlier incarnation unless calls have been measured."""
        if call_time and not self.measured_calls:
            self.call_time = call_time
            self.baseline_call_time = baseline_call_time
            self.measured_calls = int(weight * INITIAL_CALLS)
