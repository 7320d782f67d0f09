"""The rows that result from the records: the last value of each key, and its expiry.

Applying a record is idempotent. Therefore a snapshot may be written while new records arrive, and
recovery replays the log after loading the snapshot.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from enum import IntEnum

from lilacwalk.storage.records import Record

# 1 minute in tenths of a ms; nodes synchronise their clocks over the network.
MAX_CLOCK_SKEW = 600_000


class Table(IntEnum):
    """Numbers of the tables in stored records. Reports show the names in lower case."""

    KEYS = 1  # idempotency keys
    BEGAN = 2  # requests with an effect that may have run
    RESULTS = 3  # results of such requests
    SESSIONS = 4  # device sessions with their unacknowledged answers
    LEARNED = 5  # execution times, call times, admission probability and its integral
    LINKS = 6  # link estimates of devices
    DAMPING = 7  # flap damping of this node's announcements
    FLEET = 8  # this node's incarnation and the last known members
    SITES = 9  # how often each site failed, and how long its recovery is still delayed


class State:
    """All rows in memory.

    Once the store has started, only the store's thread may access them.

    Attributes:
        rows: the last record of each row, by (table, key).
        last_sequence: highest sequence number of an applied record.
    """

    def __init__(self) -> None:
        """Creates an empty state."""
        self.rows: dict[tuple[int, bytes], Record] = {}
        self.last_sequence = 0

    def __len__(self) -> int:
        """Returns the number of rows, expired ones included."""
        return len(self.rows)

    def apply(self, record: Record) -> None:
        """Applies a record, unless the row already has an equal or higher sequence number.

        A row of a snapshot may be newer than the log record being replayed, because records were
        written while the snapshot was.
        """
        row_key = record.table, record.key
        current = self.rows.get(row_key)
        if current is None or current.sequence < record.sequence:
            if record.value is None:
                self.rows.pop(row_key, None)
            else:
                self.rows[row_key] = record
        self.last_sequence = max(self.last_sequence, record.sequence)

    def get(self, table: int, key: bytes, now: int) -> Record | None:
        """Returns a row; None if it does not exist or is not valid at `now`.

        `now` is Unix time in tenths of a ms. A row is not valid once it has expired, nor if it was
        written more than MAX_CLOCK_SKEW after `now`: the clock was set back since, and the row
        would remain valid for too long.
        """
        row = self.rows.get((table, key))
        if row is None or row.written_at > now + MAX_CLOCK_SKEW:
            return None
        return None if _is_expired(row, now) else row

    def rows_of_table(self, table: int, now: int) -> Iterator[Record]:
        """Yields the rows of a table that are valid at the Unix time `now`; see `get`."""
        for row_table, key in list(self.rows):
            if row_table == table and (row := self.get(row_table, key, now)) is not None:
                yield row

    def expired_keys(self, now: int, limit: int) -> list[tuple[int, bytes]]:
        """Returns the (table, key) of up to `limit` rows that have expired at the Unix time `now`.

        The rows are not removed; the caller does this by writing records.
        """
        expired = []
        for row_key, row in self.rows.items():
            if _is_expired(row, now):
                expired.append(row_key)
                if len(expired) == limit:
                    break
        return expired


def _is_expired(row: Record, now: int) -> bool:
    return bool(row.expires_at) and row.expires_at <= now


def age_weight(record: Record, now: int, half_life: int) -> float:
    """Returns the weight of a learned value: 1 when it is written, 0.5 after one half-life.

    `now` is Unix time; all times are in tenths of a ms.
    """
    return 2.0 ** (-max(0, now - record.written_at) / half_life)


def clock_set_back(rows: Iterable[Record], now: int) -> int:
    """Returns by how much the Unix time `now` is behind the newest row, in tenths of a ms.

    Returns 0 if the difference is at most MAX_CLOCK_SKEW. The clock may have been set back further,
    because the time since the newest row was written is not known.
    """
    newest = max((row.written_at for row in rows), default=0)
    return newest - now if newest > now + MAX_CLOCK_SKEW else 0
