"""The operator's `sites` block as frozen records, validated by `operator/` when the file is read.

The field names are keywords of the operator's file. The gossiped plan fingerprint
(`plan_agreement`) is a digest of the text form of these records, so the names of classes and fields
must not change. Times are in tenths of a millisecond, loads and capacities in cores.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Annotated, ClassVar

from msgspec import Meta, Struct

from lilacwalk.membership.config import NAME

SECOND = 10_000  # tenths of a millisecond


def unit(name: str, **limits: float) -> Meta:
    """Returns metadata for a field whose value is read as `name`, such as a duration."""
    return Meta(extra={"unit": name}, **limits)


Name = Annotated[str, Meta(pattern=NAME)]
Cores = Annotated[float, Meta(ge=0.0, le=1_000_000.0)]
Share = Annotated[float, Meta(ge=0.0, le=1.0)]


class StandIn(Struct, frozen=True, kw_only=True):
    """A failover target of a site."""

    ARGUMENTS: ClassVar = ("site", "cost")
    site: Name
    # round-trip time that the path to the target adds
    cost: Annotated[int, unit("duration", ge=0, le=10 * SECOND)]


class Site(Struct, frozen=True, kw_only=True):
    """A site with its capacity, its load and its failover targets."""

    ARGUMENTS: ClassVar = ("name",)
    name: Name
    cores: Cores
    load: Cores
    stand_in: tuple[StandIn, ...] = ()
    # addresses that its failover targets may announce
    service: Annotated[tuple[object, ...], unit("prefix")] = ()
    # where nodes of other sites accept this site's requests; None: on the listener of local traffic
    guests: Annotated[tuple[str, int], unit("endpoint")] | None = None

    def faults(self) -> list[tuple[str, str]]:
        """Returns errors that involve several fields, as pairs of keyword and expected value."""
        found = _repeated("stand-in", (each.site for each in self.stand_in))
        if any(each.site == self.name for each in self.stand_in):
            found.append(("stand-in", f"a site other than {self.name} itself"))
        return found


class Shared(Struct, frozen=True, kw_only=True):
    """A dependency that all sites share."""

    ARGUMENTS: ClassVar = ("name", "limit")
    name: Name
    limit: Annotated[float, Meta(gt=0.0)]  # calls per second that it can serve


class Class(Struct, frozen=True, kw_only=True):
    """The properties of a request class that the plan uses."""

    ARGUMENTS: ClassVar = ("name",)
    name: Name
    benefit: Annotated[float, Meta(ge=0.0)] = 1.0  # weight of one request
    share: Share  # share of the total work that this class makes up
    # calls that one request makes to each shared dependency
    calls: Annotated[float, Meta(ge=0.0, le=1_000.0)] = 0.0
    # core time of one request
    work: Annotated[int, unit("duration", ge=1, le=600 * SECOND)] = SECOND // 100
    # latency objective
    slo: Annotated[int, unit("duration", ge=1, le=600 * SECOND)] | None = None
    effect: Annotated[str, Meta(pattern="^(repeatable|deduplicated|mutating)$")] = "repeatable"


class Pace(Struct, frozen=True, kw_only=True):
    """Times of a site's recovery. By default each stage lasts for several evaluations."""

    # how long a site must be reachable before it is probed; also the first exclusion time
    steady: Annotated[int, unit("duration", ge=SECOND // 10, le=3600 * SECOND)] = 2 * SECOND
    # minimum time between two increases of a site's share
    step: Annotated[int, unit("duration", ge=SECOND // 10, le=600 * SECOND)] = 5 * SECOND
    # maximum exclusion time of a site that fails repeatedly
    longest: Annotated[int, unit("duration", ge=SECOND, le=24 * 3600 * SECOND)] = 300 * SECOND


class FailoverConfig(Struct, frozen=True, kw_only=True):
    """The whole `sites` block."""

    site: tuple[Site, ...]
    # revision of this block: if the blocks of two members differ, the lower revision is outdated
    revision: Annotated[int, Meta(ge=0, le=1 << 31)] = 0
    shared: tuple[Shared, ...] = ()
    class_: Annotated[tuple[Class, ...], Meta(extra={"keyword": "class"})] = ()
    # failures that the fleet must survive: `any-one`, `any-two` or names of sites
    bear: Annotated[tuple[str, ...], unit("words")] = ("any-one",)
    headroom: Annotated[float, Meta(ge=0.0, lt=1.0)] = 0.1  # share of each site's cores kept unused
    # share of a site's capacity guaranteed to failover traffic, and the same share to local traffic
    least_share: Annotated[float, Meta(ge=0.0, le=0.5)] = 0.2
    # weight of a failover request relative to the same local request; 1 maximises the total weight
    guest_worth: Annotated[float, Meta(gt=0.0, le=1.0)] = 1.0
    pace: Pace = Pace()

    @property
    def classes(self) -> tuple[Class, ...]:
        """The request classes; a single class for all work if the file names none."""
        return self.class_ or (Class(name="all", share=1.0),)

    def faults(self) -> list[tuple[str, str]]:
        """Returns errors that involve several fields, as pairs of keyword and expected value."""
        known = {each.name for each in self.site}
        found = [
            *_repeated("site", (each.name for each in self.site)),
            *_repeated("shared", (each.name for each in self.shared)),
            *_repeated("class", (each.name for each in self.class_)),
        ]
        found += [
            ("site", f"a block for site {each.site}, which is a stand-in of {site.name}")
            for site in self.site
            for each in site.stand_in
            if each.site not in known
        ]
        found += [
            ("bear", f"any-one, any-two or names of sites in this block, not {word}")
            for word in self.bear
            if word not in known | {"any-one", "any-two"}
        ]
        total = sum(each.share for each in self.class_)
        if self.class_ and not 0.999 <= total <= 1.001:
            found.append(("class", f"shares of the work that add up to 1, not {total:g}"))
        return found


def _repeated(keyword: str, names: Iterable[str]) -> list[tuple[str, str]]:
    """Returns an error for each name that occurs more than once."""
    return [
        (keyword, f"{name} only once, not {times} times")
        for name, times in Counter(names).items()
        if times > 1
    ]
