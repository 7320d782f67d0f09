"""Codec of records and of the files that hold them.

Each record has a length, a checksum and a sequence number, so that a torn, corrupted, duplicated,
missing or reordered record is distinguished from one that was never written. `read_records`
accepts any bytes and reports invalid ones as a fault.
"""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass, field

import msgspec

from lilacwalk.errors import LilacwalkError

FORMAT_VERSION = 2  # records of version 1 have no expiry, see `_migrate_version_1`
MAGIC = b"lwlog1"
HEADER = struct.Struct("!6sHQI")  # magic, version, sequence number of the first record, checksum
CHECKSUM_BYTES = 4  # the header ends with its checksum
FRAME = struct.Struct("!II")  # length of the payload that follows, checksum of the payload
SEQUENCE = struct.Struct("!Q")
MAX_RECORD_BYTES = 1_048_576  # 200 times the longest result
# Longest deduplication window in version 1, in tenths of a ms.
VERSION_1_RETENTION = 24 * 3600 * 10_000

# Values of `RecordError.fault`
TORN = "torn record"  # the file ends within the record
CHECKSUM_MISMATCH = "checksum mismatch"  # the payload's CRC-32 differs from that in its frame
UNDECODABLE = "payload is not a record"
DUPLICATED = "duplicated record"  # its sequence number is lower than expected
MISSING = "missing record"  # the next sequence number is higher than expected


class FileFormatError(LilacwalkError):
    """A file has a header that this program cannot use."""


class IncompleteHeaderError(FileFormatError):
    """The file ends before its header does."""

    def __init__(self) -> None:
        """Creates the error."""
        super().__init__("file ends before its header is complete")


class InvalidHeaderError(FileFormatError):
    """The file was written by another program, or its header is corrupted."""

    def __init__(self) -> None:
        """Creates the error."""
        super().__init__("magic bytes or checksum of the header are wrong")


class UnsupportedVersionError(FileFormatError):
    """The file has a later format version than this program supports.

    Attributes:
        version: format version of the file.
    """

    def __init__(self, version: int) -> None:
        """Creates an error whose message contains both versions."""
        super().__init__(f"format {version}, this program supports up to {FORMAT_VERSION}")
        self.version = version


class RecordError(LilacwalkError):
    """A record that cannot be decoded or has an unexpected sequence number.

    Attributes:
        fault: description of the problem.
    """

    def __init__(self, fault: str) -> None:
        """Creates an error with `fault` as its message."""
        super().__init__(fault)
        self.fault = fault


@dataclass(frozen=True, slots=True)
class Record:
    """A change of a row: sets it, or removes it if `value` is None. Applying it is idempotent.

    Attributes:
        sequence: sequence number of the record in the log.
        table: number of the table, see `state.Table`.
        key: key of the row.
        value: value of the row, None to remove it.
        expires_at: Unix time in tenths of a ms at which the row expires; 0 if it never does.
        written_at: Unix time of the write in tenths of a ms.
    """

    sequence: int
    table: int
    key: bytes
    value: bytes | None
    expires_at: int = 0
    written_at: int = 0


@dataclass(frozen=True, slots=True)
class FileHeader:
    """Decoded first bytes of a log file or a snapshot; see `encode_header` for the fields."""

    version: int
    first_sequence: int


@dataclass(slots=True)
class ReadResult:
    """Result of reading a file.

    Attributes:
        records: the valid records, in file order.
        valid_bytes: length of the valid part at the start of the file.
        fault: why reading stopped; empty if it reached the end of the file.
    """

    records: list[Record] = field(default_factory=list)
    valid_bytes: int = 0
    fault: str = ""


def encode_record(record: Record) -> bytes:
    """Returns the record's frame and payload."""
    payload = SEQUENCE.pack(record.sequence) + msgspec.msgpack.encode(
        (record.table, record.key, record.value, record.expires_at, record.written_at)
    )
    return FRAME.pack(len(payload), zlib.crc32(payload)) + payload


def encode_header(first_sequence: int, version: int = FORMAT_VERSION) -> bytes:
    """Returns the header of a file.

    `first_sequence` is the number of the first record of a log file, or the number of the last
    record that a snapshot is guaranteed to include.
    """
    raw = HEADER.pack(MAGIC, version, first_sequence, 0)[:-CHECKSUM_BYTES]
    return raw + zlib.crc32(raw).to_bytes(CHECKSUM_BYTES, "big")


