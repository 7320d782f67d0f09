"""Tests of the simulation models against closed forms and required properties."""

import random

import pytest

from lilacwalk.emulator.dependency import Dependency
from lilacwalk.emulator.events import EventQueue
from lilacwalk.emulator.processor_sharing import Machine
from lilacwalk.overload.model import Outcome


@pytest.mark.parametrize("spread", (0.0, 1.0))
def test_mean_sojourn_time_under_processor_sharing_does_not_depend_on_the_distribution_of_work(
    spread,
):
    """The mean sojourn time in an M/G/1 queue with processor sharing is s / (1 - ρ).

    s is the mean service time and ρ the utilization, here 0.7.
    """
    events, rng, slowdowns = EventQueue(), random.Random(3), []
    machine = Machine(events, 1, crowding_threshold=1e9)

    def arrive():
        started_at, work = events.now, 1_000 * (1 - spread + spread * rng.expovariate(1.0))
        machine.start(work, lambda _: slowdowns.append((events.now - started_at) / 1_000))
        events.after(max(1, round(rng.expovariate(0.7 / 1_000))), arrive)

    events.put(0, arrive)
    events.run(40_000_000)
    assert sum(slowdowns) / len(slowdowns) == pytest.approx(1 / 0.3, rel=0.06)
    assert machine.core_time_used == pytest.approx(0.7 * 40_000_000, rel=0.03)


def test_no_run_is_faster_than_on_an_idle_machine_and_work_is_conserved():
    events, ended = EventQueue(), {}
    machine = Machine(events, 2)
    for work in (100, 200, 300, 400):
        machine.start(work, lambda tag: ended.setdefault(tag, events.now), work)
    events.run(10_000)
    assert list(ended) == [100, 200, 300, 400] and all(
        ended_at >= work for work, ended_at in ended.items()
    )
    assert machine.core_time_used == pytest.approx(1_000, abs=4) and ended[400] <= 600


def test_machine_slows_above_crowding_threshold_and_collapses_above_collapse_threshold():
    events, collapses = EventQueue(), []
    machine = Machine(
        events,
        1,
        crowding_threshold=4.0,
        contention=0.1,
        collapse_threshold=20.0,
        on_collapse=lambda: collapses.append(1),
    )
    for _ in range(9):
        machine.start(1_000, lambda _: None)
    assert machine.rate() == pytest.approx(0.5 / 9)
    for _ in range(12):
        machine.start(1_000, lambda _: None)
    assert collapses == [1]


def test_stopped_run_on_a_cold_machine_does_not_complete_and_uses_no_core_time():
    events, ended = EventQueue(), []
    machine = Machine(events, 1, cold_speed=0.5, warm_up=100)
    unstopped = machine.start(100, ended.append, "kept")
    stopped = machine.start(100, ended.append, "stopped")
    machine.stop(stopped)
    machine.stop(stopped)
    events.run(1_000)
    assert ended == ["kept"] and machine.run_count == 0 and unstopped != stopped
    assert machine.core_time_used == pytest.approx(100, abs=2)


def test_paused_machine_makes_no_progress_and_continues_when_resumed():
    events, ended = EventQueue(), []
    machine = Machine(events, 1)
    machine.start(100, lambda _: ended.append(events.now))
    events.run(50)
    machine.set_paused(True)
    events.run(1_000)
    assert not ended
    machine.set_paused(False)
    events.run(2_000)
    assert ended == [pytest.approx(1_050, abs=2)]


def test_dependency_limits_concurrent_calls_loses_calls_when_overloaded_and_can_be_restored():
    events, ended = EventQueue(), []
    dependency = Dependency(
        events, 2, 100, random.Random(1), crowding_threshold=2.0, collapse_threshold=10.0
    )
    for _ in range(4):
        dependency.call(lambda outcome: ended.append((outcome, events.now)))
    events.run(1_000)
    assert [at for _, at in ended] == [100, 100, 200, 200]
    for _ in range(21):
        accepted = dependency.call(lambda outcome: ended.append((outcome, events.now)))
    assert accepted and dependency.is_down and not dependency.call(lambda outcome: None)
    events.run(2_000)
    assert sum(outcome is Outcome.CONNECTION_LOST for outcome, _ in ended) == 21
    dependency.restore()
    assert dependency.call(lambda outcome: ended.append((outcome, events.now)))
    events.run(3_000)
    assert ended[-1] == (Outcome.OK, 2_100)


def test_events_of_the_same_time_are_processed_in_order_of_scheduling():
    events, processed, rng = EventQueue(), [], random.Random(5)
    times = [rng.randrange(2_000) for _ in range(3_000)]
    for number, time in enumerate(times):
        events.put(time, processed.append, (time, number))
        if number % 100 == 0:
            events.put(time, lambda at=time: events.put(at, processed.append, (at, 10**9)))
    assert len(events) == 3_030
    events.run(2_000)
    assert [time for time, _ in processed] == sorted(time for time, _ in processed)
    scheduled_first = [each for each in processed if each[1] < 10**9]
    assert scheduled_first == sorted(scheduled_first) and not len(events)


def test_event_scheduled_in_the_past_is_processed_at_the_current_time():
    events, processed = EventQueue(), []
    events.run(500)
    events.put(10, lambda: processed.append(events.now))
    events.run(500)
    assert processed == [500]
