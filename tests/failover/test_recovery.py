"""Recovery of a failed site: stages, the recovery ramp, exclusion times and operator holds."""

from itertools import pairwise

import pytest

from lilacwalk.failover.config import Pace
from lilacwalk.failover.recovery import (
    CANARY_SHARE,
    RecoveryStage,
    SiteProbe,
    SiteRecovery,
    sites_allowed_to_ramp,
)
from tests.failover.conftest import SECOND

RECOVERY_PACE = Pace(step=SECOND)
HEALTHY_PROBE = SiteProbe(True, True, 1.0)
FAILED_PROBE = SiteProbe(False, False, 0.0)
SLOW_PROBE = SiteProbe(True, True, 2.0)


def evaluate_for(recovery, probe, duration, now, may_ramp=True, until=None):
    """Evaluates every 0.2 s for a duration or until a stage is reached; returns the end time."""
    end = now + duration
    while now < end and recovery.stage is not until:
        now += 2_000
        recovery.evaluate(probe, now, may_ramp)
    return now


def failed_recovery(now=0):
    """Returns the recovery of a site that has just failed."""
    recovery = SiteRecovery("recife", RECOVERY_PACE, now)
    recovery.evaluate(FAILED_PROBE, now + 1)
    return recovery


def test_a_failed_site_recovers_by_stages_and_never_all_at_once():
    recovery = failed_recovery()
    shares, stages, now = [], [], 1
    while recovery.stage is not RecoveryStage.HEALTHY and now < 60 * SECOND:
        now += 2_000
        recovery.evaluate(HEALTHY_PROBE, now)
        if not shares or recovery.share != shares[-1]:
            shares.append(recovery.share)
        if not stages or recovery.stage is not stages[-1]:
            stages.append(recovery.stage)
    assert stages == [
        RecoveryStage.FAILED,
        RecoveryStage.PROBING,
        RecoveryStage.CANARY,
        RecoveryStage.RAMPING,
        RecoveryStage.HEALTHY,
    ]
    assert shares[1] == CANARY_SHARE
    assert all(b <= 1.5 * a + 1e-9 for a, b in pairwise(shares[1:]))
    assert now < 20 * SECOND


def test_the_share_is_halved_when_the_response_time_rises_and_is_zero_if_it_stays_high():
    recovery = failed_recovery()
    now = evaluate_for(recovery, HEALTHY_PROBE, 60 * SECOND, 1, until=RecoveryStage.RAMPING)
    now = evaluate_for(recovery, HEALTHY_PROBE, 4 * SECOND, now)
    previous_share = recovery.share
    recovery.evaluate(SLOW_PROBE, now + 1)
    assert recovery.share == pytest.approx(previous_share / 2)
    evaluate_for(recovery, SLOW_PROBE, 20 * SECOND, now)
    assert recovery.stage is RecoveryStage.PROBING
    assert recovery.share == 0.0


def test_a_flapping_site_is_excluded_longer_each_time_up_to_a_maximum():
    recovery, now, exclusion_times = SiteRecovery("recife", RECOVERY_PACE, 0), 0, []
    for _ in range(12):
        recovery.evaluate(FAILED_PROBE, now)
        failed_at = now
        now = evaluate_for(recovery, HEALTHY_PROBE, 400 * SECOND, now, until=RecoveryStage.CANARY)
        exclusion_times.append(now - failed_at)
    assert all(b >= a for a, b in pairwise(exclusion_times))
    assert exclusion_times[3] > 2 * exclusion_times[0]
    assert exclusion_times[-1] <= RECOVERY_PACE.longest + 2 * RECOVERY_PACE.steady


def test_a_long_healthy_period_shortens_the_next_exclusion():
    recovery, now = failed_recovery(), 0
    for _ in range(3):
        now = evaluate_for(recovery, HEALTHY_PROBE, 400 * SECOND, now, until=RecoveryStage.CANARY)
        recovery.evaluate(FAILED_PROBE, now)
    failure_count = recovery.failure_count
    now = evaluate_for(recovery, HEALTHY_PROBE, 900 * SECOND, now, until=RecoveryStage.HEALTHY)
    evaluate_for(recovery, HEALTHY_PROBE, 1_000 * SECOND, now)
    assert recovery.failure_count < failure_count


def test_two_sites_ramp_one_after_the_other_if_the_fleet_would_not_survive_both_failing_again():
    one, other = failed_recovery(), SiteRecovery("natal", RECOVERY_PACE, 0)
    other.evaluate(FAILED_PROBE, 1)
    now = 1
    for _ in range(300):
        now += 2_000
        allowed = sites_allowed_to_ramp([one, other], survives_repeated_failure=False)
        assert len(allowed) <= 1
        one.evaluate(HEALTHY_PROBE, now, one.site in allowed)
        other.evaluate(HEALTHY_PROBE, now, other.site in allowed)
        assert not (one.is_ramping and other.is_ramping)
    assert one.stage is other.stage is RecoveryStage.HEALTHY


def test_a_hold_pauses_the_recovery_and_expires():
    recovery = failed_recovery()
    now = evaluate_for(recovery, HEALTHY_PROBE, 60 * SECOND, 1, until=RecoveryStage.CANARY)
    recovery.hold(now + 30 * SECOND, now)
    now = evaluate_for(recovery, HEALTHY_PROBE, 20 * SECOND, now)
    assert recovery.stage is RecoveryStage.HELD
    assert recovery.share == 0
    now = evaluate_for(recovery, HEALTHY_PROBE, 60 * SECOND, now, until=RecoveryStage.HEALTHY)
    assert recovery.stage is RecoveryStage.HEALTHY


def test_a_drain_takes_load_off_a_healthy_site_and_a_release_restores_it():
    recovery = SiteRecovery("recife", RECOVERY_PACE, 0)
    recovery.hold(SECOND, 0)
    assert recovery.share == 1.0  # a hold stops only a recovery, and this site is healthy
    recovery.drain(600 * SECOND, 0)
    assert recovery.share == 0.0
    recovery.release(10)
    assert (
        evaluate_for(recovery, HEALTHY_PROBE, 60 * SECOND, 10, until=RecoveryStage.HEALTHY)
        < 30 * SECOND
    )
