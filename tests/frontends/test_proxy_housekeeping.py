"""Closing of idle, stuck and excess proxy connections."""

import os
import resource
import socket
import threading

import pytest

from lilacwalk.event_queue import EventQueue
from lilacwalk.protocols.proxy_connection import Connection
from lilacwalk.protocols.resp import encode_array
from lilacwalk.server import startup
from tests.conftest import (
    PEER_TIMEOUT_SECONDS,
    SETTINGS,
    control_clock,
    execute_request,
    finish_execution,
    next_dispatched_id,
    request_dependency_call,
    wait_until_processed,
)


@pytest.mark.parametrize("sent", [b"", b"*5\r\n$6\r\nSUB", encode_array(b"PROBE", b"1") + b"*"])
def test_a_connection_that_sent_nothing_or_a_partial_message_is_closed_and_an_idle_proxy_is_not(
    make_harness, sent
):
    harness = make_harness(limits={"message_timeout": 1_000}).start()
    harness.executor, proxy, stuck_proxy = (
        harness.accept_executor_link(),
        harness.connect_proxy(),
        harness.connect_proxy(),
    )
    proxy.send(b"PROBE", b"1")
    assert proxy.receive_response()[:2] == (1, "healthy")
    stuck_proxy.sock.sendall(sent)
    while stuck_proxy.receive_response() is not None:
        pass
    assert execute_request(harness, proxy, 2, 1)[2][:2] == (2, "done")


def test_after_a_stall_a_connection_whose_input_may_be_unread_is_not_closed_as_silent(make_harness):
    """During a stall of the event loop, input may have arrived that has not been read yet."""
    event_loop, _ = startup.build(make_harness().process_config, EventQueue())
    server_socket, peer_socket = socket.socketpair()
    connection = Connection(
        server_socket, "router", event_loop.limits, event_loop.event_queue, event_loop.listener
    )
    event_loop.proxy_frontend.connection_opened(connection)
    due = event_loop.now + event_loop.limits.housekeeping_interval
    event_loop.now += 2 * event_loop.limits.message_timeout
    event_loop.run_housekeeping(due)
    assert not connection.is_shut_down
    event_loop.now += event_loop.limits.housekeeping_interval
    event_loop.run_housekeeping(event_loop.now)
    assert connection.is_shut_down
    assert peer_socket.recv(1) == b""


def test_above_the_high_water_mark_idle_connections_are_closed_before_new_ones(make_harness):
    harness = make_harness(
        limits={"connections": 12, "connection_high_water": 8, "new_connection_age": 600_000}
    ).start()
    harness.executor, idle_proxies = (
        harness.accept_executor_link(),
        [harness.connect_proxy() for _ in range(8)],
    )
    for proxy in idle_proxies:
        proxy.send(b"PROBE", b"1")
        assert proxy.receive_response()[:2] == (1, "healthy")
    new_proxies = [harness.connect_proxy() for _ in range(4)]
    for proxy in idle_proxies[:4]:
        assert proxy.receive_response() is None
    for event_number, proxy in enumerate(new_proxies, 1):
        assert execute_request(harness, proxy, 1, event_number)[2][:2] == (1, "done")


def test_above_the_high_water_mark_connections_without_a_message_are_closed_before_idle_proxies(
    make_harness,
):
    harness = make_harness(
        limits={"connections": 12, "connection_high_water": 8, "new_connection_age": 0}
    ).start()
    harness.executor, proxy = harness.accept_executor_link(), harness.connect_proxy()
    proxy.send(b"PROBE", b"1")
    assert proxy.receive_response()[:2] == (1, "healthy")
    silent_sockets = [
        socket.create_connection(harness.address, PEER_TIMEOUT_SECONDS) for _ in range(40)
    ]
    silent_sockets[0].settimeout(PEER_TIMEOUT_SECONDS)
    assert silent_sockets[0].recv(10) == b""
    assert execute_request(harness, proxy, 2, 1)[2][:2] == (2, "done")


def test_a_proxy_with_a_request_is_served_during_a_flood_of_connections(make_harness):
    harness = make_harness(limits={"connections": 12, "connection_high_water": 8}).start()
    harness.executor = harness.accept_executor_link()
    flooding_sockets = [
        socket.create_connection(harness.address, PEER_TIMEOUT_SECONDS) for _ in range(40)
    ]
    assert execute_request(harness, harness.connect_proxy(), 1, 1)[2][:2] == (1, "done")
    assert len(flooding_sockets) == 40


