"""The rows that result from the records: the last value of each key, and its expiry.

Applying a record is idempotent. A snapshot may therefore be written while new records arrive, and
the log replayed over it.
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
    """All rows in memory. Owned by the journal's thread once the store has started."""

    def __init__(self) -> None:
        """Creates an empty state."""
        self.rows: dict[tuple[int, bytes], Record] = {}
        self.last_sequence = 0  # sequence number of the last record applied

    def __len__(self) -> int:
        """Returns the number of rows, expired ones included."""
        return len(self.rows)

    def apply(self, record: Record) -> None:
        """Applies a record, unless the row already has an equal or higher sequence number.

        A row of a snapshot may come from a record that is later in the log than the one being
        replayed, because records were written during the snapshot.
        """
        name = record.table, record.key
        current = self.rows.get(name)
        if current is None or current.sequence < record.sequence:
            if record.value is None:
                self.rows.pop(name, None)
            else:
                self.rows[name] = record
        self.last_sequence = max(self.last_sequence, record.sequence)

    def get(self, table: int, key: bytes, now: int) -> Record | None:
        """Returns a valid row; `now` is Unix time in tenths of a ms.

        A row written later than now is not valid: where the clock was set back between two
        processes, it would stay young for ever.
        """
        row = self.rows.get((table, key))
        if row is None or row.written_at > now + MAX_CLOCK_SKEW:
            return None
        return None if _is_expired(row, now) else row

    def rows_of_table(self, table: int, now: int) -> Iterator[Record]:
        """Yields the valid rows of a table."""
        for row_table, key in list(self.rows):
            if row_table == table and (row := self.get(row_table, key, now)) is not None:
                yield row

    def expired_keys(self, now: int, limit: int) -> list[tuple[int, bytes]]:
        """Returns the (table, key) of up to `limit` expired rows, which the caller must remove."""
        expired = []
        for name, row in self.rows.items():
            if _is_expired(row, now):
                expired.append(name)
                if len(expired) == limit:
                    break
        return expired


def _is_expired(row: Record, now: int) -> bool:
    return bool(row.expires_at) and row.expires_at <= now


def age_weight(record: Record, now: int, half_life: int) -> float:
    """Returns the weight of a learned value: 1 when written, 0.5 after one half-life."""
    return 2.0 ** (-max(0, now - record.written_at) / half_life)


def clock_set_back(rows: Iterable[Record], now: int) -> int:
    """Returns by how much the clock is behind the newest row, in tenths of a ms.

    Returns 0 if the difference is within the clock skew. The time between the two processes is not
    known, so the clock may have been set back further.
    """
    newest = max((row.written_at for row in rows), default=0)
    return newest - now if newest > now + MAX_CLOCK_SKEW else 0
