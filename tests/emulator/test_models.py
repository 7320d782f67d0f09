"""The models, each against a closed form or a property that it must have."""

import random

import pytest

from lilacwalk.emulator.dependency import Dependency
from lilacwalk.emulator.events import EventQueue
from lilacwalk.emulator.processor_sharing import Machine
from lilacwalk.overload.model import Outcome


@pytest.mark.parametrize("spread", (0.0, 1.0))
def test_time_shared_by_processors_is_the_work_over_what_is_left_whatever_the_work_looks_like(
    spread,
):
    """M/G/1 with processor sharing: s / (1 - ρ), at 0.7 for constant and for exponential work."""
    events, rng, took = EventQueue(), random.Random(3), []
    machine = Machine(events, 1, crowd=1e9)

    def arrive():
        began, work = events.now, 1_000 * (1 - spread + spread * rng.expovariate(1.0))
        machine.start(work, lambda _: took.append((events.now - began) / 1_000))
        events.after(max(1, round(rng.expovariate(0.7 / 1_000))), arrive)

    events.put(0, arrive)
    events.run(40_000_000)
    assert sum(took) / len(took) == pytest.approx(1 / 0.3, rel=0.06)
    assert machine.busy == pytest.approx(0.7 * 40_000_000, rel=0.03)


def test_no_run_is_faster_than_alone_and_work_is_conserved():
    events, ended = EventQueue(), {}
    machine = Machine(events, 2)
    for work in (100, 200, 300, 400):
        machine.start(work, lambda what: ended.setdefault(what, events.now), work)
    events.run(10_000)
    assert list(ended) == [100, 200, 300, 400] and all(at >= work for work, at in ended.items())
    assert machine.busy == pytest.approx(1_000, abs=4) and ended[400] <= 600


def test_a_crowd_slows_the_whole_machine_and_a_larger_one_ends_it():
    events, died = EventQueue(), []
    machine = Machine(
        events, 1, crowd=4.0, contention=0.1, death=20.0, on_death=lambda: died.append(1)
    )
    for _ in range(9):
        machine.start(1_000, lambda _: None)
    assert machine.rate() == pytest.approx(0.5 / 9)
    for _ in range(12):
        machine.start(1_000, lambda _: None)
    assert died == [1]


def test_a_cold_machine_is_slow_for_its_warm_up_and_a_stopped_run_is_none():
    events, ended = EventQueue(), []
    machine = Machine(events, 1, cold=0.5, warm_up=100)
    kept = machine.start(100, ended.append, "kept")
    gone = machine.start(100, ended.append, "gone")
    machine.stop(gone)
    machine.stop(gone)
    events.run(1_000)
    assert ended == ["kept"] and machine.running == 0 and kept != gone
    assert machine.busy == pytest.approx(100, abs=2)


def test_while_it_stands_still_nothing_moves_and_then_goes_on():
    events, ended = EventQueue(), []
    machine = Machine(events, 1)
    machine.start(100, lambda _: ended.append(events.now))
    events.run(50)
    machine.stand_still(True)
    events.run(1_000)
    assert not ended
    machine.stand_still(False)
    events.run(2_000)
    assert ended == [pytest.approx(1_050, abs=2)]


def test_a_dependency_works_on_so_many_and_slows_and_dies_with_the_crowd():
    events, ended = EventQueue(), []
    index = Dependency(events, 2, 100, random.Random(1), crowd=2.0, death=10.0)
    for _ in range(4):
        index.call(lambda ending: ended.append((ending, events.now)))
    events.run(1_000)
    assert [at for _, at in ended] == [100, 100, 200, 200]
    for _ in range(21):
        taken = index.call(lambda ending: ended.append((ending, events.now)))
    assert taken and index.down and not index.call(lambda ending: None)
    events.run(2_000)
    assert sum(ending is Outcome.CONNECTION_LOST for ending, _ in ended) == 21
    index.back()
    assert index.call(lambda ending: ended.append((ending, events.now)))
    events.run(3_000)
    assert ended[-1] == (Outcome.OK, 2_100)


def test_events_of_one_time_come_as_they_were_put_in_wherever_they_lie():
    events, seen, rng = EventQueue(), [], random.Random(5)
    times = [rng.randrange(2_000) for _ in range(3_000)]
    for number, time in enumerate(times):
        events.put(time, seen.append, (time, number))
        if number % 100 == 0:
            events.put(time, lambda at=time: events.put(at, seen.append, (at, 10**9)))
    assert len(events) == 3_030
    events.run(2_000)
    assert [time for time, _ in seen] == sorted(time for time, _ in seen)
    plain = [each for each in seen if each[1] < 10**9]
    assert plain == sorted(plain) and not len(events)


def test_what_is_put_into_the_past_happens_now():
    events, seen = EventQueue(), []
    events.run(500)
    events.put(10, lambda: seen.append(events.now))
    events.run(500)
    assert seen == [500]
