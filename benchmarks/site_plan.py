"""Time to compute a failover plan, from three small sites to 30 sites of 100 nodes each, and the
share of a failed site's load that moves when the load of one failover target changes.

    python -m benchmarks.site_plan"""

from __future__ import annotations

import random
import time

from benchmarks.table import Table, quantile
from lilacwalk.failover.capacity import SiteCapacity, place_load
from lilacwalk.failover.config import Class, FailoverConfig, Shared, Site, StandIn
from lilacwalk.failover.detector import MemberStatus
from lilacwalk.failover.node_plan import FailoverPlanner
from lilacwalk.failover.node_selection import NodeView
from lilacwalk.failover.planner import configured_capacities, plan_failover
from lilacwalk.failover.sizing import additional_cores_needed
from lilacwalk.membership.messages import Health, NodeState


def make_config(site_count: int, nodes_per_site: int, rng: random.Random) -> FailoverConfig:
    names = [f"s{at:02d}" for at in range(site_count)]
    sites = []
    for name in names:
        targets = rng.sample([other for other in names if other != name], min(4, site_count - 1))
        sites.append(
            Site(
                name=name,
                cores=float(nodes_per_site),
                load=nodes_per_site * rng.uniform(0.5, 0.75),
                stand_in=tuple(
                    StandIn(site=target, cost=rng.randrange(20, 300)) for target in targets
                ),
            )
        )
    classes = tuple(
        Class(name=f"c{at}", share=0.2, benefit=float(at + 1), calls=float(at % 2))
        for at in range(5)
    )
    return FailoverConfig(
        site=tuple(sites),
        class_=classes,
        shared=(Shared(name="index", limit=site_count * nodes_per_site * 40.0),),
    )


def measure_times(action, repetitions: int) -> tuple[float, float]:
    """Returns the median and the 99th percentile of the action's time, in ms."""
    times = []
    for at in range(repetitions):
        began = time.perf_counter()
        action(at)
        times.append((time.perf_counter() - began) * 1000)
    return quantile(times, 0.5), quantile(times, 0.99)


def place_by_cores(capacities: dict[str, SiteCapacity], failed_site: str) -> dict[str, float]:
    """The simplest form: in proportion to the targets' cores, whatever their spare capacity."""
    cores = {
        target: capacities[target].cores for target, _ in capacities[failed_site].failover_targets
    }
    return {
        target: capacities[failed_site].load * target_cores / sum(cores.values())
        for target, target_cores in cores.items()
    }


def place_by_hashing(
    capacities: dict[str, SiteCapacity], failed_site: str, parts: int = 400
) -> dict[str, float]:
    """Consistent hashing with bounded loads.

    Each part of the load goes to the next point on a ring whose target has spare capacity for it.
    """
    ring = sorted(
        (random.Random(f"{target} {point}").random(), target)
        for target, _ in capacities[failed_site].failover_targets
        for point in range(64)
    )
    placed = dict.fromkeys((target for _, target in ring), 0.0)
    size = capacities[failed_site].load / parts
    for part in range(parts):
        position = random.Random(f"part {part}").random()
        first = next((at for at, (point, _) in enumerate(ring) if point >= position), 0)
        for step in range(len(ring)):
            target = ring[(first + step) % len(ring)][1]
            if placed[target] + size <= capacities[target].spare_capacity(0.1):
                placed[target] += size
                break
    return placed


def measure_sensitivity(place, rng: random.Random) -> tuple[float, float]:
    """Returns how sensitive a placement is to the load of one target, and its worst utilisation.

    The first figure is the median share of the failed site's load that moves to another target when
    one target's load rises by 5%, the second the 99th percentile of the highest utilisation.
    """
    moved_shares, max_utilisations = [], []
    for _ in range(60):
        names = [f"s{at}" for at in range(6)]
        capacities = {
            name: SiteCapacity(
                name,
                20.0,
                rng.uniform(9, 15),
                tuple((other, rng.randrange(20, 200)) for other in names if other != name),
            )
            for name in names
        }
        before = place(capacities, "s0")
        changed = rng.choice(names[1:])
        capacities[changed] = SiteCapacity(
            changed, 20.0, capacities[changed].load * 1.05, capacities[changed].failover_targets
        )
        after = place(capacities, "s0")
        moved_shares.append(
            sum(abs(before.get(name, 0) - after.get(name, 0)) for name in names)
            / 2
            / capacities["s0"].load
        )
        max_utilisations.append(
            max(
                (capacities[name].load + after.get(name, 0)) / capacities[name].cores
                for name in names[1:]
            )
        )
    return quantile(moved_shares, 0.5), quantile(max_utilisations, 0.99)


def main() -> None:
    rng = random.Random(1)
    rows = []
    for site_count, nodes_per_site in ((3, 8), (10, 50), (30, 100)):
        config = make_config(site_count, nodes_per_site, rng)
        capacities, names = configured_capacities(config), [each.name for each in config.site]
        plan_times = measure_times(
            lambda at, names=names, config=config, capacities=capacities: plan_failover(
                config, capacities, {names[at % len(names)]: 1.0}
            ),
            60,
        )
        sizing_times = measure_times(
            lambda at, names=names, config=config, capacities=capacities: additional_cores_needed(
                config, capacities, {names[at % len(names)]: 1.0}
            ),
            20,
        )
        members = [
            NodeView(f"{name}-{at}", MemberStatus(name, Health.ALIVE, NodeState.READY, 1, 0.6, 100))
            for name in names
            for at in range(nodes_per_site)
        ]
        members_after_failure = [
            NodeView(
                member.name,
                MemberStatus(member.status.site, Health.DEAD, NodeState.READY, 1, 0.6, 100),
            )
            if member.status.site == names[0]
            else member
            for member in members
        ]
        planner = FailoverPlanner(config, members[-1].name, names[-1], 0)
        planner.evaluate(members, "whole", 0)
        evaluation_times = measure_times(
            lambda at, planner=planner, members=members_after_failure: planner.evaluate(
                members, "whole", 2_000 * (at + 1)
            ),
            30,
        )
        rows.append(
            (
                site_count,
                site_count * nodes_per_site,
                *plan_times,
                *sizing_times,
                *evaluation_times,
            )
        )
    table = Table("site-plan")
    table.rows(
        "time of a plan, of the number of additional cores, and of an evaluation on a running node "
        "while a site is lost: median and 99th percentile, ms",
        ("sites", "nodes", "plan", "99th", "additional cores", "99th", "evaluation", "99th"),
        rows,
    )
    forms = {
        "by spare capacity and path cost": lambda capacities, failed_site: place_load(
            capacities, {failed_site: 1.0}, 0.1
        ).placed_from(failed_site),
        "by cores": place_by_cores,
        "consistent hashing, bounded": place_by_hashing,
    }
    table.rows(
        "one target's load changes by 5%: share of the failed site's load that moves, highest "
        "utilisation",
        ("form", "moved share (median)", "highest utilisation (99th)"),
        [(name, *measure_sensitivity(place, random.Random(2))) for name, place in forms.items()],
    )
    table.write()


if __name__ == "__main__":
    main()
