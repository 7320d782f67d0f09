"""Executions that may not exist, because their dispatch may have been lost with the link.

Times are in tenths of a millisecond.
"""

import pytest

from lilacwalk.overload.events import CallFinished, CallRequested, ExecutionUnconfirmed
from lilacwalk.overload.model import Effect, Outcome, RequestState


@pytest.fixture
def non_idempotent_class(make_class):
    return make_class(
        name="non-idempotent",
        effect=Effect.NON_IDEMPOTENT,
        latency_objective=30_000,
        calls_dependency=True,
    )


@pytest.fixture
def host(make_host, non_idempotent_class):
    return make_host(request_classes=[non_idempotent_class])


def test_an_unconfirmed_execution_leaves_its_place_to_another_one(host):
    """Guards against dispatches that were lost and still use up the concurrency limit."""
    requests = [host.receive() for _ in range(12)]
    dispatched = host.decisions("dispatch")
    assert len(dispatched) < len(requests)
    host.process(ExecutionUnconfirmed(dispatched[0]))
    assert host.controller.running == len(dispatched)
    assert len(host.decisions("dispatch")) == len(dispatched) + 1


@pytest.mark.parametrize("outcome", [Outcome.OK, Outcome.CONNECTION_LOST])
def test_the_end_of_an_unconfirmed_execution_leaves_nothing_behind(host, outcome):
    request = host.receive()
    host.process(ExecutionUnconfirmed(request))
    host.finish(request, outcome)
    assert request.state is RequestState.FINISHED
    assert (host.controller.running, host.controller.memory_kb) == (0, 0)
    assert not host.controller.open_requests


def test_an_unconfirmed_execution_that_requests_a_call_continues(host):
    request = host.receive()
    host.process(ExecutionUnconfirmed(request))
    host.process(CallRequested(request))
    assert host.decisions("call_dependency") == [request]
    host.process(CallFinished(request, Outcome.OK, 10))
    assert host.controller.running == 1


def test_an_unconfirmed_request_fails_at_its_deadline_and_is_not_cancelled(host):
    request = host.receive()
    host.process(ExecutionUnconfirmed(request))
    host.wait(31_000)
    assert host.responses(request) == ["fail"]
    assert not host.decisions("cancel")
    assert not host.controller.stalled


def test_a_stall_ends_if_no_execution_is_left_that_is_known_to_exist(host):
    """Guards against rejecting all requests until an execution ends that does not exist."""
    request = host.receive(ttl=300_000)
    host.wait(100_000)
    assert host.controller.stalled
    host.process(ExecutionUnconfirmed(request))
    assert not host.controller.stalled
    assert not host.responses(host.receive(ttl=300_000))
