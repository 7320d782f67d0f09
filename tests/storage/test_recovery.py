"""Recovery after crashes at every disk operation, and from damaged and missing files."""

import contextlib
import random

import pytest

from lilacwalk.storage.operations import JournalLimits
from lilacwalk.storage.recovery import recover
from lilacwalk.testing.disk import CrashError, FaultyDisk
from tests.storage.conftest import Process, check_recovered, count_operations, run_history


@pytest.mark.parametrize("seed", range(4))
def test_crash_at_any_operation_loses_no_acknowledged_record_and_adds_no_row(seed):
    for crash_at in range(1, count_operations(seed) + 1):
        disk = FaultyDisk(seed, crash_at)
        first = None
        try:
            first = Process(disk)
            run_history(first, random.Random(seed))
        except CrashError:
            pass
        if first is None:
            continue
        after = disk.crash()
        second = Process(after)
        check_recovered(second, first)
        run_history(second, random.Random(seed + 1), 15)  # the recovered store accepts records
        third = Process(after)
        assert {key: third.value(key) for key in second.history} == {
            key: second.value(key) for key in second.history
        }


def test_repeated_crashes_during_recovery_lose_no_acknowledged_record():
    """Recovery truncates and renames files, and may itself be interrupted by a crash."""
    for seed in range(30):
        disk, rng = FaultyDisk(seed, 30 + seed), random.Random(seed)
        process = Process(disk)
        with contextlib.suppress(CrashError):
            run_history(process, rng)
        for turn in range(10):
            disk = disk.crash()
            disk.crash_at = rng.randrange(1, 4) if turn % 2 else 0
            try:
                reopened = Process(disk)
            except CrashError:
                continue
            check_recovered(reopened, process)


def test_rows_survive_many_processes_with_a_crash_in_each():
    disk, rng, history, acknowledged = FaultyDisk(1), random.Random(1), {}, {}
    for _ in range(40):
        disk.crash_at = disk.operation_count + rng.randrange(3, 60)
        process = None
        try:
            process = Process(disk, history={key: list(values) for key, values in history.items()})
            process.acknowledged = dict(acknowledged)
            run_history(process, rng, 30)
        except CrashError:
            pass
        disk = disk.crash()
        if process is None:
            continue
        after = Process(disk)
        check_recovered(after, process)
        # From here on, the recovered value is the one that must survive.
        history = {key: [after.value(key)] for key in process.history}
        acknowledged = {}


def test_damaged_snapshot_is_skipped_and_the_previous_one_loaded():
    """If logs were removed once the newest snapshot holds their records, rows would be lost."""
    disk = FaultyDisk()
    process = Process(disk)
    run_history(process, random.Random(3), 200)
    newest, previous = sorted(
        (name for name in disk.list_files() if name.startswith("snap-")), reverse=True
    )[:2]
    values = {key: process.value(key) for key in process.history}
    disk.files[newest][-3] ^= 1
    reopened = Process(disk)
    assert reopened.recovered.snapshot == previous
    assert not reopened.recovered.is_complete
    # The log after the previous snapshot still exists.
    assert {key: reopened.value(key) for key in process.history} == values


def test_missing_log_file_ends_recovery_and_quarantines_later_log_files():
    disk = FaultyDisk()
    process = Process(
        disk,
        limits=JournalLimits(
            batch_delay=10, batch_bytes=120, segment_bytes=300, snapshot_after_bytes=10**9
        ),
    )
    run_history(process, random.Random(4), 80)
    logs = [name for name in disk.list_files() if name.startswith("log-")]
    disk.remove(logs[2])
    result = recover(disk.list_files(), disk.read)
    assert result.quarantined == logs[3:]
    assert result.next_sequence == int(logs[2][4:])
    assert not result.is_complete
    reopened = Process(disk)
    reopened.put(b"new", b"x")
    reopened.work()
    assert Process(disk).value(b"new") == b"x"
    assert [name for name in disk.list_files() if name.startswith("aside-")]
