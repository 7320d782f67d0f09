"""Finite state machine of one BGP connection (RFC 4271 section 8).

Takes an event and the time and returns actions; it uses no sockets, threads or clock. `TABLE`
follows RFC 4271 section 8.2.2.

Deviations from the RFC:

- A NOTIFICATION is never answered with another one, not even in OpenSent. Section 8.2.2 requires
  an answer there; section 6.4 forbids it.
- A malformed header in Established is reported with its own error code, not as a finite state
  machine error.
- With a hold time of zero, OpenConfirm keeps the long hold timer of OpenSent, so that a peer that
  never confirms does not occupy the connection forever.
- If the peer does not read, the session ends after twice the hold time, even if that is less than
  the eight minutes of RFC 9687, as until then the peer may use a route that we have withdrawn.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, IntEnum, auto

from lilacwalk.bgp import messages
from lilacwalk.bgp.capabilities import Capabilities, NegotiatedCapabilities
from lilacwalk.bgp.errors import UNEXPECTED_IN, BgpError, Cease, Code, OpenFault, reason
from lilacwalk.bgp.messages import Keepalive, Notification, Open, Refresh, Update

SECOND = 10_000  # in tenths of a millisecond
OPEN_HOLD_TIME = 240 * SECOND  # RFC 4271 section 8.2.2: four minutes until an OPEN is received
# The connect retry, keepalive and idle hold timers run for a random 75 to 100 % of their configured
# time (RFC 4271 section 10).
MIN_JITTER = 0.75
# Upper bound of the doubled idle hold time. RFC 4271 sets none; two minutes is about the time after
# which an operator checks the peer again.
MAX_IDLE_HOLD = 120 * SECOND
KEEPALIVES_PER_HOLD_TIME = 3  # as suggested by RFC 4271 section 10


class State(IntEnum):
    """States of the finite state machine (RFC 4271 section 8.2.2)."""

    IDLE = 0
    CONNECT = 1
    ACTIVE = 2
    OPEN_SENT = 3
    OPEN_CONFIRM = 4
    ESTABLISHED = 5


class Event(IntEnum):
    """Events of the finite state machine, with the event numbers of RFC 4271 section 8.1."""

    MANUAL_START = 1
    MANUAL_STOP = 2
    AUTOMATIC_START = 3
    MANUAL_START_PASSIVE = 4
    AUTOMATIC_START_PASSIVE = 5
    AUTOMATIC_START_DAMPED = 6
    AUTOMATIC_START_DAMPED_PASSIVE = 7
    AUTOMATIC_STOP = 8
    CONNECT_RETRY_EXPIRES = 9
    HOLD_EXPIRES = 10
    KEEPALIVE_EXPIRES = 11
    DELAY_OPEN_EXPIRES = 12
    IDLE_HOLD_EXPIRES = 13
    TCP_VALID = 14
    TCP_INVALID = 15
    TCP_ACKED = 16
    TCP_CONFIRMED = 17
    TCP_FAILS = 18
    OPEN = 19
    OPEN_WITH_DELAY = 20
    HEADER_ERROR = 21
    OPEN_ERROR = 22
    COLLISION_DUMP = 23
    VERSION_ERROR = 24
    NOTIFICATION = 25
    KEEPALIVE = 26
    UPDATE = 27
    UPDATE_ERROR = 28


class Timer(Enum):
    """Timers of a session (RFC 4271 section 8)."""

    CONNECT_RETRY = auto()
    HOLD = auto()
    KEEPALIVE = auto()
    DELAY_OPEN = auto()
    IDLE_HOLD = auto()
    SEND_HOLD = auto()  # RFC 9687


EXPIRY_EVENTS = {
    Timer.CONNECT_RETRY: Event.CONNECT_RETRY_EXPIRES,
    Timer.HOLD: Event.HOLD_EXPIRES,
    Timer.KEEPALIVE: Event.KEEPALIVE_EXPIRES,
    Timer.DELAY_OPEN: Event.DELAY_OPEN_EXPIRES,
    Timer.IDLE_HOLD: Event.IDLE_HOLD_EXPIRES,
}


class SessionAction(Enum):
    """An action that the owner of a session must carry out; some come with a value."""

    CONNECT = auto()  # open a connection
    SEND = auto()  # send a message; value: the bytes
    CLOSE = auto()  # close the connection
    UP = auto()  # the session is established; value: the peer's Open
    DOWN = auto()  # the session has ended or failed to become established; value: a SessionEnd
    ROUTES = auto()  # store received routes; value: an Update
    REFRESH = auto()  # handle a ROUTE-REFRESH; value: a Refresh


@dataclass(frozen=True, slots=True)
class SessionEnd:
    """Why a session ended."""

    reason: str
    by_peer: bool = False  # whether the peer sent a NOTIFICATION or the connection failed
    received: Notification | None = None  # from the peer
    sent: tuple[int, int] | None = None  # code and subcode that we sent
    was_up: bool = False  # whether the session was established


@dataclass(frozen=True, slots=True)
class SessionConfig:
    """Settings of a session: our AS number and identifier, the peer's AS number, and timers."""

    asn: int
    router_id: str
    peer_as: int
    hold: int  # hold time to offer; `hold` to `delay_open` are in tenths of a millisecond
    connect_retry: int
    idle_hold: int
    delay_open: int
    passive: bool  # whether to wait for connections instead of opening one
    strict_role: bool = False  # whether the peer must advertise a role (RFC 9234)