def decode_header(data: bytes) -> FileHeader:
    """Returns the header of the file with the content `data`.

    Raises:
        FileFormatError: the header is incomplete, invalid or of a later version.
    """
    if len(data) < HEADER.size:
        raise IncompleteHeaderError
    magic, version, first_sequence, checksum = HEADER.unpack(data[: HEADER.size])
    if magic != MAGIC or zlib.crc32(data[: HEADER.size - CHECKSUM_BYTES]) != checksum:
        raise InvalidHeaderError
    if version > FORMAT_VERSION:
        raise UnsupportedVersionError(version)
    return FileHeader(version, first_sequence)


def read_records(data: bytes, expected: int | None) -> ReadResult:
    """Reads all records after the header, up to the first invalid one.

    Records after an invalid one are not read, because they may depend on it.

    Args:
        data: the whole file.
        expected: sequence number of the first record, from which the numbers must be consecutive;
            None accepts any numbers, as in a snapshot.

    Returns:
        The valid records; if reading stopped early, `fault` says why. Nothing is raised.
    """
    result = ReadResult()
    try:
        header = decode_header(data)
    except FileFormatError as error:
        result.fault = str(error)
        return result
    if expected is not None and header.first_sequence != expected:
        result.fault = f"begins with record {header.first_sequence}, not {expected}"
        return result
    result.valid_bytes = HEADER.size
    while result.valid_bytes < len(data) and not _is_preallocated(data, result.valid_bytes):
        try:
            payload = _payload_at(data, result.valid_bytes)
            record = _decode_record(payload, header.version)
            if expected is not None:
                _check_sequence(record, expected)
                expected += 1
        except RecordError as error:
            result.fault = error.fault
            break
        result.records.append(record)
        result.valid_bytes += FRAME.size + len(payload)
    return result


def _is_preallocated(data: bytes, offset: int) -> bool:
    """Whether all bytes from `offset` on are 0: space that was allocated but never written."""
    frame = data[offset : offset + FRAME.size]
    return not any(frame) and not any(data[offset:])


def _payload_at(data: bytes, offset: int) -> bytes:
    """Returns the payload of the frame at this offset.

    Raises:
        RecordError: the frame or its payload is incomplete or corrupted.
    """
    if len(data) - offset < FRAME.size:
        raise RecordError(TORN)
    size, checksum = FRAME.unpack_from(data, offset)
    if not SEQUENCE.size < size <= MAX_RECORD_BYTES:
        fault = f"invalid record length {size}"
        raise RecordError(fault)
    payload = data[offset + FRAME.size : offset + FRAME.size + size]
    if len(payload) < size:
        raise RecordError(TORN)
    if zlib.crc32(payload) != checksum:
        raise RecordError(CHECKSUM_MISMATCH)
    return payload


def _decode_record(payload: bytes, version: int) -> Record:
    """Returns the record in a payload whose checksum is correct.

    `version` is the format version of the file.

    Raises:
        RecordError: the payload is not a record, so another program wrote it.
    """
    try:
        fields = msgspec.msgpack.decode(payload[SEQUENCE.size :])
    except msgspec.DecodeError as error:
        raise RecordError(UNDECODABLE) from error
    if version == 1:
        fields = _migrate_version_1(fields)
    if type(fields) is not list or len(fields) != 5:
        raise RecordError(UNDECODABLE)
    table, key, value, expires_at, written_at = fields
    if not (
        type(table) is int
        and type(key) is bytes
        and (value is None or type(value) is bytes)
        and type(expires_at) is int
        and type(written_at) is int
    ):
        raise RecordError(UNDECODABLE)
    (sequence,) = SEQUENCE.unpack(payload[: SEQUENCE.size])
    return Record(sequence, table, key, value, expires_at, written_at)


def _check_sequence(record: Record, expected: int) -> None:
    """Raises RecordError if the record's sequence number is not `expected`."""
    if record.sequence < expected:
        raise RecordError(DUPLICATED)
    if record.sequence > expected:
        raise RecordError(MISSING)


def _migrate_version_1(fields: object) -> object:
    """Returns the fields of a version 1 record with an expiry; None if they are not valid.

    Version 1 has the fields (table, key, value, written_at).
    """
    if type(fields) is not list or len(fields) != 4 or type(fields[3]) is not int:
        return None
    table, key, value, written_at = fields
    return [table, key, value, written_at + VERSION_1_RETENTION, written_at]
