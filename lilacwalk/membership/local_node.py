"""The local member: its identity and metadata, its view, and the datagrams and events it emits."""

from __future__ import annotations

import random
from collections import Counter, deque

from msgspec.structs import replace

from lilacwalk.membership.actions import MembershipEvent, SendDatagram
from lilacwalk.membership.config import MemberConfig
from lilacwalk.membership.dissemination import GossipQueue
from lilacwalk.membership.incarnation import INSTANCE_RANDOM_BITS, LocalIdentity
from lilacwalk.membership.member import Member
from lilacwalk.membership.messages import (
    MAX_UPDATE_BYTES,
    Address,
    Datagram,
    GossipUpdate,
    MemberMetadata,
    MessageType,
    NodeState,
)
from lilacwalk.membership.view import MembershipView

MAX_EVENTS = 256  # recent events that operators can query
METRICS_INTERVALS = 4  # probe intervals between two published updates of metrics
MEMBERS_PER_METRICS_SPACING = 50  # a fleet n times this size publishes metrics n times less often


class LocalNode:
    """State shared by the components of the membership state machine.

    Owns the configuration, the random generator, the identity and metadata of this member, the
    view, the gossip queue, the outgoing datagrams, the events and the counters. Only the state
    machine changes the view.
    """

    def __init__(
        self,
        config: MemberConfig,
        rng: random.Random,
        now: int,
        wall_ms: int,
        stored_incarnation: int = 0,
        revision: str = "",
    ) -> None:
        """Creates the member, alone in its view; `wall_ms` is the Unix clock in milliseconds."""
        self.config = config
        self.rng = rng
        random_bits = rng.getrandbits(INSTANCE_RANDOM_BITS)
        self.identity = LocalIdentity(config.name, stored_incarnation, wall_ms, random_bits)
        self.metadata = MemberMetadata(config.site, *config.address, version=1, revision=revision)
        self.pending_metadata: MemberMetadata | None = None  # changed metadata, not published yet
        self.next_metrics_at = now
        self.view = MembershipView(config.max_members)
        self.gossip = GossipQueue()
        self.events: deque[MembershipEvent] = deque(maxlen=MAX_EVENTS)
        self.counts: Counter[str] = Counter()
        self._datagrams: list[SendDatagram] = []
        self._new_events: list[MembershipEvent] = []
        self.view.apply(self.own_update(), now)

    @property
    def name(self) -> str:
        """The member's name."""
        return self.config.name

    @property
    def interval(self) -> int:
        """The probe interval in tenths of a millisecond."""
        return self.config.probe_interval

    def own_update(self) -> GossipUpdate:
        """Returns this member's claim about itself."""
        identity = self.identity
        return GossipUpdate(
            identity.name,
            identity.incarnation,
            identity.instance,
            identity.refutation,
            identity.health,
            identity.name,
            self.metadata,
        )

    def peers(self) -> list[Member]:
        """Returns the other present members."""
        return [member for member in self.view.present if member.name != self.name]

    def sample_peers(self, count: int) -> list[Member]:
        """Returns up to `count` other present members, chosen at random."""
        peers = self.peers()
        return self.rng.sample(peers, min(len(peers), count))

    def take_datagrams(self) -> list[SendDatagram]:
        """Returns the datagrams queued since the last call."""
        datagrams = self._datagrams
        self._datagrams = []
        return datagrams

    def take_events(self) -> list[MembershipEvent]:
        """Returns the events recorded since the last call."""
        events = self._new_events
        self._new_events = []
        return events

    def record_event(
        self, now: int, change: str, member: str, reason: str, reported_by: str
    ) -> None:
        """Stores an event and passes it to the host."""
        event = MembershipEvent(now, change, member, reason, reported_by)
        self.events.append(event)
        self._new_events.append(event)

    def update_metadata(
        self,
        now: int,
        state: NodeState | None = None,
        withdrawn: bool | None = None,
        **metrics: object,
    ) -> None:
        """Changes the metadata that this member publishes.

        A changed state, withdrawal, operator command or site stage is published at once. Metrics
        are published periodically, less often in a large fleet, so that each member's traffic does
        not grow with the fleet.

        Args:
            now: in tenths of a millisecond.
            state: the new state; None leaves it unchanged.
            withdrawn: whether this member has withdrawn its routes; None leaves it unchanged.
            metrics: other fields of MemberMetadata.
        """
        current = self.pending_metadata or self.metadata
        updated = replace(current, **metrics) if metrics else current
        state = updated.state if state is None else state
        withdrawn = updated.withdrawn if withdrawn is None else withdrawn
        is_urgent = (
            state is not updated.state
            or withdrawn is not updated.withdrawn
            or updated.operator_commands != self.metadata.operator_commands
            or updated.site_stages != self.metadata.site_stages
        )
        if is_urgent:
            updated = replace(updated, state=state, withdrawn=withdrawn)
            self.publish_metadata(updated, now, membership_change=True)
        elif updated != current or self.pending_metadata is not None:
            self.pending_metadata = updated
            self.publish_due_metrics(now)

    def publish_due_metrics(self, now: int) -> None:
        """Publishes pending metadata if it is due."""
        if self.pending_metadata is not None and now >= self.next_metrics_at:
            self.publish_metadata(self.pending_metadata, now, membership_change=False)

    def publish_metadata(
        self, metadata: MemberMetadata, now: int, *, membership_change: bool
    ) -> None:
        """Gossips this metadata as a new version, with priority if `membership_change`."""
        self.metadata = replace(metadata, version=self.metadata.version + 1)
        self.pending_metadata = None
        fleet_factor = max(1, len(self.view.present) // MEMBERS_PER_METRICS_SPACING)
        self.next_metrics_at = now + METRICS_INTERVALS * self.interval * fleet_factor
        self.publish_own_update(now, membership_change=membership_change)

    def publish_own_update(self, now: int, *, membership_change: bool = True) -> None:
        """Gossips this member's claim about itself; does nothing if the name was yielded."""
        if not self.identity.has_yielded:
            self.view.apply(self.own_update(), now)
            self.gossip.enqueue(self.own_update(), membership_change)

    def send(
        self,
        address: Address,
        message_type: MessageType,
        sequence: int,
        *,
        target: str = "",
        first_updates: tuple[GossipUpdate, ...] = (),
        with_gossip: bool = True,
        bucket_digests: bytes = b"",
        part: int = 0,
        parts: int = 0,
    ) -> None:
        """Queues a datagram for the host, with `first_updates` and as much gossip as fits.

        Nothing is queued once this process has yielded its name to another one.
        """
        identity = self.identity
        if identity.has_yielded:
            return
        updates = first_updates
        if with_gossip:
            room = MAX_UPDATE_BYTES - len(bucket_digests)
            updates = self.gossip.piggyback(room, len(self.view.present), first_updates)
        datagram = Datagram(
            message_type,
            identity.name,
            identity.incarnation,
            identity.instance,
            identity.refutation,
            self.metadata.host,
            self.metadata.port,
            sequence,
            self.view.digest,
            target,
            updates,
            bucket_digests,
            part,
            parts,
        )
        self._datagrams.append(SendDatagram(address, datagram))
