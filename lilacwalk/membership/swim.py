"""The membership state machine: takes datagrams and the time, produces datagrams and events.

It coordinates the components of the protocol and does no I/O. All times are in tenths of a
millisecond.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import replace as replace_config

from msgspec.structs import replace

from lilacwalk.membership.actions import MembershipEvent, SendDatagram
from lilacwalk.membership.assessment import ViewAssessment
from lilacwalk.membership.claims import ClaimHandler, ClaimSource
from lilacwalk.membership.conclusions import Conclusion, Verdict, ViewStatistics
from lilacwalk.membership.config import MemberConfig
from lilacwalk.membership.failure_detector import FailureDetector
from lilacwalk.membership.join import JoinProtocol
from lilacwalk.membership.local_node import LocalNode
from lilacwalk.membership.member import Member
from lilacwalk.membership.messages import (
    Datagram,
    GossipUpdate,
    MemberMetadata,
    MessageType,
    NodeState,
)
from lilacwalk.membership.probing import INDIRECT_PROBES
from lilacwalk.membership.receiving import DatagramReceiver
from lilacwalk.membership.state_exchange import StateExchange

LEAVE_NOTICES = 2 * INDIRECT_PROBES + 2  # members notified directly of a leave
FORGET_CHECKS_PER_RETENTION = 20  # the retention is `forget_after`


class Membership:
    """One member of the fleet.

    Owns its components, and the times of the last tick and of the next check for members to
    forget. All calls come from one thread.
    """

    # replaced in variants of the protocol, with which benchmarks compare this one
    failure_detector_type = FailureDetector
    state_exchange_type = StateExchange

    def __init__(
        self,
        config: MemberConfig,
        rng: random.Random,
        now: int,
        wall_ms: int,
        stored_incarnation: int = 0,
        stored_members: Iterable[GossipUpdate] = (),
        revision: str = "",
    ) -> None:
        """Creates a member with only itself in its view.

        Args:
            config: configuration of this member.
            rng: the only source of randomness.
            now: elapsed time.
            wall_ms: the Unix clock in milliseconds.
            stored_incarnation: incarnation of the last process, 0 if none was stored.
            stored_members: members that the last process knew.
            revision: the program's revision, which is published to other members.
        """
        self.node = LocalNode(config, rng, now, wall_ms, stored_incarnation, revision)
        self.view = self.node.view
        self.identity = self.node.identity
        self.counts = self.node.counts
        self.events = self.node.events
        self.failure_detector = self.failure_detector_type(self.node, now, self._apply_update)
        self.probes = self.failure_detector.probes
        self.exchange = self.state_exchange_type(self.node, self.probes, now)
        self.joining = JoinProtocol(self.node, self.exchange, now, stored_members)
        components = (self.node, self.failure_detector, self.exchange, self.joining)
        self.claims = ClaimHandler(*components)
        self.assessment = ViewAssessment(*components)
        self.receiver = DatagramReceiver(*components, self.claims)
        self.last_tick = now
        self.next_forget_at = now

    @property
    def config(self) -> MemberConfig:
        """The member's configuration."""
        return self.node.config

    @property
    def name(self) -> str:
        """The member's name."""
        return self.node.name

    @property
    def interval(self) -> int:
        """The probe interval."""
        return self.node.interval

    @property
    def metadata(self) -> MemberMetadata:
        """The metadata that this member has published."""
        return self.node.metadata

    @property
    def latest_metadata(self) -> MemberMetadata:
        """The latest metadata of this member, published or not."""
        return self.node.pending_metadata or self.node.metadata

    @property
    def has_joined(self) -> bool:
        """Whether another member has answered this process."""
        return self.joining.has_joined

    # Conclusions

    def settled(self, now: int) -> bool:
        """Whether no suspicion, stall, name conflict or join is pending, and peers agree."""
        return self.assessment.is_settled(now)

    def conclusion(self, now: int) -> Conclusion:
        """Returns the verdict on the reliability of this node's view, with its reason."""
        return self.assessment.conclusion(now)

    def statistics(self, now: int) -> ViewStatistics:
        """Returns the statistics that determine the verdict."""
        return self.assessment.statistics(now)

    def may_withdraw(self, now: int, verdict: Verdict | None = None) -> bool:
        """Returns whether this node may withdraw; see ViewAssessment.may_withdraw."""
        return self.assessment.may_withdraw(now, verdict)

    def suspicion_rate(self, now: int) -> tuple[int, float]:
        """Returns the number of suspicions in the last ten intervals, and its earlier mean."""
        return self.failure_detector.suspicion_rate(now)

    # Output for the host

    def next_deadline(self) -> int:
        """Returns when `tick` is due."""
        return min(self.failure_detector.next_deadline(), self.next_forget_at)

    def take_datagrams(self) -> list[SendDatagram]:
        """Returns the datagrams queued since the last call."""
        return self.node.take_datagrams()

    def take_events(self) -> list[MembershipEvent]:
        """Returns the events recorded since the last call."""
        return self.node.take_events()

    # Metadata, configuration and leave of this member

    def update_metadata(
        self,
        now: int,
        state: NodeState | None = None,
        withdrawn: bool | None = None,
        **metrics: object,
    ) -> None:
        """Changes the metadata that this member publishes; see LocalNode.update_metadata."""
        self.node.update_metadata(now, state, withdrawn, **metrics)

    def restore_incarnation(self, stored_incarnation: int, now: int) -> None:
        """Raises the incarnation above one that was read from disk only after the start."""
        if self.identity.incarnation <= stored_incarnation:
            self.identity.incarnation = stored_incarnation + 1
            self.node.publish_own_update(now)

    def reconfigure(self, config: MemberConfig, now: int) -> None:
        """Applies a changed configuration; a changed name takes effect at the next start."""
        previous = self.config
        self.node.config = replace_config(config, name=previous.name)
        self.probes.interval = config.probe_interval
        if (config.site, config.address) != (previous.site, previous.address):
            host, port = config.address
            metadata = replace(self.metadata, site=config.site, host=host, port=port)
            self.node.publish_metadata(metadata, now, membership_change=True)

    def leave(self) -> None:
        """Notifies some members that this one leaves; they gossip the leave. Probing stops."""
        if self.identity.has_left:
            return
        self.identity.leave()
        peers = self.node.peers()
        self.node.rng.shuffle(peers)
        self._announce_leave(peers[:LEAVE_NOTICES])

    def repeat_leave(self) -> None:
        """Notifies further members of the leave, since datagrams may be lost."""
        self._announce_leave(self.node.sample_peers(LEAVE_NOTICES))

    def _announce_leave(self, peers: list[Member]) -> None:
        for peer in peers:
            sequence = self.probes.next_sequence()
            updates = (self.node.own_update(),)
            self.node.send(peer.address, MessageType.PING, sequence, first_updates=updates)

    def ping(self, member: Member, now: int, out_of_turn: bool = False) -> None:
        """Starts a probe of a member; one that is `out_of_turn` has half the timeout."""
        self.failure_detector.ping(member, now, out_of_turn)

    # Events: the passing of time and datagrams

    def tick(self, now: int) -> None:
        """Handles all due deadlines. Call this at `next_deadline`; earlier calls do no harm."""
        self._check_for_stall(now)
        self.last_tick = now
        if self.identity.has_left or self.identity.has_yielded:
            self.failure_detector.stop()
            self.probes.next_round_at = now + self.interval
            self.next_forget_at = now + self.interval
            return
        self.failure_detector.advance(now)
        if now >= self.probes.next_round_at:
            self._protocol_round(now)
        if now >= self.next_forget_at:
            self.next_forget_at = now + max(
                self.interval, self.config.forget_after // FORGET_CHECKS_PER_RETENTION
            )
            self.view.forget(now, self.config.forget_after)
            self.exchange.forget_unknown()

    def _check_for_stall(self, now: int) -> None:
        """Defers deadlines by the time in which this process did not run."""
        expected_at = max(self.last_tick, min(self.next_deadline(), now))
        if now - expected_at <= self.interval // 2:
            return
        stalled_for = now - self.last_tick
        view_is_outdated = self.failure_detector.handle_stall(now, stalled_for)
        self.counts["stood_still"] += 1
        if not view_is_outdated:
            return
        self.identity.presumed_dead = True
        reason = f"this process did not run for {stalled_for / 10:.0f} ms"
        self.node.record_event(now, "stood-still", self.name, reason, self.name)
        for peer in self.node.sample_peers(INDIRECT_PROBES):
            self.exchange.request(peer.address, now)

    def _protocol_round(self, now: int) -> None:
        multiplier = self.probes.health_multiplier
        self.probes.next_round_at = now + self.interval * (1 + multiplier // 2)
        self.node.publish_due_metrics(now)
        self.failure_detector.probe_next(now)
        self.failure_detector.probe_suspects(now)
        self.joining.attempt(now)
        self.exchange.request_from_differing(now)
        if not self.failure_detector.is_recovering(now):
            self.identity.presumed_dead = False

    def _apply_update(self, update: GossipUpdate, now: int, reason: str) -> None:
        """Merges a claim made by this node into the view."""
        self.claims.apply(update, now, ClaimSource(reason))

    def receive(self, datagram: Datagram, now: int) -> None:
        """Handles a datagram from another member."""
        self.receiver.receive(datagram, now)
