"""Membership data that outlives the process: its incarnation and the members that it knew last.

The stored incarnation lets the next process take a higher one even if the clock was set back; the
stored members let a node find the fleet even if every seed is down. The records are a decimal
number and a MessagePack array of gossip updates. A disk that is full, read-only, slow or damaged
does not affect the view.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

import msgspec

from lilacwalk.membership.config import SECOND
from lilacwalk.membership.messages import GossipUpdate, Health
from lilacwalk.membership.view import MembershipView

RETRY_INTERVAL = 5 * SECOND  # equal to the store's own retry interval on a full disk
MEMBERS_WRITE_INTERVAL = 10 * SECOND  # an outdated list is still useful
MAX_STORED_MEMBERS = 64  # enough that one of them is likely to be running
INCARNATION_KEY, MEMBERS_KEY = b"life", b"members"
MAX_INCARNATION_DIGITS = 19


class StoreState(StrEnum):
    """The state of the storage, as reported to operators."""

    OFF = "off"  # no store is configured
    OPENING = "opening"  # nothing has been written yet
    STORED = "kept"  # the incarnation of this process is on the disk
    FAILED = "not-kept"  # opening or writing the store failed; retried after RETRY_INTERVAL


@dataclass(frozen=True, slots=True)
class Record:
    """A key and the value to be written under it."""

    key: bytes
    value: bytes


@dataclass(frozen=True, slots=True)
class StoreStateChange:
    """A change of the storage's state that is to be logged."""

    state: StoreState
    reason: str


@dataclass(frozen=True, slots=True)
class StoredMembership:
    """Data of an earlier process; its members serve as addresses to try, not as claims."""

    incarnation: int = 0  # 0 if none was stored
    members: tuple[GossipUpdate, ...] = ()


class PersistenceSchedule:
    """Decides which records to write and when, and tracks the results.

    Owned by the member store; used in the state machine's thread. The owner collects `changes`.
    """

    def __init__(self, enabled: bool, now: int) -> None:
        """Starts before the store has been read; `enabled`: whether a store is configured."""
        self.state = StoreState.OPENING if enabled else StoreState.OFF
        self.loaded = False  # whether the store has been read
        self.stored_incarnation = 0
        self.pending_incarnation = 0  # incarnation whose write has not been confirmed yet
        self.stored_members = b""  # encoded members that were last passed to the store
        self.retry_at = now
        self.next_members_write_at = now
        self.changes: list[StoreStateChange] = []

    def store_opened(self, incarnation: int) -> None:
        """Records that the store was read; `incarnation` is that of the previous process."""
        self.stored_incarnation = incarnation
        self.loaded = True

    def open_failed(self, reason: str, now: int) -> None:
        """Records that the store could not be opened."""
        self._change_state(StoreState.FAILED, reason)
        self.retry_at = now + RETRY_INTERVAL

    def take_due_records(
        self, incarnation: int, view: MembershipView, own_name: str, now: int
    ) -> list[Record]:
        """Returns the records to write now: a new incarnation at once, the members periodically."""
        if not self.loaded or now < self.retry_at:
            return []
        if incarnation > self.stored_incarnation and incarnation != self.pending_incarnation:
            self.pending_incarnation = incarnation
            return [Record(INCARNATION_KEY, b"%d" % incarnation)]
        if now < self.next_members_write_at:
            return []
        self.next_members_write_at = now + MEMBERS_WRITE_INTERVAL
        members = [member.update() for member in view.present if member.name != own_name]
        data = msgspec.msgpack.encode(members[:MAX_STORED_MEMBERS])
        if not members or data == self.stored_members:
            return []
        self.stored_members = data
        return [Record(MEMBERS_KEY, data)]

    def write_finished(self, key: bytes, succeeded: bool, now: int) -> None:
        """Records the result of a write; a failed write is retried."""
        if succeeded:
            if key == INCARNATION_KEY:
                self.stored_incarnation = self.pending_incarnation
            self._change_state(StoreState.STORED, "")
            return
        self._change_state(StoreState.FAILED, "write failed")
        self.retry_at = now + RETRY_INTERVAL
        self.pending_incarnation = 0
        self.stored_members = b""

    def take_changes(self) -> list[StoreStateChange]:
        """Returns the changes of state since the last call."""
        changes = self.changes
        self.changes = []
        return changes

    def _change_state(self, state: StoreState, reason: str) -> None:
        if state is not self.state:
            self.state = state
            self.changes.append(StoreStateChange(state, reason))


def decode_incarnation(value: bytes | None) -> int:
    """Returns the stored incarnation, 0 if none was stored or it is unreadable."""
    if not value or not value.isdigit() or len(value) > MAX_INCARNATION_DIGITS:
        return 0
    return int(value)


def decode_members(value: bytes | None) -> list[GossipUpdate]:
    """Returns the stored members that had not left, none if the record is missing or unreadable."""
    if not value:
        return []
    try:
        updates = msgspec.msgpack.decode(value, type=list[GossipUpdate])
    except msgspec.MsgspecError:
        return []
    return [update for update in updates[:MAX_STORED_MEMBERS] if update.health is not Health.LEFT]
