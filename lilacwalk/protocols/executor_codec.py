"""Messages between this server and the executor: encoding of commands, decoding of events.

The executor numbers the events that it repeats after a lost link; the others have number 0.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from lilacwalk.overload.model import Outcome
from lilacwalk.protocols.errors import FramingError
from lilacwalk.protocols.lines import shorten

LOG_MESSAGE_PREFIX = b"DMESG "  # of the only line whose length is not limited
OUTCOMES_BY_WORD = {
    "success": Outcome.OK,
    "failure": Outcome.ERROR,
    "interrupted": Outcome.CANCELLED,
    "nothing": Outcome.NOT_EXECUTED,
}


@dataclass(frozen=True, slots=True)
class ExecutionEnded:
    """The execution of a request has ended; `result` is what it returned."""

    event_number: int
    request_id: str
    outcome: Outcome
    result: memoryview | bytes


@dataclass(frozen=True, slots=True)
class CallRequested:
    """The execution of a request waits for the result of a dependency call with this body."""

    event_number: int
    request_id: str
    body: memoryview | bytes


@dataclass(frozen=True, slots=True)
class GaugesReported:
    """The response to the gauge request with this tag: values by gauge name."""

    event_number: ClassVar[int] = 0

    tag: str
    values: dict[str, float]


@dataclass(frozen=True, slots=True)
class ExecutorBooted:
    """The first event of a link.

    Attributes:
        is_cold: Whether the executor has just been started.
        age: Time since its start, in tenths of a millisecond.
    """

    event_number: ClassVar[int] = 0

    is_cold: bool
    age: int


@dataclass(frozen=True, slots=True)
class CommandRejected:
    """The executor could not carry out a command."""

    event_number: ClassVar[int] = 0

    command: str
    request_id: str


@dataclass(frozen=True, slots=True)
class ExecutorLogMessage:
    """A log message of the executor, of which only the event number is used."""

    event_number: int


ExecutorEvent = (
    ExecutionEnded
    | CallRequested
    | GaugesReported
    | ExecutorBooted
    | CommandRejected
    | ExecutorLogMessage
)


def encode_open(last_event_number: int) -> bytes:
    """Encodes the first message of a link, which requests a replay of all later events."""
    return b"OPEN %d\r\n" % last_event_number


def encode_dispatch(request_id: str, class_name: str, body: bytes) -> bytes:
    """Encodes the command to start the execution of a request."""
    header = b"SCHED %b %b %d" % (request_id.encode(), class_name.encode(), len(body))
    return b"%b\r\n%b\r\n" % (header, body)


def encode_cancel(request_id: str) -> bytes:
    """Encodes the command to interrupt the execution of a request."""
    return b"PREEMPT %b\r\n" % request_id.encode()


def encode_call_result(request_id: str, body: bytes) -> bytes:
    """Encodes the result of the dependency call that an execution waits for."""
    return b"IODONE %b %d\r\n%b\r\n" % (request_id.encode(), len(body), body)


def encode_skip_call(request_id: str, event_number: int) -> bytes:
    """Encodes the command to continue an execution without the call requested in this event."""
    return b"NOIO %b %d\r\n" % (request_id.encode(), event_number)


def encode_gauge_request(tag: str) -> bytes:
    """Encodes a gauge request; the response carries the tag."""
    return b"SYSINFO %b\r\n" % tag.encode()


def has_body(words: list[str]) -> bool:
    """Whether a body follows the line with these words."""
    match words[0]:
        case "REAP":
            return len(words) > 5
        case "IOREQ":
            return len(words) > 3
        case _:
            return False


def decode_event(
    words: list[str], body: memoryview | None, gauge_names: list[str]
) -> ExecutorEvent | None:
    """Decodes one message of the executor.

    Returns:
        The event, or None for an unknown message, which is ignored.

    Raises:
        FramingError: A known event has missing or invalid fields.
    """
    try:
        return _decode(words, b"" if body is None else body, gauge_names)
    # OverflowError: an infinite age cannot be converted to an integer.
    except (IndexError, KeyError, ValueError, OverflowError):
        raise FramingError(expected="an executor event", received=shorten(words)) from None


def _decode(
    words: list[str], body: memoryview | bytes, gauge_names: list[str]
) -> ExecutorEvent | None:
    match words[0]:
        case "REAP":
            return ExecutionEnded(int(words[1]), words[2], OUTCOMES_BY_WORD[words[3]], body)
        case "IOREQ":
            return CallRequested(int(words[1]), words[2], body)
        case "INFO":
            values = dict(zip(gauge_names, map(float, words[2:]), strict=False))
            return GaugesReported(words[1], values)
        case "BOOTED":
            return ExecutorBooted(words[1] == "booting", int(float(words[2]) * 10))
        case "EINVAL":
            return CommandRejected(words[1], words[2] if len(words) > 2 else "")
        case "DMESG":
            return ExecutorLogMessage(int(words[1]))
        case _:
            return None
