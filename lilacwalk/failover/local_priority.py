"""Sheds load on a node that carries more than its own site's load.

The controller already ranks requests: it has a weight for each failover class
(`as_failover_class`), does not queue requests that would be late, and dispatches the most valuable
first. Its admission probability, however, rejects requests of all classes alike. While a node takes
a failed site's load, more is known: the site and the weight of each request, and that the overload
will last. Requests that the admission probability would reject are therefore rejected here, before
they reach the controller, in the order of `shedding`: lowest weight for its work first, failover
traffic before local traffic at equal weight, neither below its minimum share. The rejected shares
grow until the controller admits all requests that are passed on; to the controller it is as if the
rejected requests had been sent elsewhere.

Requests are rejected only while the cores are busy, since rejecting a request while a core is idle
frees no capacity for another. Without failover traffic and without a failed site, nothing is
rejected here.

Where calls to a shared dependency are scarce, requests that make such calls are rejected by the
plan's price for a call, whatever the admission probability, which does not depend on these calls.

Failover traffic is distinguished from local traffic by the listener that accepts it. Where the
operator's file names no such listener, all traffic counts as local and only the order by weight
applies.
"""

from __future__ import annotations

import math
import random
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from msgspec import structs

from lilacwalk.failover.config import SECOND, Class, FailoverConfig
from lilacwalk.failover.shedding import WorkShare, choose_admitted, value_work
from lilacwalk.overload.model import RequestClass
from lilacwalk.settings import EFFECT_NAMES

STEP_INTERVAL = SECOND // 2  # equal to the controller's tick interval
RATE_SMOOTHING = 0.4  # weight of one step in the mean request rate of a flow
# consecutive steps without failover traffic and without a failed site, after which shedding stops
IDLE_STEPS_BEFORE_STOP = 10
MIN_FAILOVER_RATE = 0.05  # requests per second from another site; fewer do not start shedding
FULL_ADMISSION = 0.97  # admission probability from which all requests count as admitted
# decrease of the capacity share per step, relative to how far the admission probability is below
# FULL_ADMISSION
CAPACITY_DECREASE = 0.1
CAPACITY_INCREASE = 0.01  # increase of the capacity share per step
# lower limit of the capacity share; the controller handles larger errors of the estimated costs
MIN_CAPACITY_SHARE = 0.85
# weight of one step in the means that the cost of a request is estimated from; costs change as
# caches fill, not with bursts
COST_SMOOTHING = 0.1
# completions per second, below which the expected execution time is used as the cost of a request
MIN_COMPLETION_RATE = 2.0
RETRY_AFTER_JITTER = 0.5  # fraction of the longest retry-after time over which times are drawn
MIN_RETRY_AFTER = SECOND // 10
FULL_SHARE_EPSILON = 1e-6  # an admitted share this close to 1 counts as 1


@dataclass(frozen=True, slots=True)
class TrafficPlan:
    """The part of the node plan that the local priorities use.

    Two instances compare equal if nothing has changed between them.
    """

    failover_sites: tuple[str, ...] = ()  # failed sites whose load this node takes
    # by failed site: tenths of a ms until the site is expected to take more of its own load
    recovery_times: tuple[tuple[str, int], ...] = ()
    # calls per second to shared dependencies that this node may make; None: no limit
    call_limit: float | None = None


@dataclass(frozen=True, slots=True)
class LocalRejection:
    """The rejection of a request before it reaches the controller."""

    retry_after: int  # tenths of a millisecond; 0: the response must not carry a time


@dataclass(slots=True)
class TrafficFlow:
    """The requests of one class from the clients of one site."""

    arrivals: int = 0  # requests since the last step
    rate: float = 0.0  # mean requests per second
    rejected_share: float = 0.0  # share of the requests to reject
    rejected_count: int = 0  # requests rejected so far


def plan_class(request_class: RequestClass, config: FailoverConfig) -> Class:
    """Returns the operator file's class with this name, or one made from `request_class`."""
    for each in config.class_:
        if each.name == request_class.name:
            return each
    return Class(
        name=request_class.name,
        benefit=request_class.weight,
        share=0.0,
        calls=float(request_class.calls_dependency),
        slo=request_class.latency_objective,
        effect=EFFECT_NAMES[request_class.effect],
    )


