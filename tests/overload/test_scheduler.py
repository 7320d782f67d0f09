"""Dispatch of queued requests.

Times are in tenths of a millisecond.
"""

from lilacwalk.overload.events import DrainStarted


def test_an_idle_server_dispatches_requests_at_once(host):
    requests = [host.receive(), host.receive()]
    assert host.decisions("dispatch") == requests
    assert host.controller.admission_probability == 1


def test_a_drain_rejects_requests_after_its_grace_period_and_answers_all_before_its_end(host):
    host.process(DrainStarted(host.now + 40_000))
    within_grace_period = host.receive()
    host.wait(10_500)
    after_grace_period = host.receive()
    assert within_grace_period.was_dispatched
    assert host.responses(after_grace_period) == ["reject"]
    host.wait(28_900)
    assert not host.controller.open_requests or all(
        request.answered for request in host.controller.open_requests
    )
