"""Decides when records are written, synced and acknowledged, and when files change. No I/O.

The journal returns the next disk operation, and the caller reports whether it succeeded. At most
one operation is in progress. Records that arrive meanwhile form the next batch, so that batches
grow with the disk's latency (group commit). A batch waits at most `batch_delay` for more records.

In the modes FULL, READ_ONLY and FAILED the journal writes nothing and refuses records; after
DISK_RETRY_DELAY it tries the disk again. A failed write leaves a gap in the log, and recovery does
not read beyond a gap. Only a snapshot of all rows makes the files complete again, so the journal
writes a snapshot before any further batch.
"""

from __future__ import annotations

import errno

from lilacwalk.storage.acknowledgements import AcknowledgementQueue
from lilacwalk.storage.operations import (
    SECOND,
    Acknowledgement,
    DiskOperation,
    Durability,
    JournalLimits,
    JournalMode,
    ModeChange,
    OperationKind,
    WriteRequest,
)
from lilacwalk.storage.records import Record, encode_header, encode_record
from lilacwalk.storage.recovery import LOG_PREFIX, SNAPSHOT_PREFIX
from lilacwalk.storage.snapshot_writer import SnapshotWriter
from lilacwalk.storage.state import State
from lilacwalk.storage.store_files import StoreFiles, sequence_number_in

DISK_RETRY_DELAY = 5 * SECOND  # a full disk rarely gets free space sooner
MODES_BY_ERRNO = {
    errno.ENOSPC: JournalMode.FULL,
    errno.EDQUOT: JournalMode.FULL,
    errno.EFBIG: JournalMode.FULL,
    errno.EROFS: JournalMode.READ_ONLY,
    errno.EACCES: JournalMode.READ_ONLY,
}
WRITABLE_MODES = (JournalMode.NORMAL, JournalMode.SLOW)


