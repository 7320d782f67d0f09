"""The command `lilacwalk storage` on the store of a real app server."""

import json

from tests.storage.conftest import run_storage_command


def test_show_check_and_compact_report_on_a_store_and_check_exits_with_3_for_a_truncated_log(
    make_soak,
):
    soak = make_soak()
    soak.start()
    for index in range(20):
        soak.send_and_wait("swap", f"a{index}")
    show_report = json.loads(
        run_storage_command("show", "--file", str(soak.server.operator_file_path), "--json").stdout
    )
    assert show_report["state"] == "kept"
    assert show_report["rows"] >= 20
    soak.process_fleet.leave("n0")
    check_report = json.loads(
        run_storage_command("check", "--file", str(soak.server.operator_file_path), "--json").stdout
    )
    assert check_report["whole"]
    assert check_report["tables"]["results"] == 20
    assert check_report["clock_set_back_s"] == 0
    compact_result = run_storage_command(
        "compact", "--file", str(soak.server.operator_file_path), "--node", "n0"
    )
    assert compact_result.returncode == 0
    assert "rows=" in compact_result.stdout
    soak.start()
    assert soak.send_and_wait("swap", "a3")[0] == "done"
    assert soak.effects[b"a3"] == 1
    soak.process_fleet.leave("n0")
    newest_log = max(soak.directory.glob("log-*"))
    newest_log.write_bytes(newest_log.read_bytes()[:-3])
    assert (
        run_storage_command("check", "--file", str(soak.server.operator_file_path)).returncode == 3
    )
