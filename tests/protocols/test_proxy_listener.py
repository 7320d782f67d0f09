"""The listener for proxies: its limit of connections and its backlog."""

import threading

from lilacwalk.event_queue import EventQueue
from lilacwalk.protocols.proxy_listener import ProxyListener
from lilacwalk.server import startup
from tests.conftest import PEER_TIMEOUT_SECONDS, ProxyClient, finish_execution, next_dispatched


def test_requests_in_the_backlog_of_a_closing_listener_are_answered(make_site):
    site = make_site(stop_ms=60_000, limits={"connections": 1, "connection_high_water": 1}).start()
    site.kernel, first = site.link(), site.router()
    first.submit(1)
    running = next_dispatched(site)
    # These connections stay in the listen backlog, as the server has no free connection slot.
    waiting_proxies = [site.router() for _ in range(4)]
    for each in waiting_proxies:
        each.submit(1)
    site.event_loop.event_queue.post(site.event_loop.drain.start)
    assert first.receive_response()[:2] == (
        0,
        "closing",
    )  # the close request is sent after the listener is closed
    finish_execution(site, 1, running)
    assert first.receive_response()[:2] == (1, "done")
    first.sock.close()
    for number, each in enumerate(waiting_proxies, 2):
        assert each.receive_response()[:2] == (0, "closing")
        # The request is executed since it arrived within the drain grace period.
        finish_execution(site, number, next_dispatched(site))
        assert each.receive_response()[:2] == (1, "done")
        each.sock.close()
    site.thread.join(PEER_TIMEOUT_SECONDS)
    assert site.event_loop.has_ended


def test_a_connection_accepted_as_the_listener_closes_is_answered_before_the_end(
    make_site, monkeypatch
):
    """The listener may accept a connection just before the event loop starts to drain."""
    opened, open_connection = threading.Event(), ProxyListener._open_connection
    monkeypatch.setattr(
        ProxyListener,
        "_open_connection",
        lambda *arguments: (open_connection(*arguments), opened.set()),
    )
    event_loop, (listener, _) = startup.build(make_site(stop_ms=60_000).handed, EventQueue())
    listener.start()
    proxy = ProxyClient(listener.address)
    proxy.submit(1)
    assert opened.wait(PEER_TIMEOUT_SECONDS)  # the event loop has not processed the event yet
    event_loop.drain.start()
    event_loop.drain.close_listeners()
    event_loop.run()
    assert proxy.receive_response()[:2] == (0, "closing")
    assert proxy.receive_response()[:2] == (1, "later")
    assert proxy.receive_response() is None
