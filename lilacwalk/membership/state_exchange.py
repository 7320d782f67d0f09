"""Exchange of full state between members whose views differ: it repairs what gossip missed.

Each datagram carries the digest of its sender's view. If a member's digest differs for several
intervals, this node requests from it the rows of the buckets that differ. The member replies in
parts, and this node answers the first part with the rows that the member lacks. Each row is
independent of the others, so a lost part is not resent: the next exchange carries the missing rows.
"""

from __future__ import annotations

from dataclasses import dataclass

from lilacwalk.membership.dissemination import MAX_UPDATES_PER_DATAGRAM
from lilacwalk.membership.local_node import LocalNode
from lilacwalk.membership.member import Member
from lilacwalk.membership.messages import (
    BUCKET_DIGEST_BYTES,
    DIGEST_BUCKETS,
    MAX_UPDATE_BYTES,
    Address,
    Datagram,
    GossipUpdate,
    Health,
    MessageType,
    encode,
)
from lilacwalk.membership.probing import ProbeScheduler

MAX_PARTS_PER_INTERVAL = 256  # serves 250 newcomers to a small fleet, or 4 to a large one
# Limit on state requests to new senders. The state of a sender beyond the limit is requested later:
# on its next datagram if it is still unknown, or else if its view digest still differs.
MAX_NEW_SENDERS_PER_INTERVAL = 16
MAX_NOTICES_PER_INTERVAL = 64  # members that are notified that others consider them dead
MAX_PARTS = 64  # datagrams of one state reply or push
DIFFERENCE_INTERVALS = 3  # probe intervals before a request: gossip resolves most differences
AGREEING_PEERS = 4  # the latest digests of this many peers must equal the local one
MIN_AGREEING_PEERS = 2  # fewer digests are no agreement, unless there are fewer peers
AGREEMENT_INTERVALS = 6  # probe intervals for which a peer's digest is considered


@dataclass(frozen=True, slots=True)
class PeerDigest:
    """The last digest of a peer's view."""

    digest: int
    at: int  # time of receipt


