"""The plan of one node: the failover nodes and the share of load that its own site serves."""

from itertools import pairwise

import pytest

from lilacwalk.failover.node_plan import FailoverPlanner
from lilacwalk.failover.node_selection import NodeView
from lilacwalk.membership.messages import Health
from lilacwalk.operator.loader import parse_operator_file
from tests.failover.conftest import SECOND, failover_config, node_view, node_views


def planners_of_all_nodes():
    return {
        view.name: FailoverPlanner(failover_config(), view.name, view.status.site, 0)
        for view in node_views()
    }


def evaluate_all(planners, views, now, conclusion="whole"):
    return {name: each.evaluate(views, conclusion, now) for name, each in planners.items()}


def test_all_nodes_choose_the_same_failover_nodes_and_no_more_than_needed():
    planners = planners_of_all_nodes()
    evaluate_all(planners, node_views(), 0)
    node_plans = evaluate_all(planners, node_views(["recife"]), 2_000)
    chosen = {tuple(each.failover_nodes["recife"]) for each in node_plans.values()}
    assert len(chosen) == 1
    (target_nodes,) = chosen
    assert {name[0] for name in target_nodes} == {"c", "n"}
    taking_over = {name for name, each in node_plans.items() if each.failover_sites == ("recife",)}
    assert taking_over == set(target_nodes)


@pytest.mark.parametrize(("load", "evaluations"), [(0.0, 1), (0.05, 1), (0.05, 5), (0.05, 400)])
def test_a_site_that_fails_while_idle_or_before_its_load_is_known_gets_failover_nodes(
    load, evaluations
):
    """The first metadata after a start reports no load, and an idle site has clients too."""
    planner = FailoverPlanner(failover_config(cores=2, load=0.4), "c0", "caruaru", 0)
    idle = [
        node_view(f"{site[0]}{index}", site, utilisation=load, cores=1)
        for site in ("recife", "caruaru", "natal")
        for index in range(2)
    ]
    for index in range(evaluations):
        planner.evaluate(idle, "whole", 2_000 * index)
    after_failure = [
        node_view(view.name, "recife", Health.DEAD) if view.status.site == "recife" else view
        for view in idle
    ]
    assert planner.evaluate(after_failure, "whole", 2_000 * evaluations).failover_nodes["recife"]


def test_a_node_without_a_quorum_takes_no_failover_traffic():
    planners = planners_of_all_nodes()
    evaluate_all(planners, node_views(), 0)
    for conclusion in ("minority", "alone", "unsure"):
        node_plans = evaluate_all(planners, node_views(["recife", "caruaru"]), 2_000, conclusion)
        assert all(each.failover_sites == () and each.plan is None for each in node_plans.values())


def test_failover_nodes_are_released_by_rank_as_the_site_recovers():
    planners = planners_of_all_nodes()
    evaluate_all(planners, node_views(), 0)
    now, counts = 0, []
    for index in range(400):
        now += 2_000
        node_plans = evaluate_all(planners, node_views(["recife"] if index < 10 else []), now)
        counts.append(len(node_plans["c0"].failover_nodes.get("recife", [])))
    peak = max(counts)
    counts_from_peak = counts[counts.index(peak) :]
    assert all(b <= a for a, b in pairwise(counts_from_peak))
    assert counts_from_peak[-1] == 0
    assert len(set(counts_from_peak)) > 2  # the nodes are not all released in the same evaluation


def test_views_that_differ_by_one_node_give_plans_that_differ_by_two_nodes_at_most():
    planners_with_c1 = planners_of_all_nodes()
    planners_without_c1 = planners_of_all_nodes()
    evaluate_all(planners_with_c1, node_views(), 0)
    evaluate_all(planners_without_c1, node_views(), 0)
    views = node_views(["recife"])
    views_without_c1 = [each for each in views if each.name != "c1"]
    nodes_with_c1 = set(evaluate_all(planners_with_c1, views, 2_000)["n0"].failover_nodes["recife"])
    nodes_without_c1 = set(
        evaluate_all(planners_without_c1, views_without_c1, 2_000)["n0"].failover_nodes["recife"]
    )
    assert len(nodes_with_c1 ^ nodes_without_c1) <= 2


def test_a_fleet_of_one_site_has_no_failover_nodes():
    single_site_config = parse_operator_file(
        "sites {\n site recife {\n cores 4\n load 2\n }\n}\n", "f"
    ).sites
    planner = FailoverPlanner(single_site_config, "r0", "recife", 0)
    planner.evaluate(node_views()[:4], "whole", 0)
    node_plan = planner.evaluate(node_views(["recife"])[:4], "whole", 2_000)
    assert node_plan.failover_sites == ()
    assert node_plan.failover_nodes == {}


def views_reporting_share(share):
    """Returns views in which the other sites' nodes report this share of recife, in thousandths."""
    return [
        NodeView(
            view.name,
            view.status,
            1.0,
            (f"recife {share}",) if view.status.site != "recife" else (),
        )
        for view in node_views()
    ]