E, S = Event, State
# Step methods in order, without their leading underscore, and the next state. The state is None if
# a step returns the next one, or if the state does not change.
Row = tuple[tuple[str, ...], State | None]

STAY: Row = ((), None)
FAIL: Row = (("stop_timers", "close", "count_failure", "start_idle_hold"), S.IDLE)
NOTIFY_AND_FAIL: Row = (
    ("stop_timers", "send_notification", "close", "count_failure", "start_idle_hold"),
    S.IDLE,
)
STOP: Row = (("stop_timers", "close", "reset_failures"), S.IDLE)
STOP_WITH_CEASE: Row = (("stop_timers", "send_cease", "close", "reset_failures"), S.IDLE)
UNEXPECTED_MESSAGE: Row = (
    ("stop_timers", "send_state_machine_error", "close", "count_failure", "start_idle_hold"),
    S.IDLE,
)


def state_rows(*lines: tuple[Iterable[Event], Row], others: Row) -> dict[Event, Row]:
    """Returns the rows of one state by event; events that are not listed get the row `others`."""
    table = dict.fromkeys(Event, others)
    for events, row in lines:
        for event in events:
            table[event] = row
    return table


START_EVENTS = (
    E.MANUAL_START,
    E.AUTOMATIC_START,
    E.MANUAL_START_PASSIVE,
    E.AUTOMATIC_START_PASSIVE,
    E.AUTOMATIC_START_DAMPED,
    E.AUTOMATIC_START_DAMPED_PASSIVE,
)
# Events of connections that are not yet assigned to a session.
TCP_REQUESTED = (
    E.TCP_VALID,
    E.TCP_INVALID,
)

