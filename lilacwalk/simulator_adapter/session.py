"""Reads batches of messages from the simulator and writes a reply to each."""

from __future__ import annotations

from typing import TextIO

from lilacwalk.settings import SettingsError, read_number
from lilacwalk.simulator_adapter import codec
from lilacwalk.simulator_adapter.codec import WireError
from lilacwalk.simulator_adapter.host import NumberedLine, SimulatorHost

BATCH_START = "tick"
BATCH_END = "go"
REPLY_END = "ok\n"
MAX_QUOTED_CHARACTERS = 40  # number of characters that an error message quotes from a line


class Session:
    """Owns the host, and the lines and simulated time of the batch that is being read."""

    def __init__(self, replies: TextIO) -> None:
        """Creates a session that expects the first batch."""
        self._replies = replies
        self._host = SimulatorHost()
        self._time_ms: float | None = None  # None between batches
        self._lines: list[NumberedLine] = []

    def read(self, line: NumberedLine) -> None:
        """Processes one line; at the last line of a batch, writes the reply.

        Raises:
            WireError: The line does not follow the protocol.
        """
        text = line.text
        if text == BATCH_END:
            self._end_batch(line)
        elif text == BATCH_START or text.startswith(BATCH_START + " "):
            self._start_batch(line)
        elif self._time_ms is None:
            raise WireError(
                problem=f"expected '{BATCH_START}' first, got '{text[:MAX_QUOTED_CHARACTERS]}'",
                line=line.number,
            )
        else:
            self._lines.append(line)

    def _start_batch(self, line: NumberedLine) -> None:
        if self._time_ms is not None:
            raise WireError(
                problem=f"expected '{BATCH_END}' before the next '{BATCH_START}'", line=line.number
            )
        try:
            fields = codec.parse_fields(line.text.split(" ")[1:])
            self._time_ms = read_number(fields, "time_ms")
        except (WireError, SettingsError) as error:
            raise WireError(problem=str(error), line=line.number) from error

    def _end_batch(self, line: NumberedLine) -> None:
        if self._time_ms is None:
            raise WireError(
                problem=f"expected '{BATCH_START}' before '{BATCH_END}'", line=line.number
            )
        reply = self._host.process_batch(self._time_ms, self._lines)
        self._replies.write("\n".join([*reply, REPLY_END]))
        self._replies.flush()
        self._time_ms = None
        self._lines = []

    def end(self, last_number: int) -> None:
        """Checks that the input, which ended after line `last_number`, has no incomplete batch.

        Raises:
            WireError: The input ended inside a batch.
        """
        if self._time_ms is not None:
            raise WireError(
                problem=f"input ended inside a batch, expected '{BATCH_END}'", line=last_number
            )


def serve(lines: TextIO, replies: TextIO) -> None:
    """Processes batches from `lines` and writes their replies, until the input ends.

    Raises:
        WireError: A line does not follow the protocol.
    """
    session = Session(replies)
    number = 0
    for number, line in enumerate(lines, 1):
        text = line.rstrip("\r\n")
        if text:
            session.read(NumberedLine(number, text))
    session.end(number)
