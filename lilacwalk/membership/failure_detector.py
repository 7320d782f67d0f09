"""Failure detection: failed probes start suspicions; unrefuted suspects are declared dead.

It differs from SWIM and Lifeguard, as docs/design/membership.md explains: a failed probe starts no
suspicion if a datagram from its target arrived after the probe began; a node that receives no
datagrams at all does not suspect others at first; suspected members are probed out
of turn, which means outside the regular rotation.
"""

from __future__ import annotations

from collections import deque
from typing import Protocol

from msgspec.structs import replace

from lilacwalk.membership.local_node import LocalNode
from lilacwalk.membership.member import PRESENT_HEALTH, Member
from lilacwalk.membership.messages import Datagram, GossipUpdate, Health, MessageType
from lilacwalk.membership.probing import INDIRECT_PROBES, Probe, ProbeScheduler
from lilacwalk.membership.suspicion import Suspicion, min_suspicion_timeout, start_suspicion

MAX_RELAYED_PINGS = 64
MAX_REMEMBERED_SUSPICIONS = 256
MAX_SILENT_PROBES = 4  # probes that may fail without a suspicion while no datagrams arrive
STALL_RECOVERY_INTERVALS = 4  # probe intervals after a stall in which the view may be outdated
SUSPICION_RATE_INTERVALS = 10  # probe intervals over which suspicions are counted


class ApplyUpdate(Protocol):
    """Merges an update into the view and follows up on the change, if any."""

    def __call__(self, update: GossipUpdate, now: int, reason: str) -> None:
        """Merges `update` into the view; the event that reports a change states `reason`."""


