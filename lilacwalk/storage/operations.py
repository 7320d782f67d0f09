"""Types that the journal, the store and the users of the store exchange.

Types created for each row are msgspec structs, which are cheaper to create than dataclasses.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, StrEnum, auto

import msgspec

SECOND = 10_000  # tenths of a ms


class Durability(Enum):
    """When a record counts as persisted."""

    NONE = "none"  # once it is in the batch in memory
    FLUSHED = "flushed"  # once the operating system has it; survives a crash of the process
    SYNCED = "synced"  # once it is synced to the disk; survives a crash of the machine


class JournalMode(StrEnum):
    """Whether the journal can persist records. The values appear in logs and reports."""

    NORMAL = "usual"  # records are acknowledged once they are as durable as requested
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
    """An operation that the journal requests; `names` is used by DROP only."""

    kind: OperationKind
    name: str
    data: bytes = b""
    names: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class JournalLimits:
    """Limits of a journal; times in tenths of a ms, sizes in bytes."""

    batch_delay: int = 20  # how long a batch waits for more records
    batch_bytes: int = 262_144
    segment_bytes: int = 16_000_000
    snapshot_after_bytes: int = 64_000_000  # size of log written since the last snapshot
    max_disk_bytes: int = 512_000_000
    slow_sync_time: int = 2 * SECOND
    max_pending: int = 100_000  # records that are not acknowledged yet


class WriteRequest(msgspec.Struct, frozen=True):
    """A row to set or remove; see `records.Record`.

    The acknowledgement returns `token`. A record whose `token` is None is not acknowledged.
    """

    table: int
    key: bytes
    value: bytes | None
    expires_at: int = 0
    written_at: int = 0
    token: object = None


class Acknowledgement(msgspec.Struct, frozen=True):
    """Whether the record written with this token is as durable as requested."""

    token: object
    is_persisted: bool


@dataclass(frozen=True, slots=True)
class ModeChange:
    """A change of the journal's mode, or a failed snapshot, with the reason."""

    mode: JournalMode
    reason: str
