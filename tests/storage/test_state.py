"""Validity and order of rows, and the weight of a learned value."""

from lilacwalk.storage.records import Record
from lilacwalk.storage.state import MAX_CLOCK_SKEW, State, Table, age_weight


def test_row_is_invalid_if_it_has_expired_or_was_written_in_the_future():
    state = State()
    state.apply(Record(1, Table.KEYS, b"a", b"1", expires_at=1_000, written_at=0))
    state.apply(Record(2, Table.KEYS, b"b", b"2", written_at=10_000_000))
    assert state.get(Table.KEYS, b"a", 999)
    assert state.get(Table.KEYS, b"a", 1_000) is None
    # The clock was set back between two processes.
    assert state.get(Table.KEYS, b"b", 10_000_000 - MAX_CLOCK_SKEW - 1) is None
    assert [row.key for row in state.rows_of_table(Table.KEYS, 10_000_000)] == [b"b"]
    assert state.expired_keys(2_000, 5) == [(Table.KEYS, b"a")]


def test_older_record_does_not_replace_a_newer_one():
    state = State()
    state.apply(Record(5, 1, b"a", b"new"))
    state.apply(Record(4, 1, b"a", b"old"))
    assert state.rows[1, b"a"].value == b"new"


def test_weight_of_a_learned_value_decreases_with_its_age():
    row = Record(1, Table.LEARNED, b"look", b"", written_at=1_000)
    assert age_weight(row, 1_000, 500) == 1.0
    assert age_weight(row, 1_500, 500) == 0.5
    assert age_weight(row, 0, 500) == 1.0
