"""Tests of the timeout of a suspicion."""

from lilacwalk.membership.suspicion import start_suspicion
from tests.membership.conftest import SECOND


def test_each_independent_confirmation_shortens_the_timeout_down_to_its_minimum():
    suspicion = start_suspicion("n2", (1, 1, 0, 1), "a", 0, SECOND, 50)
    deadlines = [suspicion.deadline]
    for reporter in ("a", "b", "c", "d", "e"):
        suspicion.confirm(reporter)
        deadlines.append(suspicion.deadline)
    assert deadlines[0] == deadlines[1] > deadlines[2] > deadlines[3] > deadlines[4]
    assert deadlines[4] == deadlines[5] == suspicion.min_timeout
    assert suspicion.min_timeout >= 2 * SECOND
