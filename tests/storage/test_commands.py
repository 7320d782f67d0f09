"""The command `lilacwalk storage` on the store of a real app server."""

import json

from tests.storage.conftest import run_storage_command


def test_check_compact_and_show_report_on_a_store(make_soak):
    soak = make_soak()
    soak.start()
    for at in range(20):
        soak.send_and_wait("swap", f"a{at}")
    shown = json.loads(
        run_storage_command("show", "--file", str(soak.server.operator_file_path), "--json").stdout
    )
    assert shown["state"] == "kept"
    assert shown["rows"] >= 20
    soak.process_fleet.leave("n0")
    checked = json.loads(
        run_storage_command("check", "--file", str(soak.server.operator_file_path), "--json").stdout
    )
    assert checked["whole"]
    assert checked["tables"]["results"] == 20
    assert checked["clock_set_back_s"] == 0
    compacted = run_storage_command(
        "compact", "--file", str(soak.server.operator_file_path), "--node", "n0"
    )
    assert compacted.returncode == 0
    assert "rows=" in compacted.stdout
    soak.start()
    assert soak.send_and_wait("swap", "a3")[0] == "done"
    assert soak.effects[b"a3"] == 1
    soak.process_fleet.leave("n0")
    log = max(soak.directory.glob("log-*"))
    log.write_bytes(log.read_bytes()[:-3])
    assert (
        run_storage_command("check", "--file", str(soak.server.operator_file_path)).returncode == 3
    )
