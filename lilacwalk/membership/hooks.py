"""Callbacks of the membership host; all are called in the state machine's thread."""

from __future__ import annotations

from typing import Protocol

from lilacwalk.membership.conclusions import Verdict
from lilacwalk.membership.swim import Membership


class ViewListener(Protocol):
    """Notified when the view, the verdict or the permission to withdraw has changed."""

    def __call__(self, machine: Membership, verdict: Verdict, may_withdraw: bool, /) -> None:
        """Called in the state machine's thread.

        Args:
            machine: the state machine, which holds the view.
            verdict: the verdict on the reliability of the view.
            may_withdraw: whether this node may withdraw its route announcements if it is unhealthy.
        """


class PeriodicEvaluation(Protocol):
    """Evaluates the view at intervals of at least `host.EVALUATION_INTERVAL`."""

    def __call__(self, machine: Membership, now: int, /) -> None:
        """Called in the state machine's thread; `now` is in tenths of a millisecond."""
