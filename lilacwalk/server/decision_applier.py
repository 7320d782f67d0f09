"""Carries out the controller's decisions: responses, commands, dependency calls, timers."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from lilacwalk.overload.model import Request
from lilacwalk.requests.records import FinalStatus

if TYPE_CHECKING:
    from lilacwalk.server.event_loop import EventLoop

log = logging.getLogger(__name__)


class DecisionApplier:
    """The controller's `DecisionSink` in the app server.

    Every decision is applied at once, except that a dispatch may wait for an effect record.
    If a client disconnects while an event of its request is in the batch, the controller may decide
    on a request that is no longer in flight; such a decision is ignored.

    Owns the health, the advertised capacity and the idle limit that the controller last reported,
    and the time of the next report to the service registry. Times and durations are in tenths of a
    millisecond.
    """

    def __init__(self, event_loop: EventLoop) -> None:
        """Sets the state before the first decision: healthy, without advertised capacity."""
        self._event_loop = event_loop
        self._requests = event_loop.requests
        self._in_flight = event_loop.requests.in_flight.by_request
        self._result_cache = event_loop.requests.result_cache
        self.is_healthy = True
        self.advertised_capacity: float | None = None  # None: nothing is advertised yet
        self.close_idle_after = 0  # 0: frontends use limits of their own
        self.next_report_at = 0

    def dispatch(self, request: Request) -> None:
        """Dispatches the request, at once or after its effect record has been written."""
        entry = self._in_flight[request]
        if self._requests.effect_gate.may_dispatch(entry):
            self._event_loop.executor.commands.dispatch(entry)

    def reject(
        self, request: Request, retry_after: int = 0, do_not_retry_elsewhere: bool = False
    ) -> None:
        """Rejects a request; if `retry_after` is 0, the response has no retry-after.

        If retry storms are damped, the damper may change `retry_after`.
        """
        entry = self._in_flight.get(request)
        if entry is None:
            return
        retry_storms = self._event_loop.subsystems.retry_storms
        if retry_storms is not None:
            retry_after = retry_storms.spread_retry_after(
                request, retry_after, self._event_loop.now
            )
        self._requests.respond(
            entry,
            FinalStatus.REJECTED,
            retry_after=retry_after,
            do_not_retry_elsewhere=do_not_retry_elsewhere,
        )
        self._requests.release_if_not_executing(entry)

    def fail(self, request: Request) -> None:
        """Responds that the outcome is unknown or that the request did not finish in time."""
        entry = self._in_flight.get(request)
        if entry is not None:
            self._requests.respond(entry, FinalStatus.FAILED)
            self._requests.release_if_not_executing(entry)

    def cancel(self, request: Request) -> None:
        """Sends the executor the command to cancel the execution."""
        entry = self._in_flight.get(request)
        if entry is not None:
            self._event_loop.executor.commands.cancel(entry)

    def coalesce(self, request: Request) -> None:
        """Responds to a duplicate with the original's result, now or when the original ends.

        If the original has ended and its result is not known, responds that the duplicate failed.
        """
        entry = self._in_flight.get(request)
        if entry is None:
            return
        original = request.duplicate_of
        if original in self._in_flight:
            entry.awaits_result_of = original
            return
        cached = None
        if entry.cache_key is not None:
            cached = self._result_cache.find(entry.cache_key, request.arrived_at)
        is_known = cached is not None and cached.request is original
        self._requests.respond_to_duplicate(entry, cached.result if is_known else None)

    def register_key(self, request: Request, lifetime: int) -> None:
        """Stores the request's idempotency key for the duration `lifetime` from now."""
        entry = self._in_flight.get(request)
        if entry is not None and entry.cache_key is not None:
            expires_at = self._event_loop.now + lifetime
            self._result_cache.put(entry.cache_key, request, expires_at, entry.body)

    def release_key(self, request: Request) -> None:
        """Removes the idempotency key of a request that was never executed."""
        entry = self._in_flight.get(request)
        if entry is not None:
            self._requests.release_key(entry)

    def call_dependency(self, request: Request, timeout_at: int) -> None:
        """Starts the dependency call for which the execution waits."""
        self._event_loop.dependency_calls.start(self._in_flight[request], timeout_at)

    def skip_dependency_call(self, request: Request) -> None:
        """Sends the executor the command to continue the execution without its call."""
        self._event_loop.dependency_calls.skip(self._in_flight[request])

    def report_health(self, is_healthy: bool) -> None:
        """Sets the health that is reported to probes and to the service registry."""
        self.is_healthy = is_healthy

    def report_load(self, value: float) -> None:
        """Sets the capacity that responses advertise."""
        self.advertised_capacity = value

    def close_idle_connections(self, after: int) -> None:
        """Sets the idle time after which frontends close connections; 0: their own limits apply."""
        self.close_idle_after = after

    def set_timer(self, after: int) -> None:
        """Sets the controller's next timer, which expires after the duration `after`."""
        self._event_loop.set_controller_timer(after)

    def log(self, text: str) -> None:
        """Writes a message of the controller to the log."""
        log.info("event=controller text=%r", text)
