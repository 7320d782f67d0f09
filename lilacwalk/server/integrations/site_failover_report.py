"""Builds the admin socket's reports on sites and on the failover plan."""

from __future__ import annotations

from lilacwalk.failover.node_plan import FailoverPlanner, NodePlan
from lilacwalk.membership.host import SECOND


def describe_site(planner: FailoverPlanner, name: str, now: int) -> dict:
    """Returns the report on the site `name`: its recovery, status and failover nodes."""
    recovery = planner.recoveries[name]
    status = planner.node_plan.site_status.get(name)
    return {
        "site": name,
        "stage": recovery.stage.value,
        "share": round(recovery.share, 3),
        "why": recovery.reason,
        "since_ms": (now - recovery.stage_since) // 10,
        "losses": recovery.failure_count,
        "standing": status.condition.value if status is not None else "unclear",
        "there": status.reachable_members if status is not None else 0,
        "known": status.known_members if status is not None else 0,
        "held_for_s": max(0, recovery.held_until - now) // SECOND,
        "away_for_s": max(0, recovery.excluded_until - now) // SECOND,
        "stand_ins": planner.node_plan.failover_nodes.get(name, []),
    }


def describe_plan(node_plan: NodePlan) -> dict | None:
    """Returns the report on the failover plan, or None if there is no plan.

    The report holds, by site, the share of the failed sites' load that the site receives, and the
    share of its cores in use; by class, the rejected share of its work; the binding constraint; and
    whether the plan holds, which means that no work is rejected.
    """
    plan = node_plan.plan
    if plan is None:
        return None
    return {
        "shares": {name: round(share, 3) for name, share in plan.shares().items()},
        "utilisation": {name: round(share, 3) for name, share in plan.utilisation.items()},
        "refused": {name: round(share, 3) for name, share in plan.rejected_by_class.items()},
        "binding": plan.binding_constraint,
        "holds": plan.is_sufficient,
    }
