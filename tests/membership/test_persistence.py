"""Tests of which membership data is stored, and when."""

import msgspec
import pytest

from lilacwalk.membership.persistence import (
    INCARNATION_KEY,
    MEMBERS_KEY,
    PersistenceSchedule,
    decode_incarnation,
    decode_members,
)
from lilacwalk.membership.view import MembershipView
from tests.membership.conftest import SECOND, gossip_update


def test_an_incarnation_is_written_at_once_and_again_after_a_failed_write():
    schedule, view = PersistenceSchedule(True, 0), MembershipView(10)
    view.apply(gossip_update("n9"), 0)
    # nothing is written before the earlier incarnation has been read
    assert schedule.take_due_records(7, view, "n1", 0) == []
    schedule.store_opened(3)
    (record,) = schedule.take_due_records(7, view, "n1", 0)
    assert (record.key, record.value) == (INCARNATION_KEY, b"7")
    assert schedule.state == "opening"
    schedule.write_finished(INCARNATION_KEY, False, 0)
    schedule.write_finished(INCARNATION_KEY, False, 0)
    assert schedule.take_due_records(7, view, "n1", SECOND) == []
    assert len(schedule.changes) == 1  # two failures are reported once
    schedule.take_due_records(7, view, "n1", 6 * SECOND)
    schedule.write_finished(INCARNATION_KEY, True, 6 * SECOND)
    assert schedule.state == "kept"
    assert schedule.stored_incarnation == 7
    (members,) = schedule.take_due_records(7, view, "n1", 6 * SECOND)
    assert members.key == MEMBERS_KEY
    assert [update.name for update in decode_members(members.value)] == ["n9"]


@pytest.mark.parametrize("value", [None, b"", b"x", b"9" * 30])
def test_unreadable_records_are_treated_as_missing(value):
    assert decode_incarnation(value) == 0
    assert decode_members(value) == []
    assert decode_members(msgspec.msgpack.encode([1, 2])) == []
