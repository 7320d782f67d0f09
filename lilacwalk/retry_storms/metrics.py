"""Measures attempts, retries and new connections a second against their baseline. No I/O.

An attempt counts as a retry if its client marks it or if its fingerprint was seen within a window.
New requests that look alike (such as polls with an empty body) therefore count as retries too. For
this reason retries are compared with their own baseline, and alone never indicate a storm.

This module only measures; `stages` evaluates the metrics.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable, Sequence
from dataclasses import dataclass

SECOND = 10_000  # tenths of a ms
STEP_TIME = SECOND // 2  # equal to the controller's step
RETRY_WINDOW = 20 * SECOND  # a later attempt is more likely a new request than a retry
MAX_FINGERPRINTS = 20_000  # fingerprints held at the same time: about 2 MB
BASELINE_GAIN = 0.02  # weight of one step in the baseline: a mean over about 25 s
MEAN_GAIN = 0.3  # weight of one step in the mean rates: a mean over about 3 steps
PERIODICITY_STEPS = 24  # latest steps that are searched for a period: twelve seconds
MIN_ATTEMPTS = 8  # attempts a second for a storm, or a step for a period; fewer are not evaluated


@dataclass(slots=True)
class StepCounts:
    """Counts of the current step."""

    attempts: int = 0
    first_attempts: int = 0
    connects: int = 0
    completions: int = 0


@dataclass(slots=True)
class Rates:
    """Mean rates over the last steps, per second."""

    attempts: float = 0.0
    first_attempts: float = 0.0
    connects: float = 0.0
    completions: float = 0.0

    def add(self, counts: StepCounts, steps: int) -> None:
        """Updates the means with counts that were collected over `steps` steps."""
        gain = 1 - (1 - MEAN_GAIN) ** steps
        self.attempts += gain * (_rate(counts.attempts, steps) - self.attempts)
        self.first_attempts += gain * (_rate(counts.first_attempts, steps) - self.first_attempts)
        self.connects += gain * (_rate(counts.connects, steps) - self.connects)
        self.completions += gain * (_rate(counts.completions, steps) - self.completions)


def _rate(count: int, steps: int) -> float:
    return count * SECOND / STEP_TIME / steps


@dataclass(frozen=True, slots=True)
class Baseline:
    """Normal attempts a second, share of retries among them, and new connections a second."""

    attempt_rate: float = 0.0
    retry_ratio: float = 0.0
    connect_rate: float = 0.0

    def moved_towards(self, other: Baseline, gain: float) -> Baseline:
        """Returns the baseline moved towards the other one by the fraction `gain`."""
        return Baseline(
            self.attempt_rate + gain * (other.attempt_rate - self.attempt_rate),
            self.retry_ratio + gain * (other.retry_ratio - self.retry_ratio),
            self.connect_rate + gain * (other.connect_rate - self.connect_rate),
        )


@dataclass(frozen=True, slots=True)
class Metrics:
    """A snapshot of the means; rates are per second.

    Attributes:
        periodicity: 0 if attempts arrive evenly, 1 if all of them arrive in one step of a period.
    """

    attempt_rate: float = 0.0
    first_attempt_rate: float = 0.0
    connect_rate: float = 0.0
    completion_rate: float = 0.0
    baseline_attempt_rate: float = 0.0
    baseline_retry_ratio: float = 0.0
    baseline_connect_rate: float = 0.0
    periodicity: float = 0.0

    @property
    def retry_ratio(self) -> float:
        """The share of retries among the attempts."""
        return 1 - self.first_attempt_rate / self.attempt_rate if self.attempt_rate else 0.0

    @property
    def attempts_over_baseline(self) -> float:
        """Attempts relative to their baseline; 1 if no baseline is known yet."""
        if not self.baseline_attempt_rate:
            return 1.0
        return self.attempt_rate / self.baseline_attempt_rate


class MetricsCollector:
    """Collects the counts of the current step, mean rates, the baseline and recent fingerprints.

    Owned by the damper. Times are in tenths of a ms.
    """

    def __init__(self, now: int) -> None:
        """Starts without a baseline; the first step begins now."""
        self.next_step_at = now + STEP_TIME
        self.means = Rates()
        # time of the last attempt by fingerprint, oldest first
        self.recent_attempts: dict[Hashable, int] = {}
        self._counts = StepCounts()
        self._baseline: Baseline | None = None
        self._learned_steps = 0
        self._attempts_by_step: deque[int] = deque(maxlen=PERIODICITY_STEPS)

    # Events

    def attempt_received(self, fingerprint: Hashable, is_marked_retry: bool, now: int) -> bool:
        """Counts an attempt; returns whether it is a retry."""
        previous = self.recent_attempts.pop(fingerprint, None)
        self.recent_attempts[fingerprint] = now
        if len(self.recent_attempts) > MAX_FINGERPRINTS:
            del self.recent_attempts[next(iter(self.recent_attempts))]
        is_repeated = previous is not None and now - previous <= RETRY_WINDOW
        is_retry = is_marked_retry or is_repeated
        self._counts.attempts += 1
        self._counts.first_attempts += not is_retry
        return is_retry

    def connection_opened(self) -> None:
        """Counts a new connection."""
        self._counts.connects += 1

    def request_completed(self, fingerprint: Hashable) -> None:
        """Counts a completion; a later attempt with the same fingerprint is a new request."""
        self.recent_attempts.pop(fingerprint, None)
        self._counts.completions += 1

    # Time

    def tick(self, now: int, is_normal: bool) -> bool:
        """Ends the step if its time has passed; returns whether it did.

        `is_normal`: whether the baseline may be learned from this step.
        """
        if now < self.next_step_at:
            return False
        steps = 1 + (now - self.next_step_at) // STEP_TIME
        self.next_step_at += steps * STEP_TIME
        self.means.add(self._counts, steps)
        self._attempts_by_step.append(self._counts.attempts)
        self._counts = StepCounts()
        self._forget_old_attempts(now)
        if is_normal:
            self._update_baseline(steps)
        return True

    def _forget_old_attempts(self, now: int) -> None:
        for fingerprint in list(self.recent_attempts):
            if now - self.recent_attempts[fingerprint] <= RETRY_WINDOW:
                break
            del self.recent_attempts[fingerprint]

    def _update_baseline(self, steps: int) -> None:
        attempts = self.means.attempts
        retry_ratio = 1 - self.means.first_attempts / attempts if attempts else 0.0
        current = Baseline(attempts, retry_ratio, self.means.connects)
        if attempts:
            self._learned_steps += steps
        if self._baseline is None:
            self._baseline = current if attempts else None
            return
        mean_gain = min(1.0, steps / max(1, self._learned_steps))  # plain mean of the first steps
        gain = max(1 - (1 - BASELINE_GAIN) ** steps, mean_gain)
        self._baseline = self._baseline.moved_towards(current, gain)

    # Results

    def metrics(self) -> Metrics:
        """Returns a snapshot of the means and the baseline."""
        baseline = self._baseline or Baseline()
        return Metrics(
            attempt_rate=self.means.attempts,
            first_attempt_rate=self.means.first_attempts,
            connect_rate=self.means.connects,
            completion_rate=self.means.completions,
            baseline_attempt_rate=baseline.attempt_rate,
            baseline_retry_ratio=baseline.retry_ratio,
            baseline_connect_rate=baseline.connect_rate,
            periodicity=self.periodicity(),
        )

    def periodicity(self) -> float:
        """Returns how strongly attempts concentrate in one phase of a period, from 0 to 1."""
        attempts = list(self._attempts_by_step)
        if len(attempts) < PERIODICITY_STEPS or sum(attempts) < MIN_ATTEMPTS * len(attempts):
            return 0.0
        periods = range(2, PERIODICITY_STEPS // 3 + 1)
        return max(0.0, *(_phase_concentration(attempts, period) for period in periods))


def _phase_concentration(attempts: Sequence[int], period: int) -> float:
    """Returns the strongest phase's excess over an even share, relative to its maximum.

    Clients that all received the same retry-after time return in one phase.
    """
    whole_periods = attempts[-(len(attempts) // period * period) :]
    phases = [sum(whole_periods[phase::period]) for phase in range(period)]
    strongest = max(phases) / max(1, sum(phases))
    return (strongest - 1 / period) / (1 - 1 / period)