TABLE: dict[State, dict[Event, Row]] = {
    S.IDLE: state_rows(
        (
            (E.MANUAL_START, E.AUTOMATIC_START, E.AUTOMATIC_START_DAMPED),
            (("stop_timers", "start_connect_retry", "connect"), S.CONNECT),
        ),
        (
            (E.MANUAL_START_PASSIVE, E.AUTOMATIC_START_PASSIVE, E.AUTOMATIC_START_DAMPED_PASSIVE),
            (("stop_timers", "start_connect_retry"), S.ACTIVE),
        ),
        ((E.MANUAL_STOP,), (("stop_timers", "reset_failures"), S.IDLE)),
        ((E.IDLE_HOLD_EXPIRES,), (("leave_idle",), None)),
        others=STAY,
    ),
    S.CONNECT: state_rows(
        ((*START_EVENTS, *TCP_REQUESTED), STAY),
        ((E.MANUAL_STOP,), STOP),
        (
            (E.CONNECT_RETRY_EXPIRES,),
            (("close", "start_connect_retry", "stop_delay_open", "connect"), S.CONNECT),
        ),
        ((E.DELAY_OPEN_EXPIRES,), (("stop_timers", "start_open_hold", "send_open"), S.OPEN_SENT)),
        ((E.TCP_ACKED, E.TCP_CONFIRMED), (("connection_opened",), None)),
        ((E.TCP_FAILS,), (("connect_failed",), None)),
        (
            (E.OPEN_WITH_DELAY,),
            (("stop_timers", "send_open", "send_keepalive", "negotiate"), S.OPEN_CONFIRM),
        ),
        ((E.HEADER_ERROR, E.OPEN_ERROR), NOTIFY_AND_FAIL),
        others=FAIL,
    ),
    S.ACTIVE: state_rows(
        ((*START_EVENTS, *TCP_REQUESTED), STAY),
        ((E.MANUAL_STOP,), STOP),
        ((E.CONNECT_RETRY_EXPIRES,), (("close", "stop_delay_open", "retry_connection"), None)),
        ((E.DELAY_OPEN_EXPIRES,), (("stop_timers", "start_open_hold", "send_open"), S.OPEN_SENT)),
        ((E.TCP_ACKED, E.TCP_CONFIRMED), (("connection_opened",), None)),
        (
            (E.OPEN_WITH_DELAY,),
            (("stop_timers", "send_open", "send_keepalive", "negotiate"), S.OPEN_CONFIRM),
        ),
        ((E.HEADER_ERROR, E.OPEN_ERROR), NOTIFY_AND_FAIL),
        others=FAIL,
    ),
    S.OPEN_SENT: state_rows(
        ((*START_EVENTS, *TCP_REQUESTED, E.TCP_ACKED, E.TCP_CONFIRMED), STAY),
        ((E.MANUAL_STOP,), STOP_WITH_CEASE),
        (
            (E.AUTOMATIC_STOP, E.COLLISION_DUMP),
            (("stop_timers", "send_cease", "close", "count_failure", "start_idle_hold"), S.IDLE),
        ),
        ((E.HOLD_EXPIRES,), NOTIFY_AND_FAIL),
        ((E.TCP_FAILS,), (("stop_timers", "close", "start_connect_retry"), S.ACTIVE)),
        ((E.OPEN,), (("stop_timers", "send_keepalive", "negotiate"), S.OPEN_CONFIRM)),
        ((E.HEADER_ERROR, E.OPEN_ERROR), NOTIFY_AND_FAIL),
        ((E.VERSION_ERROR,), (("stop_timers", "close", "start_idle_hold"), S.IDLE)),
        ((E.NOTIFICATION,), FAIL),
        others=UNEXPECTED_MESSAGE,
    ),
    S.OPEN_CONFIRM: state_rows(
        ((*START_EVENTS, *TCP_REQUESTED, E.TCP_ACKED, E.TCP_CONFIRMED), STAY),
        ((E.MANUAL_STOP,), STOP_WITH_CEASE),
        (
            (E.AUTOMATIC_STOP, E.COLLISION_DUMP),
            (("stop_timers", "send_cease", "close", "count_failure", "start_idle_hold"), S.IDLE),
        ),
        ((E.HOLD_EXPIRES, E.HEADER_ERROR, E.OPEN_ERROR), NOTIFY_AND_FAIL),
        ((E.KEEPALIVE_EXPIRES,), (("send_keepalive", "start_keepalive_timer"), S.OPEN_CONFIRM)),
        ((E.TCP_FAILS, E.NOTIFICATION), FAIL),
        ((E.VERSION_ERROR,), (("stop_timers", "close", "start_idle_hold"), S.IDLE)),
        (
            (E.KEEPALIVE,),
            (("restart_hold", "start_send_hold", "report_established"), S.ESTABLISHED),
        ),
        others=UNEXPECTED_MESSAGE,
    ),
    S.ESTABLISHED: state_rows(
        ((*START_EVENTS, *TCP_REQUESTED, E.TCP_ACKED, E.TCP_CONFIRMED), STAY),
        ((E.MANUAL_STOP,), STOP_WITH_CEASE),
        (
            (E.AUTOMATIC_STOP, E.COLLISION_DUMP),
            (("stop_timers", "send_cease", "close", "count_failure", "start_idle_hold"), S.IDLE),
        ),
        ((E.HOLD_EXPIRES, E.UPDATE_ERROR, E.HEADER_ERROR), NOTIFY_AND_FAIL),
        ((E.KEEPALIVE_EXPIRES,), (("send_keepalive", "start_keepalive_timer"), S.ESTABLISHED)),
        ((E.TCP_FAILS, E.NOTIFICATION, E.VERSION_ERROR), FAIL),
        ((E.KEEPALIVE,), (("restart_hold",), S.ESTABLISHED)),
        ((E.UPDATE,), (("restart_hold", "report_update"), S.ESTABLISHED)),
        others=UNEXPECTED_MESSAGE,
    ),
}


