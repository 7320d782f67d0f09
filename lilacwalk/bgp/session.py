"""One connection's finite state machine (RFC 4271 section 8). It takes an event and the time and returns what
is to be done; it knows no socket, thread or clock. `TABLE` is meant to be read beside section 8.2.2.

Where it departs from the text, and why: - a NOTIFICATION is never answered by one, also not in OpenSent (the
table of 8.2.2 would; section 6.4 would not); - a malformed header in Established is told by its own code, not
as an error of the state machine; - with a hold time of zero, OpenConfirm keeps the long timer of OpenSent:
who never confirms holds no place here; - a peer that does not read is given up after twice the hold time (RFC
9687), not only after eight minutes: as long as it stands it may hold a route of ours that we took back."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, IntEnum, auto

from lilacwalk.bgp import messages
from lilacwalk.bgp.capabilities import Capabilities, NegotiatedCapabilities
from lilacwalk.bgp.errors import UNEXPECTED_IN, BgpError, Cease, Code, OpenFault, reason
from lilacwalk.bgp.messages import Keepalive, Notification, Open, Refresh, Update

SECOND = 10_000  # tenths of a ms
LONG_HOLD = 240 * SECOND  # RFC 4271 section 8.2.2: four minutes until an OPEN has come
LEAST_JITTER = 0.75  # RFC 4271 section 10
MOST_IDLE_HOLD = (
    120 * SECOND
)  # RFC 4271 names no figure: doubling ends where a person would look again
KEEPALIVES = 3  # in one hold time (section 10)


class State(IntEnum):
    IDLE = 0
    CONNECT = 1
    ACTIVE = 2
    OPEN_SENT = 3
    OPEN_CONFIRM = 4
    ESTABLISHED = 5


class Event(IntEnum):
    """Section 8.1, by their numbers there."""

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
    CONNECT_RETRY = auto()
    HOLD = auto()
    KEEPALIVE = auto()
    DELAY_OPEN = auto()
    IDLE_HOLD = auto()
    SEND_HOLD = auto()  # RFC 9687


EXPIRES = {
    Timer.CONNECT_RETRY: Event.CONNECT_RETRY_EXPIRES,
    Timer.HOLD: Event.HOLD_EXPIRES,
    Timer.KEEPALIVE: Event.KEEPALIVE_EXPIRES,
    Timer.DELAY_OPEN: Event.DELAY_OPEN_EXPIRES,
    Timer.IDLE_HOLD: Event.IDLE_HOLD_EXPIRES,
}


class Act(Enum):
    """What a session asks of who holds it, with the value beside."""

    CONNECT = auto()
    SEND = auto()  # bytes
    CLOSE = auto()
    UP = auto()  # the Open that came
    DOWN = auto()  # the Ended
    ROUTES = auto()  # an Update
    REFRESH = auto()  # a Refresh


@dataclass(frozen=True, slots=True)
class Ended:
    """Why a session ended, as logs say it in full."""

    reason: str
    by_peer: bool = False
    notified: Notification | None = None  # the one that came
    told: tuple[int, int] | None = None  # the one that we sent
    was_up: bool = False


@dataclass(frozen=True, slots=True)
class Side:
    """What a session is told of both ends at its making."""

    asn: int
    router_id: str
    peer_as: int
    hold: int  # tenths of a ms
    connect_retry: int
    idle_hold: int
    delay_open: int
    passive: bool
    strict_role: bool = False


E, S = Event, State
Row = tuple[
    tuple[str, ...], State | None
]  # steps in order, and the next state; None: a step decides

STAY: Row = ((), None)
FAILED: Row = (("stop_timers", "drop", "count", "idle_hold"), S.IDLE)
FAULT: Row = (("stop_timers", "notify", "drop", "count", "idle_hold"), S.IDLE)
STOP: Row = (("stop_timers", "drop", "zero"), S.IDLE)
STOP_TOLD: Row = (("stop_timers", "cease", "drop", "zero"), S.IDLE)
OUT_OF_TURN: Row = (("stop_timers", "out_of_turn", "drop", "count", "idle_hold"), S.IDLE)


def rows(*lines: tuple[Iterable[Event], Row], others: Row) -> dict[Event, Row]:
    table = dict.fromkeys(Event, others)
    for events, row in lines:
        for event in events:
            table[event] = row
    return table


STARTS = (
    E.MANUAL_START,
    E.AUTOMATIC_START,
    E.MANUAL_START_PASSIVE,
    E.AUTOMATIC_START_PASSIVE,
    E.AUTOMATIC_START_DAMPED,
    E.AUTOMATIC_START_DAMPED_PASSIVE,
)
ASKED_FOR = (E.TCP_VALID, E.TCP_INVALID)  # of a connection that is not this session's own yet

TABLE: dict[State, dict[Event, Row]] = {
    S.IDLE: rows(
        (
            (E.MANUAL_START, E.AUTOMATIC_START, E.AUTOMATIC_START_DAMPED),
            (("stop_timers", "connect_retry", "connect"), S.CONNECT),
        ),
        (
            (E.MANUAL_START_PASSIVE, E.AUTOMATIC_START_PASSIVE, E.AUTOMATIC_START_DAMPED_PASSIVE),
            (("stop_timers", "connect_retry"), S.ACTIVE),
        ),
        ((E.MANUAL_STOP,), (("stop_timers", "zero"), S.IDLE)),
        ((E.IDLE_HOLD_EXPIRES,), (("start_again",), None)),
        others=STAY,
    ),
    S.CONNECT: rows(
        ((*STARTS, *ASKED_FOR), STAY),
        ((E.MANUAL_STOP,), STOP),
        (
            (E.CONNECT_RETRY_EXPIRES,),
            (("drop", "connect_retry", "stop_delay", "connect"), S.CONNECT),
        ),
        ((E.DELAY_OPEN_EXPIRES,), (("stop_timers", "long_hold", "open"), S.OPEN_SENT)),
        ((E.TCP_ACKED, E.TCP_CONFIRMED), (("opened",), None)),
        ((E.TCP_FAILS,), (("connect_failed",), None)),
        ((E.OPEN_WITH_DELAY,), (("stop_timers", "open", "keepalive", "agree"), S.OPEN_CONFIRM)),
        ((E.HEADER_ERROR, E.OPEN_ERROR), FAULT),
        others=FAILED,
    ),
    S.ACTIVE: rows(
        ((*STARTS, *ASKED_FOR), STAY),
        ((E.MANUAL_STOP,), STOP),
        ((E.CONNECT_RETRY_EXPIRES,), (("drop", "stop_delay", "retry"), None)),
        ((E.DELAY_OPEN_EXPIRES,), (("stop_timers", "long_hold", "open"), S.OPEN_SENT)),
        ((E.TCP_ACKED, E.TCP_CONFIRMED), (("opened",), None)),
        ((E.OPEN_WITH_DELAY,), (("stop_timers", "open", "keepalive", "agree"), S.OPEN_CONFIRM)),
        ((E.HEADER_ERROR, E.OPEN_ERROR), FAULT),
        others=FAILED,
    ),
    S.OPEN_SENT: rows(
        ((*STARTS, *ASKED_FOR, E.TCP_ACKED, E.TCP_CONFIRMED), STAY),
        ((E.MANUAL_STOP,), STOP_TOLD),
        (
            (E.AUTOMATIC_STOP, E.COLLISION_DUMP),
            (("stop_timers", "cease", "drop", "count", "idle_hold"), S.IDLE),
        ),
        ((E.HOLD_EXPIRES,), FAULT),
        ((E.TCP_FAILS,), (("stop_timers", "drop", "connect_retry"), S.ACTIVE)),
        ((E.OPEN,), (("stop_timers", "keepalive", "agree"), S.OPEN_CONFIRM)),
        ((E.HEADER_ERROR, E.OPEN_ERROR), FAULT),
        ((E.VERSION_ERROR,), (("stop_timers", "drop", "idle_hold"), S.IDLE)),
        ((E.NOTIFICATION,), FAILED),
        others=OUT_OF_TURN,
    ),
    S.OPEN_CONFIRM: rows(
        ((*STARTS, *ASKED_FOR, E.TCP_ACKED, E.TCP_CONFIRMED), STAY),
        ((E.MANUAL_STOP,), STOP_TOLD),
        (
            (E.AUTOMATIC_STOP, E.COLLISION_DUMP),
            (("stop_timers", "cease", "drop", "count", "idle_hold"), S.IDLE),
        ),
        ((E.HOLD_EXPIRES, E.HEADER_ERROR, E.OPEN_ERROR), FAULT),
        ((E.KEEPALIVE_EXPIRES,), (("keepalive", "keepalive_timer"), S.OPEN_CONFIRM)),
        ((E.TCP_FAILS, E.NOTIFICATION), FAILED),
        ((E.VERSION_ERROR,), (("stop_timers", "drop", "idle_hold"), S.IDLE)),
        ((E.KEEPALIVE,), (("hold", "send_hold", "up"), S.ESTABLISHED)),
        others=OUT_OF_TURN,
    ),
    S.ESTABLISHED: rows(
        ((*STARTS, *ASKED_FOR, E.TCP_ACKED, E.TCP_CONFIRMED), STAY),
        ((E.MANUAL_STOP,), STOP_TOLD),
        (
            (E.AUTOMATIC_STOP, E.COLLISION_DUMP),
            (("stop_timers", "cease", "drop", "count", "idle_hold"), S.IDLE),
        ),
        ((E.HOLD_EXPIRES, E.UPDATE_ERROR, E.HEADER_ERROR), FAULT),
        ((E.KEEPALIVE_EXPIRES,), (("keepalive", "keepalive_timer"), S.ESTABLISHED)),
        ((E.TCP_FAILS, E.NOTIFICATION, E.VERSION_ERROR), FAILED),
        ((E.KEEPALIVE,), (("hold",), S.ESTABLISHED)),
        ((E.UPDATE,), (("hold", "routes"), S.ESTABLISHED)),
        others=OUT_OF_TURN,
    ),
}


class Session:
    def __init__(self, side: Side, offered: Capabilities, rng: random.Random, now: int) -> None:
        self.side, self.offered, self.rng, self.now = side, offered, rng, now
        self.state = State.IDLE
        self.due: dict[Timer, int] = {}
        self.damped = False  # in Idle: a failure is waited out (DampPeerOscillations)
        self.failures = 0  # the ConnectRetryCounter: since the last session that held
        self.agreed = NegotiatedCapabilities()
        self.peer_open: Open | None = None
        self.hold_time = 0  # agreed, tenths of a ms; 0: none
        self.up_since = 0
        self.done: list[tuple[Act, object]] = []
        self.error: BgpError | None = None  # what `notify` tells
        self.subcode, self.data = int(Cease.SHUTDOWN), b""  # what `cease` tells
        self.came: object = None
        self.why = ""
        self.told: tuple[int, int] | None = None

    @property
    def internal(self) -> bool:
        return self.side.asn == self.side.peer_as

    # From outside

    def event(self, event: Event, now: int, why: str = "") -> list[tuple[Act, object]]:
        """One event of section 8.1 by itself; its name is the reason where none is given."""
        self._handle(event, now, why or event.name.lower())
        return self._taken()

    def cease(
        self, event: Event, now: int, subcode: int, data: bytes = b""
    ) -> list[tuple[Act, object]]:
        """ManualStop, AutomaticStop or a collision's dump, told with this subcode (RFC 4486)."""
        self.subcode, self.data = int(subcode), data
        self._handle(event, now, reason(Code.CEASE, subcode))
        return self._taken()

    def received(self, kind: int, body: bytes, now: int) -> list[tuple[Act, object]]:
        """One whole message. What it holds decides which event it is."""
        try:
            message = messages.decode(kind, body, self.agreed, self.internal)
        except BgpError as error:
            return self.broken(error, now)
        self.came = message
        if isinstance(message, Open):
            if fault := self._unfit(message):
                return self.broken(fault, now)
            self._handle(E.OPEN_WITH_DELAY if Timer.DELAY_OPEN in self.due else E.OPEN, now, "open")
        elif isinstance(message, Notification):
            version = (message.code, message.subcode) == (Code.OPEN, OpenFault.VERSION)
            self._handle(
                E.VERSION_ERROR if version else E.NOTIFICATION,
                now,
                "peer said " + reason(message.code, message.subcode),
            )
        elif isinstance(message, Keepalive):
            self._handle(E.KEEPALIVE, now, "keepalive")
        elif isinstance(message, Update):
            self._handle(E.UPDATE, now, "update")
        elif (
            self.state is S.ESTABLISHED
        ):  # RFC 2918 has no event of its own: it is an UPDATE's equal
            self.now = now
            self._hold()
            if self.agreed.refresh:  # else it was not offered, and is passed over
                self.done.append((Act.REFRESH, message))
        else:
            self._handle(E.UPDATE, now, "refresh")
        return self._taken()

    def broken(self, error: BgpError, now: int) -> list[tuple[Act, object]]:
        """What came can be no message, or one that ends the session."""
        events = {Code.HEADER: E.HEADER_ERROR, Code.OPEN: E.OPEN_ERROR}
        self.error = error
        self._handle(events.get(error.code, E.UPDATE_ERROR), now, str(error))  # type: ignore[call-overload]
        return self._taken()

    def flushed(self, now: int) -> None:
        """All that was sent has been taken by the system."""
        if Timer.SEND_HOLD in self.due:
            self._send_hold_from(now)

    def tick(self, now: int) -> list[tuple[Act, object]]:
        """Every timer that is due, in the order of their times."""
        while expired := [
            (time, timer.value, timer) for timer, time in self.due.items() if time <= now
        ]:
            timer = min(expired)[2]
            del self.due[timer]
            if timer is Timer.SEND_HOLD:
                self.error = BgpError(Code.SEND_HOLD_TIMER)
                self._handle(E.HOLD_EXPIRES, now, str(self.error))
            else:
                if timer is Timer.HOLD:
                    self.error = BgpError(Code.HOLD_TIMER)
                self._handle(EXPIRES[timer], now, EXPIRES[timer].name.lower())
        return self._taken()

    def stalled(self, until: int) -> None:
        """This process stood still: what the peer sent meanwhile may not be read yet, so nobody is given up
        for silence before then."""
        for timer in (Timer.HOLD, Timer.SEND_HOLD):
            if timer in self.due:
                self.due[timer] = max(self.due[timer], until)

    # The table

    def _handle(self, event: Event, now: int, why: str) -> None:
        self.now, self.why = now, why
        if self.state is S.IDLE and Timer.IDLE_HOLD in self.due and event in STARTS[1:]:
            return  # DampPeerOscillations: only a person's start overrides the wait
        steps, after = TABLE[self.state][event]
        before = self.state
        for step in steps:
            decided = getattr(self, "_" + step)()
            if decided is not None:
                after = decided
        if after is not None:
            self.state = after
        if before is not S.IDLE and self.state is S.IDLE:
            came = (
                self.came
                if isinstance(self.came, Notification)
                and event in (E.NOTIFICATION, E.VERSION_ERROR)
                else None
            )
            by_peer = event in (E.NOTIFICATION, E.VERSION_ERROR, E.TCP_FAILS)
            self.done.append(
                (Act.DOWN, Ended(why, by_peer, came, self.told, before is S.ESTABLISHED))
            )
            self.told, self.agreed, self.error = None, NegotiatedCapabilities(), None

    def _taken(self) -> list[tuple[Act, object]]:
        done, self.done = self.done, []
        return done

    # Steps

    def _jittered(self, time: int) -> int:
        return int(time * self.rng.uniform(LEAST_JITTER, 1.0))

    def _stop_timers(self) -> None:
        self.due.clear()

    def _connect_retry(self) -> None:
        self.due[Timer.CONNECT_RETRY] = self.now + max(1, self._jittered(self.side.connect_retry))

    def _stop_delay(self) -> None:
        self.due.pop(Timer.DELAY_OPEN, None)

    def _long_hold(self) -> None:
        self.due[Timer.HOLD] = self.now + LONG_HOLD

    def _hold(self) -> None:
        """Also ends the long wait of OpenConfirm where no hold time was agreed."""
        self.due.pop(Timer.HOLD, None)
        if self.hold_time:
            self.due[Timer.HOLD] = self.now + self.hold_time

    def _keepalive_timer(self) -> None:
        if self.hold_time:
            self.due[Timer.KEEPALIVE] = self.now + max(
                1, self._jittered(self.hold_time // KEEPALIVES)
            )

    def _send_hold(self) -> None:
        self._send_hold_from(self.now)

    def _send_hold_from(self, now: int) -> None:
        if self.hold_time:
            self.due[Timer.SEND_HOLD] = now + 2 * self.hold_time

    def _connect(self) -> None:
        self.done.append((Act.CONNECT, None))

    def _drop(self) -> None:
        self.done.append((Act.CLOSE, None))

    def _zero(self) -> None:
        self.failures = 0

    def _count(self) -> None:
        held = self.state is S.ESTABLISHED and self.now - self.up_since > max(
            self.hold_time, SECOND
        )
        self.failures = 1 if held else self.failures + 1

    def _idle_hold(self) -> None:
        """Doubles with each failure, so that a peer that turns us away is not asked without end."""
        time = min(
            MOST_IDLE_HOLD,
            self.side.idle_hold << min(self.failures - 1, 20)
            if self.failures
            else self.side.idle_hold,
        )
        self.due[Timer.IDLE_HOLD] = self.now + max(1, self._jittered(time))
        self.damped = True

    def _start_again(self) -> State | None:
        self.damped = False
        passive = self.side.passive
        event = E.AUTOMATIC_START_DAMPED_PASSIVE if passive else E.AUTOMATIC_START_DAMPED
        steps, after = TABLE[S.IDLE][event]
        for step in steps:
            getattr(self, "_" + step)()
        return after

    def _retry(self) -> State:
        """The retry timer in Active: a passive session goes on listening."""
        self._connect_retry()
        if self.side.passive:
            return S.ACTIVE
        self._connect()
        return S.CONNECT

    def _connect_failed(self) -> State:
        """With DelayOpen running the text goes to Active; else to Idle, where the next try waits for the
        retry time: nothing answered, which is no oscillation that a longer wait would damp."""
        if Timer.DELAY_OPEN in self.due:
            self._stop_timers()
            self._connect_retry()
            self._drop()
            return S.ACTIVE
        self._stop_timers()
        self._drop()
        self.due[Timer.IDLE_HOLD] = self.now + max(1, self._jittered(self.side.connect_retry))
        return S.IDLE

    def _opened(self) -> State:
        self._stop_timers()
        if self.side.delay_open:
            self.due[Timer.DELAY_OPEN] = self.now + self.side.delay_open
            return self.state
        self._long_hold()
        self._open()
        return S.OPEN_SENT

    def _open(self) -> None:
        self._send(Open(self.side.asn, self.side.hold // SECOND, self.side.router_id, self.offered))

    def _keepalive(self) -> None:
        self._send(Keepalive())

    def _agree(self) -> None:
        opened = self.came
        assert isinstance(opened, Open)
        self.peer_open = opened
        self.agreed = NegotiatedCapabilities.between(
            self.offered, opened.capabilities, self.side.strict_role
        )
        self.hold_time = min(self.side.hold, opened.hold * SECOND)
        if self.hold_time:
            self._hold()
            self._keepalive_timer()
        else:
            self._long_hold()

    def _up(self) -> None:
        self.up_since = self.now
        self.done.append((Act.UP, self.peer_open))

    def _routes(self) -> None:
        self.done.append((Act.ROUTES, self.came))

    def _notify(self) -> None:
        if self.error is not None:
            self._tell(Notification(self.error.code, self.error.subcode, self.error.data))

    def _cease(self) -> None:
        self._tell(Notification(Code.CEASE, self.subcode, self.data))

    def _out_of_turn(self) -> None:
        self._tell(Notification(Code.STATE_MACHINE, UNEXPECTED_IN.get(self.state.name, 0)))

    def _tell(self, notification: Notification) -> None:
        self.told = notification.code, notification.subcode
        self._send(notification)

    def _send(self, message: Open | Keepalive | Notification | Refresh) -> None:
        self.done.append((Act.SEND, messages.encode(message)))

    def _unfit(self, message: Open) -> BgpError | None:
        """Section 6.2, and RFC 6286 for the identifier."""
        if message.asn != self.side.peer_as:
            return BgpError(Code.OPEN, OpenFault.PEER_AS, text=f"AS {message.asn}")
        if message.router_id == self.side.router_id and self.internal:
            return BgpError(Code.OPEN, OpenFault.ROUTER_ID, text="our own router id")
        try:
            NegotiatedCapabilities.between(
                self.offered, message.capabilities, self.side.strict_role
            )
        except BgpError as error:
            return error
        return None
