"""Storage of the membership on disk: opens the store in its own thread and writes due records.

The membership never waits for the disk, however slow it is, except for a short time at the start.
"""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable
from queue import Empty, SimpleQueue
from typing import Protocol

from lilacwalk.event_queue import EventQueue
from lilacwalk.membership.config import SECOND
from lilacwalk.membership.persistence import (
    INCARNATION_KEY,
    MEMBERS_KEY,
    RETRY_INTERVAL,
    PersistenceSchedule,
    StoredMembership,
    StoreState,
    decode_incarnation,
    decode_members,
)
from lilacwalk.membership.view import MembershipView
from lilacwalk.storage.disk import Directory
from lilacwalk.storage.operations import Durability, JournalLimits
from lilacwalk.storage.state import Table
from lilacwalk.storage.store import Store

log = logging.getLogger(__name__)
STORE_LIMITS = JournalLimits(
    segment_bytes=1_000_000,
    snapshot_after_bytes=2_000_000,
    max_disk_bytes=16_000_000,
    max_pending=64,
)
OPEN_TIMEOUT_SECONDS = 0.5  # limit on the time for which the start waits for the disk
STOP_TIMEOUT_SECONDS = 0.2
# added to the time at which records are read: only records that never expire are returned
FAR_FUTURE = 1 << 60


class IncarnationLoaded(Protocol):
    """Receives the incarnation of the last process after it has been read from disk."""

    def __call__(self, incarnation: int) -> None:
        """Called in the state machine's thread."""


class MemberStore:
    """The store of one member; without a path nothing is stored.

    Owns the store, the thread that opens it and the schedule of writes. Everything except opening
    the store runs in the state machine's thread.
    """

    def __init__(
        self,
        path: str | None,
        event_queue: EventQueue,
        clock: Callable[[], int],
        wall_clock: Callable[[], float],
        stopped: threading.Event,
        on_incarnation: IncarnationLoaded,
    ) -> None:
        """Prepares the store; `load` opens it.

        Args:
            path: a directory, None to store nothing.
            event_queue: the queue of the state machine's thread.
            clock: returns the elapsed time in tenths of a millisecond.
            wall_clock: returns the Unix time in seconds.
            stopped: set by the host to end attempts to open the store.
            on_incarnation: called when the store has been read.
        """
        self.path = path
        self.event_queue = event_queue
        self.clock = clock
        self.wall_clock = wall_clock
        self.stopped = stopped
        self.on_incarnation = on_incarnation
        self.schedule = PersistenceSchedule(path is not None, clock())
        self.store: Store | None = None
        self._first_result: SimpleQueue[StoredMembership] = SimpleQueue()

    @property
    def state(self) -> StoreState:
        """The state of the storage."""
        return self.schedule.state

    def load(self) -> StoredMembership:
        """Starts opening the store; returns its content, or none if the disk is slow or fails."""
        if self.path is None:
            return StoredMembership()
        threading.Thread(target=self._open, name="fleet-store", daemon=True).start()
        try:
            return self._first_result.get(timeout=OPEN_TIMEOUT_SECONDS)
        except Empty:
            reason = f"not read within {OPEN_TIMEOUT_SECONDS} s; starting without stored state"
            log.warning({"event": "fleet_store", "state": "opening", "why": reason})
            return StoredMembership()

    def write_due(self, incarnation: int, view: MembershipView, own_name: str) -> None:
        """Writes the records that are due, and logs changes of the storage's state."""
        now = self.clock()
        if self.store is not None:
            wall = self._wall_time()
            for record in self.schedule.take_due_records(incarnation, view, own_name, now):
                self.store.put(
                    Table.FLEET, record.key, record.value, written_at=wall, token=record.key
                )
        for change in self.schedule.take_changes():
            log.warning({"event": "fleet_store", "state": change.state, "why": change.reason})

    def close(self) -> None:
        """Ends the store's thread."""
        if self.store is not None:
            self.store.close(STOP_TIMEOUT_SECONDS)

    def _wall_time(self) -> int:
        """Returns the Unix time in tenths of a millisecond."""
        return int(self.wall_clock() * SECOND)

    def _open(self) -> None:
        """Opens and reads the store, with retries; runs in a thread of its own."""
        is_first_attempt = True
        while not self.stopped.is_set():
            try:
                store = Store(
                    Directory(self.path), Durability.SYNCED, STORE_LIMITS, self._post_write_result
                )
            except Exception as error:  # noqa: BLE001 - a damaged store must not end the membership
                reason = getattr(error, "strerror", None) or str(error)
                if is_first_attempt:
                    self._first_result.put(StoredMembership())
                    is_first_attempt = False
                self.event_queue.post(self._open_failed, reason)
                self.stopped.wait(RETRY_INTERVAL / SECOND)
                continue
            stored = self._read(store)
            store.start()
            self.event_queue.post(self._opened, store, stored.incarnation)
            if is_first_attempt:
                self._first_result.put(stored)
            return

    def _read(self, store: Store) -> StoredMembership:
        rows = store.recovered.state.rows_of_table(Table.FLEET, self._wall_time() + FAR_FUTURE)
        values = {row.key: row.value for row in rows}
        return StoredMembership(
            decode_incarnation(values.get(INCARNATION_KEY)),
            tuple(decode_members(values.get(MEMBERS_KEY))),
        )

    def _post_write_result(self, key: bytes, succeeded: bool) -> None:
        """Passes a result to the state machine's thread; runs in the store's thread."""
        self.event_queue.post(self._write_finished, key, succeeded)

    def _opened(self, store: Store, incarnation: int) -> None:
        self.store = store
        self.schedule.store_opened(incarnation)
        self.on_incarnation(incarnation)

    def _open_failed(self, reason: str) -> None:
        self.schedule.open_failed(reason, self.clock())

    def _write_finished(self, key: bytes, succeeded: bool) -> None:
        self.schedule.write_finished(key, succeeded, self.clock())
