"""Starts the program with a plainer form of the plan, to be measured against:

    python -m benchmarks.site_forms proportional|at-once -- serve --config …

proportional: a lost site's load goes to its stand-ins in proportion to their cores, whatever room is left
              there and however long the path; nothing gives way but what p_a refuses
at-once:      a site that is seen again is whole at once"""

from __future__ import annotations

import runpy
import sys
from collections.abc import Mapping

from lilacwalk.failover import planner as planning
from lilacwalk.failover.capacity import LoadPlacement, SiteCapacity
from lilacwalk.failover.local_priority import LocalPriority
from lilacwalk.failover.recovery import RecoveryStage, SiteProbe, SiteRecovery


def by_cores(
    places: Mapping[str, SiteCapacity], lost: Mapping[str, float], headroom: float
) -> LoadPlacement:
    made = LoadPlacement()
    for name in sorted(lost):
        cores = {
            target: places[target].cores
            for target, _ in places[name].failover_targets
            if lost.get(target, 0.0) <= 0
        }
        total = sum(cores.values())
        made.unplaced[name] = 0.0 if total else places[name].load
        for target, part in cores.items():
            made.placed[name, target] = places[name].load * part / total
    return made


def at_once(self: SiteRecovery, seen: SiteProbe, good: bool, now: int, may_ramp: bool) -> None:
    self._enter(RecoveryStage.HEALTHY, 1.0, "seen again", now)


def main() -> None:
    at = sys.argv.index("--")
    form, sys.argv[1:] = sys.argv[1], sys.argv[at + 1 :]
    if form == "proportional":
        planning.place_load = by_cores
        LocalPriority.reject_if_overloaded = lambda *arguments: None  # type: ignore[method-assign]
    else:
        SiteRecovery._in_lost = SiteRecovery._in_probing = at_once  # type: ignore[method-assign]
    runpy.run_module("lilacwalk", run_name="__main__")


if __name__ == "__main__":
    main()
