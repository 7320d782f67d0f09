"""The identity of the local member: its incarnation, its refutations, and conflicts over its name.

The incarnation is the larger of the clock's milliseconds and the stored incarnation plus one, so a
clock that was set back does no harm if the last incarnation is on the disk. Otherwise the other
members supply it: the first answer to a newcomer contains the claim that they hold about its name,
and the newcomer takes a higher incarnation. An incarnation that others consider old is thus never
used again.

The instance is generated at the start (the clock's milliseconds, then 20 random bits) and
distinguishes processes that use the same name. A claim of another instance with a higher
precedence than the local one is handled according to the state of that instance:

it is dead or has left                              an earlier process: supersede it
this process has just started, and has not          likely an earlier process of this member:
superseded it yet                                   supersede it
its incarnation exceeds the one that superseded it  it is running: a name conflict
this process was established before it appeared     it started under this name: a name conflict

In a conflict the smaller instance, which started first, keeps the name, unless it stalled for so
long that the others presumed it dead: then the newer process was started to replace it. The process
that does not keep the name yields: it makes no more claims until it is restarted with another name.
"""

from __future__ import annotations

from enum import Enum, auto

from lilacwalk.membership.messages import (
    MAX_INCARNATION,
    MAX_REFUTATION,
    GossipUpdate,
    Health,
    Precedence,
)

INSTANCE_RANDOM_BITS = 20
INSTANCE_CLOCK_BITS = 42
MAX_SUPERSEDED_INSTANCES = 16  # remembered; claims about earlier ones are no longer expected


class ClaimOutcome(Enum):
    """The outcome of a claim about the local name."""

    IGNORED = auto()
    REFUTED = auto()  # a claimed suspicion or death, answered by a higher refutation number
    SUPERSEDED = auto()  # a claim by another process, answered by a higher incarnation
    YIELDED = auto()  # the name belongs to another process


class LocalIdentity:
    """The name, incarnation, instance and refutation number of this process.

    Owned by the local node. `established` is set once other members answer this process some time
    after its start, `presumed_dead` while others may have declared it dead because of a stall.
    """

    def __init__(self, name: str, stored_incarnation: int, wall_ms: int, random_bits: int) -> None:
        """Chooses the incarnation and the instance.

        Args:
            name: name of the member.
            stored_incarnation: incarnation of the last process, 0 if none was stored.
            wall_ms: the Unix clock in milliseconds.
            random_bits: an integer of INSTANCE_RANDOM_BITS random bits.
        """
        self.name = name
        self.incarnation = min(max(stored_incarnation + 1, wall_ms, 1), MAX_INCARNATION)
        clock = max(0, wall_ms) % (1 << INSTANCE_CLOCK_BITS)
        self.instance = clock << INSTANCE_RANDOM_BITS | random_bits
        self.refutation = 0
        self.health = Health.ALIVE
        self.established = False
        self.presumed_dead = False
        self.superseded: dict[int, int] = {}  # instance -> incarnation that superseded it
        self.yielded_to: GossipUpdate | None = None

    @property
    def has_yielded(self) -> bool:
        """Whether another process holds the name."""
        return self.yielded_to is not None

    @property
    def has_left(self) -> bool:
        """Whether this member has announced that it leaves."""
        return self.health is Health.LEFT

    @property
    def precedence(self) -> Precedence:
        """The precedence of the claim that this member makes about itself."""
        return self.incarnation, self.instance, self.refutation, self.health

    def leave(self) -> None:
        """Marks this member as having left."""
        self.health = Health.LEFT

    def handle_claim(self, claim: GossipUpdate) -> ClaimOutcome:
        """Answers another member's claim about this name by a change of the identity, if needed."""
        if self.has_yielded:
            return ClaimOutcome.IGNORED
        if claim.instance == self.instance:
            return self._refute(claim)
        if claim.process < (self.incarnation, self.instance):
            return ClaimOutcome.IGNORED  # the local claim is newer and will reach the sender
        if claim.health in (Health.DEAD, Health.LEFT):
            return self._supersede(claim)
        superseded_by = self.superseded.get(claim.instance)
        is_running = superseded_by is not None and claim.incarnation > superseded_by
        if not is_running and not self.established:
            return self._supersede(claim)
        if superseded_by is not None and not is_running:
            return ClaimOutcome.IGNORED  # the claim was made before the instance was superseded
        if self.instance < claim.instance and not self.presumed_dead:
            return self._supersede(claim)
        return self._yield_to(claim)

    def _refute(self, claim: GossipUpdate) -> ClaimOutcome:
        """Answers a claim about this process itself; refutes a suspicion or death."""
        if (claim.incarnation, claim.refutation) < (self.incarnation, self.refutation):
            return ClaimOutcome.IGNORED
        if claim.health is Health.ALIVE or self.health is Health.LEFT:
            return ClaimOutcome.IGNORED
        self.refutation = max(self.refutation, claim.refutation) + 1
        if self.refutation > MAX_REFUTATION:
            self.incarnation = min(self.incarnation + 1, MAX_INCARNATION)
            self.refutation = 0
        return ClaimOutcome.REFUTED

    def _supersede(self, claim: GossipUpdate) -> ClaimOutcome:
        """Answers a claim about another process by taking a higher incarnation, if there is one."""
        if claim.incarnation >= MAX_INCARNATION:
            if self.instance < claim.instance:  # no higher incarnation exists: instances decide
                return self._yield_to(claim)
            self.incarnation = MAX_INCARNATION
            return ClaimOutcome.SUPERSEDED
        self.incarnation = claim.incarnation + 1
        self.refutation = 0
        if len(self.superseded) >= MAX_SUPERSEDED_INSTANCES:
            self.superseded.pop(next(iter(self.superseded)))
        self.superseded[claim.instance] = self.incarnation
        return ClaimOutcome.SUPERSEDED

    def _yield_to(self, claim: GossipUpdate) -> ClaimOutcome:
        self.yielded_to = claim
        return ClaimOutcome.YIELDED