class Session:
    """The finite state machine of one connection."""

    def __init__(
        self, config: SessionConfig, local_capabilities: Capabilities, rng: random.Random, now: int
    ) -> None:
        self.config, self.local_capabilities, self.rng, self.now = (
            config,
            local_capabilities,
            rng,
            now,
        )
        self.state = State.IDLE
        self.timers: dict[Timer, int] = {}
        # Whether, in Idle, the idle hold time after a failure is running (DampPeerOscillations).
        self.damped = False
        self.failures = 0  # ConnectRetryCounter since the last stable session
        self.negotiated = NegotiatedCapabilities()
        self.peer_open: Open | None = None
        # Negotiated hold time in tenths of a millisecond; 0 disables the hold, keepalive and send
        # hold timers.
        self.hold_time = 0
        self.up_since = 0
        self.actions: list[tuple[SessionAction, object]] = []
        self.error: BgpError | None = None  # sent by `_send_notification`
        self.cease_subcode, self.cease_data = int(Cease.SHUTDOWN), b""  # both sent by `_send_cease`
        self.last_message: object = None  # the last message received
        self.cause = ""
        # Code and subcode of the NOTIFICATION that ended the session.
        self.sent_codes: tuple[int, int] | None = None

    @property
    def internal(self) -> bool:
        """Whether the peer has our AS number."""
        return self.config.asn == self.config.peer_as

    # Inputs

    def event(self, event: Event, now: int, cause: str = "") -> list[tuple[SessionAction, object]]:
        """Handles one event that carries no message (RFC 4271 section 8.1); returns the actions to
        carry out.

        `cause` is the reason given in logs if the event ends the session; it defaults to the
        event's name.
        """
        self._handle(event, now, cause or event.name.lower())
        return self._take_actions()

    def cease(
        self, event: Event, now: int, subcode: int, data: bytes = b""
    ) -> list[tuple[SessionAction, object]]:
        """Ends the session with a Cease notification of this subcode (RFC 4486).

        `event` is ManualStop, AutomaticStop or the dump of a collision. Returns the actions to
        carry out.
        """
        self.cease_subcode, self.cease_data = int(subcode), data
        self._handle(event, now, reason(Code.CEASE, subcode))
        return self._take_actions()

    def received(self, kind: int, body: bytes, now: int) -> list[tuple[SessionAction, object]]:
        """Decodes the body of one message of type `kind`, and handles the event of its receipt.

        Returns the actions to carry out.
        """
        try:
            message = messages.decode(kind, body, self.negotiated, self.internal)
        except BgpError as error:
            return self.decode_failed(error, now)
        self.last_message = message
        if isinstance(message, Open):
            if fault := self._check_open(message):
                return self.decode_failed(fault, now)
            self._handle(
                E.OPEN_WITH_DELAY if Timer.DELAY_OPEN in self.timers else E.OPEN, now, "open"
            )
        elif isinstance(message, Notification):
            is_version_error = (message.code, message.subcode) == (Code.OPEN, OpenFault.VERSION)
            self._handle(
                E.VERSION_ERROR if is_version_error else E.NOTIFICATION,
                now,
                "peer sent " + reason(message.code, message.subcode),
            )
        elif isinstance(message, Keepalive):
            self._handle(E.KEEPALIVE, now, "keepalive")
        elif isinstance(message, Update):
            self._handle(E.UPDATE, now, "update")
        elif self.state is S.ESTABLISHED:  # RFC 2918 defines no event; handled like an UPDATE
            self.now = now
            self._restart_hold()
            if self.negotiated.refresh:  # otherwise the message is ignored
                self.actions.append((SessionAction.REFRESH, message))
        else:
            self._handle(E.UPDATE, now, "refresh")
        return self._take_actions()

    def decode_failed(self, error: BgpError, now: int) -> list[tuple[SessionAction, object]]:
        """Ends the session because a received message is malformed or unacceptable.

        Returns the actions to carry out.
        """
        events = {Code.HEADER: E.HEADER_ERROR, Code.OPEN: E.OPEN_ERROR}
        self.error = error
        self._handle(events.get(error.code, E.UPDATE_ERROR), now, str(error))  # type: ignore[call-overload]
        return self._take_actions()

    def flushed(self, now: int) -> None:
        """Restarts the send hold timer after the operating system has accepted all sent bytes."""
        if Timer.SEND_HOLD in self.timers:
            self._start_send_hold_at(now)

    def tick(self, now: int) -> list[tuple[SessionAction, object]]:
        """Handles all expired timers in the order of their times.

        Returns the actions to carry out.
        """
        while expired := [
            (time, timer.value, timer) for timer, time in self.timers.items() if time <= now
        ]:
            timer = min(expired)[2]
            del self.timers[timer]
            if timer is Timer.SEND_HOLD:
                self.error = BgpError(Code.SEND_HOLD_TIMER)
                self._handle(E.HOLD_EXPIRES, now, str(self.error))
            else:
                if timer is Timer.HOLD:
                    self.error = BgpError(Code.HOLD_TIMER)
                self._handle(EXPIRY_EVENTS[timer], now, EXPIRY_EVENTS[timer].name.lower())
        return self._take_actions()

    def stalled(self, until: int) -> None:
        """After a stall of this process, postpones the hold timers to `until`.

        Messages that the peer sent meanwhile may not have been read yet.
        """
        for timer in (Timer.HOLD, Timer.SEND_HOLD):
            if timer in self.timers:
                self.timers[timer] = max(self.timers[timer], until)

    # State table

    def _handle(self, event: Event, now: int, cause: str) -> None:
        """Executes the row of `TABLE` for the event; `cause` is for logs if the session ends."""
        self.now, self.cause = now, cause
        if self.state is S.IDLE and Timer.IDLE_HOLD in self.timers and event in START_EVENTS[1:]:
            return  # DampPeerOscillations: of the start events, only ManualStart ends the wait
        steps, next_state = TABLE[self.state][event]
        previous = self.state
        for step in steps:
            step_state = getattr(self, "_" + step)()
            if step_state is not None:
                next_state = step_state
        if next_state is not None:
            self.state = next_state
        if previous is not S.IDLE and self.state is S.IDLE:
            received = (
                self.last_message
                if isinstance(self.last_message, Notification)
                and event in (E.NOTIFICATION, E.VERSION_ERROR)
                else None
            )
            by_peer = event in (E.NOTIFICATION, E.VERSION_ERROR, E.TCP_FAILS)
            self.actions.append(
                (
                    SessionAction.DOWN,
                    SessionEnd(
                        cause, by_peer, received, self.sent_codes, previous is S.ESTABLISHED
                    ),
                )
            )
            self.sent_codes, self.negotiated, self.error = None, NegotiatedCapabilities(), None

    def _take_actions(self) -> list[tuple[SessionAction, object]]:
        actions, self.actions = self.actions, []
        return actions

    # Steps of the state table

    def _jittered(self, time: int) -> int:
        return int(time * self.rng.uniform(MIN_JITTER, 1.0))

    def _stop_timers(self) -> None:
        self.timers.clear()

    def _start_connect_retry(self) -> None:
        self.timers[Timer.CONNECT_RETRY] = self.now + max(
            1, self._jittered(self.config.connect_retry)
        )

    def _stop_delay_open(self) -> None:
        self.timers.pop(Timer.DELAY_OPEN, None)

    def _start_open_hold(self) -> None:
        """Starts the hold timer with the time for receiving an OPEN."""
        self.timers[Timer.HOLD] = self.now + OPEN_HOLD_TIME

    def _restart_hold(self) -> None:
        """Restarts the hold timer.

        With a negotiated hold time of zero, the timer is only stopped, as OpenConfirm has started
        it with the long time.
        """
        self.timers.pop(Timer.HOLD, None)
        if self.hold_time:
            self.timers[Timer.HOLD] = self.now + self.hold_time

    def _start_keepalive_timer(self) -> None:
        if self.hold_time:
            self.timers[Timer.KEEPALIVE] = self.now + max(
                1, self._jittered(self.hold_time // KEEPALIVES_PER_HOLD_TIME)
            )

    def _start_send_hold(self) -> None:
        self._start_send_hold_at(self.now)

    def _start_send_hold_at(self, now: int) -> None:
        if self.hold_time:
            self.timers[Timer.SEND_HOLD] = now + 2 * self.hold_time

    def _connect(self) -> None:
        self.actions.append((SessionAction.CONNECT, None))

    def _close(self) -> None:
        self.actions.append((SessionAction.CLOSE, None))

    def _reset_failures(self) -> None:
        self.failures = 0

    def _count_failure(self) -> None:
        """Counts a failure.

        The count starts anew after a session that was established for longer than its hold time.
        """
        was_stable = self.state is S.ESTABLISHED and self.now - self.up_since > max(
            self.hold_time, SECOND
        )
        self.failures = 1 if was_stable else self.failures + 1

    def _start_idle_hold(self) -> None:
        """Starts the idle hold timer. Its time doubles with each failure, so that a peer that
        rejects us is not contacted too often.
        """
        time = min(
            MAX_IDLE_HOLD,
            self.config.idle_hold << min(self.failures - 1, 20)
            if self.failures
            else self.config.idle_hold,
        )
        self.timers[Timer.IDLE_HOLD] = self.now + max(1, self._jittered(time))
        self.damped = True

    def _leave_idle(self) -> State | None:
        """Handles IdleHoldTimer expiry by an automatic start; returns the next state."""
        self.damped = False
        passive = self.config.passive
        event = E.AUTOMATIC_START_DAMPED_PASSIVE if passive else E.AUTOMATIC_START_DAMPED
        steps, next_state = TABLE[S.IDLE][event]
        for step in steps:
            getattr(self, "_" + step)()
        return next_state

    def _retry_connection(self) -> State:
        """Handles ConnectRetryTimer expiry in Active; returns the next state.

        A passive session continues to wait for the peer.
        """
        self._start_connect_retry()
        if self.config.passive:
            return S.ACTIVE
        self._connect()
        return S.CONNECT

    def _connect_failed(self) -> State:
        """Handles a failed connection attempt; returns the next state.

        With the DelayOpenTimer running, the next state is Active, as in RFC 4271. Otherwise it is
        Idle, where the next attempt waits for the connect retry time. This time does not grow with
        each failure, as a failed attempt is not an oscillation that a longer wait would damp.
        """
        if Timer.DELAY_OPEN in self.timers:
            self._stop_timers()
            self._start_connect_retry()
            self._close()
            return S.ACTIVE
        self._stop_timers()
        self._close()
        self.timers[Timer.IDLE_HOLD] = self.now + max(1, self._jittered(self.config.connect_retry))
        return S.IDLE

    def _connection_opened(self) -> State:
        """Sends an OPEN, or starts the DelayOpenTimer if configured; returns the next state."""
        self._stop_timers()
        if self.config.delay_open:
            self.timers[Timer.DELAY_OPEN] = self.now + self.config.delay_open
            return self.state
        self._start_open_hold()
        self._send_open()
        return S.OPEN_SENT

    def _send_open(self) -> None:
        self._send(
            Open(
                self.config.asn,
                self.config.hold // SECOND,
                self.config.router_id,
                self.local_capabilities,
            )
        )

    def _send_keepalive(self) -> None:
        self._send(Keepalive())

    def _negotiate(self) -> None:
        """Applies the received OPEN: capabilities, hold time and the timers that depend on it."""
        opened = self.last_message
        assert isinstance(opened, Open)
        self.peer_open = opened
        self.negotiated = NegotiatedCapabilities.between(
            self.local_capabilities, opened.capabilities, self.config.strict_role
        )
        self.hold_time = min(self.config.hold, opened.hold * SECOND)
        if self.hold_time:
            self._restart_hold()
            self._start_keepalive_timer()
        else:
            self._start_open_hold()

    def _report_established(self) -> None:
        self.up_since = self.now
        self.actions.append((SessionAction.UP, self.peer_open))

    def _report_update(self) -> None:
        self.actions.append((SessionAction.ROUTES, self.last_message))

    def _send_notification(self) -> None:
        """Sends the NOTIFICATION of the error that ends the session, if there is one."""
        if self.error is not None:
            self._send_closing_notification(
                Notification(self.error.code, self.error.subcode, self.error.data)
            )

    def _send_cease(self) -> None:
        self._send_closing_notification(
            Notification(Code.CEASE, self.cease_subcode, self.cease_data)
        )

    def _send_state_machine_error(self) -> None:
        """Sends a Finite State Machine Error for an unexpected message."""
        self._send_closing_notification(
            Notification(Code.STATE_MACHINE, UNEXPECTED_IN.get(self.state.name, 0))
        )

    def _send_closing_notification(self, notification: Notification) -> None:
        self.sent_codes = notification.code, notification.subcode
        self._send(notification)

    def _send(self, message: Open | Keepalive | Notification | Refresh) -> None:
        self.actions.append((SessionAction.SEND, messages.encode(message)))

    def _check_open(self, message: Open) -> BgpError | None:
        """Checks a received OPEN (RFC 4271 section 6.2; RFC 6286 for the BGP identifier).

        Returns the error to send, or None if the message is acceptable.
        """
        if message.asn != self.config.peer_as:
            return BgpError(
                Code.OPEN,
                OpenFault.PEER_AS,
                text=f"AS {message.asn}, expected {self.config.peer_as}",
            )
        if message.router_id == self.config.router_id and self.internal:
            return BgpError(
                Code.OPEN,
                OpenFault.ROUTER_ID,
                text=f"router id {message.router_id} is also ours, expected another",
            )
        try:
            NegotiatedCapabilities.between(
                self.local_capabilities, message.capabilities, self.config.strict_role
            )
        except BgpError as error:
            return error
        return None
