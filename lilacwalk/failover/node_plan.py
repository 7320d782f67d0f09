"""The failover plan of one running node, computed from its membership view.

All nodes with the same view compute the same plan: which sites have failed, the recovery stage of
each, how much of its load is placed where, and which nodes take a part of it.

Nodes that take a failed site's load are chosen by rank among the ready nodes of the target sites,
as many as the plan needs. As the site recovers, fewer nodes are needed, and those with the last
ranks are released first. If the views of two nodes differ, their plans differ by the nodes that
they rank differently, and by no more than one target's share, since each node decides only for
itself.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from lilacwalk.failover.capacity import CAPACITY_STEP, SiteCapacity, round_to_step
from lilacwalk.failover.config import SECOND, FailoverConfig
from lilacwalk.failover.detector import (
    HEALTHY_VIEW,
    REACHABLE,
    SiteCondition,
    SiteStatus,
    assess_site,
)
from lilacwalk.failover.local_priority import TrafficPlan
from lilacwalk.failover.node_selection import (
    EPSILON,
    NodeView,
    rendezvous_rank,
    reported_share,
    response_ratio,
    select_failover_nodes,
)
from lilacwalk.failover.planner import (
    FailoverPlan,
    configured_capacities,
    plan_failover,
    shared_call_limit,
)
from lilacwalk.failover.recovery import (
    RecoveryStage,
    SiteProbe,
    SiteRecovery,
    sites_allowed_to_ramp,
)
from lilacwalk.membership.conclusions import Verdict
from lilacwalk.membership.messages import Health

BASELINE_LEARNING_RATE = 0.05  # weight of one evaluation in a mean load over about four seconds
BASELINE_DECAY = 0.98  # a baseline completion rate falls at most by this factor per evaluation
MIN_READY_SHARE = 0.5  # share of a site's members that must serve before it takes load again
MAX_REPORTED_STAGES = 4  # sites that a node reports: as many as fit into its metadata
UNSETTLED_VIEW = Verdict.UNSURE  # the membership's conclusion while its view is unreliable


@dataclass(slots=True)
class NodePlan:
    """The result of one evaluation."""

    site_status: dict[str, SiteStatus] = field(default_factory=dict)
    plan: FailoverPlan | None = None
    failover_nodes: dict[str, list[str]] = field(default_factory=dict)  # by failed site
    failover_sites: tuple[str, ...] = ()  # failed sites whose load this node takes
    own_site_share: float = 1.0  # share of its own site's load to be served at that site
    serves_own_site: bool = True  # whether this node is among the nodes that serve this share


class FailoverPlanner:
    """Tracks the recovery of all sites and computes the plan. Owned by the membership thread.

    Times are in tenths of a millisecond, loads in cores.
    """

    def __init__(self, config: FailoverConfig, name: str, site: str, now: int) -> None:
        """Starts with all sites healthy; `name` and `site` are those of this node."""
        self.config = config
        self.name = name
        self.site = site
        self.recoveries = {
            each.name: SiteRecovery(each.name, config.pace, now) for each in config.site
        }
        self.baseline_rates: dict[str, float] = {}  # requests a second completed by a healthy site
        self.baseline_loads: dict[str, float] = {}  # cores in use at a healthy site
        self.node_plan = NodePlan()
        self.stage_changes: list[tuple[str, str, str]] = []  # (site, stage, reason), not yet logged

    def reconfigure(self, config: FailoverConfig, now: int) -> None:
        """Applies a new `sites` block; sites that it still contains keep their recovery state."""
        before = self.recoveries
        self.config = config
        self.recoveries = {
            each.name: before.get(each.name) or SiteRecovery(each.name, config.pace, now)
            for each in config.site
        }

    # Persistence

    def failure_history(self, now: int) -> dict[str, tuple[int, int]]:
        """Returns the persisted state by site: number of failures and remaining exclusion time."""
        return {
            name: recovery.failure_history(now)
            for name, recovery in sorted(self.recoveries.items())
            if recovery.failure_count
        }

    def restore_failure_history(
        self, history: Mapping[str, tuple[int, int]], age: int, now: int
    ) -> None:
        """Restores state persisted `age` ago, unless the maximum exclusion time has passed."""
        for name, (failure_count, exclusion) in history.items():
            if name in self.recoveries and age < self.config.pace.longest:
                remaining = max(0, exclusion - age)
                self.recoveries[name].restore_failure_history(failure_count, remaining, now)

    # Operator commands

    def hold(self, site: str, until: int, now: int, drain: bool = False) -> bool:
        """Holds or drains a site until the time `until`; returns False if it is not configured."""
        recovery = self.recoveries.get(site)
        if recovery is None:
            return False
        if drain:
            recovery.drain(until, now)
        else:
            recovery.hold(until, now)
        return True

    def release(self, site: str, now: int) -> bool:
        """Ends a hold or drain; returns False if the site is not configured."""
        recovery = self.recoveries.get(site)
        if recovery is None:
            return False
        recovery.release(now)
        return True

    # The membership view

    def evaluate(
        self,
        members: Iterable[NodeView],
        conclusion: str,
        now: int,
        responses: Mapping[str, float] | None = None,
    ) -> NodePlan:
        """Evaluates the current membership view and returns the new plan.

        Args:
            members: all members in the view.
            conclusion: the view's conclusion on which side of a partition this node is.
            now: the current time.
            responses: response time over its baseline, by site; derived from `members` if omitted.
        """
        nodes = list(members)
        status = {
            each.name: assess_site(
                each.name,
                (node.status for node in nodes),
                conclusion,
                self.baseline_rates.get(each.name, 0.0),
            )
            for each in self.config.site
        }
        survives = self._survives_repeated_failure(status)
        ratios = responses or {
            each.name: response_ratio(each.name, nodes) for each in self.config.site
        }
        may_ramp = sites_allowed_to_ramp(list(self.recoveries.values()), survives)
        for name, recovery in self.recoveries.items():
            if _allows_stage_change(status[name], conclusion):
                ratio = ratios.get(name, 0.0)
                self._update_recovery(recovery, status[name], name in may_ramp, now, ratio)
        self._learn_baselines(status, nodes)
        self.node_plan = self._make_node_plan(status, nodes, conclusion)
        return self.node_plan

    def current_capacities(self, status: Mapping[str, SiteStatus]) -> dict[str, SiteCapacity]:
        """Returns the cores and the load of each site.

        The cores are those in `status`, the load is the learned baseline. A figure that is unknown
        is replaced by the configured one.
        """
        capacities = {}
        for name, site in configured_capacities(self.config).items():
            known_cores = status[name].cores
            cores = round_to_step(known_cores) if known_cores else site.cores
            baseline = self.baseline_loads.get(name)
            load = site.load if baseline is None else round_to_step(baseline)
            # At least one step: an idle site has clients too, and they need a failover node.
            load = max(CAPACITY_STEP, load)
            capacities[name] = SiteCapacity(name, cores, load, site.failover_targets)
        return capacities

    def failed_shares(self) -> dict[str, float]:
        """Returns, by site, the share of its load that other sites are to serve."""
        return {
            name: 1 - recovery.share
            for name, recovery in self.recoveries.items()
            if recovery.share < 1
        }

    def traffic_plan(self, failover_sites: tuple[str, ...], cores: float, now: int) -> TrafficPlan:
        """Returns the part of the plan that this node's local priorities use.

        Recovery times are rounded down to whole seconds, so that the plan changes rarely.

        Args:
            failover_sites: failed sites whose load this node takes, as applied by its host.
            cores: this node's cores; its part of the shared call limit is in proportion to them.
            now: the current time.
        """
        if not failover_sites:
            return TrafficPlan()
        times = tuple((name, self._recovery_time(name, now)) for name in failover_sites)
        call_limit = shared_call_limit(self.config)
        all_cores = sum(status.cores for status in self.node_plan.site_status.values())
        if call_limit is None or not all_cores:
            return TrafficPlan(failover_sites, times, None)
        return TrafficPlan(failover_sites, times, round(call_limit * cores / all_cores, 1))

    def stages_to_report(self) -> tuple[str, ...]:
        """Returns the metadata entries that report sites which do not serve all of their load.

        An entry holds the site's name and the share of its load that the site is to serve, in
        thousandths. This node's own site is left out.
        """
        reports = [
            f"{name} {round(1_000 * recovery.share)}"
            for name, recovery in sorted(self.recoveries.items())
            if recovery.share < 1 and name != self.site
        ]
        return tuple(reports[:MAX_REPORTED_STAGES])

    def _update_recovery(
        self,
        recovery: SiteRecovery,
        status: SiteStatus,
        may_ramp: bool,
        now: int,
        ratio: float,
    ) -> None:
        is_reachable = status.condition in (SiteCondition.HEALTHY, SiteCondition.DEGRADED)
        serving_share = 1 - status.failed_share
        has_enough_members = (
            status.known_members > 0
            and status.reachable_members > 0
            and serving_share >= MIN_READY_SHARE
        )
        is_failing = status.condition is SiteCondition.DEGRADED
        before = recovery.stage
        recovery.evaluate(
            SiteProbe(is_reachable, has_enough_members, ratio, is_failing), now, may_ramp
        )
        if recovery.stage is not before:
            self.stage_changes.append((recovery.site, recovery.stage.value, recovery.reason))

    def _learn_baselines(self, status: Mapping[str, SiteStatus], nodes: list[NodeView]) -> None:
        """Learns the load and the completion rate of each site, while all sites are healthy.

        Otherwise the figures include failover traffic, which is not part of a site's own load.
        """
        recoveries = self.recoveries.values()
        if any(recovery.stage is not RecoveryStage.HEALTHY for recovery in recoveries):
            return
        for site in self.config.site:
            name, site_status = site.name, status[site.name]
            if site_status.condition is not SiteCondition.HEALTHY or site_status.failed_share:
                continue
            completed = sum(
                node.status.completed_per_second
                for node in nodes
                if node.status.site == name and node.status.health in REACHABLE
            )
            decayed = BASELINE_DECAY * self.baseline_rates.get(name, 0.0)
            self.baseline_rates[name] = max(completed, decayed)
            # Starts at the configured load: the first metadata reports none, or that of an idle
            # node that has just started.
            before = self.baseline_loads.get(name, site.load)
            self.baseline_loads[name] = before + BASELINE_LEARNING_RATE * (
                site_status.load - before
            )

    def _survives_repeated_failure(self, status: Mapping[str, SiteStatus]) -> bool:
        """Returns whether the fleet survives if all unhealthy sites fail again together."""
        recovering = [
            name
            for name, recovery in self.recoveries.items()
            if recovery.stage is not RecoveryStage.HEALTHY
        ]
        if len(recovering) < 2:
            return True
        capacities = self.current_capacities(status)
        return plan_failover(self.config, capacities, dict.fromkeys(recovering, 1.0)).is_sufficient

    def _make_node_plan(
        self, status: dict[str, SiteStatus], nodes: list[NodeView], conclusion: str
    ) -> NodePlan:
        own_share = self._own_site_share(nodes, conclusion)
        serves_own_site = self._serves_own_site(own_share, nodes)
        failed = self.failed_shares()
        before = self.node_plan
        if conclusion == UNSETTLED_VIEW and before.plan is not None:
            # The decisions made on a settled view apply until the view is settled again.
            return NodePlan(
                status,
                before.plan,
                before.failover_nodes,
                before.failover_sites,
                own_share,
                serves_own_site,
            )
        if not failed or conclusion != HEALTHY_VIEW:
            return NodePlan(status, None, {}, (), own_share, serves_own_site)
        capacities = self.current_capacities(status)
        plan = plan_failover(self.config, capacities, failed)
        failover_nodes: dict[str, list[str]] = {}
        for site in sorted(failed):
            for target, work in sorted(plan.placement.placed_from(site).items()):
                chosen = select_failover_nodes(site, target, work, nodes, capacities[target])
                failover_nodes.setdefault(site, []).extend(chosen)
        failover_sites = tuple(
            site for site, names in sorted(failover_nodes.items()) if self.name in names
        )
        return NodePlan(status, plan, failover_nodes, failover_sites, own_share, serves_own_site)

    def _recovery_time(self, site: str, now: int) -> int:
        """Returns the time until a site is expected to take more load, at least one second.

        The time is rounded down to whole seconds.
        """
        recovery = self.recoveries[site]
        steady = self.config.pace.steady
        if recovery.is_ramping:
            expected = self.config.pace.step
        elif recovery.stage is RecoveryStage.PROBING:
            expected = steady
        else:
            excluded = max(recovery.excluded_until, recovery.held_until) - now
            expected = max(0, excluded) + 2 * steady
        return max(1, expected // SECOND) * SECOND

    def _own_site_share(self, nodes: list[NodeView], conclusion: str) -> float:
        """Returns the share of its own load that this site is to serve, as other sites report it.

        The share is the median of the reports, so that a single wrong report has no effect, and no
        more than this node's own figure. It is 1 without reports, and if this node is alone or on
        the smaller side of a partition: a site that is needed must not withdraw its service.
        """
        if conclusion not in (HEALTHY_VIEW, UNSETTLED_VIEW):
            return 1.0
        reported = sorted(
            reported_share(self.site, node.reported_stages)
            for node in nodes
            if node.status.site != self.site and node.status.health is Health.ALIVE
        )
        if not reported:
            return 1.0
        own = self.recoveries[self.site].share if self.site in self.recoveries else 1.0
        return min(own, reported[len(reported) // 2])

    def _serves_own_site(self, share: float, nodes: list[NodeView]) -> bool:
        """Returns whether this node is among the first by rank, which serve `share` of its site."""
        if share >= 1:
            return True
        ranked = sorted(
            node.name
            for node in nodes
            if node.status.site == self.site and node.status.health in REACHABLE
        )
        ranked.sort(key=lambda name: rendezvous_rank(self.site, name))
        needed = math.ceil(share * len(ranked) - EPSILON)
        return self.name in ranked[:needed]


def _allows_stage_change(status: SiteStatus, conclusion: str) -> bool:
    """Returns whether the status is certain; an uncertain one is neither failure nor recovery."""
    is_unclear = status.condition is SiteCondition.UNCLEAR
    return not (is_unclear and (conclusion != HEALTHY_VIEW or not status.known_members))
