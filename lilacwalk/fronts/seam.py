"""What a front and the deciding thread say to each other. Nothing here knows a protocol."""

from __future__ import annotations

from dataclasses import dataclass
from enum import auto, Enum
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from lilacwalk.limits import Limits
    from lilacwalk.memory.hand import InHand


@dataclass(slots=True)
class Asked:
    """One exchange as its caller states it, in tenths of a ms of the Unix clock."""

    id: str
    group: str
    customer: str
    caller: int
    arrived: int
    wait: int | None  # None: not told
    work_hint: int
    hold_kb: float
    retry: bool
    subject: str
    key: str
    body: memoryview | bytes


class Final(Enum):
    COMPLETED = auto()
    DENIED = auto()  # this try never ran
    TERMINATED = auto()


@dataclass(slots=True)
class Reply:
    """The one final answer to an exchange."""

    final: Final
    body: bytes | memoryview = b""
    come_back: int = 0  # 0: not said
    not_elsewhere: bool = False


class Caller(Protocol):
    """Whoever waits for answers: a router's connection, a device's session."""

    open: dict[int, InHand]  # exchanges in hand by the caller's own tag
    peer: str  # for logs
    front: Front


class Front(Protocol):
    """One protocol's side of the deciding thread. All is called there; `answered` and `bad` in the pass that
    decided, `tick` each time the deciding thread looks around."""

    name: str
    most: int  # exchanges in hand that this front may have: one front's flood leaves the others their room
    in_hand: int

    def answered(self, caller: Caller, tag: int, reply: Reply) -> None: ...
    def bad(self, caller: Caller, tag: int, reason: str) -> None: ...
    def tick(self, now: int, stood_still: bool) -> None: ...
    def leave(self, now: int) -> None: ...  # a drain has begun: what comes is still taken
    def shut(self) -> None: ...  # the door closes: callers are asked to go
    def done(self) -> bool: ...  # nobody is left
    def flushed(self) -> bool: ...  # all that was answered has left


class Host(Protocol):
    """The deciding thread, as a front knows it."""

    now: int
    limits: Limits

    @property
    def healthy(self) -> bool: ...
    @property
    def value(self) -> float | None: ...  # the free value; None: nothing is said
    @property
    def close_idle_after(self) -> int: ...  # 0: the front's own time
    def asked(self, caller: Caller, tag: int, asked: Asked) -> str: ...  # empty, or what is wrong with it
    def gone(self, each: InHand) -> None: ...
    def send(self, outbox, data: bytes) -> bool: ...
