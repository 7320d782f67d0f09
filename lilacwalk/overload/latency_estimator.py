"""Estimates execution times and the latency ratio T of the admission formula.

T is the response time of a request, without its dependency calls, divided by its latency objective.
"""

from __future__ import annotations

from lilacwalk.overload.concurrency_limit import ConcurrencyLimit
from lilacwalk.overload.model import LearnedState, Request, RequestClass, ServerSettings
from lilacwalk.overload.server_load import ServerLoad

EXECUTION_TIME_WEIGHT = 0.05  # weight of the newest execution in a moving average
UNREAD_DELAY_WEIGHT = 0.1  # weight of the newest request in the moving average
MAXIMUM_HINT_RATIO = 10.0  # cap on the ratio of measured to hinted time of one execution
INITIAL_EXECUTION_DIVISOR = 4  # shortest latency objective to initial execution time


class LatencyEstimator:
    """Owns moving averages of execution times and the ratios T of the current control period."""

    def __init__(
        self, server: ServerSettings, load: ServerLoad, concurrency: ConcurrencyLimit
    ) -> None:
        """Starts with means derived from the latency objectives."""
        self._load = load
        self._concurrency = concurrency
        objectives = [request_class.latency_objective for request_class in server.request_classes]
        self.execution_times: dict[RequestClass, float] = {}
        # Initial estimate: latency objectives are a multiple of execution times.
        self.mean_execution_time = min(objectives) / INITIAL_EXECUTION_DIVISOR
        self.mean_latency_objective = sum(objectives) / len(objectives)
        self.mean_unread_delay = 0.0  # time from arrival at the machine until read
        self._hint_ratio = 1.0  # ratio of measured to hinted execution time
        self.ratio_sum = 0.0
        self.ratio_count = 0.0
        self._objective_sum = 0.0
        self.responses_in_period = 0

    def record_unread_delay(self, request: Request) -> None:
        """Updates the mean time for which requests wait before they are read."""
        delay = request.read_at - request.arrived_at
        self.mean_unread_delay += UNREAD_DELAY_WEIGHT * (delay - self.mean_unread_delay)

    def expected_execution_time(self, request: Request) -> int:
        """The mean of the request's class; an imprecise hint of the client counts for half."""
        expected = self.execution_times.get(request.request_class, self.mean_execution_time)
        if request.work_hint:
            expected = (expected + request.work_hint * self._hint_ratio) / 2
        return int(expected)

    def record_execution(self, request: Request, elapsed: int) -> None:
        """Updates the means with an execution that took `elapsed`, without dependency calls."""
        mean = self.execution_times.get(request.request_class, self.mean_execution_time)
        self.execution_times[request.request_class] = mean + EXECUTION_TIME_WEIGHT * (
            elapsed - mean
        )
        self.mean_execution_time += EXECUTION_TIME_WEIGHT * (elapsed - self.mean_execution_time)
        if request.work_hint:
            ratio = min(MAXIMUM_HINT_RATIO, elapsed / request.work_hint)
            self._hint_ratio += EXECUTION_TIME_WEIGHT * (ratio - self._hint_ratio)

    def record_response(self, request: Request, now: int) -> None:
        """Adds the ratio T of a request that is answered or ended as too late."""
        objective = max(1, request.objective_deadline - request.arrived_at)
        self.ratio_sum += (now - request.arrived_at - request.dependency_wait) / objective
        self.ratio_count += 1
        self._objective_sum += objective
        self.responses_in_period += 1

    def current_ratio(self) -> float:
        """The expected ratio T of a request that arrives now."""
        queued = sum(request.expected_work for request in self._load.queue)
        queue_wait = queued / self._concurrency.limit
        response_time = self.mean_unread_delay + queue_wait + self.mean_execution_time
        return response_time / max(1.0, self.mean_latency_objective)

    def measured_ratio(self) -> float | None:
        """The moving average of T; None before the first response."""
        return self.ratio_sum / self.ratio_count if self.ratio_count else None

    def update_mean_objective(self) -> None:
        """Sets the mean objective A to the mean of this control period's responses, if any."""
        if self.responses_in_period:
            self.mean_latency_objective = self._objective_sum / self.responses_in_period

    def end_period(self) -> None:
        """Ends a control period; T is averaged over about two periods to dampen outliers."""
        self.ratio_sum = self.ratio_sum / 2
        self.ratio_count = self.ratio_count / 2
        self._objective_sum = 0.0
        self.responses_in_period = 0

    def restore(self, earlier: LearnedState, weight: float) -> None:
        """Blends in the execution times of an earlier incarnation with `weight` from 0 to 1."""
        mean = self.mean_execution_time
        self.execution_times = {
            request_class: mean + weight * (time - mean)
            for request_class, time in earlier.execution_times.items()
        }
        self.mean_execution_time = mean + weight * (earlier.mean_execution_time - mean)
