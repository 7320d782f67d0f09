"""Returns load to a failed site in stages with hysteresis, depending on its response time.

A site that fails again is excluded for twice as long each time, up to a maximum; the exclusion time
is halved again while the site stays healthy. Two sites ramp at the same time only if the fleet has
enough capacity left when both fail again; otherwise the one that entered its stage first continues.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from lilacwalk.failover.config import SECOND, Pace

CANARY_SHARE = 0.05  # of a site's load: enough to measure response times, safe for cold caches
RAMP_FACTOR = 1.5  # factor by which each step raises a site's share of its load
MAX_RESPONSE_RATIO = 1.25  # response time over its baseline, above which a site is overloaded
GOOD_PROBES_REQUIRED = 3  # consecutive good probes before a site's share is raised
FAILURE_EXPIRY_FACTOR = 10  # a failure is forgotten after this many exclusion times in HEALTHY
MAX_EXCLUSION_DOUBLINGS = 30  # bounds the shift; the maximum of `Pace.longest` is reached earlier


class RecoveryStage(Enum):
    """Stages of recovery; the values are gossiped, stored and shown to operators."""

    FAILED = "lost"  # no load; excluded, or not yet reachable for long enough
    PROBING = "probing"  # no load; its probes are evaluated
    CANARY = "trickle"  # `CANARY_SHARE` of its load
    RAMPING = "ramp"  # the share grows with each step, and is halved when response times rise
    HEALTHY = "whole"  # all of its load
    HELD = "held"  # no load until an operator releases it or the hold expires


@dataclass(frozen=True, slots=True)
class SiteProbe:
    """The observed state of a site at one moment."""

    is_reachable: bool
    has_enough_members: bool  # whether enough of its members serve for it to take load
    response_ratio: float  # response time over its baseline; 0: not known
    is_failing: bool = False  # its members are unhealthy or slow


class SiteRecovery:
    """Recovery stage of one site, and the share of its load that the site is to serve (`share`).

    Owned by the failover planner. Times are in tenths of a millisecond.
    """

    def __init__(self, site: str, pace: Pace, now: int, is_reachable: bool = True) -> None:
        """Sets the first stage: HEALTHY if the site is reachable, otherwise FAILED."""
        self.site = site
        self.pace = pace
        self.stage = RecoveryStage.HEALTHY if is_reachable else RecoveryStage.FAILED
        self.share = 1.0 if is_reachable else 0.0
        self.stage_since = now
        self.share_changed_at = now
        self.reachable_since: int | None = now if is_reachable else None
        self.good_probes = 0  # consecutive
        self.failure_count = 0
        self.excluded_until = now
        self.held_until = 0
        self.reason = "reachable at start" if is_reachable else "not reachable at start"

    @property
    def is_ramping(self) -> bool:
        """Whether the site takes a part of its load."""
        return self.stage in (RecoveryStage.CANARY, RecoveryStage.RAMPING)

    # Persistence

    def failure_history(self, now: int) -> tuple[int, int]:
        """Returns the persisted state: number of failures and remaining exclusion time."""
        return self.failure_count, max(0, self.excluded_until - now)

    def restore_failure_history(self, failure_count: int, exclusion: int, now: int) -> None:
        """Restores the state persisted before a restart.

        Without it a restarted node would return load to a site that the other nodes still exclude.
        """
        self.failure_count = max(self.failure_count, failure_count)
        self.excluded_until = max(self.excluded_until, now + min(exclusion, self.pace.longest))

    # Operator commands

    def hold(self, until: int, now: int) -> None:
        """Stops the recovery of a site that is not healthy: the site receives no load.

        A healthy site keeps its load.
        """
        self.held_until = until
        if self.stage is not RecoveryStage.HEALTHY:
            self._enter(RecoveryStage.HELD, 0.0, "held by the operator", now)

    def drain(self, until: int, now: int) -> None:
        """Moves all load off a site, whether the site is healthy or not."""
        self.held_until = until
        self._enter(RecoveryStage.HELD, 0.0, "drained by the operator", now)

    def release(self, now: int) -> None:
        """Ends a hold or a drain."""
        self.held_until = 0
        if self.stage is RecoveryStage.HELD:
            self._enter(RecoveryStage.PROBING, 0.0, "released by the operator", now)

    # Probes

    def evaluate(self, probe: SiteProbe, now: int, may_ramp: bool = True) -> None:
        """Evaluates one probe. `may_ramp`: False if another site's recovery takes precedence."""
        if self.stage is RecoveryStage.HELD:
            if now < self.held_until:
                return
            self._enter(RecoveryStage.PROBING, 0.0, "hold expired", now)
        if not probe.is_reachable:
            self._record_failure(now)
            return
        if self.reachable_since is None:
            self.reachable_since = now
        is_good = not probe.is_failing and probe.response_ratio <= MAX_RESPONSE_RATIO
        self.good_probes = self.good_probes + 1 if is_good and probe.has_enough_members else 0
        match self.stage:
            case RecoveryStage.FAILED:
                self._evaluate_failed(now)
            case RecoveryStage.PROBING:
                self._evaluate_probing(now, may_ramp)
            case RecoveryStage.CANARY | RecoveryStage.RAMPING:
                self._evaluate_ramping(probe, is_good, now)
            case RecoveryStage.HEALTHY:
                self._evaluate_healthy(now)

    def _enter(self, stage: RecoveryStage, share: float, reason: str, now: int) -> None:
        if stage is not self.stage:
            self.stage_since = now
        self.stage = stage
        self.share = share
        self.reason = reason
        self.share_changed_at = now
        self.good_probes = 0

    def _exclusion_time(self) -> int:
        doublings = min(MAX_EXCLUSION_DOUBLINGS, max(0, self.failure_count - 1))
        return min(self.pace.longest, self.pace.steady << doublings)

    def _record_failure(self, now: int) -> None:
        self.reachable_since = None
        if self.stage is RecoveryStage.FAILED:
            return
        if self.stage is not RecoveryStage.PROBING or self.failure_count == 0:
            self.failure_count += 1
        exclusion = self._exclusion_time()
        self.excluded_until = now + exclusion
        reason = f"failure {self.failure_count}: excluded for at least {exclusion / SECOND:g} s"
        self._enter(RecoveryStage.FAILED, 0.0, reason, now)

    def _evaluate_failed(self, now: int) -> None:
        assert self.reachable_since is not None
        is_stable = now - self.reachable_since >= self.pace.steady
        if now >= self.excluded_until and is_stable:
            self._enter(RecoveryStage.PROBING, 0.0, "reachable again for the required time", now)

    def _evaluate_probing(self, now: int, may_ramp: bool) -> None:
        if self.good_probes < GOOD_PROBES_REQUIRED:
            return
        if may_ramp:
            self._enter(RecoveryStage.CANARY, CANARY_SHARE, "probes within limits", now)
        else:
            self.reason = (
                "waiting for another site's recovery: the fleet would not survive the loss of both"
            )

    def _evaluate_ramping(self, probe: SiteProbe, is_good: bool, now: int) -> None:
        if not is_good:
            self._reduce_share(now)
            return
        is_due = now - self.share_changed_at >= self.pace.step
        if self.good_probes >= GOOD_PROBES_REQUIRED and is_due and probe.has_enough_members:
            share = min(1.0, self.share * RAMP_FACTOR)
            stage = RecoveryStage.RAMPING if share < 1 else RecoveryStage.HEALTHY
            self._enter(stage, share, "response time within its limit", now)

    def _reduce_share(self, now: int) -> None:
        if self.share > CANARY_SHARE:
            share = max(CANARY_SHARE, self.share / 2)
            reason = "degraded or response time above its limit: share halved"
            self._enter(RecoveryStage.RAMPING, share, reason, now)
        else:
            reason = "degraded or response time above its limit at the canary share"
            self._enter(RecoveryStage.PROBING, 0.0, reason, now)

    def _evaluate_healthy(self, now: int) -> None:
        is_expired = now - self.stage_since >= FAILURE_EXPIRY_FACTOR * self._exclusion_time()
        if self.failure_count and is_expired:
            self.failure_count -= 1
            self.stage_since = now


def sites_allowed_to_ramp(
    recoveries: list[SiteRecovery], survives_repeated_failure: bool
) -> set[str]:
    """Returns the sites whose share of their load may be raised now.

    These are all candidates if the fleet survives a repeated failure. Otherwise it is the one that
    entered its stage first; sites that are ramping take precedence over those in PROBING.

    Args:
        recoveries: recovery states of all sites.
        survives_repeated_failure: whether the fleet has enough capacity if all recovering sites
            fail again together.
    """
    candidates = [
        each for each in recoveries if each.stage is RecoveryStage.PROBING or each.is_ramping
    ]
    if survives_repeated_failure:
        return {each.site for each in candidates}
    ramping = [each for each in candidates if each.is_ramping]
    first = min(ramping or candidates, key=lambda each: (each.stage_since, each.site), default=None)
    return {first.site} if first is not None else set()
