"""The framing of the protocols of the executor and of the dependency.

A message is a line of words that ends in CR LF. Some lines are followed by a body and another
CR LF; the last word of such a line is the length of the body in bytes.
"""

from __future__ import annotations

from typing import Protocol

from lilacwalk.protocols.errors import FramingError

MAX_REPORTED_CHARACTERS = 60  # characters of a line that an error message quotes


class HasBody(Protocol):
    """Determines whether a body follows a line."""

    def __call__(self, words: list[str], /) -> bool:
        """Returns whether a body follows the line with these words."""
        ...


def shorten(words: list[str]) -> str:
    """Returns the beginning of the line with these words, for an error message."""
    return " ".join(words)[:MAX_REPORTED_CHARACTERS]


class LineParser:
    """Parses a stream of lines and bodies from chunks of any size."""

    def __init__(
        self,
        has_body: HasBody,
        max_line_bytes: int,
        max_body_bytes: int,
        truncated_prefix: bytes | None = None,
    ) -> None:
        """Sets the limits and the test for lines that are followed by a body.

        A line that begins with `truncated_prefix` may be of any length, and has no body: what
        exceeds the limit is dropped.
        """
        self.has_body = has_body
        self.max_line_bytes = max_line_bytes
        self.max_body_bytes = max_body_bytes
        self.truncated_prefix = truncated_prefix
        self.unparsed = b""
        self.words: list[str] | None = None  # of a line whose body is incomplete
        self.body_size = 0

    def feed(self, chunk: bytes) -> list[tuple[list[str], memoryview | None]]:
        """Parses the next bytes of the stream.

        Returns:
            The words and the body of each complete message. A body is a slice of its chunk, or
            None for a line without a body.

        Raises:
            FramingError: A line or a body is too long, the length of a body is not a number, or CR
                LF does not follow a body.
        """
        data = self.unparsed + chunk if self.unparsed else chunk
        view, position = memoryview(data), 0
        messages: list[tuple[list[str], memoryview | None]] = []
        while True:
            if self.words is not None:
                end = position + self.body_size
                if len(data) < end + 2:
                    break
                if data[end : end + 2] != b"\r\n":
                    raise FramingError(expected="CR LF after a body", received=data[end : end + 2])
                messages.append((self.words, view[position:end]))
                self.words = None
                position = end + 2
                continue
            end = data.find(b"\r\n", position)
            if end < 0:
                if len(data) - position > self.max_line_bytes:
                    self.unparsed = self._truncate(data[position:])
                    return messages
                break
            words = data[position:end].decode("utf-8", "replace").split()
            position = end + 2
            if not words:
                continue
            if self.has_body(words):
                self.words, self.body_size = words, self._body_size(words)
            else:
                messages.append((words, None))
        self.unparsed = data[position:]
        return messages

    def _truncate(self, line: bytes) -> bytes:
        """Returns the beginning of an incomplete line that is too long, and the CR at its end."""
        if self.truncated_prefix is None or not line.startswith(self.truncated_prefix):
            raise FramingError(
                expected=f"a line of at most {self.max_line_bytes} bytes", received=len(line)
            )
        beginning = line[: self.max_line_bytes].rstrip(b"\r")
        return beginning + b"\r" if line.endswith(b"\r") else beginning

    def _body_size(self, words: list[str]) -> int:
        size = words[-1]
        if not (size.isascii() and size.isdigit()) or int(size) > self.max_body_bytes:
            raise FramingError(
                expected=f"a body size of at most {self.max_body_bytes} at the line end",
                received=shorten(words),
            )
        return int(size)
