"""Calls to the dependency: connections, failures, malformed replies."""

import socket
import time

import pytest

from lilacwalk.event_queue import EventQueue
from lilacwalk.limits import Limits
from lilacwalk.overload.model import Outcome
from lilacwalk.protocols.dependency_client import DependencyClient
from lilacwalk.protocols.dependency_connection import DependencyCall
from tests.conftest import (
    PEER_TIMEOUT_SECONDS,
    SETTINGS,
    finish_execution,
    next_dispatched_id,
    request_dependency_call,
    submit_until_dependency_call,
)


@pytest.mark.parametrize("reply", ["SHED", "NOBODY", "BROKEN", "SLOW"])
def test_a_failed_call_of_an_idempotent_request_is_retried(harness, reply):
    proxy = harness.connect_proxy()
    request_id = submit_until_dependency_call(harness, proxy, 1, 1)
    dependency = harness.accept_dependency_connection()
    dependency.receive("GET")
    dependency.send(f"{request_id} {reply}")
    retry_connection = harness.accept_dependency_connection()
    assert retry_connection.receive("GET")[1] == b"?"
    retry_connection.send(f"{request_id} HIT 1", b"!")
    assert harness.executor.receive("IODONE")[1] == b"!"


def test_a_call_of_an_idempotent_request_is_retried_after_its_connection_is_reset(harness):
    proxy = harness.connect_proxy()
    request_id = submit_until_dependency_call(harness, proxy, 1, 1)
    dependency = harness.accept_dependency_connection()
    dependency.receive("GET")
    dependency.reset()
    retry_connection = harness.accept_dependency_connection()
    retry_connection.receive("GET")
    retry_connection.send(f"{request_id} HIT 1", b"!")
    assert harness.executor.receive("IODONE")[1] == b"!"


def test_a_call_that_takes_too_long_is_abandoned_and_its_request_answered(harness):
    proxy = harness.connect_proxy()
    proxy.submit(1, "look", d=2000)
    request_id = harness.executor.receive("SCHED")[0][1]
    harness.executor.send(f"IOREQ 1 {request_id} 1", b"?")
    dependency = harness.accept_dependency_connection()
    assert dependency.receive("GET")
    assert dependency.receive_message() is None
    assert proxy.receive_response()[0] == 1


def test_an_idle_connection_is_closed_and_the_next_call_opens_a_new_one(make_harness):
    harness = make_harness(limits={"dependency_idle_timeout": 500}).start()
    harness.executor, proxy = harness.accept_executor_link(), harness.connect_proxy()
    for tag in (1, 2):
        request_id = submit_until_dependency_call(harness, proxy, tag, 2 * tag - 1)
        dependency = harness.accept_dependency_connection()
        dependency.receive("GET")
        dependency.send(f"{request_id} HIT 1", b"!")
        harness.executor.receive("IODONE")
        harness.executor.send(f"REAP {2 * tag} {request_id} success 1 0", b"")
        assert proxy.receive_response()[:2] == (tag, "done")
        assert dependency.receive_message() is None


def make_client(address):
    """Returns a client without a server, and the queue that it posts to."""
    event_queue = EventQueue()
    client = DependencyClient(
        address, Limits.from_configuration({"settings": SETTINGS}), event_queue
    )
    client.on_call_finished = "call_finished"  # never called: tests read what is posted
    return client, event_queue


def test_an_unreachable_dependency_is_reported_at_once_and_reconnects_are_delayed():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = listener.getsockname()
    client, event_queue = make_client(address)
    first, second = DependencyCall("a", 100, b""), DependencyCall("b", 100, b"")
    client.start_call(first)
    connection, *result = event_queue.get(timeout=PEER_TIMEOUT_SECONDS).arguments
    assert result == [first, Outcome.UNREACHABLE, b""]
    client.call_finished(connection, 0)
    started_at = time.monotonic()
    client.start_call(second)
    assert event_queue.get(timeout=PEER_TIMEOUT_SECONDS).arguments[1:] == (
        second,
        Outcome.UNREACHABLE,
        b"",
    )
    # The second connect is delayed, since the controller retries as soon as a call has failed.
    assert time.monotonic() - started_at > 0.005
    assert client.abandon(second)
    client.close()


