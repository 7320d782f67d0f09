"""Names and sizes of the journal's files, and which of them are obsolete. No I/O."""

from __future__ import annotations

from lilacwalk.storage.recovery import LOG_PREFIX, SNAPSHOT_PREFIX, file_name

SNAPSHOTS_KEPT = 2  # the newest, and the previous one in case the newest is damaged


class StoreFiles:
    """The log files and snapshots of a store. Owned by the journal; sizes in bytes.

    Attributes:
        logs: names of the log files, by sequence number.
        snapshots: names of the published snapshots.
        obsolete: names of files to remove.
        segment: name of the log file being appended to; if empty, the next batch creates one.
        segment_bytes: size of that log file.
        log_bytes: total size of all log files.
        snapshot_bytes: size of the newest snapshot, or of what is written so far of it.
        bytes_since_snapshot: size of log written since the newest snapshot was begun.
    """

    def __init__(self, names: list[str], log_bytes: int) -> None:
        """`names` and `log_bytes`: files in the directory, and size of the logs after recovery."""
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
        """Size of the logs and a snapshot, plus space for the next snapshot."""
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
        """Resets the size of the newest snapshot and the size of the log since it was begun."""
        self.snapshot_bytes = 0
        self.bytes_since_snapshot = 0

    def snapshot_published(self, name: str) -> None:
        """Marks all but the newest SNAPSHOTS_KEPT snapshots as obsolete.

        Also marks the log files that none of the kept snapshots needs.
        """
        if name not in self.snapshots:
            self.snapshots.append(name)
        snapshots = sorted(self.snapshots)
        is_below_kept_count = len(snapshots) < SNAPSHOTS_KEPT
        oldest_kept = name if is_below_kept_count else snapshots[-SNAPSHOTS_KEPT]
        obsolete_logs = self._logs_before(number_in(oldest_kept) + 1)
        self.log_bytes = sum(
            self._log_sizes.get(log, 0) for log in self.logs if log not in obsolete_logs
        )
        self.obsolete = tuple(snapshots[:-SNAPSHOTS_KEPT]) + obsolete_logs

    def _logs_before(self, sequence: int) -> tuple[str, ...]:
        """Returns the log files whose records all have numbers below `sequence`."""
        return tuple(
            name
            for name, following in zip(self.logs, self.logs[1:], strict=False)
            if number_in(following) <= sequence
        )

    def take_obsolete(self) -> tuple[str, ...]:
        """Returns the names of the obsolete files and clears `obsolete`."""
        names, self.obsolete = self.obsolete, ()
        return names

    def removed(self, names: tuple[str, ...]) -> None:
        """Records that these files were removed."""
        self.logs = [name for name in self.logs if name not in names]
        self.snapshots = [name for name in self.snapshots if name not in names]


def number_in(name: str) -> int:
    """Returns the sequence number in the name of a log file or snapshot of this store."""
    return int(name.rpartition("-")[2])
