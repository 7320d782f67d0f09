"""Closing of idle client connections.

Times are in tenths of a millisecond.
"""


def test_the_idle_time_rises_to_seconds_while_overhead_exceeds_executions_and_falls_afterwards(
    make_host,
):
    """Each decision is the idle time after which connections are closed; if it is 0, none is."""
    host = make_host()
    host.controller.parts.clients.returning_share = 0.0  # no client returns
    host.wait(5_000, run_queue=1.0)
    assert host.decisions("close_idle_connections") == [2_500]
    host.wait(50_000, run_queue=1.0)  # nothing is executed: the run queue is overhead
    assert host.decisions("close_idle_connections") == [
        2_500,
        5_000,
        10_000,
        20_000,
        40_000,
        80_000,
    ]
    host.wait(100_000, run_queue=0.0)
    assert host.decisions("close_idle_connections")[-1] == 2_500
    host.controller.parts.clients.returning_share = 1.0
    host.wait(5_000)
    assert host.decisions("close_idle_connections")[-1] == 0


def test_idle_connections_are_closed_only_while_few_clients_return(host):
    for client in range(100):  # many clients with one request each
        host.receive(client=client)
        host.wait(1000, run_queue=2.0)
    assert 0 < host.decisions("close_idle_connections")[-1] < 10_000
    for _ in range(100):
        host.receive(client=1)
        host.wait(1000, run_queue=2.0)
    assert host.decisions("close_idle_connections")[-1] == 0  # no longer closed