def test_abandon_returns_true_only_for_a_call_that_was_not_sent():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client, event_queue = make_client(listener.getsockname())
        unsent, sent = DependencyCall("a", 100, b""), DependencyCall("b", 100, b"")
        assert client.abandon(unsent)
        client.start_call(unsent)
        connection, *result = event_queue.get(timeout=PEER_TIMEOUT_SECONDS).arguments
        assert result == [unsent, Outcome.UNREACHABLE, b""]
        client.call_finished(connection, 0)
        client.start_call(sent)
        listener.settimeout(PEER_TIMEOUT_SECONDS)
        sock, _ = listener.accept()
        assert sock.recv(100).startswith(b"GET b ")
        assert not client.abandon(sent)
        assert sock.recv(100) == b""
        assert event_queue.get(timeout=PEER_TIMEOUT_SECONDS).arguments[1:] == (
            sent,
            Outcome.CONNECTION_LOST,
            b"",
        )
        client.close()


def test_an_at_most_once_call_is_sent_on_a_new_connection():
    """If an idle connection breaks, it is unknown whether the peer has received the call."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client, event_queue = make_client(listener.getsockname())
        listener.settimeout(PEER_TIMEOUT_SECONDS)
        dependency_sockets = []
        for request_id, at_most_once in (("a", False), ("b", False), ("c", True)):
            client.start_call(DependencyCall(request_id, 100, b"", at_most_once))
            if request_id != "b":
                dependency_sockets.append(listener.accept()[0])
            assert dependency_sockets[-1].recv(100).startswith(b"GET %b " % request_id.encode())
            dependency_sockets[-1].sendall(b"%b SHED\r\n" % request_id.encode())
            connection, call, outcome, _ = event_queue.get(timeout=PEER_TIMEOUT_SECONDS).arguments
            assert outcome is Outcome.REJECTED
            client.call_finished(connection, 0)
        client.close()


@pytest.mark.parametrize(
    "malformed",
    [
        b"\xff\xfe\0\r\n",
        b"x" * 600,
        b"%b HIT 3\r\nabcdef\r\n",
        b"%b HIT 3000000000\r\n",
        b"%b HIT 1 1\r\n!\r\n",
        b"%b HIT -1\r\n",
        b"%b HIT \xc2\xb2\r\n",
        b"%b HIT\r\n",
        b"%b SHED now\r\n",
        b"%b WELL\r\n",
    ],
)
def test_a_malformed_reply_fails_only_its_call_which_is_retried(harness, malformed):
    proxy = harness.connect_proxy()
    affected_id, other_id = (
        submit_until_dependency_call(harness, proxy, 1, 1),
        submit_until_dependency_call(harness, proxy, 2, 2),
    )
    connections = {}
    for _ in range(2):
        connection = harness.accept_dependency_connection()
        connections[connection.receive("GET")[0][1]] = connection
    connections[affected_id].sock.sendall(malformed.replace(b"%b", affected_id.encode()))
    retry_connection = harness.accept_dependency_connection()
    assert retry_connection.receive("GET")[0][1] == affected_id
    assert connections[affected_id].receive_message() is None
    for connection, request_id in (
        (connections[other_id], other_id),
        (retry_connection, affected_id),
    ):
        connection.send(f"{request_id} HIT 1", b"!")
        assert harness.executor.receive("IODONE") == (["IODONE", request_id, "1"], b"!")


def test_replies_to_other_requests_and_duplicate_replies_are_ignored(harness):
    proxy = harness.connect_proxy()
    request_id = submit_until_dependency_call(harness, proxy, 1, 1)
    dependency = harness.accept_dependency_connection()
    dependency.receive("GET")
    dependency.send("00000000000000ee HIT 1", b"0")
    dependency.send(f"{request_id} HIT 1", b"1")
    dependency.send(f"{request_id} HIT 1", b"1")  # a duplicate reply
    assert harness.executor.receive("IODONE")[1] == b"1"
    # The duplicate reply to the first call must not be taken for the reply to this one.
    harness.executor.send(f"IOREQ 2 {request_id} 1", b"?")
    new_connection = harness.accept_dependency_connection()
    new_connection.receive("GET")
    new_connection.send(f"{request_id} HIT 1", b"2")
    assert harness.executor.receive("IODONE")[1] == b"2"


def test_a_call_after_the_dependency_closed_the_idle_connection_is_made_on_a_new_one(harness):
    proxy = harness.connect_proxy()
    for tag in (1, 2):
        request_id = submit_until_dependency_call(harness, proxy, tag, tag)
        dependency = harness.accept_dependency_connection()
        dependency.receive("GET")
        dependency.send(f"{request_id} HIT 1", b"!")
        assert harness.executor.receive("IODONE")[0][1] == request_id
        dependency.sock.close()


def test_an_unanswered_connect_delays_no_other_request_and_its_call_is_made_once(make_harness):
    with socket.socket() as full_listener:
        full_listener.bind(("127.0.0.1", 0))
        full_listener.listen(0)
        # Fills the backlog of a listener that does not accept, so that the operating system leaves
        # further connects unanswered.
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(full_listener.getsockname())
        harness = make_harness(index="{}:{}".format(*full_listener.getsockname())).start()
        harness.executor, proxy = harness.accept_executor_link(), harness.connect_proxy()
        request_id = submit_until_dependency_call(harness, proxy, 1, 1)
        for number in range(2, 6):
            proxy.submit(number)
            finish_execution(harness, number, next_dispatched_id(harness))
            assert proxy.receive_response()[:2] == (number, "done")
        full_listener.settimeout(PEER_TIMEOUT_SECONDS)
        call_socket, filler_addresses = None, [filler.getsockname() for filler in fillers]
        while call_socket is None:
            sock, peer = full_listener.accept()
            if peer not in filler_addresses:
                call_socket = sock
        call_socket.settimeout(PEER_TIMEOUT_SECONDS)
        assert call_socket.recv(100).startswith(f"GET {request_id} ".encode())
        call_socket.sendall(f"{request_id} HIT 1\r\n!\r\n".encode())
        assert harness.executor.receive("IODONE")[1] == b"!"
        finish_execution(harness, 6, request_id)
        assert proxy.receive_response()[:2] == (1, "done")
        for sock in (*fillers, call_socket):
            sock.close()


@pytest.mark.parametrize("duplicate_reply", [b"HIT 5\r\nolder\r\n", b"SLOW\r\n", b"BROKEN\r\n"])
def test_a_duplicate_reply_is_not_taken_for_the_reply_to_the_next_call(harness, duplicate_reply):
    """Both calls carry the id of the same request, so their replies cannot be distinguished."""
    proxy = harness.connect_proxy()
    proxy.submit(1, "look")
    request_id = next_dispatched_id(harness)
    first_connection = request_dependency_call(harness, 1, request_id, b"1")
    first_connection.send(f"{request_id} HIT 1", b"a")
    assert harness.executor.receive("IODONE")[1] == b"a"
    # A duplicate reply arrives just before the next call is made.
    first_connection.sock.sendall(f"{request_id} ".encode() + duplicate_reply)
    next_connection = request_dependency_call(harness, 2, request_id, b"2")
    next_connection.send(f"{request_id} HIT 1", b"b")
    assert harness.executor.receive("IODONE")[1] == b"b"
    finish_execution(harness, 3, request_id)
    assert proxy.receive_response()[:2] == (1, "done")
