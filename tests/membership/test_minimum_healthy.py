"""Tests of the limit on unhealthy members that withdraw at the same time."""

from lilacwalk.membership.messages import NodeState
from lilacwalk.membership.minimum_healthy import WithdrawalCandidate, may_withdraw, withdrawal_limit


def members(unhealthy, withdrawn=(), count=12):
    return [
        WithdrawalCandidate(
            f"n{index}",
            1,
            NodeState.UNHEALTHY if index in unhealthy else NodeState.READY,
            index in withdrawn,
        )
        for index in range(count)
    ]


def names_allowed_to_withdraw(fleet, view):
    return [
        member.name
        for member in fleet
        if may_withdraw(member.name, view, 0.34, view_is_complete=True)
    ]


def test_no_more_than_the_allowed_share_withdraws_and_all_nodes_select_the_same_members():
    fleet = members(range(8))
    selected = names_allowed_to_withdraw(fleet, fleet)
    assert len(selected) == 4 == withdrawal_limit(12, 0.34)
    assert selected == names_allowed_to_withdraw(fleet, list(reversed(fleet)))


def test_members_that_have_already_withdrawn_use_up_the_limit_first():
    fleet = members(range(8), withdrawn=(0, 1, 2, 3))
    assert names_allowed_to_withdraw(fleet, fleet) == ["n0", "n1", "n2", "n3"]


def test_withdrawal_needs_a_complete_view_and_another_serving_member():
    assert not may_withdraw("n0", members([0]), 0.34, view_is_complete=False)
    assert not may_withdraw("n0", members([0], count=1), 1.0, view_is_complete=True)
    assert may_withdraw("n0", members([0], count=2), 0.1, view_is_complete=True)
