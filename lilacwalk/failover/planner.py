"""Plans for one failure: the placement of load, the admitted work and the binding constraint.

Pure functions, used both by the command line and by a running node. Loads and capacities are in
cores, times in tenths of a millisecond.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from itertools import combinations

from lilacwalk.failover.capacity import (
    LoadPlacement,
    SiteCapacity,
    place_load,
    place_overflow,
)
from lilacwalk.failover.config import SECOND, FailoverConfig
from lilacwalk.failover.shedding import AdmissionPlan, WorkShare, choose_admitted, value_work

REJECTED_EPSILON = 1e-6  # a smaller rejected share is a rounding error
NO_TARGET = "no stand-in"  # the binding constraint where a failed site has no failover target left


@dataclass(frozen=True, slots=True)
class FailoverPlan:
    """The plan for one failure."""

    failed: dict[str, float]  # failed share of each failed site
    placement: LoadPlacement
    admission: AdmissionPlan
    utilisation: dict[str, float]  # share of the cores in use, by site that has cores left
    rejected_by_class: dict[str, float]  # rejected share of the class's work in the whole fleet
    rejected_by_source: dict[str, float]  # rejected share of the work from each site's clients
    binding_constraint: str
    calls: dict[str, tuple[float, float]]  # by shared dependency: (calls per second, limit)
    is_sufficient: bool  # whether no work is rejected
    weight_share: float  # weight of the admitted work, relative to that of all offered work

    def shares(self) -> dict[str, float]:
        """Returns, by site, the share of the failed sites' load that the site receives."""
        placed = self.placement.placed
        total = sum(placed.values()) + sum(self.placement.unplaced.values())
        found: dict[str, float] = {}
        for (_, target), work in sorted(placed.items()):
            found[target] = found.get(target, 0.0) + work / total if total else 0.0
        return found


def configured_capacities(
    config: FailoverConfig, load_factor: float = 1.0
) -> dict[str, SiteCapacity]:
    """Returns the sites as configured, with their loads multiplied by `load_factor`."""
    return {
        site.name: SiteCapacity(
            site.name,
            site.cores,
            site.load * load_factor,
            tuple((target.site, target.cost) for target in site.stand_in),
        )
        for site in config.site
    }


def shared_call_limit(config: FailoverConfig) -> float | None:
    """Returns the lowest limit of a shared dependency, in calls per second; None without any."""
    return min((each.limit for each in config.shared), default=None)


def offered_work(
    config: FailoverConfig,
    capacities: Mapping[str, SiteCapacity],
    failed: Mapping[str, float],
    placement: LoadPlacement,
) -> list[WorkShare]:
    """Returns the offered work, class by class, with local work before failover traffic."""
    path_cost = {
        (site.name, target): cost
        for site in capacities.values()
        for target, cost in site.failover_targets
    }
    found = []
    for request_class in config.classes:
        for name, site in sorted(capacities.items()):
            local = _local_load(site, failed, placement)
            if local > 0 and failed.get(name, 0.0) < 1:
                work = local * request_class.share
                found.append(value_work(request_class, name, name, work, 0))
        for (source, target), load in sorted(placement.placed.items()):
            work = load * request_class.share
            cost = path_cost[source, target]
            found.append(value_work(request_class, target, source, work, cost, config.guest_worth))
    return found


def plan_failover(
    config: FailoverConfig, capacities: Mapping[str, SiteCapacity], failed: Mapping[str, float]
) -> FailoverPlan:
    """Plans for the failure of sites.

    Args:
        config: the operator's block.
        capacities: the sites with their current capacities and loads.
        failed: the failed share of each failed site, above 0 and up to 1.

    Raises:
        KeyError: a failed site is not in `capacities`.
    """
    placement = place_load(capacities, failed, config.headroom)
    unplaced_load = sum(placement.unplaced.values())
    planned = (
        place_overflow(capacities, placement) if unplaced_load > REJECTED_EPSILON else placement
    )
    usable = {
        name: site.cores * (1 - config.headroom) * (1 - min(1.0, failed.get(name, 0.0)))
        for name, site in capacities.items()
    }
    offered = offered_work(config, capacities, failed, planned)
    call_limit = shared_call_limit(config)
    admission = choose_admitted(offered, usable, call_limit, config.least_share)
    rejected_by_class = _rejected_by_class(config, capacities, admission)
    binding_constraint = find_binding_constraint(
        config,
        usable,
        planned,
        capacities,
        failed,
        sum(each.work * each.calls for each in offered),
        unplaced_load,
    )
    offered_weight = _offered_weight(config, capacities)
    return FailoverPlan(
        failed=dict(failed),
        placement=planned,
        admission=admission,
        utilisation=_utilisation(capacities, failed, admission),
        rejected_by_class=rejected_by_class,
        rejected_by_source=_rejected_by_source(capacities, admission),
        binding_constraint=binding_constraint,
        calls={each.name: (admission.calls, each.limit) for each in config.shared},
        is_sufficient=all(share <= REJECTED_EPSILON for share in rejected_by_class.values()),
        weight_share=admission.total_value / offered_weight if offered_weight else 1.0,
    )


