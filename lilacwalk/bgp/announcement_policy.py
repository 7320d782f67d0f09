"""When this node is announced, and how much wanted. Fed with the node's states and the time; says one level
for all its services, and why.

cold, warming        never
ready                normal, once ready for `ready-for` and no penalty holds it back
sick, standing still as it was, then less wanted, then withdrawn, each after a time without becoming well;
with a last resort, sick (never standing still) stays at that instead of withdrawn;
where a view of the fleet is kept, less wanted at most, unless this node is among those that may go
leaving              the graceful shutdown community, then withdrawn, then the listener may close: never again
gone                 withdrawn

A withdrawal waits for nothing. An announcement waits for all of it: it is the one step that can do harm."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum, IntEnum

from lilacwalk.bgp.attributes import GRACEFUL_SHUTDOWN, SEQUENCE, Attributes
from lilacwalk.bgp.config import BgpConfig, Peer, Service
from lilacwalk.bgp.damping import CHANGE, FLAP, Penalty
from lilacwalk.bgp.policy import with_communities
from lilacwalk.bgp.prefixes import address_bytes

LOCAL_PREFERENCE = (
    100  # what routers take where none is told (RFC 4271 names no figure, all use this one)
)


class NodeStatus(Enum):
    COLD = "cold"
    WARMING = "warming"
    READY = "ready"
    SICK = "sick"
    STANDING_STILL = "standing-still"
    LEAVING = "leaving"
    GONE = "gone"


class Level(IntEnum):
    NONE = 0
    LAST_RESORT = 1
    LEAVING = 2
    LESS_WANTED = 3
    NORMAL = 4


UNHEALTHY_STATUSES = (NodeStatus.SICK, NodeStatus.STANDING_STILL)


@dataclass(frozen=True, slots=True)
class Decision:
    level: Level
    reason: str
    again: int | None  # when time alone may change it


class AnnouncementPolicy:
    def __init__(self, orders: BgpConfig, now: int) -> None:
        self.orders = orders
        self.node, self.since = NodeStatus.COLD, now
        self.level, self.reason = Level.NONE, "cold"
        self.penalty = Penalty(orders.damping)
        self.unwell_since: int | None = None  # until well again for long enough
        self.was_ready = (
            False  # in this life: a node that never was is no resort, not even the last
        )
        self.leaving_since: int | None = None
        self.cap = Level.NORMAL  # while its site comes back
        self.may_go = True  # for sickness: without a view of the fleet nothing speaks against it
        self.withdraw_at = 0
        self.changes = 0

    # What is told

    def set_node_status(self, node: NodeStatus, now: int) -> None:
        """The node's state, as often as it likes; only a change counts. Nothing follows on leaving but
        gone."""
        if (
            node is self.node
            or self.node is NodeStatus.GONE
            or self.node is NodeStatus.LEAVING
            and node is not NodeStatus.GONE
        ):
            return
        if node is NodeStatus.LEAVING:
            self.leave(now, None)
            return
        before, self.node, self.since = self.node, node, now
        if node in UNHEALTHY_STATUSES:
            if self.unwell_since is None:
                self.unwell_since = now
        elif node in (
            NodeStatus.COLD,
            NodeStatus.WARMING,
        ):  # a new life: nothing of the old one counts but its flaps
            self.unwell_since, self.was_ready = None, False
        if before is NodeStatus.READY and self.level is Level.NONE and node is not NodeStatus.GONE:
            self.penalty.add(
                FLAP, now
            )  # not announced, yet it flapped: steady is proven by staying ready

    def leave(self, now: int, listener_by: int | None) -> None:
        """A drain, whose listener closes at the latest at `listener_by`: the withdrawal comes early enough to
        have spread by then; the time of being less wanted gives way before the time of spreading does."""
        if self.node in (NodeStatus.LEAVING, NodeStatus.GONE):
            return
        self.node, self.since, self.leaving_since = NodeStatus.LEAVING, now, now
        wanted = now + self.orders.graceful_shutdown
        latest = wanted if listener_by is None else listener_by - self.orders.propagation
        self.withdraw_at = max(now, min(wanted, latest))

    @property
    def listener_at(self) -> int:
        """From when on the listener may close; of a node that was never announced, at once."""
        return self.withdraw_at + self.orders.propagation

    def unwatched(self, now: int) -> None:
        """Nobody looked for a while (the process stood still): being ready is proven anew."""
        if self.level is Level.NONE:
            self.since = now
        elif self.node is NodeStatus.READY and self.unwell_since is not None:
            self.since = now

    def ordered(self, orders: BgpConfig, now: int) -> None:
        """A new file. What is under way (a drain, a penalty) goes on by its own times."""
        self.orders = orders
        self.penalty.take_over(orders.damping, now)

    def set_withdrawal_allowed(self, may_go: bool) -> None:
        """What the view of the fleet says: whether too many would be gone with this one. Whoever has gone
        stays so until it is well."""
        self.may_go = may_go

    def set_level_cap(self, cap: Level) -> None:
        """How much wanted this node may be when it is ready: less, or not at all, while its site comes
        back."""
        self.cap = cap

    def restore_penalty(
        self, penalty: float, suppressed: bool, announced: bool, age: int, now: int
    ) -> None:
        """What an earlier life put down. One that ended while it was announced flapped in its peers' eyes,
        and was not there to count it."""
        self.penalty.restore(penalty, suppressed, age, now)
        if announced:
            self.penalty.add(FLAP, now)

    # What follows

    def decide(self, now: int) -> Decision:
        level, reason, again = self._decided(now)
        if level != self.level:
            self._count(level, now)
            self.level = level
            self.changes += 1
        self.reason = reason
        return Decision(level, reason, again)

    def _count(self, level: Level, now: int) -> None:
        """Flaps count, a drain does not: it ends this node's part."""
        if self.node in (NodeStatus.LEAVING, NodeStatus.GONE) or level > self.level:
            return
        whole = level is Level.NONE and self.level is Level.NORMAL
        self.penalty.add(FLAP if whole else CHANGE, now)

    def _decided(self, now: int) -> tuple[Level, str, int | None]:
        if self.node is NodeStatus.GONE:
            return Level.NONE, "gone", None
        if self.node is NodeStatus.LEAVING:
            if self.level is Level.NONE:
                return Level.NONE, "leaving, and not announced before", None
            if now < self.withdraw_at:
                # one that was less wanted already must not look better for leaving
                worse = self.level in (Level.LESS_WANTED, Level.LAST_RESORT)
                return self.level if worse else Level.LEAVING, "leaving", self.withdraw_at
            return Level.NONE, "leaving, withdrawn", None
        if self.node in (NodeStatus.COLD, NodeStatus.WARMING):
            return Level.NONE, self.node.value, None
        if self.node is NodeStatus.READY:
            return self._ready(now)
        return self._unwell(now)

    def _ready(self, now: int) -> tuple[Level, str, int | None]:
        if self.unwell_since is not None:
            well_at = self.since + self.orders.sick.well_after
            if now < well_at:
                return self.level, "well, but not for long enough", well_at
            self.unwell_since = None
        steady_at = self.since + self.orders.ready_for
        if self.level is Level.NONE and now < steady_at:
            return Level.NONE, "ready, but not for long enough", steady_at
        if self.level is not Level.NORMAL and self.penalty.holds(now):
            return (
                self.level,
                f"damped, penalty {self.penalty.value_at(now):.0f}",
                self.penalty.free_at(),
            )
        self.was_ready = True
        if self.cap is not Level.NORMAL:
            return self.cap, "ready, but its site is on its way back", None
        return Level.NORMAL, "ready", None

    def _unwell(self, now: int) -> tuple[Level, str, int | None]:
        assert self.unwell_since is not None
        sick, word = self.orders.sick, self.node.value
        if self.level is Level.NONE:
            return Level.NONE, word, None
        withdraw_at = self.unwell_since + sick.withdraw_after
        less_at = self.unwell_since + sick.less_wanted_after
        if now >= withdraw_at:
            if (
                self.orders.last_resort is not None
                and self.was_ready
                and self.node is NodeStatus.SICK
            ):
                return Level.LAST_RESORT, f"{word}, the last resort", None
            if not self.may_go:
                return (
                    min(self.level, Level.LESS_WANTED),
                    f"{word}, but not one of those that may go",
                    None,
                )
            return Level.NONE, f"{word} for too long", None
        if now >= less_at:
            return min(self.level, Level.LESS_WANTED), f"{word}, less wanted", withdraw_at
        return self.level, f"{word}, for a moment", less_at


