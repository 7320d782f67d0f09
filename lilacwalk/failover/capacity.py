"""Places the load of failed sites on failover targets by their spare capacity.

Nearer targets receive more, and no target receives more than its spare capacity. All members
compute the same placement from the same figures: the computation uses neither random numbers nor a
clock, and processes sites in sorted order.

A share in proportion to spare capacity changes little when one site's capacity changes a little,
unlike nearest-first placement or consistent hashing (docs/design/sites.md compares them). Figures
are rounded to `CAPACITY_STEP` first, so that two members whose views differ by less compute the
same placement.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

HALF_WEIGHT_PATH_COST = 200  # tenths of a ms; a path of this cost halves a target's weight
CAPACITY_STEP = 0.25  # cores; more than the figures change while gossip delays them
MAX_PLACEMENT_ROUNDS = 64  # bounds the loop; each round fills at least one target
EPSILON = 1e-9  # cores; smaller amounts of load or capacity count as 0


@dataclass(frozen=True, slots=True)
class SiteCapacity:
    """Capacity of a site, and load from its own clients, in cores."""

    name: str
    cores: float
    load: float
    failover_targets: tuple[tuple[str, int], ...] = ()  # (site, path cost in tenths of a ms)

    def spare_capacity(self, headroom: float) -> float:
        """Returns the cores free for failover load; `headroom` is the share kept unused."""
        return max(0.0, self.cores * (1 - headroom) - self.load)


@dataclass(slots=True)
class LoadPlacement:
    """Divides the load of failed sites among the targets that take it, in cores."""

    placed: dict[tuple[str, str], float] = field(default_factory=dict)  # by (failed site, target)
    # load that found no spare capacity, by failed site
    unplaced: dict[str, float] = field(default_factory=dict)

    def placed_on(self, site: str) -> float:
        """Returns the load that a target takes from all failed sites."""
        return sum(work for (_, target), work in self.placed.items() if target == site)

    def placed_from(self, site: str) -> dict[str, float]:
        """Returns the load that each target takes from a failed site."""
        return {target: work for (source, target), work in self.placed.items() if source == site}

    def add(self, source: str, target: str, work: float) -> None:
        """Adds `work` of a failed site to the load placed on a target."""
        self.placed[source, target] = self.placed.get((source, target), 0.0) + work


def round_to_step(cores: float) -> float:
    """Rounds a capacity or load to the step that placements use."""
    return round(cores / CAPACITY_STEP) * CAPACITY_STEP


def target_weight(spare: float, path_cost: int) -> float:
    """Returns the weight of a target in a placement; `path_cost` is in tenths of a millisecond."""
    return spare * 0.5 ** (path_cost / HALF_WEIGHT_PATH_COST)


def place_load(
    sites: Mapping[str, SiteCapacity], failed: Mapping[str, float], headroom: float
) -> LoadPlacement:
    """Returns the placement of the failed sites' load on their targets.

    Args:
        sites: all sites by name.
        failed: the failed share of each failed site, above 0 and up to 1. Load that a partly failed
            site can still carry stays there.
        headroom: the share of each target's cores that is kept unused.

    Raises:
        KeyError: a failed site is not in `sites`.
    """
    placement = LoadPlacement()
    spare = {
        name: site.spare_capacity(headroom)
        for name, site in sites.items()
        if failed.get(name, 0.0) <= 0
    }
    unplaced = _load_to_place(sites, failed, headroom)
    for _ in range(MAX_PLACEMENT_ROUNDS):
        demands = _divide_by_weight(sites, unplaced, spare)
        if not demands:
            break
        _place_demands(demands, spare, placement, unplaced)
        if all(work <= EPSILON for work in unplaced.values()):
            break
    placement.unplaced = {name: max(0.0, work) for name, work in unplaced.items()}
    return placement


def _load_to_place(
    sites: Mapping[str, SiteCapacity], failed: Mapping[str, float], headroom: float
) -> dict[str, float]:
    """Returns, by failed site, the load that the site cannot carry itself."""
    unplaced: dict[str, float] = {}
    for name in sorted(failed):
        site = sites[name]
        share = min(1.0, failed[name])
        if share <= 0:
            continue
        remaining = site.cores * (1 - share) * (1 - headroom) if share < 1 else 0.0
        unplaced[name] = max(0.0, site.load - remaining)
    return unplaced


def _divide_by_weight(
    sites: Mapping[str, SiteCapacity], unplaced: Mapping[str, float], spare: Mapping[str, float]
) -> dict[tuple[str, str], float]:
    """Divides each failed site's unplaced load by weight among its targets with spare capacity."""
    demands: dict[tuple[str, str], float] = {}
    for source, work in unplaced.items():
        if work <= EPSILON:
            continue
        weights = [
            (target, target_weight(spare[target], path_cost))
            for target, path_cost in sites[source].failover_targets
            if spare.get(target, 0.0) > EPSILON
        ]
        total = sum(weight for _, weight in weights)
        for target, weight in weights:
            demands[source, target] = work * weight / total
    return demands


def _place_demands(
    demands: Mapping[tuple[str, str], float],
    spare: dict[str, float],
    placement: LoadPlacement,
    unplaced: dict[str, float],
) -> None:
    """Places the demanded load, scaled down on a target whose spare capacity is too small."""
    total_demand: dict[str, float] = {}
    for (_, target), work in demands.items():
        total_demand[target] = total_demand.get(target, 0.0) + work
    for (source, target), work in demands.items():
        placed = work * min(1.0, spare[target] / total_demand[target])
        placement.add(source, target, placed)
        unplaced[source] -= placed
    for target, work in total_demand.items():
        spare[target] -= min(work, spare[target])


def place_overflow(sites: Mapping[str, SiteCapacity], placement: LoadPlacement) -> LoadPlacement:
    """Returns a placement that also includes the load that found no spare capacity.

    This load is divided among the targets in proportion to their cores, and the targets reject
    their excess by weight. Otherwise all of this load would be rejected merely because it comes
    from a failed site.
    """
    overflowed = LoadPlacement(dict(placement.placed), dict(placement.unplaced))
    failed = set(placement.unplaced)
    for source, work in sorted(placement.unplaced.items()):
        if work <= EPSILON:
            continue
        targets = [
            (target, sites[target].cores)
            for target, _ in sites[source].failover_targets
            if target not in failed and sites[target].cores > 0
        ]
        total = sum(cores for _, cores in targets)
        for target, cores in targets:
            overflowed.add(source, target, work * cores / total)
        if targets:
            overflowed.unplaced[source] = 0.0
    return overflowed
