"""Detection of stalled executions.

Times are in tenths of a millisecond.
"""

from lilacwalk.overload.events import ExecutorLinkChanged, TimerExpired
from lilacwalk.overload.model import Outcome, RequestState


def test_all_requests_are_rejected_from_the_start_of_a_stall_until_an_execution_ends(host):
    running = [host.receive(), host.receive()]
    queued = host.receive()
    host.wait(9_000 * 2)
    assert host.controller.stalled
    assert all(host.responses(request) == ["reject"] for request in [*running, queued])
    received_during_stall = host.receive()
    assert host.responses(received_during_stall) == ["reject"]
    assert host.decisions("report_health")[-1] is False
    host.finish(running[0], Outcome.CANCELLED)
    assert host.decisions("report_health")[-1] is True
    assert not host.responses(host.receive())


def test_a_lost_executor_link_is_not_detected_as_a_stall(host):
    host.receive(), host.receive()
    host.process(ExecutorLinkChanged(False))
    host.wait(18_000)
    assert not host.controller.stalled
    host.process(ExecutorLinkChanged(True))
    host.wait(18_000)
    assert host.controller.stalled


def test_a_pause_of_the_whole_process_is_not_detected_as_a_stall(host):
    running = host.receive()
    host.wait(500)
    host.now += 8_000
    host.process(TimerExpired(1.0, 9.0))
    assert not host.controller.stalled
    assert running.state is RequestState.RUNNING
