"""Merges claims about members into the view and passes the changes to the other components."""

from __future__ import annotations

from dataclasses import dataclass

from lilacwalk.membership.failure_detector import FailureDetector
from lilacwalk.membership.incarnation import ClaimOutcome
from lilacwalk.membership.join import JoinProtocol
from lilacwalk.membership.local_node import LocalNode
from lilacwalk.membership.member import Change, Member
from lilacwalk.membership.messages import GossipUpdate, Health
from lilacwalk.membership.partitions import mark_partitioned_members
from lilacwalk.membership.state_exchange import StateExchange

# changes that become events and are gossiped with priority
REPORTED_CHANGES = frozenset(Change) - {Change.UPDATED, Change.CONFIRMED}
DEFAULT_REASON = "reported by another member"


@dataclass(frozen=True, slots=True)
class ClaimSource:
    """The origin of a claim.

    `reason` is stated in the event that reports the change. `sender` is the member whose datagram
    carried the claim, empty for a claim by this node. `from_exchange` is true for a claim in a
    state reply or push.
    """

    reason: str = DEFAULT_REASON
    sender: str = ""
    from_exchange: bool = False


class ClaimHandler:
    """Merges claims into the view and passes changes to other components; owns no state."""

    def __init__(
        self,
        node: LocalNode,
        detector: FailureDetector,
        exchange: StateExchange,
        joining: JoinProtocol,
    ) -> None:
        """Stores the components that react to changes."""
        self.node = node
        self.detector = detector
        self.exchange = exchange
        self.joining = joining

    def apply(self, update: GossipUpdate, now: int, source: ClaimSource) -> None:
        """Merges a claim into the view; gossips, reports and follows up on the change, if any."""
        if update.name == self.node.name:
            self.apply_to_self(update, now)
            return
        if source.from_exchange and self._notify_if_reported_dead(update, now):
            return
        change = self.node.view.apply(update, now)
        if change is None:
            return
        if change is Change.CONFIRMED:
            self.detector.confirm_suspicion(update)
            return
        member = self.node.view.get(update.name)
        if member is None:
            return
        with_metadata = update.metadata is not None or change is Change.JOINED
        is_reported = change in REPORTED_CHANGES
        self.node.gossip.enqueue(member.update(with_metadata), is_reported)
        if is_reported:
            self._follow_up(change, member, update, now, source)

    def apply_to_self(self, claim: GossipUpdate, now: int) -> None:
        """Answers a claim about the local name: refutes it, supersedes it, or yields the name."""
        match self.node.identity.handle_claim(claim):
            case ClaimOutcome.IGNORED:
                return
            case ClaimOutcome.YIELDED:
                change = "yielded"
                reason = f"another process holds this name, with incarnation {claim.incarnation}"
            case ClaimOutcome.REFUTED:
                self.node.counts["refutations"] += 1
                self.detector.probes.adjust_health_multiplier(1)
                change = "refuted-doubt"
                reason = f"refuted the claim that this member is {claim.health.name.lower()}"
            case ClaimOutcome.SUPERSEDED:
                change = "stepped"
                reason = f"superseded incarnation {claim.incarnation} of another process"
        self.node.record_event(now, change, self.node.name, reason, claim.reported_by)
        self.node.publish_own_update(now)

    def _notify_if_reported_dead(self, update: GossipUpdate, now: int) -> bool:
        """Notifies a member that is alive in this view of a claim that reports its death.

        After a partition heals, each side considers the other side dead. If members accepted such
        claims, each would declare its own side dead; if they treated the claims as suspicions, all
        of these would be gossiped to all members. So only the reported member is notified, and
        refutes the claim. If that member is dead, this node's own probes detect it.

        Returns:
            Whether the claim reported the death of a member that is alive in this view.
        """
        if update.health is not Health.DEAD:
            return False
        member = self.node.view.get(update.name)
        if member is None or member.health is not Health.ALIVE or update.process != member.process:
            return False
        self.exchange.notify_of_reported_death(member, update, now)
        return True

    def _follow_up(
        self, change: Change, member: Member, update: GossipUpdate, now: int, source: ClaimSource
    ) -> None:
        self.node.counts[change.value] += 1
        if change is Change.SUSPECTED:
            self.detector.count_suspicion(now)
        self.detector.handle_health_change(member, update, now, source.sender)
        if change is Change.DEAD:
            self.joining.record_loss(now)
            self.exchange.forget_peer(member.name)
            self._report_partitions(now)
        self.node.record_event(now, change.value, member.name, source.reason, update.reported_by)

    def _report_partitions(self, now: int) -> None:
        for partition in mark_partitioned_members(self.node.view, self.node.interval):
            recent, usual = self.detector.suspicion_rate(now)
            rate = f"{recent} suspicions in the last ten probe intervals, usually {usual:.1f}"
            reason = f"{partition.losses} members lost within a short time; {rate}"
            self.node.record_event(now, "cut", partition.site, reason, self.node.name)
