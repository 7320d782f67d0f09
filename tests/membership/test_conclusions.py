"""Tests of a node's verdict on the reliability of its own view."""

import pytest

from lilacwalk.membership.conclusions import ViewStatistics, conclude

STATISTICS = {
    "present": 6,
    "suspects": 0,
    "lost": 0,
    "left": 0,
    "silent_intervals": 0,
    "unanswered_probes": 0,
    "joining": False,
    "recovering_from_stall": False,
    "name_conflict": False,
    "peers_agree": True,
}


@pytest.mark.parametrize(
    ("changed_statistics", "verdict"),
    [
        ({}, "whole"),
        ({"lost": 5}, "whole"),
        ({"lost": 6}, "unsure"),
        ({"lost": 7}, "minority"),
        ({"silent_intervals": 4}, "alone"),
        ({"present": 1, "lost": 5}, "alone"),
        ({"joining": True}, "alone"),
        ({"suspects": 1}, "unsure"),
        ({"unanswered_probes": 6}, "unsure"),
        ({"peers_agree": False}, "unsure"),
        ({"recovering_from_stall": True, "lost": 5}, "unsure"),
        ({"name_conflict": True}, "unsure"),
        ({"present": 1, "silent_intervals": 9}, "whole"),  # a fleet of one expects no datagrams
    ],
)
def test_the_verdict_follows_from_the_statistics(changed_statistics, verdict):
    assert conclude(ViewStatistics(**(STATISTICS | changed_statistics))).verdict == verdict


@pytest.mark.parametrize(
    ("changed_statistics", "firm"),
    [
        ({"present": 3_000, "suspects": 40}, True),
        ({"present": 3_000, "peers_agree": False}, True),
        ({"present": 12, "suspects": 6}, False),
        ({"present": 12, "suspects": 5}, True),
        ({"present": 8, "lost": 4, "suspects": 2}, False),
        ({"present": 3_000, "unanswered_probes": 9}, False),
        ({"present": 3_000, "recovering_from_stall": True}, False),
        ({"present": 3_000, "name_conflict": True}, False),
    ],
)
def test_a_conclusion_is_firm_if_unsuspected_members_are_a_majority_and_this_node_is_sound(
    changed_statistics, firm
):
    """A node is not sound if it stalled, gets no answers or shares its name with a process."""
    assert conclude(ViewStatistics(**(STATISTICS | changed_statistics))).firm is firm
