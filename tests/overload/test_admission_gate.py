"""Rejection of requests on arrival.

Times are in tenths of a millisecond.
"""

from lilacwalk.overload.events import DrainStarted


def test_a_request_that_cannot_finish_in_time_is_rejected_on_arrival(host):
    host.controller.parts.latency.execution_times = {host.server.request_classes[0]: 9_000}
    host.controller.parts.latency.mean_execution_time = 9_000
    for _ in range(3):
        host.receive()
    infeasible = host.receive()
    assert host.responses(infeasible) == ["reject"]


def test_a_rejection_forbids_retries_elsewhere_under_shortage_or_of_a_retry_but_not_in_a_drain(
    host,
):
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


def test_the_grace_of_a_drain_counts_from_the_stop_signal(make_host):
    """Guards against an execution after the grace if the signal was handled late."""
    host = make_host(drain_grace_period=1_000)
    host.process(DrainStarted(host.now + 50_000, notified_at=host.now - 400))
    host.now += 600
    in_time = host.receive()
    host.now += 1
    late = host.receive()
    assert host.decisions("dispatch") == [in_time]
    assert host.decisions("reject") == [late]
