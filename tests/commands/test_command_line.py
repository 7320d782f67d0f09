"""Errors of the command line itself."""

from click.testing import CliRunner

from lilacwalk.commands import lilacwalk


def test_mistyped_command_is_rejected_and_the_most_similar_command_is_suggested():
    result = CliRunner().invoke(lilacwalk, ["anounce"])
    assert result.exit_code == 2
    assert "Did you mean 'announce'?" in result.output
