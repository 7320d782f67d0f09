"""Decides whether this node's services are announced, and at which preference.

Input: the node's status, the time, and limits set by fleet membership and site failover. Output:
one level for all services, with the reason.

Node status            Level
cold, warming          none
ready                  normal, once ready for `ready-for` and not suppressed by flap damping
sick, standing-still   unchanged, then less wanted, then withdrawn, each after a configured time
leaving                graceful shutdown community, then withdrawn; then the listener may close
gone                   withdrawn

If the configuration has a `last-resort` block, a sick node (not one that is standing still) is
announced as last resort instead of being withdrawn. If fleet membership does not allow a withdrawal
for bad health, the level stays at less wanted.

Damping never delays a withdrawal. The level is raised only when every condition is met, as
announcing a node that cannot serve is the one step that can do harm.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum, IntEnum

from lilacwalk.bgp.attributes import GRACEFUL_SHUTDOWN, SEQUENCE, Attributes
from lilacwalk.bgp.config import BgpConfig, Peer, Service
from lilacwalk.bgp.damping import CHANGE, FLAP, Penalty
from lilacwalk.bgp.policy import with_communities
from lilacwalk.bgp.prefixes import address_bytes

LOCAL_PREFERENCE = 100  # the default of common routers; RFC 4271 specifies none


class NodeStatus(Enum):
    """The node's status as reported to the speaker; the values are the words of the operator's
    interfaces.
    """

    COLD = "cold"
    WARMING = "warming"
    READY = "ready"
    SICK = "sick"
    STANDING_STILL = "standing-still"
    LEAVING = "leaving"
    GONE = "gone"


class Level(IntEnum):
    """How the services are announced, least preferred first; NONE means not at all."""

    NONE = 0
    LAST_RESORT = 1
    LEAVING = 2
    LESS_WANTED = 3
    NORMAL = 4


UNHEALTHY_STATUSES = (NodeStatus.SICK, NodeStatus.STANDING_STILL)


@dataclass(frozen=True, slots=True)
class Decision:
    """The announcement level to apply, why, and when to decide again."""

    level: Level
    reason: str
    # Time of the next decision (tenths of a ms) if no input changes before then; None if only an
    # input can change the decision.
    next_check: int | None


class AnnouncementPolicy:
    """Decides the announcement level of one node; times are in tenths of a millisecond."""

    def __init__(self, config: BgpConfig, now: int) -> None:
        self.config = config
        self.node_status, self.status_since = NodeStatus.COLD, now
        self.level, self.reason = Level.NONE, "cold"
        self.penalty = Penalty(config.damping)
        # Start of the unhealthy period, which ends when the node has been ready for `well-after`.
        self.unhealthy_since: int | None = None
        # The last resort applies only to a node that has been ready since it started.
        self.was_ready = False
        self.leaving_since: int | None = None
        # Maximum level of a ready node; lowered while its site recovers from a failover.
        self.level_cap = Level.NORMAL
        # Whether an unhealthy node may be withdrawn; stays True without fleet membership.
        self.withdrawal_allowed = True
        self.withdraw_at = 0  # time of the withdrawal in a drain
        self.level_changes = 0

    # Inputs

    def set_node_status(self, status: NodeStatus, now: int) -> None:
        """Applies the node's status; an unchanged status has no effect.

        After LEAVING only GONE is accepted, and after GONE nothing.
        """
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
        ):
            # The node has restarted: only the flap penalty of its history remains.
            self.unhealthy_since, self.was_ready = None, False
        if (
            previous is NodeStatus.READY
            and self.level is Level.NONE
            and status is not NodeStatus.GONE
        ):
            # The node stopped being ready before it was announced, so `decide` counts no flap. A
            # flap is counted here, as only a node that stays ready is stable.
            self.penalty.add(FLAP, now)

    def leave(self, now: int, listener_closes_by: int | None) -> None:
        """Starts a drain.

        The withdrawal is sent `propagation` before `listener_closes_by` at the latest, so that it
        has propagated before the listener closes, or at once if less time than that is left. If
        time is short, the graceful shutdown phase is shortened first. None as `listener_closes_by`
        sets no limit.
        """
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
        """The earliest time at which the listener may close: `propagation` after the withdrawal."""
        return self.withdraw_at + self.config.propagation

    def restart_ready_period(self, now: int) -> None:
        """Starts the `ready-for` or `well-after` period anew after a stall of the process.

        The node's status was not observed during the stall.
        """
        if self.level is Level.NONE:
            self.status_since = now
        elif self.node_status is NodeStatus.READY and self.unhealthy_since is not None:
            self.status_since = now

    def reconfigure(self, config: BgpConfig, now: int) -> None:
        """Applies a reloaded configuration.

        A drain in progress keeps its times; the penalty keeps its value, up to the new ceiling.
        """
        self.config = config
        self.penalty.reconfigure(config.damping, now)

    def set_withdrawal_allowed(self, withdrawal_allowed: bool) -> None:
        """Sets whether fleet membership allows a withdrawal for bad health.

        A node that is already withdrawn stays withdrawn until it has recovered.
        """
        self.withdrawal_allowed = withdrawal_allowed

    def set_level_cap(self, level_cap: Level) -> None:
        """Limits the level of a ready node while its site recovers from a failover."""
        self.level_cap = level_cap

    def restore_penalty(
        self, penalty: float, suppressed: bool, announced: bool, age: int, now: int
    ) -> None:
        """Restores the flap penalty of an earlier process.

        `penalty` and `suppressed` are the state that was saved `age` tenths of a millisecond ago.
        If the earlier process ended while its routes were announced (`announced`), its peers saw a
        flap that the process could not count. The penalty of that flap is added here.
        """
        self.penalty.restore(penalty, suppressed, age, now)
        if announced:
            self.penalty.add(FLAP, now)

    # Evaluation

    def decide(self, now: int) -> Decision:
        """Decides the level at `now`; a lowered level adds to the flap penalty."""
        level, reason, next_check = self._evaluate(now)
        if level != self.level:
            self._count_flap(level, now)
            self.level = level
            self.level_changes += 1
        self.reason = reason
        return Decision(level, reason, next_check)

    def _count_flap(self, level: Level, now: int) -> None:
        """Adds a flap to the penalty if the level is lowered, except on a leaving or gone node."""
        if self.node_status in (NodeStatus.LEAVING, NodeStatus.GONE) or level > self.level:
            return
        is_full_withdrawal = level is Level.NONE and self.level is Level.NORMAL
        self.penalty.add(FLAP if is_full_withdrawal else CHANGE, now)

    def _evaluate(self, now: int) -> tuple[Level, str, int | None]:
        """Returns the level, the reason and the time of the next decision; see `Decision`."""
        if self.node_status is NodeStatus.GONE:
            return Level.NONE, "gone", None
        if self.node_status is NodeStatus.LEAVING:
            if self.level is Level.NONE:
                return Level.NONE, "leaving, was not announced", None
            if now < self.withdraw_at:
                # LEAVING must not raise the preference of a node that is less wanted already.
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
        """Returns the same as `_evaluate`, for a ready node."""
        if self.unhealthy_since is not None:
            recovered_at = self.status_since + self.config.sick.well_after
            if now < recovered_at:
                return self.level, "recovered, but not for long enough", recovered_at
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
            return self.level_cap, "ready, but its site is recovering", None
        return Level.NORMAL, "ready", None

    def _evaluate_unhealthy(self, now: int) -> tuple[Level, str, int | None]:
        """Returns the same as `_evaluate`, for a sick node or one that is standing still."""
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
                return Level.LAST_RESORT, f"{status}, announced as last resort", None
            if not self.withdrawal_allowed:
                return (
                    min(self.level, Level.LESS_WANTED),
                    f"{status}, but a withdrawal is not allowed by the fleet",
                    None,
                )
            return Level.NONE, f"{status} for too long", None
        if now >= less_wanted_at:
            return min(self.level, Level.LESS_WANTED), f"{status}, less wanted", withdraw_at
        return self.level, f"{status}, not yet for long enough", less_wanted_at


def service_attributes(config: BgpConfig, service: Service, peer: Peer, level: Level) -> Attributes:
    """Returns the path attributes with which a service is announced to a peer.

    The export policy is not applied. Every lowered level is announced with the graceful shutdown
    community (RFC 8326), to which a router that supports it assigns its lowest local preference.
    Internal peers get local preference 0 in addition. Levels LESS_WANTED and LAST_RESORT also raise
    the MED and, to external peers, prepend the AS path: routers compare the MED within one
    neighbouring AS only, but the AS path also between several.
    """
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
    """Returns whether a next hop of the service's address family is configured.

    The configuration check guarantees one for the services of the `announce` block, but not for
    those announced in place of a failed site.
    """
    try:
        return bool(next_hop(config, service, peer))
    except ValueError:
        return False


def next_hop(config: BgpConfig, service: Service, peer: Peer) -> str:
    """Returns the next hop with which a service is announced to a peer.

    The result is the first one of the service's address family among the next hops of the service,
    of the peer and of the `announce` block.

    Raises:
        ValueError: None of them has the service's address family.
    """
    family = 6 if service.prefix.afi == 2 else 4  # type: ignore[attr-defined]
    for candidate in (service.next_hop, peer.next_hop, config.next_hop):
        if candidate is not None and (":" in candidate) == (family == 6):
            return candidate
    # The configuration check prevents this error for services of the `announce` block; those
    # announced in place of a failed site can cause it.
    raise ValueError(
        f"no next-hop for {service.prefix}: expected an IPv{family} address in the service, the "
        f"peer or the announce block, got {service.next_hop}, {peer.next_hop} and {config.next_hop}"
    )
