"""Commands to the executor whose link is lost before the executor is known to have read them."""

import copy

import pytest

from tests.conftest import (
    NOTHING_IN_FLIGHT,
    SETTINGS,
    execute_request,
    finish_execution,
    next_dispatched_id,
    request_dependency_call,
    wait_until_processed,
)

NON_IDEMPOTENT = "read"  # the class to which `harness_with_effects` gives this effect
DEDUPLICATED = "once"
CALLING = "look"  # idempotent, with dependency calls that may not be skipped


@pytest.fixture
def harness_with_effects(make_harness):
    """A running server with a connected executor, and one class of each kind of effect."""
    settings = copy.deepcopy(SETTINGS)
    settings["classes"][0]["effect"] = "unsafe"
    # The shortest objective: executions are at first expected to take a quarter of it, and count as
    # stalled after nine times as long.
    settings["classes"][3]["aim_ms"] = 400.0
    harness = make_harness(settings=settings).start()
    harness.executor = harness.accept_executor_link()
    return harness


def commands_until_second_poll(executor):
    """Returns the words of all commands up to the second gauge request from now."""
    commands = []
    for _ in range(2):
        while (words := executor.receive_message()[0])[0] != "SYSINFO":
            commands.append(words)
        executor.send(f"INFO {words[1]} 0.1 0")
    return commands


def lose_link(harness):
    """Loses the link, and completes the replay on a new one, on which no event is replayed."""
    harness.executor.reset()
    harness.executor = harness.accept_executor_link()


@pytest.mark.parametrize("class_name", [NON_IDEMPOTENT, DEDUPLICATED])
def test_an_execution_with_an_effect_that_ends_just_after_the_replay_is_not_dispatched_again(
    harness_with_effects, class_name
):
    """Guards against a second execution: the first one ends before a repeated dispatch arrives."""
    harness = harness_with_effects
    proxy = harness.connect_proxy()
    proxy.submit(1, class_name, k="key")
    request_id = next_dispatched_id(harness)
    lose_link(harness)
    finish_execution(harness, 1, request_id, b"r")
    assert proxy.receive_response()[1::2] == ("done", b"r")
    assert "SCHED" not in [words[0] for words in commands_until_second_poll(harness.executor)]
    assert harness.event_loop.drain.in_flight_summary().startswith("in_flight=0 open=0 running=0")


@pytest.mark.parametrize("class_name", [NON_IDEMPOTENT, DEDUPLICATED])
def test_a_request_whose_dispatch_was_lost_fails_at_its_deadline_and_does_not_count_as_a_stall(
    harness_with_effects, class_name
):
    """Guards against a leak, and a stall without end, after a dispatch that is never repeated."""
    harness = harness_with_effects
    proxy = harness.connect_proxy()
    proxy.submit(1, class_name, k="key", d=1500)  # longer than the time until a stall
    next_dispatched_id(harness)
    lose_link(harness)
    assert proxy.receive_response()[:2] == (1, "error")
    assert execute_request(harness, proxy, 2, 1, class_name="look")[2][:2] == (2, "done")
    assert harness.event_loop.drain.in_flight_summary().startswith("in_flight=0 open=0 running=0")


def test_a_withdrawn_request_whose_dispatch_was_lost_leaves_nothing_in_flight(harness_with_effects):
    """Guards against a leak if the client is gone before or after the loss of the link."""
    harness = harness_with_effects
    proxy = harness.connect_proxy()
    for tag in (1, 2):
        proxy.submit(tag, NON_IDEMPOTENT)
        next_dispatched_id(harness)
    proxy.send(b"WITHDRAW", b"1")
    wait_until_processed(proxy)
    lose_link(harness)
    proxy.send(b"WITHDRAW", b"2")
    assert execute_request(harness, proxy, 3, 1, class_name="look")[2][:2] == (3, "done")
    assert harness.event_loop.drain.in_flight_summary() == NOTHING_IN_FLIGHT


def test_a_dispatch_that_was_decided_without_a_link_is_sent_over_the_next_one(harness_with_effects):
    """Guards against failing a request that the executor cannot have received."""
    harness = harness_with_effects
    proxy = harness.connect_proxy()
    harness.executor.reset()
    executor = harness.accept_executor_link(ready=False)
    proxy.submit(1, NON_IDEMPOTENT)
    wait_until_processed(proxy)
    executor.send("BOOTED steady 9000")
    words, _ = executor.receive("SYSINFO")
    executor.send(f"INFO {words[1]} 0.1 0")
    harness.executor = executor
    finish_execution(harness, 1, next_dispatched_id(harness))
    assert proxy.receive_response()[:2] == (1, "done")


def test_a_dispatch_that_did_not_leave_the_process_is_sent_over_the_next_link(make_harness):
    """Guards against failing a request that was dispatched just after the executor's reset."""
    settings = copy.deepcopy(SETTINGS)
    settings["classes"][0]["effect"] = "unsafe"
    harness = make_harness(settings=settings, limits={"max_events_per_iteration": 1}).start()
    harness.executor = harness.accept_executor_link()
    proxy = harness.connect_proxy()
    # One iteration dispatches the request, and the next one learns that the link has been reset.
    harness.event_loop.event_queue.process_in_one_iteration(
        lambda: proxy.submit(1, NON_IDEMPOTENT), harness.executor.reset
    )
    harness.executor = harness.accept_executor_link()
    finish_execution(harness, 1, next_dispatched_id(harness))
    assert proxy.receive_response()[:2] == (1, "done")


