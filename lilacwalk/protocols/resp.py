"""RESP arrays of bulk strings: an incremental parser and an encoder."""

from __future__ import annotations

from collections.abc import Iterator

from lilacwalk.protocols.errors import FramingError

MAX_LENGTH_LINE_BYTES = 16  # CR LF included


class RespParser:
    """Parses a stream of RESP arrays from chunks of any size.

    The parts of a message are slices of the chunks: copy a part to keep it longer than its chunk.
    A part over the size limit is skipped and represented by None. Between two chunks, at most the
    limit of a message and one partial part are retained.
    """

    __slots__ = (
        "bytes_to_skip",
        "max_message_bytes",
        "max_part_bytes",
        "max_parts",
        "max_skipped_bytes",
        "message_bytes",
        "missing_parts",
        "part_size",
        "parts",
        "unparsed",
    )

    def __init__(
        self,
        max_parts: int,
        max_part_bytes: int,
        max_skipped_bytes: int,
        max_message_bytes: int | None = None,
    ) -> None:
        """Sets the limits.

        Args:
            max_parts: Limit of parts in a message; more are a framing error.
            max_part_bytes: Limit of bytes in a part; a longer part is skipped.
            max_skipped_bytes: Limit of bytes in a skipped part; more are a framing error.
            max_message_bytes: Limit of bytes in all parts of a message together; a part that
                exceeds it is skipped. None if only the parts are limited.
        """
        self.max_parts = max_parts
        self.max_part_bytes = max_part_bytes
        self.max_skipped_bytes = max_skipped_bytes
        self.max_message_bytes = max_message_bytes or max_parts * max_part_bytes
        self.unparsed = b""
        self.parts: list[memoryview | None] = []
        self.missing_parts = 0  # of the current message, not yet received
        self.message_bytes = 0  # of the current message, without skipped parts
        self.part_size = -1  # of the current part; -1: its length line has not been read
        self.bytes_to_skip = 0

    @property
    def has_partial_message(self) -> bool:
        """Whether the beginning of a message has been received, but not its end."""
        return bool(self.unparsed or self.missing_parts)

    def feed(self, chunk: bytes) -> Iterator[list[memoryview | None]]:
        """Parses the next bytes of the stream.

        Yields messages one by one, so that the hundreds of short messages that a chunk may contain
        are never all in memory at once.

        Raises:
            FramingError: The stream is not a sequence of RESP arrays within the limits.
        """
        data = self.unparsed + chunk if self.unparsed else chunk
        view, position = memoryview(data), 0
        while True:
            if self.bytes_to_skip:
                skipped = min(self.bytes_to_skip, len(data) - position)
                position += skipped
                self.bytes_to_skip -= skipped
                if self.bytes_to_skip:
                    break
                self.parts.append(None)
            elif self.part_size < 0:
                end = data.find(b"\r\n", position, position + MAX_LENGTH_LINE_BYTES)
                if end < 0:
                    self._check_partial_length(data[position : position + MAX_LENGTH_LINE_BYTES])
                    break
                self._read_length(data[position:end])
                position = end + 2
                continue
            else:
                end = position + self.part_size
                if len(data) < end + 2:
                    break
                if data[end : end + 2] != b"\r\n":
                    raise FramingError(expected="CR LF after a part", received=data[end : end + 2])
                self.parts.append(view[position:end])
                self.part_size = -1
                position = end + 2
            self.missing_parts -= 1
            if not self.missing_parts:
                parts, self.parts = self.parts, []
                yield parts
        self.unparsed = data[position:]
        self._copy_parts_from(data)

    def _copy_parts_from(self, data: bytes) -> None:
        """Copies the parts of an incomplete message, so that they do not retain `data`."""
        self.parts = [
            memoryview(bytes(part)) if part is not None and part.obj is data else part
            for part in self.parts
        ]

    def _check_partial_length(self, line: bytes) -> None:
        """Rejects an invalid length line before its end arrives: the peer may not send one."""
        marker, digits = line[:1], line[1:].removesuffix(b"\r")
        expected_marker = b"$" if self.missing_parts else b"*"
        is_too_long = len(line) == MAX_LENGTH_LINE_BYTES
        if is_too_long or marker not in (b"", expected_marker) or digits.strip(b"0123456789"):
            raise FramingError(expected="a RESP length line", received=line)

    def _read_length(self, line: bytes) -> None:
        """Parses the length line of an array or of a part."""
        marker, digits = line[:1], line[1:]
        if marker != (b"$" if self.missing_parts else b"*") or not digits.isdigit():
            raise FramingError(expected="a RESP length line", received=line)
        length = int(digits)
        if not self.missing_parts:
            if not 1 <= length <= self.max_parts:
                raise FramingError(expected=f"1 to {self.max_parts} parts", received=length)
            self.missing_parts = length
            self.message_bytes = 0
        elif length > self.max_skipped_bytes:
            raise FramingError(
                expected=f"a part of at most {self.max_skipped_bytes} bytes", received=length
            )
        elif length > self.max_part_bytes or self.message_bytes + length > self.max_message_bytes:
            self.bytes_to_skip = length + 2
        else:
            self.part_size = length
            self.message_bytes += length


def encode_array(*parts: bytes | memoryview) -> bytes:
    """Encodes the parts as one RESP array of bulk strings."""
    pieces = [b"*%d\r\n" % len(parts)]
    for part in parts:
        pieces.append(b"$%d\r\n%b\r\n" % (len(part), part))
    return b"".join(pieces)
