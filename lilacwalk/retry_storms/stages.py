"""Evaluates the metrics and selects a stage, with hysteresis. No I/O.

In plain overload there are more first attempts than the cores can complete; this is left to the
controller. A retry storm sustains itself: the cores could complete the first attempts alone, but
not all attempts together. A storm may persist indefinitely after its cause is gone, since each
attempt that is served too late takes the capacity of one that could still be answered in time.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from lilacwalk.retry_storms.metrics import MIN_ATTEMPTS, Metrics

STORM_LOAD = 1.5  # attempts relative to completions, above which there may be a storm
NORMAL_LOAD = 1.15  # attempts relative to their baseline, up to which a storm has ended
# retries per attempt, above their baseline, that indicate a storm: slow responses cause fewer
EXTRA_RETRY_RATIO = 0.15
ENTER_STEPS = 3  # consecutive storm steps until damping starts: a single one may be chance
LEAVE_STEPS = 6  # consecutive normal steps until damping ends: if it ends early, the storm returns
# steps with attempts but no completion until SILENT: they last longer than most executions
SILENT_STEPS = 4
PEAK_DECAY = 0.995  # factor by which the peak completion rate decays per step


class Stage(Enum):
    """Stages of damping; the values are shown to operators."""

    NORMAL = "usual"  # no damping
    SILENT = "silent"  # attempts but no completions: the executor has stalled or just started
    RECOVERING = "refilling"  # after SILENT, a stall or a start: the baseline is not learned yet
    DAMPED = "damped"  # a storm: retries are limited, retry-after times are spread


@dataclass(frozen=True, slots=True)
class StageChange:
    """A new stage and the reason for it."""

    stage: Stage
    reason: str


class StageMachine:
    """Tracks the stage, and the consecutive steps that indicate a change. Owned by the damper.

    Attributes:
        peak_rate: the highest recent completion rate, per second.
    """

    def __init__(self, now: int) -> None:
        """Sets the first stage, RECOVERING: the last process's end may have caused a storm."""
        self.stage = Stage.RECOVERING
        self.since = now
        self.reason = "process started"
        self.peak_rate = 0.0
        self._silent_steps = 0
        self._storm_steps = 0
        self._normal_steps = 0

    @property
    def is_normal(self) -> bool:
        """Whether nothing is damped and the baseline may be learned."""
        return self.stage is Stage.NORMAL

    def process_stalled(self, now: int) -> StageChange | None:
        """Enters RECOVERING after a stall of the whole process.

        Attempts that waited during the stall arrive at once and must not count for the baseline.
        """
        if not self.is_normal:
            return None
        self._silent_steps = 0
        return self._change_stage(Stage.RECOVERING, "process stalled", now)

    def end_step(
        self, metrics: Metrics, *, completions: int, attempts: int, now: int
    ) -> StageChange | None:
        """Evaluates a step with its counts; returns the change of stage, if any."""
        self.peak_rate = max(metrics.completion_rate, PEAK_DECAY * self.peak_rate)
        self._count_steps(metrics, completions, attempts)
        change = self._next_stage(metrics, completions)
        if change is None or change.stage is self.stage:
            return None
        return self._change_stage(change.stage, change.reason, now)

    def _count_steps(self, metrics: Metrics, completions: int, attempts: int) -> None:
        if completions:
            self._silent_steps = 0
        elif attempts >= MIN_ATTEMPTS // 2:
            self._silent_steps += 1
        # No step counts as a storm during a run of steps without completions, which leads to the
        # stage SILENT in `_next_stage`.
        is_storm = not self._silent_steps and self._is_storm(metrics)
        self._storm_steps = self._storm_steps + 1 if is_storm else 0
        self._normal_steps = self._normal_steps + 1 if self._has_storm_ended(metrics) else 0

    def _change_stage(self, stage: Stage, reason: str, now: int) -> StageChange:
        self.stage = stage
        self.since = now
        self.reason = reason
        self._storm_steps = 0
        self._normal_steps = 0
        return StageChange(stage, reason)

    def _next_stage(self, metrics: Metrics, completions: int) -> StageChange | None:
        """Returns the stage that the counted steps indicate; None: no change."""
        if self._silent_steps >= SILENT_STEPS:
            return StageChange(Stage.SILENT, "attempts arrive, but none completes")
        if self.stage is Stage.SILENT:
            if completions:
                return StageChange(Stage.RECOVERING, "first completions after the silent stage")
            return None
        if self.stage is not Stage.DAMPED and self._storm_steps >= ENTER_STEPS:
            return StageChange(Stage.DAMPED, self._storm_reason(metrics))
        if not self.is_normal and self._normal_steps >= LEAVE_STEPS:
            reason = (
                f"{metrics.retry_ratio:.0%} of {metrics.attempt_rate:.0f} attempts a second "
                "are retries, close to the baseline"
            )
            return StageChange(Stage.NORMAL, reason)
        return None

    def _storm_reason(self, metrics: Metrics) -> str:
        completed = max(metrics.completion_rate, self.peak_rate)
        return (
            f"{metrics.attempt_rate:.0f} attempts a second, {metrics.first_attempt_rate:.0f} "
            f"of them first attempts, against {completed:.0f} completions a second"
        )

    def _is_storm(self, metrics: Metrics) -> bool:
        """Returns whether the cores could complete the first attempts, but not all attempts.

        The retries must also exceed their baseline.
        """
        capacity = STORM_LOAD * max(self.peak_rate, metrics.completion_rate)
        retry_threshold = metrics.baseline_retry_ratio + EXTRA_RETRY_RATIO
        return (
            metrics.attempt_rate >= MIN_ATTEMPTS
            and metrics.first_attempt_rate <= capacity < metrics.attempt_rate
            and metrics.retry_ratio > retry_threshold
        )

    def _has_storm_ended(self, metrics: Metrics) -> bool:
        baseline_rate = metrics.baseline_attempt_rate or self.peak_rate
        retry_threshold = metrics.baseline_retry_ratio + EXTRA_RETRY_RATIO / 2
        return (
            metrics.retry_ratio <= retry_threshold
            or metrics.attempt_rate <= NORMAL_LOAD * baseline_rate
        )
