"""The event loop: timers, failures, and two servers in one process."""

import pytest

from lilacwalk.event_queue import EventQueue
from lilacwalk.overload.model import Outcome
from lilacwalk.server import startup
from lilacwalk.server.event_loop import ComponentFailedError
from tests.conftest import SETTINGS, finish_execution, next_dispatched_id


def test_a_failed_component_or_an_exception_ends_the_event_loop(make_harness):
    event_loop, _ = startup.build(make_harness().process_config, EventQueue())
    event_loop.event_queue.fail("a component failed")
    with pytest.raises(ComponentFailedError):
        event_loop.run()
    event_loop.event_queue.post(event_loop.dependency_calls.end_call, None, Outcome.OK)
    with pytest.raises(AttributeError):
        event_loop.run()


def test_a_due_timer_does_not_wait_until_a_long_event_queue_is_empty(make_harness):
    event_loop, _ = startup.build(make_harness().process_config, EventQueue())
    order = []
    event_loop.schedule(event_loop.now, order.append, "due")
    for number in range(10_000):
        event_loop.event_queue.post(order.append, number)
    while "due" not in order:
        event_loop.run_iteration()
    assert order.index("due") <= 100


def test_two_servers_in_one_process_do_not_share_settings(make_harness):
    """Both servers have the same class names, but only the strict one deduplicates requests.

    Two requests with one key are executed once on the strict server and twice on the loose one.
    """
    strict = make_harness().start()
    loose = make_harness(
        settings={
            "classes": [
                request_class | {"effect": "safe", "dedup_window_ms": 0.0}
                for request_class in SETTINGS["classes"]
            ]
        }
    ).start()
    for harness in (strict, loose):
        harness.executor, harness.proxy = harness.accept_executor_link(), harness.connect_proxy()
        for tag in (1, 2):
            harness.proxy.submit(tag, "once", k="k1")
    strict_id = next_dispatched_id(strict)
    loose_ids = [next_dispatched_id(loose) for _ in range(2)]
    assert strict_id != loose_ids[0] != loose_ids[1]
    finish_execution(strict, 1, strict_id, b"strict")
    for number, request_id in enumerate(loose_ids, 1):
        finish_execution(loose, number, request_id, b"loose")
    assert {strict.proxy.receive_response()[3] for _ in range(2)} == {b"strict"}
    assert {loose.proxy.receive_response()[3] for _ in range(2)} == {b"loose"}
