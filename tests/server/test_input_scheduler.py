"""The order in which the event loop processes the input of its clients."""

from collections import deque

import pytest

from lilacwalk.server.input_scheduler import IMMEDIATE_TURNS, InputScheduler


class FakeClient:
    """A client with a number of messages left; those of a suspect client are invalid."""

    def __init__(self, name, messages, log, is_suspect=False):
        self.name, self.messages, self.log = name, messages, log
        self.is_suspect, self.is_queued = is_suspect, False

    @property
    def has_unprocessed_input(self):
        return self.messages > 0

    def process_input(self, max_messages):
        processed = min(self.messages, max_messages, 1 if self.is_suspect else max_messages)
        self.messages -= processed
        self.log += [self.name] * processed
        return processed


@pytest.fixture
def log():
    return []


def fill(scheduler, clients):
    """Announces the clients and uses up the immediate turns of the iteration."""
    for client in clients:
        scheduler.input_announced(client)


def test_first_turns_are_given_at_once_in_the_order_of_arrival(log):
    scheduler = InputScheduler()
    fill(scheduler, [FakeClient(number, 1, log) for number in range(IMMEDIATE_TURNS + 5)])
    assert log == list(range(IMMEDIATE_TURNS))
    scheduler.process(64)
    assert log == list(range(IMMEDIATE_TURNS + 5))
    assert scheduler.is_idle


def test_a_client_with_one_message_does_not_wait_for_the_backlog_of_others(log):
    scheduler = InputScheduler()
    fill(scheduler, [FakeClient("flood", 1_000, log) for _ in range(40)])
    scheduler.process(64)
    scheduler.input_announced(FakeClient("polite", 1, log))
    assert log[-1] == "polite"
    assert len(log) <= IMMEDIATE_TURNS * 8 + 64 + 1


@pytest.mark.parametrize("is_suspect", [False, True])
def test_a_backlog_and_suspect_clients_are_processed_while_first_turns_never_end(log, is_suspect):
    scheduler = InputScheduler()
    slow = FakeClient("slow", 100, log, is_suspect)
    scheduler.input_announced(slow)
    for number in range(100):
        fill(scheduler, [FakeClient(number, 8, log) for _ in range(40)])
        scheduler.process(64)
    assert slow.messages == 0


def test_suspect_clients_take_turns_of_one_message_after_all_others(log):
    scheduler = InputScheduler()
    suspects = [FakeClient(number, 30, log, is_suspect=True) for number in range(3)]
    fill(scheduler, [*suspects, FakeClient("polite", 100, log)])
    scheduler.process(64)
    suspect_turns = [name for name in log if name != "polite"]
    assert suspect_turns == [number % 3 for number in range(8)]
    while not scheduler.is_idle:
        scheduler.process(64)
    assert len(log) == 190


def test_a_client_is_queued_once_however_often_its_input_is_announced(log):
    scheduler = InputScheduler()
    client = FakeClient("flood", 20, log)
    for _ in range(10):
        scheduler.input_announced(client)
    assert log == ["flood"] * 8
    scheduler.process(64)
    assert (log, scheduler.is_idle, client.is_queued) == (["flood"] * 20, True, False)


def test_an_iteration_processes_no_more_messages_than_its_limit(log):
    scheduler = InputScheduler()
    queues = deque(FakeClient(number, 50, log, is_suspect=number % 2) for number in range(60))
    fill(scheduler, queues)
    before = len(log)
    scheduler.process(64)
    assert len(log) - before == 64
