"""The table of members, built from claims: of two claims about a member the newer one wins.

Claims about a member are ordered by (incarnation, instance, refutation, health): a restart has a
new incarnation, and a refutation has a new refutation number in the same incarnation. With equal
numbers, suspect overrides alive, dead overrides suspect, and left overrides dead. Taking the larger
of two claims is commutative, associative and idempotent: nodes that have received the same claims,
in any order and any number of times, hold the same table. Metadata is likewise ordered by
(incarnation, instance, version).

Cost: applying a claim is O(1), as the digest is updated incrementally; the list of present members
is rebuilt after a change. Members that died or left are forgotten after the retention time: they
stay in the table without metadata for the same time again, so that an old update does not revive
them.
"""

from __future__ import annotations

from hashlib import blake2b

from lilacwalk.membership.member import PRESENT_HEALTH, Change, Member
from lilacwalk.membership.messages import (
    BUCKET_DIGEST_BYTES,
    DIGEST_BUCKETS,
    GossipUpdate,
    Health,
    NodeState,
)

DIGEST_MASK = (1 << 63) - 1  # digests fit a signed 64-bit integer


class MembershipView:
    """The members that this node knows; equal views have equal digests, in total and per bucket.

    Owned by the local node. `version` counts changes, `rejected_updates` claims that were dropped
    because the table was full.
    """

    def __init__(self, max_members: int) -> None:
        """Creates an empty view; `max_members` limits known and forgotten members together."""
        self.max_members = max_members
        self.members: dict[str, Member] = {}
        self.buckets: list[dict[str, Member]] = [{} for _ in range(DIGEST_BUCKETS)]
        self.bucket_digests = [0] * DIGEST_BUCKETS
        self.digest = 0
        self.version = 0
        self.rejected_updates = 0
        self._present: list[Member] | None = None

    def get(self, name: str) -> Member | None:
        """Returns a member, None if it is unknown or forgotten."""
        member = self.members.get(name)
        return member if member is not None and member.metadata is not None else None

    @property
    def present(self) -> list[Member]:
        """The members that are alive or suspected."""
        if self._present is None:
            self._present = [
                member
                for member in self.members.values()
                if member.health in PRESENT_HEALTH and member.metadata is not None
            ]
        return self._present

    def with_health(self, health: Health) -> list[Member]:
        """Returns the members with this health that are not forgotten."""
        return [
            member
            for member in self.members.values()
            if member.health is health and member.metadata is not None
        ]

    def known(self) -> list[Member]:
        """Returns all members that are not forgotten."""
        return [member for member in self.members.values() if member.metadata is not None]

    def draining(self) -> list[Member]:
        """Returns the present members that report that they are draining."""
        return [
            member
            for member in self.present
            if member.metadata is not None and member.metadata.state is NodeState.DRAINING
        ]

    def packed_bucket_digests(self) -> bytes:
        """Returns the digests of all buckets in the format of a state request."""
        return b"".join(
            digest.to_bytes(BUCKET_DIGEST_BYTES, "big") for digest in self.bucket_digests
        )

    def differing_buckets(self, packed: bytes) -> list[int]:
        """Returns the buckets whose digests differ from `packed`; all if it is incomplete."""
        if len(packed) != BUCKET_DIGEST_BYTES * DIGEST_BUCKETS:
            return list(range(DIGEST_BUCKETS))
        return [
            bucket
            for bucket, own_digest in enumerate(self.bucket_digests)
            if _digest_at(packed, bucket) != own_digest
        ]

    def apply(self, update: GossipUpdate, now: int) -> Change | None:
        """Merges a claim into the table.

        Returns:
            The change, also for newer metadata or a second report of a suspicion; None if the claim
            changes nothing, or does not revive a forgotten member.
        """
        member = self.members.get(update.name)
        if member is None:
            return self._add(update, now)
        is_newer = update.precedence > member.precedence
        metadata = member.newer_metadata(update)
        if not is_newer and metadata is None:
            return Change.CONFIRMED if member.is_confirmed_by(update) else None
        if member.metadata is None:
            if metadata is None or not is_newer:
                return None  # an old claim, or one without metadata, revives no forgotten member
            if update.health not in PRESENT_HEALTH:
                member.set_precedence(update)
                return None
        change = member.change_by(update, metadata, is_newer=is_newer)
        if is_newer:
            member.advance(update, now)
        if metadata is not None:
            member.metadata = metadata
            member.metadata_at = now
        self._refresh(member)
        return change

    def forget(self, now: int, after: int) -> list[str]:
        """Drops the metadata of members gone for the time `after`, and their rows after twice that.

        Returns:
            The names whose metadata was dropped.
        """
        forgotten = []
        for member in list(self.members.values()):
            if member.health in PRESENT_HEALTH:
                continue
            gone_for = now - member.health_since
            if gone_for >= 2 * after:
                self._drop(member)
            elif member.metadata is not None and gone_for >= after:
                member.metadata = None
                forgotten.append(member.name)
        return forgotten

    def _add(self, update: GossipUpdate, now: int) -> Change | None:
        if update.metadata is None:
            return None
        if len(self.members) >= self.max_members and not self._make_room():
            self.rejected_updates += 1
            return None
        member = Member(
            update.name,
            update.incarnation,
            update.instance,
            update.refutation,
            update.health,
            update.metadata,
            health_since=now,
            reported_by=update.reported_by,
            metadata_at=now,
        )
        self.members[member.name] = member
        self.buckets[bucket_of(member.name)][member.name] = member
        self._refresh(member)
        return Change.JOINED if update.health in PRESENT_HEALTH else Change.UPDATED

    def _make_room(self) -> bool:
        """Drops the member gone for longest, forgotten ones first; False: all are present."""
        gone = [member for member in self.members.values() if member.health not in PRESENT_HEALTH]
        if not gone:
            return False
        self._drop(
            min(
                gone,
                key=lambda member: (member.metadata is not None, member.health_since, member.name),
            )
        )
        return True

    def _refresh(self, member: Member) -> None:
        """Updates the digests and invalidates the cached list after a member changed."""
        digest = row_digest(member)
        if digest != member.row_digest:
            difference = digest ^ member.row_digest
            self.digest ^= difference
            self.bucket_digests[bucket_of(member.name)] ^= difference
            member.row_digest = digest
        self._present = None
        self.version += 1

    def _drop(self, member: Member) -> None:
        del self.members[member.name]
        del self.buckets[bucket_of(member.name)][member.name]


def row_digest(member: Member) -> int:
    """Returns a hash of a present member's process, state and address.

    The result is 0 if the member is not present or its metadata is unknown.

    Refutations and suspicions are not included: they are temporary and do not change which members
    are present.
    """
    metadata = member.metadata
    if member.health not in PRESENT_HEALTH or metadata is None:
        return 0
    location = f"{metadata.site} {metadata.host} {metadata.port}"
    process = f"{member.name} {member.incarnation} {member.instance}"
    text = f"{process} {metadata.state} {metadata.withdrawn:d} {location}"
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big") & DIGEST_MASK


def bucket_of(name: str) -> int:
    """Returns the digest bucket of a member."""
    return blake2b(name.encode(), digest_size=1).digest()[0] % DIGEST_BUCKETS


def _digest_at(packed: bytes, bucket: int) -> int:
    start = BUCKET_DIGEST_BYTES * bucket
    return int.from_bytes(packed[start : start + BUCKET_DIGEST_BYTES], "big")
