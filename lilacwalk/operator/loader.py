"""Reads the operator's file: returns its configuration, or raises an error with every problem.

The schema and the libraries that it needs are imported only for a file with statements, which saves
an app server with an empty file their memory and import time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lilacwalk.operator.errors import UnusableFileError
from lilacwalk.operator.syntax import parse_statements

if TYPE_CHECKING:
    from lilacwalk.operator.schema import OperatorConfig

__all__ = ["UnusableFileError", "load_operator_file", "parse_operator_file", "read_text"]

MAX_FILE_CHARACTERS = 1_000_000


def load_operator_file(path: str) -> OperatorConfig | None:
    """Reads and parses a file; returns None if it has no statements.

    Raises:
        UnusableFileError: the file cannot be read or is invalid.
    """
    return parse_operator_file(read_text(path), path)


def parse_operator_file(text: str, path: str) -> OperatorConfig | None:
    """Parses the text of a file; returns None if it has no statements.

    `path` is only used in error messages.

    Raises:
        UnusableFileError: the text is invalid; the message lists every problem.
    """
    statements, problems = parse_statements(text)
    config = None
    if statements:
        from lilacwalk.operator.schema import build_config

        config, schema_problems = build_config(statements)
        problems += schema_problems
    if problems:
        raise UnusableFileError.from_problems(path, problems)
    return config


def read_text(path: str) -> str:
    """Returns the text of a file.

    Raises:
        UnusableFileError: the file cannot be read, is not UTF-8 or is too long.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read(MAX_FILE_CHARACTERS + 1)
    except OSError as error:
        raise UnusableFileError.unreadable(path, error.strerror) from error
    except UnicodeDecodeError as error:
        raise UnusableFileError.unreadable(
            path, f"expected UTF-8 text: {error.reason} at offset {error.start}"
        ) from error
    if len(text) > MAX_FILE_CHARACTERS:
        raise UnusableFileError.unreadable(
            path, f"expected at most {MAX_FILE_CHARACTERS} characters, got more"
        )
    return text
