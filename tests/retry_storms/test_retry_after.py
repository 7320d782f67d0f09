"""Retry-after times are spread over the backlog."""

import random

from lilacwalk.retry_storms.retry_after import SECOND, RetryAfterSpreader


def test_retry_after_times_are_spread_over_the_backlog():
    spreader = RetryAfterSpreader(random.Random(2), 60 * SECOND)
    times = [spreader.retry_after(index, 10.0, 1.0, 0) for index in range(200)]
    counts_by_second = [
        sum(SECOND * index <= time < SECOND * (index + 1) for time in times) for index in range(20)
    ]
    assert max(counts_by_second) < 40
    assert max(times) <= 20 * SECOND + SECOND


def test_retry_after_times_are_longer_for_a_client_rejected_before_and_within_the_limit():
    spreader = RetryAfterSpreader(random.Random(3), 10 * SECOND)
    first_times = [spreader.retry_after(index, 100.0, 1.0, 0) for index in range(50)]
    later_times = [
        spreader.retry_after(index, 100.0, 1.0, SECOND) for index in range(50) for _ in range(3)
    ]
    assert sum(later_times) / len(later_times) > 1.5 * sum(first_times) / len(first_times)
    assert all(0 < each <= 10 * SECOND for each in first_times + later_times)
    assert RetryAfterSpreader(random.Random(1), 0).retry_after(1, 1.0, 1.0, 0) == 0


def test_retry_after_times_are_longer_in_a_fleet_that_lost_a_third_of_its_nodes():
    complete_fleet, reduced_fleet = (
        RetryAfterSpreader(random.Random(4), 3600 * SECOND) for _ in range(2)
    )
    complete_sum = sum(complete_fleet.retry_after(index, 10.0, 1.0, 0) for index in range(100))
    assert (
        sum(reduced_fleet.retry_after(index, 10.0, 1.5, 0) for index in range(100))
        > 1.3 * complete_sum
    )


def test_clients_do_not_all_return_in_one_second_after_the_loss_of_a_third_of_a_fleet():
    """Each of the eight remaining nodes of twelve rejects 50 clients at the same time."""
    nodes = [RetryAfterSpreader(random.Random(seed), 30 * SECOND) for seed in range(8)]
    times = [node.retry_after(index, 10.0, 1.5, 0) for node in nodes for index in range(50)]
    counts_by_second = [
        sum(SECOND * index <= time < SECOND * (index + 1) for time in times) for index in range(30)
    ]
    assert max(counts_by_second) < 0.25 * len(times)
    assert sum(counts_by_second[:8]) > 0.9 * len(times)
