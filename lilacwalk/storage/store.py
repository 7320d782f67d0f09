"""The store: one thread that performs the journal's operations on the disk.

Writers put write requests into the thread's queue and never wait. The store calls a callback in
its thread to report whether a record is persisted.
"""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from queue import Empty, SimpleQueue
from typing import Protocol

from lilacwalk.storage.disk import PARTIAL_SUFFIX, Disk
from lilacwalk.storage.journal import Journal
from lilacwalk.storage.operations import (
    SECOND,
    DiskOperation,
    Durability,
    JournalLimits,
    JournalMode,
    OperationKind,
    WriteRequest,
)
from lilacwalk.storage.recovery import SNAPSHOT_PREFIX, RecoveryResult, recover

log = logging.getLogger(__name__)
# Time between two scans for expired rows. A scan of 10,000 rows takes a millisecond.
EXPIRY_INTERVAL = 10 * SECOND
MAX_EXPIRED_ROWS = 500  # per scan, so that other work can run between two scans
CLOSE_TIMEOUT = 2.0  # seconds
NANOSECONDS_PER_TICK = 100_000  # a tick is a tenth of a millisecond


class PersistedCallback(Protocol):
    """Callback for the result of a write that was put with a token."""

    def __call__(self, token: object, is_persisted: bool, /) -> None:
        """Handles the result for the record with this token. Called in the store's thread.

        `is_persisted`: whether the record is as durable as configured.
        """
        ...


class ModeCallback(Protocol):
    """Callback for a change of the journal's mode."""

    def __call__(self, mode: JournalMode, reason: str, /) -> None:
        """Handles the new mode and the reason for it. Called in the store's thread."""
        ...


def ignore_persisted(_token: object, _is_persisted: bool, /) -> None:
    """Ignores whether records are persisted."""


def ignore_mode(_mode: JournalMode, _reason: str, /) -> None:
    """Ignores changes of the journal's mode."""


@dataclass(frozen=True, slots=True)
class OpenedJournal:
    """A journal and the result of its recovery."""

    journal: Journal
    recovered: RecoveryResult


def open_journal(
    disk: Disk, durability: Durability, limits: JournalLimits, now: int
) -> OpenedJournal:
    """Recovers the rows, truncates and quarantines damaged files, and continues the log.

    `now` is elapsed time in tenths of a ms.

    Raises:
        OSError: the disk cannot be read or written.
    """
    recovered = recover(disk.list_files(), disk.read)
    for name in recovered.quarantined:
        disk.quarantine(name)
    for truncation in recovered.truncations:
        disk.truncate(truncation.name, truncation.size)
    for name in disk.list_files():
        if name.endswith(PARTIAL_SUFFIX):
            disk.remove(name)  # the process ended before the file was complete
    journal = Journal(
        recovered.state,
        recovered.next_sequence,
        recovered.log_bytes,
        disk.list_files(),
        durability,
        limits,
        now,
    )
    return OpenedJournal(journal, recovered)


def perform(disk: Disk, operation: DiskOperation) -> None:
    """Performs an operation of the journal on the disk. Raises OSError."""
    is_snapshot = operation.name.startswith(SNAPSHOT_PREFIX)
    name = operation.name + PARTIAL_SUFFIX if is_snapshot else operation.name
    match operation.kind:
        case OperationKind.BEGIN:
            disk.create(name, operation.data)
        case OperationKind.APPEND:
            disk.append(name, operation.data)
        case OperationKind.SYNC:
            disk.sync(name)
        case OperationKind.PUBLISH:
            disk.publish(operation.name)
        case OperationKind.DROP:
            for obsolete in operation.names:
                disk.remove(obsolete)


