"""Coalescing of duplicates, and idempotency keys.

Times are in tenths of a millisecond.
"""

import pytest

from lilacwalk.overload.events import (
    ClientGone,
    DrainStarted,
    ExecutionFinished,
    RequestReceived,
)
from lilacwalk.overload.model import Outcome, Request


def test_duplicates_of_a_running_and_of_a_finished_request_are_coalesced_and_not_executed(
    make_host, deduplicated_class
):
    host = make_host(request_classes=[deduplicated_class])
    first = host.receive()
    duplicate = host.receive(duplicate_of=first)
    host.finish(first)
    late_duplicate = host.receive(duplicate_of=first)
    assert host.decisions("dispatch") == [first]
    assert host.decisions("coalesce") == [duplicate, late_duplicate]
    assert host.decisions("register_key") == [first]


def test_a_duplicate_is_coalesced_when_the_queued_original_is_dispatched(
    make_host, deduplicated_class
):
    host = make_host(request_classes=[deduplicated_class], cores=1)
    blocker, first = host.receive(), host.receive()
    duplicate = host.receive(duplicate_of=first)
    assert host.decisions("coalesce") == []
    host.finish(blocker)
    assert host.decisions("dispatch") == [blocker, first]
    assert host.decisions("coalesce") == [duplicate]


def test_a_duplicate_is_executed_if_the_original_was_abandoned_before_its_dispatch(
    make_host, deduplicated_class
):
    host = make_host(request_classes=[deduplicated_class], cores=1)
    blocker, first = host.receive(), host.receive()
    duplicate = host.receive(duplicate_of=first)
    host.process(ClientGone(first))
    host.finish(blocker)
    assert host.decisions("dispatch") == [blocker, duplicate]
    assert host.decisions("register_key")[-1] is duplicate


def receive_together(host, *requests):
    """Passes requests to the controller in one batch; each one after the first is a duplicate."""
    first, *duplicates = requests
    for duplicate in duplicates:
        duplicate.duplicate_of = first
    host.process(*(RequestReceived(request) for request in requests))


def make_request(host, ttl=30_000):
    request_class = host.server.request_classes[0]
    return Request(request_class, host.now, host.now, host.now + ttl, 10.0)


@pytest.mark.parametrize("rejected", [1, 2])
def test_one_of_several_duplicates_is_executed_if_the_originals_before_it_were_too_late(
    make_host, deduplicated_class, rejected
):
    """Guards against two executions if attempts with one key are read together after a stall."""
    host = make_host(request_classes=[deduplicated_class])
    requests = [make_request(host, ttl=0 if number < rejected else 30_000) for number in range(4)]
    receive_together(host, *requests)
    assert host.decisions("reject") == requests[:rejected]
    assert host.decisions("dispatch") == [requests[rejected]]
    assert host.decisions("coalesce") == requests[rejected + 1 :]
    later = host.receive(duplicate_of=requests[0])
    assert host.decisions("coalesce")[-1] is later


def test_a_duplicate_takes_the_place_of_the_one_that_replaced_the_original_and_was_not_executed(
    make_host, deduplicated_class
):
    """Guards against two executions if the second attempt is queued and then withdrawn."""
    host = make_host(request_classes=[deduplicated_class], cores=1)
    blocker = host.receive()
    requests = [make_request(host, ttl=0 if number == 0 else 30_000) for number in range(4)]
    receive_together(host, *requests)
    host.process(ClientGone(requests[1]))
    host.process(ExecutionFinished(blocker, Outcome.OK))
    assert host.decisions("dispatch") == [blocker, requests[2]]
    assert host.decisions("coalesce") == [requests[3]]


def test_a_duplicate_that_arrived_after_the_grace_of_a_drain_is_not_executed_for_its_original(
    make_host, deduplicated_class
):
    """Guards against an execution after the grace if the original is withdrawn while queued."""
    host = make_host(request_classes=[deduplicated_class], cores=1, drain_grace_period=1_000)
    blocker, first = host.receive(), host.receive()
    in_time = host.receive(duplicate_of=first)
    host.process(DrainStarted(host.now + 25_000))
    host.now += 1_001
    late = [host.receive(duplicate_of=first) for _ in range(2)]
    host.process(ClientGone(first))
    assert host.decisions("reject") == late
    host.process(ClientGone(in_time))
    host.finish(blocker)
    assert host.decisions("dispatch") == [blocker]


def test_a_duplicate_that_arrived_after_the_grace_of_a_drain_gets_the_result_of_its_original(
    make_host, deduplicated_class
):
    host = make_host(request_classes=[deduplicated_class], cores=1, drain_grace_period=1_000)
    blocker, first = host.receive(), host.receive()
    host.process(DrainStarted(host.now + 25_000))
    host.now += 1_001
    late = host.receive(duplicate_of=first)
    host.finish(blocker)
    assert host.decisions("dispatch") == [blocker, first]
    assert host.decisions("coalesce") == [late]


def test_a_running_request_and_its_duplicate_fail_at_the_deadline_and_are_not_rejected(
    make_host, deduplicated_class
):
    """A rejection states that the request was not executed, but its execution may have ended."""
    host = make_host(request_classes=[deduplicated_class])
    first = host.receive()
    duplicate = host.receive(duplicate_of=first)
    host.wait(30_000)
    assert host.responses(first) == host.responses(duplicate) == ["fail"]


def test_the_deduplication_window_starts_on_arrival_and_its_end_frees_the_memory_of_the_key(
    make_host, deduplicated_class
):
    host = make_host(request_classes=[deduplicated_class], deduplication_entry_kb=100.0)
    first = host.receive(arrived_at=host.now - 2_000)
    registration = next(decision for decision in host.recorded if decision[0] == "register_key")
    assert 48_000 <= registration[2] <= 48_100
    host.finish(first)
    assert host.controller.memory_kb == 100
    host.wait(49_000)
    assert host.controller.memory_kb == 0
