"""Dispatches queued requests."""

from __future__ import annotations

from dataclasses import dataclass
from operator import attrgetter

from lilacwalk.overload.batch_context import BatchContext
from lilacwalk.overload.concurrency_limit import ConcurrencyLimit
from lilacwalk.overload.deduplication import Deduplication
from lilacwalk.overload.dependency_limiter import DependencyLimiter
from lilacwalk.overload.feasibility import Feasibility
from lilacwalk.overload.latency_estimator import LatencyEstimator
from lilacwalk.overload.model import Request, RequestState
from lilacwalk.overload.server_load import ServerLoad
from lilacwalk.overload.stall_detector import StallDetector
from lilacwalk.overload.tenant_quota import TenantQuota
from lilacwalk.overload.termination import Termination

# Maximum number of dependency calls, pending or in progress, for each execution that the
# concurrency limit permits.
CALLS_PER_EXECUTION = 4
_weight_per_work = attrgetter("weight_per_work")


@dataclass(eq=False, kw_only=True, slots=True)
class Scheduler:
    """Dispatches queued requests by weight per work. `ServerLoad` owns the queue."""

    context: BatchContext
    load: ServerLoad
    concurrency: ConcurrencyLimit
    stall_detector: StallDetector
    latency: LatencyEstimator
    feasibility: Feasibility
    dependency: DependencyLimiter
    quota: TenantQuota
    deduplication: Deduplication
    termination: Termination

    def dispatch_queued(self) -> None:
        """Ends queued requests that cannot finish in time; dispatches others up to the limit."""
        self._drop_infeasible()
        if self.stall_detector.stalled:
            return
        load = self.load
        while load.queue and load.running < self.concurrency.limit:
            candidates = self._dispatchable()
            if not candidates:
                return
            self._dispatch(max(candidates, key=_weight_per_work))

    def _drop_infeasible(self) -> None:
        can_finish_in_time = self.feasibility.can_finish_in_time
        infeasible = [request for request in self.load.queue if not can_finish_in_time(request, 0)]
        for request in infeasible:
            self.latency.record_response(request, self.context.now)
            self.termination.reject_or_fail(request, do_not_retry_elsewhere=True)

    def _dispatchable(self) -> list[Request]:
        """Queued requests that can be dispatched now.

        Excludes requests that call the dependency while too many calls are pending or in progress,
        requests whose execution would exceed the memory limit, and duplicates whose original is
        also queued.
        """
        load = self.load
        dependency = self.dependency
        calls = len(dependency.pending) + dependency.in_progress
        calls_at_limit = calls >= CALLS_PER_EXECUTION * self.concurrency.limit
        memory_limit_kb = load.memory_limit_kb()
        return [
            request
            for request in load.queue
            if not (calls_at_limit and request.request_class.calls_dependency)
            and not (request.duplicate_of and request.duplicate_of.state is RequestState.QUEUED)
            and load.memory_kb + load.execution_memory_kb(request) <= memory_limit_kb
        ]

    def _dispatch(self, request: Request) -> None:
        now = self.context.now
        self.load.queue.remove(request)
        request.was_dispatched = True
        request.dispatched_at = now
        self.quota.count_dispatch()
        self.load.begin_execution(request, now)
        self.load.reserve_memory(self.load.execution_memory_kb(request))
        self.context.sink.dispatch(request)
        self.deduplication.coalesce_queued_duplicates(request)
