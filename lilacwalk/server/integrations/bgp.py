"""Connects the event loop to the BGP speaker, which runs in a thread of its own.

Loaded only if the operator's file has an announce block. The event loop reports the node's state
when it has changed, and during a drain it checks whether the listener may close.
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
    """Called in the event loop's thread when the level of the announcements changes."""

    def __call__(self, withdrawn: bool, /) -> None:
        """Handles the change.

        `withdrawn` is true if this node's announcements are withdrawn because it is unhealthy.
        """


class BgpIntegration:
    """Owns the speaker and its admin socket.

    All public methods run in the event loop's thread. The speaker's thread reports through the
    event queue.
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
            seed: the seed of the speaker's random delays.
            event_queue: the queue of the event loop.
            now: returns the event loop's time in tenths of a millisecond.
            on_withdrawn: called when the announcement level changes.

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
        self.reported_state: NodeStatus | None = None
        self.listener_closes_at: int | None = None  # None until the withdrawal has been sent

    def start(self) -> None:
        """Starts the speaker and the admin socket."""
        self.speaker.start()
        if self.admin_socket is not None:
            self.admin_socket.start()

    def end(self, timeout: float) -> None:
        """Ends the BGP sessions; waits up to `timeout` seconds for the speaker's thread."""
        self.speaker.end(timeout)
        if self.admin_socket is not None:
            self.admin_socket.close()

    def evaluate(self, facts: tuple, now: int) -> None:
        """Reports the node state to the speaker if it has changed, unless a drain has started.

        `facts` are the fields of `readiness.Facts`, in their order.
        """
        if self.reported_state is NodeStatus.LEAVING:
            return
        state = node_status(Facts(*facts), now)
        if state is not self.reported_state and state is not NodeStatus.LEAVING:
            self.reported_state = state
            self.speaker.set_node_status(state)

    def drain(self, close_delay: int) -> None:
        """Withdraws the announcements at the start of a drain.

        `close_delay` is the maximum time until the listener is closed, in tenths of a millisecond.
        """
        self.reported_state = NodeStatus.LEAVING
        self.speaker.leave(close_delay)

    def listener_may_close(self, now: int) -> bool:
        """Whether the withdrawal has taken effect, so that a drain may close the listener."""
        if self.speaker.ended.is_set():
            return True
        return self.listener_closes_at is not None and now >= self.listener_closes_at

    def set_withdrawal_allowed(self, allowed: bool) -> None:
        """Sets whether this node may withdraw its announcements when it is unhealthy.

        The membership allows it only if enough other members serve.
        """
        self.speaker.set_withdrawal_allowed(allowed)

    def set_own_service_mode(self, mode: str) -> None:
        """Limits announcements of this site's own services; `mode` is `whole`, `part` or `none`."""
        self.speaker.set_level_cap(LEVELS_BY_SERVICE_MODE[mode])

    def announce_failover_prefixes(self, prefixes: tuple[object, ...]) -> None:
        """Announces these service prefixes of failed sites, and no other prefixes of such sites."""
        self.speaker.set_failover_services(tuple(Service(prefix=prefix) for prefix in prefixes))

    def restore_flap_penalty(
        self, penalty: float, suppressed: bool, announced: bool, age: int
    ) -> None:
        """Restores the flap damping that an earlier process stored.

        The arguments are those of `flap_penalty_state` and their age in tenths of a millisecond.
        """
        self.speaker.restore_penalty(penalty, suppressed, announced, age)

    def flap_penalty_state(self) -> tuple[float, bool, bool]:
        """Returns the state of flap damping.

        The speaker's thread owns these values; they are read without a lock.

        Returns:
            The flap penalty, whether it suppresses announcements, and whether this node announces
            any service.
        """
        policy = self.speaker.state.announcement_policy
        is_leaving = policy.node_status in (NodeStatus.LEAVING, NodeStatus.GONE)
        return (
            policy.penalty.value_at(self.speaker.now()),
            policy.penalty.suppressed,
            policy.level is not Level.NONE and not is_leaving,
        )

    def _announcement_level_changed(self, level: Level) -> None:
        """Passes a changed level to the event loop; runs in the speaker's thread."""
        self.event_queue.post(self._apply_announcement_level, level)

    def _apply_announcement_level(self, level: Level) -> None:
        self.on_withdrawn(level is Level.NONE and self.reported_state in UNHEALTHY_STATUSES)

    def _withdrawal_sent(self, close_delay: int) -> None:
        """Passes the time until the listener may close to the event loop.

        Runs in the speaker's thread, after the withdrawal has been sent.
        """
        self.event_queue.post(self._schedule_listener_close, close_delay)

    def _schedule_listener_close(self, close_delay: int) -> None:
        self.listener_closes_at = self.now() + close_delay
