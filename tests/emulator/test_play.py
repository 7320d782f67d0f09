"""Tests of the simulated fleet: rules, overlapping faults, and reproducibility."""

import os
import subprocess
import sys

import pytest

from lilacwalk.emulator.baselines import BASELINES_BY_NAME
from lilacwalk.emulator.faults import Fault, generate_faults
from lilacwalk.emulator.proxies import Router
from lilacwalk.emulator.server import Server
from lilacwalk.emulator.simulation import SECOND, play
from tests.conftest import ROOT

RECOVERABLE_FAULT_KINDS = (
    "crash",
    "silence",
    "hang",
    "slow",
    "cut",
    "surge",
    "outlet",
    "release",
    "flap",
)


def observable_results(result):
    """Returns the results of each second and the admission probabilities, as text."""
    return repr(
        [
            (
                at,
                row.wished,
                row.granted,
                row.in_time,
                round(row.benefit, 6),
                row.tries,
                row.refused,
                row.lost,
            )
            for at, row in result.stats_by_second.items()
        ]
    ) + repr([each.p_a for each in result.samples])


def test_controller_serves_a_fleet_below_capacity_without_violations(scenario):
    result = play(scenario(), 1)
    assert result.share(1) > 0.97 and not result.breaches and not result.terminated


def test_controller_keeps_serving_under_overload_where_admitting_all_collapses(scenario):
    controller_result = play(scenario(load=2.0), 1)
    admit_all_result = play(scenario(load=2.0, policy="all-in"), 1)
    assert controller_result.share(3) > 0.45 > 2 * admit_all_result.share(3)
    assert (
        not controller_result.breaches and min(each.p_a for each in controller_result.samples) < 0.9
    )


@pytest.mark.parametrize("baseline", BASELINES_BY_NAME)
def test_every_baseline_satisfies_the_common_rules_under_overload_and_a_crash(scenario, baseline):
    result = play(
        scenario(policy=baseline, load=1.6, faults=(Fault("crash", 2 * SECOND, SECOND, 0.5),)), 2
    )
    assert not [each for each in result.breaches if each.rule != "no fall-over"]
    assert result.completed


@pytest.mark.parametrize("kind", RECOVERABLE_FAULT_KINDS)
def test_service_recovers_after_each_fault(scenario, kind):
    fault = Fault(kind, 3 * SECOND, 2 * SECOND, 0.5, 0.3 if kind == "slow" else 3.0, "recife")
    result = play(scenario(length=14 * SECOND, faults=(fault,), load=0.5), 3)
    assert result.share(10, 14) > 0.9 and not result.breaches


def test_service_recovers_after_the_dependency_was_slow_and_then_down(scenario):
    from dataclasses import replace

    request_classes = [
        replace(each, calls_dependency=each.name == "swap") for each in scenario().request_classes
    ]
    faults = (
        Fault("index-slow", 3 * SECOND, 2 * SECOND, factor=4.0),
        Fault("index-down", 4 * SECOND, SECOND),
    )
    result = play(
        scenario(
            request_classes=tuple(request_classes),
            slots=4,
            length=16 * SECOND,
            faults=faults,
            load=0.5,
        ),
        4,
    )
    assert result.dependency_call_count and result.share(12, 16) > 0.85 and not result.breaches


def test_faults_that_start_at_the_same_time_cause_no_violation(scenario):
    faults = tuple(
        Fault(kind, 3 * SECOND, SECOND, 0.5, 2.0, "recife") for kind in RECOVERABLE_FAULT_KINDS
    )
    result = play(scenario(length=12 * SECOND, faults=faults, load=0.6), 5)
    assert not result.breaches and result.share(9, 12) > 0.5


def test_generated_faults_are_reproducible_and_cause_no_violation(scenario):
    for seed in range(6):
        faults = generate_faults(seed, 10 * SECOND, 4, ("recife",))
        assert faults == generate_faults(seed, 10 * SECOND, 4, ("recife",))
        result = play(scenario(length=10 * SECOND, faults=tuple(faults)), seed)
        assert not result.breaches, [str(each) for each in faults]


def test_simulation_without_traffic_ends_without_requests(scenario):
    result = play(scenario(load=0.0), 1)
    assert not result.stats_by_second and not result.breaches and result.share() == 1.0


def test_service_recovers_after_a_crash_at_the_start_and_after_a_crash_of_all_servers(scenario):
    first_crash = play(scenario(faults=(Fault("crash", 1, SECOND, 0.01),), load=0.4), 6)
    assert first_crash.share(3) > 0.9 and not first_crash.breaches
    all_crash = play(
        scenario(
            faults=(Fault("crash", 2 * SECOND, 3 * SECOND, 1.0),), length=14 * SECOND, load=0.4
        ),
        6,
    )
    assert all_crash.share(3, 4) < 0.1 < 0.9 < all_crash.share(9, 14) and not all_crash.breaches


def test_missing_rejections_are_recorded_as_violations_and_are_reproducible(scenario, monkeypatch):
    """The server sends no rejections, so rejected requests get no final answer."""
    monkeypatch.setattr(
        Server, "reject", lambda self, request, retry_after=0, no_retry_elsewhere=False: None
    )

    def violations(seed):
        return [(each.rule, each.at, each.who) for each in play(scenario(load=1.5), seed).breaches]

    recorded = violations(7)
    assert recorded and recorded == violations(7) != violations(8)
    assert {rule for rule, _, _ in recorded} == {"one final answer by the due time"}


def test_duplicate_effect_is_recorded_as_a_violation(scenario, monkeypatch):
    """The server stores no idempotency keys, and proxies send a request again after a reply."""
    monkeypatch.setattr(Server, "register_key", lambda self, request, lifetime: None)
    monkeypatch.setattr(
        Router,
        "_on_reply",
        lambda self, request, attempt, server, reply: self._start_round(request)
        if request.round_count < 2 and self.events.now < request.deadline
        else None,
    )
    assert "no effect twice" in {
        each.rule for each in play(scenario(servers=1, load=0.3), 1).breaches
    }


def test_a_seed_gives_the_same_results_under_every_hash_seed(scenario):
    script = (
        "from tests.emulator.conftest import REQUEST_CLASSES\n"
        "from tests.emulator.test_play import observable_results\n"
        "from lilacwalk.emulator.simulation import play, Scenario, SECOND\n"
        "from lilacwalk.emulator.faults import generate_faults\n"
        "print(observable_results(play(Scenario(request_classes=REQUEST_CLASSES,"
        " servers=4, routers=3, cores=2, load=1.2,"
        " length=5 * SECOND, faults=tuple(generate_faults(1, 5 * SECOND, 3, ('recife',)))), 9)))"
    )
    outputs = {
        subprocess.run(
            [sys.executable, "-B", "-c", script],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
            env=os.environ | {"PYTHONHASHSEED": seed},
        ).stdout
        for seed in ("1", "2", "77")
    }
    assert len(outputs) == 1 and len(outputs.pop()) > 300


def test_oracle_serves_more_than_the_other_baselines(scenario):
    shares = {
        baseline: play(scenario(load=2.0, policy=baseline), 1).share(3)
        for baseline in ("oracle", "fixed", "all-in")
    }
    assert shares["oracle"] > shares["fixed"] > shares["all-in"]
