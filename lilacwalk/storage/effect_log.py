"""Decides which requests with an effect may run, so that none runs twice across restarts. No I/O.

A request that must not run twice is persisted before it runs. A duplicate of a persisted request
never runs: it is answered from the persisted result, or fails if there is none.

While requests cannot be persisted, the setting `unpersisted_effects` decides whether they are
refused or run. If one runs and a crash loses its record, a duplicate of it runs again.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, StrEnum, auto
from hashlib import blake2b

import msgspec

from lilacwalk.storage.operations import SECOND, JournalMode
from lilacwalk.storage.records import Record
from lilacwalk.storage.state import Table, clock_set_back

# (request class, tenant, kind of the identifier, identifier). Persisted as an array.
CacheKey = tuple[str, ...]

ROW_KEY_BYTES = 16
CLOCK_SET_BACK = "clock-set-back"  # reported in place of a state in an `EffectLogChange`


class EffectLogState(StrEnum):
    """Whether effects are persisted. The values appear in logs and reports."""

    OPENING = "opening"  # rows of earlier processes are not read yet; effects are not persisted
    PERSISTING = "kept"  # effects are as durable as configured
    SLOW = "slow"  # the disk is slow: rows are written, but reported as not persisted
    FULL = "full"  # in FULL and the states below, effects are not persisted
    READ_ONLY = "read-only"
    FAILED = "failed"
    REFUSED = "refused"  # this node may not use the directory; this process does not retry


class EffectDecision(Enum):
    """How to proceed with a request that has an effect."""

    RUN = auto()
    WAIT = auto()  # until the request is persisted
    REFUSE = auto()  # the request has not run and must not run


@dataclass(frozen=True, slots=True)
class RowUpdate:
    """A row to set, or to remove if `value` is None.

    `expires_at` is Unix time in tenths of a ms; 0 if the row never expires.
    """

    table: Table
    key: bytes
    value: bytes | None
    expires_at: int = 0


@dataclass(frozen=True, slots=True)
class BeginResult:
    """Whether a request may run, and the row to persist before it runs."""

    decision: EffectDecision
    update: RowUpdate | None = None


@dataclass(frozen=True, slots=True)
class RecoveredEffect:
    """A request that an earlier process began.

    Attributes:
        cache_key: identifies the request.
        result: the encoded result; None if the outcome of the request is unknown.
        expires_at: Unix time in tenths of a ms, on the clock of this process.
    """

    cache_key: CacheKey
    result: bytes | None
    expires_at: int


@dataclass(frozen=True, slots=True)
class EffectLogChange:
    """An event to log: a new state, or the detection that the clock was set back.

    `state` is the `EffectLogState`, or CLOCK_SET_BACK if the clock was set back.
    """

    state: str
    reason: str


def row_key(cache_key: CacheKey) -> bytes:
    """Returns the key under which a request's rows are stored."""
    return blake2b(msgspec.msgpack.encode(cache_key), digest_size=ROW_KEY_BYTES).digest()