def find_binding_constraint(
    config: FailoverConfig,
    usable: Mapping[str, float],
    placement: LoadPlacement,
    capacities: Mapping[str, SiteCapacity],
    failed: Mapping[str, float],
    calls: float,
    unplaced_load: float,
) -> str:
    """Returns the constraint with the highest ratio of load to limit, as shown to operators.

    The result is `NO_TARGET` if load is unplaced although no limit is exceeded.
    """
    ratios: list[tuple[float, str]] = []
    for name, cores in usable.items():
        if cores > 0:
            load = capacities[name].load
            local = load if failed.get(name, 0.0) <= 0 else min(load, cores)
            ratios.append(((local + placement.placed_on(name)) / cores, f"cores of {name}"))
    if config.shared:
        scarcest = min(config.shared, key=lambda each: each.limit)
        ratios.append((calls / scarcest.limit, f"calls to {scarcest.name}"))
    if unplaced_load > REJECTED_EPSILON and not any(ratio > 1 for ratio, _ in ratios):
        return NO_TARGET
    return max(ratios)[1] if ratios else NO_TARGET


def required_failures(config: FailoverConfig) -> Iterator[tuple[str, ...]]:
    """Yields the failures that the operator's file requires to be survivable, each once."""
    names = [each.name for each in config.site]
    seen: set[tuple[str, ...]] = set()
    for word in config.bear:
        if word == "any-one":
            found = [(name,) for name in names]
        elif word == "any-two":
            found = list(combinations(names, 2))
        else:
            found = [(word,)]
        for each in found:
            if each not in seen:
                seen.add(each)
                yield each


def without_rounding(share: float) -> float:
    """Returns the share, or 0 if it is only a rounding error."""
    return 0.0 if share < REJECTED_EPSILON else share


def _local_load(site: SiteCapacity, failed: Mapping[str, float], placement: LoadPlacement) -> float:
    """Returns the part of a site's own load that stays there."""
    if failed.get(site.name, 0.0) <= 0:
        return site.load
    placed = sum(placement.placed_from(site.name).values())
    return site.load - (placed + placement.unplaced.get(site.name, 0.0))


def _rejected_by_class(
    config: FailoverConfig, capacities: Mapping[str, SiteCapacity], admission: AdmissionPlan
) -> dict[str, float]:
    rejected = {}
    for request_class in config.classes:
        name = request_class.name
        offered = sum(site.load for site in capacities.values()) * request_class.share
        admitted = sum(each.work for each in admission.admitted if each.request_class.name == name)
        rejected[name] = without_rounding(1 - admitted / offered) if offered else 0.0
    return rejected


def _rejected_by_source(
    capacities: Mapping[str, SiteCapacity], admission: AdmissionPlan
) -> dict[str, float]:
    rejected = {}
    for name, site in capacities.items():
        served = sum(each.work for each in admission.admitted if each.source == name)
        rejected[name] = without_rounding(1 - served / site.load) if site.load else 0.0
    return rejected


def _utilisation(
    capacities: Mapping[str, SiteCapacity],
    failed: Mapping[str, float],
    admission: AdmissionPlan,
) -> dict[str, float]:
    utilisation = {}
    for name, site in capacities.items():
        cores = site.cores * (1 - min(1.0, failed.get(name, 0.0)))
        if cores > 0:
            admitted = sum(each.work for each in admission.admitted if each.site == name)
            utilisation[name] = admitted / cores
    return utilisation


def _offered_weight(config: FailoverConfig, capacities: Mapping[str, SiteCapacity]) -> float:
    """Returns the weight per second of all offered work."""
    return sum(
        site.load * request_class.share * request_class.benefit * SECOND / request_class.work
        for site in capacities.values()
        for request_class in config.classes
    )
