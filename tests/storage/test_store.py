"""The store on a real directory."""

import threading
from queue import SimpleQueue

from lilacwalk.storage.disk import Directory
from lilacwalk.storage.operations import Durability, JournalLimits
from lilacwalk.storage.store import Store

WAIT_TIMEOUT = 10.0  # seconds


def test_rows_survive_a_reopened_store_and_obsolete_files_are_removed(tmp_path):
    acknowledged, done = SimpleQueue(), threading.Event()

    def on_persisted(token, is_persisted):
        acknowledged.put((token, is_persisted))
        if token == 1_999:
            done.set()

    limits = JournalLimits(batch_delay=10, segment_bytes=20_000, snapshot_after_bytes=40_000)
    store = Store(Directory(str(tmp_path)), Durability.SYNCED, limits, on_persisted)
    store.start()
    for index in range(2_000):
        store.put(1, b"k%d" % (index % 50), b"%d" % index, token=index)
    assert done.wait(WAIT_TIMEOUT)
    store.close()
    assert not store.thread.is_alive()
    assert not store.has_failed
    assert [acknowledged.get(timeout=WAIT_TIMEOUT) for _ in range(2_000)] == [
        (index, True) for index in range(2_000)
    ]
    reopened = Store(Directory(str(tmp_path)), Durability.SYNCED)
    assert reopened.recovered.is_complete
    assert len(reopened.journal.state) == 50
    assert reopened.journal.state.get(1, b"k49", 0).value == b"1999"
    assert sum(file.stat().st_size for file in tmp_path.iterdir()) < 200_000


def test_torn_record_on_a_real_directory_is_truncated_and_reported(tmp_path):
    """A crash during an append leaves a part of a record at the end of the log file."""
    store = Store(Directory(str(tmp_path)), Durability.FLUSHED)
    store.start()
    for index in range(10):
        store.put(1, b"%d" % index, b"x")
    store.close()
    [log_file] = [file for file in tmp_path.iterdir()]
    complete = log_file.read_bytes()
    log_file.write_bytes(complete[:-3])
    reopened = Store(Directory(str(tmp_path)), Durability.FLUSHED)
    assert "torn record after record 9" in reopened.recovered.warnings[0]
    assert len(reopened.journal.state) == 9
    assert log_file.stat().st_size < len(complete) - 3
