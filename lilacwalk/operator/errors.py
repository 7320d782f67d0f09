"""Errors in the operator's file."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lilacwalk.errors import LilacwalkError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lilacwalk.operator.syntax import Problem


class InvalidWordError(LilacwalkError, ValueError):
    """A word of the file has an invalid form, or its value is out of bounds.

    Attributes:
        expected: the expected form or bounds, worded for the operator.
    """

    def __init__(self, expected: str) -> None:
        """Uses `expected` as the message."""
        super().__init__(expected)
        self.expected = expected


class UnusableFileError(LilacwalkError):
    """A file written by an operator cannot be used; the message has one line per problem."""

    @classmethod
    def unreadable(cls, path: str, reason: str | None) -> UnusableFileError:
        """Returns the error for a file that cannot be read as text."""
        return cls(f"{path}: {reason}")

    @classmethod
    def from_problems(cls, path: str, problems: Iterable[Problem]) -> UnusableFileError:
        """Returns the error for a file with invalid statements.

        Each line of the message has the form `FILE:LINE: WORD: expected ...`; the lines are sorted
        by line number.
        """
        return cls(
            "\n".join(
                f"{path}:{problem.line}: {problem.word}: expected {problem.expected}"
                for problem in sorted(problems)
            )
        )
