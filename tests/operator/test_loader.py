"""The loader returns the configuration of an operator's file or reports all its problems."""

import pytest
from hypothesis import given, strategies

from lilacwalk.operator.loader import UnusableFileError, load_operator_file, parse_operator_file
from lilacwalk.operator.syntax import parse_statements


def test_empty_file_gives_no_config_and_unreadable_file_is_rejected(tmp_path):
    (tmp_path / "empty").write_text("# nothing\n\n")
    assert load_operator_file(str(tmp_path / "empty")) is None
    (tmp_path / "raw").write_bytes(b"\xff\xfe")
    for name in ("raw", "missing"):
        with pytest.raises(UnusableFileError):
            load_operator_file(str(tmp_path / name))


@given(
    strategies.text(alphabet=strategies.characters(codec="utf-8"), max_size=200)
    | strategies.lists(
        strategies.sampled_from(
            ["announce", "{", "}", "\n", " ", "as", "65010", "'", "#", "peer", "\\", "5s"]
        ),
        max_size=40,
    ).map("".join)
)
def test_any_text_is_parsed_or_rejected_with_its_problems(text):
    """A reload handles only the rejection of a file; any other exception of the parser would
    propagate into the event loop.
    """
    parse_statements(text)
    try:
        parse_operator_file(text, "f")
    except UnusableFileError as error:
        message = str(error)
    else:
        return
    first_problem = message.split("\nf:")[0]
    assert first_problem.startswith("f:")
    assert "expected" in first_problem
