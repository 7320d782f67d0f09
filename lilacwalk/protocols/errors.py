"""Errors of the protocol codecs."""

from __future__ import annotations

from lilacwalk.errors import LilacwalkError


class FramingError(LilacwalkError):
    """The received bytes are not a message, so the rest of the stream cannot be decoded.

    Attributes:
        expected: What the protocol allows at this position.
        received: What was received there, truncated.
    """

    def __init__(self, *, expected: str, received: object) -> None:
        """Formats the error message from both fields."""
        super().__init__(f"expected {expected}, got {received!r}")
        self.expected = expected
        self.received = received


class MalformedMessageError(LilacwalkError):
    """A well-framed message has contents that the protocol does not allow.

    Attributes:
        problem: Why the contents are not allowed.
        field: The invalid field; empty if the message as a whole is invalid.
    """

    def __init__(self, *, problem: str, field: str = "") -> None:
        """Formats the error message from both fields."""
        super().__init__(f"{field} {problem}" if field else problem)
        self.problem = problem
        self.field = field
