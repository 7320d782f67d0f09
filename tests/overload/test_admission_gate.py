"""Rejection of requests on arrival."""

from lilacwalk.overload.events import DrainStarted


def test_a_request_that_cannot_finish_in_time_is_rejected_on_arrival(host):
    host.controller.parts.latency.execution_times = {host.server.request_classes[0]: 9_000}
    host.controller.parts.latency.mean_execution_time = 9_000
    for _ in range(3):
        host.receive()
    last = host.receive()
    assert host.responses(last) == ["reject"]


def test_retries_elsewhere_are_forbidden_under_shortage_and_for_retries(host):
    admission = host.controller.parts.admission
    admission.admission_probability = 0.0
    assert host.do_not_retry_elsewhere[host.receive()] is True
    admission.admission_probability = 0.95  # no shortage: rejected at random only
    admission.random_source.random = lambda: 0.99
    assert host.do_not_retry_elsewhere[host.receive()] is False
    assert host.do_not_retry_elsewhere[host.receive(is_retry=True)] is True
    host.process(DrainStarted(host.now + 50_000))
    assert host.do_not_retry_elsewhere[host.receive(is_retry=True)] is False


def test_memory_is_never_overcommitted(make_host):
    host = make_host(memory_kb=500.0, cores=8)
    for _ in range(40):
        host.receive(memory_kb=20.0)
        assert host.controller.memory_kb <= 500
    assert host.decisions("reject")
    assert len(host.decisions("dispatch")) >= 4
