"""One member in the view, and the changes that a claim can make to it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from lilacwalk.membership.messages import (
    Address,
    GossipUpdate,
    Health,
    MemberMetadata,
    Precedence,
    Process,
)

PRESENT_HEALTH = (Health.ALIVE, Health.SUSPECT)


class Change(Enum):
    """The change made by a claim; the values are reported to operators."""

    JOINED = "joined"
    RETURNED = "back"
    RESTARTED = "restarted"
    REFUTED = "refuted"
    SUSPECTED = "suspect"
    DEAD = "dead"
    LEFT = "left"
    MOVED = "moved"
    UPDATED = "told"  # newer metadata or a newer refutation: no change of membership
    CONFIRMED = "confirmed"  # another member has reported the same suspicion


CHANGE_BY_HEALTH = {
    Health.SUSPECT: Change.SUSPECTED,
    Health.DEAD: Change.DEAD,
    Health.LEFT: Change.LEFT,
}


@dataclass(eq=False, slots=True)
class Member:
    """One row of the view; times in tenths of a millisecond.

    Owned by the view. The datagram receiver sets `last_heard`, the failure detector `reached_via`,
    and `partitions` sets `partitioned`.
    """

    name: str
    incarnation: int
    instance: int
    refutation: int
    health: Health
    metadata: MemberMetadata | None  # None if the member is forgotten
    health_since: int  # time since which this health or this process is known
    reported_by: str  # the member that made the current claim
    metadata_at: int  # time at which the metadata arrived
    last_heard: int = 0  # time of the last datagram from this member, 0 if none
    reached_via: str = ""  # member that relayed its last answer to a probe, empty if none did
    partitioned: bool = False  # whether it was lost together with most of its site
    row_digest: int = 0  # contribution of this row to the view's digest

    @property
    def process(self) -> Process:
        """The process that holds the name."""
        return self.incarnation, self.instance

    @property
    def precedence(self) -> Precedence:
        """The precedence of the current claim about this member."""
        return self.incarnation, self.instance, self.refutation, self.health

    @property
    def address(self) -> Address:
        """The member's address; the member must not be forgotten."""
        assert self.metadata is not None
        return self.metadata.host, self.metadata.port

    def update(self, with_metadata: bool = True) -> GossipUpdate:
        """Returns the current claim about this member."""
        return GossipUpdate(
            self.name,
            self.incarnation,
            self.instance,
            self.refutation,
            self.health,
            self.reported_by,
            self.metadata if with_metadata else None,
        )

    def newer_metadata(self, update: GossipUpdate) -> MemberMetadata | None:
        """Returns the metadata of a claim if it is newer than this member's, else None."""
        metadata = update.metadata
        if metadata is None:
            return None
        own_process = self.process
        process = update.process
        if process < own_process:
            return None
        if process == own_process and self.metadata is not None:
            return metadata if metadata.version > self.metadata.version else None
        return metadata

    def is_confirmed_by(self, update: GossipUpdate) -> bool:
        """Whether the claim is the current suspicion, reported by a further member."""
        return (
            update.health is Health.SUSPECT
            and update.precedence == self.precedence
            and update.reported_by != self.reported_by
        )

    def change_by(
        self, update: GossipUpdate, metadata: MemberMetadata | None, *, is_newer: bool
    ) -> Change:
        """Returns the change that a claim will make, before it is applied.

        Args:
            update: the claim.
            metadata: the metadata of the claim if it is newer, else None.
            is_newer: whether the claim has the larger precedence.
        """
        if self.metadata is None:
            return Change.JOINED
        if is_newer and update.health is Health.ALIVE:
            if self.health not in PRESENT_HEALTH:
                return Change.RETURNED
            if update.process != self.process:
                return Change.RESTARTED
            if self.health is Health.SUSPECT:
                return Change.REFUTED
        elif is_newer and update.health is not self.health:
            return CHANGE_BY_HEALTH[update.health]
        has_moved = metadata is not None and metadata.address != self.address
        return Change.MOVED if has_moved else Change.UPDATED

    def advance(self, update: GossipUpdate, now: int) -> None:
        """Adopts a newer claim, except for its metadata."""
        if update.health is not self.health or update.process != self.process:
            self.health_since = now
        if update.health is Health.ALIVE:
            self.reached_via = ""
            self.partitioned = False
        self.set_precedence(update)
        self.reported_by = update.reported_by

    def set_precedence(self, update: GossipUpdate) -> None:
        """Adopts the fields of a claim that determine its precedence."""
        self.incarnation = update.incarnation
        self.instance = update.instance
        self.refutation = update.refutation
        self.health = update.health
