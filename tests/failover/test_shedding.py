"""The work admitted under a capacity limit and a call limit."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lilacwalk.failover.config import Class
from lilacwalk.failover.shedding import WorkShare, choose_admitted, value_work


def test_failover_and_local_traffic_have_a_minimum_share_each():
    """Local traffic has a hundred times the value and could use all of the capacity."""
    local = Class(name="local", benefit=100, share=1.0)
    failover = Class(name="failover", benefit=1, share=1.0)
    work_shares = [WorkShare(local, "a", "a", 10, 100, 0), WorkShare(failover, "a", "b", 10, 1, 0)]
    admitted = {
        each.request_class.name: each.work
        for each in choose_admitted(work_shares, {"a": 10}, None, 0.2).admitted
    }
    assert admitted == {"local": pytest.approx(8), "failover": pytest.approx(2)}


def test_work_that_misses_its_objective_over_the_longer_path_has_no_value():
    late = Class(name="late", benefit=10, share=0.5, slo=600, work=500)
    relaxed = Class(name="relaxed", benefit=1, share=0.5, slo=10_000, work=500)
    assert (
        value_work(late, "a", "b", 1, 200).value == 0 < value_work(relaxed, "a", "b", 1, 200).value
    )
    assert value_work(late, "a", "a", 1, 0).value > value_work(relaxed, "a", "a", 1, 0).value


def test_at_equal_weight_idempotent_work_is_rejected_first():
    classes = [Class(name=name, share=0.5, effect=name) for name in ("mutating", "repeatable")]
    work_shares = [WorkShare(request_class, "a", "a", 5, 1, 0) for request_class in classes]
    admitted = {
        each.request_class.name: each.work
        for each in choose_admitted(work_shares, {"a": 5}, None, 0.0).admitted
    }
    assert admitted == {"mutating": 5, "repeatable": 0}


@given(
    st.lists(
        st.tuples(st.integers(1, 9), st.integers(0, 9), st.integers(1, 6)), min_size=1, max_size=4
    ),
    st.integers(1, 12),
    st.integers(1, 60),
)
def test_the_admitted_work_reaches_the_optimum_of_the_linear_programme(classes, capacity, calls):
    """Compares the chosen work with the best corner of the linear programme.

    In a corner, all but two shares are either admitted in full or rejected in full.
    """
    work_shares = [
        WorkShare(Class(name=str(index), share=0.1), "a", "a", work, value, calls_needed)
        for index, (work, value, calls_needed) in enumerate(classes)
    ]
    selection = choose_admitted(work_shares, {"a": capacity}, calls, 0.0)
    assert sum(each.work for each in selection.admitted) <= capacity + 1e-6
    assert selection.calls <= calls + 1e-6
    assert selection.total_value >= best_value(work_shares, capacity, calls) - 1e-6


def best_value(work_shares, capacity, calls):
    """Returns the highest value in any corner of the linear programme."""
    best = 0.0
    for fractions in itertools.product((0.0, 1.0), repeat=len(work_shares)):
        for one, other in itertools.product(range(len(work_shares)), repeat=2):
            fixed = [
                each.work * fraction for each, fraction in zip(work_shares, fractions, strict=True)
            ]
            fixed[one] = fixed[other] = 0.0
            remaining = (
                capacity - sum(fixed),
                calls
                - sum(work * each.calls for work, each in zip(fixed, work_shares, strict=True)),
            )
            if min(remaining) < -1e-9:
                continue
            value = sum(work * each.value for work, each in zip(fixed, work_shares, strict=True))
            best = max(
                best,
                value
                + best_value_of_two(work_shares[one], work_shares[other], one == other, remaining),
            )
    return best


def best_value_of_two(one, other, is_same, remaining):
    """Returns the highest value of two work shares under two limits, reached in a corner."""
    capacity, calls = (max(0.0, each) for each in remaining)

    def max_work(each, capacity, calls):
        return min(each.work, capacity, calls / each.calls)

    first = max_work(one, capacity, calls)
    if is_same:
        return first * one.value
    corners = [(first, max_work(other, capacity - first, max(0.0, calls - first * one.calls)))]
    second = max_work(other, capacity, calls)
    corners.append(
        (max_work(one, capacity - second, max(0.0, calls - second * other.calls)), second)
    )
    if one.calls != other.calls:  # the corner at which both limits are reached
        work = (calls - capacity * other.calls) / (one.calls - other.calls)
        if 0 <= work <= one.work and 0 <= capacity - work <= other.work:
            corners.append((work, capacity - work))
    return max(first * one.value + second * other.value for first, second in corners)
