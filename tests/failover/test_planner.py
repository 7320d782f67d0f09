"""The failover plan: placement, rejections, the binding constraint and additional cores."""

import pytest

from lilacwalk.failover.planner import configured_capacities, plan_failover
from lilacwalk.failover.sizing import add_cores, additional_cores_needed
from tests.failover.conftest import failover_config


def plan_for(failed_sites, **settings):
    config = failover_config(**settings)
    return plan_failover(
        config, configured_capacities(config), dict.fromkeys(failed_sites.split(), 1.0)
    )


def test_more_load_is_placed_on_nearer_sites_and_none_beyond_their_capacity():
    plan = plan_for("recife")
    shares = plan.shares()
    assert sum(shares.values()) == pytest.approx(1.0)
    assert shares["caruaru"] > shares["natal"] > 0.4
    assert max(plan.utilisation.values()) <= 0.9 + 1e-9
    assert plan.is_sufficient
    assert set(plan.rejected_by_class.values()) == {0.0}


def test_load_beyond_capacity_is_rejected_from_the_lowest_weight_class_only():
    plan = plan_for("recife", load=24)
    assert not plan.is_sufficient
    assert (
        plan.rejected_by_class["eligibility"]
        > 0
        == plan.rejected_by_class["stock-check"]
        == plan.rejected_by_class["swap-confirm"]
    )
    offered, capacity = 24 + 14 + 14, 2 * 24 * 0.9
    assert plan.rejected_by_class["eligibility"] * 0.4 * offered == pytest.approx(
        offered - capacity
    )
    assert plan.binding_constraint.startswith("cores of")


def test_additional_cores_is_the_smallest_number_that_suffices():
    config = failover_config(load=24)
    capacities = configured_capacities(config)
    additional = additional_cores_needed(config, capacities, {"recife": 1.0})
    assert additional
    assert plan_failover(
        config, add_cores(config, capacities, {"recife": 1.0}, additional), {"recife": 1.0}
    ).is_sufficient
    assert not plan_failover(
        config, add_cores(config, capacities, {"recife": 1.0}, additional - 1), {"recife": 1.0}
    ).is_sufficient
    assert additional * 0.9 >= 24 - 2 * (24 * 0.9 - 14) > (additional - 1) * 0.9 - 0.9


def test_if_calls_to_a_shared_dependency_are_scarce_more_cores_do_not_help_and_its_limit_is_met():
    config = failover_config(index=500)
    plan = plan_failover(config, configured_capacities(config), {"recife": 1.0})
    assert plan.binding_constraint == "calls to index"
    assert additional_cores_needed(config, configured_capacities(config), {"recife": 1.0}) is None
    assert plan.calls["index"][0] <= 500 * 1.000001
    assert plan.rejected_by_class["swap-confirm"] > 0.5
    assert plan.rejected_by_class["eligibility"] == 0.0  # there are enough cores


def test_a_half_failed_site_moves_only_what_its_remaining_half_cannot_carry():
    config = failover_config()
    plan = plan_failover(config, configured_capacities(config), {"recife": 0.5})
    assert sum(plan.placement.placed.values()) == pytest.approx(14 - 24 * 0.5 * 0.9)
    assert plan.is_sufficient


def test_the_last_site_takes_load_of_two_failed_sites_and_without_any_site_all_load_is_rejected():
    plan = plan_for("recife natal")
    assert not plan.is_sufficient
    assert set(plan.shares()) == {"caruaru"}
    assert plan.utilisation["caruaru"] == pytest.approx(0.9)
    assert plan.rejected_by_class["swap-confirm"] < plan.rejected_by_class["stock-check"] <= 1.0
    total_failure = plan_for("recife natal caruaru")
    assert total_failure.rejected_by_class == {
        name: 1.0 for name in total_failure.rejected_by_class
    }
    assert total_failure.weight_share == 0
