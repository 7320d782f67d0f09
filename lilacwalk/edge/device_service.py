"""The service for devices, without I/O: handles connections, sessions and frames.

Times are Unix times in tenths of a millisecond, from a clock that never decreases; a device's own
clock is never used.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import Enum, auto

from lilacwalk.edge import frames, session_codec
from lilacwalk.edge.config import EdgeConfig
from lilacwalk.edge.connection_limiter import ConnectionLimiter
from lilacwalk.edge.duplicate_detector import COMPLETED, DENIED, TERMINATED, DuplicateDetector
from lilacwalk.edge.frames import (
    Ask,
    Bye,
    Cancel,
    Got,
    Hello,
    Leaving,
    Ping,
    Pong,
    Refused,
    Welcome,
)
from lilacwalk.edge.link import Link
from lilacwalk.edge.rates import FrameProgress
from lilacwalk.edge.session import RequestStatus, Session
from lilacwalk.edge.sessions import SessionTable
from lilacwalk.edge.tokens import DEVICE, SESSION, TokenError, Tokens
from lilacwalk.overload.model import Effect

VERSION = 1
SECOND = 10_000
ANSWER_SIZE_WEIGHT = 1 / 16  # weight of the newest answer in the mean size of answers
INITIAL_ANSWER_BYTES = 500.0  # mean size before the first answer
# Entries of the duplicate detector per session; most devices have fewer requests in flight.
DUPLICATE_ENTRIES_PER_SESSION = 8
CHECK_INTERVAL = SECOND  # time between checks for slow, idle and unidentified connections
CLOSED_BY_DEVICE = "said goodbye"  # reason of the removal of a session
# A connection is closed after this number of `heartbeat` times without received bytes.
MAX_MISSED_HEARTBEATS = 3
SESSION_TOKEN_SECONDS = 7 * 24 * 3600  # sessions expire long before their tokens


@dataclass(frozen=True, slots=True)
class DeviceRequestClass:
    """The properties of a request class that the edge uses."""

    effect: Effect
    timeout: int  # tenths of a ms


class ActionType(Enum):
    """Kinds of actions that the service requests from the host."""

    SEND = auto()  # send bytes on a connection
    DATAGRAM = auto()  # send bytes to a UDP address
    CLOSE = auto()  # close a connection after all bytes have been sent
    SUBMIT = auto()  # submit a request to the event loop
    CLIENT_GONE = auto()  # no client waits for the answer to a request any more
    LOG = auto()  # log the fields in `payload`
    PERSIST = auto()  # write encoded sessions by identifier; None deletes the session
    RECOVER = auto()  # resolve a request that was in flight when the previous process ended


@dataclass(frozen=True, slots=True)
class Action:
    """An action for the host to perform; `payload` depends on the type."""

    type: ActionType
    connection: int = 0
    session: Session | None = None
    number: int = 0  # request number
    payload: object = None


@dataclass(frozen=True, slots=True)
class DeviceRequest:
    """A request to submit to the event loop."""

    frame: Ask
    tenant: str
    timeout: int  # tenths of a ms from `arrived_at`, less the expected delivery time of the answer
    arrived_at: int
    is_retry: bool  # whether the device may have sent the request before


@dataclass(eq=False, slots=True)
class Connection:
    """A connection of a device."""

    number: int
    identity: bytes  # device name from the certificate; empty if the device must present a token
    last_received_at: int  # time at which bytes were last received
    session: Session | None = None
    unsent_bytes: int = 0
    frame_progress: FrameProgress = field(default_factory=FrameProgress)
    is_closing: bool = False


class DeviceService:
    """Handles the events of connections, and collects actions for the host to perform."""

    def __init__(
        self,
        config: EdgeConfig,
        request_classes: dict[str, DeviceRequestClass],
        tokens: Tokens,
        seed: int,
        now: int,
    ) -> None:
        """Creates a service without connections."""
        self.config, self.request_classes, self.tokens = config, request_classes, tokens
        self.rng = random.Random(seed)
        self.connections: dict[int, Connection] = {}
        self.session_table = SessionTable(
            config.sessions,
            config.sessions_each,
            config.kept,
            config.session_time,
            now,
            self._on_session_removed,
        )
        random_bits = self.rng.getrandbits
        self.duplicate_detector = DuplicateDetector(
            DUPLICATE_ENTRIES_PER_SESSION * config.sessions, config.repeat_window, random_bits(64)
        )
        self.connection_limiter = ConnectionLimiter(
            config.arrivals, max(1, config.connections // 4), random_bits(64), now
        )
        self.links: dict[bytes, Link] = {}  # estimates by device, for devices with a session
        self.actions: list[Action] = []
        self.mean_answer_bytes = INITIAL_ANSWER_BYTES
        # While draining: time after which devices should reconnect.
        self.drain_retry_delay: int | None = None
        self.is_closing = False
        self.next_check_at = now + CHECK_INTERVAL
        self.persists_sessions = False  # whether sessions outlive the process
        # Sessions changed since they were last persisted, by identifier; None if removed.
        self.unpersisted_sessions: dict[bytes, Session | None] = {}
        self.counts = dict.fromkeys(
            ("asked", "answered", "resumed", "unknown", "joined", "slow", "turned_away"), 0
        )

    def take_actions(self) -> list[Action]:
        """Returns the collected actions.

        Changed sessions come first, so that no request is submitted before its session is
        persisted.
        """
        actions, self.actions = self.actions, []
        if self.unpersisted_sessions:
            rows = {
                ident: None if each is None else session_codec.encode_session(each)
                for ident, each in self.unpersisted_sessions.items()
            }
            self.unpersisted_sessions = {}
            actions.insert(0, Action(ActionType.PERSIST, payload=rows))
        return actions

    def _mark_unpersisted(self, session: Session) -> None:
        """Records that the session has to be persisted."""
        if self.persists_sessions and self.session_table.find(session.ident) is session:
            self.unpersisted_sessions[session.ident] = session

    def recover_sessions(self, rows: dict[bytes, bytes], now: int) -> None:
        """Restores the sessions of the previous process.

        Each of their open requests is passed to the host as a `RECOVER` action.
        """
        for ident, value in rows.items():
            link = Link()
            session = session_codec.decode_session(ident, value, link, now)
            if session is None or not self.session_table.add(session):
                continue
            session.link = self.links.setdefault(session.device, link)
            self.session_table.add_bytes(session, session.unacknowledged_bytes)
            self.session_table.disconnected(session, now)
            self._mark_unpersisted(session)
            self.actions += [
                Action(ActionType.RECOVER, session=session, number=number, payload=open_request)
                for number, open_request in session.open.items()
            ]

    # Connections

    def connection_opened(self, number: int, address: bytes, identity: bytes, now: int) -> bool:
        """Handles a new connection, and returns whether it is accepted.

        `address` is the packed IP address of the device, `identity` its name in a verified
        certificate, or empty.
        """
        reason = self.connection_limiter.admit(number, address, now)
        if reason or self.is_closing or len(self.connections) >= self.config.connections:
            self.connection_limiter.identified(number)
            self.counts["turned_away"] += 1
            return False
        self.connections[number] = Connection(number, identity, now)
        if (excess := self.connection_limiter.oldest_excess()) is not None:
            self._refuse(self.connections[excess], "too many that say nothing", SECOND)
        return True

    def connection_closed(self, number: int, now: int) -> None:
        """Handles the end of a connection; its session remains if sessions can be resumed."""
        connection = self.connections.pop(number, None)
        self.connection_limiter.identified(number)
        if connection is None or connection.session is None:
            return
        session, connection.session = connection.session, None
        if session.connection == number:
            if session.open or session.unacknowledged:
                session.link.record_loss()
            self.session_table.disconnected(session, now)
            if not self.config.resume:
                self.session_table.remove(session, "resuming is off")

    def bytes_received(
        self, number: int, size: int, frame_count: int, is_partial: bool, now: int
    ) -> None:
        """Records received bytes that completed `frame_count` frames.

        `is_partial` says whether a further frame has begun.
        """
        if (connection := self.connections.get(number)) is not None:
            connection.last_received_at = now
            connection.frame_progress.add_bytes(size, frame_count, is_partial, now)

    def bytes_sent(self, number: int, size: int, now: int) -> None:
        """Records that the operating system has accepted `size` bytes.

        Sends further answers if there is room.
        """
        if (connection := self.connections.get(number)) is not None:
            connection.unsent_bytes -= size
            if connection.session is not None:
                self._send_pending_answers(connection.session, now)

    def reject_invalid_frame(self, number: int, reason: str, now: int) -> None:
        """Sends the reason and closes a connection that sent an invalid frame."""
        if (connection := self.connections.get(number)) is not None:
            self._refuse(connection, reason)

    def _refuse(self, connection: Connection, reason: str, come_back: int = 0) -> None:
        """Sends a Refused frame and closes the connection.

        `come_back` is the delay in tenths of a ms after which the device should reconnect, or 0 to
        state none.
        """
        if not connection.is_closing:
            self._send(connection, frames.encode(Refused(reason, come_back // 10)))
            self._close(connection)

    def _close(self, connection: Connection) -> None:
        """Closes a connection once all its data has been sent."""
        connection.is_closing = True
        self.connection_limiter.identified(connection.number)
        self.actions.append(Action(ActionType.CLOSE, connection.number))

    def _send(self, connection: Connection, data: bytes) -> None:
        connection.unsent_bytes += len(data)
        self.actions.append(Action(ActionType.SEND, connection.number, payload=data))

    # Frames

    def frame_received(self, number: int, frame: frames.Frame, now: int) -> None:
        """Handles a frame that the device sent on connection `number`."""
        connection = self.connections.get(number)
        if connection is None or connection.is_closing:
            return
        if isinstance(frame, Hello):
            self._hello(connection, frame, now)
            return
        session = connection.session
        if session is None:
            self._refuse(connection, "HELLO first")
            return
        if isinstance(frame, Ask):
            self._process_acknowledgement(session, frame.got, now)
            self._submit(connection, session, frame, now)
        elif isinstance(frame, Got):
            self._process_acknowledgement(session, frame.upto, now)
        elif isinstance(frame, Ping):
            self._process_acknowledgement(session, frame.got, now)
            self._send(connection, frames.encode(Pong(frame.stamp)))
        elif isinstance(frame, Pong):
            # Any other stamp is not the echo of a recent ping.
            if 0 <= now - frame.stamp <= 2 * self.config.heartbeat:
                session.link.record_round_trip(now - frame.stamp)
        elif isinstance(frame, Cancel):
            self._cancel(session, frame.number)
        elif isinstance(frame, Bye):
            self._close(connection)
            if not session.open:
                self.session_table.remove(session, CLOSED_BY_DEVICE)
        else:
            self._refuse(connection, "a frame that only this side sends")

    def _hello(self, connection: Connection, hello: Hello, now: int) -> None:
        """Handles a HELLO frame: opens or resumes a session, or refuses the connection."""
        if connection.session is not None:
            self._refuse(connection, "a second HELLO")
            return
        if hello.version != VERSION:
            self._refuse(connection, f"version {VERSION} is spoken here")
            return
        device = connection.identity
        if not device:
            try:
                device = self.tokens.check(DEVICE, hello.token, now // SECOND).name
            except TokenError as error:
                self._refuse(connection, f"token {error}")
                return
        session = self._find_resumable(hello, device, now)
        resumed = session is not None
        if session is None:
            link = self.links.setdefault(device, Link())
            session = Session(
                self.rng.randbytes(16), device, hello.steady, self.config.window, link, now
            )
            if self.session_table.is_full or not self.session_table.add(session):
                self._refuse(connection, "no room for a session", SECOND)
                return
            self._mark_unpersisted(session)
        elif (before := self.connections.get(session.connection or 0)) is not None:
            before.session = None
            self._refuse(before, "the session was taken over by another connection")
        self.connection_limiter.identified(connection.number)
        connection.session = session
        self.session_table.reconnected(session)
        session.connected(connection.number, hello.window)
        self.counts["resumed"] += resumed
        token = self.tokens.make(SESSION, session.ident, now // SECOND + SESSION_TOKEN_SECONDS)
        self._send(
            connection,
            frames.encode(
                Welcome(
                    token,
                    resumed,
                    session.highest_number,
                    session.link.heartbeat_interval(self.config.heartbeat) // 10,
                    session.window,
                    self.config.body,
                )
            ),
        )
        # Only the echo of a ping shows the round trip, since the device sends requests at any time.
        self._send(connection, frames.encode(Ping(now, 0)))
        if self.drain_retry_delay is not None:
            self._send_leaving(connection, session)
        if resumed:
            self._process_acknowledgement(session, hello.got, now, resumed=True)
        self._send_pending_answers(session, now)

    def _find_resumable(self, hello: Hello, device: bytes, now: int) -> Session | None:
        """Returns the session to resume, or None.

        A token of another device's session is treated like an invalid one, so that it reveals
        nothing.
        """
        if not hello.session or not self.config.resume:
            return None
        try:
            session = self.session_table.find(
                self.tokens.check(SESSION, hello.session, now // SECOND).name
            )
        except TokenError:
            session = None
        if session is None or session.device != device:
            self.counts["unknown"] += 1
            return None
        return session

    def _process_acknowledgement(
        self, session: Session, upto: int, now: int, resumed: bool = False
    ) -> None:
        """Removes the answers up to sequence number `upto`, and sends further ones.

        `resumed` says whether the acknowledgement is that of the HELLO frame of a resumed session.
        """
        if resumed:  # the acknowledged answers were sent on an earlier connection
            for pending in session.unacknowledged.values():
                if pending.answer.order <= min(upto, session.last_order):
                    pending.sent_at = now
        acknowledged = session.acknowledge(upto, now)
        for pending in acknowledged:
            self.duplicate_detector.remove(session, pending.answer.number)
        if acknowledged:
            self._mark_unpersisted(session)
            self.session_table.add_bytes(session, -sum(pending.size for pending in acknowledged))
            self._send_pending_answers(session, now)

    # Requests

    def _submit(self, connection: Connection, session: Session, ask: Ask, now: int) -> None:
        """Submits a request to the event loop, or answers it without execution."""
        status = session.classify(ask)
        if (
            status is RequestStatus.ACKNOWLEDGED
            or status is RequestStatus.IN_FLIGHT
            or status is RequestStatus.ANSWERED
        ):
            return  # the answer is pending, sent on this connection, or acknowledged
        self.counts["asked"] += 1
        request_class = self.request_classes.get(ask.group)
        effect = request_class.effect if request_class is not None else Effect.IDEMPOTENT
        if (
            status is RequestStatus.WINDOW_EXCEEDED
            or session.unacknowledged_bytes >= self.config.kept_each
            or self.session_table.is_full
        ):
            # The window is exceeded, or the unacknowledged answers have reached a limit of bytes.
            session.highest_number = max(session.highest_number, ask.number)
            self._answer_without_execution(session, ask.number, effect, DENIED, now, SECOND)
            return
        if request_class is None or len(ask.body) > self.config.body:
            self._answer_without_execution(session, ask.number, effect, TERMINATED, now)
            return
        fingerprint = (
            self.duplicate_detector.fingerprint(session.device, session.has_stable_numbers, ask)
            if self.config.repeats
            else 0
        )
        if fingerprint and self._handle_duplicate(session, ask, fingerprint, effect, now):
            return
        if ask.again and effect is Effect.NON_IDEMPOTENT:
            # The request may have been executed in a session that is unknown here.
            self._answer_without_execution(session, ask.number, effect, TERMINATED, now)
            return
        session.open_request(
            ask.number, effect, now, (ask.group, ask.customer or self.config.customer, ask.key)
        )
        self._mark_unpersisted(session)
        if fingerprint:
            self.duplicate_detector.add(fingerprint, session, ask.number, effect, now)
        wait = min(ask.wait * 10 or request_class.timeout, request_class.timeout)
        if self.config.estimates:
            wait -= session.link.delivery_time(int(self.mean_answer_bytes))
        self.actions.append(
            Action(
                ActionType.SUBMIT,
                session=session,
                number=ask.number,
                payload=DeviceRequest(
                    ask, ask.customer or self.config.customer, wait, now, ask.again
                ),
            )
        )

    def _handle_duplicate(
        self, session: Session, ask: Ask, fingerprint: int, effect: Effect, now: int
    ) -> bool:
        """Answers a duplicate with the answer to the first request, now or once there is one.

        If that answer is gone and the effect is not idempotent, the duplicate is answered as
        terminated, since the first request may have been executed.

        Returns False if the request has to be handled as a new one.
        """
        earlier = self.duplicate_detector.find(fingerprint, session, effect, now)
        if earlier is None:
            return False
        first = earlier.session
        assert isinstance(first, Session)
        if (open_request := first.open.get(earlier.number)) is not None:
            open_request.followers.append((session, ask.number))
            session.open_request(ask.number, effect, now)
            self._mark_unpersisted(session)
        elif (order := first.by_number.get(earlier.number)) is not None:
            before = first.unacknowledged[order].answer
            session.open_request(ask.number, effect, now)
            self._queue_answer(session, ask.number, before.word, before.body, 0, now)
        elif effect is Effect.IDEMPOTENT:
            return False
        else:  # the first request's answer is gone, but that request may have been executed
            self._answer_without_execution(session, ask.number, effect, TERMINATED, now)
        self.counts["joined"] += 1
        return True

    def _answer_without_execution(
        self, session: Session, number: int, effect: Effect, word: int, now: int, come_back: int = 0
    ) -> None:
        """Answers a request that is not submitted.

        `come_back` is the delay in tenths of a ms after which a denied request may be retried.
        """
        session.open_request(number, effect, now)
        self._queue_answer(session, number, word, b"", come_back, now)

    def send_answer(
        self, session: Session, number: int, word: int, body: bytes, come_back: int, now: int
    ) -> None:
        """Completes a request and its duplicates with the event loop's response.

        `come_back` is the delay in tenths of a ms after which a denied request may be retried.
        """
        open_request = session.open.get(number)
        if open_request is None:
            return  # cancelled meanwhile
        if word == COMPLETED:
            self.mean_answer_bytes += ANSWER_SIZE_WEIGHT * (len(body) - self.mean_answer_bytes)
        self.duplicate_detector.set_outcome(session, number, word)
        for other, other_number in open_request.followers:
            self._queue_answer(other, other_number, word, body, come_back, now)
        self._queue_answer(session, number, word, body, come_back, now)

    def _queue_answer(
        self, session: Session, number: int, word: int, body: bytes, come_back: int, now: int
    ) -> None:
        """Adds the answer to the session, and sends it if the connection has room."""
        pending = session.answer(number, word, body, come_back // 10)
        if pending is None:
            return
        self.counts["answered"] += 1
        self._mark_unpersisted(session)
        if self.session_table.find(session.ident) is session:
            self.session_table.add_bytes(session, pending.size)
            self._send_pending_answers(session, now)

    def _cancel(self, session: Session, number: int) -> None:
        """Cancels a request in flight unless duplicates wait for its answer."""
        open_request = session.open.get(number)
        if open_request is None:
            return
        if open_request.followers:
            return
        del session.open[number]
        self._mark_unpersisted(session)
        self.duplicate_detector.remove(session, number)
        self.actions.append(Action(ActionType.CLIENT_GONE, session=session, number=number))

    def _send_pending_answers(self, session: Session, now: int) -> None:
        """Sends answers up to the connection's buffer limit; others wait in the session."""
        connection = self.connections.get(session.connection or 0)
        if connection is None or connection.is_closing:
            return
        while (
            connection.unsent_bytes < self.config.buffer
            and (pending := session.next_to_send(now)) is not None
        ):
            self._send(connection, frames.encode(pending.answer))

    def _on_session_removed(self, session: Session, reason: str) -> None:
        """Releases the state of a removed session and closes its connection.

        The requests in flight are cancelled, since their answers cannot be delivered any more,
        except those with duplicates in other sessions.
        """
        if self.persists_sessions:
            self.unpersisted_sessions[session.ident] = None
        for number, open_request in list(session.open.items()):
            if not open_request.followers:
                self.actions.append(Action(ActionType.CLIENT_GONE, session=session, number=number))
            if reason == CLOSED_BY_DEVICE or open_request.effect is Effect.IDEMPOTENT:
                self.duplicate_detector.remove(session, number)
        for pending in session.unacknowledged.values():
            if reason == CLOSED_BY_DEVICE or pending.effect is Effect.IDEMPOTENT:
                self.duplicate_detector.remove(session, pending.answer.number)
        # The detector's other entries of this session remain, so that a request is not executed
        # again only because its answer is lost.
        session.unacknowledged.clear()
        session.by_number.clear()
        if session.device not in self.session_table.by_device:
            self.links.pop(session.device, None)
        connection = self.connections.get(session.connection or 0)
        if connection is not None and connection.session is session:
            connection.session = None
            self._refuse(connection, reason)

    # Timers

    def due(self) -> int:
        """Returns the time at which `tick` must be called next."""
        wheel = self.session_table.wheel.due()
        return self.next_check_at if wheel is None else min(wheel, self.next_check_at)

    def tick(self, now: int) -> None:
        """Removes expired sessions, and probes or closes idle and slow connections."""
        self.session_table.tick(now)
        if now < self.next_check_at:
            return
        self.next_check_at = now + CHECK_INTERVAL
        self.duplicate_detector.remove_expired(now)
        for number in self.connection_limiter.overdue(self.config.hello, now):
            if number in self.connections:
                self._refuse(self.connections[number], "no HELLO in time")
        for connection in list(self.connections.values()):
            if connection.is_closing:
                continue
            if connection.frame_progress.is_too_slow(
                self.config.slowest, self.config.frame_time, now
            ):
                self.counts["slow"] += 1
                self._refuse(connection, "too slow")
            elif connection.session is not None:
                interval = connection.session.link.heartbeat_interval(self.config.heartbeat)
                if now - connection.last_received_at > MAX_MISSED_HEARTBEATS * max(
                    interval, self.config.heartbeat
                ):
                    # No Refused frame is sent, since the device would not receive it.
                    self._close(connection)
                elif (
                    now - connection.last_received_at > interval
                    and connection.unsent_bytes < self.config.buffer
                ):
                    self._send(connection, frames.encode(Ping(now, 0)))

    # Drain

    def start_draining(self, come_back: int) -> None:
        """Sends each connected device a Leaving frame.

        `come_back` is the time after which devices should reconnect, in tenths of a millisecond.
        """
        self.drain_retry_delay = come_back
        for connection in self.connections.values():
            if connection.session is not None and not connection.is_closing:
                self._send_leaving(connection, connection.session)

    def _send_leaving(self, connection: Connection, session: Session) -> None:
        assert self.drain_retry_delay is not None
        self._send(
            connection, frames.encode(Leaving(self.drain_retry_delay // 10, len(session.open)))
        )

    def stop_accepting(self) -> None:
        """Rejects new connections, and closes idle ones; `close_idle` closes the others later."""
        self.is_closing = True
        self.close_idle()

    def close_idle(self) -> None:
        """Closes the connections without a session, and those whose answers have all been sent."""
        for connection in list(self.connections.values()):
            session = connection.session
            if not connection.is_closing and (
                session is None
                or not session.open
                and all(pending.sent_at is not None for pending in session.unacknowledged.values())
            ):
                self._close(connection)

    @property
    def is_idle(self) -> bool:
        """Whether there are no connections."""
        return not self.connections
