"""Estimates whether a request can still be answered in time."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from lilacwalk.overload.batch_context import BatchContext
from lilacwalk.overload.concurrency_limit import ConcurrencyLimit
from lilacwalk.overload.dependency_limiter import PROBE_INTERVAL, DependencyLimiter
from lilacwalk.overload.drain import Drain
from lilacwalk.overload.latency_estimator import LatencyEstimator
from lilacwalk.overload.model import Effect, Request
from lilacwalk.overload.server_load import ServerLoad

# An execution must have at least this fraction of its expected work as time until its deadline. The
# fraction is below 1 because execution times vary widely.
REQUIRED_TIME_SHARE = 0.7
# Responses that miss the latency objective are useful even if no cores are free if
# `late_weight_share` is at least this value.
LOADED_LATE_SHARE = 0.5


@dataclass(eq=False, kw_only=True, slots=True)
class Feasibility:
    """Estimates response times from execution times and queues. Has no state of its own.

    All times and durations are in tenths of a millisecond.
    """

    context: BatchContext
    load: ServerLoad
    drain: Drain
    concurrency: ConcurrencyLimit
    latency: LatencyEstimator
    dependency: DependencyLimiter
    deadline_margin: int

    def useful_response_deadline(self, request: Request) -> int:
        """The time after which a response is no longer useful.

        If a response that misses the latency objective retains little weight, it is useful only
        while cores are free, because then no other request needs them.
        """
        late_share = request.request_class.late_weight_share
        latest = request.deadline - self.deadline_margin
        if late_share and (self.load.has_free_cores() or late_share >= LOADED_LATE_SHARE):
            return latest
        return min(request.objective_deadline, latest)

    def can_finish_in_time(self, request: Request, queue_wait: float) -> bool:
        """Whether a request can be answered while a response is useful.

        `queue_wait` is the expected time until its execution starts. A response is not useful
        either once a drain has ended.
        """
        now = self.context.now
        until = min(self.useful_response_deadline(request), self.drain.terminate_at or inf)
        wait = queue_wait
        request_class = request.request_class
        if request_class.calls_dependency and not request_class.skipped_call_weight_share:
            wait += self._dependency_wait()
        if not queue_wait and self.load.is_idle() and self._may_probe(request):
            # On idle cores a request is executed regardless of its expected work. Otherwise, if
            # the mean execution time is too high after a stall, all requests would be rejected
            # forever, because only further executions can correct it.
            return now + wait < until
        return now + wait + REQUIRED_TIME_SHARE * request.expected_work <= until

    def _may_probe(self, request: Request) -> bool:
        """Whether the request may be executed on idle cores regardless of its expected work.

        A non-idempotent request cannot be retried on another server if it fails. It is therefore
        executed in this way only after PROBE_INTERVAL without progress of any execution.
        """
        return (
            request.request_class.effect is not Effect.NON_IDEMPOTENT
            or self.context.now - self.load.last_progress_at > PROBE_INTERVAL
        )

    def queue_wait(self, request: Request) -> float:
        """The expected time in the queue behind requests of equal or higher weight per work."""
        load = self.load
        if load.running < self.concurrency.limit and not load.queue:
            return 0.0
        work_ahead = sum(
            queued.expected_work
            for queued in load.queue
            if queued.weight_per_work >= request.weight_per_work
        )
        return (work_ahead + self.latency.mean_execution_time) / self.concurrency.limit

    def _dependency_wait(self) -> float:
        """The expected time until all open requests that cannot skip their call have completed it.

        It is 0 if no call was made recently, as the mean call time may then be outdated.
        """
        if self.dependency.has_been_idle():
            return 0.0
        calls_needed = sum(
            1
            for request in self.load.open_requests
            if request.request_class.calls_dependency
            and not request.request_class.skipped_call_weight_share
            and not request.answered
        )
        return self.dependency.expected_wait(calls_needed)
