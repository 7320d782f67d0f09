"""Starts lilacwalk with a simpler form of the failover plan, for comparison in measurements:

    python -m benchmarks.site_forms proportional|at-once -- serve --config …

proportional: a failed site's load goes to its failover targets in proportion to their cores,
              whatever their spare capacity and path cost; only p_a rejects requests
at-once:      a site that is reachable again takes all of its load at once"""

from __future__ import annotations

import runpy
import sys
from collections.abc import Mapping

from lilacwalk.failover import planner as planning
from lilacwalk.failover.capacity import LoadPlacement, SiteCapacity
from lilacwalk.failover.local_priority import LocalPriority
from lilacwalk.failover.recovery import RecoveryStage, SiteProbe, SiteRecovery


def place_by_cores(
    sites: Mapping[str, SiteCapacity], failed: Mapping[str, float], headroom: float
) -> LoadPlacement:
    placement = LoadPlacement()
    for name in sorted(failed):
        cores = {
            target: sites[target].cores
            for target, _ in sites[name].failover_targets
            if failed.get(target, 0.0) <= 0
        }
        total = sum(cores.values())
        placement.unplaced[name] = 0.0 if total else sites[name].load
        for target, target_cores in cores.items():
            placement.placed[name, target] = sites[name].load * target_cores / total
    return placement


def skip_ramp(
    self: SiteRecovery, probe: SiteProbe, is_good: bool, now: int, may_ramp: bool
) -> None:
    self._enter(RecoveryStage.HEALTHY, 1.0, "reachable again", now)


def main() -> None:
    separator = sys.argv.index("--")
    form, sys.argv[1:] = sys.argv[1], sys.argv[separator + 1 :]
    if form == "proportional":
        planning.place_load = place_by_cores
        LocalPriority.reject_if_overloaded = lambda *arguments: None  # type: ignore[method-assign]
    else:
        SiteRecovery._in_lost = SiteRecovery._in_probing = skip_ramp  # type: ignore[method-assign]
    runpy.run_module("lilacwalk", run_name="__main__")


if __name__ == "__main__":
    main()