def test_a_close_request_is_sent_on_an_idle_connection_but_not_on_one_in_use(make_harness):
    harness = make_harness(
        settings={"family_info": SETTINGS["family_info"] | {"caller_idle_ms": 100.0}}
    ).start()
    harness.executor, idle_proxy, active_proxy = (
        harness.accept_executor_link(),
        harness.connect_proxy(),
        harness.connect_proxy(),
    )
    active_proxy.submit(1)
    words, _ = harness.executor.receive("SCHED")
    assert idle_proxy.receive_response()[:2] == (0, "closing")
    harness.executor.send(f"REAP 1 {words[1]} success 1 0", b"")
    assert active_proxy.receive_response()[:2] == (1, "done")


@pytest.fixture
def harness_with_idle_proxies(make_harness):
    """A server with two idle proxies that have not closed their connections as requested.

    `pass_close_timeout` advances the clock until the time for closing has passed.
    """
    family_info = SETTINGS["family_info"] | {"caller_idle_ms": 1000.0}
    limits = {
        "close_request_timeout": 10_000,
        "half_close_linger": 100_000,
        "message_timeout": 100_000,
    }
    harness = make_harness(settings={"family_info": family_info}, limits=limits).start()
    harness.executor, harness.idle_proxies = (
        harness.accept_executor_link(),
        [harness.connect_proxy() for _ in range(2)],
    )
    for proxy in harness.idle_proxies:
        wait_until_processed(proxy)
    advance = control_clock(harness)
    advance(1.5)
    for proxy in harness.idle_proxies:
        assert proxy.receive_response()[:2] == (0, "closing")
    harness.pass_close_timeout = lambda: advance(1.5)
    return harness


def test_a_request_that_is_read_and_not_processed_keeps_its_idle_connection_open_and_is_answered(
    harness_with_idle_proxies, monkeypatch
):
    event_queue = harness_with_idle_proxies.event_loop.event_queue
    request_read, announcement_allowed, announce = (
        threading.Event(),
        threading.Event(),
        event_queue.announce_input,
    )

    def blocked_announce(connection):
        request_read.set()
        assert announcement_allowed.wait(PEER_TIMEOUT_SECONDS)
        announce(connection)

    monkeypatch.setattr(event_queue, "announce_input", blocked_announce)
    sender, other_proxy = harness_with_idle_proxies.idle_proxies
    sender.submit(1)
    assert request_read.wait(PEER_TIMEOUT_SECONDS)
    harness_with_idle_proxies.pass_close_timeout()
    # The server has closed this connection, so housekeeping has checked both.
    assert other_proxy.receive_response() is None
    announcement_allowed.set()
    finish_execution(harness_with_idle_proxies, 1, next_dispatched_id(harness_with_idle_proxies))
    assert sender.receive_response()[:2] == (1, "done")


def test_a_partial_request_keeps_its_idle_connection_open_until_it_is_complete(
    harness_with_idle_proxies,
):
    sender, other_proxy = harness_with_idle_proxies.idle_proxies
    request = sender.encode_submit(2)
    sender.sock.sendall(encode_array(b"PROBE", b"1") + request[:-40])
    # A response to the probe shows that the partial request has been read as well.
    assert sender.receive_response()[:2] == (1, "healthy")
    harness_with_idle_proxies.pass_close_timeout()
    # The server has closed this connection, so housekeeping has checked both.
    assert other_proxy.receive_response() is None
    sender.sock.sendall(request[-40:])
    finish_execution(harness_with_idle_proxies, 1, next_dispatched_id(harness_with_idle_proxies))
    assert sender.receive_response()[:2] == (2, "done")


def test_a_request_that_crosses_the_half_close_is_not_executed_and_causes_no_reset(
    harness_with_idle_proxies,
):
    """If the server closed the socket with the request unread, the connection would be reset."""
    sender, other_proxy = harness_with_idle_proxies.idle_proxies
    harness_with_idle_proxies.pass_close_timeout()
    assert sender.receive_response() is None
    assert other_proxy.receive_response() is None
    sender.submit(1)
    sender.sock.shutdown(socket.SHUT_WR)
    assert sender.sock.recv(1) == b""
    assert sender.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0
    new_proxy = harness_with_idle_proxies.connect_proxy()
    new_proxy.submit(1, i="00000000000000ee")
    assert next_dispatched_id(harness_with_idle_proxies) == "00000000000000ee"


