"""Damps retry storms on one node. No I/O.

The damper is notified of attempts, new connections and completions. It decides which attempts are
rejected before they reach the controller, and when their clients may retry. In the normal stage it
rejects nothing and leaves admission to the controller.
"""

from __future__ import annotations

import random
from collections.abc import Hashable
from dataclasses import dataclass
from enum import Enum

from lilacwalk.retry_storms.config import RetryStormConfig
from lilacwalk.retry_storms.metrics import SECOND, STEP_TIME, MetricsCollector
from lilacwalk.retry_storms.retry_after import RetryAfterSpreader
from lilacwalk.retry_storms.retry_budget import RetryBudget
from lilacwalk.retry_storms.stages import Stage, StageChange, StageMachine

MAX_DELAY_RATIO = 1.0  # queue delay over time left to the deadline, above which an attempt is late
MAX_IDLE_QUEUE = 2.0  # requests up to which there is no queue: one running and one waiting
STALL_TIME = 2 * SECOND  # time without a tick that counts as a stall: many busy iterations


class RejectionReason(Enum):
    """Why an attempt is rejected; operators see the counts as `shed_budget` and `shed_late`."""

    BUDGET = "budget"  # a retry beyond the budget
    LATE = "late"  # the attempt could not be answered in time


@dataclass(frozen=True, slots=True)
class Rejection:
    """An attempt's rejection before it reaches the controller; `retry_after` in tenths of a ms."""

    retry_after: int
    reason: RejectionReason


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt of a client.

    Attributes:
        fingerprint: equal for attempts with the same content, such as retries of one request.
        request_class: name of its class.
        client: the client that sent it.
        is_marked_retry: whether the client marked it as a retry.
        time_left: tenths of a ms until its deadline.
        is_duplicate: whether it duplicates a request that is in flight or answered: a duplicate
            needs no execution and is never rejected.
    """

    fingerprint: Hashable
    request_class: Hashable
    client: Hashable
    is_marked_retry: bool
    time_left: int
    is_duplicate: bool


class RetryStormDamper:
    """Combines metrics, stages, budget and retry-after times. Owned by the event loop.

    Attributes:
        config: the operator's settings; may be replaced at any time.
        rejected: attempts rejected so far, by reason.
        passed: attempts passed on to the controller so far.
        changes: changes of stage that the owner has not logged yet.
    """

    def __init__(
        self, config: RetryStormConfig, max_retry_after: int, rng: random.Random, now: int
    ) -> None:
        """`max_retry_after` is in tenths of a ms; 0: rejections must not carry a time."""
        self.config = config
        self.collector = MetricsCollector(now)
        self.stage_machine = StageMachine(now)
        self.budget = RetryBudget(config.retry_ratio, now)
        self.spreader = RetryAfterSpreader(rng, max_retry_after)
        self.rejected = dict.fromkeys(RejectionReason, 0)
        self.passed = 0
        self.changes: list[StageChange] = []
        self._fleet_load_factor = 1.0
        self._queue_delay = 0  # tenths of a ms until a request that arrives now would be answered
        self._attempts_in_step = 0
        self._completions_in_step = 0

    # Requests

    def evaluate_request(self, attempt: Attempt, now: int) -> Rejection | None:
        """Returns the rejection of an attempt, or None to pass it on to the controller."""
        is_retry = self.collector.attempt_received(
            attempt.fingerprint, attempt.is_marked_retry, now
        )
        self._attempts_in_step += 1
        reason = self._rejection_reason(attempt, is_retry)
        if reason is None:
            self.passed += 1
            return None
        self.rejected[reason] += 1
        max_retry_after = self.spreader.max_retry_after
        return Rejection(self.spread_retry_after(attempt.client, max_retry_after, now), reason)

    def _rejection_reason(self, attempt: Attempt, is_retry: bool) -> RejectionReason | None:
        if attempt.is_duplicate or self.stage_machine.stage is not Stage.DAMPED:
            return None
        is_late = self._queue_delay > MAX_DELAY_RATIO * attempt.time_left
        if is_late and self.config.sheds_late_first:
            return RejectionReason.LATE
        if not is_retry or not self.config.limits_retries:
            return None
        is_admitted = self.budget.try_spend(attempt.request_class, attempt.client)
        return None if is_admitted else RejectionReason.BUDGET

    def connection_opened(self) -> None:
        """Counts a new connection of a client."""
        self.collector.connection_opened()

    def request_completed(self, fingerprint: Hashable, request_class: Hashable) -> None:
        """Counts a request that was answered with its result."""
        self.collector.request_completed(fingerprint)
        self.budget.request_completed(request_class)
        self._completions_in_step += 1

    def spread_retry_after(self, client: Hashable, retry_after: int, now: int) -> int:
        """Returns the time that a rejection carries instead of `retry_after`, in tenths of a ms.

        The time is `retry_after` itself in the normal stage, if `retry_after` is 0, or if the
        operator has disabled spreading.
        """
        self._detect_stall(now)
        is_normal = self.stage_machine.is_normal
        if not retry_after or is_normal or not self.config.spreads_retry_after:
            return retry_after
        completion_rate = max(self.collector.means.completions, self.stage_machine.peak_rate)
        return self.spreader.retry_after(client, completion_rate, self._fleet_load_factor, now)

    # Time

    def _detect_stall(self, now: int) -> None:
        """Enters the recovering stage after a stall of the process.

        Also called before each rejection: after a stall, rejections precede the next tick and would
        all carry the same retry-after time.
        """
        if now - self.collector.next_step_at <= STALL_TIME:
            return
        change = self.stage_machine.process_stalled(now)
        if change is not None:
            self.changes.append(change)

    def tick(self, now: int, queue_delay: int, fleet_load_factor: float = 1.0) -> None:
        """Ends the current step if its time has passed.

        Args:
            now: elapsed time in tenths of a ms.
            queue_delay: tenths of a ms until a request that arrives now would be answered.
            fleet_load_factor: known members over members that are up; 1 without a membership view.
        """
        self._queue_delay = queue_delay
        self._fleet_load_factor = fleet_load_factor
        self._detect_stall(now)
        if self.collector.tick(now, self.stage_machine.is_normal):
            self._end_step(now)

    def _end_step(self, now: int) -> None:
        change = self.stage_machine.end_step(
            self.collector.metrics(),
            completions=self._completions_in_step,
            attempts=self._attempts_in_step,
            now=now,
        )
        if change is not None:
            self.changes.append(change)
        self._attempts_in_step = 0
        self._completions_in_step = 0
        self.budget.tick(now)
        peak_rate = self.stage_machine.peak_rate
        has_queue = self._queue_delay * peak_rate > MAX_IDLE_QUEUE * SECOND
        self.budget.end_step(has_queue, peak_rate * STEP_TIME / SECOND)
        self.spreader.tick(now)

    def status(self, now: int) -> dict:
        """Returns the state that `lilacwalk storms show` prints."""
        metrics = self.collector.metrics()
        return {
            "stage": self.stage_machine.stage.value,
            "why": self.stage_machine.reason,
            "since_ms": (now - self.stage_machine.since) // 10,
            "tries": round(metrics.attempt_rate, 1),
            "first": round(metrics.first_attempt_rate, 1),
            "repeats": round(metrics.retry_ratio, 3),
            "usual_tries": round(metrics.baseline_attempt_rate, 1),
            "usual_repeats": round(metrics.baseline_retry_ratio, 3),
            "connects": round(metrics.connect_rate, 1),
            "usual_connects": round(metrics.baseline_connect_rate, 1),
            "completed": round(metrics.completion_rate, 1),
            "bunched": round(metrics.periodicity, 2),
            "line_ms": self._queue_delay // 10,
            "fleet": round(self._fleet_load_factor, 2),
            "passed": self.passed,
            "shed_budget": self.rejected[RejectionReason.BUDGET],
            "shed_late": self.rejected[RejectionReason.LATE],
            "retries_paid": self.budget.admitted,
        }
