"""The probes in progress: SWIM's probe round with Lifeguard's local health multiplier.

In each interval one member is pinged, in an order that is shuffled anew after each pass over all
members (SWIM 4.3: a failed member is probed within 2n - 1 intervals by each member, and by at
least one of them within a few). If no answer arrives within a quarter of the timeout, the member
is pinged once more, and other members are requested to ping it (ping-req). If no answer arrives by
the end of the timeout, which is one interval unless the health multiplier lengthens it, the probe
has failed.

The health multiplier (Lifeguard III.A) counts signs of a fault of this member itself: failed
probes, helpers that did not even send a nack, suspicions that it had to refute. It lengthens the
timeouts of probes and the time between two rounds.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from lilacwalk.membership.member import PRESENT_HEALTH, Member
from lilacwalk.membership.messages import Address
from lilacwalk.membership.view import MembershipView

INDIRECT_PROBES = 3  # SWIM's k: helpers that receive a ping-req
MAX_HEALTH_MULTIPLIER = 8  # as in the Lifeguard paper
RETRY_DIVISOR = 4  # retry after a quarter of the timeout: a round trip takes milliseconds
OUT_OF_TURN_DIVISOR = 2  # probes out of turn have half the timeout
SEQUENCE_MASK = 0xFFFF_FFFF
SEQUENCE_START_BITS = 30


@dataclass(eq=False, slots=True)
class Probe:
    """A ping that has not been answered by an ack yet."""

    sequence: int
    name: str
    started_at: int
    retry_at: int  # 0 after the retry
    deadline: int
    ping_requests: int = 0  # sent to helpers
    nacks: int = 0  # received from helpers
    out_of_turn: bool = False


@dataclass(eq=False, slots=True)
class RelayedPing:
    """A ping on behalf of a member that sent a ping-req."""

    sequence: int
    requester: Address
    requester_sequence: int
    nack_at: int  # 0 after the nack
    deadline: int


@dataclass(eq=False, slots=True)
class ProbeScheduler:
    """The probes in progress, the relayed pings, the order of targets and the health multiplier.

    Owned by the failure detector. Times and the interval are in tenths of a millisecond.
    """

    rng: random.Random
    interval: int
    rotation: list[str] = field(default_factory=list)  # the next target is the last element
    rotation_members: set[str] = field(default_factory=set)  # all in it since the last shuffle
    view_version: int = -1  # version of the view when newcomers were last inserted
    probes: dict[int, Probe] = field(default_factory=dict)
    relayed_pings: dict[int, RelayedPing] = field(default_factory=dict)
    health_multiplier: int = 0
    last_sequence: int = 0
    next_round_at: int = 0

    def __post_init__(self) -> None:
        """Chooses a random first number, so that no probe matches answers to an earlier process."""
        self.last_sequence = self.rng.getrandbits(SEQUENCE_START_BITS)

    def next_sequence(self) -> int:
        """Returns a new sequence number."""
        self.last_sequence = (self.last_sequence + 1) & SEQUENCE_MASK
        return self.last_sequence

    def adjust_health_multiplier(self, difference: int) -> None:
        """Raises or lowers the multiplier within its bounds."""
        multiplier = self.health_multiplier + difference
        self.health_multiplier = max(0, min(MAX_HEALTH_MULTIPLIER, multiplier))

    def next_target(self, view: MembershipView, own_name: str) -> Member | None:
        """Returns the next member in the rotation, None if there is no other member."""
        self._insert_newcomers(view)
        if len(view.present) < 2:
            return None
        while True:
            if not self.rotation:
                self._shuffle_rotation(view)
            member = view.get(self.rotation.pop())
            if member is not None and member.health in PRESENT_HEALTH and member.name != own_name:
                return member

    def _insert_newcomers(self, view: MembershipView) -> None:
        """Inserts new members at random positions (SWIM 4.3).

        Otherwise a new member would not be probed until all others have been.
        """
        if view.version == self.view_version:
            return
        self.view_version = view.version
        for member in view.present:
            if member.name not in self.rotation_members and self.rotation:
                position = self.rng.randint(0, len(self.rotation))
                self.rotation.insert(position, member.name)
                self.rotation_members.add(member.name)

    def _shuffle_rotation(self, view: MembershipView) -> None:
        self.rotation = sorted(member.name for member in view.present)
        self.rng.shuffle(self.rotation)
        self.rotation_members = set(self.rotation)

    def start_probe(self, name: str, now: int, out_of_turn: bool = False) -> Probe:
        """Registers and returns a probe; one that is out of turn has half the timeout."""
        divisor = OUT_OF_TURN_DIVISOR if out_of_turn else 1
        timeout = self.interval * (1 + self.health_multiplier) // divisor
        probe = Probe(
            self.next_sequence(),
            name,
            started_at=now,
            retry_at=now + timeout // RETRY_DIVISOR,
            deadline=now + timeout,
            out_of_turn=out_of_turn,
        )
        self.probes[probe.sequence] = probe
        return probe

    def is_probing(self, name: str) -> bool:
        """Whether a probe of this member is in progress."""
        return any(probe.name == name for probe in self.probes.values())

    def acknowledge(self, sequence: int) -> Probe | None:
        """Ends and returns the probe that an ack answers; None if it is unknown or has failed."""
        probe = self.probes.pop(sequence, None)
        if probe is not None and not probe.out_of_turn:
            self.adjust_health_multiplier(-1)
        return probe

    def negative_acknowledge(self, sequence: int) -> None:
        """Counts a nack from a helper."""
        probe = self.probes.get(sequence)
        if probe is not None and probe.nacks < probe.ping_requests:
            probe.nacks += 1

    def take_due_probes(self, now: int) -> tuple[list[Probe], list[Probe]]:
        """Returns the probes to be retried with helpers, and those that have failed."""
        to_retry, failed = [], []
        for probe in list(self.probes.values()):
            if now >= probe.deadline:
                del self.probes[probe.sequence]
                failed.append(probe)
            elif probe.retry_at and now >= probe.retry_at:
                probe.retry_at = 0
                to_retry.append(probe)
        return to_retry, failed

    def assess_failure(self, probe: Probe) -> None:
        """Raises the health multiplier by the missing nacks, or by one if no ping-req was sent."""
        if not probe.out_of_turn:
            missing_nacks = probe.ping_requests - probe.nacks
            self.adjust_health_multiplier(missing_nacks if probe.ping_requests else 1)

    def relay_ping(
        self, requester: Address, requester_sequence: int, now: int, limit: int
    ) -> RelayedPing | None:
        """Registers a ping on behalf of a requester; returns None if `limit` are in progress."""
        if len(self.relayed_pings) >= limit:
            return None
        relayed = RelayedPing(
            self.next_sequence(),
            requester,
            requester_sequence,
            nack_at=now + self.interval // 2,
            deadline=now + self.interval,
        )
        self.relayed_pings[relayed.sequence] = relayed
        return relayed

    def take_due_nacks(self, now: int) -> list[RelayedPing]:
        """Returns the relayed pings for which a nack is due; drops the expired ones."""
        due = []
        for relayed in list(self.relayed_pings.values()):
            if relayed.nack_at and now >= relayed.nack_at:
                relayed.nack_at = 0
                due.append(relayed)
            if now >= relayed.deadline:
                del self.relayed_pings[relayed.sequence]
        return due

    def next_deadline(self) -> int:
        """Returns when the next round, probe or relayed ping is due."""
        times = [self.next_round_at]
        times += [probe.retry_at or probe.deadline for probe in self.probes.values()]
        times += [relayed.nack_at or relayed.deadline for relayed in self.relayed_pings.values()]
        return min(times)

    def shift_deadlines(self, stalled_for: int) -> None:
        """Defers all deadlines by the time of a stall, in which this process read no answers."""
        self.next_round_at += stalled_for
        for probe in self.probes.values():
            probe.deadline += stalled_for
            probe.retry_at += stalled_for if probe.retry_at else 0
        for relayed in self.relayed_pings.values():
            relayed.deadline += stalled_for
            relayed.nack_at += stalled_for if relayed.nack_at else 0

    def cancel_all(self) -> None:
        """Drops all probes and relayed pings."""
        self.probes.clear()
        self.relayed_pings.clear()
