"""The host of the membership state machine: its thread, its UDP socket and its clock.

Other threads reach the state machine through one queue. All timing uses the monotonic clock; the
wall clock is read only for the incarnation and the records on disk.
"""

from __future__ import annotations

import logging
import os
import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from queue import Empty, SimpleQueue
from typing import TypeVar

from lilacwalk.event_queue import EventQueue
from lilacwalk.membership.actions import MembershipEvent
from lilacwalk.membership.conclusions import Verdict
from lilacwalk.membership.config import SECOND, FleetConfig, member_config
from lilacwalk.membership.errors import FleetError, MachineTimeoutError, MissingNameError
from lilacwalk.membership.hooks import PeriodicEvaluation, ViewListener
from lilacwalk.membership.keys import read_keys
from lilacwalk.membership.member_store import MemberStore
from lilacwalk.membership.messages import Datagram, NodeState
from lilacwalk.membership.swim import Membership
from lilacwalk.membership.transport import DatagramTransport

__all__ = [
    "EVALUATION_INTERVAL",
    "SECOND",
    "FleetError",
    "FleetHost",
    "MachineTimeoutError",
    "read_keys",
]

log = logging.getLogger(__name__)
Result = TypeVar("Result")

EVALUATION_INTERVAL = 2_000  # tenths of a millisecond between two periodic evaluations
EVENTS_PER_ITERATION = 64  # events handled between two readings of the clock
LEAVE_ROUNDS = 3  # announcements of a leave: were all of them lost, it would look like a crash
LEAVE_PAUSE_SECONDS = 0.05  # between two announcements
RANDOM_SEED_BYTES = 8
NANOSECONDS_PER_TICK = 100_000  # a tick is a tenth of a millisecond


@dataclass(frozen=True, slots=True)
class PublishedView:
    """The state that the view listener was last notified of."""

    digest: int
    verdict: Verdict
    may_withdraw: bool


