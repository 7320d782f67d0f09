"""The link to the executor: replay after a lost link, resent commands, gauges.

The replay fence is a gauge request sent on a new link. Its response shows that the executor has
replayed all its events; only then does the server resend commands.
"""

import copy

import pytest

from tests.conftest import (
    NOTHING_IN_FLIGHT,
    PEER_TIMEOUT_SECONDS,
    SETTINGS,
    execute_request,
    finish_execution,
    next_dispatched_id,
    request_dependency_call,
    submit_until_dependency_call,
)


def test_probes_are_answered_before_the_executor_is_up_but_registry_reports_start_after_it(
    make_harness,
):
    harness = make_harness().start()
    executor, proxy = harness.accept_executor_link(ready=False), harness.connect_proxy()
    proxy.send(b"PROBE", b"1", b"x=1")
    assert proxy.receive_response()[:2] == (1, "healthy")
    proxy.submit(2)
    assert proxy.receive_response()[:2] == (2, "later")
    harness.registry.setblocking(False)
    with pytest.raises(BlockingIOError):
        harness.registry.recv(100)
    executor.send("BOOTED booting 10")
    harness.registry.settimeout(PEER_TIMEOUT_SECONDS)
    assert harness.registry.recv(100) == b"alive n1 passing"
    assert harness.event_loop.controller.server.started_cold


def test_after_a_lost_link_events_count_once_and_only_unacknowledged_commands_are_resent(harness):
    proxy = harness.connect_proxy()
    for tag in (1, 2, 3):
        proxy.submit(tag, i=f"{tag:016x}")
        harness.executor.receive("SCHED")
    harness.executor.send(f"REAP 1 {1:016x} success 1 1", b"a")
    assert proxy.receive_response()[0] == 1
    harness.executor.reset()
    executor = harness.accept_executor_link(ready=False)
    assert executor.open_words == ["OPEN", "1"]  # the number of the last event received
    executor.send("BOOTED steady 9000")
    fence_id = executor.receive("SYSINFO")[0][1]
    executor.send(f"REAP 1 {1:016x} success 1 1", b"a")  # already handled, now replayed
    executor.send(f"REAP 2 {2:016x} success 1 1", b"b")
    executor.send(f"INFO {fence_id} 0.5 1")
    words, body = executor.receive("SCHED")
    assert words[1] == f"{3:016x}"
    assert body == b"hello"
    executor.send(f"REAP 3 {3:016x} success 1 1", b"c")
    assert [proxy.receive_response()[::3] for _ in range(2)] == [(2, b"b"), (3, b"c")]


def test_the_controller_timer_uses_the_last_gauges_and_does_not_wait_for_new_ones(harness):
    for _ in range(2):
        words, _ = harness.executor.receive("SYSINFO")
        harness.executor.send(f"INFO {words[1]} 0.625 3")
    # The executor does not respond to these requests, so the timer uses the values reported last.
    for _ in range(3):
        harness.executor.receive("SYSINFO")
    assert (
        harness.event_loop.controller.parts.load.core_use,
        harness.event_loop.controller.parts.load.run_queue,
    ) == (
        0.625,
        3.0,
    )


def test_a_replaced_call_result_that_the_executor_rejects_does_not_end_the_execution(make_harness):
    settings = copy.deepcopy(SETTINGS)
    settings["family_info"]["class_skip_worth"] = [0.0, 0.5, 0.0]
    harness = make_harness(settings=settings).start()
    harness.executor = harness.accept_executor_link()
    proxy = harness.connect_proxy()
    request_id = submit_until_dependency_call(harness, proxy, 1, 1)
    dependency = harness.accept_dependency_connection()
    dependency.receive("GET")
    dependency.send(f"{request_id} HIT 1", b"!")
    harness.executor.receive("IODONE")
    harness.executor.reset()
    executor = harness.accept_executor_link(ready=False)
    executor.send("BOOTED steady 9000")
    # The replay repeats the request for the call, and the server must not make a second call.
    executor.send(f"IOREQ 1 {request_id} 1", b"?")
    assert executor.open_words == ["OPEN", "1"]
    assert executor.receive("NOIO")[0] == ["NOIO", request_id, "1"]
    executor.send(f"EINVAL NOIO {request_id}")
    executor.send(f"REAP 2 {request_id} success 9 1", b"r")
    assert proxy.receive_response()[1::2] == ("done", b"r")
    proxy.submit(2, "look")
    request_id = executor.receive("SCHED")[0][1]
    executor.send(f"IOREQ 3 {request_id} 1", b"?")
    assert dependency.receive("GET")[0][1] == request_id


