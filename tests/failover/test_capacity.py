"""Placement of load on the remaining sites, by spare capacity."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lilacwalk.failover.capacity import SiteCapacity, place_load


@given(
    st.lists(st.tuples(st.integers(1, 40), st.integers(0, 40)), min_size=2, max_size=6), st.data()
)
def test_no_site_gets_more_than_its_spare_capacity_and_all_load_is_accounted_for(sites, data):
    names = [f"s{index}" for index in range(len(sites))]
    capacities = {
        name: SiteCapacity(
            name,
            cores,
            load,
            tuple(
                (other, 10 * abs(index - target))
                for target, other in enumerate(names)
                if other != name
            ),
        )
        for index, (name, (cores, load)) in enumerate(zip(names, sites, strict=True))
    }
    failed_sites = data.draw(
        st.dictionaries(st.sampled_from(names), st.sampled_from([0.5, 1.0]), min_size=1)
    )
    placement = place_load(capacities, failed_sites, 0.1)
    for name, capacity in capacities.items():
        if name not in failed_sites:
            assert placement.placed_on(name) <= capacity.spare_capacity(0.1) + 1e-6
    for name, failed_fraction in failed_sites.items():
        remaining = (
            capacities[name].cores * (1 - failed_fraction) * 0.9 if failed_fraction < 1 else 0.0
        )
        accounted_for = sum(placement.placed_from(name).values()) + placement.unplaced[name]
        moved = max(0.0, capacities[name].load - remaining)
        assert accounted_for == pytest.approx(moved, abs=1e-6)


def test_one_additional_core_moves_little_load():
    capacities = {
        f"s{index}": SiteCapacity(
            f"s{index}", 20, 10, tuple((f"s{target}", 50) for target in range(9) if target != index)
        )
        for index in range(9)
    }
    before = place_load(capacities, {"s0": 1.0}, 0.1).placed_from("s0")
    capacities["s4"] = SiteCapacity("s4", 21, 10, capacities["s4"].failover_targets)
    after = place_load(capacities, {"s0": 1.0}, 0.1).placed_from("s0")
    assert sum(abs(before[name] - after[name]) for name in before) / 2 < 0.02 * 10
