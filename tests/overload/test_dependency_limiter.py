"""The limit on concurrent dependency calls.

Times are in tenths of a millisecond.
"""

from lilacwalk.overload.events import CallFinished, CallRequested
from lilacwalk.overload.model import Outcome


def test_an_abandoned_call_counts_towards_the_limit_until_its_linger_time_ends(
    make_host, make_class
):
    host = make_host(
        request_classes=[make_class(calls_dependency=True)],
        dependency_call_share=1.5,
        abandoned_call_linger=2_000,
    )
    first, second = host.receive(), host.receive()
    host.process(CallRequested(first), CallRequested(second))
    assert host.decisions("call_dependency") == [first]
    host.process(CallFinished(first, Outcome.TIMED_OUT, 100))
    assert host.decisions("call_dependency") == [first]
    host.wait(2_250)
    assert len(host.decisions("call_dependency")) == 2


def test_at_a_limit_of_half_a_call_a_pause_separates_two_calls(make_host, make_class):
    host = make_host(
        request_classes=[make_class(calls_dependency=True)],
        dependency_call_share=0.5,
        dependency_call_span=50_000,
    )
    first, second = host.receive(), host.receive()
    host.process(CallRequested(first), CallRequested(second))
    host.now += 1_000
    host.process(CallFinished(first, Outcome.OK, 1_000))
    assert host.decisions("call_dependency") == [first]
    host.wait(2_000)
    assert host.decisions("call_dependency") == [first, second]


def test_congestion_lengthens_the_pause_between_calls_at_a_limit_below_one_call(
    make_host, make_class
):
    host = make_host(
        request_classes=[make_class(calls_dependency=True)],
        dependency_call_share=0.5,
        dependency_call_span=50_000,
    )
    first, second = host.receive(), host.receive()
    host.process(CallRequested(first), CallRequested(second))
    for elapsed in [100] * 20 + [1_000] * 20:
        host.controller.parts.dependency.record_call_time(elapsed)
    host.process(CallFinished(first, Outcome.OK, 1_000))
    host.wait(5_000)
    # At the full limit the second call would have been made by now.
    assert host.decisions("call_dependency") == [first]
    host.wait(5_000)
    assert host.decisions("call_dependency") == [first, second]


def test_a_slow_dependency_lowers_the_limit_and_its_recovery_restores_it(make_host, make_class):
    host = make_host(
        request_classes=[make_class(calls_dependency=True, skipped_call_weight_share=0.5)],
        dependency_call_share=6.0,
    )
    for elapsed in [500] * 50:
        host.controller.parts.dependency.record_call_time(elapsed)
    for elapsed in [5_000] * 30:
        host.controller.parts.dependency.record_call_time(elapsed)
    assert 1 < host.controller.parts.dependency.limit < 2  # some calls still probe the dependency
    request = host.receive()
    host.wait(6_000)
    host.process(CallRequested(request))
    # Too late with a dependency call, but in time without one.
    assert host.decisions("skip_dependency_call") == [request]
    for elapsed in [500] * 80:
        host.controller.parts.dependency.record_call_time(elapsed)
    assert host.controller.parts.dependency.limit == 6


def test_a_dependency_slower_than_all_objectives_is_probed_until_it_recovers(make_host, make_class):
    host = make_host(
        request_classes=[make_class(calls_dependency=True)], dependency_call_share=0.33
    )
    for elapsed in [300] * 30 + [40_000] * 60:
        host.controller.parts.dependency.record_call_time(elapsed)
    assert (
        host.controller.parts.dependency.call_time
        > host.server.request_classes[0].latency_objective
    )
    rejected = host.receive()
    assert host.responses(rejected) == ["reject"]  # too late with the measured call time
    host.wait(11_000)
    probe = host.receive()
    assert not host.responses(probe)
    host.process(CallRequested(probe))
    assert host.decisions("call_dependency") == [probe]
    host.now += 300
    host.process(CallFinished(probe, Outcome.OK, 300))
    rejected = host.receive()
    # At most one probe per second is admitted until the mean call time falls.
    assert host.responses(rejected) == ["reject"]
    for _ in range(40):
        host.wait(11_000)
        probe = host.receive()
        host.process(CallRequested(probe))
        host.now += 300
        host.process(CallFinished(probe, Outcome.OK, 300))
        host.finish(probe)
    assert not host.responses(host.receive())


def test_one_fast_first_call_does_not_set_the_baseline(make_host, make_class):
    host = make_host(request_classes=[make_class(calls_dependency=True)], dependency_call_share=3.0)
    for elapsed in [20] + [500] * 30:
        host.controller.parts.dependency.record_call_time(elapsed)
    assert not host.controller.parts.dependency.is_congested
    assert host.controller.parts.dependency.limit == 3
