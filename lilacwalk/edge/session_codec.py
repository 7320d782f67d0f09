"""Encodes sessions for the persistent store, and decodes them.

One stored row holds the whole session, so that it is never restored in part: the requests in flight
and the unacknowledged answers. After a restart, a request in flight is answered with its result if
that was stored. Otherwise, it is answered as terminated, which means that the outcome is unknown,
if it may have been executed and is not idempotent, and as denied, which means that the device may
retry it, if it was not started or is idempotent.
"""

from __future__ import annotations

import msgspec

from lilacwalk.edge.frames import Answer
from lilacwalk.edge.link import Link
from lilacwalk.edge.session import OpenRequest, Session, UnacknowledgedAnswer
from lilacwalk.overload.model import Effect

EFFECTS = list(Effect)
# Added to the sequence number of the last answer when a session is restored. Answers sent after the
# last write of the session are lost in a crash; the device would ignore a new answer with the same
# number as a duplicate. The increment exceeds the number of answers that a window can produce
# between two writes.
ORDER_INCREMENT = 1_024


class AnswerRow(msgspec.Struct, frozen=True, array_like=True):
    """A stored answer.

    Fields are stored as an array, so they must not be reordered.
    """

    order: int
    number: int
    word: int
    body: bytes
    come_back: int
    effect: int


class OpenRequestRow(msgspec.Struct, frozen=True, array_like=True):
    """A stored request in flight.

    Fields are stored as an array, so they must not be reordered.
    """

    number: int
    effect: int
    group: str
    customer: str
    key: str


class SessionRow(msgspec.Struct, frozen=True, array_like=True):
    """A stored session.

    Fields are stored as an array, so they must not be reordered.
    """

    device: bytes
    steady: bool
    window: int
    asked: int
    order: int
    open: tuple[OpenRequestRow, ...]
    answers: tuple[AnswerRow, ...]


def encode_session(session: Session) -> bytes:
    """Returns the stored form of a session."""
    open_requests = tuple(
        OpenRequestRow(number, EFFECTS.index(each.effect), *each.execution_key)
        for number, each in session.open.items()
    )
    answers = tuple(
        AnswerRow(
            each.answer.order,
            each.answer.number,
            each.answer.word,
            each.answer.body,
            each.answer.come_back,
            EFFECTS.index(each.effect),
        )
        for each in session.unacknowledged.values()
    )
    return msgspec.msgpack.encode(
        SessionRow(
            session.device,
            session.has_stable_numbers,
            session.window,
            session.highest_number,
            session.last_order,
            open_requests,
            answers,
        )
    )


def decode_session(ident: bytes, data: bytes, link: Link, now: int) -> Session | None:
    """Returns the session that the data encodes, or None if the data is invalid."""
    try:
        row = msgspec.msgpack.decode(data, type=SessionRow)
        effects = {each.number: EFFECTS[each.effect] for each in (*row.open, *row.answers)}
    except (msgspec.MsgspecError, IndexError):
        return None
    session = Session(ident, row.device, row.steady, row.window, link, now)
    session.highest_number, session.last_order = row.asked, row.order + ORDER_INCREMENT
    for each in row.open:
        session.open[each.number] = OpenRequest(
            effects[each.number], now, execution_key=(each.group, each.customer, each.key)
        )
    for each in row.answers:
        answer = UnacknowledgedAnswer(
            Answer(each.order, each.number, each.word, each.body, each.come_back),
            effects[each.number],
        )
        session.unacknowledged[each.order] = answer
        session.by_number[each.number] = each.order
        session.unacknowledged_bytes += answer.size
    return session
