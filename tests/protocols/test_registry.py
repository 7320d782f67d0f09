"""Health reports to the service registry."""

import socket

from tests.conftest import PEER_TIMEOUT_SECONDS, finish_execution, next_dispatched_id


def test_reports_continue_during_a_drain_with_the_status_critical(make_harness):
    harness = make_harness(limits={"report_interval": 200}).start()
    harness.accept_executor_link()
    assert [harness.registry.recv(100) for _ in range(2)] == [b"alive n1 passing"] * 2
    harness.event_loop.event_queue.post(harness.event_loop.drain.start)
    while harness.registry.recv(100) != b"alive n1 critical":
        pass


def test_a_registry_that_was_down_receives_the_next_report(
    make_harness,
):
    harness = make_harness()
    address = harness.registry.getsockname()
    harness.registry.close()
    harness.start()
    harness.executor, proxy = harness.accept_executor_link(), harness.connect_proxy()
    for number in range(1, 4):  # requests do not wait for the registry
        proxy.submit(number)
        finish_execution(harness, number, next_dispatched_id(harness))
        assert proxy.receive_response()[:2] == (number, "done")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as registry:
        registry.bind(address)
        registry.settimeout(PEER_TIMEOUT_SECONDS)
        assert registry.recv(100) == b"alive n1 passing"