def test_a_duplicate_gets_the_result_of_an_original_whose_dispatch_is_not_confirmed(
    harness_with_effects,
):
    """Guards against giving up an execution for whose result a duplicate still waits."""
    harness = harness_with_effects
    proxy = harness.connect_proxy()
    proxy.submit(1, DEDUPLICATED, k="key")
    request_id = next_dispatched_id(harness)
    proxy.submit(2, DEDUPLICATED, k="key")
    wait_until_processed(proxy)
    lose_link(harness)
    proxy.send(b"WITHDRAW", b"1")
    wait_until_processed(proxy)
    finish_execution(harness, 1, request_id, b"r")
    assert proxy.receive_response()[::3] == (2, b"r")


def test_the_last_duplicate_of_an_unconfirmed_original_leaves_nothing_in_flight(
    harness_with_effects,
):
    """Guards against a leak if an original outlives its client only for its duplicates."""
    harness = harness_with_effects
    proxy = harness.connect_proxy()
    proxy.submit(1, DEDUPLICATED, k="key")
    next_dispatched_id(harness)
    proxy.submit(2, DEDUPLICATED, k="key", d=300)
    lose_link(harness)
    proxy.send(b"WITHDRAW", b"1")
    assert proxy.receive_response()[:2] == (2, "error")
    assert execute_request(harness, proxy, 3, 1, class_name="look")[2][:2] == (3, "done")
    assert harness.event_loop.drain.in_flight_summary().startswith("in_flight=0 open=0 running=0")


def send_call_result(harness, proxy, tag, **submit_options):
    """Executes a request until the executor has received the result of its first call.

    Returns the id of the request.
    """
    proxy.submit(tag, CALLING, **submit_options)
    request_id = next_dispatched_id(harness)
    dependency = request_dependency_call(harness, 1, request_id, b"one")
    dependency.send(f"{request_id} HIT 1", b"1")
    assert harness.executor.receive("IODONE")[1] == b"1"
    return request_id


def test_the_result_of_a_call_is_not_sent_again_for_the_next_call(harness_with_effects):
    """Guards against a second call that gets the result of the first one after a lost link."""
    harness = harness_with_effects
    proxy = harness.connect_proxy()
    request_id = send_call_result(harness, proxy, 1)
    lose_link(harness)
    # The execution requests its next call while a repeated result would be on its way.
    dependency = request_dependency_call(harness, 2, request_id, b"two")
    dependency.send(f"{request_id} HIT 1", b"2")
    assert harness.executor.receive("IODONE")[1] == b"2"
    finish_execution(harness, 3, request_id, b"r")
    assert proxy.receive_response()[1::2] == ("done", b"r")
    assert harness.event_loop.drain.in_flight_summary() == NOTHING_IN_FLIGHT


def hold_call_result(harness, proxy):
    """Has the executor stop responding to gauge polls until the server holds a call's result.

    Returns the id of the request, and the tags of the unanswered polls.
    """
    executor = harness.executor
    for _ in range(5):  # shows the server how soon the executor usually responds
        tag = executor.receive("SYSINFO")[0][1]
        executor.send(f"INFO {tag} 0.1 0")
    proxy.submit(1, CALLING)
    request_id = next_dispatched_id(harness)
    dependency = request_dependency_call(harness, 1, request_id)
    tags = [executor.receive("SYSINFO")[0][1] for _ in range(2)]
    dependency.send(f"{request_id} HIT 1", b"!")
    for _ in range(4):
        words, _ = executor.receive_message()
        assert words[0] == "SYSINFO"
        tags.append(words[1])
    return request_id, tags


def test_the_result_of_a_call_is_held_until_the_executor_responds_again(harness):
    """Guards against losing results, which must not be repeated, with a link that is not read."""
    proxy = harness.connect_proxy()
    request_id, tags = hold_call_result(harness, proxy)
    for tag in tags:
        harness.executor.send(f"INFO {tag} 0.1 0")
    assert harness.executor.receive("IODONE")[1] == b"!"
    finish_execution(harness, 2, request_id)
    assert proxy.receive_response()[:2] == (1, "done")
    assert harness.event_loop.drain.in_flight_summary() == NOTHING_IN_FLIGHT


def test_a_held_result_is_sent_once_over_the_next_link(harness):
    proxy = harness.connect_proxy()
    request_id, _ = hold_call_result(harness, proxy)
    lose_link(harness)
    assert harness.executor.receive("IODONE")[1] == b"!"
    commands = commands_until_second_poll(harness.executor)
    assert "IODONE" not in [words[0] for words in commands]
    finish_execution(harness, 2, request_id)
    assert proxy.receive_response()[:2] == (1, "done")


def test_a_request_whose_call_result_was_lost_fails_at_its_deadline_and_leaves_nothing_in_flight(
    harness_with_effects,
):
    """Guards against a leak if an execution waits for a result that is never sent again."""
    harness = harness_with_effects
    proxy = harness.connect_proxy()
    send_call_result(harness, proxy, 1, d=500)
    lose_link(harness)
    assert proxy.receive_response()[:2] == (1, "error")
    assert "IODONE" not in [words[0] for words in commands_until_second_poll(harness.executor)]
    assert execute_request(harness, proxy, 2, 2)[2][:2] == (2, "done")
    assert harness.event_loop.drain.in_flight_summary() == NOTHING_IN_FLIGHT