@pytest.mark.parametrize(("share", "nodes"), [(0, 0), (50, 1), (300, 2), (1_000, 4)])
def test_a_recovering_site_serves_with_as_many_nodes_as_its_share_needs(share, nodes):
    node_plans = [
        FailoverPlanner(failover_config(), f"r{index}", "recife", 0).evaluate(
            views_reporting_share(share), "whole", 0
        )
        for index in range(4)
    ]
    assert sum(each.serves_own_site for each in node_plans) == nodes
    assert {each.own_site_share for each in node_plans} == {share / 1_000}


def test_one_wrong_report_has_no_effect_on_a_site_and_a_partitioned_node_keeps_serving():
    views = [
        NodeView(view.name, view.status, 1.0, ("recife 0",) if view.name == "c0" else ())
        for view in node_views()
    ]
    assert (
        FailoverPlanner(failover_config(), "r0", "recife", 0)
        .evaluate(views, "whole", 0)
        .own_site_share
        == 1.0
    )
    for conclusion in ("alone", "minority"):
        node_plan = FailoverPlanner(failover_config(), "r0", "recife", 0).evaluate(
            views_reporting_share(0), conclusion, 0
        )
        assert node_plan.serves_own_site
        assert node_plan.own_site_share == 1.0


def test_failover_nodes_stay_chosen_in_an_inconclusive_view_and_are_cleared_in_a_minority():
    planner = FailoverPlanner(failover_config(), "c0", "caruaru", 0)
    planner.evaluate(node_views(), "whole", 0)
    earlier_plan = planner.evaluate(node_views(["recife"]), "whole", 2_000)
    assert (
        planner.evaluate(node_views(), "unsure", 4_000).failover_nodes
        == earlier_plan.failover_nodes
    )
    assert planner.evaluate(node_views(), "minority", 6_000).failover_nodes == {}


def test_a_suspected_failover_node_stays_in_the_plan_until_it_is_dead():
    planner = FailoverPlanner(failover_config(), "c0", "caruaru", 0)
    planner.evaluate(node_views(), "whole", 0)
    after_failure = node_views(["recife"])
    chosen_nodes = planner.evaluate(after_failure, "whole", 2_000).failover_nodes
    suspected = [
        node_view(view.name, view.status.site, Health.SUSPECT)
        if view.name in chosen_nodes["recife"]
        else view
        for view in after_failure
    ]
    assert planner.evaluate(suspected, "whole", 4_000).failover_nodes == chosen_nodes
    with_dead_node = [
        node_view(view.name, view.status.site, Health.DEAD)
        if view.name == chosen_nodes["recife"][0]
        else view
        for view in after_failure
    ]
    assert (
        chosen_nodes["recife"][0]
        not in planner.evaluate(with_dead_node, "whole", 6_000).failover_nodes["recife"]
    )


def test_a_fleet_of_one_site_takes_no_failover_traffic_and_serves_all_its_load():
    single_site_config = parse_operator_file(
        "sites {\n    site recife {\n        cores 8\n        load 4\n    }\n}\n", "file"
    ).sites
    planner = FailoverPlanner(single_site_config, "r0", "recife", 0)
    members = [node_view(f"r{index}", "recife") for index in range(4)]
    for now in range(0, 20 * SECOND, 2_000):
        with_dead_node = [
            node_view(view.name, "recife", Health.DEAD)
            if view.name != "r0" and now > SECOND
            else view
            for view in members
        ]
        node_plan = planner.evaluate(with_dead_node, "whole" if now <= SECOND else "alone", now)
        assert node_plan.serves_own_site
        assert node_plan.own_site_share == 1.0
        assert not node_plan.failover_sites
        assert not node_plan.failover_nodes


def test_a_drain_remains_in_force_when_a_member_of_the_site_dies():
    planner = FailoverPlanner(failover_config(), "c0", "caruaru", 0)
    planner.evaluate(node_views(), "whole", 0)
    assert planner.hold("recife", 60 * SECOND, 0, drain=True)
    assert not planner.hold("olinda", 1, 0)
    node_plan = planner.evaluate(
        [
            each if each.name != "r0" else node_view("r0", "recife", Health.DEAD)
            for each in node_views()
        ],
        "whole",
        2_000,
    )
    assert node_plan.failover_nodes["recife"]


def test_failure_history_of_an_earlier_process_extends_an_exclusion_unless_it_is_a_day_old():
    earlier_planner = FailoverPlanner(failover_config(), "c0", "caruaru", 0)
    planner = FailoverPlanner(failover_config(), "c0", "caruaru", 0)
    earlier_planner.recoveries["recife"].failure_count = 4
    earlier_planner.recoveries["recife"].excluded_until = 60 * SECOND
    planner.restore_failure_history(
        earlier_planner.failure_history(10 * SECOND), 20 * SECOND, 5 * SECOND
    )
    assert planner.recoveries["recife"].failure_count == 4
    assert planner.recoveries["recife"].excluded_until == 5 * SECOND + 30 * SECOND
    planner_a_day_later = FailoverPlanner(failover_config(), "c0", "caruaru", 0)
    one_day = 24 * 3600 * SECOND
    planner_a_day_later.restore_failure_history(
        earlier_planner.failure_history(10 * SECOND), one_day, 5 * SECOND
    )
    assert planner_a_day_later.recoveries["recife"].failure_count == 0
