"""Means, baseline and periodicity of the measured attempts."""

from lilacwalk.retry_storms.metrics import STEP_TIME, MetricsCollector


def test_attempts_in_one_step_of_each_period_have_a_high_periodicity_and_even_attempts_a_low_one():
    even, periodic = MetricsCollector(0), MetricsCollector(0)
    now = 0
    for step in range(30):
        for index in range(20):
            even.attempt_received((step, index), False, now)
        for index in range(80 if step % 4 == 0 else 0):
            periodic.attempt_received((step, index), False, now)
        now += STEP_TIME
        even.tick(now, True)
        periodic.tick(now, True)
    assert even.periodicity() < 0.05
    assert periodic.periodicity() > 0.9


def test_the_baseline_is_learned_in_the_normal_stage_only():
    collector = MetricsCollector(0)
    for step in range(1, 40):
        for index in range(20):
            collector.attempt_received((step, index), False, step * STEP_TIME - 1)
        collector.tick(step * STEP_TIME, True)
    baseline = collector.metrics().baseline_attempt_rate
    for step in range(40, 80):
        for index in range(200):
            collector.attempt_received((step, index), True, step * STEP_TIME - 1)
        collector.tick(step * STEP_TIME, False)
    assert collector.metrics().baseline_attempt_rate == baseline
    assert collector.metrics().attempts_over_baseline > 8


def test_each_step_of_a_stall_is_counted_once():
    collector = MetricsCollector(0)
    for index in range(10):
        collector.attempt_received(index, False, 0)
    collector.tick(20 * STEP_TIME, True)
    assert collector.next_step_at > 20 * STEP_TIME
    assert collector.means.attempts <= 20
