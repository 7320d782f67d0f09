"""Produces the disk operations that write one snapshot, a slice of rows at a time. No I/O."""

from __future__ import annotations

from lilacwalk.storage.operations import DiskOperation, OperationKind
from lilacwalk.storage.records import Record, encode_header, encode_record
from lilacwalk.storage.recovery import SNAPSHOT_END_TABLE, SNAPSHOT_PREFIX, file_name
from lilacwalk.storage.state import State

ROWS_PER_OPERATION = 2_000  # a few milliseconds of work, during which no batch is written


class SnapshotWriter:
    """A snapshot being written. Owned by the journal.

    A row that changes during the snapshot is copied as it is when its slice is written. Recovery
    replays the log over the snapshot, so that each row ends with its newest value.
    """

    def __init__(self, state: State, sequence: int) -> None:
        """`sequence`: number of the last record that the snapshot is guaranteed to include."""
        self.file_name = file_name(SNAPSHOT_PREFIX, sequence)
        self._state = state
        self._sequence = sequence
        self._remaining = list(state.rows)
        self._row_count = 0
        self._has_end = False

    def first_operation(self) -> DiskOperation:
        """Returns the operation that creates the file."""
        return DiskOperation(OperationKind.BEGIN, self.file_name, encode_header(self._sequence))

    def next_operation(self) -> DiskOperation:
        """Returns the next operation; the last one publishes the snapshot."""
        if self._remaining:
            return DiskOperation(OperationKind.APPEND, self.file_name, self._next_slice())
        if not self._has_end:
            self._has_end = True
            end = Record(0, SNAPSHOT_END_TABLE, b"", b"%d" % self._row_count)
            return DiskOperation(OperationKind.APPEND, self.file_name, encode_record(end))
        return DiskOperation(OperationKind.PUBLISH, self.file_name)

    def _next_slice(self) -> bytes:
        names = self._remaining[:ROWS_PER_OPERATION]
        self._remaining = self._remaining[ROWS_PER_OPERATION:]
        rows = [row for name in names if (row := self._state.rows.get(name)) is not None]
        self._row_count += len(rows)
        return b"".join(encode_record(row) for row in rows)