class Journal:
    """State of the log: the current batch, the operation in progress, the files and the rows.

    Once the store has started, only the store's thread may access the journal and its `state`.
    Times are elapsed time in tenths of a ms, except those in rows, which are Unix time.
    """

    def __init__(
        self,
        state: State,
        next_sequence: int,
        log_bytes: int,
        file_names: list[str],
        durability: Durability,
        limits: JournalLimits,
        now: int,
    ) -> None:
        """Continues the log after a recovery.

        Args:
            state: the recovered rows.
            next_sequence: sequence number of the next record.
            log_bytes: see `recovery.RecoveryResult`.
            file_names: names of all files in the directory.
            durability: when a record counts as persisted.
            limits: see `JournalLimits`.
            now: current time.
        """
        self.state = state
        self.next_sequence = next_sequence
        self.durability = durability
        self.limits = limits
        self.mode = JournalMode.NORMAL
        self.mode_changes: list[ModeChange] = []
        self._mode_since = now  # time at which the mode was last set
        self.files = StoreFiles(file_names, log_bytes)
        # The batch, and the records that are not persisted yet
        self.batch: list[bytes] = []
        self.batch_bytes = 0
        self.pending = AcknowledgementQueue()
        self.written_sequence = next_sequence - 1  # last record passed to the operating system
        self._synced_sequence = next_sequence - 1  # last record synced to the disk
        self._batch_deadline: int | None = None
        # The operation in progress
        self._operation: DiskOperation | None = None
        self._operation_since = now
        self._appended_sequence = 0  # last record of the append operation in progress
        self._has_unsynced_records = False
        self.snapshot: SnapshotWriter | None = None  # snapshot being written
        self._has_log_gap = False  # a failed write left a gap in the log

    # Records and acknowledgements

    def append(self, write: WriteRequest, now: int) -> bool:
        """Adds a record to the batch.

        If the record has a token, `take_acknowledgements` returns its acknowledgement when the
        record is as durable as configured, or when the disk has failed or is too slow.

        Returns:
            False if the record is refused: it is never persisted and never acknowledged.
        """
        if not self._accepts_records():
            return False
        record = Record(
            self.next_sequence,
            write.table,
            write.key,
            write.value,
            write.expires_at,
            write.written_at,
        )
        self.next_sequence += 1
        self.state.apply(record)
        data = encode_record(record)
        self.batch.append(data)
        self.batch_bytes += len(data)
        if self._batch_deadline is None:
            self._batch_deadline = now + self.limits.batch_delay
        if write.token is not None:
            self._expect_acknowledgement(record.sequence, write.token, now)
        return True

    def _accepts_records(self) -> bool:
        has_disk_space = self.files.reserved_bytes < self.limits.max_disk_bytes
        return (
            self.mode in WRITABLE_MODES
            and len(self.pending) < self.limits.max_pending
            and has_disk_space
        )

    def _expect_acknowledgement(self, sequence: int, token: object, now: int) -> None:
        if self.durability is Durability.NONE:
            self.pending.add_acknowledgement(token, is_persisted=True)
        elif self.mode is JournalMode.SLOW:  # the disk may never write the record
            self.pending.add_acknowledgement(token, is_persisted=False)
        else:
            self.pending.add(sequence, token, now)

    def take_acknowledgements(self) -> list[Acknowledgement]:
        """Returns the acknowledgements that were added since the last call."""
        return self.pending.take()

    def take_mode_changes(self) -> list[ModeChange]:
        """Returns the mode changes and failed snapshots since the last call, oldest first."""
        changes, self.mode_changes = self.mode_changes, []
        return changes

    # The next operation

    def next_operation(self, now: int) -> DiskOperation | None:
        """Returns the next operation, or None if one is in progress or nothing is due.

        The caller must perform the operation, then call `operation_done` or `operation_failed`.
        """
        if self._operation is not None:
            return None
        if self.mode not in WRITABLE_MODES:
            if now - self._mode_since < DISK_RETRY_DELAY:
                return None
            self._change_mode(JournalMode.NORMAL, "retrying the disk", now)
            self.files.segment = ""  # the current log file may end with a torn record
            self.snapshot = None
        self._operation = self._choose_operation(now)
        self._operation_since = now
        return self._operation

    def _choose_operation(self, now: int) -> DiskOperation | None:
        if names := self.files.take_obsolete():
            return DiskOperation(OperationKind.DROP, names[0], names=names)
        if self._has_log_gap:  # recovery would not read records beyond the gap
            return self._continue_snapshot()
        if self._is_batch_ready(now):
            return self._write_batch()
        if self._needs_sync():
            return DiskOperation(OperationKind.SYNC, self.files.segment)
        if self.snapshot is not None or self._is_snapshot_due():
            return self._continue_snapshot()
        return None

    def _is_batch_ready(self, now: int) -> bool:
        if not self.batch:
            return False
        is_due = self._batch_deadline is not None and self._batch_deadline <= now
        return is_due or self.batch_bytes >= self.limits.batch_bytes

    def _needs_sync(self) -> bool:
        return self._has_unsynced_records and self.durability is Durability.SYNCED

    def _is_snapshot_due(self) -> bool:
        return self.files.bytes_since_snapshot >= self.limits.snapshot_after_bytes

    def _write_batch(self) -> DiskOperation:
        """Returns the operation that appends the batch, or one that must precede it."""
        files = self.files
        if not files.segment or files.segment_bytes >= self.limits.segment_bytes:
            if self._has_unsynced_records and files.segment:
                # Without the sync, a crash could lose records before the first one of the new file.
                return DiskOperation(OperationKind.SYNC, files.segment)
            first = self.next_sequence - len(self.batch)
            name = files.begin_segment(first)
            return DiskOperation(OperationKind.BEGIN, name, encode_header(first))
        data = b"".join(self.batch)
        self._clear_batch()
        self._appended_sequence = self.next_sequence - 1
        return DiskOperation(OperationKind.APPEND, files.segment, data)

    def _clear_batch(self) -> None:
        self.batch = []
        self.batch_bytes = 0
        self._batch_deadline = None

    # Deadlines

    def next_deadline(self, now: int) -> int | None:
        """Returns when the caller must act even if no record arrives; None if it need not.

        At this time the caller must call `check_slow_operation` and `next_operation`.
        """
        deadlines = []
        if self.mode not in WRITABLE_MODES:
            deadlines.append(self._mode_since + DISK_RETRY_DELAY)
        elif self._operation is None:
            if self._has_immediate_work():
                return now
            if self._batch_deadline is not None:
                is_full = self.batch_bytes >= self.limits.batch_bytes
                deadlines.append(now if is_full else self._batch_deadline)
        if (oldest_at := self.pending.oldest_at) is not None:
            deadlines.append(oldest_at + self.limits.slow_sync_time)
        return min(deadlines, default=None)

    def _has_immediate_work(self) -> bool:
        return (
            self.snapshot is not None
            or bool(self.files.obsolete)
            or self._has_log_gap
            or self._needs_sync()
            or self._is_snapshot_due()
        )

    def check_slow_operation(self, now: int) -> None:
        """Changes to the mode SLOW if the oldest record has been pending for `slow_sync_time`.

        All pending records are then acknowledged as not persisted.
        """
        oldest_at = self.pending.oldest_at
        if oldest_at is None or now - oldest_at < self.limits.slow_sync_time:
            return
        operation = self._operation.kind.name.lower() if self._operation else "none"
        self._change_mode(
            JournalMode.SLOW,
            f"record pending for {self.limits.slow_sync_time / SECOND:g} s, "
            f"disk operation in progress: {operation}",
            now,
        )
        self.pending.fail_pending()

    # Results of operations

    def operation_done(self, now: int) -> None:
        """Handles the success of the operation in progress."""
        operation, self._operation = self._operation, None
        assert operation is not None
        is_log = operation.name.startswith(LOG_PREFIX)
        match operation.kind:
            case OperationKind.BEGIN if is_log:
                self.files.log_created(operation.name, len(operation.data))
            case OperationKind.APPEND if is_log:
                self.files.log_grew(operation.name, len(operation.data))
                self.written_sequence = self._appended_sequence
                self._has_unsynced_records = True
            case OperationKind.BEGIN | OperationKind.APPEND:
                self.files.snapshot_bytes += len(operation.data)
            case OperationKind.SYNC:
                self._synced(now)
            case OperationKind.PUBLISH:
                self._published(operation.name)
            case OperationKind.DROP:
                self.files.removed(operation.names)
        is_synced = self.durability is Durability.SYNCED
        self.pending.acknowledge(self._synced_sequence if is_synced else self.written_sequence)

    def _synced(self, now: int) -> None:
        self._synced_sequence = self.written_sequence
        self._has_unsynced_records = False
        is_fast = now - self._operation_since < self.limits.slow_sync_time // 2
        if self.mode is JournalMode.SLOW and is_fast:
            self._change_mode(
                JournalMode.NORMAL,
                f"sync took less than {self.limits.slow_sync_time / 2 / SECOND:g} s",
                now,
            )

    def operation_failed(self, error_number: int, now: int) -> None:
        """Handles the failure of the operation in progress; `error_number` is its errno.

        If only a snapshot failed and the disk is not full or read-only, the log continues.
        Otherwise pending records are acknowledged as not persisted, even if a part of the batch
        reached the disk. Their sequence numbers are not reused; the next log file begins with a
        higher number.
        """
        operation, self._operation = self._operation, None
        assert operation is not None
        if operation.name.startswith(SNAPSHOT_PREFIX) and error_number not in MODES_BY_ERRNO:
            # The next snapshot is due when the log has grown by `snapshot_after_bytes`.
            self.snapshot = None
            self.mode_changes.append(
                ModeChange(
                    JournalMode.NORMAL, f"snapshot {operation.name} failed: errno {error_number}"
                )
            )
            return
        mode = MODES_BY_ERRNO.get(error_number, JournalMode.FAILED)
        operation_text = f"{operation.kind.name.lower()} of {operation.name}"
        self._change_mode(mode, f"{operation_text} failed: errno {error_number}", now)
        self.pending.fail_pending()
        self._clear_batch()
        self.snapshot = None
        self._has_unsynced_records = False
        self._has_log_gap = True

    def _change_mode(self, mode: JournalMode, reason: str, now: int) -> None:
        if mode is not self.mode:
            self.mode = mode
            self._mode_since = now
            self.mode_changes.append(ModeChange(mode, reason))
        elif mode is not JournalMode.NORMAL:
            self._mode_since = now

    # Snapshots

    def _continue_snapshot(self) -> DiskOperation:
        if self.snapshot is None:
            return self._begin_snapshot()
        operation = self.snapshot.next_operation()
        if operation.kind is OperationKind.PUBLISH:
            self.snapshot = None
        return operation

    def _begin_snapshot(self) -> DiskOperation:
        if self._has_log_gap:
            # The rows, and so the snapshot, include the records that are missing from the log. The
            # next log file begins with the record after them.
            self.written_sequence = self.next_sequence - 1 - len(self.batch)
        self.snapshot = SnapshotWriter(self.state, self.written_sequence)
        self.files.begin_snapshot()
        return self.snapshot.first_operation()

    def _published(self, name: str) -> None:
        if self._has_log_gap:
            self._has_log_gap = False
            self._synced_sequence = sequence_number_in(name)
            self.files.segment = ""
        self.files.snapshot_published(name)
