"""Estimates execution times and the latency ratio T of the admission formula.

T is the response time of a request, without its dependency calls, divided by its latency objective.
"""

from __future__ import annotations

from lilacwalk.overload.concurrency_limit import ConcurrencyLimit
from lilacwalk.overload.model import LearnedState, Request, RequestClass, ServerSettings
from lilacwalk.overload.server_load import ServerLoad

EXECUTION_TIME_WEIGHT = 0.05  # weight of the newest execution in means of execution times
UNREAD_DELAY_WEIGHT = 0.1  # weight of the newest request in the mean unread delay
MAXIMUM_HINT_RATIO = 10.0  # cap on the ratio of measured to hinted execution time of one request
# The initial mean execution time is the shortest latency objective divided by this number.
INITIAL_EXECUTION_DIVISOR = 4


class LatencyEstimator:
    """Owns mean execution times and the latency ratios T measured in recent control periods.

    Times and durations are in tenths of a millisecond.
    """

    def __init__(
        self, server: ServerSettings, load: ServerLoad, concurrency: ConcurrencyLimit
    ) -> None:
        """Derives the initial mean execution time and mean latency objective from the classes."""
        self._load = load
        self._concurrency = concurrency
        objectives = [request_class.latency_objective for request_class in server.request_classes]
        self.execution_times: dict[RequestClass, float] = {}
        # Used until executions are measured; latency objectives are a multiple of execution times.
        self.mean_execution_time = min(objectives) / INITIAL_EXECUTION_DIVISOR
        self.mean_latency_objective = sum(objectives) / len(objectives)
        # Mean time from the arrival of a request at the machine until it is read.
        self.mean_unread_delay = 0.0
        self._hint_ratio = 1.0  # mean ratio of measured to hinted execution time
        # Sum and number of the measured values of T. Both are halved after each control period.
        self.ratio_sum = 0.0
        self.ratio_count = 0.0
        self._objective_sum = 0.0  # sum of the latency objectives of this period's responses
        self.responses_in_period = 0

    def record_unread_delay(self, request: Request) -> None:
        """Updates the mean unread delay with that of the request."""
        delay = request.read_at - request.arrived_at
        self.mean_unread_delay += UNREAD_DELAY_WEIGHT * (delay - self.mean_unread_delay)

    def expected_execution_time(self, request: Request) -> int:
        """The mean execution time of the request's class, averaged with the client's hint if any.

        Hints are imprecise; they are corrected by the mean ratio of measured to hinted times.
        """
        expected = self.execution_times.get(request.request_class, self.mean_execution_time)
        if request.work_hint:
            expected = (expected + request.work_hint * self._hint_ratio) / 2
        return int(expected)

    def record_execution(self, request: Request, elapsed: int) -> None:
        """Updates the mean execution times; `elapsed` excludes dependency calls."""
        mean = self.execution_times.get(request.request_class, self.mean_execution_time)
        self.execution_times[request.request_class] = mean + EXECUTION_TIME_WEIGHT * (
            elapsed - mean
        )
        self.mean_execution_time += EXECUTION_TIME_WEIGHT * (elapsed - self.mean_execution_time)
        if request.work_hint:
            ratio = min(MAXIMUM_HINT_RATIO, elapsed / request.work_hint)
            self._hint_ratio += EXECUTION_TIME_WEIGHT * (ratio - self._hint_ratio)

    def record_response(self, request: Request, now: int) -> None:
        """Adds the latency ratio T of a request that is answered or ended as too late at `now`."""
        objective = max(1, request.objective_deadline - request.arrived_at)
        self.ratio_sum += (now - request.arrived_at - request.dependency_wait) / objective
        self.ratio_count += 1
        self._objective_sum += objective
        self.responses_in_period += 1

    def current_ratio(self) -> float:
        """The expected latency ratio T of a request that arrives now."""
        queued = sum(request.expected_work for request in self._load.queue)
        queue_wait = queued / self._concurrency.limit
        response_time = self.mean_unread_delay + queue_wait + self.mean_execution_time
        return response_time / max(1.0, self.mean_latency_objective)

    def measured_ratio(self) -> float | None:
        """The mean latency ratio T of recent responses; None before the first one."""
        return self.ratio_sum / self.ratio_count if self.ratio_count else None

    def update_mean_objective(self) -> None:
        """Sets A, the mean latency objective, to that of this period's responses, if any."""
        if self.responses_in_period:
            self.mean_latency_objective = self._objective_sum / self.responses_in_period

    def end_period(self) -> None:
        """Ends a control period: values of T measured so far get half their weight.

        The mean of T therefore covers about two control periods, which dampens outliers.
        """
        self.ratio_sum = self.ratio_sum / 2
        self.ratio_count = self.ratio_count / 2
        self._objective_sum = 0.0
        self.responses_in_period = 0

    def restore(self, earlier: LearnedState, weight: float) -> None:
        """Restores the execution times of an earlier incarnation.

        `weight` is from 0, which keeps the current mean, to 1, which adopts the earlier times.
        """
        mean = self.mean_execution_time
        self.execution_times = {
            request_class: mean + weight * (time - mean)
            for request_class, time in earlier.execution_times.items()
        }
        self.mean_execution_time = mean + weight * (earlier.mean_execution_time - mean)
