"""Load and health reports.

Times are in tenths of a millisecond.
"""

import pytest

from lilacwalk.overload.events import DrainStarted
from lilacwalk.overload.model import LoadReportKind


def test_requests_that_were_unread_for_long_lower_the_tokens(make_host):
    host = make_host(load_report_kind=LoadReportKind.TOKENS)
    host.wait(2_000)
    tokens_before = host.decisions("report_load")[-1]
    for _ in range(20):
        host.receive(arrived_at=host.now - 9_000)
    host.wait(2_000)
    assert host.decisions("report_load")[-1] < tokens_before


def test_an_unread_delay_raises_the_minimum_rank_and_a_drain_reports_no_tokens(make_host):
    host = make_host(load_report_kind=LoadReportKind.MIN_RANK)
    for _ in range(20):
        host.receive(arrived_at=host.now - 9_000)
    host.wait(4_000)
    assert host.decisions("report_load")[-1] > 0.5
    draining_host = make_host(load_report_kind=LoadReportKind.TOKENS)
    draining_host.process(DrainStarted(draining_host.now + 50_000))
    assert draining_host.decisions("report_load")[-1] == 0
    assert draining_host.decisions("report_health")[-1] is False


def test_tokens_grow_while_cores_are_free_and_shrink_when_they_are_busy(make_host):
    host = make_host(load_report_kind=LoadReportKind.TOKENS, started_cold=True, warm_up_time=1_000)
    host.wait(20_000, core_use=0.3, run_queue=0.0)
    tokens_on_free_cores = host.decisions("report_load")[-1]
    host.wait(20_000)
    assert tokens_on_free_cores > 3 * host.decisions("report_load")[0]
    assert host.decisions("report_load")[-1] < tokens_on_free_cores / 3


@pytest.mark.parametrize(("clients", "active_clients"), [(20, 1), (30, 3), (30, 30), (1000, 30)])
def test_tokens_of_all_clients_together_stay_within_the_safe_concurrency_of_a_cold_server(
    make_host, clients, active_clients
):
    cold = {
        "started_cold": True,
        "warm_up_time": 100_000,
        "cold_capacity_share": 0.25,
        "collapse_multiple": 9.0,
        "cores": 2,
    }
    host = make_host(load_report_kind=LoadReportKind.TOKENS, client_count=clients, **cold)
    safe_concurrency = 2 * (1 + 8 * 0.25)  # cores * (1 + (collapse_multiple - 1) * cold share)
    tokens = []
    for turn in range(60):  # client 0 sends most requests
        host.receive(client=0)
        host.receive(client=turn % active_clients)
        for request in host.decisions("dispatch"):
            host.finish(request)
        host.wait(500, core_use=0.1, run_queue=0.0)
        tokens += host.decisions("report_load")
    assert tokens
    assert all(0 < value * clients <= safe_concurrency for value in tokens)
    host.wait(100_000, core_use=0.1, run_queue=0.0)
    assert host.decisions("report_load")[-1] * clients > safe_concurrency  # the warm-up has ended
