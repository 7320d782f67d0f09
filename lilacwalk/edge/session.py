"""The state of one session: requests in flight and answers that the device has not acknowledged.

A session outlives its connections. Each request number gets exactly one answer, or none if the
device cancels the request. An answer is stored until the device acknowledges it, and is sent again,
byte for byte, on the next connection.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum, auto

from lilacwalk.edge.frames import Answer, Ask
from lilacwalk.edge.link import Link
from lilacwalk.overload.model import Effect

ANSWER_OVERHEAD_BYTES = 200  # memory of an answer besides its body
NO_EXECUTION_KEY = ("", "", "")  # of a duplicate, which gets the answer of another request


class RequestStatus(Enum):
    """State of a received request number in its session."""

    NEW = auto()
    IN_FLIGHT = auto()  # already received, not answered yet
    ANSWERED = auto()  # already answered; the answer is not acknowledged yet
    ACKNOWLEDGED = auto()  # already answered and the answer acknowledged, or the request cancelled
    WINDOW_EXCEEDED = auto()  # beyond the number of requests that the session may have in flight


@dataclass(eq=False, slots=True)
class UnacknowledgedAnswer:
    """An answer that is stored until the device acknowledges it."""

    answer: Answer
    effect: Effect
    sent_at: int | None = None  # time of sending on the current connection; None if not sent on it

    @property
    def size(self) -> int:
        """Memory of the answer in bytes."""
        return len(self.answer.body) + ANSWER_OVERHEAD_BYTES


@dataclass(eq=False, slots=True)
class OpenRequest:
    """A request in flight."""

    effect: Effect
    received_at: int
    # Request class, tenant and idempotency key, which identify the execution.
    execution_key: tuple[str, str, str] = NO_EXECUTION_KEY
    # Sessions and request numbers of duplicates, which get the same answer.
    followers: list[tuple[Session, int]] = field(default_factory=list)

    @property
    def is_duplicate(self) -> bool:
        """Whether the request has no execution of its own."""
        return self.execution_key == NO_EXECUTION_KEY


class Session:
    """Requests and answers of one session of a device."""

    def __init__(
        self,
        ident: bytes,
        device: bytes,
        has_stable_numbers: bool,
        window: int,
        link: Link,
        now: int,
    ) -> None:
        """Creates a session without requests.

        Args:
            ident: Identifier of the session.
            device: Name of the device.
            has_stable_numbers: Whether the device's request numbers outlive its sessions.
            window: Maximum number of requests in flight.
            link: Estimates of the device's link.
            now: The current time.
        """
        self.ident, self.device, self.has_stable_numbers, self.window, self.link = (
            ident,
            device,
            has_stable_numbers,
            window,
            link,
        )
        self.device_window = 1  # unacknowledged answers that the device can hold
        self.highest_number = 0  # highest request number received
        self.open: dict[int, OpenRequest] = {}
        # By sequence number of the answer (`Answer.order`).
        self.unacknowledged: OrderedDict[int, UnacknowledgedAnswer] = OrderedDict()
        self.by_number: dict[int, int] = {}  # answer order by request number
        self.last_order = 0  # sequence number of the last answer
        self.acknowledged_order = 0  # sequence number of the last acknowledged answer
        self.unacknowledged_bytes = 0
        self.connection: int | None = None  # number of the current connection
        self.disconnected_at = now  # initially the time of creation

    def classify(self, ask: Ask) -> RequestStatus:
        """Classifies a received request; a new one raises the highest number.

        Numbers only increase, so that a number up to the highest one has already been received.
        """
        if ask.number in self.open:
            return RequestStatus.IN_FLIGHT
        if ask.number in self.by_number:
            return RequestStatus.ANSWERED
        if ask.number <= self.highest_number:
            return RequestStatus.ACKNOWLEDGED
        if len(self.open) >= self.window:
            return RequestStatus.WINDOW_EXCEEDED
        self.highest_number = ask.number
        return RequestStatus.NEW

    def open_request(
        self,
        number: int,
        effect: Effect,
        now: int,
        execution_key: tuple[str, str, str] = NO_EXECUTION_KEY,
    ) -> OpenRequest:
        """Adds a request in flight."""
        request = self.open[number] = OpenRequest(effect, now, execution_key)
        return request

    def answer(
        self, number: int, word: int, body: bytes, come_back: int
    ) -> UnacknowledgedAnswer | None:
        """Completes a request with an answer that awaits acknowledgement.

        `come_back` is the delay in ms after which a denied request may be retried.

        Returns None if no request with this number is in flight.
        """
        request = self.open.pop(number, None)
        if request is None:
            return None
        self.last_order += 1
        pending = UnacknowledgedAnswer(
            Answer(self.last_order, number, word, body, come_back), request.effect
        )
        self.unacknowledged[self.last_order] = pending
        self.by_number[number] = self.last_order
        self.unacknowledged_bytes += pending.size
        return pending

    def acknowledge(self, upto: int, now: int) -> list[UnacknowledgedAnswer]:
        """Removes and returns the acknowledged answers, in order of their sequence numbers.

        The device acknowledges all answers up to sequence number `upto`. The first answer that was
        not sent on the current connection (`sent_at` is None) and all later ones remain, whatever
        the device claims.
        """
        acknowledged = []
        while self.unacknowledged and (first := next(iter(self.unacknowledged))) <= upto:
            pending = self.unacknowledged[first]
            if pending.sent_at is None:
                break
            self._remove(first)
            acknowledged.append(pending)
        if acknowledged:
            self.acknowledged_order = acknowledged[-1].answer.order
            self.link.record_delivery(
                sum(each.size for each in acknowledged),
                now - min(each.sent_at for each in acknowledged),
            )
        return acknowledged

    def _remove(self, order: int) -> None:
        pending = self.unacknowledged.pop(order)
        del self.by_number[pending.answer.number]
        self.unacknowledged_bytes -= pending.size

    def connected(self, number: int, device_window: int) -> None:
        """Attaches a new connection, on which all unacknowledged answers have to be sent."""
        self.connection, self.device_window = number, max(1, device_window)
        for pending in self.unacknowledged.values():
            pending.sent_at = None

    def disconnected(self, now: int) -> None:
        """Detaches the connection."""
        self.connection, self.disconnected_at = None, now

    def next_to_send(self, now: int) -> UnacknowledgedAnswer | None:
        """Returns the next answer to send, in order, or None.

        No more answers are sent than the device can hold unacknowledged.
        """
        if self.connection is None:
            return None
        for position, pending in enumerate(self.unacknowledged.values()):
            if position >= self.device_window:
                return None
            if pending.sent_at is None:
                pending.sent_at = now
                return pending
        return None

    @property
    def eviction_cost(self) -> tuple[int, int]:
        """Rank of the loss if the session is evicted; lower ranks are evicted first.

        The loss is highest if a non-idempotent effect may remain unknown to the device, and lower
        if only work has to be repeated. Of equal sessions, the one that was disconnected first is
        evicted first.
        """
        effects = [pending.effect for pending in self.unacknowledged.values()] + [
            each.effect for each in self.open.values()
        ]
        if Effect.NON_IDEMPOTENT in effects:
            return 3, self.disconnected_at
        if Effect.DEDUPLICATED in effects:
            return 2, self.disconnected_at
        return (1 if effects else 0), self.disconnected_at
