"""Gossip: updates that are piggybacked on other datagrams a limited number of times.

After λ·ln(n + 1) transmissions an update has missed a share of the n members that falls as n^-λ
(SWIM, section 4.1); these receive it by the exchange of full state. Membership changes are sent
before updates that only refresh metadata.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from lilacwalk.membership.messages import GossipUpdate, encode

RETRANSMIT_MULTIPLIER = 3  # SWIM's λ
MAX_QUEUED_UPDATES = 4_000  # twice the default limit on members
MAX_UPDATES_PER_DATAGRAM = 24
MIN_UPDATE_BYTES = 24  # no update fits into fewer bytes


@dataclass(eq=False, slots=True)
class QueuedUpdate:
    """An update in the queue, `size` bytes long; one with a larger `order` was queued later."""

    update: GossipUpdate
    size: int
    order: int
    is_membership_change: bool  # false if the update only refreshes metadata
    transmissions: int = 0


class GossipQueue:
    """The updates still to be sent, at most one for each member."""

    def __init__(self) -> None:
        """Creates an empty queue."""
        self.items: dict[str, QueuedUpdate] = {}  # by member
        self.enqueued_updates = 0
        self.dropped = 0  # updates dropped because the queue was full

    def enqueue(self, update: GossipUpdate, membership_change: bool) -> None:
        """Queues an update in place of an earlier one about the same member.

        A metadata update that replaces an unsent membership change takes over its priority. A full
        queue drops updates about members without a queued update.
        """
        previous = self.items.pop(update.name, None)
        if previous is None and len(self.items) >= MAX_QUEUED_UPDATES:
            self.dropped += 1
            return
        if previous is not None and previous.is_membership_change and previous.transmissions == 0:
            membership_change = True
        self.enqueued_updates += 1
        self.items[update.name] = QueuedUpdate(
            update, len(encode(update)), self.enqueued_updates, membership_change
        )

    def piggyback(
        self, room: int, members: int, first_updates: tuple[GossipUpdate, ...] = ()
    ) -> tuple[GossipUpdate, ...]:
        """Returns the updates for one datagram and counts them as sent.

        Args:
            room: bytes available for all updates.
            members: number of present members, which determines how often an update is sent.
            first_updates: updates that are always included and not counted as sent.
        """
        if not self.items:
            return first_updates
        selected = list(first_updates)
        names = {update.name for update in first_updates}
        room -= sum(len(encode(update)) for update in first_updates)
        max_transmissions = math.ceil(RETRANSMIT_MULTIPLIER * math.log(members + 1))
        for item in self._by_priority():
            if len(selected) >= MAX_UPDATES_PER_DATAGRAM or room < MIN_UPDATE_BYTES:
                break
            if item.size > room or item.update.name in names:
                continue
            room -= item.size
            selected.append(item.update)
            item.transmissions += 1
            if item.transmissions >= max_transmissions:
                del self.items[item.update.name]
        return tuple(selected)

    def _by_priority(self) -> list[QueuedUpdate]:
        """Returns membership changes first, then the least sent updates, then the newest."""
        return sorted(
            self.items.values(),
            key=lambda item: (not item.is_membership_change, item.transmissions, -item.order),
        )
