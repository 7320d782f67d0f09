"""A device's side of a session without its socket.

Requests have increasing numbers and are sent again on each new connection until they are answered.
Each answer is accepted once.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from lilacwalk.edge import frames
from lilacwalk.edge.frames import Answer, Ask, Got, Hello, Leaving, Ping, Pong, Refused, Welcome

WINDOW = 16  # answers that the client can hold unread


@dataclass(slots=True)
class Outcome:
    """The outcome of a request.

    `word` is 0 for completed, 1 for denied (not executed, or idempotent; may be retried) and 2 for
    terminated (failed, or may have been executed).
    """

    word: int
    body: bytes
    come_back: int  # ms after which a denied request may be sent again


class ClientSession:
    """Requests without an answer, and the outcomes of the others."""

    def __init__(
        self, token: bytes = b"", has_stable_numbers: bool = False, first_number: int = 1
    ) -> None:
        """Creates a session that is not connected.

        `has_stable_numbers` says whether the device's request numbers outlive its sessions; the
        first request then has the number `first_number`.
        """
        self.token, self.has_stable_numbers, self.next_number = (
            token,
            has_stable_numbers,
            first_number,
        )
        self.session = b""  # token of the session; empty before the first Welcome frame
        self.got = 0  # sequence number up to which all answers have been received
        self.window = 1  # requests that the session may have in flight
        self.unanswered: dict[int, Ask] = {}  # in ascending order of request numbers
        self.sent_on_connection: set[int] = set()  # requests sent on the current connection
        self.sent_before: set[int] = set()  # requests sent on any connection
        self.outcomes: dict[int, Outcome] = {}
        self.duplicate_answers = 0  # repeated answers, which were ignored
        self.welcome: Welcome | None = None
        self.refused: Refused | None = None
        self.leaving: Leaving | None = None
        self.output: list[bytes] = []

    def take_output(self) -> bytes:
        """Returns the bytes to send, and clears the output."""
        data, self.output = b"".join(self.output), []
        return data

    def _queue_frame(self, frame: frames.Frame) -> None:
        self.output.append(frames.encode(frame))

    def connected(self) -> None:
        """Starts a new connection with a HELLO frame."""
        self.welcome = self.refused = None
        self.sent_on_connection.clear()
        self._queue_frame(
            Hello(1, self.token, self.session, self.got, WINDOW, self.has_stable_numbers)
        )

    def ask(self, group: str, body: bytes, wait: int = 0, **more) -> int:
        """Adds a request, which is sent as soon as possible, and returns its number.

        `wait` is the timeout in milliseconds from when the request is sent, or 0 for the timeout of
        the request class. `more` are further fields of `Ask`.
        """
        number, self.next_number = self.next_number, self.next_number + 1
        self.unanswered[number] = Ask(number, group, body, wait, self.got, **more)
        self._send_requests()
        return number

    def cancel(self, number: int) -> None:
        """Cancels a request."""
        if self.unanswered.pop(number, None) is not None and number in self.sent_on_connection:
            self._queue_frame(frames.Cancel(number))

    def _send_requests(self) -> None:
        """Sends the requests not yet sent on this connection, as far as the window permits."""
        if self.welcome is None:
            return
        for number, ask in self.unanswered.items():
            if len(self.sent_on_connection & self.unanswered.keys()) >= self.window:
                return
            if number not in self.sent_on_connection:
                self._queue_frame(replace(ask, got=self.got, again=number in self.sent_before))
                self.sent_on_connection.add(number)
                self.sent_before.add(number)

    def frame_received(self, frame: frames.Frame) -> None:
        """Handles a frame that the edge sent."""
        if isinstance(frame, Welcome):
            if not frame.resumed:
                self.got = 0  # the new session counts answers from the start
            self.welcome, self.session, self.window = frame, frame.session, frame.window
            self._send_requests()
        elif isinstance(frame, Answer):
            if frame.order <= self.got:
                self.duplicate_answers += 1
                return
            self.got = frame.order
            if self.unanswered.pop(frame.number, None) is not None:
                self.outcomes[frame.number] = Outcome(frame.word, frame.body, frame.come_back)
            self._queue_frame(Got(self.got))
            self._send_requests()
        elif isinstance(frame, Ping):
            self._queue_frame(Pong(frame.stamp))
        elif isinstance(frame, Leaving):
            self.leaving = frame
        elif isinstance(frame, Refused):
            self.refused = frame
