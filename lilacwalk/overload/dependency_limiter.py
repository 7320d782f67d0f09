"""The limit on concurrent calls to the dependency."""

from __future__ import annotations

from lilacwalk.overload.batch_context import BatchContext
from lilacwalk.overload.model import SECOND, Request, RequestState, ServerSettings

# The full limit (the limit while calls are not congested) per core, if `dependency_call_share` is
# not configured.
CALLS_PER_CORE = 4.0
# Weight of the newest call in the mean call time. It is high because calls can become slow within
# seconds.
CALL_TIME_WEIGHT = 0.1
BASELINE_WEIGHT = 0.005  # weight of the newest call in the baseline call time
CONGESTED_BASELINE_DIVISOR = 20  # divisor of BASELINE_WEIGHT while calls are congested
# The first calls are averaged with equal weights, so that one unusual call does not determine the
# baseline.
INITIAL_CALLS = 20
# A call time is counted as at most this multiple of the mean, so that one lost reply is not taken
# for congestion.
OUTLIER_CAP_MULTIPLE = 3
# Calls are congested if their mean time exceeds the baseline by this factor, which is outside the
# variance of a mean of ten calls.
CONGESTION_MULTIPLE = 2
# The limit does not fall below this fraction of the full limit, since a dependency that is slow for
# other reasons than its load would otherwise be left idle.
MINIMUM_LIMIT_SHARE = 0.3
LIMIT_DECREASE = 0.8  # factor applied to the limit after each call during congestion
LIMIT_INCREASE_STEPS = 16  # each uncongested call raises the limit by 1/16 of the full limit
# After this time without a call, the mean call time is ignored, so that a call is tried even if it
# is expected to end too late. After this time without progress of any execution, a non-idempotent
# request may be executed even if its execution is expected to end too late.
PROBE_INTERVAL = SECOND


class DependencyLimiter:
    """Owns the pending calls, the number of calls in progress, measured call times and the limit.

    The latency ratio T, by which requests are admitted, excludes dependency calls. Without a limit
    a dependency that slows down would therefore receive more and more calls. The limit is lowered
    while the mean call time is well above the baseline. It may fall below one call, which is
    implemented by pauses between calls, because in a large fleet one concurrent call from each
    server can already overload the dependency.
    """

    def __init__(self, context: BatchContext, server: ServerSettings) -> None:
        """Creates a limiter with the full limit and without measured calls."""
        self._context = context
        self._server = server
        self.pending: list[Request] = []  # requests whose call has not been made or skipped
        # Number of calls, including abandoned ones that the dependency may still execute.
        self.in_progress = 0
        self.call_time = 0.0  # mean, in tenths of a millisecond
        self.baseline_call_time = 0.0  # mean over a longer time, in tenths of a millisecond
        self.measured_calls = 0  # number of calls in the two means
        self.limit = self._full_limit()  # maximum mean number of calls in progress
        self.is_congested = False
        self.next_call_at = context.now  # earliest time of the next call
        self._last_call_at = context.now

    def _full_limit(self) -> float:
        """The maximum of the limit, which applies while calls are not congested."""
        share = self._server.dependency_call_share or CALLS_PER_CORE * self._server.cores
        return share if share < 1 else float(int(share))

    def is_full(self) -> bool:
        """Whether the limit permits no further call now."""
        return self.in_progress >= max(1, int(self.limit)) or self._context.now < self.next_call_at

    def has_been_idle(self) -> bool:
        """Whether no call is in progress and the last one ended more than PROBE_INTERVAL ago.

        The mean call time is then ignored. Otherwise, once slow calls have made all requests
        infeasible, no further call would show that the dependency has recovered.
        """
        return not self.in_progress and self._context.now - self._last_call_at > PROBE_INTERVAL

    def expected_wait(self, calls_needed: int) -> float:
        """The expected time until a call completes that has `calls_needed` others ahead of it.

        The time is in tenths of a millisecond.
        """
        return self.call_time * (1 + calls_needed / self.limit)

    def add_pending(self, request: Request) -> None:
        """Adds a request to the pending calls."""
        request.state = RequestState.CALL_PENDING
        self.pending.append(request)

    def begin_call(self, request: Request) -> None:
        """Moves a request from the pending calls to the calls in progress."""
        self.pending.remove(request)
        request.state = RequestState.CALL_IN_PROGRESS
        self.in_progress += 1

    def end_call(self, elapsed: int, *, is_abandoned: bool) -> None:
        """Records that a call ended, or was abandoned, `elapsed` after its start.

        An abandoned call counts as in progress until `abandoned_call_linger` has passed. `elapsed`
        is in tenths of a millisecond.
        """
        now = self._context.now
        linger = self._server.abandoned_call_linger
        self._last_call_at = now
        if is_abandoned:
            self._context.schedule(now + linger, self._end_abandoned_call)
        else:
            self.in_progress -= 1
        if self.limit < 1:  # a pause after each call keeps the mean concurrency below the limit
            occupied = elapsed + (linger if is_abandoned else 0)
            self.next_call_at = max(self.next_call_at, now + int(occupied / self.limit))

    def _end_abandoned_call(self) -> None:
        self.end_call(0, is_abandoned=False)

    def record_call_time(self, elapsed: int) -> None:
        """Updates the mean and baseline call times and adapts the limit.

        `elapsed` is the duration of a call that succeeded or timed out, in tenths of a millisecond.
        """
        self.measured_calls += 1
        is_initial = self.measured_calls <= INITIAL_CALLS
        counted = elapsed if is_initial else min(elapsed, OUTLIER_CAP_MULTIPLE * self.call_time)
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
        """Adopts the call times of an earlier incarnation, unless calls have been measured already.

        The adopted times count as `weight` (0 to 1) times INITIAL_CALLS measured calls.
        """
        if call_time and not self.measured_calls:
            self.call_time = call_time
            self.baseline_call_time = baseline_call_time
            self.measured_calls = int(weight * INITIAL_CALLS)
