"""Estimates of execution times and the latency ratio.

Times are in tenths of a millisecond.
"""


def test_the_latency_ratio_includes_the_time_before_the_request_was_read(host):
    request = host.receive(arrived_at=host.now - 5_000)
    host.finish(request)
    assert host.controller.parts.latency.ratio_sum >= 0.5


def test_execution_times_measured_in_a_process_pause_are_corrected_and_requests_are_served_again(
    host,
):
    """A pause of the process for a minute makes two executions seem longer than their objective."""
    requests = [host.receive(), host.receive()]
    host.now += 600_000
    for request in requests:
        host.finish(request)
    assert (
        host.controller.mean_execution_time > 2 * host.server.request_classes[0].latency_objective
    )
    served = []
    for _ in range(120):
        host.now += 1_000
        request = host.receive()
        if not request.answered:
            host.now += 200
            host.finish(request)
            served.append(request)
    assert len(served) > 100
    assert host.controller.mean_execution_time < host.server.request_classes[0].latency_objective