class Store:
    """Rows that survive a crash of the process, and the thread that writes them.

    After `start`, only the thread `storage` may access the journal and the disk, until `close`.

    Attributes:
        disk: the disk.
        journal: the journal.
        recovered: result of the recovery when the store was opened.
        thread: the store's thread.
        has_failed: whether an unexpected exception has ended the thread; nothing is written then.
    """

    def __init__(
        self,
        disk: Disk,
        durability: Durability,
        limits: JournalLimits = JournalLimits(),
        on_persisted: PersistedCallback = ignore_persisted,
        clock: Callable[[], int] = time.monotonic_ns,
        on_mode_change: ModeCallback = ignore_mode,
        wall_clock: Callable[[], int] = time.time_ns,
    ) -> None:
        """Recovers the rows from the disk.

        Args:
            disk: the disk.
            durability: when a record counts as persisted.
            limits: limits of the journal.
            on_persisted: called with the result for each record that has a token.
            clock: returns elapsed time in nanoseconds.
            on_mode_change: called when the journal's mode changes or a snapshot fails.
            wall_clock: returns Unix time in nanoseconds.

        Raises:
            OSError: the disk cannot be read or written.
        """
        self.disk = disk
        self.on_persisted = on_persisted
        self.on_mode_change = on_mode_change
        self.clock = clock
        self.wall_clock = wall_clock
        opened = open_journal(disk, durability, limits, self.now())
        self.journal = opened.journal
        self.recovered = opened.recovered
        for warning in self.recovered.warnings:
            log.warning({"event": "storage_recovered", "detail": warning})
        self.thread = threading.Thread(target=self._run, name="storage", daemon=True)
        self.has_failed = False
        self._write_queue: SimpleQueue[WriteRequest | None] = SimpleQueue()  # None closes the store
        self._is_closing = False
        self._next_expiry_scan = self.now() + EXPIRY_INTERVAL

    def now(self) -> int:
        """Returns elapsed time in tenths of a ms."""
        return self.clock() // NANOSECONDS_PER_TICK

    def start(self) -> None:
        """Starts the thread."""
        self.thread.start()

    def put(
        self,
        table: int,
        key: bytes,
        value: bytes | None,
        expires_at: int = 0,
        written_at: int = 0,
        token: object = None,
    ) -> None:
        """Queues a write that sets a row, or removes it if `value` is None.

        May be called in any thread; never waits for the disk.

        `expires_at`, `written_at`: Unix time in tenths of a ms. If `token` is not None,
        `on_persisted` is called with it.
        """
        self._write_queue.put(WriteRequest(table, key, value, expires_at, written_at, token))

    def close(self, timeout: float = CLOSE_TIMEOUT) -> None:
        """Writes all queued records and joins the thread.

        Returns after `timeout` seconds even if the disk hangs.
        """
        self._write_queue.put(None)
        self.thread.join(timeout)

    # Methods of the store's thread

    def _run(self) -> None:
        try:
            while self._run_once():
                pass
        except Exception:
            self.has_failed = True
            log.exception("event=storage_failed")

    def _run_once(self) -> bool:
        """Takes queued writes, performs at most one disk operation and calls the callbacks.

        Returns False once the store is closing and no operation remains.
        """
        journal = self.journal
        self._take_writes(0.0 if self._is_closing else self._wait_timeout())
        journal.check_slow_operation(self.now())
        # While the store is closing, a batch is written without waiting for more records.
        skipped_batch_delay = journal.limits.batch_delay if self._is_closing else 0
        operation = journal.next_operation(self.now() + skipped_batch_delay)
        if operation is not None:
            self._perform(operation)
        for acknowledgement in journal.take_acknowledgements():
            self.on_persisted(acknowledgement.token, acknowledgement.is_persisted)
        for change in journal.take_mode_changes():
            log.warning({"event": "storage", "mode": change.mode, "reason": change.reason})
            self.on_mode_change(change.mode, change.reason)
        self._remove_expired_rows()
        return not self._is_closing or operation is not None

    def _wait_timeout(self) -> float | None:
        """Returns the seconds until the journal's next deadline; None if it has no deadline."""
        deadline = self.journal.next_deadline(self.now())
        return None if deadline is None else max(0, deadline - self.now()) / SECOND

    def _take_writes(self, timeout: float | None) -> None:
        """Passes queued writes to the journal, up to a full batch.

        Waits up to `timeout` seconds for the first one; without limit if it is None.
        """
        journal = self.journal
        should_block = timeout is None or timeout > 0
        try:
            write = self._write_queue.get(block=should_block, timeout=timeout)
            while write is not None:
                is_accepted = journal.append(write, self.now())
                if not is_accepted and write.token is not None:
                    self.on_persisted(write.token, False)
                if journal.batch_bytes >= journal.limits.batch_bytes:
                    return
                write = self._write_queue.get_nowait()
            self._is_closing = True
        except Empty:
            return

    def _perform(self, operation: DiskOperation) -> None:
        try:
            perform(self.disk, operation)
        except OSError as error:
            self.journal.operation_failed(error.errno or 0, self.now())
        else:
            self.journal.operation_done(self.now())

    def _remove_expired_rows(self) -> None:
        """Removes up to MAX_EXPIRED_ROWS expired rows by writing records, if a scan is due."""
        if self.now() < self._next_expiry_scan:
            return
        unix_now = self.wall_clock() // NANOSECONDS_PER_TICK
        expired = self.journal.state.expired_keys(unix_now, MAX_EXPIRED_ROWS)
        is_scan_complete = len(expired) < MAX_EXPIRED_ROWS
        self._next_expiry_scan = self.now() + (EXPIRY_INTERVAL if is_scan_complete else 0)
        for table, key in expired:
            self.journal.append(WriteRequest(table, key, None, 0, unix_now), self.now())