def as_failover_class(
    request_class: RequestClass, path_cost: int, failover_weight: float = 1.0
) -> RequestClass:
    """Returns the class that the controller uses for failover traffic.

    The path cost is subtracted from the latency objective. The weight is reduced by the same
    proportion and multiplied by the operator's weight for failover traffic, so that the controller
    ranks local traffic higher. `path_cost` is in tenths of a millisecond.
    """
    objective = max(1, request_class.latency_objective - path_cost)
    weight = request_class.weight * failover_weight * objective / request_class.latency_objective
    return replace(request_class, latency_objective=objective, weight=weight)


@dataclass(slots=True)
class LocalPriority:
    """Tracks request flows and decides the share of each to reject. Owned by the event loop."""

    config: FailoverConfig
    site: str  # this node's site
    cores: float  # this node's cores
    classes: Mapping[str, Class]
    path_costs: Mapping[str, int]  # by site, tenths of a ms that the path from it adds
    max_retry_after: int  # tenths of a ms; 0: rejections must not carry a time
    rng: random.Random
    next_step_at: int
    traffic_plan: TrafficPlan = field(default_factory=TrafficPlan)
    flows: dict[tuple[str, str], TrafficFlow] = field(default_factory=dict)  # by class and site
    # maximum load passed on to the controller, as a share of the cores; inf: unlimited
    capacity_share: float = math.inf
    # consecutive steps without failover traffic and without a failed site
    idle_steps: int = IDLE_STEPS_BEFORE_STOP
    busy_cores: float = 0.0  # mean number of busy cores
    completion_rate: float = 0.0  # mean completions per second
    active: bool = False  # whether requests may be rejected here
    calls_are_scarce: bool = False
    offered_load: float = 0.0  # in cores; load of all arriving requests
    admitted_load: float = 0.0  # in cores; load that may be passed on to the controller

    def reject_if_overloaded(
        self, class_name: str, source: str, is_busy: bool
    ) -> LocalRejection | None:
        """Counts a request; returns its rejection, or None to pass it on to the controller.

        Args:
            class_name: name of its request class; requests of unknown classes are passed on.
            source: the site of the client; this node's own site for local traffic.
            is_busy: whether no core is free.
        """
        flow = self.flows.get((class_name, source))
        if flow is None:
            if class_name not in self.classes:
                return None
            flow = self.flows[class_name, source] = TrafficFlow()
        flow.arrivals += 1
        if not self.active or not (is_busy or self.calls_are_scarce):
            return None
        if self.rng.random() >= flow.rejected_share:
            return None
        flow.rejected_count += 1
        return LocalRejection(self.draw_retry_after(source))

    def draw_retry_after(self, source: str) -> int:
        """Returns a random retry-after time in tenths of a ms; 0: the response must carry none.

        The longest time lasts until capacity is expected, within the limits. Capacity is expected
        when the client's site takes its load again, or if that site has not failed, when the first
        of the failed sites takes its load again.
        """
        times = dict(self.traffic_plan.recovery_times)
        expected = times.get(source, min(times.values(), default=SECOND))
        longest = min(self.max_retry_after, max(MIN_RETRY_AFTER, expected))
        if not self.max_retry_after:
            return 0
        return int(longest * (1 - RETRY_AFTER_JITTER * self.rng.random()))

    def step(
        self,
        now: int,
        admission_probability: float,
        execution_times: Mapping[tuple[str, str], int],
        mean_execution_time: float,
        busy_cores: float,
        completed: int,
    ) -> None:
        """Updates the rejected shares from the last step; to be called from `next_step_at` on.

        Args:
            now: the current time in tenths of a millisecond.
            admission_probability: the controller's current value.
            execution_times: expected execution times in tenths of a millisecond, by class and site.
                Only their ratio to the mean is used: under load they include the wait for a core,
                which is not work.
            mean_execution_time: the expected execution time over all classes, in the same unit.
            busy_cores: mean number of busy cores since the last step.
            completed: requests completed since the last step.
        """
        elapsed = now - self.next_step_at + STEP_INTERVAL
        self.next_step_at = now + STEP_INTERVAL
        self.busy_cores += COST_SMOOTHING * (busy_cores - self.busy_cores)
        self.completion_rate += COST_SMOOTHING * (
            completed * SECOND / elapsed - self.completion_rate
        )
        for flow in self.flows.values():
            flow.rate += RATE_SMOOTHING * (flow.arrivals * SECOND / elapsed - flow.rate)
            flow.arrivals = 0
        was_active = self.active
        self._update_active()
        if self.active:
            self._update_rejected_shares(
                admission_probability, execution_times, mean_execution_time
            )
        elif was_active:
            self._stop_rejecting()

    def describe(self) -> dict:
        """Returns the state that the admin socket shows."""
        return {
            "active": self.active,
            "wanted": round(self.offered_load, 2),
            "room": round(self.admitted_load, 2),
            "calls": self.traffic_plan.call_limit,
            "flows": [
                {
                    "group": class_name,
                    "from": source,
                    "rate": round(flow.rate, 1),
                    "refused": round(flow.rejected_share, 3),
                    "turned": flow.rejected_count,
                }
                for (class_name, source), flow in sorted(self.flows.items())
            ],
        }

    def _update_active(self) -> None:
        has_failover_traffic = any(
            flow.rate > MIN_FAILOVER_RATE
            for (_, source), flow in self.flows.items()
            if source != self.site
        )
        is_needed = has_failover_traffic or bool(self.traffic_plan.failover_sites)
        self.idle_steps = 0 if is_needed else self.idle_steps + 1
        self.active = self.idle_steps < IDLE_STEPS_BEFORE_STOP

    def _stop_rejecting(self) -> None:
        self.capacity_share = math.inf
        for flow in self.flows.values():
            flow.rejected_share = 0.0

    def _request_cost(
        self,
        flow_key: tuple[str, str],
        execution_times: Mapping[tuple[str, str], int],
        mean_execution_time: float,
    ) -> int:
        """Returns the core time of one request of a flow, in tenths of a millisecond."""
        execution_time = execution_times.get(flow_key, 0) or mean_execution_time
        if self.completion_rate < MIN_COMPLETION_RATE or not mean_execution_time:
            return max(1, int(execution_time) or self.classes[flow_key[0]].work)
        mean_cost = self.busy_cores / self.completion_rate * SECOND
        return max(1, int(mean_cost * execution_time / mean_execution_time))

    def _offered_shares(
        self, execution_times: Mapping[tuple[str, str], int], mean_execution_time: float
    ) -> list[WorkShare]:
        shares = []
        for (class_name, source), flow in sorted(self.flows.items()):
            cost = self._request_cost((class_name, source), execution_times, mean_execution_time)
            shares.append(
                value_work(
                    structs.replace(self.classes[class_name], work=cost),
                    self.site,
                    source,
                    flow.rate * cost / SECOND,
                    self.path_costs.get(source, 0),
                    self.config.guest_worth,
                )
            )
        return shares

    def _update_capacity_share(self, admission_probability: float) -> None:
        full_share = max(1.0, self.offered_load / self.cores)  # share that the offered load needs
        if admission_probability < FULL_ADMISSION:
            decrease = CAPACITY_DECREASE * (FULL_ADMISSION - admission_probability)
            reduced = min(full_share, self.capacity_share) - decrease
            self.capacity_share = max(MIN_CAPACITY_SHARE, reduced)
        else:
            self.capacity_share = min(full_share, self.capacity_share + CAPACITY_INCREASE)

    def _update_rejected_shares(
        self,
        admission_probability: float,
        execution_times: Mapping[tuple[str, str], int],
        mean_execution_time: float,
    ) -> None:
        """Sets the share of each flow to reject so that the admitted load fits the capacity.

        Flows with the lowest value, less the price of their calls, are rejected first.
        """
        offered = self._offered_shares(execution_times, mean_execution_time)
        self.offered_load = sum(each.work for each in offered)
        self._update_capacity_share(admission_probability)
        self.admitted_load = self.cores * self.capacity_share
        plan = choose_admitted(
            offered,
            {self.site: self.admitted_load},
            self.traffic_plan.call_limit,
            self.config.least_share,
        )
        self.calls_are_scarce = plan.price > 0
        admitted = {(each.request_class.name, each.source): each.work for each in plan.admitted}
        for each in offered:
            flow_key = (each.request_class.name, each.source)
            share = admitted.get(flow_key, 0.0) / each.work if each.work > 0 else 1.0
            is_fully_admitted = share > 1 - FULL_SHARE_EPSILON
            self.flows[flow_key].rejected_share = 0.0 if is_fully_admitted else 1 - share
