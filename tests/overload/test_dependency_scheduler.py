"""Dependency calls that are made, skipped or retried.

Times are in tenths of a millisecond.
"""

from lilacwalk.overload.events import CallFinished, CallRequested
from lilacwalk.overload.model import Effect, Outcome


def test_a_non_idempotent_call_is_retried_unless_the_dependency_may_have_executed_it(
    make_host, make_class
):
    host = make_host(
        request_classes=[make_class(effect=Effect.NON_IDEMPOTENT, calls_dependency=True)],
        dependency_call_share=3.0,
    )
    request = host.receive()
    host.process(CallRequested(request))
    host.process(CallFinished(request, Outcome.REJECTED, 50))
    # The call is retried, as the dependency did not execute it.
    assert host.decisions("call_dependency") == [request, request]
    host.process(CallFinished(request, Outcome.CONNECTION_LOST, 50))
    assert host.decisions("call_dependency") == [request, request]
    assert host.responses(request) == ["fail"]


def test_during_congestion_a_request_that_loses_less_weight_skips_its_call(make_host, make_class):
    needs = make_class(name="needs", calls_dependency=True, weight=3.0)
    can_skip = make_class(name="can skip", calls_dependency=True, skipped_call_weight_share=0.6)
    host = make_host(request_classes=[needs, can_skip], cores=4, dependency_call_share=3.0)
    for elapsed in [500] * 50 + [4_000] * 20:
        host.controller.parts.dependency.record_call_time(elapsed)
    first, second = host.receive(needs), host.receive(can_skip)
    host.process(CallRequested(first), CallRequested(second))
    host.wait(250)
    assert host.decisions("call_dependency") == [first]
    assert host.decisions("skip_dependency_call") == [second]


def test_a_lost_reply_is_not_taken_for_congestion_and_its_call_is_retried(make_host, make_class):
    host = make_host(request_classes=[make_class(calls_dependency=True)], dependency_call_share=3.0)
    for _ in range(30):
        host.controller.parts.dependency.record_call_time(500)
    request = host.receive()
    host.process(CallRequested(request))
    assert host.recorded[-1] == ("call_dependency", request, host.now + 5_000)
    host.now += 5_000
    host.process(CallFinished(request, Outcome.TIMED_OUT, 5_000))
    assert not host.controller.parts.dependency.is_congested
    assert host.recorded[-1][:2] == ("call_dependency", request)
    assert host.recorded[-1][2] > host.now + 2_000
