"""Failover plans of nodes with different views, when one site of 30 fails. Simulated time.

Measures how long the planning nodes take to agree on the nodes that take the failed site's load, by
how many nodes their sets differ until then, and how often a set changes when members are falsely
suspected.

    python -m benchmarks.site_fleet [--quick]

Each planning node has a view of its own of all 3,000 members. A change reaches each view, member by
member, after a time drawn from the range that the membership benchmark found for a crash: 5 to 12
probe intervals of one second. Load figures differ between views by as much as a member's load
changes between two reports of it."""

from __future__ import annotations

import random
import sys
from collections import Counter

from benchmarks.site_plan import make_config
from benchmarks.table import Table, quantile
from lilacwalk.failover.detector import MemberStatus
from lilacwalk.failover.node_plan import FailoverPlanner
from lilacwalk.failover.node_selection import NodeView
from lilacwalk.membership.conclusions import ViewStatistics, conclude
from lilacwalk.membership.messages import Health, NodeState

SECOND = 10_000  # tenths of a ms
# Seconds until a view has detected a crash: see docs/design/membership.md.
MIN_DETECTION_TIME, MAX_DETECTION_TIME = 5.0, 12.0
SITES, NODES_PER_SITE = 30, 100


class PlanningNode:
    def __init__(
        self, config, name: str, site: str, members: list[NodeView], rng: random.Random
    ) -> None:
        self.planner = FailoverPlanner(config, name, site, 0)
        self.rng, self.site = rng, site
        self.view = {each.name: each for each in members}
        # time in seconds, member, new health
        self.pending_changes: list[tuple[float, str, Health]] = []

    def schedule_detection(self, at: float, names: list[str], health: Health) -> None:
        self.pending_changes += [
            (at + self.rng.uniform(MIN_DETECTION_TIME, MAX_DETECTION_TIME), name, health)
            for name in names
        ]

    def evaluate(self, now: float, load_deviation: float) -> dict[str, tuple[str, ...]]:
        """Applies the changes that are due and returns the failover nodes by failed site."""
        later = []
        for due, name, health in self.pending_changes:
            if due > now:
                later.append((due, name, health))
                continue
            self.view[name] = with_status(
                self.view[name], health, self.view[name].status.utilisation
            )
        self.pending_changes = later
        if load_deviation:
            for name in self.rng.sample(sorted(self.view), len(self.view) // 20):
                load = 0.6 + self.rng.uniform(-load_deviation, load_deviation)
                self.view[name] = with_status(self.view[name], self.view[name].status.health, load)
        health_counts = Counter(member.status.health for member in self.view.values())
        dead = health_counts[Health.DEAD]
        conclusion = conclude(
            ViewStatistics(
                len(self.view) - dead,
                health_counts[Health.SUSPECT],
                dead,
                0,
                0,
                0,
                False,
                False,
                False,
                not health_counts[Health.SUSPECT],
            )
        )
        node_plan = self.planner.evaluate(
            self.view.values(),
            "whole" if conclusion.firm else conclusion.verdict,
            int(now * SECOND),
        )
        return {site: tuple(sorted(nodes)) for site, nodes in node_plan.failover_nodes.items()}


def with_status(member: NodeView, health: Health, load: float) -> NodeView:
    before = member.status
    return NodeView(
        member.name,
        MemberStatus(
            before.site, health, before.state, before.cores, load, before.completed_per_second
        ),
    )


def max_difference(sets: list[frozenset[str]]) -> int:
    """Returns by how many nodes the two sets differ that differ most."""
    return max((len(one ^ other) for one in set(sets) for other in set(sets)), default=0)


def run(
    seed: int, load_deviation: float, false_suspicions: bool, node_count: int, seconds: int
) -> dict[str, float]:
    rng = random.Random(seed)
    config = make_config(SITES, NODES_PER_SITE, rng)
    names = [each.name for each in config.site]
    members = [
        NodeView(f"{site}-{at}", MemberStatus(site, Health.ALIVE, NodeState.READY, 1, 0.6, 100))
        for site in names
        for at in range(NODES_PER_SITE)
    ]
    failed_site = names[rng.randrange(SITES)]
    others = [site for site in names if site != failed_site]
    nodes = [
        PlanningNode(config, f"{site}-{at}", site, members, random.Random(f"{seed} {site} {at}"))
        for site in others
        for at in range(2)
    ][:node_count]
    for _ in range(3):
        for each in nodes:
            each.evaluate(0.0, 0.0)
    failed_members = [member.name for member in members if member.status.site == failed_site]
    for each in nodes:
        each.schedule_detection(1.0, failed_members, Health.DEAD)
    agreed_after, difference_before, difference_after, changes = float("nan"), 0, 0, 0
    previous: list[frozenset[str]] = [frozenset()] * len(nodes)
    max_by_site: dict[str, int] = {}
    for now in range(1, seconds):
        # Each second, about one member in a hundred is suspected and refutes it, in each view.
        if false_suspicions and now > 2:
            for each in nodes:
                for name in each.rng.sample(
                    [member.name for member in members if member.status.site != failed_site], 30
                ):
                    each.pending_changes.append((now + each.rng.random(), name, Health.SUSPECT))
                    each.pending_changes.append((now + 1 + each.rng.random(), name, Health.ALIVE))
        sets = [
            frozenset(each.evaluate(float(now), load_deviation).get(failed_site, ()))
            for each in nodes
        ]
        is_detected = now > MAX_DETECTION_TIME + 1
        difference = max_difference(sets)
        for failover_nodes in sets:
            for site in others:
                max_by_site[site] = max(
                    max_by_site.get(site, 0),
                    sum(name.startswith(site + "-") for name in failover_nodes),
                )
        if is_detected:
            difference_after = max(difference_after, difference)
            changes += sum(one != other for one, other in zip(sets, previous, strict=True))
        else:
            difference_before = max(difference_before, difference)
        if difference == 0 and sets[0] and agreed_after != agreed_after:
            agreed_after = now - 1.0
        previous = sets
    return {
        "agreed after": agreed_after,
        "difference before": difference_before,
        "difference after": difference_after,
        "failover nodes": len(previous[0]),
        "changes": changes / len(nodes) / max(1, seconds - MAX_DETECTION_TIME - 2),
        "largest share": max(max_by_site.values()) / NODES_PER_SITE,
    }


def main() -> None:
    quick = "--quick" in sys.argv
    node_count, seconds = (10, 20) if quick else (30, 30)
    rows = []
    for views, load_deviation, false_suspicions in (
        ("equal figures", 0.0, False),
        ("loads differ by 0.05", 0.05, False),
        ("loads differ, 1% of members falsely suspected", 0.05, True),
    ):
        results = [
            run(seed, load_deviation, false_suspicions, node_count, seconds)
            for seed in range(1 if quick else 3)
        ]
        rows.append(
            (
                views,
                len(results),
                *(
                    quantile([each[name] for each in results], 1.0)
                    for name in (
                        "agreed after",
                        "difference before",
                        "difference after",
                        "failover nodes",
                        "changes",
                        "largest share",
                    )
                ),
            )
        )
        print(rows[-1], flush=True)
    table = Table("site-fleet")
    table.rows(
        f"{SITES} sites, {SITES * NODES_PER_SITE:,} nodes, {node_count} of them plan, one site "
        "fails: the worst of the runs",
        (
            "views",
            "runs",
            "seconds to agree",
            "differing nodes before detection",
            "differing nodes after detection",
            "failover nodes",
            "set changes per node and second after detection",
            "largest share of a site's nodes",
        ),
        rows,
    )
    table.write()


if __name__ == "__main__":
    main()
