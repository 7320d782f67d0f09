"""Detection of partitions: most of a site's members lost within a short time.

A single loss is taken for a crash. A site without power cannot be distinguished from a partitioned
one.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from lilacwalk.membership.messages import Health
from lilacwalk.membership.view import MembershipView

MIN_LOSSES = 2  # a single loss in a site is taken for a crash
MIN_LOST_SHARE = 2 / 3  # lost members over present and lost members of the site
LOSS_WINDOW_INTERVALS = 12  # probe intervals within which all losses of one cause are detected


@dataclass(frozen=True, slots=True)
class MemberLoss:
    """The loss of a member of `site` that was declared dead at time `at`."""

    site: str
    at: int


@dataclass(frozen=True, slots=True)
class SitePartition:
    """A site that looks partitioned, with the number of its losses within the window."""

    site: str
    losses: int


def partitioned_sites(
    losses: Iterable[MemberLoss], present: Counter[str], interval: int
) -> list[SitePartition]:
    """Returns the sites that look partitioned.

    Args:
        losses: losses of the members that are dead now.
        present: number of present members, by site.
        interval: the probe interval, in the unit of the losses' times.
    """
    times_by_site: defaultdict[str, list[int]] = defaultdict(list)
    for loss in losses:
        times_by_site[loss.site].append(loss.at)
    window = LOSS_WINDOW_INTERVALS * interval
    partitions = []
    for site, times in times_by_site.items():
        in_window = max(sum(start <= at <= start + window for at in times) for start in times)
        members = len(times) + present[site]
        if in_window >= MIN_LOSSES and in_window >= MIN_LOST_SHARE * members:
            partitions.append(SitePartition(site, in_window))
    return partitions


def mark_partitioned_members(view: MembershipView, interval: int) -> list[SitePartition]:
    """Marks the lost members of partitioned sites; returns the newly partitioned sites."""
    lost_members = [
        (member, member.metadata.site)
        for member in view.with_health(Health.DEAD)
        if member.metadata is not None
    ]
    present = Counter(member.metadata.site for member in view.present if member.metadata)
    losses = [MemberLoss(site, member.health_since) for member, site in lost_members]
    partitions = {
        partition.site: partition for partition in partitioned_sites(losses, present, interval)
    }
    already_known = {site for member, site in lost_members if member.partitioned}
    new_sites: dict[str, SitePartition] = {}
    for member, site in lost_members:
        if site in partitions:
            member.partitioned = True
            if site not in already_known:
                new_sites[site] = partitions[site]
    return list(new_sites.values())
