"""The command `sites plan`, and the warning of `check` for a failure that is not survivable."""

import json

from click.testing import CliRunner

from lilacwalk.commands import lilacwalk
from tests.failover.conftest import operator_file_text


def run_sites_plan(path, *words):
    return CliRunner().invoke(lilacwalk, ["sites", "plan", "--file", path, *words])


def test_sites_plan_prints_one_object_and_exits_0_for_a_survivable_failure(operator_file):
    result = run_sites_plan(operator_file(), "--lose", "recife", "--json")
    assert result.exit_code == 0
    report = json.loads(result.output)
    assert report["lost"] == ["recife"]
    assert report["holds"] is True
    assert report["more_cores"] == 0
    assert {"shares", "utilisation", "refused", "binding"} <= report.keys()


def test_sites_plan_exits_3_for_an_unsurvivable_failure_and_2_for_an_invalid_file(
    operator_file, tmp_path
):
    assert run_sites_plan(operator_file(load=24)).exit_code == 3
    assert run_sites_plan(operator_file(bear="any-two")).exit_code == 3
    assert run_sites_plan(operator_file(), "--lose", "olinda").exit_code == 2
    invalid_file = tmp_path / "bad"
    invalid_file.write_text(
        operator_file_text()
        .replace("stand-in natal 12ms", "stand-in olinda 12ms")
        .replace("benefit 6", "benefit x")
    )
    result = run_sites_plan(str(invalid_file))
    assert result.exit_code == 2


def test_loads_from_a_capture_replace_the_configured_ones_and_an_unknown_site_exits_2(
    operator_file, tmp_path
):
    capture = tmp_path / "loads"
    capture.write_text("recife 10\nrecife 24  # the busiest\ncaruaru 2\n")
    report = json.loads(
        run_sites_plan(operator_file(), "--lose", "recife", "--load", str(capture), "--json").output
    )
    assert report["shares"]["caruaru"] > 0.7
    capture.write_text("olinda 3\n")
    assert run_sites_plan(operator_file(), "--load", str(capture)).exit_code == 2


def test_check_warns_of_an_unsurvivable_failure_with_its_line(operator_file):
    path = operator_file(bear="any-two")
    result = CliRunner().invoke(lilacwalk, ["check", "--file", path], env={"ROUTER_CONFIG": None})
    assert result.exit_code == 0
    assert (
        f"{path}:{operator_file_text().splitlines().index('    bear any-one') + 1}: warning"
        in result.output
    )
