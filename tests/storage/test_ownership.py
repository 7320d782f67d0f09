"""A store directory that belongs to another node or another process."""

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
