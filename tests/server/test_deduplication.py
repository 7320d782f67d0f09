"""Duplicates of a request are recognized and never executed twice."""

import time

import pytest

from lilacwalk.protocols.resp import encode_array
from tests.conftest import (
    SETTINGS,
    execute_request,
    finish_execution,
    next_dispatched_id,
    wait_until_processed,
)


def test_a_duplicate_with_the_same_key_gets_the_result_of_a_running_or_finished_original(harness):
    proxy = harness.connect_proxy()
    proxy.submit(1, "once", k="order-1")
    request_id = harness.executor.receive("SCHED")[0][1]
    proxy.submit(2, "once", k="order-1")
    proxy.send(b"PROBE", b"3")
    assert proxy.receive_response()[0] == 3  # the duplicate has been read
    harness.executor.send(f"REAP 1 {request_id} success 1 3", b"one")
    assert sorted(proxy.receive_response()[::3] for _ in range(2)) == [(1, b"one"), (2, b"one")]
    proxy.submit(4, "once", k="order-1")
    assert proxy.receive_response()[::3] == (4, b"one")
    assert execute_request(harness, proxy, 5, 2, b"two", class_name="once", k="order-2")[2][
        ::3
    ] == (
        5,
        b"two",
    )


def test_a_fresh_result_of_an_idempotent_request_answers_requests_for_the_same_subject(
    make_harness,
):
    fresh_for_60_s = {"family_info": SETTINGS["family_info"] | {"fresh_ms": 60_000.0}}
    harness = make_harness(settings=fresh_for_60_s).start()
    harness.executor, proxy = harness.accept_executor_link(), harness.connect_proxy()
    assert execute_request(harness, proxy, 1, 1, b"one", o="subject")[2][3] == b"one"
    proxy.submit(2, o="subject")
    assert proxy.receive_response()[::3] == (2, b"one")
    assert execute_request(harness, proxy, 3, 2, b"two", o="other")[2][3] == b"two"


ONE_CORE = {
    "family_info": SETTINGS["family_info"] | {"cpus": 1},
    "rules": SETTINGS["rules"] | {"tip_multiple": 2.0},
}


def execute_with_key(harness):
    """Executes a request with the key k1; returns its arrival time in milliseconds."""
    proxy, arrived_at = harness.connect_proxy(), int(time.time() * 1000)
    proxy.submit(1, "once", k="k1", s=arrived_at)
    finish_execution(harness, 1, next_dispatched_id(harness))
    assert proxy.receive_response()[1] == "done"
    return arrived_at


def test_a_request_and_its_duplicate_in_one_read_are_executed_once(harness):
    proxy = harness.connect_proxy()
    proxy.sock.sendall(
        proxy.encode_submit(1, "once", k="k1") + proxy.encode_submit(2, "once", k="k1")
    )
    finish_execution(harness, 1, next_dispatched_id(harness))
    assert sorted(proxy.receive_response()[0:4:3] for _ in range(2)) == [
        (1, b"result"),
        (2, b"result"),
    ]
    proxy.submit(3)
    # The next dispatch is that of request 3: the duplicate was not dispatched.
    finish_execution(harness, 2, next_dispatched_id(harness), b"other")
    assert proxy.receive_response()[0:4:3] == (3, b"other")


def test_duplicates_are_executed_once_if_the_original_is_withdrawn_in_the_same_read(make_harness):
    """Guards against two executions when a duplicate is read together with the withdrawal.

    The withdrawal must not release the key, since an earlier duplicate with this key is queued.
    """
    harness = make_harness(settings=ONE_CORE).start()
    harness.executor, proxy = harness.accept_executor_link(), harness.connect_proxy()
    proxy.submit(1)
    running_id = next_dispatched_id(harness)
    for tag in (2, 3):
        proxy.submit(tag, "once", k="k1")
        wait_until_processed(proxy)  # the request is queued, as the only core is in use
    proxy.sock.sendall(encode_array(b"WITHDRAW", b"2") + proxy.encode_submit(5, "once", k="k1"))
    wait_until_processed(proxy)
    finish_execution(harness, 1, running_id)
    assert proxy.receive_response()[0] == 1
    finish_execution(harness, 2, next_dispatched_id(harness))
    assert sorted(proxy.receive_response()[0:4:3] for _ in range(2)) == [
        (3, b"result"),
        (5, b"result"),
    ]
    proxy.submit(7)
    finish_execution(harness, 3, next_dispatched_id(harness), b"other")
    assert proxy.receive_response()[0:4:3] == (7, b"other")


@pytest.mark.parametrize("readings", [1, 3])
def test_of_several_attempts_with_one_key_one_is_executed_if_the_first_was_too_late(
    harness, readings
):
    """Guards against two executions if attempts that waited during a stall are read together."""
    proxy = harness.connect_proxy()
    late = int(time.time() * 1000) - 2000
    attempts = [
        proxy.encode_submit(1, "once", k="k1", s=late, d=1000),
        proxy.encode_submit(2, "once", k="k1"),
        proxy.encode_submit(3, "once", k="k1"),
    ]
    if readings == 1:
        attempts = [b"".join(attempts)]
    for attempt in attempts:
        proxy.sock.sendall(attempt)
    finish_execution(harness, 1, next_dispatched_id(harness))
    assert sorted(proxy.receive_response()[:2] for _ in range(3)) == [
        (1, "later"),
        (2, "done"),
        (3, "done"),
    ]
    proxy.submit(4)
    # The next dispatch is that of request 4: no other attempt was dispatched.
    finish_execution(harness, 2, next_dispatched_id(harness), b"other")
    assert proxy.receive_response()[0:4:3] == (4, b"other")