class FleetHost:
    """Runs one member of the fleet.

    Owns the state machine and its thread, the transport and the store. `stopped` is set when the
    thread has ended or is to end, `failed` if an unexpected exception ended it.
    """

    def __init__(
        self,
        config: FleetConfig,
        name: str = "",
        on_view: ViewListener | None = None,
        clock: Callable[[], int] = time.monotonic_ns,
        wall_clock: Callable[[], float] = time.time,
        revision: str = "",
        on_evaluate: PeriodicEvaluation | None = None,
    ) -> None:
        """Opens the socket; `start` starts the thread.

        Args:
            config: the `fleet` block.
            name: the member's name, used if the block gives none.
            on_view: notified of changes.
            clock: returns the elapsed time in nanoseconds.
            wall_clock: returns the Unix time in seconds.
            revision: the program's revision, which is published to other members.
            on_evaluate: called at intervals of at least `EVALUATION_INTERVAL`.

        Raises:
            FleetError: the key file cannot be used, or there is no name.
            OSError: the address cannot be used.
        """
        if not (config.name or name):
            raise MissingNameError
        self.config = config
        self.name = config.name or name
        self.clock = clock
        self.wall_clock = wall_clock
        self.revision = revision
        self.on_view = on_view
        self.on_evaluate = on_evaluate
        self.next_evaluation_at = self.now()
        self.event_queue = EventQueue()
        self.stopped = threading.Event()
        self.failed = False
        self.machine: Membership | None = None
        self.transport = DatagramTransport(
            config.listen, read_keys(config.key), self.event_queue, self._receive, self.stopped
        )
        self.store = MemberStore(
            config.store,
            self.event_queue,
            self.now,
            wall_clock,
            self.stopped,
            self._restore_incarnation,
        )
        self._published: PublishedView | None = None
        self._thread = threading.Thread(target=self._run, name="fleet", daemon=True)

    def now(self) -> int:
        """Returns the elapsed time in tenths of a millisecond."""
        return self.clock() // NANOSECONDS_PER_TICK

    # Called from other threads

    def start(self) -> None:
        """Starts the state machine's thread."""
        self._thread.start()

    def update_metadata(self, state: NodeState | None = None, **fields: object) -> None:
        """Changes the metadata that this member publishes; see LocalNode.update_metadata."""
        self.event_queue.post(self._update_metadata, state, fields)

    def reload(self, config: FleetConfig) -> None:
        """Applies a changed block, except for address, name, storage and admin socket.

        Changes of these take effect at the next start.

        Raises:
            FleetError: the key file cannot be used; nothing has changed.
        """
        keys = read_keys(config.key)
        needs_restart = (
            config.listen != self.config.listen
            or (config.name or self.name) != self.name
            or config.store != self.config.store
            or config.socket != self.config.socket
        )
        if needs_restart:
            detail = "changes of address, name, storage or socket take effect at the next start"
            log.warning({"event": "fleet_reload", "detail": detail})
        self.event_queue.post(self._reload, config, keys)

    def leave(self, timeout: float = 1.0) -> None:
        """Announces that this member leaves, then ends its threads.

        Without the announcement the other members would declare it dead.

        Args:
            timeout: seconds to wait for the state machine's thread.
        """
        self.event_queue.post(self._leave)
        if threading.current_thread() is not self._thread:
            self._thread.join(timeout)
        self.close()

    def close(self) -> None:
        """Ends the threads and closes the socket; sends no announcement that this member leaves."""
        self.stopped.set()
        self.transport.close()

    def query(self, function: Callable[[Membership, int], Result], timeout: float = 2.0) -> Result:
        """Runs a function in the state machine's thread and returns its result.

        Args:
            function: called with the state machine and the time in tenths of a millisecond.
            timeout: seconds to wait for the result.

        Raises:
            MachineTimeoutError: the thread does not answer in time.
        """
        results: SimpleQueue[Result] = SimpleQueue()
        self.event_queue.post(lambda: results.put(function(self._machine(), self.now())))
        try:
            return results.get(timeout=timeout)
        except Empty:
            raise MachineTimeoutError(timeout) from None

    # Run in the state machine's thread

    def _machine(self) -> Membership:
        assert (
            self.machine is not None
        ), "the state machine is created before the thread handles events"
        return self.machine

    def _run(self) -> None:
        try:
            self.machine = self._create_machine()
            self.transport.start()
            log.info(
                {
                    "event": "fleet_started",
                    "name": self.name,
                    "site": self.config.site,
                    "life": self.machine.identity.incarnation,
                    "store": self.store.state,
                }
            )
            while not self.stopped.is_set():
                self._iterate(self.machine)
        except Exception:
            self.failed = True
            log.exception("event=fleet_failed")
        finally:
            self.stopped.set()
            self.store.close()

    def _create_machine(self) -> Membership:
        stored = self.store.load()
        return Membership(
            member_config(self.config, self.name),
            random.Random(int.from_bytes(os.urandom(RANDOM_SEED_BYTES), "big")),
            self.now(),
            int(self.wall_clock() * 1000),
            stored.incarnation,
            stored.members,
            self.revision,
        )

    def _iterate(self, machine: Membership) -> None:
        """Handles queued events, advances the state machine and sends its output."""
        self._handle_events(self._seconds_until_due(machine))
        # An iteration may be late: queued datagrams are read before deadlines are checked, unless
        # these are overdue by more than a probe interval.
        is_overdue = machine.next_deadline() + machine.interval < self.now()
        if self.event_queue.empty() or is_overdue:
            machine.tick(self.now())
        self._carry_out(machine)
        if self.on_evaluate is not None and self.now() >= self.next_evaluation_at:
            self.next_evaluation_at = self.now() + EVALUATION_INTERVAL
            self.on_evaluate(machine, self.now())

    def _seconds_until_due(self, machine: Membership) -> float:
        due_at = machine.next_deadline()
        if self.on_evaluate is not None:
            due_at = min(due_at, self.next_evaluation_at)
        return max(0, due_at - self.now()) / SECOND

    def _handle_events(self, timeout: float) -> None:
        """Waits up to `timeout` seconds for an event, then handles a batch of queued events."""
        try:
            event = self.event_queue.get(timeout=timeout) if timeout else self._next_event()
            for _ in range(EVENTS_PER_ITERATION):
                event()
                event = self._next_event()
            event()
        except Empty:
            return

    def _next_event(self) -> Callable[[], None]:
        return self.event_queue.get_nowait()

    def _carry_out(self, machine: Membership) -> None:
        for action in machine.take_datagrams():
            self.transport.send(action)
        for event in machine.take_events():
            _log_event(event)
        self.store.write_due(machine.identity.incarnation, machine.view, self.name)
        if self.on_view is not None:
            self._publish(machine, self.on_view)

    def _publish(self, machine: Membership, on_view: ViewListener) -> None:
        now = self.now()
        verdict = machine.conclusion(now).verdict
        may_withdraw = machine.may_withdraw(now, verdict)
        view = PublishedView(machine.view.digest, verdict, may_withdraw)
        if view != self._published:
            self._published = view
            on_view(machine, verdict, may_withdraw)

    # Events posted by other threads, handled in the state machine's thread

    def _receive(self, datagram: Datagram) -> None:
        self._machine().receive(datagram, self.now())

    def _restore_incarnation(self, incarnation: int) -> None:
        self._machine().restore_incarnation(incarnation, self.now())

    def _update_metadata(self, state: NodeState | None, fields: dict[str, object]) -> None:
        self._machine().update_metadata(self.now(), state=state, **fields)

    def _reload(self, config: FleetConfig, keys: tuple[bytes, ...]) -> None:
        self.config = config
        self.transport.use_keys(keys)
        self._machine().reconfigure(member_config(config, self.name), self.now())
        log.info({"event": "fleet_reloaded", "seeds": len(config.seed), "keys": len(keys)})

    def _leave(self) -> None:
        machine = self._machine()
        machine.leave()
        self._carry_out(machine)
        for _ in range(LEAVE_ROUNDS - 1):
            time.sleep(LEAVE_PAUSE_SECONDS)
            machine.repeat_leave()
            self._carry_out(machine)
        self.stopped.set()


def _log_event(event: MembershipEvent) -> None:
    log.info(
        {
            "event": "fleet_member",
            "change": event.change,
            "member": event.member,
            "why": event.reason,
            "by": event.reported_by,
        }
    )
