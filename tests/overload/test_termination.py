"""Termination of requests: deadlines, rejections and cancellation.

Times are in tenths of a millisecond.
"""

import pytest

from lilacwalk.overload.events import CallRequested, ClientGone, DrainStarted, TimerExpired
from lilacwalk.overload.model import Effect, Outcome, StopMode


def test_a_request_about_to_miss_its_objective_is_rejected_and_its_execution_cancelled(make_host):
    host = make_host(stop_mode=StopMode.DROP)
    request = host.receive()
    host.wait(9_900)
    assert host.responses(request) == ["reject"]
    assert host.decisions("cancel") == [request]


@pytest.mark.parametrize("effect", list(Effect))
def test_each_request_is_answered_once_by_its_deadline(make_host, make_class, effect):
    host = make_host(request_classes=[make_class(effect=effect, late_weight_share=0.2)])
    running, other_running, queued = (
        host.receive(ttl=20_000),
        host.receive(ttl=20_000),
        host.receive(ttl=20_000),
    )
    host.wait(20_000)
    for request in (running, other_running, queued):
        assert len(host.responses(request)) == 1
    if effect is not Effect.IDEMPOTENT:
        assert host.responses(running) == ["fail"]
    host.finish(running, Outcome.CANCELLED)
    assert host.controller.running == 1


def test_a_request_read_just_before_its_deadline_is_rejected_at_once(host):
    assert host.responses(host.receive(ttl=1)) == ["reject"]


def test_no_response_is_sent_after_the_client_has_disconnected(make_host):
    host = make_host(stop_mode=StopMode.DROP)
    running, _, queued = host.receive(), host.receive(), host.receive()
    host.process(ClientGone(running), ClientGone(queued))
    host.wait(29_000)
    assert host.responses(running) == host.responses(queued) == []
    assert host.decisions("cancel")[0] is running


@pytest.mark.parametrize(
    "server_settings",
    [
        {},
        {"cores": 1},
        {"tenants": []},
        {"dependency_call_share": 0.2, "dependency_call_span": 50_000},
        {"max_retry_after": 0},
        {"started_cold": True, "warm_up_time": 100_000, "cold_capacity_share": 0.2},
        {"collapse_multiple": 1.0},
        {"stop_mode": StopMode.PAUSE},
    ],
)
def test_each_request_is_answered_once_in_a_drain_with_unusual_settings_and_a_clock_jump(
    make_host, make_class, server_settings
):
    host = make_host(
        request_classes=[make_class(calls_dependency=True, late_weight_share=0.0)],
        **server_settings,
    )
    requests = [host.receive() for _ in range(12)]
    host.process(DrainStarted(host.now + 60_000))
    for request in host.decisions("dispatch"):
        host.process(CallRequested(request))
    host.now += 25_000
    host.process(TimerExpired(0.0, 0.0))
    host.wait(40_000)
    assert all(len(host.responses(request)) == 1 for request in requests)
