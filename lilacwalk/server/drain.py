"""The drain: ends the process after SIGTERM, within the stop timeout."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from lilacwalk.limits import SECOND
from lilacwalk.overload.events import DrainStarted
from lilacwalk.requests.records import FinalStatus

if TYPE_CHECKING:
    from lilacwalk.server.event_loop import EventLoop

log = logging.getLogger(__name__)

POLL_INTERVAL = SECOND // 100  # time between two checks whether the drain can continue


class Drain:
    """Waits for requests in flight to end, and closes the listeners and then the connections.

    The controller decides which requests are still admitted and when requests are abandoned. The
    drain ends at most `limits.stop_timeout` after the stop signal; the last
    `limits.drain_flush_margin` of that time is reserved for closing connections.

    Owns the time at which the process stops.
    """

    def __init__(self, event_loop: EventLoop) -> None:
        """Creates a drain that has not started."""
        self._event_loop = event_loop
        self._notified_at = 0  # in tenths of a millisecond, like `stop_at`
        self.stop_at = 0  # 0 until the drain starts

    @property
    def is_started(self) -> bool:
        """Whether the drain has started."""
        return bool(self.stop_at)

    def start(self, notified_at: int | None = None) -> None:
        """Starts the drain; further calls have no effect.

        All times of the drain count from `notified_at`, the time of the stop signal in tenths of a
        millisecond, or from now if it is None.
        """
        if self.is_started:
            return
        event_loop = self._event_loop
        now = event_loop.now
        self._notified_at = now if notified_at is None else min(notified_at, now)
        self.stop_at = self._notified_at + event_loop.limits.stop_timeout
        self._log_start()
        if event_loop.controller is not None:
            self.notify_controller()
        for frontend in event_loop.frontends:
            frontend.start_draining(now)
        grace_ends_at = (
            self._notified_at
            + event_loop.server.drain_grace_period
            + event_loop.limits.housekeeping_interval
        )
        listeners_close_at = min(grace_ends_at, self._flush_starts_at())
        if event_loop.subsystems.bgp is not None:
            event_loop.subsystems.bgp.drain(max(0, listeners_close_at - now))
        event_loop.schedule(listeners_close_at, self.close_listeners)

    def notify_controller(self) -> None:
        """Reports the drain to the controller if it has started.

        Also called for a controller that is created after the start of the drain.
        """
        if self.is_started:
            self._event_loop.controller_events.append(
                DrainStarted(self._flush_starts_at(), self._notified_at)
            )

    def close_listeners(self) -> None:
        """Closes the listeners, because a refused connection costs a client less than a rejection.

        If the service is announced by BGP, the listeners are closed only after the withdrawal has
        been sent and has had time to propagate, or when the stop timeout allows no more delay.
        """
        event_loop = self._event_loop
        bgp = event_loop.subsystems.bgp
        if bgp is not None:
            is_withdrawn = bgp.listener_may_close(event_loop.now)
            if not is_withdrawn and event_loop.now < self._flush_starts_at():
                event_loop.schedule(event_loop.now + POLL_INTERVAL, self.close_listeners)
                return
            bgp.end(0.0)
        for frontend in event_loop.frontends:
            frontend.stop_accepting()
        self._close_connections()

    def in_flight_summary(self) -> str:
        """Returns log fields on requests in flight, open requests, executions, calls and memory.

        At the end of a drain, all but the memory should be 0; the memory includes idempotency keys
        that have not expired. Without a controller, only `in_flight` is returned.
        """
        in_flight = len(self._event_loop.requests.in_flight)
        controller = self._event_loop.controller
        if controller is None:
            return f"in_flight={in_flight}"
        calls = controller.calls_in_progress + len(controller.pending_calls)
        return (
            f"in_flight={in_flight} open={len(controller.open_requests)} "
            f"running={controller.running} calls={calls} memory_kb={int(controller.memory_kb)}"
        )

    def _close_connections(self) -> None:
        """Closes idle connections, at intervals, until none is open or the stop timeout is near.

        Shortly before the stop timeout, fails the requests that are still in flight and closes all
        connections. Then ends the process.
        """
        event_loop = self._event_loop
        margin = event_loop.limits.drain_flush_margin
        is_final = event_loop.now >= self.stop_at - margin // 2
        if is_final:
            for entry in list(event_loop.requests.in_flight.by_id.values()):
                event_loop.requests.respond(entry, FinalStatus.FAILED)
        for frontend in event_loop.frontends:
            frontend.close_idle_connections(event_loop.now, is_final)
        is_drained = all(frontend.is_drained() for frontend in event_loop.frontends)
        if is_drained or event_loop.now >= self.stop_at - margin // 4:
            self._log_end()
            event_loop.has_ended = True
        else:
            event_loop.schedule(event_loop.now + POLL_INTERVAL, self._close_connections)

    def _flush_starts_at(self) -> int:
        """The time by which the controller must have decided on all requests.

        The time from then until `stop_at` is reserved for sending responses.
        """
        return self.stop_at - self._event_loop.limits.drain_flush_margin

    def _log_start(self) -> None:
        event_loop = self._event_loop
        membership = event_loop.subsystems.membership
        log.info(
            "event=drain_started in_flight=%d connections=%d delay_ms=%.1f%s",
            len(event_loop.requests.in_flight),
            len(event_loop.proxy_frontend.connections),
            (event_loop.now - self._notified_at) / 10,
            f" draining_members={membership.draining_peers}" if membership is not None else "",
        )

    def _log_end(self) -> None:
        event_loop = self._event_loop
        log.info(
            "event=stopped connections=%d flushed=%s %s",
            len(event_loop.proxy_frontend.connections),
            all(frontend.is_flushed() for frontend in event_loop.frontends),
            self.in_flight_summary(),
        )
