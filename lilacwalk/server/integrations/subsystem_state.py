"""Persists and restores the flap damping of announcements and the failure history of sites."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING, Generic, TypeVar

import msgspec

from lilacwalk.storage.effect_log import RowUpdate
from lilacwalk.storage.records import Record
from lilacwalk.storage.state import Table

if TYPE_CHECKING:
    from lilacwalk.server.integrations.bgp import BgpIntegration
    from lilacwalk.server.integrations.site_failover import SiteFailoverIntegration

log = logging.getLogger(__name__)
SECOND = 10_000  # tenths of a ms
BGP_RESTORE_TIME = SECOND // 2  # time in which the speaker's thread applies restored damping
ROW_KEY = b"standing"
# The failure history of sites, by site: see `FailoverPlanner.failure_history`.
SiteRows = dict[str, tuple[int, int]]
Value = TypeVar("Value")


class DampingRow(msgspec.Struct, frozen=True, array_like=True):
    """Flap damping of this node's announcements: an array in this order."""

    penalty: float
    suppressed: bool
    announced: bool


@dataclass(frozen=True, slots=True)
class RecoveredRow(Generic[Value]):
    """A row of an earlier process.

    `written_at` is Unix time in tenths of a ms, and not later than the time of recovery.
    """

    value: Value
    written_at: int


def decode_row(
    rows: list[Record], table: Table, row_type: type[Value], unix_now: int
) -> RecoveredRow[Value] | None:
    """Returns the only row of a table; None if it is missing, expired or unreadable.

    A row whose time is in the future, because the clock was set back, counts as written now.
    `unix_now` is in tenths of a ms.
    """
    for row in rows:
        if row.table == table and row.key == ROW_KEY:
            break
    else:
        return None
    if row.value is None or row.expires_at <= unix_now:
        return None
    try:
        value = msgspec.msgpack.decode(row.value, type=row_type)
    except msgspec.MsgspecError:
        return None
    return RecoveredRow(value, min(row.written_at, unix_now))


class SubsystemState:
    """The recovered and the last persisted state of BGP and site failover.

    Used only in the event loop's thread.

    Attributes:
        recovered_damping: flap damping stored by an earlier process, until it is restored.
        recovered_sites: failure history stored by an earlier process, until it is restored.
    """

    def __init__(self, retention: int) -> None:
        """`retention` is the time in tenths of a ms for which a row is valid."""
        self.recovered_damping: RecoveredRow[DampingRow] | None = None
        self.recovered_sites: RecoveredRow[SiteRows] | None = None
        self._retention = retention
        self._persisted_damping: DampingRow | None = None
        self._persist_damping_from = 0

    def recover(self, rows: list[Record], unix_now: int) -> None:
        """Reads the rows of earlier processes."""
        self.recovered_damping = decode_row(rows, Table.DAMPING, DampingRow, unix_now)
        self.recovered_sites = decode_row(rows, Table.SITES, SiteRows, unix_now)

    def update_damping(self, bgp: BgpIntegration, now: int, is_due: bool) -> list[RowUpdate]:
        """Restores recovered damping, if any, and returns the rows to write.

        A row is to be written if it is due, or if this node has started or stopped announcing
        services.
        """
        if self.recovered_damping is not None:
            self._restore_damping(bgp, self.recovered_damping, now)
            self.recovered_damping = None
        damping = DampingRow(*bgp.flap_penalty_state())
        persisted = self._persisted_damping
        is_changed = persisted is None or damping.announced is not persisted.announced
        if now < self._persist_damping_from or not (is_changed or is_due):
            return []
        self._persisted_damping = damping
        return [self._row(Table.DAMPING, msgspec.msgpack.encode(damping), now)]

    def _restore_damping(
        self, bgp: BgpIntegration, recovered: RecoveredRow[DampingRow], now: int
    ) -> None:
        damping = recovered.value
        age = max(0, now - recovered.written_at)
        bgp.restore_flap_penalty(damping.penalty, damping.suppressed, damping.announced, age)
        log.info(
            {
                "event": "damping_restored",
                "penalty": round(damping.penalty),
                "age_s": age // SECOND,
                "was_announced": damping.announced,
            }
        )
        # Before this time no row is written, because the speaker may not have applied the restored
        # values yet; the row on disk is still valid.
        self._persist_damping_from = now + BGP_RESTORE_TIME

    def update_sites(
        self, sites: SiteFailoverIntegration, now: int, is_due: bool
    ) -> list[RowUpdate]:
        """Restores the recovered failure history, if any, and returns the row to write if due."""
        recovered = self.recovered_sites
        if recovered is not None:
            self.recovered_sites = None
            sites.restored_history = recovered.value, max(0, now - recovered.written_at)
        return (
            [self._row(Table.SITES, msgspec.msgpack.encode(sites.failure_history), now)]
            if is_due
            else []
        )

    def _row(self, table: Table, value: bytes, now: int) -> RowUpdate:
        return RowUpdate(table, ROW_KEY, value, now + self._retention)
