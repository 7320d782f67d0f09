"""The limit on concurrent executions.

Times are in tenths of a millisecond.
"""


def test_executions_are_limited_and_the_limit_grows_only_while_cores_are_free(host):
    requests = [host.receive() for _ in range(5)]
    assert len(host.decisions("dispatch")) == 2
    host.wait(1_000)
    assert len(host.decisions("dispatch")) == 2
    host.wait(500, core_use=0.2, run_queue=0.0)
    # The limit has reached its maximum: half of `collapse_multiple` for each core.
    assert len(host.decisions("dispatch")) == 4
    assert len([request for request in requests if request.answered]) == 0


def test_the_limit_does_not_grow_during_slow_start(make_host):
    host = make_host(started_cold=True, warm_up_time=100_000, cold_capacity_share=0.3)
    for _ in range(5):
        host.receive()
    host.wait(2_000, core_use=0.2, run_queue=0.0)
    assert len(host.decisions("dispatch")) == 2
