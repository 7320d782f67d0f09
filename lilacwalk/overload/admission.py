"""Random admission of requests, with a probability set by a PI controller on the latency ratio."""

from __future__ import annotations

import random

from lilacwalk.overload.latency_estimator import LatencyEstimator
from lilacwalk.overload.model import SECOND, ServerSettings
from lilacwalk.overload.server_load import ServerLoad

# h in the formula. It is about one response time of an overloaded server.
CONTROL_PERIOD = SECOND // 2
# T_ref, the target for the latency ratio T (defined in `latency_estimator`). The remaining part of
# the latency objective absorbs the variance of latencies.
TARGET_LATENCY_RATIO = 0.55
MINIMUM_ADMISSION_PROBABILITY = 0.05
# Number of control periods in which the admission probability rises from its minimum to 1 if T is
# half its target and arrivals just fill the cores.
PERIODS_TO_RECOVER = 5
INTEGRAL_GAIN = (  # Ki, per second
    (1 - MINIMUM_ADMISSION_PROBABILITY)
    / PERIODS_TO_RECOVER
    / (TARGET_LATENCY_RATIO / 2)
    / (CONTROL_PERIOD / SECOND)
)
# Kp. A change of T has the same weight as T itself over one control period.
PROPORTIONAL_GAIN = INTEGRAL_GAIN * CONTROL_PERIOD / SECOND


class AdmissionControl:
    """Owns the admission probability p_a, the state of its PI controller and the random source."""

    def __init__(self, server: ServerSettings, load: ServerLoad, latency: LatencyEstimator) -> None:
        """Sets the admission probability to 1 and seeds the random source with `server.seed`."""
        self._server = server
        self._load = load
        self._latency = latency
        self.random_source = random.Random(server.seed)
        self.admission_probability = 1.0
        self.last_error = 0.0  # e of the last update
        self._arrivals = 0  # requests read in this control period
        self._arrival_rate = 0.0  # λ, requests per second

    def count_arrival(self) -> None:
        """Counts a request that was read."""
        self._arrivals += 1

    def draw(self) -> bool:
        """Returns True with probability p_a; to be called exactly once for each request."""
        return self.random_source.random() < self.admission_probability

    def update(self) -> None:
        """Updates the admission probability; to be called once each control period.

        The probability does not change if no response was recorded and no cores are free.
        """
        self._arrival_rate = self._arrivals * SECOND / CONTROL_PERIOD
        self._arrivals = 0
        has_free_cores = self._load.has_free_cores()
        if not self._latency.responses_in_period and not has_free_cores:
            return
        ratio = self._latency_ratio(has_free_cores)
        self._latency.update_mean_objective()
        error = TARGET_LATENCY_RATIO - ratio
        probability = self._next_probability(error)
        if has_free_cores:
            probability = max(probability, self.admission_probability)
        self.admission_probability = min(1.0, max(MINIMUM_ADMISSION_PROBABILITY, probability))
        self.last_error = error
        self._latency.end_period()

    def _latency_ratio(self, has_free_cores: bool) -> float:
        """The latency ratio T that is the input of the PI controller."""
        ratio = self._latency.measured_ratio()
        if ratio is None:
            ratio = TARGET_LATENCY_RATIO / 2
        else:
            # Measurements of finished requests reflect the queue at the arrival of these requests.
            # After a burst they alone would lower p_a although the queue is empty again.
            current = self._latency.current_ratio()
            ratio = min((ratio + current) / 2, current)
        if has_free_cores:
            # If p_a is near its minimum, too few requests finish to lower T, and a server with free
            # cores would keep rejecting requests. T is therefore capped at half its target while
            # cores are free.
            ratio = min(ratio, TARGET_LATENCY_RATIO / 2)
        return ratio

    def _next_probability(self, error: float) -> float:
        """The unclamped next probability, p_a + (Kp + Ki·h/2)·e - (Kp - Ki·h/2)·e_last.

        The plant gain is λ·A. Kp and Ki apply to an arrival rate that just fills the cores, and are
        scaled down in proportion for a higher rate. A, the mean latency objective, cancels out.
        """
        capacity = self._server.cores * SECOND / max(1, self._latency.mean_execution_time)
        scale = min(1.0, capacity / max(1.0, self._arrival_rate))
        proportional_gain = PROPORTIONAL_GAIN * scale
        integral_gain = INTEGRAL_GAIN * scale
        period = CONTROL_PERIOD / SECOND
        return (
            self.admission_probability
            + (proportional_gain + integral_gain * period / 2) * error
            - (proportional_gain - integral_gain * period / 2) * self.last_error
        )

    def restore(self, *, probability: float, last_error: float, weight: float) -> None:
        """Moves the state of a new controller towards that of an earlier incarnation.

        The higher `weight` (0 to 1), the more the earlier state counts.
        """
        current = self.admission_probability
        restored = current + weight * (probability - current)
        self.admission_probability = max(MINIMUM_ADMISSION_PROBABILITY, restored)
        self.last_error = weight * last_error
