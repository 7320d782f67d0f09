"""Shedding on a node that takes failover traffic: by weight, and only the excess load."""

import random

import pytest
from msgspec import structs

from lilacwalk.failover.local_priority import (
    MIN_CAPACITY_SHARE,
    STEP_INTERVAL,
    LocalPriority,
    TrafficPlan,
    as_failover_class,
    plan_class,
)
from lilacwalk.overload.model import Effect, RequestClass
from tests.failover.conftest import SECOND, failover_config

REQUEST_CLASSES = [
    RequestClass("stock-check", 2.0, 2_000, 20_000),
    RequestClass("swap-confirm", 6.0, 4_000, 40_000, Effect.NON_IDEMPOTENT),
    RequestClass("eligibility", 1.0, 2_000, 20_000),
]
EXECUTION_TIME = 100  # tenths of a ms: a hundred requests a second on each core
RECIFE_FAILED = TrafficPlan(("recife",), (("recife", 4 * SECOND),))


class LoadedNode:
    """A node of nine busy cores at caruaru, which is offered a constant load."""

    def __init__(
        self, traffic_plan=RECIFE_FAILED, max_retry_after=2 * SECOND, seed=1, **config_values
    ):
        config = failover_config(**config_values)
        classes = {
            request_class.name: plan_class(request_class, config)
            for request_class in REQUEST_CLASSES
        }
        self.local_priority = LocalPriority(
            config, "caruaru", 9.0, classes, {"recife": 50}, max_retry_after, random.Random(seed), 0
        )
        self.local_priority.traffic_plan = traffic_plan
        self.now = 0
        self.admission_probability = None  # None: that of the controller's steady state
        self.admitted: dict[tuple[str, str], float] = {}
        self.retry_after_times: list[int] = []

    def core_time_and_completions(self):
        """Returns the number of busy cores and the completed requests of a step."""
        return 9.0, int(9.0 * SECOND / EXECUTION_TIME * STEP_INTERVAL / SECOND)

    def run(self, rates, steps=80, busy=True):
        """Offers requests at `rates`: requests a second by class and site.

        Returns the admitted requests a second, in the second half of the steps.
        """
        half, counts = steps // 2, dict.fromkeys(rates, 0)
        for step in range(steps):
            admitted = 0
            for (request_class, source), rate in rates.items():
                for _ in range(int(rate * STEP_INTERVAL / SECOND)):
                    rejection = self.local_priority.reject_if_overloaded(
                        request_class, source, busy
                    )
                    if rejection is not None:
                        self.retry_after_times.append(rejection.retry_after)
                        continue
                    admitted += 1
                    if step >= half:
                        counts[request_class, source] += 1
            self.now += STEP_INTERVAL
            admission_probability = self.admission_probability or min(
                1.0, 9.0 * STEP_INTERVAL / EXECUTION_TIME / max(1, admitted)
            )
            self.local_priority.step(
                self.now,
                admission_probability,
                dict.fromkeys(rates, EXECUTION_TIME),
                EXECUTION_TIME,
                *self.core_time_and_completions(),
            )
        self.admitted = {
            key: count * SECOND / STEP_INTERVAL / (steps - half) for key, count in counts.items()
        }
        return self.admitted


def offered_rates(local, failover):
    return {
        (request_class.name, site): rate * share
        for site, rate in (("caruaru", local), ("recife", failover))
        for request_class, share in zip(REQUEST_CLASSES, (0.35, 0.25, 0.4), strict=True)
    }


def test_load_within_capacity_is_admitted_in_full():
    rates = offered_rates(500, 300)
    assert LoadedNode().run(rates) == pytest.approx(rates, rel=0.02)


def test_the_lowest_weight_failover_class_is_shed_first_and_local_traffic_is_not_shed():
    # The load needs ten cores, 1.2 of them for `eligibility` requests from the failed site; the
    # node has nine.
    rates = offered_rates(700, 300)
    admitted = LoadedNode().run(rates)
    for (request_class, site), rate in rates.items():
        if (request_class, site) != ("eligibility", "recife"):
            assert admitted[request_class, site] == pytest.approx(rate, rel=0.02)
    assert admitted["eligibility", "recife"] < 0.6 * rates["eligibility", "recife"]
    assert sum(admitted.values()) == pytest.approx(920, rel=0.04)


def test_weight_takes_precedence_over_the_site_of_the_client():
    admitted = LoadedNode().run(offered_rates(900, 500))
    assert admitted["swap-confirm", "recife"] == pytest.approx(125, rel=0.05)
    assert admitted["eligibility", "caruaru"] < 0.9 * 360


def test_with_a_lower_failover_weight_only_failover_traffic_is_shed():
    node, rates = LoadedNode(), offered_rates(700, 400)
    node.local_priority.config = structs.replace(node.local_priority.config, guest_worth=0.1)
    admitted = node.run(rates)
    for request_class in REQUEST_CLASSES:
        assert admitted[request_class.name, "caruaru"] == pytest.approx(
            rates[request_class.name, "caruaru"], rel=0.02
        )
    assert sum(rate for (_, site), rate in admitted.items() if site == "recife") == pytest.approx(
        225, rel=0.15
    )


