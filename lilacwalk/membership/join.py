"""Joining the fleet, and finding lost members again.

A node contacts its seeds and, until another member has answered, also the members that an earlier
process stored. Later it keeps contacting lost members, and seeds that are not in its view, so that
two halves of a partition find each other again without a restart, whichever seeds are down.
"""

from __future__ import annotations

from collections.abc import Iterable

from lilacwalk.membership.local_node import LocalNode
from lilacwalk.membership.messages import Address, GossipUpdate, Health
from lilacwalk.membership.state_exchange import StateExchange

REJOIN_INTERVALS = 2  # probe intervals between two attempts after a recent loss
LATE_REJOIN_INTERVALS = 10  # probe intervals between two attempts otherwise
RECENT_LOSS_INTERVALS = 120  # probe intervals during which a loss is recent
ESTABLISHED_INTERVALS = 3  # probe intervals after the start; only later answers set `established`


class JoinProtocol:
    """Contacts addresses of members that are not in the view, one at a time.

    Owns `has_joined` (whether another member has answered), the addresses stored by an earlier
    process, and the time of the next attempt.
    """

    def __init__(
        self, node: LocalNode, exchange: StateExchange, now: int, stored: Iterable[GossipUpdate]
    ) -> None:
        """Schedules the first attempt for `now`; `stored`: the members an earlier process knew."""
        self.node = node
        self.exchange = exchange
        self.started_at = now
        self.has_joined = False
        self.next_attempt_at = now
        self.last_loss_at = now
        self._stored_addresses = {
            update.name: update.metadata.address for update in stored if update.metadata is not None
        }

    @property
    def is_waiting(self) -> bool:
        """Whether seeds are configured and no other member has answered yet."""
        return not self.has_joined and bool(self.node.config.seeds)

    def record_answer(self, now: int) -> None:
        """Records that another member has answered."""
        if not self.has_joined:
            self.has_joined = True
            self.node.record_event(
                now, "met", self.node.name, "another member has answered", self.node.name
            )
        if now - self.started_at > ESTABLISHED_INTERVALS * self.node.interval:
            self.node.identity.established = True

    def record_loss(self, now: int) -> None:
        """Records that a member was declared dead."""
        self.last_loss_at = now

    def attempt(self, now: int) -> None:
        """Requests the state of the member at one address, if an attempt is due."""
        if now < self.next_attempt_at:
            return
        addresses = self._addresses()
        self.next_attempt_at = self._next_attempt(now)
        if addresses:
            self.exchange.request(self.node.rng.choice(sorted(addresses)), now)

    def _addresses(self) -> set[Address]:
        """Returns the addresses at which the fleet or a lost member may be found."""
        present = {member.address for member in self.node.view.present}
        config = self.node.config
        addresses = {seed for seed in config.seeds if seed != config.address} - present
        lost = {member.address for member in self.node.view.with_health(Health.DEAD)}
        addresses |= lost - present
        if not self.has_joined:
            addresses |= set(self._stored_addresses.values())
        return addresses

    def _next_attempt(self, now: int) -> int:
        """Returns the time at which the next attempt is due."""
        if not self.has_joined:
            return now
        is_recent = now - self.last_loss_at < RECENT_LOSS_INTERVALS * self.node.interval
        intervals = REJOIN_INTERVALS if is_recent else LATE_REJOIN_INTERVALS
        return now + self.node.interval * intervals - self.node.interval // 2
