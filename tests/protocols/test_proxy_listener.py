"""The listener for proxies: its limit of connections and its backlog."""

import threading

from lilacwalk.event_queue import EventQueue
from lilacwalk.protocols.proxy_listener import ProxyListener
from lilacwalk.server import startup
from tests.conftest import PEER_TIMEOUT_SECONDS, ProxyClient, finish_execution, next_dispatched_id


def test_requests_on_connections_in_the_backlog_of_a_closing_listener_are_answered(make_harness):
    harness = make_harness(
        stop_ms=60_000, limits={"connections": 1, "connection_high_water": 1}
    ).start()
    harness.executor, first_proxy = harness.accept_executor_link(), harness.connect_proxy()
    first_proxy.submit(1)
    running_id = next_dispatched_id(harness)
    # These connections stay in the listen backlog, as the server has no free connection slot.
    waiting_proxies = [harness.connect_proxy() for _ in range(4)]
    for proxy in waiting_proxies:
        proxy.submit(1)
    harness.event_loop.event_queue.post(harness.event_loop.drain.start)
    # The close request is sent after the listener is closed.
    assert first_proxy.receive_response()[:2] == (0, "closing")
    finish_execution(harness, 1, running_id)
    assert first_proxy.receive_response()[:2] == (1, "done")
    first_proxy.sock.close()
    for number, proxy in enumerate(waiting_proxies, 2):
        assert proxy.receive_response()[:2] == (0, "closing")
        # The request is executed since it arrived within the drain grace period.
        finish_execution(harness, number, next_dispatched_id(harness))
        assert proxy.receive_response()[:2] == (1, "done")
        proxy.sock.close()
    harness.thread.join(PEER_TIMEOUT_SECONDS)
    assert harness.event_loop.has_ended


def test_a_request_on_a_connection_accepted_as_the_listener_closes_is_answered(
    make_harness, monkeypatch
):
    """The listener may accept a connection just before the event loop starts to drain."""
    connection_opened, open_connection = threading.Event(), ProxyListener._open_connection
    monkeypatch.setattr(
        ProxyListener,
        "_open_connection",
        lambda *arguments: (open_connection(*arguments), connection_opened.set()),
    )
    event_loop, (listener, _) = startup.build(
        make_harness(stop_ms=60_000).process_config, EventQueue()
    )
    listener.start()
    proxy = ProxyClient(listener.address)
    proxy.submit(1)
    # The listener has posted the connection; the event loop has not processed it yet.
    assert connection_opened.wait(PEER_TIMEOUT_SECONDS)
    event_loop.drain.start()
    event_loop.drain.close_listeners()
    event_loop.run()
    assert proxy.receive_response()[:2] == (0, "closing")
    assert proxy.receive_response()[:2] == (1, "later")
    assert proxy.receive_response() is None
