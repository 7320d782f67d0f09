"""Types that the journal, the store and the store's callers exchange.

Types created for each row are msgspec structs, which are cheaper to create than dataclasses.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, StrEnum, auto

import msgspec

SECOND = 10_000  # tenths of a ms


class Durability(Enum):
    """When a record counts as persisted."""

    NONE = "none"  # when it is in the batch in memory; may be lost in a crash of the process
    FLUSHED = "flushed"  # when it is written to a file; survives a crash of the process
    SYNCED = "synced"  # when the file is synced to the disk; survives a crash of the machine


class JournalMode(StrEnum):
    """Whether the journal can persist records. The values appear in logs and reports."""

    NORMAL = "usual"  # records are acknowledged once they are as durable as configured
    SLOW = "slow"  # records are written, but acknowledged at once as not persisted
    FULL = "full"  # nothing is written in the modes FULL, READ_ONLY and FAILED
    READ_ONLY = "read-only"
    FAILED = "failed"


class OperationKind(Enum):
    """Kind of an operation on a file. Logs show the names in lower case."""

    BEGIN = auto()  # create a file that holds `data`
    APPEND = auto()
    SYNC = auto()
    PUBLISH = auto()  # sync a snapshot and rename it to its final name
    DROP = auto()  # remove the files in `names`


@dataclass(frozen=True, slots=True)
class DiskOperation:
    """An operation that the store performs for the journal.

    Attributes:
        kind: kind of the operation.
        name: name of the file; for a snapshot, its final name. DROP uses `names` instead.
        data: bytes to write, for BEGIN and APPEND.
        names: names of the files that DROP removes.
    """

    kind: OperationKind
    name: str
    data: bytes = b""
    names: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class JournalLimits:
    """Limits of a journal; times in tenths of a ms, sizes in bytes."""

    batch_delay: int = 20  # how long a batch waits for more records
    batch_bytes: int = 262_144  # a batch of this size is written without waiting
    segment_bytes: int = 16_000_000  # a log file of this size is followed by a new one
    snapshot_after_bytes: int = 64_000_000  # log written between the starts of two snapshots
    max_disk_bytes: int = 512_000_000  # records are refused at this `StoreFiles.reserved_bytes`
    slow_sync_time: int = 2 * SECOND  # a record pending for this long changes the mode to SLOW
    max_pending: int = 100_000  # number of pending records at which further ones are refused


class WriteRequest(msgspec.Struct, frozen=True):
    """A row to set or remove; the fields up to `written_at` are those of `records.Record`.

    The acknowledgement of the record contains `token`. If it is None, there is no acknowledgement.
    """

    table: int
    key: bytes
    value: bytes | None
    expires_at: int = 0
    written_at: int = 0
    token: object = None


class Acknowledgement(msgspec.Struct, frozen=True):
    """Whether the record that was written with `token` is as durable as configured."""

    token: object
    is_persisted: bool


@dataclass(frozen=True, slots=True)
class ModeChange:
    """A change of the journal's mode to `mode`, or a failed snapshot while the log continues.

    `reason` is a text for the operator.
    """

    mode: JournalMode
    reason: str
