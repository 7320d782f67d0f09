"""Decides whether pending dependency calls are made, skipped or given up."""

from __future__ import annotations

from lilacwalk.overload.batch_context import BatchContext
from lilacwalk.overload.dependency_limiter import INITIAL_CALLS, DependencyLimiter
from lilacwalk.overload.feasibility import REQUIRED_TIME_SHARE, Feasibility
from lilacwalk.overload.latency_estimator import LatencyEstimator
from lilacwalk.overload.model import Effect, Request, RequestClass, ServerSettings
from lilacwalk.overload.server_load import ServerLoad
from lilacwalk.overload.slow_start import SlowStart
from lilacwalk.overload.termination import Termination

# The first call of an idempotent request times out after this multiple of the mean call time, once
# enough calls have been measured and while calls are not congested.
CALL_TIMEOUT_MULTIPLE = 10
# Calls are made only while the number of executions that run or will resume after a call is below
# this fraction of the safe concurrency, or below the number of cores plus 1 if that is greater.
RESUMED_CONCURRENCY_SHARE = 0.75


def weight_lost_by_skipping(request_class: RequestClass) -> float:
    """The weight lost if the dependency call of a request of this class is skipped."""
    return request_class.weight * (1 - request_class.skipped_call_weight_share)


class DependencyScheduler:
    """Decides on pending calls, in descending order of the weight lost by skipping the call.

    `DependencyLimiter` owns the list of pending calls.
    """

    def __init__(
        self,
        context: BatchContext,
        server: ServerSettings,
        load: ServerLoad,
        *,
        slow_start: SlowStart,
        latency: LatencyEstimator,
        feasibility: Feasibility,
        limiter: DependencyLimiter,
        termination: Termination,
        deadline_margin: int,
    ) -> None:
        """Stores the parts of the controller that the scheduler uses.

        `deadline_margin` is in tenths of a millisecond.
        """
        self._context = context
        self._server = server
        self._load = load
        self._slow_start = slow_start
        self._latency = latency
        self._feasibility = feasibility
        self._limiter = limiter
        self._termination = termination
        self._deadline_margin = deadline_margin
        # The greatest weight that a class with dependency calls loses if a call is skipped. While
        # calls are congested and at their limit, classes that would lose less skip their calls.
        self._greatest_lost_weight = max(
            (
                weight_lost_by_skipping(each)
                for each in server.request_classes
                if each.calls_dependency
            ),
            default=0,
        )

    def decide_pending_calls(self) -> None:
        """Makes pending calls up to the limit.

        If a call would end too late or may not be made, skips the call or ends the request.
        """
        if not self._limiter.pending:
            return
        waiting = [request for request in self._limiter.pending if not request.answered]
        waiting.sort(key=lambda request: -weight_lost_by_skipping(request.request_class))
        # Executions that resume after a call run in addition to those that the concurrency limit
        # permits, so that their number needs a limit of its own.
        limit = max(
            self._server.cores + 1,
            RESUMED_CONCURRENCY_SHARE * self._slow_start.safe_concurrency(),
        )
        to_call: list[Request] = []
        for request in waiting:
            if self._remains_pending(request, position=len(to_call), limit=limit):
                to_call.append(request)
        for request in to_call:
            if self._limiter.is_full() or self._concurrency() >= limit:
                return
            self._call(request)

    def _concurrency(self) -> int:
        """The number of executions that run or will resume after their dependency call."""
        return self._load.running + self._limiter.in_progress

    def _remains_pending(self, request: Request, *, position: int, limit: float) -> bool:
        """Skips the call or ends the request if necessary; returns whether it stays pending."""
        request_class = request.request_class
        is_idempotent = request_class.effect is Effect.IDEMPOTENT
        can_skip = request_class.skipped_call_weight_share > 0
        may_call = is_idempotent or not request.call_may_have_executed
        is_late = self._is_late(request, position)
        if may_call and not is_late and not (can_skip and self._must_skip(request_class)):
            return True
        if can_skip and self._concurrency() < limit:
            self._limiter.pending.remove(request)
            self.resume(request)
            self._context.sink.skip_dependency_call(request)
            return False
        if not may_call or (is_late and is_idempotent):
            self._latency.record_response(request, self._context.now)
            self._termination.reject_or_fail(request, do_not_retry_elsewhere=True)
            return False
        return True

    def _is_late(self, request: Request, position: int) -> bool:
        """Whether a call would end too late for a useful response.

        `position` is the number of pending calls that are to be made before this one.
        """
        limiter = self._limiter
        expected_call_time = 0.0 if limiter.has_been_idle() else limiter.call_time
        # If cores are idle, an execution is continued regardless of its remaining work.
        remaining_work = (
            0.0 if self._load.is_idle() else REQUIRED_TIME_SHARE / 2 * request.expected_work
        )
        wait = expected_call_time + limiter.call_time * position / limiter.limit
        earliest = max(self._context.now, limiter.next_call_at)
        return earliest + wait + remaining_work > self._feasibility.useful_response_deadline(
            request
        )

    def _must_skip(self, request_class: RequestClass) -> bool:
        """Whether requests of the class must skip their calls, as other classes would lose more.

        This applies only while calls are congested and no further call is permitted.
        """
        return (
            self._limiter.is_congested
            and self._limiter.is_full()
            and weight_lost_by_skipping(request_class) < self._greatest_lost_weight
        )

    def _call(self, request: Request) -> None:
        timeout_at = max(self._call_timeout_at(request), self._context.now + 1)
        self._limiter.begin_call(request)
        self._context.sink.call_dependency(request, timeout_at)

    def _call_timeout_at(self, request: Request) -> int:
        """The time at which a call that is made now times out."""
        now = self._context.now
        limiter = self._limiter
        is_idempotent = request.request_class.effect is Effect.IDEMPOTENT
        if is_idempotent:
            timeout_at = self._feasibility.useful_response_deadline(request)
        else:
            timeout_at = request.deadline - self._deadline_margin
        call_times_are_reliable = (
            limiter.measured_calls >= INITIAL_CALLS and not limiter.is_congested
        )
        if is_idempotent and call_times_are_reliable and not request.call_may_have_executed:
            # This timeout applies to the first call only; a retry may use all the remaining time.
            first_call_timeout_at = now + int(CALL_TIMEOUT_MULTIPLE * limiter.call_time)
            timeout_at = min(timeout_at, first_call_timeout_at)
        share = self._server.dependency_call_share
        if 0 < share < 1:
            maximum_duration = int(share * self._server.dependency_call_span / 2)
            timeout_at = min(timeout_at, now + maximum_duration)
        return timeout_at

    def resume(self, request: Request) -> None:
        """Resumes the execution of a request whose call succeeded or is skipped."""
        now = self._context.now
        request.dependency_wait += now - request.call_pending_since
        request.call_may_have_executed = False
        self._load.begin_execution(request, now)