def test_unread_bytes_keep_an_idle_connection_open(make_harness):
    event_loop, _ = startup.build(make_harness().process_config, EventQueue())
    server_socket, peer_socket = socket.socketpair()
    # The reader thread of this connection is not started, so the bytes stay unread.
    connection = Connection(
        server_socket, "router", event_loop.limits, event_loop.event_queue, event_loop.listener
    )
    event_loop.proxy_frontend.connection_opened(connection)
    connection.has_sent_valid_message, connection.close_requested_at = True, event_loop.now
    peer_socket.sendall(b"*")
    for _ in range(3):
        event_loop.now += 2 * event_loop.limits.close_request_timeout
        event_loop.proxy_frontend.tick(event_loop.now, False)
        assert not connection.is_shut_down
    server_socket.recv(1)
    event_loop.proxy_frontend.tick(event_loop.now, False)
    assert connection.is_shut_down
    assert peer_socket.recv(1) == b""


def test_a_connection_with_an_unsent_response_is_not_closed_to_make_room(make_harness):
    event_loop, _ = startup.build(
        make_harness().process_config, EventQueue(), connection_high_water=1
    )
    pairs = [socket.socketpair() for _ in range(2)]
    unflushed, silent = (
        Connection(
            server_socket, "router", event_loop.limits, event_loop.event_queue, event_loop.listener
        )
        for server_socket, _ in pairs
    )
    event_loop.proxy_frontend.connection_opened(unflushed)
    unflushed.has_sent_valid_message = True
    event_loop.now += 20 * event_loop.limits.message_timeout  # `unflushed` has been idle longest
    event_loop.proxy_frontend.reply(unflushed, 1, b"error")
    event_loop.proxy_frontend.connection_opened(silent)  # exceeds the high-water mark
    assert not unflushed.is_shut_down
    unflushed.send_buffer.flush()
    assert b"error" in pairs[0][1].recv(100)


def test_a_partial_message_does_not_end_a_connection_with_a_request_in_flight(make_harness):
    harness = make_harness(limits={"message_timeout": 1_000}).start()
    harness.executor, proxy = harness.accept_executor_link(), harness.connect_proxy()
    proxy.submit(1)
    running_id = next_dispatched_id(harness)
    control_clock(harness)(5.0)
    encoded_request = proxy.encode_submit(2)
    proxy.sock.sendall(encoded_request[:20])
    silent_proxy = harness.connect_proxy()
    # `silent_proxy` connected after the partial message was sent; its end shows that the message
    # timeout has expired for both.
    assert silent_proxy.receive_response() is None
    finish_execution(harness, 1, running_id)
    assert proxy.receive_response()[:2] == (1, "done")
    proxy.sock.sendall(encoded_request[20:])
    finish_execution(harness, 2, next_dispatched_id(harness))
    assert proxy.receive_response()[:2] == (2, "done")


def test_new_proxies_are_served_when_idle_proxies_use_up_the_descriptors(make_harness):
    harness = make_harness(limits={"sockets": 256, "memory_mb": 192})
    harness.process_config["limits"], harness.limits = harness.limits, {}
    harness.registry.close()
    harness.spawn()
    harness.executor, first_proxy = harness.accept_executor_link(), harness.connect_proxy()
    resource.prlimit(harness.process.pid, resource.RLIMIT_NOFILE, (256, 256))
    first_proxy.submit(1)
    long_request_id = next_dispatched_id(harness)
    idle_proxies = []
    for _ in range(300):  # over the descriptor limit; each sends a valid message
        idle_proxies.append(harness.connect_proxy())
        idle_proxies[-1].sock.sendall(encode_array(b"PROBE", b"1"))
    for number in range(2, 12):
        new_proxy = harness.connect_proxy()
        new_proxy.submit(1, "look")
        request_id = next_dispatched_id(harness)
        dependency = request_dependency_call(harness, 2 * number, request_id)
        dependency.send(f"{request_id} HIT 1", b"!")
        finish_execution(harness, 2 * number + 1, request_id)
        assert new_proxy.receive_response()[:2] == (1, "done")
        dependency.sock.close()
    finish_execution(harness, 99, long_request_id)
    # A connection in use is never closed to make room.
    assert first_proxy.receive_response()[:2] == (1, "done")
    open_descriptors = len(os.listdir(f"/proc/{harness.process.pid}/fd"))
    assert open_descriptors < 256
    assert len(idle_proxies) == 300
