"""Chooses the work to reject when there is not enough capacity for all.

Two resources are scarce: the cores of each site and, for all sites together, the calls that a
shared dependency can serve. Each share of work (a request class, from local clients or from those
of a failed site) has a value per core-second and makes calls per core-second. Given a price for a
call, each site admits the shares with the highest value less the price of their calls; if the price
is above zero, it admits none for which this difference is zero or less. The price is the lowest at
which the calls fit their limit; interpolating between the plans just above and just below this
price meets the limit exactly. By Lagrangian duality this is the optimum of the linear programme,
except for the minimum shares.

The rules of admission apply here too: work that has begun is never rejected (the plan is for future
requests); at equal value, work that can be retried (idempotent) is rejected before work that
cannot; failover traffic and local traffic have a minimum share each.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from lilacwalk.failover.config import SECOND, Class

# Added to a share's value, by the effect names of the operator's file; so small that it only
# decides between equal values.
RETRY_PREFERENCE = {"repeatable": 0.0, "deduplicated": 1e-6, "mutating": 2e-6}
PRICE_BISECTION_STEPS = 60  # enough to narrow the price's range below the precision of any input
EPSILON = 1e-9  # cores


@dataclass(frozen=True, slots=True)
class WorkShare:
    """Work of one request class at one site."""

    request_class: Class
    site: str  # site at which the work would run
    source: str  # the site whose clients it serves
    work: float  # cores
    value: float  # weight per core-second
    calls: float  # calls to the shared dependency per core-second

    @property
    def is_failover_traffic(self) -> bool:
        """Whether the traffic comes from clients of another site."""
        return self.site != self.source


@dataclass(frozen=True, slots=True)
class AdmissionPlan:
    """The admitted work, and the price of a call at which it was chosen."""

    admitted: list[WorkShare]  # each with the admitted part of its work
    price: float  # price of a call, in weight; 0 if calls are not scarce

    @property
    def calls(self) -> float:
        """Calls to the shared dependency, per second, made by the admitted work."""
        return sum(each.work * each.calls for each in self.admitted)

    @property
    def total_value(self) -> float:
        """Weight per second of the admitted work."""
        return sum(each.work * each.value for each in self.admitted)


def value_work(
    request_class: Class,
    site: str,
    source: str,
    work: float,
    path_cost: int,
    failover_weight: float = 1.0,
) -> WorkShare:
    """Returns the work of a class at a site, with the work's value.

    The value decreases by the part of the class's slack (latency objective less core time) that the
    path takes. Work that the path makes too late for its latency objective has no value.

    Args:
        request_class: the class in the operator's block.
        site: site at which the work would run.
        source: the site whose clients it serves.
        work: cores.
        path_cost: time that the path from the source adds, in tenths of a millisecond.
        failover_weight: weight of a failover request relative to the same local request.
    """
    seconds = request_class.work / SECOND
    is_failover_traffic = site != source
    value = request_class.benefit / seconds * (failover_weight if is_failover_traffic else 1.0)
    if request_class.slo is not None and is_failover_traffic:
        slack = request_class.slo - request_class.work
        value *= max(0.0, 1 - path_cost / slack) if slack > 0 else 0.0
    return WorkShare(request_class, site, source, work, value, request_class.calls / seconds)


def rank_by_value(shares: list[WorkShare], price: float) -> list[WorkShare]:
    """Returns the shares sorted by value less the price of their calls, the highest first."""

    def key(share: WorkShare) -> tuple[float, bool, str, str]:
        preference = RETRY_PREFERENCE[share.request_class.effect]
        value = share.value - price * share.calls + preference
        return -value, share.is_failover_traffic, share.request_class.name, share.source

    return sorted(shares, key=key)


def admit_at_site(
    shares: list[WorkShare], capacity: float, least_share: float, price: float
) -> list[WorkShare]:
    """Returns the work admitted at one site of `capacity` cores.

    `least_share` is the share of the capacity that is guaranteed to failover traffic, and the same
    share to local traffic.
    """
    ranked = rank_by_value(shares, price)
    admitted = [0.0] * len(ranked)
    remaining = capacity
    for is_failover_traffic in (False, True):
        offered = sum(
            each.work for each in shares if each.is_failover_traffic is is_failover_traffic
        )
        guaranteed = min(offered, least_share * capacity)
        for index, each in enumerate(ranked):
            if each.is_failover_traffic is is_failover_traffic and guaranteed > EPSILON:
                admitted[index] = min(each.work, guaranteed)
                guaranteed -= admitted[index]
                remaining -= admitted[index]
    for index, each in enumerate(ranked):
        if each.value > price * each.calls or not price:
            added = min(each.work - admitted[index], max(0.0, remaining))
            admitted[index] += added
            remaining -= added
    return [replace(each, work=work) for each, work in zip(ranked, admitted, strict=True)]


def choose_admitted(
    shares: list[WorkShare],
    capacities: dict[str, float],
    calls: float | None,
    least_share: float,
) -> AdmissionPlan:
    """Returns the most valuable work that fits the capacities and the call limit.

    Args:
        shares: all offered work.
        capacities: cores by site.
        calls: limit of calls to the shared dependency, per second over all sites; None: no limit.
        least_share: as for `admit_at_site`.
    """
    without_price = _admit_at_price(shares, capacities, least_share, 0.0)
    if calls is None or without_price.calls <= calls * (1 + EPSILON):
        return without_price
    highest_price = (
        max((each.value / each.calls for each in shares if each.calls), default=0.0) + 1.0
    )
    fitting = _admit_at_price(shares, capacities, least_share, highest_price)
    if fitting.calls > calls:  # the minimum shares alone exceed the call limit
        return _scale_work_with_calls(fitting, calls / fitting.calls)
    low, high, exceeding = 0.0, highest_price, without_price
    for _ in range(PRICE_BISECTION_STEPS):
        middle = (low + high) / 2
        plan = _admit_at_price(shares, capacities, least_share, middle)
        if plan.calls > calls:
            low, exceeding = middle, plan
        else:
            high, fitting = middle, plan
    part = (calls - fitting.calls) / (exceeding.calls - fitting.calls)
    return _interpolate(exceeding, fitting, part, high)


def _admit_at_price(
    shares: list[WorkShare], capacities: dict[str, float], least_share: float, price: float
) -> AdmissionPlan:
    admitted: list[WorkShare] = []
    for site in sorted(capacities):
        here = [each for each in shares if each.site == site]
        admitted += sorted(
            admit_at_site(here, capacities[site], least_share, price),
            key=lambda each: (each.request_class.name, each.source),
        )
    return AdmissionPlan(admitted, price)


def _scale_work_with_calls(plan: AdmissionPlan, factor: float) -> AdmissionPlan:
    """Returns the plan with all work that makes calls multiplied by `factor`."""
    scaled = [
        replace(each, work=each.work * (factor if each.calls else 1.0)) for each in plan.admitted
    ]
    return AdmissionPlan(scaled, plan.price)


def _interpolate(
    exceeding: AdmissionPlan, fitting: AdmissionPlan, part: float, price: float
) -> AdmissionPlan:
    """Returns a mix of two plans; since both fit the capacities, every mix of them does.

    `part` is the share of `exceeding` in the mix.
    """
    mixed = [
        replace(one, work=one.work * part + other.work * (1 - part))
        for one, other in zip(exceeding.admitted, fitting.admitted, strict=True)
    ]
    return AdmissionPlan(mixed, price)
