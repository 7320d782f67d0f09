"""The exchanges in hand: by id, by connection and tag, and by the module's own object."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from lilacwalk.decisions.interface import Exchange

if TYPE_CHECKING:
    from lilacwalk.wire.index import Call
    from lilacwalk.wire.routers import Connection


@dataclass(eq=False, slots=True)
class InHand:
    """What the sockets need to know of one exchange, until it is answered and its run over."""

    ex: Exchange
    id: str
    tag: int
    connection: Connection | None  # None: answered, or its caller is gone
    group: str  # as the wire names it
    body: bytes
    kept_as: tuple | None = None  # its name in the table of keys and results
    unsure: list[bytes] = field(default_factory=list)  # commands that no notice has confirmed yet
    sent_again: bool = False  # some of them, after a link was lost: the kernel may know them already
    call_body: bytes = b""
    call_notice: int = 0
    call: Call | None = None
    call_since: int = 0
    waits_for: Exchange | None = None  # joined: the one whose result answers it


class Hand:
    def __init__(self) -> None:
        self.by_id: dict[str, InHand] = {}
        self.by_exchange: dict[Exchange, InHand] = {}

    def __len__(self) -> int:
        return len(self.by_id)

    def take(self, each: InHand) -> None:
        self.by_id[each.id] = each
        self.by_exchange[each.ex] = each
        if each.connection is not None:
            each.connection.open[each.tag] = each

    def settled(self, each: InHand) -> Connection | None:
        """Takes it off its connection: from now on nobody waits for its answer."""
        connection, each.connection = each.connection, None
        if connection is not None:
            del connection.open[each.tag]
        return connection

    def drop(self, each: InHand) -> None:
        if self.by_id.get(each.id) is each:
            del self.by_id[each.id]
            del self.by_exchange[each.ex]