def test_a_duplicate_that_arrives_within_the_window_and_is_read_after_it_is_not_executed(
    harness, advance_clock
):
    arrived_at = execute_with_key(harness)
    advance_clock(60.5)  # the window is 60 s
    proxy = harness.connect_proxy()
    proxy.submit(1, "once", k="k1", s=arrived_at + 59_990)
    assert proxy.receive_response()[1::2] == ("done", b"result")


def test_a_possible_duplicate_of_an_evicted_key_fails_and_a_request_after_the_window_is_executed(
    harness, advance_clock
):
    arrived_at = execute_with_key(harness)
    advance_clock(63.0)
    proxy = harness.connect_proxy()
    proxy.submit(1, "once", k="k1", s=arrived_at + 59_990)
    assert proxy.receive_response()[1] == "error"
    proxy.submit(2, "once", k="k1", s=arrived_at + 62_500)
    finish_execution(harness, 2, next_dispatched_id(harness), b"again")
    assert proxy.receive_response()[1::2] == ("done", b"again")


def test_a_request_less_than_50_ms_after_the_window_fails_and_a_later_one_is_executed(
    harness, advance_clock
):
    """Just after the window, a request with the same key may still be a duplicate."""
    arrived_at = execute_with_key(harness)
    advance_clock(60.5)
    proxy = harness.connect_proxy()
    proxy.submit(1, "once", k="k1", s=arrived_at + 60_045)
    assert proxy.receive_response()[:2] == (1, "error")
    proxy.submit(2, "once", k="k1", s=arrived_at + 60_060)
    finish_execution(harness, 2, next_dispatched_id(harness), b"again")
    assert proxy.receive_response()[1::2] == ("done", b"again")


@pytest.mark.parametrize("limits", [{"max_cache_entries": 1}, {"max_in_flight": 1}])
def test_a_duplicate_of_an_executed_request_gets_its_result_when_the_cache_or_the_server_is_full(
    make_harness, limits
):
    harness = make_harness(limits=limits).start()
    harness.executor, proxy = harness.accept_executor_link(), harness.connect_proxy()
    proxy.submit(1, "once", k="k1")
    original_id = next_dispatched_id(harness)
    proxy.submit(2, "once", k="k1")
    if "max_in_flight" in limits:
        # The original is still running, and the duplicate cannot wait for it within the limit.
        assert proxy.receive_response()[:2] == (2, "error")
    finish_execution(harness, 1, original_id)
    statuses = dict(
        proxy.receive_response()[0:2] for _ in range(2 - len(limits.keys() & {"max_in_flight"}))
    )
    assert set(statuses.values()) == {"done"}
    proxy.submit(3)
    next_dispatched_id(harness)
    proxy.submit(4, "once", k="k1")
    assert proxy.receive_response()[0:4:3] == (4, b"result")
    proxy.submit(5, "once", k="k2")
    assert proxy.receive_response()[:2] == (5, "later")


def test_a_duplicate_of_a_request_that_was_not_executed_is_executed(harness):
    """Its original ends unexecuted in the event loop iteration in which the duplicate is read."""
    proxy = harness.connect_proxy()
    proxy.submit(1, "once", k="k1")
    request_id = next_dispatched_id(harness)
    proxy.send(b"WITHDRAW", b"1")  # the executor has not begun to execute the request
    wait_until_processed(proxy)
    harness.event_loop.event_queue.process_in_one_iteration(
        lambda: harness.executor.send(f"REAP 1 {request_id} nothing 0 0", b""),
        lambda: proxy.submit(2, "once", k="k1"),
    )
    finish_execution(harness, 2, next_dispatched_id(harness))
    assert proxy.receive_response()[0:4:3] == (2, b"result")


def test_a_request_with_a_used_key_and_another_body_gets_no_result_and_is_not_executed(harness):
    proxy, other_proxy = harness.connect_proxy(), harness.connect_proxy()
    proxy.submit(1, "once", k="k1")
    original_id = next_dispatched_id(harness)
    other_proxy.submit(1, "once", b"another body", k="k1")
    assert other_proxy.receive_response()[:2] == (1, "later")
    finish_execution(harness, 1, original_id)
    assert proxy.receive_response()[0:4:3] == (1, b"result")
    other_proxy.submit(2, "once", b"another body", k="k1")
    assert other_proxy.receive_response()[:2] == (2, "error")
    proxy.submit(2, "once", k="k1")
    assert proxy.receive_response()[0:4:3] == (2, b"result")


def test_a_dispatch_that_the_executor_rejects_releases_its_idempotency_key(harness):
    other_proxy, proxy = harness.connect_proxy(), harness.connect_proxy()
    other_proxy.submit(1, "once", b"another body", k="k1")
    harness.executor.send(f"EINVAL SCHED {next_dispatched_id(harness)}")
    assert other_proxy.receive_response()[:2] == (1, "error")
    proxy.submit(1, "once", k="k1")
    finish_execution(harness, 1, next_dispatched_id(harness))
    assert proxy.receive_response()[0:4:3] == (1, b"result")
