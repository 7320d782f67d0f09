"""Members whose sites blocks differ: the one with the lower revision is outdated."""

from lilacwalk.failover.plan_agreement import (
    PlanFingerprint,
    compare_fingerprints,
    plan_fingerprint,
    put_fingerprint,
    read_fingerprint,
)
from tests.failover.conftest import failover_config


def test_the_older_of_two_differing_files_is_outdated_and_equal_files_agree():
    own_fingerprint = plan_fingerprint(failover_config())
    other_fingerprint = plan_fingerprint(failover_config(load=15))
    assert own_fingerprint != other_fingerprint
    assert plan_fingerprint(failover_config()) == own_fingerprint
    metadata = put_fingerprint(("drain recife 1 2",), other_fingerprint)
    assert read_fingerprint(metadata) == other_fingerprint
    assert "drain recife 1 2" in metadata
    older, newer = PlanFingerprint(1, "aa"), PlanFingerprint(2, "00")
    agreement = compare_fingerprints(
        older, [("n1", put_fingerprint((), newer)), ("n2", put_fingerprint((), older)), ("n3", ())]
    )
    assert agreement.differing_members == ("n1",)
    assert agreement.is_outdated
    assert not compare_fingerprints(newer, [("n0", put_fingerprint((), older))]).is_outdated
    # Two different files with the same revision: exactly one of them is outdated.
    outdated = PlanFingerprint(3, "aa")
    current = PlanFingerprint(3, "ab")
    assert compare_fingerprints(outdated, [("n", put_fingerprint((), current))]).is_outdated
    assert not compare_fingerprints(current, [("n", put_fingerprint((), outdated))]).is_outdated
