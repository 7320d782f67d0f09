"""Connects the event loop to the store: effects, learned state, damping, device sessions.

An effect is the side effect of a request that is not idempotent; its record, a row of the store,
shows after a restart that it may have occurred. Loaded only if the operator's file has a store
block. Methods run in the event loop's thread unless documented otherwise. None of them waits for
the disk, except `end`.
"""

from __future__ import annotations

import logging
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from lilacwalk.event_queue import EventQueue
from lilacwalk.log import ReportThrottle
from lilacwalk.overload.controller import Controller
from lilacwalk.overload.model import Request, RequestClass
from lilacwalk.protocols.admin_socket import AdminSocket
from lilacwalk.server.integrations import learned_state
from lilacwalk.server.integrations.learned_state import RecoveredLearnedState
from lilacwalk.server.integrations.status_query import answer_show
from lilacwalk.server.integrations.store_opener import StoreOpener
from lilacwalk.server.integrations.subsystem_state import SubsystemState
from lilacwalk.storage.config import DAY, StorageConfig
from lilacwalk.storage.effect_log import (
    CacheKey,
    EffectDecision,
    EffectLog,
    RecoveredEffect,
    RowUpdate,
)
from lilacwalk.storage.operations import JournalMode
from lilacwalk.storage.records import Record
from lilacwalk.storage.state import Table
from lilacwalk.storage.store import Store

if TYPE_CHECKING:
    from lilacwalk.server.integrations.bgp import BgpIntegration
    from lilacwalk.server.integrations.site_failover import SiteFailoverIntegration

log = logging.getLogger(__name__)
SESSION_RETENTION = DAY  # the edge removes a session earlier, at the session's own expiry
EFFECTS_TABLES = (Table.BEGAN, Table.RESULTS)
NANOSECONDS_PER_TICK = 100_000  # a tick is a tenth of a millisecond


class RecoveredCallback(Protocol):
    """Called once the store has been read, or cannot be opened."""

    def __call__(self, effects: list[RecoveredEffect], /) -> None:
        """Restores the effects of earlier processes; called in the event loop's thread.

        `effects` is empty if the store cannot be opened.
        """
        ...


class EffectCallback(Protocol):
    """Called when the record of a waiting request is on disk, or could not be written."""

    def __call__(self, token: object, may_run: bool, /) -> None:
        """Runs the request that was passed to `begin_effect` as `token`, or rejects it.

        Called in the event loop's thread.
        """
        ...


@dataclass(frozen=True, slots=True)
class PendingEffect:
    """A request that waits until its row is persisted."""

    token: object  # passed back to `on_persisted`
    cache_key: CacheKey


