"""Tests of the identity of the local member: incarnations, refutations and name conflicts."""

import pytest

from lilacwalk.membership.incarnation import ClaimOutcome, LocalIdentity
from lilacwalk.membership.messages import MAX_INCARNATION, MAX_REFUTATION, Health
from tests.membership.conftest import gossip_update


def claim(identity, **fields):
    """Returns a claim that equals the identity's own except for the given fields."""
    own = {
        "name": identity.name,
        "incarnation": identity.incarnation,
        "instance": identity.instance,
        "metadata": False,
        "reported_by": "x",
    }
    return gossip_update(**(own | fields))


def test_with_the_clock_set_back_the_incarnation_still_exceeds_the_stored_one():
    assert LocalIdentity("n1", 5_000, 100, 1).incarnation == 5_001


def test_without_a_stored_incarnation_the_one_known_to_others_is_superseded():
    identity = LocalIdentity("n1", 0, 100, 1)
    remembered = claim(identity, incarnation=9_000, instance=77, health=Health.DEAD)
    assert identity.handle_claim(remembered) is ClaimOutcome.SUPERSEDED
    assert identity.incarnation == 9_001


def test_a_process_restarted_before_it_was_suspected_supersedes_its_earlier_process():
    identity = LocalIdentity("n1", 0, 100, 1)  # the clock was set back before the restart
    earlier = claim(identity, incarnation=9_000, instance=77)
    assert identity.handle_claim(earlier) is ClaimOutcome.SUPERSEDED
    # the same claim again: it was made before its process was superseded
    assert identity.handle_claim(earlier) is ClaimOutcome.IGNORED


def test_a_suspicion_is_refuted_and_one_from_before_the_refutation_is_ignored():
    identity = LocalIdentity("n1", 0, 100, 1)
    assert identity.handle_claim(claim(identity, health=Health.DEAD)) is ClaimOutcome.REFUTED
    assert identity.refutation == 1
    assert identity.handle_claim(claim(identity, health=Health.SUSPECT)) is ClaimOutcome.IGNORED
    earlier = claim(
        identity, incarnation=identity.incarnation - 1, refutation=9, health=Health.DEAD
    )
    assert identity.handle_claim(earlier) is ClaimOutcome.IGNORED


def test_the_last_refutation_of_an_incarnation_is_followed_by_the_next_incarnation():
    identity = LocalIdentity("n1", 0, 100, 1)
    identity.refutation = MAX_REFUTATION
    suspicion = claim(identity, refutation=MAX_REFUTATION, health=Health.SUSPECT)
    assert identity.handle_claim(suspicion) is ClaimOutcome.REFUTED
    assert (identity.incarnation, identity.refutation) == (101, 0)


@pytest.mark.parametrize("own_instance_is_larger", [True, False])
def test_at_the_maximum_incarnation_the_smaller_instance_yields(own_instance_is_larger):
    identity = LocalIdentity("n1", 0, 100, 1)
    other = claim(
        identity,
        incarnation=MAX_INCARNATION,
        instance=identity.instance + (-1 if own_instance_is_larger else 1),
        health=Health.DEAD,
    )
    expected = ClaimOutcome.SUPERSEDED if own_instance_is_larger else ClaimOutcome.YIELDED
    assert identity.handle_claim(other) is expected


def test_of_two_processes_under_one_name_the_earlier_keeps_it_and_the_later_yields():
    first, second = LocalIdentity("n1", 0, 1_000, 1), LocalIdentity("n1", 0, 2_000, 1)
    first.established = True
    # the claim of the first is older than the second's own
    assert second.handle_claim(claim(first)) is ClaimOutcome.IGNORED
    assert first.handle_claim(claim(second)) is ClaimOutcome.SUPERSEDED
    # the second has just started and takes the first for its own earlier process
    assert second.handle_claim(claim(first)) is ClaimOutcome.SUPERSEDED
    assert first.handle_claim(claim(second)) is ClaimOutcome.SUPERSEDED
    # the first has answered with a higher incarnation, so it is running
    assert second.handle_claim(claim(first)) is ClaimOutcome.YIELDED
    later = claim(first, incarnation=first.incarnation + 9)
    assert second.handle_claim(later) is ClaimOutcome.IGNORED


def test_a_process_that_stalled_until_it_was_presumed_dead_yields_to_its_replacement():
    old, new = LocalIdentity("n1", 0, 1_000, 1), LocalIdentity("n1", 0, 2_000, 1)
    old.established = old.presumed_dead = True
    assert old.handle_claim(claim(new)) is ClaimOutcome.YIELDED
