"""Produces the disk operations that write one snapshot, some rows per operation. No I/O."""

from __future__ import annotations

from lilacwalk.storage.operations import DiskOperation, OperationKind
from lilacwalk.storage.records import Record, encode_header, encode_record
from lilacwalk.storage.recovery import SNAPSHOT_END_TABLE, SNAPSHOT_PREFIX, file_name
from lilacwalk.storage.state import State

ROWS_PER_OPERATION = 2_000  # a few milliseconds of work, during which no batch is written


class SnapshotWriter:
    """A snapshot being written. Owned by the journal.

    A row that changes while the snapshot is being written is copied with its value at the time of
    its operation. Recovery replays the log after loading the snapshot, so that each row gets its
    newest value.
    """

    def __init__(self, state: State, sequence: int) -> None:
        """Prepares a snapshot of the rows of `state`.

        `sequence` is the number of the last record that the snapshot is guaranteed to include.
        """
        self.file_name = file_name(SNAPSHOT_PREFIX, sequence)
        self._state = state
        self._sequence = sequence
        self._remaining_keys = list(state.rows)
        self._written_row_count = 0
        self._is_end_record_written = False

    def first_operation(self) -> DiskOperation:
        """Returns the operation that creates the file."""
        return DiskOperation(OperationKind.BEGIN, self.file_name, encode_header(self._sequence))

    def next_operation(self) -> DiskOperation:
        """Returns the operation that follows the previous one; the last one is PUBLISH."""
        if self._remaining_keys:
            return DiskOperation(OperationKind.APPEND, self.file_name, self._encode_next_rows())
        if not self._is_end_record_written:
            self._is_end_record_written = True
            end_record = Record(0, SNAPSHOT_END_TABLE, b"", b"%d" % self._written_row_count)
            return DiskOperation(OperationKind.APPEND, self.file_name, encode_record(end_record))
        return DiskOperation(OperationKind.PUBLISH, self.file_name)

    def _encode_next_rows(self) -> bytes:
        """Encodes up to ROWS_PER_OPERATION rows, without those that were removed meanwhile."""
        keys = self._remaining_keys[:ROWS_PER_OPERATION]
        self._remaining_keys = self._remaining_keys[ROWS_PER_OPERATION:]
        rows = [row for key in keys if (row := self._state.rows.get(key)) is not None]
        self._written_row_count += len(rows)
        return b"".join(encode_record(row) for row in rows)
