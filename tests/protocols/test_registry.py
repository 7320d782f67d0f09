"""Health reports to the service registry."""

import socket

from tests.conftest import PEER_TIMEOUT_SECONDS, finish_execution, next_dispatched


def test_reports_continue_during_a_drain_with_the_status_critical(make_site):
    site = make_site(limits={"report_interval": 200}).start()
    site.link()
    assert [site.catalog.recv(100) for _ in range(2)] == [b"alive n1 passing"] * 2
    site.event_loop.event_queue.post(site.event_loop.drain.start)
    while site.catalog.recv(100) != b"alive n1 critical":
        pass


def test_a_registry_that_was_down_receives_the_next_report(
    make_site,
):
    site = make_site()
    address = site.catalog.getsockname()
    site.catalog.close()
    site.start()
    site.kernel, proxy = site.link(), site.router()
    for number in range(1, 4):  # requests do not wait for the registry
        proxy.submit(number)
        finish_execution(site, number, next_dispatched(site))
        assert proxy.receive_response()[:2] == (number, "done")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as registry:
        registry.bind(address)
        registry.settimeout(PEER_TIMEOUT_SECONDS)
        assert registry.recv(100) == b"alive n1 passing"