class FailureDetector:
    """Probes members, suspects those that do not answer, and declares them dead.

    Owns the probes, the suspicions, and the indications of a local fault: the counts of unanswered
    probes, the time of the last datagram from another member, and the end of the recovery from a
    stall. Times are in tenths of a millisecond.
    """

    def __init__(self, node: LocalNode, now: int, apply_update: ApplyUpdate) -> None:
        """Schedules the first probe round for `now`."""
        self.node = node
        self.apply_update = apply_update
        self.probes = ProbeScheduler(node.rng, node.interval, next_round_at=now)
        self.suspicions: dict[str, Suspicion] = {}
        self.started_at = now
        self.last_heard = now
        self.unanswered_probes = 0  # consecutive; probes out of turn are not counted
        self.silent_probes = 0  # probes that failed since the last datagram from another member
        self.stall_recovery_until = now
        self._suspected_at: deque[int] = deque(maxlen=MAX_REMEMBERED_SUSPICIONS)

    def is_recovering(self, now: int) -> bool:
        """Whether this node stalled recently and may hold an outdated view."""
        return now < self.stall_recovery_until

    def next_deadline(self) -> int:
        """Returns when the next probe or suspicion is due."""
        deadlines = [suspicion.deadline for suspicion in self.suspicions.values()]
        return min([self.probes.next_deadline(), *deadlines])

    def record_contact(self, now: int) -> None:
        """Records that a datagram from another member arrived."""
        self.last_heard = now
        self.silent_probes = 0

    def advance(self, now: int) -> None:
        """Handles overdue probes and nacks, and declares suspects dead after their timeout."""
        self.advance_probes(now)
        for relayed in self.probes.take_due_nacks(now):
            self.node.send(relayed.requester, MessageType.NACK, relayed.requester_sequence)
        expired = [suspicion for suspicion in self.suspicions.values() if now >= suspicion.deadline]
        for suspicion in expired:
            self._declare_dead(suspicion, now)

    def advance_probes(self, now: int) -> None:
        """Retries unanswered probes through other members, and handles those that expired."""
        to_retry, failed = self.probes.take_due_probes(now)
        for probe in to_retry:
            self._retry(probe)
        for probe in failed:
            self._handle_failure(probe, now)

    def probe_next(self, now: int) -> None:
        """Probes the next member in the rotation."""
        member = self.probes.next_target(self.node.view, self.node.name)
        if member is not None:
            self.ping(member, now)

    def ping(self, member: Member, now: int, out_of_turn: bool = False) -> None:
        """Starts a probe of a member; one that is `out_of_turn` has half the timeout."""
        probe = self.probes.start_probe(member.name, now, out_of_turn)
        self._send_ping(member, probe.sequence)

    def probe_suspects(self, now: int) -> None:
        """Probes a few suspects: those that this node reported, or whose timeout is half over.

        The ping carries the suspicion, since a member cannot refute one that it has not received. A
        node that did not report the suspect checks it before the timeout, because the refutation
        may have been lost.
        """
        name = self.node.name
        candidates = sorted(
            suspicion.name
            for suspicion in self.suspicions.values()
            if name in suspicion.reporters or 2 * now >= suspicion.started_at + suspicion.deadline
        )
        for suspect in self.node.rng.sample(candidates, min(len(candidates), INDIRECT_PROBES)):
            if not self.probes.is_probing(suspect):
                self.ping(self.node.view.members[suspect], now, out_of_turn=True)

    def suspicion_notice(self, member: Member) -> tuple[GossipUpdate, ...]:
        """Returns an update that the member is suspected or dead (Lifeguard); empty if alive."""
        return (member.update(False),) if member.health is not Health.ALIVE else ()

    def handle_ack(self, datagram: Datagram) -> None:
        """Ends the probe that an ack answers, or relays the ack to the sender of a ping-req."""
        relayed = self.probes.relayed_pings.pop(datagram.sequence, None)
        if relayed is not None:
            self.node.send(
                relayed.requester,
                MessageType.ACK,
                relayed.requester_sequence,
                target=datagram.sender,
            )
            return
        probe = self.probes.acknowledge(datagram.sequence)
        if probe is None:
            return
        self.unanswered_probes = 0
        member = self.node.view.get(probe.name)
        if member is not None:
            member.reached_via = datagram.sender if datagram.sender != probe.name else ""

    def handle_ping_req(self, datagram: Datagram, now: int) -> None:
        """Pings a member on behalf of the sender of a ping-req."""
        target = self.node.view.get(datagram.target)
        if target is None:
            return
        relayed = self.probes.relay_ping(
            datagram.reply_address, datagram.sequence, now, MAX_RELAYED_PINGS
        )
        if relayed is not None:
            self._send_ping(target, relayed.sequence)

    def confirm_suspicion(self, update: GossipUpdate) -> None:
        """Records that another member suspects a member that is already suspected here."""
        suspicion = self.suspicions.get(update.name)
        if suspicion is not None and suspicion.confirm(update.reported_by):
            self.node.gossip.enqueue(update, membership_change=True)

    def handle_health_change(
        self, member: Member, update: GossipUpdate, now: int, sender: str
    ) -> None:
        """Starts or ends a suspicion after an update changed the view.

        Newly suspected members are probed at once by all nodes that received the suspicion directly
        from its reporter, and by a few random others.
        """
        if member.health is not Health.SUSPECT:
            self.suspicions.pop(member.name, None)
            return
        suspicion = self.suspicions.get(member.name)
        if suspicion is not None and suspicion.concerns(member.precedence):
            return
        present = len(self.node.view.present)
        self.suspicions[member.name] = start_suspicion(
            member.name, member.precedence, update.reported_by, now, self.node.interval, present
        )
        reported_directly = update.reported_by == sender
        probability = 1.0 if reported_directly else INDIRECT_PROBES / max(INDIRECT_PROBES, present)
        needs_no_check = (
            update.reported_by == self.node.name
            or self.probes.is_probing(member.name)
            or self.is_recovering(now)
        )
        if not needs_no_check and self.node.rng.random() < probability:
            self.ping(member, now, out_of_turn=True)

    def count_suspicion(self, now: int) -> None:
        """Records the time of a suspicion for `suspicion_rate`."""
        self._suspected_at.append(now)

    def suspicion_rate(self, now: int) -> tuple[int, float]:
        """Returns the number of suspicions in the last ten intervals, and its earlier mean."""
        span = SUSPICION_RATE_INTERVALS * self.node.interval
        recent = sum(now - at <= span for at in self._suspected_at)
        earlier_span = max(span, now - self.started_at - span)
        earlier = max(0, self.node.counts["suspect"] - recent)
        return recent, earlier * span / earlier_span

    def handle_stall(self, now: int, stalled_for: int) -> bool:
        """Defers all deadlines by the duration of a stall of this process.

        Returns:
            Whether the stall was so long that the view is outdated and others may have declared
            this node dead.
        """
        self.probes.shift_deadlines(stalled_for)
        for suspicion in self.suspicions.values():
            suspicion.started_at += stalled_for
        self.last_heard += stalled_for
        if stalled_for < min_suspicion_timeout(self.node.interval, len(self.node.view.present)):
            return False
        self.stall_recovery_until = now + STALL_RECOVERY_INTERVALS * self.node.interval
        self.unanswered_probes = 0
        self.silent_probes = 0
        self.probes.probes.clear()
        return True

    def stop(self) -> None:
        """Cancels all probes and relayed pings, and drops all suspicions."""
        self.suspicions.clear()
        self.probes.cancel_all()

    def send_update_to_sample(self, update: GossipUpdate) -> None:
        """Sends an update to a few random members at once, so that they probe the suspect too.

        Gossip alone would delay the confirmations by the time that an update takes to reach all
        members.
        """
        peers = [member for member in self._alive_peers() if member.name != update.name]
        for peer in self.node.rng.sample(peers, min(len(peers), INDIRECT_PROBES)):
            sequence = self.probes.next_sequence()
            self.node.send(peer.address, MessageType.PING, sequence, first_updates=(update,))

    def _alive_peers(self) -> list[Member]:
        return [member for member in self.node.peers() if member.health is Health.ALIVE]

    def _send_ping(self, member: Member, sequence: int) -> None:
        notice = self.suspicion_notice(member)
        self.node.send(member.address, MessageType.PING, sequence, first_updates=notice)

    def _retry(self, probe: Probe) -> None:
        """Pings the member once more, and requests a few helpers to ping it."""
        member = self.node.view.get(probe.name)
        if member is None or member.health not in PRESENT_HEALTH:
            return
        self._send_ping(member, probe.sequence)
        helpers = [helper for helper in self._alive_peers() if helper is not member]
        for helper in self.node.rng.sample(helpers, min(INDIRECT_PROBES, len(helpers))):
            probe.ping_requests += 1
            self.node.send(helper.address, MessageType.PING_REQ, probe.sequence, target=probe.name)

    def _handle_failure(self, probe: Probe, now: int) -> None:
        """Suspects the member, unless the fault is likely in this node or in one direction."""
        member = self.node.view.get(probe.name)
        self.node.counts["failed_probes"] += 1
        if member is None or member.health not in PRESENT_HEALTH:
            return
        self.probes.assess_failure(probe)
        if not probe.out_of_turn:
            self.unanswered_probes += 1
        if member.last_heard > probe.started_at:
            self.node.counts["one_way"] += 1  # the target runs: one direction of the link fails
            return
        if self.last_heard <= probe.started_at:
            self.silent_probes += 1
            if self.silent_probes <= MAX_SILENT_PROBES and len(self.node.peers()) > 1:
                return  # no datagrams arrive at all: the fault is likely in this node
        if not self.is_recovering(now):
            self._suspect(member, now)

    def _suspect(self, member: Member, now: int) -> None:
        """Starts a suspicion, or confirms one that another member reported."""
        update = with_report(member.update(False), self.node.name, Health.SUSPECT)
        suspicion = self.suspicions.get(member.name)
        if suspicion is not None and suspicion.concerns(member.precedence):
            if suspicion.confirm(self.node.name):
                self.node.gossip.enqueue(update, membership_change=True)
            return
        self.apply_update(update, now, "did not answer a probe")
        self.send_update_to_sample(update)
        self.probe_suspects(now)

    def _declare_dead(self, suspicion: Suspicion, now: int) -> None:
        self.suspicions.pop(suspicion.name, None)
        member = self.node.view.get(suspicion.name)
        if member is None or member.health is not Health.SUSPECT:
            return
        if member.precedence != suspicion.precedence:
            return
        update = with_report(member.update(False), self.node.name, Health.DEAD)
        reporters = ",".join(sorted(suspicion.reporters))
        duration_ms = (now - suspicion.started_at) / 10
        self.apply_update(update, now, f"suspected for {duration_ms:.0f} ms by {reporters}")
        self.send_update_to_sample(update)


def with_report(update: GossipUpdate, reported_by: str, health: Health) -> GossipUpdate:
    """Returns a copy of the update with this reporter and this health."""
    return replace(update, reported_by=reported_by, health=health)