class EffectLog:
    """State of the effect log and the requests being persisted. Owned by the event loop.

    Attributes:
        allows_unpersisted: whether effects run while they cannot be persisted.
        state: whether effects are persisted.
        reason: why the log is in this state.
        changes: events that the event loop has not logged yet.
        pending: requests being persisted, at most as many as are in flight.
        unpersisted_count: number of effects that ran without being persisted.
    """

    def __init__(self, allows_unpersisted: bool) -> None:
        """Creates a log in the state OPENING."""
        self.allows_unpersisted = allows_unpersisted
        self.state = EffectLogState.OPENING
        self.reason = ""
        self.changes: list[EffectLogChange] = []
        self.pending: dict[CacheKey, None] = {}
        self.unpersisted_count = 0

    @property
    def accepts_effects(self) -> bool:
        """Whether a request with an effect may be accepted at all."""
        return self.allows_unpersisted or self.state is EffectLogState.PERSISTING

    # Calls from the store

    def recover(self, rows: list[Record], unix_now: int) -> list[RecoveredEffect]:
        """Returns the requests of earlier processes that have not expired.

        `unix_now` is the current Unix time in tenths of a ms. Rows written after it are accepted,
        because a clock that was set back must not hide an effect that may have happened. In this
        case `clock_set_back` is subtracted from the expiry of all rows, so that their retention
        continues as if the newest row had been written now.
        """
        set_back = clock_set_back(rows, unix_now)
        if set_back:
            reason = f"by at least {set_back // SECOND} s"
            self.changes.append(EffectLogChange(CLOCK_SET_BACK, reason))
        found: dict[CacheKey, RecoveredEffect] = {}
        for row in sorted(rows, key=lambda row: row.table):  # RESULTS rows replace BEGAN rows
            effect = _decode_effect(row, row.expires_at - set_back)
            if effect is not None and effect.expires_at > unix_now:
                found[effect.cache_key] = effect
        self._change_state(
            EffectLogState.PERSISTING, f"recovered {len(found)} effects of earlier processes"
        )
        return list(found.values())

    def open_failed(self, reason: str, is_permanent: bool) -> None:
        """Handles a store that could not be opened; if `is_permanent`, opening is not retried."""
        state = EffectLogState.REFUSED if is_permanent else EffectLogState.FAILED
        self._change_state(state, reason)

    def journal_mode_changed(self, mode: JournalMode, reason: str) -> None:
        """Sets the state that corresponds to the journal's new mode."""
        is_normal = mode is JournalMode.NORMAL
        state = EffectLogState.PERSISTING if is_normal else EffectLogState(mode.value)
        self._change_state(state, reason)

    def _change_state(self, state: EffectLogState, reason: str) -> None:
        if state is not self.state:  # each change is reported once
            self.state = state
            self.reason = reason
            self.changes.append(EffectLogChange(state, reason))

    # Calls for a request

    def begin(self, cache_key: CacheKey, expires_at: int) -> BeginResult:
        """Decides whether a request may run now, must be persisted first, or is refused.

        `expires_at`: Unix time in tenths of a ms at which the request's row expires.
        """
        if self.state not in (EffectLogState.PERSISTING, EffectLogState.SLOW):
            return BeginResult(self._decide_unpersisted())
        self.pending[cache_key] = None
        value = msgspec.msgpack.encode(cache_key)
        update = RowUpdate(Table.BEGAN, row_key(cache_key), value, expires_at)
        return BeginResult(EffectDecision.WAIT, update)

    def persisted(self, cache_key: CacheKey, is_persisted: bool) -> EffectDecision:
        """Decides whether a request may run, after the store reported whether its row is persisted.

        Returns RUN or REFUSE.
        """
        self.pending.pop(cache_key, None)
        return EffectDecision.RUN if is_persisted else self._decide_unpersisted()

    def _decide_unpersisted(self) -> EffectDecision:
        if not self.allows_unpersisted:
            return EffectDecision.REFUSE
        self.unpersisted_count += 1
        return EffectDecision.RUN

    def finish(self, cache_key: CacheKey, result: bytes | None, expires_at: int) -> list[RowUpdate]:
        """Returns the rows to write for a request that has ended with the encoded `result`.

        If `result` is None, the BEGAN row is retained, because the request may have had its effect.
        `expires_at`: Unix time in tenths of a ms at which the result expires.
        """
        if result is None:
            return []
        key = row_key(cache_key)
        value = msgspec.msgpack.encode((cache_key, result))
        return [
            RowUpdate(Table.RESULTS, key, value, expires_at),
            RowUpdate(Table.BEGAN, key, None),
        ]

    def cancel(self, cache_key: CacheKey) -> list[RowUpdate]:
        """Returns the rows to write for a request that was persisted and never ran."""
        self.pending.pop(cache_key, None)
        return [RowUpdate(Table.BEGAN, row_key(cache_key), None)]


def _decode_effect(row: Record, expires_at: int) -> RecoveredEffect | None:
    """Returns the request of a row; None if its table is not of requests or it cannot be decoded.

    `expires_at` replaces the row's own expiry.
    """
    value = row.value or b""
    try:
        match row.table:
            case Table.BEGAN:
                cache_key = msgspec.msgpack.decode(value, type=CacheKey)
                return RecoveredEffect(cache_key, None, expires_at)
            case Table.RESULTS:
                cache_key, result = msgspec.msgpack.decode(value, type=tuple[CacheKey, bytes])
                return RecoveredEffect(cache_key, result, expires_at)
            case _:
                return None
    except msgspec.MsgspecError:
        return None
