"""Feasibility of answering requests in time.

Times are in tenths of a millisecond.
"""

import pytest

from lilacwalk.overload.events import CallFinished, CallRequested
from lilacwalk.overload.model import Effect, Outcome, Request


def test_a_late_request_of_little_weight_is_dispatched_only_on_free_cores(make_host, make_class):
    host = make_host(request_classes=[make_class(late_weight_share=0.2)])
    host.wait(1_000, core_use=1.0)
    received_while_busy = host.receive(arrived_at=host.now - 9_500)
    host.wait(1_000, core_use=0.1, run_queue=0.0)
    received_while_free = host.receive(arrived_at=host.now - 9_500)
    assert host.responses(received_while_busy) == ["reject"]
    assert host.decisions("dispatch") == [received_while_free]


@pytest.mark.parametrize("effect", list(Effect))
@pytest.mark.parametrize(
    ("calls", "slow_calls", "slow_executions"),
    [(1, 1, 0), (1, 30, 0), (1, 0, 60), (0, 0, 60)],
    ids=["first call", "first 30 calls", "first 60 executions with calls", "first 60 executions"],
)
def test_slow_calls_and_executions_at_the_start_do_not_cause_permanent_rejections(
    make_host, make_class, effect, calls, slow_calls, slow_executions
):
    """The first calls or executions take about the latency objective or longer, all others do not.

    If all requests were rejected on estimates from the first ones, no further measurement would
    correct the estimates.
    """
    host = make_host(
        request_classes=[make_class(calls_dependency=bool(calls), effect=effect)],
        dependency_call_share=4.0,
        dependency_call_span=50_000,
    )
    controller = host.controller
    finished_request = Request(host.server.request_classes[0], host.now, host.now, host.now, 1.0)
    for _ in range(slow_calls):
        controller.parts.dependency.record_call_time(9_300)
    for _ in range(slow_executions):
        controller.parts.latency.record_execution(finished_request, 20_000)
    answered_in_time = []
    for _ in range(200):  # one after the other, with pauses
        request = host.receive()
        if not host.responses(request):
            host.wait(300, run_queue=1.0)
            if calls:
                host.process(CallRequested(request))
                host.wait(200, run_queue=0.0)
                host.process(CallFinished(request, Outcome.OK, 200))
            host.wait(300, run_queue=1.0)
            host.finish(request)
            answered_in_time.append(not host.responses(request))
        host.wait(1_000, core_use=0.1, run_queue=0.0)
    assert answered_in_time.count(True) > 100
    assert all(answered_in_time[-50:])
