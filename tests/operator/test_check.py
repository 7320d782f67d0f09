"""The command `lilacwalk check` prints the configuration of an operator's file."""

from click.testing import CliRunner

from lilacwalk.commands import lilacwalk


def test_check_prints_a_valid_file_and_exits_2_with_all_problems_of_an_invalid_one(
    tmp_path, operator_file
):
    path = tmp_path / "own.conf"
    path.write_text(operator_file)
    valid = CliRunner().invoke(lilacwalk, ["check", "--file", str(path)], env={"ROUTER_CONFIG": ""})
    assert valid.exit_code == 0
    assert "peer=127.0.0.1:1790 as=65020" in valid.output
    path.write_text(operator_file.replace("200ms", "soon").replace("3000", "none"))
    invalid = CliRunner().invoke(
        lilacwalk, ["check", "--file", str(path)], env={"ROUTER_CONFIG": ""}
    )
    assert invalid.exit_code == 2
    assert invalid.output.count("expected") == 3
