"""The codec on files that are truncated, corrupted or of other versions."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lilacwalk.storage import records
from lilacwalk.storage.records import (
    FRAME,
    HEADER,
    SEQUENCE,
    Record,
    encode_header,
    encode_record,
    read_records,
)

ROWS = [Record(number, 1, b"k%d" % number, b"v" * number, 0, 5) for number in range(1, 6)]
DATA = encode_header(1) + b"".join(map(encode_record, ROWS))


def test_file_is_read_to_its_end_and_preallocated_space_is_not_a_fault():
    assert read_records(DATA, 1).records == ROWS
    assert read_records(DATA + bytes(500), 1).fault == ""


def test_flipped_bit_is_detected_and_the_records_before_it_are_valid():
    for offset in range(HEADER.size, len(DATA)):
        corrupted = bytearray(DATA)
        corrupted[offset] ^= 0x10
        result = read_records(bytes(corrupted), 1)
        assert result.fault
        assert result.records == ROWS[: len(result.records)]
        assert result.valid_bytes <= offset


def test_truncated_file_keeps_its_complete_records():
    for offset in range(len(DATA)):
        result = read_records(DATA[:offset], 1)
        assert result.records == ROWS[: len(result.records)]
        assert result.valid_bytes <= offset


@pytest.mark.parametrize(
    ("order", "fault"),
    [([1, 2, 2], "duplicated record"), ([1, 3], "missing record"), ([2, 1], "missing record")],
)
def test_duplicated_missing_or_reordered_records_are_faults(order, fault):
    data = encode_header(1) + b"".join(encode_record(ROWS[number - 1]) for number in order)
    assert read_records(data, 1).fault == fault


@given(st.binary(max_size=200))
def test_arbitrary_bytes_after_a_header_yield_a_fault_or_valid_bytes_within_the_file(raw):
    result = read_records(encode_header(1) + raw, 1)
    assert result.fault or result.valid_bytes <= HEADER.size + len(raw)


def test_record_of_version_1_is_migrated_and_a_later_version_refused():
    payload = SEQUENCE.pack(1) + records.msgspec.msgpack.encode((1, b"k", b"v", 1_000))
    old = encode_header(1, 1) + FRAME.pack(len(payload), records.zlib.crc32(payload)) + payload
    [row] = read_records(old, 1).records
    assert (row.key, row.value, row.written_at, row.expires_at) == (
        b"k",
        b"v",
        1_000,
        1_000 + 24 * 3600 * 10_000,
    )
    assert "format 3" in read_records(encode_header(1, 3), 1).fault
