"""Coalescing of duplicates, and idempotency keys."""

from lilacwalk.overload.events import ClientGone


def test_a_deduplicated_request_is_executed_once(make_host, deduplicated_class):
    host = make_host(request_classes=[deduplicated_class])
    first = host.receive()
    duplicate = host.receive(duplicate_of=first)
    host.finish(first)
    late = host.receive(duplicate_of=first)
    assert host.decisions("dispatch") == [first]
    assert host.decisions("coalesce") == [duplicate, late]
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


def test_a_duplicate_is_executed_if_the_original_was_not(make_host, deduplicated_class):
    host = make_host(request_classes=[deduplicated_class], cores=1)
    blocker, first = host.receive(), host.receive()
    duplicate = host.receive(duplicate_of=first)
    host.process(ClientGone(first))
    host.finish(blocker)
    assert host.decisions("dispatch") == [blocker, duplicate]
    assert host.decisions("register_key")[-1] is duplicate


def test_a_duplicate_of_an_executed_request_fails_and_is_never_rejected(
    make_host, deduplicated_class
):
    host = make_host(request_classes=[deduplicated_class])
    first = host.receive()
    duplicate = host.receive(duplicate_of=first)
    host.wait(30_000)
    assert host.responses(first) == host.responses(duplicate) == ["fail"]


def test_the_window_starts_on_arrival_and_its_end_frees_the_memory_of_the_key(
    make_host, deduplicated_class
):
    host = make_host(request_classes=[deduplicated_class], deduplication_entry_kb=100.0)
    first = host.receive(arrived_at=host.now - 2_000)
    registered = next(decision for decision in host.recorded if decision[0] == "register_key")
    assert 48_000 <= registered[2] <= 48_100
    host.finish(first)
    assert host.controller.memory_kb == 100
    host.wait(49_000)
    assert host.controller.memory_kb == 0