class StateExchange:
    """Compares views, requests and sends state, and limits the cost of the exchange.

    Owns the digests of the peers' views, the times since which they differ, and the budgets of the
    current interval.
    """

    def __init__(self, node: LocalNode, probes: ProbeScheduler, now: int) -> None:
        """Starts with full budgets; `probes` supplies sequence numbers and health multiplier."""
        self.node = node
        self.probes = probes
        self.digests: dict[str, PeerDigest] = {}  # by member
        self.differs_since: dict[str, int] = {}  # by member whose digest differs
        self.last_request_at = now - DIFFERENCE_INTERVALS * node.interval
        self.parts_left = MAX_PARTS_PER_INTERVAL
        self.new_senders_left = MAX_NEW_SENDERS_PER_INTERVAL
        self.notices_left = MAX_NOTICES_PER_INTERVAL
        self.budget_until = now  # time of the next renewal of the budgets

    def compare_digest(self, member: Member, digest: int, now: int) -> None:
        """Records the digest of a member's view, and since when it differs from this view."""
        self.digests[member.name] = PeerDigest(digest, now)
        if digest == self.node.view.digest:
            self.differs_since.pop(member.name, None)
        else:
            self.differs_since.setdefault(member.name, now)

    def peers_agree(self, now: int) -> bool:
        """Whether the peers with the latest digests hold the same view; true without peers."""
        peers = self.node.peers()
        if not peers:
            return True
        span = AGREEMENT_INTERVALS * self.node.interval * (1 + self.probes.health_multiplier)
        recent = [peer for peer in self.digests.values() if now - peer.at <= span]
        recent.sort(key=lambda peer: (peer.at, peer.digest), reverse=True)
        compared = recent[:AGREEING_PEERS]
        return len(compared) >= min(MIN_AGREEING_PEERS, len(peers)) and all(
            peer.digest == self.node.view.digest for peer in compared
        )

    def forget_peer(self, name: str) -> None:
        """Drops the digest of a member that was declared dead."""
        self.digests.pop(name, None)

    def forget_unknown(self) -> None:
        """Drops the digests of members that the view has forgotten."""
        view = self.node.view
        for name in [name for name in self.digests if view.get(name) is None]:
            del self.digests[name]
        for name in [name for name in self.differs_since if view.get(name) is None]:
            del self.differs_since[name]

    def request(self, address: Address, now: int) -> None:
        """Requests the rows in which a member's view differs."""
        self.last_request_at = now
        self.node.counts["syncs"] += 1
        self.node.send(
            address,
            MessageType.STATE_REQUEST,
            self.probes.next_sequence(),
            first_updates=(self.node.own_update(),),
            bucket_digests=self.node.view.packed_bucket_digests(),
        )

    def request_from_new_sender(self, datagram: Datagram, now: int) -> None:
        """Requests the state of an unknown member or new process, within the budget."""
        self._renew_budget(now)
        if datagram.message_type is not MessageType.STATE_REQUEST and self.new_senders_left > 0:
            self.new_senders_left -= 1
            self.request(datagram.reply_address, now)

    def request_from_differing(self, now: int) -> None:
        """Requests the state of a member whose view has differed for several intervals."""
        min_age = DIFFERENCE_INTERVALS * self.node.interval
        if now - self.last_request_at < min_age:
            return
        differing = []
        for name, since in self.differs_since.items():
            member = self.node.view.get(name)
            if now - since >= min_age and member is not None and member.health is Health.ALIVE:
                differing.append(name)
        if differing:
            name = self.node.rng.choice(sorted(differing))
            self.differs_since.pop(name)
            self.request(self.node.view.members[name].address, now)

    def notify_of_reported_death(self, member: Member, update: GossipUpdate, now: int) -> None:
        """Sends a member the claim that it is dead, unless the budget is spent.

        The member then refutes the claim.
        """
        self._renew_budget(now)
        if self.notices_left > 0:
            self.notices_left -= 1
            sequence = self.probes.next_sequence()
            self.node.send(member.address, MessageType.PING, sequence, first_updates=(update,))

    def handle_request(self, datagram: Datagram, now: int, *, view_is_outdated: bool) -> None:
        """Answers with the rows of the buckets that differ, within the budget.

        An outdated view is not sent: the reply then only requests the requester's rows.
        """
        self._renew_budget(now)
        if self.parts_left <= 0:
            self.node.counts["syncs_not_answered"] += 1
            return
        self.parts_left -= 1
        if view_is_outdated:
            self.node.send(
                datagram.reply_address,
                MessageType.STATE_REPLY,
                datagram.sequence,
                first_updates=(self.node.own_update(),),
                bucket_digests=self.node.view.packed_bucket_digests(),
                part=1,
                parts=1,
            )
            return
        self._send_differing(datagram, MessageType.STATE_REPLY)

    def handle_reply(self, datagram: Datagram) -> None:
        """Answers the first part of a reply with the rows that its sender lacks."""
        if datagram.bucket_digests:
            self._send_differing(datagram, MessageType.STATE_PUSH)

    def _send_differing(self, datagram: Datagram, message_type: MessageType) -> None:
        parts = self._pack_buckets(self.node.view.differing_buckets(datagram.bucket_digests))
        self.parts_left -= len(parts) - 1
        for number, part in enumerate(parts, 1):
            is_first_of_reply = number == 1 and message_type is MessageType.STATE_REPLY
            digests = self.node.view.packed_bucket_digests() if is_first_of_reply else b""
            self.node.send(
                datagram.reply_address,
                message_type,
                datagram.sequence,
                first_updates=tuple(part),
                with_gossip=False,
                bucket_digests=digests,
                part=number,
                parts=len(parts),
            )

    def _pack_buckets(self, buckets: list[int]) -> list[list[GossipUpdate]]:
        """Returns the claims in these buckets, split into datagrams, the local member's first."""
        members = [
            member
            for bucket in buckets
            for member in self.node.view.buckets[bucket].values()
            if member.metadata is not None
        ]
        members.sort(key=lambda member: member.name != self.node.name)
        parts: list[list[GossipUpdate]] = [[]]
        room = MAX_UPDATE_BYTES - BUCKET_DIGEST_BYTES * DIGEST_BUCKETS
        for member in members:
            update = member.update()
            size = len(encode(update))
            if size > room or len(parts[-1]) >= MAX_UPDATES_PER_DATAGRAM:
                parts.append([])
                room = MAX_UPDATE_BYTES
            parts[-1].append(update)
            room -= size
        return parts[:MAX_PARTS]

    def _renew_budget(self, now: int) -> None:
        """Resets the budgets once per interval; they limit the cost of any number of requests."""
        if now >= self.budget_until:
            self.parts_left = MAX_PARTS_PER_INTERVAL
            self.new_senders_left = MAX_NEW_SENDERS_PER_INTERVAL
            self.notices_left = MAX_NOTICES_PER_INTERVAL
            self.budget_until = now + self.node.interval
