"""The journal on a failing, full or slow disk, its durability levels and its batches."""

import errno
import random

import pytest

from lilacwalk.storage.operations import Acknowledgement, Durability, JournalLimits, OperationKind
from lilacwalk.testing.disk import CrashError, FaultyDisk
from tests.storage.conftest import Process, check_recovered, run_history


@pytest.mark.parametrize(
    ("operation", "error_number", "mode"),
    [
        ("append", errno.ENOSPC, "full"),
        ("create", errno.EROFS, "read-only"),
        ("sync", errno.EIO, "failed"),
    ],
)
def test_disk_error_sets_a_mode_that_refuses_records_until_the_disk_works(
    operation, error_number, mode
):
    disk = FaultyDisk()
    process = Process(disk)
    process.put(b"a", b"1")
    process.work()
    disk.errno_by_operation = {operation: error_number}
    process.journal.files.segment_bytes = 10**9  # the next batch creates a file
    process.put(b"b", b"2")
    process.work()
    assert process.journal.mode == mode
    assert process.acknowledged == {b"a": 1}
    assert not process.journal.pending
    process.put(b"c", b"3")
    assert process.refused == [b"c"]
    disk.errno_by_operation = {}
    process.work(50_000)
    process.put(b"d", b"4")
    process.work()
    assert process.journal.mode == "usual"
    assert process.acknowledged[b"d"] == 1
    assert {key: Process(disk.crash()).value(key) for key in (b"a", b"d")} == {
        b"a": b"1",
        b"d": b"4",
    }


def test_crash_at_any_operation_after_a_failed_write_loses_no_acknowledged_record():
    """A failed write leaves a gap in the log, and recovery stops there.

    Records after the gap would be lost if they were acknowledged before a snapshot closes it.
    """
    for crash_at in range(1, 12):
        disk = FaultyDisk(5)
        process = Process(disk)
        run_history(process, random.Random(5), 20)
        disk.errno_by_operation = {"append": errno.ENOSPC}
        process.put(b"k1", b"lost record")
        process.work()
        disk.errno_by_operation, disk.crash_at = {}, disk.operation_count + crash_at
        try:
            process.work(50_000)
            run_history(process, random.Random(6), 20)
        except CrashError:
            pass
        check_recovered(Process(disk.crash()), process)


def test_disk_use_stays_bounded_and_rows_stay_readable_with_a_size_limit():
    disk = FaultyDisk()
    process = Process(
        disk,
        limits=JournalLimits(
            batch_delay=10,
            batch_bytes=120,
            segment_bytes=2_000,
            snapshot_after_bytes=4_000,
            max_disk_bytes=5_000,
        ),
    )
    for index in range(300):
        process.put(b"k%d" % (index % 3), b"x" * 50)
        process.work()
    assert sum(map(len, disk.files.values())) < 12_000
    assert process.value(b"k2") == b"x" * 50


def test_slow_sync_acknowledges_records_as_not_persisted_and_sets_the_slow_mode():
    """Writers wait for acknowledgements, which a sync that hangs would delay."""
    process = Process(FaultyDisk())
    process.put(b"a", b"1")
    process.now += 20
    while process.journal.next_operation(process.now).kind is not OperationKind.SYNC:
        process.journal.operation_done(process.now)
    process.now += 20_000
    process.journal.check_slow_operation(process.now)
    assert process.journal.mode == "slow"
    assert process.journal.take_acknowledgements() == [Acknowledgement((b"a", 1), False)]
    process.put(b"b", b"2")
    assert process.journal.take_acknowledgements() == [Acknowledgement((b"b", 1), False)]
    process.journal.operation_done(process.now)
    process.now += 30
    while process.journal.next_operation(process.now) is not None:
        process.journal.operation_done(process.now)
    assert process.journal.mode == "usual"


@pytest.mark.parametrize(
    ("durability", "required_operation"),
    [
        (Durability.NONE, None),
        (Durability.FLUSHED, OperationKind.APPEND),
        (Durability.SYNCED, OperationKind.SYNC),
    ],
)
def test_record_is_acknowledged_only_when_it_is_as_durable_as_requested(
    durability, required_operation
):
    process = Process(FaultyDisk(), durability)
    process.put(b"a", b"1")
    last_operation = None
    process.now += 20
    while not (acknowledgements := process.journal.take_acknowledgements()):
        operation = process.journal.next_operation(process.now)
        process.journal.operation_done(process.now)
        last_operation = operation.kind
    assert acknowledgements == [Acknowledgement((b"a", 1), True)]
    assert last_operation is required_operation


def test_records_that_arrive_before_the_next_operation_form_one_batch():
    process = Process(FaultyDisk(), limits=JournalLimits())
    for number in range(100):
        process.put(b"%d" % number, b"x")
    process.work()
    assert process.disk.operation_count == 3
    assert len(process.acknowledged) == 100