def attributes(orders: BgpConfig, service: Service, peer: Peer, level: Level) -> Attributes:
    """A service as a peer is told of it, before that peer's export policy. Less wanted means a higher MED,
    our number repeated in the path and the graceful shutdown community (RFC 8326): the first decides within
    one neighbouring AS, the second beyond it, the third asks every router that knows it for its lowest
    preference."""
    internal = orders.as_ == peer.as_
    made = Attributes(
        as_path=() if internal else ((SEQUENCE, (orders.as_,)),),
        next_hop=address_bytes(next_hop(orders, service, peer)),
        med=service.med,
        local_pref=LOCAL_PREFERENCE if internal else None,
    )
    made = with_communities(made, service.communities)
    if level is Level.NORMAL:
        return made
    made = with_communities(made, (GRACEFUL_SHUTDOWN,))
    if level is Level.LEAVING:
        return replace(made, local_pref=0) if internal else made
    worse = orders.last_resort if level is Level.LAST_RESORT else orders.sick
    assert worse is not None
    path = () if internal else ((SEQUENCE, (orders.as_,) * (1 + worse.prepend)),)
    return replace(
        made, med=max(worse.med, service.med or 0), as_path=path, local_pref=0 if internal else None
    )


def routable(orders: BgpConfig, service: Service, peer: Peer) -> bool:
    """Whether there is a next hop of its family: the file's own services are checked for it, another site's
    are not."""
    try:
        return bool(next_hop(orders, service, peer))
    except ValueError:
        return False


def next_hop(orders: BgpConfig, service: Service, peer: Peer) -> str:
    """The service's own, else the peer's where its family fits, else that of all."""
    family = 6 if service.prefix.afi == 2 else 4  # type: ignore[attr-defined]
    for hop in (service.next_hop, peer.next_hop, orders.next_hop):
        if hop is not None and (":" in hop) == (family == 6):
            return hop
    raise ValueError(f"no next hop for {service.prefix}")  # the file's check allows none such
