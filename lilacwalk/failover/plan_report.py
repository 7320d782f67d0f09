"""The report of a failover plan that the command line prints."""

from __future__ import annotations

from collections.abc import Mapping

from lilacwalk.failover.capacity import SiteCapacity
from lilacwalk.failover.config import FailoverConfig
from lilacwalk.failover.planner import FailoverPlan
from lilacwalk.failover.sizing import additional_cores_needed


def describe_plan(
    config: FailoverConfig, capacities: Mapping[str, SiteCapacity], plan: FailoverPlan
) -> dict:
    """Returns the report of a plan, with the keys that `lilacwalk sites plan --json` prints."""
    return {
        "lost": sorted(plan.failed),
        "holds": plan.is_sufficient,
        "shares": _rounded(plan.shares()),
        "utilisation": _rounded(dict(sorted(plan.utilisation.items()))),
        "refused": _rounded(plan.rejected_by_class),
        "refused_of": _rounded(dict(sorted(plan.rejected_by_source.items()))),
        "binding": plan.binding_constraint,
        "more_cores": additional_cores_needed(config, capacities, plan.failed),
        "calls": {
            name: {"made": round(calls, 1), "limit": limit}
            for name, (calls, limit) in plan.calls.items()
        },
        "benefit": round(plan.weight_share, 4),
    }


def _rounded(shares: Mapping[str, float]) -> dict[str, float]:
    return {name: round(share, 4) for name, share in shares.items()}
