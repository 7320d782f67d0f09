"""A store directory that belongs to another node or another process."""

import pytest

from lilacwalk.event_queue import EventQueue
from lilacwalk.server.integrations import store_opener
from lilacwalk.storage.config import StorageConfig
from lilacwalk.storage.disk import Directory
from tests.storage.conftest import run_storage_command


def test_directory_of_another_node_is_refused_and_read_requests_still_succeed(make_soak):
    soak = make_soak()
    soak.directory.mkdir()
    (soak.directory / "owner").write_text('{"node": "n9", "format": 2}')
    soak.start("state=refused")
    assert "belongs to node n9, this is node n0" in soak.process_fleet.log("n0")
    assert soak.send_and_wait("swap", "a")[0] == "later"
    assert soak.send_and_wait("look", "b")[0] == "done"


def test_compact_refuses_a_directory_that_a_running_server_uses(make_soak):
    soak = make_soak()
    soak.start()
    result = run_storage_command(
        "compact", "--file", str(soak.server.operator_file_path), "--node", "n0"
    )
    assert result.returncode == 2
    assert "is in use by another process" in result.stderr


# Guards against a store that is refused until the next start after one disk error: the lock on its
# directory was not released, so that the next attempt found it in use (the second review's report).
@pytest.mark.parametrize("failing", ["Store", "publish"])
def test_a_store_whose_opening_failed_once_is_opened_by_the_next_attempt(
    tmp_path, monkeypatch, failing
):
    failures = [OSError(5, "Input/output error")]
    target = store_opener if failing == "Store" else Directory
    original = getattr(target, failing)

    def fail_once(*arguments, **keywords):
        if failures:
            raise failures.pop()
        return original(*arguments, **keywords)

    monkeypatch.setattr(target, failing, fail_once)
    monkeypatch.setattr(store_opener, "RETRY_DELAY", 0.0)
    event_queue, reports = EventQueue(), []
    opener = store_opener.StoreOpener(
        StorageConfig(directory=str(tmp_path / "store")),
        "n0",
        event_queue,
        on_opened=lambda store, _rows: (reports.append("opened"), store.close(1.0)),
        on_failed=lambda reason, is_permanent: reports.append((reason, is_permanent)),
        on_persisted=lambda *_: None,
        on_mode_change=lambda *_: None,
    )
    opener.start()
    for _ in range(2):
        event_queue.get(timeout=10.0)()
    assert reports == [(f"{tmp_path}/store: Input/output error", False), "opened"]


# Guards against a store that is refused at every start, since a crash left its owner file half made
# (issue 45).
@pytest.mark.parametrize("content", ["", '{"node": "n', '{"node": "n0", "format": 2}'])
def test_a_partial_owner_file_is_replaced(tmp_path, content):
    (tmp_path / "owner.new").write_text(content)
    directory = Directory(str(tmp_path))
    directory.claim("n0")
    directory.close()
    assert directory.list_files() == ["lock", "owner"]
