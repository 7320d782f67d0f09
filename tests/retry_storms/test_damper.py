"""The damper: storms, plain overload and rejected attempts."""

import random

from hypothesis import given
from hypothesis import strategies as st

from lilacwalk.retry_storms.config import RetryStormConfig
from lilacwalk.retry_storms.damper import Attempt, RejectionReason, RetryStormDamper
from lilacwalk.retry_storms.metrics import MAX_FINGERPRINTS, SECOND, STEP_TIME, Metrics
from lilacwalk.retry_storms.retry_after import MIN_RETRY_AFTER
from lilacwalk.retry_storms.stages import Stage
from tests.retry_storms.conftest import Node, normal_node


def test_a_storm_at_the_start_of_a_process_is_not_learned_as_the_baseline():
    node = Node()
    for _ in range(12):
        node.step(first=40, retries=150)
    assert node.stage is Stage.DAMPED
    assert node.rejected > 500
    for _ in range(30):
        node.step(first=40, retries=2)
    assert node.stage is Stage.NORMAL
    assert node.damper.collector.metrics().baseline_retry_ratio < 0.2


def test_idle_cores_admit_retries_beyond_the_budget_and_busy_cores_do_not():
    node = normal_node()
    for _ in range(6):
        node.step(first=20, retries=200)
    assert node.stage is Stage.DAMPED
    for _ in range(20):
        node.step(first=20, retries=200)
    node.passed = 0
    for _ in range(10):
        node.step(first=20, retries=200)
    assert node.passed / 10 > 45  # 50 fit a step; the budget alone would admit about 24
    node.passed = 0
    for _ in range(10):
        node.step(first=20, retries=200, queue_delay=SECOND)
    assert node.passed / 10 < 30


def test_retry_after_times_are_spread_as_soon_as_a_stall_ends_even_before_the_next_tick():
    node = normal_node()
    # In the normal stage the controller's retry-after time is sent unchanged.
    assert node.damper.spread_retry_after(1, 5_000, node.now) == 5_000
    node.now += 60 * STEP_TIME
    times = [node.damper.spread_retry_after(client, 5_000, node.now) for client in range(200)]
    assert node.stage is Stage.RECOVERING
    assert len(set(times)) > 100
    node.damper.tick(node.now, 0)
    assert node.stage is Stage.RECOVERING
    for _ in range(20):
        node.step(first=40, retries=2)
    assert node.stage is Stage.NORMAL


def test_plain_overload_keeps_the_normal_stage_and_rejects_nothing():
    node = normal_node()
    for _ in range(20):
        node.step(first=150, retries=8)
    assert node.stage is Stage.NORMAL
    assert not node.rejected


def test_a_self_sustaining_storm_is_detected_and_its_retries_are_limited_by_the_budget():
    node = normal_node()
    for _ in range(6):
        node.step(first=40, retries=150)
    assert node.stage is Stage.DAMPED
    rejected_before = node.rejected
    admitted = [node.step(first=40, retries=150) for _ in range(10)]
    assert node.rejected > rejected_before
    assert sum(admitted) / 10 < 60
    assert all(each >= 40 for each in admitted)  # no first attempt is rejected


def test_a_surge_of_new_requests_with_equal_fingerprints_is_not_a_storm():
    node = Node()
    # Polls with equal bodies count as retries; here all of them are completed.
    for _ in range(60):
        node.step(first=0, retries=45, completed=50)
    for _ in range(10):
        node.step(first=0, retries=100, completed=50)
    assert node.stage is Stage.NORMAL


def test_attempts_that_cannot_be_answered_in_time_are_rejected_only_in_a_storm():
    node = normal_node()
    node.step(first=40, queue_delay=3 * SECOND)
    assert not node.damper.rejected[RejectionReason.LATE]
    for _ in range(6):
        node.step(first=40, retries=150, queue_delay=3 * SECOND)
    assert node.damper.rejected[RejectionReason.LATE] > 0


def test_a_duplicate_of_a_request_in_flight_is_never_rejected():
    node = normal_node()
    for _ in range(6):
        node.step(first=40, retries=150)
    assert node.stage is Stage.DAMPED
    assert node.damper.evaluate_request(Attempt(1, "swap", 1, True, 0, True), node.now) is None


@given(st.lists(st.tuples(st.integers(0, 30), st.booleans(), st.integers(0, 5_000)), max_size=300))
def test_all_tables_are_bounded_and_first_attempts_are_passed_on(attempts):
    damper = RetryStormDamper(RetryStormConfig(), SECOND, random.Random(5), 0)
    now = 0
    for client, is_marked, gap in attempts:
        now += gap
        rejection = damper.evaluate_request(
            Attempt((client, now), "swap", client, is_marked, 2 * SECOND, False), now
        )
        assert rejection is None or is_marked
        damper.tick(now, 0)
    assert len(damper.collector.recent_attempts) <= MAX_FINGERPRINTS
    assert len(damper.budget.spent_by_client) <= 31
    assert isinstance(damper.collector.metrics(), Metrics)
    assert damper.status(now)["passed"] <= len(attempts)
    assert MIN_RETRY_AFTER > 0
