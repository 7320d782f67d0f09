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
    next_check: int | None  # when time alone may change it


class AnnouncementPolicy:
    def __init__(self, config: BgpConfig, now: int) -> None:
        self.config = config
        self.node_status, self.status_since = NodeStatus.COLD, now
        self.level, self.reason = Level.NONE, "cold"
        self.penalty = Penalty(config.damping)
        self.unhealthy_since: int | None = None  # until well again for long enough
        self.was_ready = (
            False  # in this life: a node that never was is no resort, not even the last
        )
        self.leaving_since: int | None = None
        self.level_cap = Level.NORMAL  # while its site comes back
        self.withdrawal_allowed = (
            True  # for sickness: without a view of the fleet nothing speaks against it
        )
        self.withdraw_at = 0
        self.level_changes = 0

    # What is told

    def set_node_status(self, status: NodeStatus, now: int) -> None:
        """The node's state, as often as it likes; only a change counts. Nothing follows on leaving but
        gone."""
        if (
            status is self.node_status
            or self.node_status is NodeStatus.GONE
            or self.node_status is NodeStatus.LEAVING
            and status is not NodeStatus.GONE
        ):
            return
        if status is NodeStatus.LEAVING:
            self.leave(now, None)
            return
        previous, self.node_status, self.status_since = self.node_status, status, now
        if status in UNHEALTHY_STATUSES:
            if self.unhealthy_since is None:
                self.unhealthy_since = now
        elif status in (
            NodeStatus.COLD,
            NodeStatus.WARMING,
        ):  # a new life: nothing of the old one counts but its flaps
            self.unhealthy_since, self.was_ready = None, False
        if (
            previous is NodeStatus.READY
            and self.level is Level.NONE
            and status is not NodeStatus.GONE
        ):
            self.penalty.add(
                FLAP, now
            )  # not announced, yet it flapped: steady is proven by staying ready

    def leave(self, now: int, listener_closes_by: int | None) -> None:
        """A drain, whose listener closes at the withdraw_by at `listener_by`: the withdrawal comes early enough to
        have spread by then; the time of being less wanted gives way before the time of spreading does."""
        if self.node_status in (NodeStatus.LEAVING, NodeStatus.GONE):
            return
        self.node_status, self.status_since, self.leaving_since = NodeStatus.LEAVING, now, now
        planned_at = now + self.config.graceful_shutdown
        withdraw_by = (
            planned_at
            if listener_closes_by is None
            else listener_closes_by - self.config.propagation
        )
        self.withdraw_at = max(now, min(planned_at, withdraw_by))

    @property
    def listener_may_close_at(self) -> int:
        """From when on the listener may close; of a node that was never announced, at once."""
        return self.withdraw_at + self.config.propagation

    def restart_ready_period(self, now: int) -> None:
        """Nobody looked for a while (the process stood still): being ready is proven anew."""
        if self.level is Level.NONE:
            self.status_since = now
        elif self.node_status is NodeStatus.READY and self.unhealthy_since is not None:
            self.status_since = now

    def reconfigure(self, config: BgpConfig, now: int) -> None:
        """A new file. What is under way (a drain, a penalty) goes on by its own times."""
        self.config = config
        self.penalty.reconfigure(config.damping, now)

    def set_withdrawal_allowed(self, withdrawal_allowed: bool) -> None:
        """What the view of the fleet says: whether too many would be gone with this one. Whoever has gone
        stays so until it is well."""
        self.withdrawal_allowed = withdrawal_allowed

    def set_level_cap(self, level_cap: Level) -> None:
        """How much wanted this node may be when it is ready: less, or not at all, while its site comes
        back."""
        self.level_cap = level_cap

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
        level, reason, next_check = self._evaluate(now)
        if level != self.level:
            self._count_flap(level, now)
            self.level = level
            self.level_changes += 1
        self.reason = reason
        return Decision(level, reason, next_check)

    def _count_flap(self, level: Level, now: int) -> None:
        """Flaps count, a drain does not: it ends this node's part."""
        if self.node_status in (NodeStatus.LEAVING, NodeStatus.GONE) or level > self.level:
            return
        is_full_withdrawal = level is Level.NONE and self.level is Level.NORMAL
        self.penalty.add(FLAP if is_full_withdrawal else CHANGE, now)

    def _evaluate(self, now: int) -> tuple[Level, str, int | None]:
        if self.node_status is NodeStatus.GONE:
            return Level.NONE, "gone", None
        if self.node_status is NodeStatus.LEAVING:
            if self.level is Level.NONE:
                return Level.NONE, "leaving, and not announced before", None
            if now < self.withdraw_at:
                # one that was less wanted already must not look better for leaving
                is_less_preferred = self.level in (Level.LESS_WANTED, Level.LAST_RESORT)
                return (
                    self.level if is_less_preferred else Level.LEAVING,
                    "leaving",
                    self.withdraw_at,
                )
            return Level.NONE, "leaving, withdrawn", None
        if self.node_status in (NodeStatus.COLD, NodeStatus.WARMING):
            return Level.NONE, self.node_status.value, None
        if self.node_status is NodeStatus.READY:
            return self._evaluate_ready(now)
        return self._evaluate_unhealthy(now)

    def _evaluate_ready(self, now: int) -> tuple[Level, str, int | None]:
        if self.unhealthy_since is not None:
            recovered_at = self.status_since + self.config.sick.well_after
            if now < recovered_at:
                return self.level, "well, but not for long enough", recovered_at
            self.unhealthy_since = None
        announce_at = self.status_since + self.config.ready_for
        if self.level is Level.NONE and now < announce_at:
            return Level.NONE, "ready, but not for long enough", announce_at
        if self.level is not Level.NORMAL and self.penalty.is_suppressed(now):
            return (
                self.level,
                f"damped, penalty {self.penalty.value_at(now):.0f}",
                self.penalty.reuse_at(),
            )
        self.was_ready = True
        if self.level_cap is not Level.NORMAL:
            return self.level_cap, "ready, but its site is on its way back", None
        return Level.NORMAL, "ready", None

    def _evaluate_unhealthy(self, now: int) -> tuple[Level, str, int | None]:
        assert self.unhealthy_since is not None
        sick, status = self.config.sick, self.node_status.value
        if self.level is Level.NONE:
            return Level.NONE, status, None
        withdraw_at = self.unhealthy_since + sick.withdraw_after
        less_wanted_at = self.unhealthy_since + sick.less_wanted_after
        if now >= withdraw_at:
            if (
                self.config.last_resort is not None
                and self.was_ready
                and self.node_status is NodeStatus.SICK
            ):
                return Level.LAST_RESORT, f"{status}, the last resort", None
            if not self.withdrawal_allowed:
                return (
                    min(self.level, Level.LESS_WANTED),
                    f"{status}, but not one of those that may go",
                    None,
                )
            return Level.NONE, f"{status} for too long", None
        if now >= less_wanted_at:
            return min(self.level, Level.LESS_WANTED), f"{status}, less wanted", withdraw_at
        return self.level, f"{status}, for a moment", less_wanted_at


