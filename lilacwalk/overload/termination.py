"""Ends requests: deadlines, rejections with a retry-after, cancellation and resource release."""

from __future__ import annotations

from dataclasses import dataclass

from lilacwalk.overload.admission import AdmissionControl
from lilacwalk.overload.batch_context import BatchContext
from lilacwalk.overload.deduplication import Deduplication
from lilacwalk.overload.dependency_limiter import DependencyLimiter
from lilacwalk.overload.drain import Drain
from lilacwalk.overload.latency_estimator import LatencyEstimator
from lilacwalk.overload.model import Effect, Request, RequestState, ServerSettings, StopMode
from lilacwalk.overload.server_load import ServerLoad
from lilacwalk.overload.stall_detector import StallDetector
from lilacwalk.overload.tenant_quota import TenantQuota


@dataclass(eq=False, kw_only=True, slots=True)
class Termination:
    """Answers requests that are not completed, and frees resources. Has no state of its own."""

    context: BatchContext
    server: ServerSettings
    load: ServerLoad
    drain: Drain
    stall_detector: StallDetector
    admission: AdmissionControl
    latency: LatencyEstimator
    dependency: DependencyLimiter
    quota: TenantQuota
    deduplication: Deduplication

    def reject_or_fail(self, request: Request, *, do_not_retry_elsewhere: bool = False) -> None:
        """Rejects the request, or fails it if it may have had a side effect.

        A request that is not executing is also released; an execution is cancelled if possible.
        """
        if self._may_have_had_side_effect(request):
            self.context.sink.fail(request)
        else:
            self.context.sink.reject(request, self._retry_after(), do_not_retry_elsewhere)
        request.answered = True
        if request.state in (RequestState.QUEUED, RequestState.COALESCED):
            self.release(request)
        else:
            self._cancel_execution(request)

    @staticmethod
    def _may_have_had_side_effect(request: Request) -> bool:
        if request.request_class.effect is Effect.IDEMPOTENT:
            return False
        original = request.duplicate_of
        return request.was_dispatched or (original is not None and original.was_dispatched)

    def _retry_after(self) -> int:
        """The retry-after of a rejection, in tenths of a millisecond.

        It grows as the admission probability falls, and is at its maximum during a stall or drain.
        """
        is_unavailable = self.stall_detector.stalled or self.drain.is_active
        share = 1.0 if is_unavailable else 1 - self.admission.admission_probability
        return int(self.server.max_retry_after * share)

    def _cancel_execution(self, request: Request) -> None:
        """Cancels the execution if it is running, idempotent and can be cancelled.

        Others continue: a duplicate of a request with side effects may need its result.
        """
        if (
            request.state is RequestState.RUNNING
            and request.request_class.effect is Effect.IDEMPOTENT
            and self.server.stop_mode is not StopMode.NONE
        ):
            self.context.sink.cancel(request)

    def abandon(self, request: Request) -> None:
        """Ends a request whose client has disconnected or withdrawn it, without a response."""
        if request.state in (RequestState.QUEUED, RequestState.COALESCED):
            self.release(request)
        elif request.state is not RequestState.FINISHED:
            request.answered = True
            self._cancel_execution(request)

    def deadline_reached(self, request: Request) -> None:
        """Answers a request that was not completed by its deadline."""
        if request.answered:
            return
        if request.was_dispatched:
            self.context.sink.fail(request)
            request.answered = True
            self._cancel_execution(request)
        else:
            self.reject_or_fail(request, do_not_retry_elsewhere=True)

    def objective_missed(self, request: Request) -> None:
        """Ends a request that missed its latency objective, as its response is no longer useful.

        An execution that may have side effects continues, because ending it could cause a retry.
        """
        is_idempotent = request.request_class.effect is Effect.IDEMPOTENT
        if request.answered or (request.was_dispatched and not is_idempotent):
            return
        now = self.context.now
        if request.was_dispatched and request.state is not RequestState.UNCONFIRMED:
            elapsed = now - request.dispatched_at - request.dependency_wait
            self.latency.record_execution(request, elapsed)
        self.latency.record_response(request, now)
        self.reject_or_fail(request, do_not_retry_elsewhere=True)

    def reject_or_fail_all(self, include_side_effects: bool) -> None:
        """Ends all unanswered requests.

        Those that may have had a side effect are ended only if `include_side_effects` is true.
        """
        for request in list(self.load.open_requests):
            if not request.answered and (
                include_side_effects
                or request.request_class.effect is Effect.IDEMPOTENT
                or not request.was_dispatched
            ):
                self.reject_or_fail(request)

    def release(self, request: Request) -> None:
        """Frees the resources of an ended request.

        If the request was not dispatched, its first queued duplicate takes its place.
        """
        match request.state:
            case RequestState.QUEUED:
                if request in self.load.queue:
                    self.load.queue.remove(request)
            case RequestState.RUNNING:
                self.load.end_execution()
            case RequestState.CALL_PENDING:
                self.dependency.pending.remove(request)
            case RequestState.CALL_IN_PROGRESS:
                elapsed = self.context.now - request.call_pending_since
                self.dependency.end_call(elapsed, is_abandoned=True)
        self.load.remove(request)
        if not request.was_dispatched:
            self.quota.refund(request)
            self._reject_duplicates_after_grace(request)
            self.deduplication.replace_unexecuted(request)

    def _reject_duplicates_after_grace(self, request: Request) -> None:
        """Rejects the queued duplicates that may not take the place of a request in a drain."""
        for duplicate in list(request.duplicates):
            if duplicate.state is RequestState.QUEUED and self.drain.forbids_execution(
                duplicate.arrived_at
            ):
                self.reject_or_fail(duplicate)
