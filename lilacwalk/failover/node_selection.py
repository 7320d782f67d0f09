"""Selects the nodes that take a failed site's load: as many as the work needs, by rank.

All nodes compute the same ranks.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from hashlib import blake2b

from lilacwalk.failover.capacity import SiteCapacity
from lilacwalk.failover.detector import REACHABLE, MemberStatus
from lilacwalk.membership.messages import Health, NodeState

NODE_LOAD_MARGIN = 1.1  # maximum utilisation of a node, relative to the mean of its site
MIN_ADMISSION_PROBABILITY = 0.05  # lower values count as this one, which bounds the response ratio
EPSILON = 1e-9  # tolerance for rounding errors


@dataclass(frozen=True, slots=True)
class NodeView:
    """The properties of a member that the failover plan uses."""

    name: str
    status: MemberStatus
    admission_probability: float = 1.0  # below 1 if its response time exceeds the objective
    # metadata entries of the member, as `FailoverPlanner.stages_to_report` returns them: name of an
    # unhealthy site and the share of its load that the site is to serve
    reported_stages: tuple[str, ...] = ()
    has_durable_storage: bool = True  # members without it are the last to take a failed site's load


def reported_share(site: str, stages: tuple[str, ...]) -> float:
    """Returns the share of its load that a site is to serve, from a member's metadata entries.

    The share is 1 if the member does not report the site.
    """
    for entry in stages:
        name, _, share = entry.rpartition(" ")
        if name == site and share.isdecimal():
            return min(1.0, int(share) / 1_000)
    return 1.0


def response_ratio(site: str, nodes: list[NodeView]) -> float:
    """Estimates a site's response time over its objective; 0 if no member of the site is ready.

    The ratio is derived from the members' admission probabilities, which their controllers lower in
    proportion as the response time exceeds the objective.
    """
    admitted = [
        node.admission_probability
        for node in nodes
        if node.status.site == site
        and node.status.health is Health.ALIVE
        and node.status.state is NodeState.READY
    ]
    if not admitted:
        return 0.0
    return 1 / max(MIN_ADMISSION_PROBABILITY, sum(admitted) / len(admitted))


def rendezvous_rank(site: str, node: str) -> bytes:
    """Returns the rank of a node for a site: equal on all nodes, and independent between sites."""
    return blake2b(f"{site} {node}".encode(), digest_size=8).digest()


def select_failover_nodes(
    failed_site: str, target: str, work: float, nodes: list[NodeView], capacity: SiteCapacity
) -> list[str]:
    """Returns the names of the nodes of `target` that take `work` (in cores), in order of rank."""
    # Suspected nodes count: in a large fleet some nodes are suspected at any time, and most of
    # them prove to be alive.
    ready = sorted(
        (
            node
            for node in nodes
            if node.status.site == target
            and node.status.health in REACHABLE
            and node.status.state is NodeState.READY
        ),
        key=lambda node: (
            not node.has_durable_storage,
            rendezvous_rank(failed_site, node.name),
        ),
    )
    if not ready or work <= 0:
        return []
    # A node keeps its share of its site's load, and takes failover load until it is slightly above
    # the site's mean utilisation. A node filled to capacity would reject half of that load.
    mean_utilisation = (capacity.load + work) / capacity.cores if capacity.cores else 1.0
    target_load = min(1.0, NODE_LOAD_MARGIN * mean_utilisation) * capacity.cores
    per_node = max(EPSILON, (target_load - capacity.load) / len(ready))
    needed = max(1, math.ceil(work / per_node - EPSILON))
    return [node.name for node in ready[:needed]]