def test_failover_and_local_traffic_keep_their_minimum_share_at_any_weight():
    rates = {("swap-confirm", "caruaru"): 1_500.0, ("eligibility", "recife"): 500.0}
    admitted = LoadedNode().run(rates)
    assert admitted["eligibility", "recife"] == pytest.approx(0.2 * 900, rel=0.06)
    admitted = LoadedNode().run(
        {("eligibility", "caruaru"): 500.0, ("swap-confirm", "recife"): 1_500.0}
    )
    assert admitted["eligibility", "caruaru"] == pytest.approx(0.2 * 900, rel=0.06)


def test_nothing_is_rejected_without_a_failed_site_under_any_load():
    rates = {("eligibility", "caruaru"): 3_000.0}
    node = LoadedNode(TrafficPlan())
    node.admission_probability = 0.3  # plain overload is left to the controller
    node.run(rates, 12)
    assert node.run(rates) == rates
    assert not node.local_priority.active
    assert not node.retry_after_times


def test_shedding_ends_when_the_failover_traffic_has_ended():
    node = LoadedNode()
    node.run(offered_rates(700, 400))
    assert node.local_priority.active
    assert node.retry_after_times
    node.local_priority.traffic_plan = TrafficPlan()
    node.run(offered_rates(1_500, 0), 30)
    node.run(offered_rates(1_500, 0))
    assert not node.local_priority.active
    assert node.admitted["eligibility", "caruaru"] == 600.0


def test_a_low_admission_probability_lowers_the_capacity_share_until_it_rises_again():
    node, rates = LoadedNode(), offered_rates(700, 300)
    node.admission_probability = 0.5
    node.run(rates, 40)
    assert node.local_priority.capacity_share == MIN_CAPACITY_SHARE
    assert sum(node.admitted.values()) < 800
    node.admission_probability = 1.0
    node.run(rates, 120)
    assert node.run(rates) == pytest.approx(rates, rel=0.02)  # only the controller may reject


def test_waiting_for_a_core_does_not_count_as_work(monkeypatch):
    """Measured execution times include the wait for a core: here they are 3 times the core time."""
    node, rates = LoadedNode(), offered_rates(500, 300)
    monkeypatch.setattr("tests.failover.test_local_priority.EXECUTION_TIME", 300)
    # With 8 busy cores and 400 completions in a step, a request takes 0.01 s of core time.
    node.core_time_and_completions = lambda: (8.0, 400)
    node.run(rates)
    assert node.local_priority.offered_load == pytest.approx(8.0, rel=0.02)


def test_a_dependency_limit_rejects_only_the_classes_that_make_calls():
    rates = offered_rates(300, 300)
    # Only swap-confirm makes calls: 150 a second.
    traffic_plan = TrafficPlan(("recife",), RECIFE_FAILED.recovery_times, 75.0)
    admitted = LoadedNode(traffic_plan).run(rates, 40)
    assert admitted["swap-confirm", "caruaru"] + admitted[
        "swap-confirm", "recife"
    ] == pytest.approx(75, rel=0.1)
    for key in rates:
        if key[0] != "swap-confirm":
            assert admitted[key] == pytest.approx(rates[key], rel=0.02)


def test_retry_after_is_random_and_at_most_the_recovery_time_and_the_configured_maximum():
    node = LoadedNode()
    node.run(offered_rates(900, 900))
    assert min(node.retry_after_times) >= SECOND
    assert max(node.retry_after_times) <= 2 * SECOND
    assert len(set(node.retry_after_times)) > 1_000
    short_recovery_node = LoadedNode(TrafficPlan(("recife",), (("recife", SECOND),)))
    short_recovery_node.run(offered_rates(900, 900))
    assert max(short_recovery_node.retry_after_times) <= SECOND
    node_without_retry_after = LoadedNode(max_retry_after=0)
    node_without_retry_after.run(offered_rates(900, 900))
    assert set(node_without_retry_after.retry_after_times) == {0}


def test_with_an_idle_core_only_classes_with_scarce_calls_are_rejected():
    rates = offered_rates(700, 600)
    assert LoadedNode().run(rates, busy=False) == pytest.approx(rates, rel=0.02)
    limited_node = LoadedNode(TrafficPlan(("recife",), RECIFE_FAILED.recovery_times, 75.0))
    assert (
        limited_node.run(rates, 40, busy=False)["swap-confirm", "recife"]
        < 0.9 * rates["swap-confirm", "recife"]
    )


def test_a_failover_class_ranks_behind_its_local_class_and_keeps_its_effect():
    failover_class = as_failover_class(REQUEST_CLASSES[1], 400)
    assert failover_class.latency_objective == 3_600
    assert failover_class.weight == pytest.approx(5.4)
    assert failover_class.effect is Effect.NON_IDEMPOTENT
    assert failover_class.timeout == REQUEST_CLASSES[1].timeout
    # The path takes longer than the objective.
    assert as_failover_class(REQUEST_CLASSES[0], 5_000).latency_objective == 1


def test_requests_of_an_unknown_class_are_admitted_and_not_counted():
    node = LoadedNode()
    assert node.local_priority.reject_if_overloaded("no-such", "recife", True) is None
    assert not node.local_priority.flows
