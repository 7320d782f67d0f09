"""The admission probability and the random admission of requests.

Times are in tenths of a millisecond.
"""

from lilacwalk.overload.admission import CONTROL_PERIOD, MINIMUM_ADMISSION_PROBABILITY
from lilacwalk.overload.events import ClientGone


def serve_slowly(host, control_periods, execution_time):
    """Receives a request every 0.1 s on busy cores; each finishes `execution_time` later."""
    running = []
    for _ in range(control_periods * CONTROL_PERIOD // 1000):
        running.append((host.now, host.receive()))
        host.wait(1000)
        while running and running[0][0] + execution_time <= host.now:
            request = running.pop(0)[1]
            if request.was_dispatched and not request.answered:
                host.finish(request)


def test_slow_responses_lower_the_admission_probability_and_most_rejections_are_immediate(host):
    serve_slowly(host, control_periods=12, execution_time=9_000)
    assert host.controller.admission_probability < 0.9
    rejection_delays = [time - request.read_at for request, time in host.rejected_at.items()]
    assert rejection_delays
    assert rejection_delays.count(0) >= 0.7 * len(rejection_delays)


def test_late_responses_after_the_queue_has_emptied_do_not_lower_the_admission_probability(host):
    """After a burst, late responses alone would cause rejections although the queue is empty again.

    Here the clients of all queued requests disconnect; then the two running requests finish late.
    """
    host.controller.parts.latency.mean_execution_time = 2_000
    requests = [host.receive() for _ in range(10)]
    assert len(host.controller.queue) == 8
    for request in requests[2:]:
        host.process(ClientGone(request))
    host.wait(9_500)
    for request in requests[:2]:
        host.finish(request)
    assert not host.controller.queue
    assert host.controller.parts.latency.ratio_sum / host.controller.parts.latency.ratio_count > 0.9
    probability_before = host.controller.admission_probability
    host.wait(CONTROL_PERIOD)
    assert host.controller.admission_probability >= probability_before


def test_admission_probability_rises_from_its_minimum_while_cores_are_free_and_nothing_finishes(
    host,
):
    host.controller.parts.admission.admission_probability = MINIMUM_ADMISSION_PROBABILITY
    host.wait(12 * CONTROL_PERIOD, core_use=0.2, run_queue=0.0)
    assert host.controller.admission_probability == 1


def test_admission_probability_does_not_fall_while_cores_are_free(host):
    request = host.receive()
    host.wait(9_000, core_use=0.3, run_queue=1.0)
    host.finish(request)
    host.wait(CONTROL_PERIOD, core_use=0.3, run_queue=1.0)
    assert host.controller.admission_probability == 1


def test_the_admission_probability_stays_the_same_without_responses_while_cores_are_busy(host):
    host.controller.parts.admission.admission_probability = 0.5
    host.receive()
    host.wait(CONTROL_PERIOD)
    assert host.controller.admission_probability == 0.5


def test_the_same_seed_and_events_give_the_same_decisions(make_host):
    decisions = []
    for _ in range(2):
        host = make_host()
        host.controller.parts.admission.admission_probability = 0.5
        for _ in range(40):
            host.receive()
        decisions.append([decision[0] for decision in host.recorded])
    assert decisions[0] == decisions[1]
    assert "reject" in decisions[0]
    assert "dispatch" in decisions[0]
