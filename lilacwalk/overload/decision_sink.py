"""The interface through which the controller issues its decisions."""

from __future__ import annotations

from typing import Protocol

from lilacwalk.overload.model import Request


class DecisionSink(Protocol):
    """Carries out the controller's decisions.

    The controller handles the events of one point in time together, as a batch. Its decisions take
    effect at the time of the batch, to which "now" and durations in the methods refer. Times and
    durations are in tenths of a millisecond.
    """

    def dispatch(self, request: Request, /) -> None:
        """Starts the execution of a queued request."""

    def reject(
        self, request: Request, retry_after: int = 0, do_not_retry_elsewhere: bool = False, /
    ) -> None:
        """Responds that the request was not executed.

        If `retry_after` is 0, the response has no retry-after. `do_not_retry_elsewhere` asks the
        client not to retry the request on another server.
        """

    def fail(self, request: Request, /) -> None:
        """Responds that the request's outcome is unknown or that it did not finish in time."""

    def cancel(self, request: Request, /) -> None:
        """Cancels a running execution whose result is no longer needed."""

    def coalesce(self, request: Request, /) -> None:
        """Responds to a duplicate with the original request's result, once that result is known."""

    def register_key(self, request: Request, lifetime: int, /) -> None:
        """Stores the request's idempotency key for the duration `lifetime` from now."""

    def release_key(self, request: Request, /) -> None:
        """Removes the idempotency key of a request that was never executed."""

    def call_dependency(self, request: Request, timeout_at: int, /) -> None:
        """Makes the pending dependency call of a request; the call times out at `timeout_at`."""

    def skip_dependency_call(self, request: Request, /) -> None:
        """Continues the execution of a request without its dependency call."""

    def report_health(self, healthy: bool, /) -> None:
        """Reports whether new requests should be sent to this server."""

    def report_load(self, value: float, /) -> None:
        """Sends a load report to clients; `LoadReportKind` defines the meaning of `value`."""

    def close_idle_connections(self, after: int, /) -> None:
        """Closes client connections that have been idle for `after`, until the next such decision.

        If `after` is 0, only the idle limits of the frontends apply.
        """

    def set_timer(self, after: int, /) -> None:
        """Requests one `TimerExpired` event after the duration `after`."""

    def log(self, text: str, /) -> None:
        """Writes a log line."""
