"""Computes how many cores a failover plan lacks, and where to add them."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from lilacwalk.failover.capacity import SiteCapacity, place_load
from lilacwalk.failover.config import FailoverConfig
from lilacwalk.failover.planner import REJECTED_EPSILON, plan_failover

MAX_ADDITIONAL_CORES = 1 << 20  # the search gives up beyond this number


def additional_cores_needed(
    config: FailoverConfig, capacities: Mapping[str, SiteCapacity], failed: Mapping[str, float]
) -> int | None:
    """Returns the smallest number of added cores with which nothing is rejected.

    `add_cores` chooses the sites that receive them. The result is None if no number up to
    `MAX_ADDITIONAL_CORES` suffices.
    """

    def is_enough(cores: int) -> bool:
        grown = add_cores(config, capacities, failed, cores)
        return plan_failover(config, grown, failed).is_sufficient

    if is_enough(0):
        return 0
    high = 1
    while not is_enough(high):
        high *= 2
        if high > MAX_ADDITIONAL_CORES:
            return None
    low = high // 2
    while low + 1 < high:
        middle = (low + high) // 2
        if is_enough(middle):
            high = middle
        else:
            low = middle
    return high


def add_cores(
    config: FailoverConfig,
    capacities: Mapping[str, SiteCapacity],
    failed: Mapping[str, float],
    cores: int,
) -> dict[str, SiteCapacity]:
    """Returns the capacities with cores added where the shortage is largest.

    Sites that lack cores for their own load receive them first, then the first remaining target of
    load that finds no capacity. Each step adds the cores of a whole shortage, so that a large
    number of cores takes no more steps than a small one.
    """
    grown = dict(capacities)
    while cores > 0:
        shortage = _largest_shortage(config, grown, failed)
        if shortage is None:
            return grown
        missing_cores, name = shortage
        step = max(1, min(cores, int(missing_cores / (1 - config.headroom))))
        grown[name] = replace(grown[name], cores=grown[name].cores + step)
        cores -= step
    return grown


def _largest_shortage(
    config: FailoverConfig,
    capacities: Mapping[str, SiteCapacity],
    failed: Mapping[str, float],
) -> tuple[float, str] | None:
    """Returns the missing cores and the site that lacks them; None if more cores do not help."""
    short = {
        name: site.load - site.cores * (1 - config.headroom)
        for name, site in capacities.items()
        if failed.get(name, 0.0) <= 0 and site.load > site.cores * (1 - config.headroom)
    }
    if short:
        name, missing_cores = max(short.items(), key=lambda each: (each[1], each[0]))
        return missing_cores, name
    placement = place_load(capacities, failed, config.headroom)
    for source, work in sorted(placement.unplaced.items()):
        for target, _ in capacities[source].failover_targets:
            if failed.get(target, 0.0) <= 0 and work > REJECTED_EPSILON:
                return work, target
    return None
