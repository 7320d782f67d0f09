"""Decides which bytes of a store's files are valid after a crash. No I/O.

Recovery loads the newest complete snapshot, then replays the log from there up to the first record
that is torn, corrupted, duplicated or missing. The rest is truncated or quarantined, and reported.

Recovery terminates on any input: it reads each file at most once and writes nothing. The caller
truncates and quarantines files. Repeating this has no further effect, so recovery can be repeated
after a crash.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Protocol

from lilacwalk.storage.records import FileFormatError, ReadResult, decode_header, read_records
from lilacwalk.storage.state import State

LOG_PREFIX = "log-"
SNAPSHOT_PREFIX = "snap-"
SEQUENCE_DIGITS = 20
# Table number of the end record of a snapshot; the value of this record is the number of rows.
SNAPSHOT_END_TABLE = 0


class FileReader(Protocol):
    """Reads a whole file of the store."""

    def __call__(self, name: str, /) -> bytes:
        """Returns the file's bytes. Raises OSError."""
        ...


@dataclass(frozen=True, slots=True)
class Truncation:
    """A file that the caller must truncate to `size` bytes."""

    name: str
    size: int


@dataclass(slots=True)
class RecoveryResult:
    """Result of a recovery.

    Attributes:
        state: the rows.
        snapshot: name of the snapshot that was loaded; empty if none was.
        next_sequence: sequence number of the next record to write.
        log_bytes: total size of the valid parts of the log files that were replayed.
        is_complete: whether no written data was truncated, skipped or missing.
        warnings: data that was truncated, missing or skipped, for the operator.
        truncations: files to truncate, because their last bytes are not valid records.
        quarantined: log files to quarantine, because records before them are missing.
    """

    state: State = field(default_factory=State)
    snapshot: str = ""
    next_sequence: int = 1
    log_bytes: int = 0
    is_complete: bool = True
    warnings: list[str] = field(default_factory=list)
    truncations: list[Truncation] = field(default_factory=list)
    quarantined: list[str] = field(default_factory=list)


def file_name(prefix: str, sequence: int) -> str:
    """Returns the name of a log file or snapshot.

    Args:
        prefix: LOG_PREFIX or SNAPSHOT_PREFIX.
        sequence: number of the first record of a log file, or of the last record that a snapshot
            is guaranteed to include.
    """
    return f"{prefix}{sequence:0{SEQUENCE_DIGITS}d}"


def sequence_of(name: str) -> int | None:
    """Returns the sequence number in the name of a log file or snapshot; None for other files."""
    for prefix in (LOG_PREFIX, SNAPSHOT_PREFIX):
        digits = name.removeprefix(prefix)
        if digits != name:
            return int(digits) if len(digits) == SEQUENCE_DIGITS and digits.isdigit() else None
    return None


def recover(names: list[str], read_file: FileReader) -> RecoveryResult:
    """Recovers the rows from the files with these names; names of other files are ignored.

    A file for which `read_file` raises OSError is treated as missing, and a warning is added.
    """
    result = RecoveryResult()
    store_files = [name for name in names if sequence_of(name) is not None]
    snapshots = sorted(
        (name for name in store_files if name.startswith(SNAPSHOT_PREFIX)), reverse=True
    )
    for name in snapshots:
        if _load_snapshot(result, name, read_file):
            break
        result.is_complete = False
    result.next_sequence = result.state.last_sequence + 1
    logs = sorted(name for name in store_files if name.startswith(LOG_PREFIX))
    _replay_logs(result, logs, read_file)
    return result


def _load_snapshot(result: RecoveryResult, name: str, read_file: FileReader) -> bool:
    """Loads a snapshot into `result`; returns False, with a warning, if it is not complete."""
    try:
        data = read_file(name)
        sequence = decode_header(data).first_sequence
    except (OSError, FileFormatError) as error:
        result.warnings.append(f"{name}: snapshot skipped: {error}")
        return False
    content = read_records(data, None)
    if content.fault or not _has_valid_end_record(content):
        result.warnings.append(
            f"{name}: snapshot skipped: {content.fault or 'end record is missing or wrong'}"
        )
        return False
    for record in content.records[:-1]:
        # A row that changed while the snapshot was written has a higher sequence number than the
        # snapshot. If the log ends before this number, a new record gets the same number, and
        # `State.apply` would not replace the row by it. The snapshot's number prevents this.
        row = record if record.sequence <= sequence else replace(record, sequence=sequence)
        result.state.rows[record.table, record.key] = row
    result.state.last_sequence = sequence
    result.snapshot = name
    return True


def _has_valid_end_record(content: ReadResult) -> bool:
    """Whether the last record of a snapshot is an end record with the correct number of rows."""
    if not content.records:
        return False
    end = content.records[-1]
    return end.table == SNAPSHOT_END_TABLE and end.value == b"%d" % (len(content.records) - 1)


def _replay_logs(result: RecoveryResult, logs: list[str], read_file: FileReader) -> None:
    """Replays the log files after the snapshot up to the first gap.

    Lists the files after the gap in `result.quarantined`.
    """
    expected = result.next_sequence
    has_replayed_file = False
    for index, name in enumerate(logs):
        first = sequence_of(name) or 0
        next_file_first = sequence_of(logs[index + 1]) if index + 1 < len(logs) else None
        if next_file_first is not None and next_file_first <= expected:
            continue  # the snapshot includes all records of this file
        if not has_replayed_file and first > expected:
            result.warnings.append(
                f"{name}: records {expected} to {first - 1} are missing before this file"
            )
            _quarantine(result, logs[index:])
            return
        has_reached_end = _replay_log(result, name, first, read_file)
        has_replayed_file = True
        if next_file_first == result.next_sequence or (has_reached_end and next_file_first is None):
            continue  # the next file continues without a gap, or the last file was read to its end
        if has_reached_end:
            result.warnings.append(
                f"{name}: ends with record {result.next_sequence - 1}, "
                f"the next file begins with {next_file_first}"
            )
        _quarantine(result, logs[index + 1 :])
        return


def _quarantine(result: RecoveryResult, names: list[str]) -> None:
    result.quarantined = names
    result.is_complete = False


def _replay_log(result: RecoveryResult, name: str, first: int, read_file: FileReader) -> bool:
    """Replays the log file whose first record is `first`.

    Returns False, with a warning, if the file could not be read to its end.
    """
    try:
        data = read_file(name)
    except OSError as error:
        result.warnings.append(f"{name}: log file not replayed: {error}")
        return False
    content = read_records(data, first)
    for record in content.records:
        if record.sequence >= result.next_sequence:
            result.next_sequence = record.sequence + 1
        result.state.apply(record)
    result.log_bytes += content.valid_bytes
    if not content.fault:
        return True
    truncated_bytes = len(data) - content.valid_bytes
    result.warnings.append(
        f"{name}: {content.fault} after record {result.next_sequence - 1}, "
        f"{truncated_bytes} bytes truncated"
    )
    result.truncations.append(Truncation(name, content.valid_bytes))
    return False
