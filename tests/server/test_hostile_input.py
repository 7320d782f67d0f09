"""What clients send that flood the server delays neither the platform nor other clients."""

import select

import pytest

from lilacwalk.server import startup
from tests.conftest import PEER_TIMEOUT_SECONDS, ObservedEventQueue, ProxyClient

FLOODING_CLIENTS = 30


@pytest.fixture
def event_loop(make_harness):
    """An event loop that the test runs step by step; its listener accepts connections."""
    event_loop, components = startup.build(make_harness().process_config, ObservedEventQueue())
    event_loop.listener.start()
    yield event_loop
    for each in components:
        each.close()


def wait_for_items(event_loop, count):
    """Waits until this number of items has been queued since the last call."""
    for _ in range(count):
        assert event_loop.event_queue.added_items.acquire(timeout=PEER_TIMEOUT_SECONDS)


def connection_of(event_loop, client):
    peer = "{}:{}".format(*client.sock.getsockname())
    return next((each for each in event_loop.proxy_frontend.connections if each.peer == peer), None)


# Guards against requests without an answer at the stop of a drain: what a proxy sent waited behind
# all that hundreds of malformed requests had filled the event queue with (review/7).
@pytest.mark.parametrize("class_name", ["no-such-class", "read"])
def test_a_request_does_not_wait_for_the_backlog_of_clients_that_flood(event_loop, class_name):
    clients = [ProxyClient(event_loop.listener.address) for _ in range(FLOODING_CLIENTS)]
    for client in clients:
        client.sock.sendall(
            b"".join(client.encode_submit(tag, class_name) for tag in range(1, 200))
        )
    # Three items for each client: its connection and two chunks; the others are not read yet.
    wait_for_items(event_loop, 3 * FLOODING_CLIENTS)
    proxy = ProxyClient(event_loop.listener.address)
    proxy.submit(1)
    wait_for_items(event_loop, 2)
    count_before = sum(each.message_count for each in event_loop.proxy_frontend.connections)
    iterations = 0
    while (connection := connection_of(event_loop, proxy)) is None or not connection.message_count:
        event_loop.run_iteration()
        iterations += 1
        assert iterations <= 4
    assert proxy.receive_response()[:2] == (1, "later")  # there is no executor
    count = sum(each.message_count for each in event_loop.proxy_frontend.connections)
    assert count - count_before <= 4 * (16 * 8 + 64)
    for client in clients:
        client.sock.close()


# Guards against a queue filled by clients that have left: each left up to two chunks and a
# connection behind, which were processed before what other clients had sent (review/7).
def test_the_rest_of_the_input_of_a_client_that_was_refused_and_left_is_discarded(event_loop):
    client = ProxyClient(event_loop.listener.address)
    client.sock.sendall(
        b"".join(client.encode_submit(tag, "no-such-class") for tag in range(1, 200))
    )
    while not (connection := connection_of(event_loop, client)):
        event_loop.run_iteration()
    while not connection.is_suspect:
        event_loop.run_iteration()
    assert client.receive_response()[:2] == (1, "error")
    client.sock.close()
    hang_up = select.poll()
    hang_up.register(connection.sock, select.POLLRDHUP)
    assert hang_up.poll(PEER_TIMEOUT_SECONDS * 1000)
    count = connection.message_count
    while connection in event_loop.proxy_frontend.connections:
        event_loop.run_iteration()
    assert connection.message_count == count < 199
    assert not connection.has_unprocessed_input


# Guards against a late drain: the stop signal waited behind the items that were queued before it,
# and all times of the drain counted from when it was handled (review/7).
def test_a_stop_signal_is_handled_before_queued_items_and_its_times_count_from_it(event_loop):
    handled = []
    for number in range(1_000):
        event_loop.event_queue.post(handled.append, number)
    notified_at = event_loop.now - 3_000
    event_loop.event_queue.post_urgent(event_loop.drain.start, notified_at)
    event_loop.run_iteration()
    assert event_loop.drain.stop_at == notified_at + event_loop.limits.stop_timeout
    assert len(handled) <= event_loop.limits.max_events_per_iteration


def test_a_stop_signal_wakes_an_event_loop_that_waits(event_loop):
    event_loop.schedule(event_loop.now + 600_000, event_loop.run_housekeeping, 0)
    event_loop.event_queue.post_urgent(setattr, event_loop, "has_ended", True)
    event_loop.run_iteration()
    assert event_loop.has_ended
