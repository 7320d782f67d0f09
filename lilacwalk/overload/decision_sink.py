"""The interface through which the controller's decisions are carried out."""

from __future__ import annotations

from typing import Protocol

from lilacwalk.overload.model import Request


class DecisionSink(Protocol):
    """Carries out decisions. Each takes effect at the time of the batch.

    Times and durations are tenths of a millisecond.
    """

    def dispatch(self, request: Request, /) -> None:
        """Starts the execution of a queued request."""

    def reject(
        self, request: Request, retry_after: int = 0, do_not_retry_elsewhere: bool = False, /
    ) -> None:
        """Answers that the request is not served; `retry_after` of 0 names no time."""

    def fail(self, request: Request, /) -> None:
        """Answers that the outcome of the request is unknown."""

    def cancel(self, request: Request, /) -> None:
        """Stops a running execution whose result nobody needs."""

    def coalesce(self, request: Request, /) -> None:
        """Answers a duplicate with the result of the request that it duplicates."""

    def register_key(self, request: Request, lifetime: int, /) -> None:
        """Keeps the request's idempotency key for `lifetime`."""

    def release_key(self, request: Request, /) -> None:
        """Drops the idempotency key of a request that was never executed."""

    def call_dependency(self, request: Request, timeout_at: int, /) -> None:
        """Makes the pending dependency call, with a timeout at `timeout_at`."""

    def skip_dependency_call(self, request: Request, /) -> None:
        """Lets the execution continue without its dependency call."""

    def report_health(self, healthy: bool, /) -> None:
        """Tells whether new requests should be sent here."""

    def report_load(self, value: float, /) -> None:
        """Advertises a load report; `LoadReportKind` says what the value means."""

    def close_idle_connections(self, after: int, /) -> None:
        """Closes connections that stay idle for `after`; 0 keeps them open."""

    def set_timer(self, after: int, /) -> None:
        """Asks for one `TimerExpired` event after `after`."""

    def log(self, text: str, /) -> None:
        """Writes a line for operators."""
