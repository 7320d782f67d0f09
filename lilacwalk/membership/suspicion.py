"""The timeout of a suspicion, after which the member is declared dead (Lifeguard III.B).

While only one member suspects, the timeout is long, because that member may be at fault itself.
Each independent confirmation shortens it, down to a minimum in which a refutation still arrives.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from lilacwalk.membership.messages import Precedence

MIN_TIMEOUT_INTERVALS = 2.0  # probe intervals; multiplied by log10 of the members from ten on
MAX_TIMEOUT_RATIO = 4.0  # maximum timeout over minimum timeout
MAX_TIMEOUT_RATIO_UNCONFIRMED = 2.0  # the same ratio if no other member can confirm the suspicion
MAX_CONFIRMATIONS = 3  # Lifeguard's K: confirmations at which the timeout is at its minimum
NON_CONFIRMING_MEMBERS = 3  # this member, the first reporter and the suspect


@dataclass(eq=False, slots=True)
class Suspicion:
    """A member under suspicion; times in tenths of a millisecond.

    Owned by the failure detector, which drops it after a refutation or declares the member dead.
    """

    name: str
    precedence: Precedence  # precedence of the suspected claim; a newer claim ends the suspicion
    started_at: int
    min_timeout: int
    max_timeout: int
    expected_confirmations: int
    reporters: set[str] = field(default_factory=set)

    def confirm(self, reporter: str) -> bool:
        """Adds a reporter; returns False if it is known already or the timeout is minimal."""
        if reporter in self.reporters or len(self.reporters) > self.expected_confirmations:
            return False
        self.reporters.add(reporter)
        return True

    def concerns(self, precedence: Precedence) -> bool:
        """Whether a claim of this precedence is about the same process and refutation."""
        return self.precedence[:3] == precedence[:3]

    @property
    def deadline(self) -> int:
        """The time at which the member is declared dead."""
        confirmations = len(self.reporters) - 1
        if confirmations <= 0 or self.expected_confirmations == 0:
            return self.started_at + self.max_timeout
        share = min(1.0, math.log(confirmations + 1) / math.log(self.expected_confirmations + 1))
        span = self.max_timeout - self.min_timeout
        return self.started_at + int(self.max_timeout - span * share)


def min_suspicion_timeout(interval: int, members: int) -> int:
    """Returns the shortest timeout, in the unit of `interval`, with `members` present members."""
    return int(MIN_TIMEOUT_INTERVALS * max(1.0, math.log10(max(1, members))) * interval)


def start_suspicion(
    name: str, precedence: Precedence, reporter: str, now: int, interval: int, members: int
) -> Suspicion:
    """Returns a suspicion with its first reporter; `members` is the number of present members."""
    min_timeout = min_suspicion_timeout(interval, members)
    confirmations = max(0, min(MAX_CONFIRMATIONS, members - NON_CONFIRMING_MEMBERS))
    ratio = MAX_TIMEOUT_RATIO if confirmations else MAX_TIMEOUT_RATIO_UNCONFIRMED
    return Suspicion(
        name, precedence, now, min_timeout, int(min_timeout * ratio), confirmations, {reporter}
    )
