"""Distinguishes the failure of a site from a partition and from degradation.

A node can never be certain that a site has failed: the site may be partitioned and still serve its
own clients. Therefore only new requests are routed to the failover targets, by announcing the
site's addresses there. Work that the failed site may have begun is neither taken over nor repeated.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from lilacwalk.membership.conclusions import Verdict
from lilacwalk.membership.messages import Health, NodeState

HEALTHY_VIEW = Verdict.WHOLE  # the membership view shows this node on the majority side
SATURATED_SHARE = 0.9  # utilisation from which few completions mean a slow site, not an idle one
REACHABLE = (Health.ALIVE, Health.SUSPECT)
SERVING = (NodeState.READY, NodeState.WARMING)
UNHEALTHY = (NodeState.UNHEALTHY, NodeState.STALLED)


class SiteCondition(Enum):
    """The condition of a site as seen from this node; the values are shown to operators."""

    HEALTHY = "present"  # most of its members serve
    # at least half of its reachable members are unhealthy, or it completes less than half of its
    # baseline rate with its cores saturated
    DEGRADED = "brown-out"
    FAILED = "lost"  # no member is reachable, and this node is on the majority side
    UNCLEAR = "unclear"  # no member is reachable, but this node may be the partitioned one
    DRAINING = "leaving"  # all of its reachable members are draining, as planned


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """The state of a member in the membership view."""

    site: str
    health: Health
    state: NodeState
    cores: int
    utilisation: float  # share of its cores in use, 0 to 1
    completed_per_second: int


@dataclass(frozen=True, slots=True)
class SiteStatus:
    """The assessment of a site at one moment."""

    condition: SiteCondition
    reachable_members: int
    known_members: int
    cores: float  # cores of the members that serve
    load: float  # cores in use at the members that serve
    failed_share: float  # share of its known members that do not serve


def assess_site(
    site: str,
    members: Iterable[MemberStatus],
    conclusion: str,
    baseline_rate: float = 0.0,
) -> SiteStatus:
    """Assesses one site.

    Args:
        site: name of the site.
        members: all members of the fleet.
        conclusion: the membership view's conclusion on which side of a partition this node is.
        baseline_rate: requests per second that the site completes when healthy; 0: not known.
    """
    known = [each for each in members if each.site == site and each.health is not Health.LEFT]
    reachable = [each for each in known if each.health in REACHABLE]
    serving = [each for each in reachable if each.state in SERVING]
    cores = float(sum(each.cores for each in serving))
    load = sum(each.cores * each.utilisation for each in serving)
    failed_share = 1 - len(serving) / len(known) if known else 0.0
    if not reachable:
        is_failed = bool(known) and conclusion == HEALTHY_VIEW
        condition = SiteCondition.FAILED if is_failed else SiteCondition.UNCLEAR
    elif all(each.state is NodeState.DRAINING for each in reachable):
        condition = SiteCondition.DRAINING
    elif _mostly_unhealthy(reachable) or _is_slow(serving, baseline_rate, cores, load):
        condition = SiteCondition.DEGRADED
    else:
        condition = SiteCondition.HEALTHY
    return SiteStatus(condition, len(reachable), len(known), cores, load, failed_share)


def _mostly_unhealthy(reachable: list[MemberStatus]) -> bool:
    return 2 * sum(each.state in UNHEALTHY for each in reachable) >= len(reachable)


def _is_slow(serving: list[MemberStatus], baseline_rate: float, cores: float, load: float) -> bool:
    if not baseline_rate:
        return False
    completed = sum(each.completed_per_second for each in serving)
    return 2 * completed < baseline_rate and load >= SATURATED_SHARE * cores
