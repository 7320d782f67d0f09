"""Tests with fleets in simulated time: joins, crashes, partitions and datagram loss."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lilacwalk.membership.messages import Health, NodeState
from lilacwalk.membership.minimum_healthy import withdrawal_limit
from tests.membership.conftest import SECOND, make_simulated_fleet, member_names, total_count


@pytest.mark.parametrize("count", [2, 6, 12, 48])
def test_all_join_through_one_seed_and_hold_equal_views(count):
    fleet = make_simulated_fleet(count, settle=False)
    assert fleet.run_until(fleet.all_settled, 30 * SECOND) is not None


def test_all_join_although_the_seed_crashes_while_they_join():
    fleet = make_simulated_fleet(12, settle=False)
    fleet.run(SECOND)  # by now, some members know all others and some do not
    fleet.kill("n0")
    assert fleet.run_until(fleet.all_settled, 60 * SECOND) is not None


@pytest.mark.parametrize("loss", [0.0, 0.15])
@pytest.mark.parametrize("seed", range(3))
def test_a_third_killed_at_once_is_declared_dead_by_all_and_no_other_member_is(seed, loss):
    fleet = make_simulated_fleet(12, seed, loss=loss)
    killed = ["n1", "n4", "n7", "n10"]
    fleet.kill("n1"), fleet.kill("n4"), fleet.kill("n7"), fleet.kill("n10")
    duration = fleet.run_until(lambda: fleet.absent_from_all_views(*killed), 40 * SECOND)
    assert duration is not None
    assert duration <= 20 * SECOND
    assert all(
        fleet.present_names(node) == set(member_names(12)) - set(killed)
        for node in fleet.running_nodes()
    )


@pytest.mark.parametrize("new_address", [None, ("10.0.0.2", 5)])
def test_a_member_restarted_within_a_probe_interval_is_found_at_its_address(new_address):
    fleet = make_simulated_fleet(8)
    fleet.kill("n3")
    fleet.run(SECOND // 5)
    fleet.add("n3", "natal", ["n0"], address=new_address)
    assert fleet.run_until(fleet.all_settled, 20 * SECOND) is not None
    assert all(
        node.membership.view.get("n3").address == fleet.nodes["n3"].address
        for node in fleet.running_nodes()
    )
    assert total_count(fleet, "dead") == 0


def test_a_clock_set_back_by_years_does_not_lower_the_incarnation_of_a_member_without_a_store():
    fleet = make_simulated_fleet(6)
    before = fleet.nodes["n2"].membership.identity.incarnation
    fleet.kill("n2")
    fleet.run(20 * SECOND)
    fleet.add("n2", "recife", ["n0"], clock_offset_ms=-100_000_000_000)
    assert fleet.run_until(fleet.all_settled, 20 * SECOND) is not None
    assert fleet.nodes["n2"].membership.identity.incarnation > before


def test_a_member_paused_beyond_the_suspicion_timeout_rejoins_and_declares_no_member_dead():
    fleet = make_simulated_fleet(12)
    fleet.pause("n5")
    assert fleet.run_until(lambda: fleet.absent_from_all_views("n5"), 30 * SECOND) is not None
    fleet.run(60 * SECOND)
    before = total_count(fleet, "dead")
    fleet.resume("n5")
    assert fleet.run_until(fleet.all_settled, 15 * SECOND) is not None
    fleet.run(30 * SECOND)
    assert total_count(fleet, "dead") == before + fleet.nodes["n5"].membership.counts["dead"]
    assert fleet.nodes["n5"].membership.counts["dead"] == 0


def test_a_stall_of_the_local_process_causes_no_death():
    """The stall lasts as long as three probes, which would fail if deadlines were not deferred."""
    fleet = make_simulated_fleet(6)
    fleet.pause("n1")
    fleet.run(int(1.4 * SECOND))
    fleet.resume("n1")
    fleet.run(20 * SECOND)
    assert fleet.nodes["n1"].membership.counts["dead"] == 0
    assert fleet.all_settled()


def test_a_site_partitioned_and_healed_twice_in_ten_seconds_settles():
    fleet = make_simulated_fleet(12)
    recife, others = member_names(12)[:4], member_names(12)[4:]
    for _ in range(2):
        fleet.cut(recife, others)
        fleet.run(3 * SECOND)
        fleet.heal()
        fleet.run(2 * SECOND)
    assert fleet.run_until(fleet.all_settled, 20 * SECOND) is not None


def test_both_sides_of_a_partition_identify_their_side_and_the_majority_reports_it():
    fleet = make_simulated_fleet(12)
    fleet.cut(member_names(12)[:4], member_names(12)[4:])
    fleet.run(40 * SECOND)
    verdicts = {
        name: fleet.nodes[name].membership.conclusion(fleet.now).verdict
        for name in member_names(12)
    }
    assert [verdicts[name] for name in member_names(12)] == ["minority"] * 4 + ["whole"] * 8
    for name in member_names(12)[4:]:
        assert any(
            event.change == "cut" and event.member == "recife" for event in fleet.nodes[name].events
        )


@pytest.mark.parametrize("seed_is_down", [False, True])
def test_two_halves_cut_for_a_minute_find_each_other_even_if_the_seed_is_down(seed_is_down):
    fleet = make_simulated_fleet(12)
    fleet.cut(member_names(12)[:6], member_names(12)[6:])
    fleet.run(60 * SECOND)
    if seed_is_down:
        fleet.kill("n0")
    fleet.heal()
    duration = fleet.run_until(fleet.all_settled, 30 * SECOND)
    assert duration is not None
    assert duration <= 10 * SECOND


@pytest.mark.parametrize(
    "healed_first", [("recife", "natal"), ("natal", "caruaru"), ("recife", "caruaru")]
)
def test_a_partition_in_three_heals_in_any_order(healed_first):
    fleet = make_simulated_fleet(9)
    sites = {
        site: [name for name, node in fleet.nodes.items() if node.site == site]
        for site in ("recife", "natal", "caruaru")
    }
    for one, other in (("recife", "natal"), ("natal", "caruaru"), ("recife", "caruaru")):
        fleet.cut(sites[one], sites[other])
    fleet.run(30 * SECOND)
    together = set(sites[healed_first[0]] + sites[healed_first[1]])
    fleet.cut_links = {
        (one, other) for one, other in fleet.cut_links if not {one, other} <= together
    }
    fleet.run(15 * SECOND)
    assert all(fleet.present_names(fleet.nodes[name]) == together for name in together)
    fleet.heal()
    assert fleet.run_until(fleet.all_settled, 20 * SECOND) is not None


def test_a_link_cut_in_one_direction_causes_no_death():
    fleet = make_simulated_fleet(8)
    fleet.cut(["n1"], ["n2"], both=False)
    fleet.run(120 * SECOND)
    assert total_count(fleet, "dead") == 0
    assert fleet.nodes["n1"].membership.view.get("n2").reached_via


def test_a_member_that_receives_but_cannot_send_is_unsure_and_declares_no_member_dead():
    fleet = make_simulated_fleet(8)
    fleet.cut(["n3"], [name for name in member_names(8) if name != "n3"], both=False)
    fleet.run(30 * SECOND)
    membership = fleet.nodes["n3"].membership
    assert membership.conclusion(fleet.now).verdict == "unsure"
    assert membership.counts["dead"] == 0
    assert "not answered" in membership.conclusion(fleet.now).reason
    fleet.heal()
    assert fleet.run_until(fleet.all_settled, 20 * SECOND) is not None


def test_a_member_that_receives_nothing_concludes_alone_and_suspects_no_member_at_first():
    fleet = make_simulated_fleet(8)
    fleet.cut(member_names(8)[1:], ["n0"])
    fleet.run(5 * SECOND)
    membership = fleet.nodes["n0"].membership
    assert membership.conclusion(fleet.now).verdict == "alone"
    assert membership.counts["suspect"] == 0


def test_a_member_with_thirty_percent_loss_neither_is_declared_dead_nor_declares_others_dead():
    fleet = make_simulated_fleet(12)
    fleet.loss_by_node["n4"] = 0.3
    fleet.run(1_800 * SECOND)
    assert total_count(fleet, "dead") == 0


def test_fifteen_percent_loss_causes_no_false_death():
    fleet = make_simulated_fleet(12, 5, loss=0.15)
    fleet.run(1_200 * SECOND)  # four member-hours; benchmarks/membership.py simulates a thousand
    assert total_count(fleet, "dead") == 0


def test_a_member_that_flaps_every_second_causes_no_death_of_others():
    fleet = make_simulated_fleet(8)
    for _ in range(20):
        fleet.kill("n6")
        fleet.run(SECOND // 2)
        fleet.add("n6", "caruaru", ["n0"])
        fleet.run(SECOND // 2)
    assert fleet.run_until(fleet.all_settled, 20 * SECOND) is not None
    assert not any(
        event.change == "dead" and event.member != "n6"
        for node in fleet.running_nodes()
        for event in node.events
    )


def test_in_a_rolling_replacement_no_member_that_leaves_is_declared_dead():
    fleet = make_simulated_fleet(8)
    for index, name in enumerate(member_names(8)):
        fleet.leave(name)
        fleet.run(2 * SECOND)
        assert all(
            node.membership.view.get(name).health is Health.LEFT for node in fleet.running_nodes()
        )
        fleet.add(name, fleet.nodes[name].site, [member_names(8)[(index + 1) % 8]])
        fleet.run(3 * SECOND)
    assert fleet.run_until(fleet.all_settled, 20 * SECOND) is not None
    assert total_count(fleet, "dead") == 0


def test_of_two_processes_under_one_name_the_later_one_yields():
    fleet = make_simulated_fleet(6)
    fleet.add("n2'", "recife", ["n0"])
    fleet.run(40 * SECOND)
    first, second = fleet.nodes["n2"].membership, fleet.nodes["n2'"].membership
    assert second.identity.yielded_to is not None
    assert first.identity.yielded_to is None
    assert all(
        node.membership.view.get("n2").address == fleet.nodes["n2"].address
        for node in fleet.running_nodes()
        if node.name != "n2'"
    )
    assert second.conclusion(fleet.now).reason == "another process holds this name"


def test_all_members_restarted_from_outdated_stores_settle():
    fleet = make_simulated_fleet(12)
    for name in member_names(12):
        fleet.kill(name)
    for name in member_names(12):
        fleet.add(
            name, fleet.nodes[name].site, ["n0"], clock_offset_ms=-86_400_000, restores_state=True
        )
        fleet.run(5 * SECOND)
    assert fleet.run_until(fleet.all_settled, 30 * SECOND) is not None


def test_with_every_seed_down_a_restarted_member_joins_through_stored_members():
    fleet = make_simulated_fleet(6)
    fleet.kill("n0")
    fleet.kill("n3")
    fleet.run(20 * SECOND)
    fleet.add("n3", "natal", ["n0"], restores_state=True)
    assert fleet.run_until(fleet.all_settled, 30 * SECOND) is not None


def test_both_sides_of_a_partition_together_withdraw_no_more_than_the_allowed_share():
    fleet = make_simulated_fleet(12)
    fleet.cut(member_names(12)[:6], member_names(12)[6:])
    fleet.run(40 * SECOND)
    for node in fleet.running_nodes():
        node.membership.update_metadata(fleet.now, state=NodeState.UNHEALTHY)
    withdrawn = set()
    for _ in range(100):
        fleet.run(SECOND // 10)
        for node in fleet.running_nodes():
            if node.membership.may_withdraw(fleet.now) and node.name not in withdrawn:
                withdrawn.add(node.name)
                node.membership.update_metadata(fleet.now, withdrawn=True)
    assert len(withdrawn) <= withdrawal_limit(12, 0.34)


def test_when_all_members_are_unhealthy_exactly_the_allowed_share_withdraws():
    fleet = make_simulated_fleet(12)
    withdrawn = set()
    for node in fleet.running_nodes():
        node.membership.update_metadata(fleet.now, state=NodeState.UNHEALTHY)
    for _ in range(300):
        fleet.run(SECOND // 10)
        for node in fleet.running_nodes():
            if node.membership.may_withdraw(fleet.now) and node.name not in withdrawn:
                withdrawn.add(node.name)
                node.membership.update_metadata(fleet.now, withdrawn=True)
    assert len(withdrawn) == withdrawal_limit(12, 0.34)


def test_every_table_stays_bounded_in_a_fleet_larger_than_the_view():
    fleet = make_simulated_fleet(30, settle=False, max_members=10)
    fleet.run(60 * SECOND)
    for node in fleet.running_nodes():
        membership = node.membership
        assert len(membership.view.members) <= 10
        assert len(membership.exchange.digests) <= 30
        assert len(membership.events) <= 256
        assert len(membership.probes.relayed_pings) <= 64


@settings(max_examples=25, deadline=None)
@given(
    st.integers(0, 1_000_000),
    st.lists(
        st.tuples(
            st.sampled_from(["kill", "restore", "cut", "heal", "leave", "pause"]),
            st.integers(0, 6),
            st.integers(1, 40),
        ),
        max_size=8,
    ),
)
def test_after_any_faults_the_views_of_connected_members_converge_to_the_truth(seed, faults):
    fleet = make_simulated_fleet(7, seed, settle=False, loss=0.1, duplication=0.1)
    for fault, index, tenths_of_second in faults:
        name = f"n{index}"
        node = fleet.nodes[name]
        if (
            fault in ("kill", "leave", "pause")
            and node.membership is not None
            and not node.is_paused
        ):
            getattr(fleet, fault)(name)
        elif fault == "restore" and (node.membership is None or node.is_paused):
            fleet.resume(name) if node.membership is not None else fleet.add(
                name, node.site, ["n0", "n1"]
            )
        elif fault == "cut":
            fleet.cut(member_names(7)[:index], member_names(7)[index:])
        elif fault == "heal":
            fleet.heal()
        fleet.run(tenths_of_second * SECOND // 10)
    fleet.heal()
    for node in fleet.nodes.values():
        if node.is_paused:
            fleet.resume(node.name)
        elif node.membership is None:
            fleet.add(node.name, node.site, ["n0", "n1"])
    fleet.loss = 0.0
    assert fleet.run_until(fleet.all_settled, 60 * SECOND) is not None
