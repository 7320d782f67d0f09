"""Checks of the operator file's sites block that involve several lines."""

import pytest

from lilacwalk.operator.loader import UnusableFileError, parse_operator_file
from tests.failover.conftest import operator_file_text


def test_errors_involving_several_lines_name_the_site_and_the_sum_of_shares():
    with pytest.raises(UnusableFileError) as error:
        parse_operator_file(
            operator_file_text()
            .replace("stand-in natal 12ms", "stand-in olinda 12ms")
            .replace("share 0.4", "share 0.5"),
            "f",
        )
    assert "olinda" in str(error.value)
    assert "add up to 1" in str(error.value)
