"""Compacts a store that no process has open."""

from __future__ import annotations

from dataclasses import dataclass

from lilacwalk.storage.disk import Disk
from lilacwalk.storage.journal import Journal
from lilacwalk.storage.operations import Durability, JournalLimits, OperationKind, WriteRequest
from lilacwalk.storage.recovery import LOG_PREFIX, SNAPSHOT_PREFIX
from lilacwalk.storage.store import open_journal, perform


@dataclass(frozen=True, slots=True)
class CompactionResult:
    """Total size of logs and snapshots before and after a compaction, and the rows that remain."""

    bytes_before: int
    bytes_after: int
    row_count: int


def compact(disk: Disk, unix_now: int) -> CompactionResult:
    """Writes snapshots of the rows that have not expired and removes the files that they replace.

    No other process may have the store open. `unix_now` is Unix time in tenths of a ms.

    Raises:
        OSError: the disk cannot be read or written.
    """
    bytes_before = _used_bytes(disk)
    row_count = 0
    # The store retains two snapshots. The older logs become obsolete only when both are new.
    for _ in range(2):
        journal = open_journal(
            disk, Durability.SYNCED, JournalLimits(batch_delay=0, snapshot_after_bytes=0), 0
        ).journal
        for table, key in journal.state.expired_keys(unix_now, len(journal.state)):
            journal.append(WriteRequest(table, key, None, 0, unix_now), 0)
        _write_snapshot(disk, journal)
        row_count = len(journal.state)
    return CompactionResult(bytes_before, _used_bytes(disk), row_count)


def _write_snapshot(disk: Disk, journal: Journal) -> None:
    """Performs the journal's operations until a snapshot is published and no work remains."""
    is_published = False
    while (
        not is_published or journal.snapshot is not None or journal.files.obsolete or journal.batch
    ):
        operation = journal.next_operation(0)
        if operation is None:
            return
        perform(disk, operation)
        journal.operation_done(0)
        if operation.kind is OperationKind.PUBLISH:
            is_published = True
            # The default `snapshot_after_bytes` instead of 0 prevents a second snapshot.
            journal.limits = JournalLimits(batch_delay=0)


def _used_bytes(disk: Disk) -> int:
    """Returns the total size of the log files and snapshots."""
    return sum(
        len(disk.read(name))
        for name in disk.list_files()
        if name.startswith((LOG_PREFIX, SNAPSHOT_PREFIX))
    )