def service_attributes(config: BgpConfig, service: Service, peer: Peer, level: Level) -> Attributes:
    """A service as a peer is told of it, before that peer's export policy. Less wanted means a higher MED,
    our number repeated in the as_path and the graceful shutdown community (RFC 8326): the first decides within
    one neighbouring AS, the second beyond it, the third asks every router that knows it for its lowest
    preference."""
    internal = config.as_ == peer.as_
    attributes = Attributes(
        as_path=() if internal else ((SEQUENCE, (config.as_,)),),
        next_hop=address_bytes(next_hop(config, service, peer)),
        med=service.med,
        local_pref=LOCAL_PREFERENCE if internal else None,
    )
    attributes = with_communities(attributes, service.communities)
    if level is Level.NORMAL:
        return attributes
    attributes = with_communities(attributes, (GRACEFUL_SHUTDOWN,))
    if level is Level.LEAVING:
        return replace(attributes, local_pref=0) if internal else attributes
    settings = config.last_resort if level is Level.LAST_RESORT else config.sick
    assert settings is not None
    as_path = () if internal else ((SEQUENCE, (config.as_,) * (1 + settings.prepend)),)
    return replace(
        attributes,
        med=max(settings.med, service.med or 0),
        as_path=as_path,
        local_pref=0 if internal else None,
    )


def has_next_hop(config: BgpConfig, service: Service, peer: Peer) -> bool:
    """Whether there is a next hop of its family: the file's own services are checked for it, another site's
    are not."""
    try:
        return bool(next_hop(config, service, peer))
    except ValueError:
        return False


def next_hop(config: BgpConfig, service: Service, peer: Peer) -> str:
    """The service's own, else the peer's where its family fits, else that of all."""
    family = 6 if service.prefix.afi == 2 else 4  # type: ignore[attr-defined]
    for hop in (service.next_hop, peer.next_hop, config.next_hop):
        if hop is not None and (":" in hop) == (family == 6):
            return hop
    raise ValueError(f"no next hop for {service.prefix}")  # the file's check allows none such
