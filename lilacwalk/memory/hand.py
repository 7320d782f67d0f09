"""The exchanges in hand: by id, by caller and tag, and by the module's own object."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from lilacwalk.decisions.interface import Exchange

if TYPE_CHECKING:
    from lilacwalk.fronts.seam import Caller
    from lilacwalk.wire.index import Call


@dataclass(eq=False, slots=True)
class InHand:
    """What the sockets need to know of one exchange, until it is answered and its run over."""

    ex: Exchange
    id: str
    tag: int
    caller: Caller | None  # None: answered, or it is gone
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
        if each.caller is not None:
            each.caller.open[each.tag] = each
            each.caller.front.in_hand += 1

    def settled(self, each: InHand) -> Caller | None:
        """Takes it off its caller: from now on nobody waits for its answer."""
        caller, each.caller = each.caller, None
        if caller is not None:
            del caller.open[each.tag]
            caller.front.in_hand -= 1
        return caller

    def drop(self, each: InHand) -> None:
        if self.by_id.get(each.id) is each:
            del self.by_id[each.id]
            del self.by_exchange[each.ex]
