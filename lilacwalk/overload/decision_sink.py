"""The interface through which the controller issues its decisions."""

from __future__ import annotations

from typing import Protocol

from lilacwalk.overload.model import Request


class DecisionSink(Protocol):
    """Carries out the controller's decisions, each at the time of the current batch.

    Times and durations are in tenths of a millisecond.
    """

    def dispatch(self, request: Request, /) -> None:
        """Starts the execution of a queued request."""

    def reject(
        self, request: Request, retry_after: int = 0, do_not_retry_elsewhere: bool = False, /
    ) -> None:
        """Answers that the request was not executed; `retry_after` 0: none is sent."""

    def fail(self, request: Request, /) -> None:
        """Answers that the outcome of the request is unknown."""

    def cancel(self, request: Request, /) -> None:
        """Cancels a running execution whose result is no longer needed."""

    def coalesce(self, request: Request, /) -> None:
        """Answers a duplicate with the result of the original request."""

    def register_key(self, request: Request, lifetime: int, /) -> None:
        """Stores the request's idempotency key for `lifetime`."""

    def release_key(self, request: Request, /) -> None:
        """Removes the idempotency key of a request that was never executed."""

    def call_dependency(self, request: Request, timeout_at: int, /) -> None:
        """Makes the pending dependency call, which times out at `timeout_at`."""

    def skip_dependency_call(self, request: Request, /) -> None:
        """Continues the execution without its dependency call."""

    def report_health(self, healthy: bool, /) -> None:
        """Reports whether new requests should be sent to this server."""

    def report_load(self, value: float, /) -> None:
        """Sends a load report; `LoadReportKind` defines the meaning of `value`."""

    def close_idle_connections(self, after: int, /) -> None:
        """Closes connections that have been idle for `after`; 0: none is closed."""

    def set_timer(self, after: int, /) -> None:
        """Requests one `TimerExpired` event after the duration `after`."""

    def log(self, text: str, /) -> None:
        """Writes a log line."""
