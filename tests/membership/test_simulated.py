"""Tests with fleets in simulated time: joins, crashes, partitions and packet loss."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lilacwalk.membership.messages import Health, NodeState
from lilacwalk.membership.minimum_healthy import withdrawal_limit
from tests.membership.conftest import SECOND, fleet, member_names, total_count


@pytest.mark.parametrize("count", [2, 6, 12, 48])
def test_all_join_through_one_seed_and_hold_equal_views(count):
    world = fleet(count, settle=False)
    assert world.run_until(world.all_settled, 30 * SECOND) is not None


def test_all_join_although_the_seed_crashes_meanwhile():
    world = fleet(12, settle=False)
    world.run(SECOND)  # by now some members know the others and some do not
    world.kill("n0")
    assert world.run_until(world.all_settled, 60 * SECOND) is not None


@pytest.mark.parametrize("loss", [0.0, 0.15])
@pytest.mark.parametrize("seed", range(3))
def test_a_third_killed_at_once_is_declared_dead_by_all_and_no_other_member_is(seed, loss):
    world = fleet(12, seed, loss=loss)
    killed = ["n1", "n4", "n7", "n10"]
    world.kill("n1"), world.kill("n4"), world.kill("n7"), world.kill("n10")
    duration = world.run_until(lambda: world.absent_from_all_views(*killed), 40 * SECOND)
    assert duration is not None
    assert duration <= 20 * SECOND
    assert all(
        world.present_names(node) == set(member_names(12)) - set(killed)
        for node in world.running_nodes()
    )


@pytest.mark.parametrize("new_address", [None, ("10.0.0.2", 5)])
def test_a_member_restarted_within_a_probe_interval_is_found_at_its_address(new_address):
    world = fleet(8)
    world.kill("n3")
    world.run(SECOND // 5)
    world.add("n3", "natal", ["n0"], address=new_address)
    assert world.run_until(world.all_settled, 20 * SECOND) is not None
    assert all(
        node.membership.view.get("n3").address == world.nodes["n3"].address
        for node in world.running_nodes()
    )
    assert total_count(world, "dead") == 0


def test_a_clock_set_back_by_years_without_a_disk_does_not_lower_the_incarnation():
    world = fleet(6)
    before = world.nodes["n2"].membership.identity.incarnation
    world.kill("n2")
    world.run(20 * SECOND)
    world.add("n2", "recife", ["n0"], clock_offset_ms=-100_000_000_000)
    assert world.run_until(world.all_settled, 20 * SECOND) is not None
    assert world.nodes["n2"].membership.identity.incarnation > before


def test_a_member_paused_for_longer_than_a_suspicion_refutes_and_declares_no_member_dead():
    world = fleet(12)
    world.pause("n5")
    assert world.run_until(lambda: world.absent_from_all_views("n5"), 30 * SECOND) is not None
    world.run(60 * SECOND)
    before = total_count(world, "dead")
    world.resume("n5")
    assert world.run_until(world.all_settled, 15 * SECOND) is not None
    world.run(30 * SECOND)
    assert total_count(world, "dead") == before + world.nodes["n5"].membership.counts["dead"]
    assert world.nodes["n5"].membership.counts["dead"] == 0


def test_a_stall_of_the_local_process_causes_no_death():
    """The stall lasts as long as three probes, which would fail if deadlines were not deferred."""
    world = fleet(6)
    world.pause("n1")
    world.run(int(1.4 * SECOND))
    world.resume("n1")
    world.run(20 * SECOND)
    assert world.nodes["n1"].membership.counts["dead"] == 0
    assert world.all_settled()


def test_a_site_partitioned_and_healed_twice_in_ten_seconds_settles():
    world = fleet(12)
    recife, others = member_names(12)[:4], member_names(12)[4:]
    for _ in range(2):
        world.cut(recife, others)
        world.run(3 * SECOND)
        world.heal()
        world.run(2 * SECOND)
    assert world.run_until(world.all_settled, 20 * SECOND) is not None


def test_both_sides_of_a_partition_identify_their_side_and_the_majority_reports_it():
    world = fleet(12)
    world.cut(member_names(12)[:4], member_names(12)[4:])
    world.run(40 * SECOND)
    verdicts = {
        name: world.nodes[name].membership.conclusion(world.now).verdict
        for name in member_names(12)
    }
    assert [verdicts[name] for name in member_names(12)] == ["minority"] * 4 + ["whole"] * 8
    for name in member_names(12)[4:]:
        assert any(
            event.change == "cut" and event.member == "recife" for event in world.nodes[name].events
        )


@pytest.mark.parametrize("seeds_down", [False, True])
def test_two_halves_find_each_other_after_a_minute_whichever_seeds_are_down(seeds_down):
    world = fleet(12)
    world.cut(member_names(12)[:6], member_names(12)[6:])
    world.run(60 * SECOND)
    if seeds_down:
        world.kill("n0")
    world.heal()
    duration = world.run_until(world.all_settled, 30 * SECOND)
    assert duration is not None
    assert duration <= 10 * SECOND


@pytest.mark.parametrize(
    "healed_first", [("recife", "natal"), ("natal", "caruaru"), ("recife", "caruaru")]
)
def test_a_partition_in_three_heals_in_any_order(healed_first):
    world = fleet(9)
    sites = {
        site: [name for name, node in world.nodes.items() if node.site == site]
        for site in ("recife", "natal", "caruaru")
    }
    for one, other in (("recife", "natal"), ("natal", "caruaru"), ("recife", "caruaru")):
        world.cut(sites[one], sites[other])
    world.run(30 * SECOND)
    together = set(sites[healed_first[0]] + sites[healed_first[1]])
    world.cut_links = {
        (one, other) for one, other in world.cut_links if not {one, other} <= together
    }
    world.run(15 * SECOND)
    assert all(world.present_names(world.nodes[name]) == together for name in together)
    world.heal()
    assert world.run_until(world.all_settled, 20 * SECOND) is not None


def test_a_link_cut_in_one_direction_causes_no_death():
    world = fleet(8)
    world.cut(["n1"], ["n2"], both=False)
    world.run(120 * SECOND)
    assert total_count(world, "dead") == 0
    assert world.nodes["n1"].membership.view.get("n2").reached_via


def test_a_member_that_receives_but_cannot_send_is_unsure_and_declares_no_member_dead():
    world = fleet(8)
    world.cut(["n3"], [name for name in member_names(8) if name != "n3"], both=False)
    world.run(30 * SECOND)
    machine = world.nodes["n3"].membership
    assert machine.conclusion(world.now).verdict == "unsure"
    assert machine.counts["dead"] == 0
    assert "not answered" in machine.conclusion(world.now).reason
    world.heal()
    assert world.run_until(world.all_settled, 20 * SECOND) is not None


def test_a_member_that_receives_nothing_concludes_alone_and_suspects_no_member_at_first():
    world = fleet(8)
    world.cut(member_names(8)[1:], ["n0"])
    world.run(5 * SECOND)
    machine = world.nodes["n0"].membership
    assert machine.conclusion(world.now).verdict == "alone"
    assert machine.counts["suspect"] == 0


def test_a_member_with_thirty_percent_loss_neither_is_declared_dead_nor_declares_others_dead():
    world = fleet(12)
    world.loss_by_node["n4"] = 0.3
    world.run(1_800 * SECOND)
    assert total_count(world, "dead") == 0


def test_fifteen_percent_loss_causes_no_false_death():
    world = fleet(12, 5, loss=0.15)
    world.run(1_200 * SECOND)  # four member-hours; benchmarks/membership.py simulates a thousand
    assert total_count(world, "dead") == 0


def test_a_member_that_flaps_every_second_causes_no_death_of_others():
    world = fleet(8)
    for _ in range(20):
        world.kill("n6")
        world.run(SECOND // 2)
        world.add("n6", "caruaru", ["n0"])
        world.run(SECOND // 2)
    assert world.run_until(world.all_settled, 20 * SECOND) is not None
    assert not any(
        event.change == "dead" and event.member != "n6"
        for node in world.running_nodes()
        for event in node.events
    )


def test_in_a_rolling_replacement_no_leave_is_taken_for_a_crash():
    world = fleet(8)
    for index, name in enumerate(member_names(8)):
        world.leave(name)
        world.run(2 * SECOND)
        assert all(
            node.membership.view.get(name).health is Health.LEFT for node in world.running_nodes()
        )
        world.add(name, world.nodes[name].site, [member_names(8)[(index + 1) % 8]])
        world.run(3 * SECOND)
    assert world.run_until(world.all_settled, 20 * SECOND) is not None
    assert total_count(world, "dead") == 0


def test_of_two_processes_under_one_name_the_later_one_yields():
    world = fleet(6)
    world.add("n2'", "recife", ["n0"])
    world.run(40 * SECOND)
    first, second = world.nodes["n2"].membership, world.nodes["n2'"].membership
    assert second.identity.yielded_to is not None
    assert first.identity.yielded_to is None
    assert all(
        node.membership.view.get("n2").address == world.nodes["n2"].address
        for node in world.running_nodes()
        if node.name != "n2'"
    )
    assert second.conclusion(world.now).reason == "another process holds this name"


def test_all_members_restarted_from_outdated_stores_settle():
    world = fleet(12)
    for name in member_names(12):
        world.kill(name)
    for name in member_names(12):
        world.add(
            name, world.nodes[name].site, ["n0"], clock_offset_ms=-86_400_000, restores_state=True
        )
        world.run(5 * SECOND)
    assert world.run_until(world.all_settled, 30 * SECOND) is not None


def test_with_every_seed_down_a_restarted_member_joins_through_stored_members():
    world = fleet(6)
    world.kill("n0")
    world.kill("n3")
    world.run(20 * SECOND)
    world.add("n3", "natal", ["n0"], restores_state=True)
    assert world.run_until(world.all_settled, 30 * SECOND) is not None


def test_both_sides_of_a_partition_together_withdraw_no_more_than_the_share():
    world = fleet(12)
    world.cut(member_names(12)[:6], member_names(12)[6:])
    world.run(40 * SECOND)
    for node in world.running_nodes():
        node.membership.update_metadata(world.now, state=NodeState.UNHEALTHY)
    withdrawn = set()
    for _ in range(100):
        world.run(SECOND // 10)
        for node in world.running_nodes():
            if node.membership.may_withdraw(world.now) and node.name not in withdrawn:
                withdrawn.add(node.name)
                node.membership.update_metadata(world.now, withdrawn=True)
    assert len(withdrawn) <= withdrawal_limit(12, 0.34)


def test_when_all_members_are_unhealthy_exactly_the_share_withdraws():
    world = fleet(12)
    withdrawn = set()
    for node in world.running_nodes():
        node.membership.update_metadata(world.now, state=NodeState.UNHEALTHY)
    for _ in range(300):
        world.run(SECOND // 10)
        for node in world.running_nodes():
            if node.membership.may_withdraw(world.now) and node.name not in withdrawn:
                withdrawn.add(node.name)
                node.membership.update_metadata(world.now, withdrawn=True)
    assert len(withdrawn) == withdrawal_limit(12, 0.34)


def test_every_table_stays_bounded_in_a_fleet_larger_than_the_view():
    world = fleet(30, settle=False, max_members=10)
    world.run(60 * SECOND)
    for node in world.running_nodes():
        machine = node.membership
        assert len(machine.view.members) <= 10
        assert len(machine.exchange.digests) <= 30
        assert len(machine.events) <= 256
        assert len(machine.probes.relayed_pings) <= 64


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
    world = fleet(7, seed, settle=False, loss=0.1, duplication=0.1)
    for fault, index, tenths in faults:
        name = f"n{index}"
        node = world.nodes[name]
        if (
            fault in ("kill", "leave", "pause")
            and node.membership is not None
            and not node.is_paused
        ):
            getattr(world, fault)(name)
        elif fault == "restore" and (node.membership is None or node.is_paused):
            world.resume(name) if node.membership is not None else world.add(
                name, node.site, ["n0", "n1"]
            )
        elif fault == "cut":
            world.cut(member_names(7)[:index], member_names(7)[index:])
        elif fault == "heal":
            world.heal()
        world.run(tenths * SECOND // 10)
    world.heal()
    for node in world.nodes.values():
        if node.is_paused:
            world.resume(node.name)
        elif node.membership is None:
            world.add(node.name, node.site, ["n0", "n1"])
    world.loss = 0.0
    assert world.run_until(world.all_settled, 60 * SECOND) is not None
