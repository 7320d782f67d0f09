"""Verdicts of one node on the reliability of its view.

alone      no datagrams arrive from the other expected members: the fault is likely local
minority   fewer than half of the expected members are present: this is likely the smaller side of
           a partition
unsure     the view is not reliable at the moment; the reason says why
whole      more than half of the expected members are present, none suspected, and peers agree

The expected members are all present ones, and all lost ones that did not leave and are not yet
forgotten. If exactly half are present, the conclusion is `unsure`: the other half concludes the
same.

In a large fleet some member is suspected at any time, so a view would rarely be `whole`. A
conclusion therefore also states whether it is firm: more than half of the expected members are
present even if all suspected ones are lost. That is enough to know on which side of a partition
this node is.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

# probe intervals without a datagram, from which a node is alone; at 30% packet loss the chance of
# so long a silence is 1 in a thousand
MAX_SILENT_INTERVALS = 4
# consecutive probes without an ack, from which the view is unreliable; checked only if datagrams of
# other members still arrive
MAX_UNANSWERED_PROBES = 6


class Verdict(StrEnum):
    """The conclusion in one word, as reported to operators."""

    ALONE = "alone"
    MINORITY = "minority"
    UNSURE = "unsure"
    WHOLE = "whole"


@dataclass(frozen=True, slots=True)
class ViewStatistics:
    """The figures that determine a conclusion."""

    present: int  # including this node
    suspects: int
    lost: int
    left: int
    silent_intervals: int  # probe intervals since the last datagram from another member
    unanswered_probes: int  # consecutive probes without an ack; those out of turn do not count
    joining: bool  # seeds are configured, but no other member has answered yet
    recovering_from_stall: bool
    name_conflict: bool
    peers_agree: bool  # the peers that sent datagrams last hold the same view as this node

    @property
    def expected(self) -> int:
        """The number of members that should be present."""
        return self.present + self.lost


@dataclass(frozen=True, slots=True)
class Conclusion:
    """A verdict and its reason; `firm`: whether the unsuspected members are a majority."""

    verdict: Verdict
    reason: str
    firm: bool = False


def conclude(statistics: ViewStatistics) -> Conclusion:
    """Returns the verdict on the reliability of the local view, from its statistics alone."""
    if statistics.name_conflict:
        return Conclusion(Verdict.UNSURE, "another process holds this name")
    return _isolation(statistics) or _own_fault(statistics) or _majority(statistics)


def _isolation(statistics: ViewStatistics) -> Conclusion | None:
    """Returns the verdict ALONE if no other member is present or sends datagrams, else None."""
    silent_intervals = statistics.silent_intervals
    if statistics.joining:
        return Conclusion(Verdict.ALONE, "no other member has answered yet")
    if statistics.expected > 1 and silent_intervals >= MAX_SILENT_INTERVALS:
        return Conclusion(Verdict.ALONE, f"no datagram for {silent_intervals} probe intervals")
    if statistics.present == 1 and statistics.lost:
        return Conclusion(Verdict.ALONE, f"all {statistics.lost} other members are lost")
    return None


def _own_fault(statistics: ViewStatistics) -> Conclusion | None:
    """Returns the verdict UNSURE if a fault of this node makes its view unreliable, else None."""
    unanswered = statistics.unanswered_probes
    if statistics.recovering_from_stall:
        return Conclusion(Verdict.UNSURE, "this process stalled and has not caught up yet")
    if unanswered >= MAX_UNANSWERED_PROBES:
        reason = f"datagrams arrive, but {unanswered} consecutive probes were not answered"
        return Conclusion(Verdict.UNSURE, reason)
    return None


def _majority(statistics: ViewStatistics) -> Conclusion:
    """Returns the verdict that follows from the share of the expected members that is present."""
    present, expected = statistics.present, statistics.expected
    counts = f"{present} of {expected} members present"
    if 2 * present < expected:
        return Conclusion(Verdict.MINORITY, counts)
    if 2 * present == expected:
        return Conclusion(Verdict.UNSURE, f"{counts}: exactly half")
    firm = 2 * (present - statistics.suspects) > expected
    if statistics.suspects:
        return Conclusion(Verdict.UNSURE, f"{counts}, {statistics.suspects} suspected", firm)
    if not statistics.peers_agree:
        return Conclusion(Verdict.UNSURE, f"{counts}, not confirmed by peers yet", firm)
    reason = f"{counts}, {statistics.lost} lost" if statistics.lost else counts
    return Conclusion(Verdict.WHOLE, reason, firm)
