"""Messages between this server and the dependency: encoding of calls, decoding of replies."""

from __future__ import annotations

from dataclasses import dataclass

from lilacwalk.overload.model import Outcome
from lilacwalk.protocols.errors import FramingError
from lilacwalk.protocols.lines import shorten

HIT = "HIT"  # the only reply with a body
OUTCOMES_BY_WORD = {
    HIT: Outcome.OK,
    "SHED": Outcome.REJECTED,
    "BROKEN": Outcome.ERROR,
    "SLOW": Outcome.TIMED_OUT,
    "NOBODY": Outcome.NOT_EXECUTED,
}


@dataclass(frozen=True, slots=True)
class DependencyReply:
    """The reply to the call of the request with this id."""

    request_id: str
    outcome: Outcome
    body: bytes


def encode_call(request_id: str, timeout_ms: int, body: bytes) -> bytes:
    """Encodes a call of the request with this id."""
    return b"GET %b %d %d\r\n%b\r\n" % (request_id.encode(), timeout_ms, len(body), body)


def has_body(words: list[str]) -> bool:
    """Whether a body follows the line with these words."""
    return len(words) == 3 and words[1] == HIT


def decode_reply(words: list[str], body: memoryview | None) -> DependencyReply:
    """Decodes one message of the dependency.

    Raises:
        FramingError: The message is not a reply.
    """
    if body is not None:
        return DependencyReply(words[0], OUTCOMES_BY_WORD[words[1]], bytes(body))
    if len(words) != 2 or words[1] not in OUTCOMES_BY_WORD or words[1] == HIT:
        raise FramingError(expected="a dependency reply", received=shorten(words))
    return DependencyReply(words[0], OUTCOMES_BY_WORD[words[1]], b"")
