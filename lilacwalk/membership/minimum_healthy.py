"""Limit on the members that may withdraw their routes as unhealthy at the same time.

If many members become unhealthy at the same time, the cause is likely shared, and each withdrawal
moves load to the others. So no more than a share of the fleet withdraws, selected by a rank that
all members compute alike. The rank is a hash of name and incarnation, so the selected members
change with restarts. When in doubt, a node keeps serving: it does not withdraw unless its view is
whole.

A member that has withdrawn publishes this in its metadata and is counted first. Nodes with
different views may select different members: the share can be exceeded by members that become
unhealthy and withdraw within the time that a change takes to spread. In a partition each side
counts only the members it sees: both sides together withdraw no more than the share of all
members, plus one for each side on which the share amounts to less than one member.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from hashlib import blake2b
from typing import NamedTuple

from lilacwalk.membership.messages import NodeState

UNHEALTHY_STATES = (NodeState.UNHEALTHY, NodeState.STALLED)
SERVING_STATES = (NodeState.READY, *UNHEALTHY_STATES)


class WithdrawalCandidate(NamedTuple):
    """A present member, with the properties that decide whether it may withdraw."""

    name: str
    incarnation: int
    state: NodeState
    withdrawn: bool


def withdrawal_rank(name: str, incarnation: int) -> bytes:
    """Returns the key by which unhealthy members are ordered for withdrawal."""
    return blake2b(f"{name} {incarnation}".encode(), digest_size=8).digest()


def withdrawal_limit(serving: int, share: float) -> int:
    """Returns how many of the serving members may withdraw.

    The limit is below the number of serving members. With two or more of them it is at least one,
    so that a single unhealthy member can withdraw even if the share rounds down to zero.
    """
    return min(max(0, serving - 1), max(1, math.floor(serving * share)))


def may_withdraw(
    own_name: str, members: Iterable[WithdrawalCandidate], share: float, *, view_is_complete: bool
) -> bool:
    """Returns whether this node may withdraw; `members` are all present ones, including itself."""
    if not view_is_complete:
        return False
    serving = [member for member in members if member.state in SERVING_STATES]
    unhealthy = [member for member in serving if member.state in UNHEALTHY_STATES]
    unhealthy.sort(
        key=lambda member: (
            not member.withdrawn,
            withdrawal_rank(member.name, member.incarnation),
        )
    )
    limit = withdrawal_limit(len(serving), share)
    return any(member.name == own_name for member in unhealthy[:limit])
