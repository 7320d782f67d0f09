"""Names and sizes of the journal's files, and which of them are obsolete. No I/O."""

from __future__ import annotations

from lilacwalk.storage.recovery import LOG_PREFIX, SNAPSHOT_PREFIX, file_name

RETAINED_SNAPSHOTS = 2  # the newest, and the previous one in case the newest is damaged


class StoreFiles:
    """The log files and snapshots of a store. Owned by the journal; sizes in bytes.

    Attributes:
        logs: names of the log files, in log order.
        snapshots: names of the published snapshots.
        obsolete: names of files to remove.
        segment: name of the log file being appended to; if empty, the next batch creates one.
        segment_bytes: size of that log file.
        log_bytes: total size of the log files; after a snapshot was published, without those that
            an earlier process created.
        snapshot_bytes: size of the newest snapshot that this process has begun, as far as it is
            written; 0 if it has begun none.
        bytes_since_snapshot: size of the log written since that snapshot was begun; if this
            process has begun none, the size of the recovered log and of all log written since.
    """

    def __init__(self, names: list[str], log_bytes: int) -> None:
        """Registers the files after recovery.

        Args:
            names: names of all files in the directory, sorted.
            log_bytes: total size of the valid parts of the replayed log files.
        """
        self.logs = [name for name in names if name.startswith(LOG_PREFIX)]
        self.snapshots = [name for name in names if name.startswith(SNAPSHOT_PREFIX)]
        self.obsolete: tuple[str, ...] = ()
        self.segment = ""
        self.segment_bytes = 0
        self.log_bytes = log_bytes
        self.snapshot_bytes = 0
        self.bytes_since_snapshot = log_bytes
        self._log_sizes: dict[str, int] = {}  # of files created by this process

    @property
    def reserved_bytes(self) -> int:
        """Size of the logs and of the newest snapshot, plus as much space for the next snapshot."""
        return self.log_bytes + 2 * self.snapshot_bytes

    def begin_segment(self, first_sequence: int) -> str:
        """Makes a new log file the current segment and returns its name."""
        self.segment = file_name(LOG_PREFIX, first_sequence)
        self.segment_bytes = 0
        return self.segment

    def log_created(self, name: str, size: int) -> None:
        """Records that a log file was created with a header of `size` bytes."""
        if name not in self.logs:  # a file without records may be created again under the same name
            self.logs.append(name)
        self.segment_bytes = 0
        self.log_grew(name, size)

    def log_grew(self, name: str, size: int) -> None:
        """Records that `size` bytes were appended to the log file."""
        self.segment_bytes += size
        self._log_sizes[name] = self.segment_bytes
        self.log_bytes += size
        self.bytes_since_snapshot += size

    def begin_snapshot(self) -> None:
        """Resets `snapshot_bytes` and `bytes_since_snapshot` for a new snapshot."""
        self.snapshot_bytes = 0
        self.bytes_since_snapshot = 0

    def snapshot_published(self, name: str) -> None:
        """Adds a published snapshot and determines which files are now obsolete.

        These are all snapshots but the newest RETAINED_SNAPSHOTS, and the log files that recovery
        from any of the retained snapshots does not need.
        """
        if name not in self.snapshots:
            self.snapshots.append(name)
        snapshots = sorted(self.snapshots)
        has_too_few = len(snapshots) < RETAINED_SNAPSHOTS
        oldest_retained = name if has_too_few else snapshots[-RETAINED_SNAPSHOTS]
        obsolete_logs = self._logs_before(sequence_number_in(oldest_retained) + 1)
        self.log_bytes = sum(
            self._log_sizes.get(log, 0) for log in self.logs if log not in obsolete_logs
        )
        self.obsolete = tuple(snapshots[:-RETAINED_SNAPSHOTS]) + obsolete_logs

    def _logs_before(self, sequence: int) -> tuple[str, ...]:
        """Returns the log files whose records all have numbers below `sequence`."""
        return tuple(
            name
            for name, next_name in zip(self.logs, self.logs[1:], strict=False)
            if sequence_number_in(next_name) <= sequence
        )

    def take_obsolete(self) -> tuple[str, ...]:
        """Returns the names of the obsolete files and clears `obsolete`."""
        names, self.obsolete = self.obsolete, ()
        return names

    def removed(self, names: tuple[str, ...]) -> None:
        """Records that these files were removed."""
        self.logs = [name for name in self.logs if name not in names]
        self.snapshots = [name for name in self.snapshots if name not in names]


def sequence_number_in(name: str) -> int:
    """Returns the sequence number in the name of a log file or snapshot of this store."""
    return int(name.rpartition("-")[2])
