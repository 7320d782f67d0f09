"""Admission decision for each received request."""

from __future__ import annotations

from dataclasses import dataclass

from lilacwalk.overload.admission import AdmissionControl
from lilacwalk.overload.batch_context import BatchContext
from lilacwalk.overload.drain import Drain
from lilacwalk.overload.feasibility import Feasibility
from lilacwalk.overload.model import Effect, Request, ServerSettings
from lilacwalk.overload.server_load import ServerLoad
from lilacwalk.overload.stall_detector import StallDetector
from lilacwalk.overload.tenant_quota import TenantQuota
from lilacwalk.overload.termination import Termination

# Admission probability below which rejected clients are asked not to retry on other servers.
SHORTAGE_PROBABILITY = 0.9


@dataclass(eq=False, kw_only=True, slots=True)
class AdmissionGate:
    """Admits requests or rejects them immediately. Has no state of its own.

    `deadline_margin` is in tenths of a millisecond.
    """

    context: BatchContext
    server: ServerSettings
    load: ServerLoad
    drain: Drain
    stall_detector: StallDetector
    admission: AdmissionControl
    feasibility: Feasibility
    quota: TenantQuota
    termination: Termination
    deadline_margin: int

    def admit(self, request: Request) -> bool:
        """Decides on a request; if it is not admitted, also answers and ends it.

        Returns:
            Whether the request is admitted.
        """
        # Drawn even if another check rejects the request, so that the sequence of random draws
        # depends on arrivals only.
        passes_draw = self.admission.draw()
        if self._cannot_serve(request):
            self.termination.reject_or_fail(request)
            return False
        must_reject = self.quota.must_reject(request)
        if must_reject or not passes_draw or not self._is_feasible(request):
            self.termination.reject_or_fail(
                request,
                do_not_retry_elsewhere=must_reject or self._retry_elsewhere_is_wasteful(request),
            )
            return False
        self.quota.spend(request)
        return True

    def _cannot_serve(self, request: Request) -> bool:
        """Whether the server accepts no requests now, or no time is left for this one."""
        if request.deadline - self.context.now <= self.deadline_margin:
            return True
        if self.drain.forbids_execution(request.arrived_at):
            return True
        if self.stall_detector.stalled:
            return True
        is_deduplicated = request.request_class.effect is Effect.DEDUPLICATED
        key_kb = self.server.deduplication_entry_kb if is_deduplicated else 0
        return self.load.memory_kb + key_kb > self.load.memory_limit_kb()

    def _is_feasible(self, request: Request) -> bool:
        """Whether the request can finish in time behind the requests that are queued now."""
        queue_wait = self.feasibility.queue_wait(request)
        return self.feasibility.can_finish_in_time(request, queue_wait)

    def _retry_elsewhere_is_wasteful(self, request: Request) -> bool:
        """Whether retries on other servers would cost more than they gain.

        Each further attempt makes another server read the request, and a large fleet allows many
        attempts. Retries elsewhere are wasteful if the request is itself a retry, if it is too late
        for any server, or if this server currently rejects many requests. The last condition holds
        even if only this server is slow; it then prevents attempts that a faster server would
        complete.
        """
        return not self.drain.is_active and (
            request.is_retry
            or self.admission.admission_probability < SHORTAGE_PROBABILITY
            or not self.feasibility.can_finish_in_time(request, 0)
        )
