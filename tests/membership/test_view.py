"""Tests of the member table: order of claims, digests, forgotten members, size limit."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lilacwalk.membership.member import Change
from lilacwalk.membership.messages import Health, NodeState
from lilacwalk.membership.view import MembershipView, row_digest
from tests.membership.conftest import SECOND, gossip_update

claims = st.builds(
    gossip_update,
    name=st.sampled_from(["a", "b", "c"]),
    incarnation=st.integers(1, 3),
    instance=st.integers(1, 2),
    refutation=st.integers(0, 2),
    health=st.sampled_from(Health),
    reported_by=st.sampled_from(["a", "b"]),
)


def table(view):
    return {name: (member.precedence, member.health) for name, member in view.members.items()}


@given(st.lists(claims, max_size=12), st.randoms())
def test_the_same_claims_in_any_order_and_duplicated_give_the_same_table(updates, random):
    first, second = MembershipView(10), MembershipView(10)
    for update in updates:
        first.apply(update, 0)
    duplicated = updates + random.choices(updates, k=3) if updates else []
    random.shuffle(duplicated)
    for update in duplicated:
        second.apply(update, 0)
    assert table(first) == table(second)
    assert first.digest == second.digest
    assert first.bucket_digests == second.bucket_digests


@given(st.lists(claims, max_size=20))
def test_precedence_never_decreases_and_the_digest_combines_the_row_digests(updates):
    view, before = MembershipView(10), {}
    for update in updates:
        view.apply(update, 0)
        for name, member in view.members.items():
            assert member.precedence >= before.get(name, (0, 0, 0, 0))
            before[name] = member.precedence
    digest = 0
    for member in view.members.values():
        digest ^= row_digest(member)
    assert digest == view.digest


def test_suspect_overrides_alive_and_a_new_refutation_overrides_both():
    view = MembershipView(10)
    assert view.apply(gossip_update(), 0) is Change.JOINED
    assert (
        view.apply(gossip_update(health=Health.SUSPECT, reported_by="x", metadata=False), 1)
        is Change.SUSPECTED
    )
    assert view.apply(gossip_update(), 2) is None
    assert (
        view.apply(gossip_update(health=Health.SUSPECT, reported_by="y", metadata=False), 2)
        is Change.CONFIRMED
    )
    assert view.apply(gossip_update(refutation=1, metadata=False), 3) is Change.REFUTED
    assert (
        view.apply(gossip_update(health=Health.DEAD, reported_by="x", metadata=False), 4) is None
    )  # its refutation number is the previous one


def test_older_metadata_never_replaces_newer():
    view = MembershipView(10)
    view.apply(gossip_update(version=3, load_permille=700), 0)
    assert view.apply(gossip_update(version=2, load_permille=100), 1) is None
    assert view.get("n2").metadata.load_permille == 700


def test_a_new_incarnation_is_a_restart_with_metadata_versions_counted_anew():
    view = MembershipView(10)
    view.apply(gossip_update(version=9, load_permille=700), 0)
    assert (
        view.apply(gossip_update(incarnation=6, version=1, load_permille=0), 1) is Change.RESTARTED
    )
    assert view.get("n2").metadata.version == 1


def test_a_member_at_another_address_is_reported_as_moved():
    view = MembershipView(10)
    view.apply(gossip_update(), 0)
    before = view.digest
    assert view.apply(gossip_update(version=2, port=77), 1) is Change.MOVED
    assert view.get("n2").address == ("10.0.0.2", 77)
    assert view.digest != before


def test_a_forgotten_member_is_revived_only_by_a_new_incarnation():
    view, forget_after = MembershipView(10), 60 * SECOND
    view.apply(gossip_update(), 0)
    view.apply(gossip_update(health=Health.DEAD, reported_by="x", metadata=False), 0)
    assert view.forget(forget_after, forget_after) == ["n2"]
    assert view.get("n2") is None
    assert view.apply(gossip_update(), forget_after) is None
    assert view.get("n2") is None
    assert (
        view.apply(gossip_update(incarnation=6), forget_after) is Change.JOINED
    )  # the member has restarted
    view.apply(
        gossip_update(incarnation=6, health=Health.DEAD, reported_by="x", metadata=False),
        forget_after,
    )
    view.forget(2 * forget_after, forget_after)
    view.forget(3 * forget_after, forget_after)
    assert not view.members


def test_a_full_table_replaces_dead_members_but_never_present_ones():
    view = MembershipView(2)
    view.apply(gossip_update("a"), 0)
    view.apply(gossip_update("b"), 0)
    assert view.apply(gossip_update("c"), 0) is None
    assert view.rejected_updates == 1
    view.apply(gossip_update("b", health=Health.DEAD, reported_by="a", metadata=False), 0)
    assert view.apply(gossip_update("c"), 0) is Change.JOINED
    assert set(view.members) == {"a", "c"}


@pytest.mark.parametrize("changes", [{"state": NodeState.UNHEALTHY}, {"withdrawn": True}])
def test_states_and_withdrawals_are_part_of_the_digest(changes):
    from msgspec.structs import replace

    view = MembershipView(10)
    view.apply(gossip_update(), 0)
    before = view.digest
    update = gossip_update(version=2)
    view.apply(replace(update, metadata=replace(update.metadata, **changes)), 1)
    assert view.digest != before