class PersistenceIntegration:
    """Owns the effect log, the store with its opener, and recovered state until it is restored."""

    def __init__(
        self,
        config: StorageConfig,
        node: str,
        event_queue: EventQueue,
        request_classes: dict[str, RequestClass],
        on_recovered: RecoveredCallback,
        on_persisted: EffectCallback,
    ) -> None:
        """Creates the store opener and the admin socket.

        Args:
            config: the store block.
            node: the name of this node, with which it claims the store's directory.
            event_queue: the queue of the event loop.
            request_classes: the configured request classes by name.
            on_recovered: called once the store has been read or cannot be opened.
            on_persisted: called for each request for which `begin_effect` returned None.

        Raises:
            OSError: the admin socket cannot be created.
        """
        self.config = config
        self.event_queue = event_queue
        self.request_classes = request_classes
        self.on_recovered = on_recovered
        self.on_persisted = on_persisted
        self.effect_log = EffectLog(config.unpersisted_effects == "marked")
        self.store: Store | None = None
        self.learned: RecoveredLearnedState | None = None  # None: nothing to restore
        self.subsystems = SubsystemState(config.damping_retention)
        self.recovered_sessions: dict[bytes, bytes] = {}
        self._next_persist_at = 0
        self._unpersisted_throttle = ReportThrottle()
        self._opener = StoreOpener(
            config,
            node,
            event_queue,
            on_opened=self._store_opened,
            on_failed=self._open_failed,
            on_persisted=self._record_acknowledged,
            on_mode_change=self._mode_changed,
        )
        self.admin_socket: AdminSocket | None = None
        if config.socket is not None:
            self.admin_socket = AdminSocket(config.socket, self._answer, "storage")

    def start(self) -> None:
        """Starts the opener's thread and the admin socket."""
        self._opener.start()
        if self.admin_socket is not None:
            self.admin_socket.start()

    def end(self, timeout: float) -> None:
        """Writes pending updates and closes the store; waits at most `timeout` seconds."""
        self._opener.stop()
        if self.admin_socket is not None:
            self.admin_socket.close()
        if self.store is not None:
            self.store.close(timeout)

    # Called in the store's thread

    def _record_acknowledged(self, token: object, is_persisted: bool) -> None:
        if token is not None:
            self.event_queue.post(self._effect_acknowledged, token, is_persisted)

    def _mode_changed(self, mode: JournalMode, reason: str) -> None:
        self.event_queue.post(self._journal_mode_changed, mode, reason)

    # Called in the event loop's thread on events of the store

    def _store_opened(self, store: Store, rows: list[Record]) -> None:
        self.store = store
        unix_now = time.time_ns() // NANOSECONDS_PER_TICK
        effect_rows = [row for row in rows if row.table in EFFECTS_TABLES]
        effects = self.effect_log.recover(effect_rows, unix_now)
        self.learned = learned_state.decode_learned_state(rows, self.request_classes, unix_now)
        self.recovered_sessions = {
            row.key: row.value
            for row in rows
            if row.table == Table.SESSIONS and row.value and row.expires_at > unix_now
        }
        self.subsystems.recover(rows, unix_now)
        self._report_changes()
        self.on_recovered(effects)

    def _open_failed(self, reason: str, is_permanent: bool) -> None:
        self.effect_log.open_failed(reason, is_permanent)
        self._report_changes()
        self.on_recovered([])

    def _journal_mode_changed(self, mode: JournalMode, reason: str) -> None:
        self.effect_log.journal_mode_changed(mode, reason)
        self._report_changes()

    def _report_changes(self) -> None:
        for change in self.effect_log.changes:
            log.warning(
                {
                    "event": "effects",
                    "state": change.state,
                    "reason": change.reason,
                    "unkept": self.config.unpersisted_effects,
                }
            )
        self.effect_log.changes.clear()

    # Requests with an effect

    def deduplicated_until(self, request: Request, now: int) -> int:
        """Returns the time until which duplicates are recognized, in tenths of a millisecond."""
        window = request.request_class.deduplication_window
        return request.arrived_at + window if window else now + self.config.effect_retention

    def begin_effect(
        self, token: object, cache_key: CacheKey, expires_at: int, now: int
    ) -> bool | None:
        """Records that a request is about to run.

        Args:
            token: identifies the request in the call of `on_persisted`.
            cache_key: the key under which duplicates find the request.
            expires_at: the time until which duplicates are recognized.
            now: the current time.

        Returns:
            Whether the request may run, or None if it has to wait for `on_persisted`.
        """
        begun = self.effect_log.begin(cache_key, expires_at)
        if begun.update is not None:
            self._put(begun.update, now, PendingEffect(token, cache_key))
        match begun.decision:
            case EffectDecision.WAIT:
                return None
            case EffectDecision.REFUSE:
                return False
            case EffectDecision.RUN:
                self._report_unpersisted()
                return True

    def _report_unpersisted(self) -> None:
        if count := self._unpersisted_throttle.count_and_check():
            state = self.effect_log.state
            log.warning({"event": "effects_unpersisted", "count": count, "state": state})

    def _effect_acknowledged(self, pending: PendingEffect, is_persisted: bool) -> None:
        decision = self.effect_log.persisted(pending.cache_key, is_persisted)
        self.on_persisted(pending.token, decision is EffectDecision.RUN)

    def finish_effect(
        self, cache_key: CacheKey, result: bytes | None, expires_at: int, now: int
    ) -> None:
        """Persists the end of a request; if `result` is None, the outcome is unknown."""
        for update in self.effect_log.finish(cache_key, result, expires_at):
            self._put(update, now)

    def cancel_effect(self, cache_key: CacheKey, now: int) -> None:
        """Removes the row of a request that was recorded but never ran."""
        for update in self.effect_log.cancel(cache_key):
            self._put(update, now)

    def _put(self, update: RowUpdate, now: int, token: object = None) -> None:
        if self.store is not None:
            self.store.put(update.table, update.key, update.value, update.expires_at, now, token)

    # Device sessions

    def persist_sessions(self, rows: dict[bytes, bytes | None]) -> None:
        """Persists device sessions, or removes those with the value None.

        Called in the edge's thread.
        """
        if self.store is None:
            return
        now = time.time_ns() // NANOSECONDS_PER_TICK
        for device_id, value in rows.items():
            self._put(RowUpdate(Table.SESSIONS, device_id, value, now + SESSION_RETENTION), now)

    # Learned state, damping and sites

    def persist_learned_state(self, controller: Controller, now: int) -> None:
        """Persists the controller's learned state every `PERSIST_INTERVAL`."""
        if self.store is None or now < self._next_persist_at:
            return
        self._next_persist_at = now + learned_state.PERSIST_INTERVAL
        retention = learned_state.RETENTION_HALF_LIVES * self.config.learned_half_life
        update = learned_state.encode_learned_state(
            controller.learned_state(), self.request_classes, now + retention
        )
        self._put(update, now)

    def restore_learned_state(self, controller: Controller, now: int) -> None:
        """Restores the recovered learned state, if any, into a newly created controller.

        Only the first call has an effect.
        """
        if self.learned is None:
            return
        recovered, self.learned = self.learned, None
        learned_state.restore(controller, recovered, now, self.config.learned_half_life)

    def update_damping_and_sites(
        self, bgp: BgpIntegration | None, sites: SiteFailoverIntegration | None, now: int
    ) -> None:
        """Restores recovered flap damping and site failure history once, and persists current ones.

        Both are persisted as often as learned state; flap damping is also persisted when this node
        starts or stops announcing services. This method must be called before
        `persist_learned_state`, which advances `_next_persist_at`.
        """
        if self.store is None:
            return
        is_due = now >= self._next_persist_at
        if bgp is not None:
            for update in self.subsystems.update_damping(bgp, now, is_due):
                self._put(update, now)
        if sites is not None:
            for update in self.subsystems.update_sites(sites, now, is_due):
                self._put(update, now)

    # Operator queries, called in the admin socket's thread

    def _answer(self, query: str) -> object:
        return answer_show(query, self.event_queue, self.status)

    def status(self) -> dict:
        """Returns the status that `lilacwalk storage show` prints; runs in the event loop."""
        effect_log = self.effect_log
        status: dict = {
            "directory": self.config.directory,
            "state": effect_log.state,
            "reason": effect_log.reason,
            "unkept_rule": self.config.unpersisted_effects,
            "unkept": effect_log.unpersisted_count,
            "waiting": len(effect_log.pending),
            "durability": self.config.durability,
        }
        if self.store is not None:
            journal = self.store.journal
            status |= {
                "mode": journal.mode,
                "rows": len(journal.state),
                "written": journal.written_sequence,
                "log_bytes": journal.files.log_bytes,
                "most": self.config.max_bytes,
            }
        return status