def test_a_resent_dispatch_that_the_executor_rejects_ends_its_request(harness):
    proxy = harness.connect_proxy()
    proxy.submit(1)
    words, _ = harness.executor.receive("SCHED")
    harness.executor.reset()  # the executor's response to the dispatch is lost with the link
    harness.executor = harness.accept_executor_link()
    assert harness.executor.receive("SCHED")[0][1] == words[1]
    harness.executor.send(f"EINVAL SCHED {words[1]}")
    assert proxy.receive_response()[:2] == (1, "error")
    assert execute_request(harness, proxy, 2, 1)[2][:2] == (2, "done")
    assert harness.event_loop.drain.in_flight_summary() == NOTHING_IN_FLIGHT


def test_commands_decided_without_a_link_are_sent_after_the_replay_fence(harness):
    proxy = harness.connect_proxy()
    proxy.submit(1)
    words, _ = harness.executor.receive("SCHED")
    harness.executor.reset()
    proxy.send(b"WITHDRAW", b"1")
    executor = harness.accept_executor_link()
    assert [executor.receive(verb)[0][1] for verb in ("SCHED", "PREEMPT")] == [words[1]] * 2


def test_requests_whose_dispatch_the_executor_rejects_get_errors_and_few_log_lines(harness, caplog):
    proxy = harness.connect_proxy()
    for tag in (1, 3, 4):
        proxy.submit(tag)
        words, _ = harness.executor.receive("SCHED")
        harness.executor.send(f"EINVAL SCHED {words[1]}")
        assert proxy.receive_response()[:2] == (tag, "error")
    assert (
        len([record for record in caplog.records if "rejected the dispatch" in record.getMessage()])
        == 2
    )
    assert execute_request(harness, proxy, 2, 1)[2][:2] == (2, "done")


def poll_gauges(harness, event_number):
    """Waits for the server's next gauge poll and responds, which acknowledges earlier commands."""
    proxy = harness.connect_proxy()
    proxy.submit(1)
    request_id = next_dispatched_id(harness)
    words, _ = harness.executor.receive("SYSINFO")
    harness.executor.send(f"INFO {words[1]} 0.1 1")
    # Events of a link are handled in order: once the end of the execution has been handled, the
    # response to the poll has been handled as well.
    finish_execution(harness, event_number, request_id)
    assert proxy.receive_response()[:2] == (1, "done")


def test_an_acknowledged_dispatch_is_not_resent_after_a_lost_link(harness):
    """Guards against a second execution if the first one ends between replay and resending."""
    proxy = harness.connect_proxy()
    proxy.submit(1, "once", k="k1")
    first_id = next_dispatched_id(harness)
    poll_gauges(harness, 1)
    proxy.submit(2)
    second_id = next_dispatched_id(harness)  # no gauge poll has acknowledged this dispatch
    harness.executor.reset()
    # The first execution ends only after the replay on this link.
    harness.executor = harness.accept_executor_link()
    finish_execution(harness, 2, first_id)
    assert next_dispatched_id(harness) == second_id
    finish_execution(harness, 3, second_id)
    assert sorted(proxy.receive_response()[:2] for _ in range(2)) == [(1, "done"), (2, "done")]
    proxy.submit(3)
    assert next_dispatched_id(harness) not in (first_id, second_id)


def test_an_acknowledged_call_result_is_not_resent_for_the_next_call(harness):
    """Guards against a second call that ends with the result of the first one."""
    proxy = harness.connect_proxy()
    proxy.submit(1, "look")
    request_id = next_dispatched_id(harness)
    dependency = request_dependency_call(harness, 1, request_id, b"one")
    dependency.send(f"{request_id} HIT 1", b"1")
    assert harness.executor.receive("IODONE")[1] == b"1"
    poll_gauges(harness, 2)
    harness.executor.reset()
    harness.executor = harness.accept_executor_link()
    # If the first call's result were resent over the new link, the executor would take it as the
    # result of this second call.
    dependency = request_dependency_call(harness, 3, request_id, b"two")
    dependency.send(f"{request_id} HIT 1", b"2")
    assert harness.executor.receive("IODONE")[1] == b"2"
    finish_execution(harness, 4, request_id)
    assert proxy.receive_response()[:2] == (1, "done")


def test_a_remark_of_the_executor_of_any_length_is_skipped_and_the_link_remains(harness):
    """Guards against a link that ends at every attempt, because the remark is replayed on it."""
    proxy = harness.connect_proxy()
    proxy.submit(1)
    request_id = next_dispatched_id(harness)
    harness.executor.send("DMESG 1 " + "x" * 100_000)
    finish_execution(harness, 2, request_id)
    assert proxy.receive_response()[:2] == (1, "done")
    harness.executor.reset()
    assert harness.accept_executor_link().open_words == ["OPEN", "2"]


def test_an_invalid_executor_age_closes_the_link_and_a_new_link_works(make_harness):
    harness = make_harness().start()
    executor = harness.accept_executor_link(ready=False)
    executor.send("BOOTED steady inf")
    assert executor.receive_message() is None
    harness.executor, proxy = harness.accept_executor_link(), harness.connect_proxy()
    proxy.submit(1)
    finish_execution(harness, 1, next_dispatched_id(harness))
    assert proxy.receive_response()[:2] == (1, "done")
