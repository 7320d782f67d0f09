"""The BGP speaker beside the event loop, loaded only where the file has an announce block.

The event loop reports the node's state after each iteration in which it changed, and asks only when
a drain may close the listener.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from lilacwalk.bgp.admin import create_admin_socket
from lilacwalk.bgp.announcement_policy import UNHEALTHY_STATUSES, Level, NodeStatus
from lilacwalk.bgp.config import BgpConfig, Service
from lilacwalk.bgp.readiness import Facts, node_status
from lilacwalk.bgp.speaker_io import Speaker
from lilacwalk.event_queue import EventQueue

LEVELS_BY_SERVICE_MODE = {
    "whole": Level.NORMAL,
    "part": Level.LESS_WANTED,
    "none": Level.NONE,
}


class WithdrawalListener(Protocol):
    """Told whether this node's announcements are withdrawn because it is unhealthy."""

    def __call__(self, withdrawn: bool, /) -> None:
        """Called in the event loop's thread."""


class BgpIntegration:
    """Owns the speaker and its admin socket.

    The event loop calls all methods; reports of the speaker's thread go through the event queue.
    """

    def __init__(
        self,
        config: BgpConfig,
        seed: int,
        event_queue: EventQueue,
        now: Callable[[], int],
        on_withdrawn: WithdrawalListener,
    ) -> None:
        """Opens the sockets.

        Args:
            config: the announce block.
            seed: of the speaker's random delays.
            event_queue: of the event loop.
            now: the event loop's clock in tenths of a millisecond.
            on_withdrawn: told of changes.

        Raises:
            OSError: a socket cannot be opened.
        """
        self.event_queue = event_queue
        self.now = now
        self.on_withdrawn = on_withdrawn
        self.speaker = Speaker(
            config, seed, self._withdrawal_sent, on_level_change=self._announcement_level_changed
        )
        self.admin_socket = None
        if config.socket is not None:
            try:
                self.admin_socket = create_admin_socket(self.speaker, config.socket)
            except OSError:
                if self.speaker.listener is not None:
                    self.speaker.listener.close()
                raise
        self.reported_node: NodeStatus | None = None
        self.listener_closes_at: int | None = None  # known once the withdrawal was sent

    def start(self) -> None:
        """Starts the threads."""
        self.speaker.start()
        if self.admin_socket is not None:
            self.admin_socket.start()

    def end(self, timeout: float) -> None:
        """Ends the sessions; waits up to `timeout` seconds for the speaker's thread."""
        self.speaker.end(timeout)
        if self.admin_socket is not None:
            self.admin_socket.close()

    def evaluate(self, facts: tuple, now: int) -> None:
        """Reports a changed node state; `facts` are those of `readiness.Facts`, in their order."""
        if self.reported_node is NodeStatus.LEAVING:
            return
        state = node_status(Facts(*facts), now)
        if state is not self.reported_node and state is not NodeStatus.LEAVING:
            self.reported_node = state
            self.speaker.set_node_status(state)

    def drain(self, listener_in: int) -> None:
        """Withdraws the announcements; `listener_in` is in tenths of a millisecond."""
        self.reported_node = NodeStatus.LEAVING
        self.speaker.leave(listener_in)

    def listener_may_close(self, now: int) -> bool:
        """Whether a drain need not wait for the withdrawal any longer."""
        if self.speaker.ended.is_set():
            return True
        return self.listener_closes_at is not None and now >= self.listener_closes_at

    def set_withdrawal_allowed(self, allowed: bool) -> None:
        """Whether the fleet has room for this node to withdraw as unhealthy."""
        self.speaker.set_withdrawal_allowed(allowed)

    def set_own_service_mode(self, mode: str) -> None:
        """Limits the announcements of the own services: `whole`, `part` or `none` of them."""
        self.speaker.set_level_cap(LEVELS_BY_SERVICE_MODE[mode])

    def announce_failover_prefixes(self, prefixes: tuple[object, ...]) -> None:
        """Announces the services of failed sites beside the own ones; replaces an earlier call."""
        self.speaker.set_failover_services(tuple(Service(prefix=prefix) for prefix in prefixes))

    def restore_flap_penalty(
        self, penalty: float, suppressed: bool, announced: bool, age: int
    ) -> None:
        """Takes over flap damping of an earlier process, from `age` tenths of a millisecond ago."""
        self.speaker.restore_penalty(penalty, suppressed, announced, age)

    def flap_penalty_state(self) -> tuple[float, bool, bool]:
        """Returns the penalty, whether it suppresses announcements, and whether we are announced.

        The speaker's thread owns these; they are read as they are at this moment.
        """
        announcing = self.speaker.state.announcement_policy
        is_leaving = announcing.node_status in (NodeStatus.LEAVING, NodeStatus.GONE)
        return (
            announcing.penalty.value_at(self.speaker.now()),
            announcing.penalty.suppressed,
            announcing.level is not Level.NONE and not is_leaving,
        )

    def _announcement_level_changed(self, level: Level) -> None:
        """Runs in the speaker's thread."""
        self.event_queue.post(self._apply_announcement_level, level)

    def _apply_announcement_level(self, level: Level) -> None:
        self.on_withdrawn(level is Level.NONE and self.reported_node in UNHEALTHY_STATUSES)

    def _withdrawal_sent(self, listener_in: int) -> None:
        """Runs in the speaker's thread."""
        self.event_queue.post(self._schedule_listener_close, listener_in)

    def _schedule_listener_close(self, listener_in: int) -> None:
        self.listener_closes_at = self.now() + listener_in
