"""The queue of the event loop: the order in which items are taken."""

from types import SimpleNamespace

from lilacwalk.event_queue import MAX_ORDERED_ITEMS, EventQueue


def run(items, log):
    for item in items:
        log.append(item.name) if isinstance(item, SimpleNamespace) else item()


def test_a_few_items_are_taken_in_the_order_of_their_arrival():
    queue, log = EventQueue(), []
    queue.post(log.append, 1)
    queue.announce_input(SimpleNamespace(name=2))
    queue.post_for_client(log.append, 3)
    queue.post(log.append, 4)
    run(queue.take(3, 0), log)
    assert log == [1, 2, 3]
    run(queue.take(3, 0), log)
    assert (log, queue.take(3, 0)) == ([1, 2, 3, 4], [])


def test_many_items_of_clients_do_not_delay_an_item_of_the_platform():
    queue, log = EventQueue(), []
    for number in range(200):
        queue.post_for_client(log.append, number)
    queue.post(log.append, "executor")
    while items := queue.take(10, 0):
        assert len(items) <= 20
        run(items, log)
    assert log == ["executor", *range(200)]


def test_input_does_not_wait_for_many_connections_that_open_and_end():
    queue, log = EventQueue(), []
    for number in range(MAX_ORDERED_ITEMS):
        queue.post_for_client(log.append, number)
    queue.announce_input(SimpleNamespace(name="input"))
    run(queue.take(10, 0), log)
    assert log == [*range(10), "input"]


def test_many_items_of_the_platform_leave_a_part_of_each_iteration_to_clients():
    queue, log = EventQueue(), []
    for number in range(1_000):
        queue.post(log.append, number)
    queue.post_for_client(log.append, "client")
    run(queue.take(10, 0), log)
    assert log == [*range(10), "client"]
    while items := queue.take(10, 0):
        run(items, log)
    assert log[11:] == list(range(10, 1_000))


def test_urgent_callbacks_are_taken_before_all_others():
    queue, log = EventQueue(), []
    for number in range(1_000):
        queue.post(log.append, number)
    queue.post_urgent(log.append, "stop")
    run(queue.take(1, 0), log)
    assert log == ["stop", 0]
