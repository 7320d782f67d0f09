"""The whole speaker without its sockets: the node's state in, what every peer is to be told out. Each handler
takes the time, which never runs back; `taken` gives what the host is to do, in order."""

from __future__ import annotations

import random
from itertools import count

from lilacwalk.bgp.announcement_policy import (
    AnnouncementPolicy,
    Decision,
    Level,
    NodeStatus,
    attributes,
    routable,
)
from lilacwalk.bgp.attributes import Attributes
from lilacwalk.bgp.config import SECOND, BgpConfig, Peer, Service
from lilacwalk.bgp.errors import BgpError, Cease
from lilacwalk.bgp.peer import Action, Do, Peering
from lilacwalk.bgp.policy import Refused
from lilacwalk.bgp.prefixes import Afi, Prefix

STALL = SECOND  # a pass that comes this much late: the process stood still, and what came is unread
CATCH_UP = SECOND // 2  # for the readers to hand over what waits in their sockets after that
SHOWN = (
    1_000  # routes told of one peer at once: a table of millions is no answer that anybody reads
)


class SpeakerState:
    def __init__(self, orders: BgpConfig, seed: int, now: int) -> None:
        self.orders, self.rng, self.now = orders, random.Random(seed), now
        self.announcement_policy = AnnouncementPolicy(orders, now)
        self.numbers = count(1)
        self.peers: dict[tuple[str, int], Peering] = {}
        self.actions: list[Action] = []
        self.began = now
        self.decision = Decision(Level.NONE, "cold", None)
        self.expected = now  # when the next pass was due
        self.standing_in: tuple[Service, ...] = ()  # of other sites, announced in their place
        self.ended = False

    def start(self, now: int) -> None:
        for peer in self.orders.peer:
            self._add(peer, now)
        self._follow(now)

    def _add(self, peer: Peer, now: int) -> None:
        made = Peering(self.orders, peer, self.numbers, self.rng, now, self._claims)
        self.peers[peer.address] = made
        made.wanted = self._routes(peer)
        made.start(now)
        self.actions += made.taken()

    def _claims(self) -> tuple[bool, bool]:
        """What an OPEN may say of a graceful restart: that this process began lately, and that the node
        serves."""
        asked = self.orders.graceful_restart
        lately = asked is not None and self.now - self.began < asked.time
        return lately, self.announcement_policy.level is not Level.NONE

    # The node

    def set_node_status(self, state: NodeStatus, now: int) -> None:
        self._at(now)
        self.announcement_policy.set_node_status(state, now)
        self._follow(now)

    def set_withdrawal_allowed(self, may_go: bool, now: int) -> None:
        self._at(now)
        self.announcement_policy.set_withdrawal_allowed(may_go)
        self._follow(now)

    def restore_penalty(
        self, penalty: float, suppressed: bool, announced: bool, age: int, now: int
    ) -> None:
        self._at(now)
        self.announcement_policy.restore_penalty(penalty, suppressed, announced, age, now)
        self._follow(now)

    def set_level_cap(self, cap: Level, now: int) -> None:
        self._at(now)
        self.announcement_policy.set_level_cap(cap)
        self._follow(now)

    def set_failover_services(self, services: tuple[Service, ...], now: int) -> None:
        """Other sites' services, told as less wanted than their own nodes' while this one is well: so their
        return alone draws the traffic home, whatever is withdrawn late here."""
        self._at(now)
        if services == self.standing_in:
            return
        self.standing_in = services
        names = ",".join(str(each.prefix) for each in services) or "none"
        self.actions.append(Action(Do.LOG, 0, {"event": "standing_in", "services": names}))
        for peer in self.peers.values():
            peer.want(self._routes(peer.peer))
            self.actions += peer.taken()

    def leave(self, now: int, listener_by: int | None) -> None:
        self._at(now)
        self.announcement_policy.leave(now, listener_by)
        self._follow(now)

    @property
    def listener_at(self) -> int | None:
        """Once leaving: when the listener may close, at the earliest."""
        return (
            self.announcement_policy.listener_at
            if self.announcement_policy.node in (NodeStatus.LEAVING, NodeStatus.GONE)
            else None
        )

    def end(self, now: int) -> None:
        """The last words: all is withdrawn, then every session ends with a cease and the operator's text."""
        self._at(now)
        self.announcement_policy.set_node_status(NodeStatus.GONE, now)
        self._follow(now)
        for each in self.peers.values():
            each.stop(now, Cease.SHUTDOWN, self.orders.shutdown_text)
            self.actions += each.taken()
        self.ended = True

    # Connections

    def connected(self, address: tuple[str, int], link: int, now: int) -> None:
        self._at(now)
        if (peer := self._holding(address, link)) is not None:
            peer.connected(link, now)
            self.actions += peer.taken()
        else:
            self.actions.append(Action(Do.CLOSE, link))

    def accepted(self, host: str, now: int) -> tuple[int, tuple[str, int]] | None:
        """The link's number and whose it is; None: nobody that may connect from there."""
        self._at(now)
        for address, peer in self.peers.items():
            if address[0] == host and (number := peer.accepted(now)):
                self.actions += peer.taken()
                return number, address
        return None

    def message(
        self, address: tuple[str, int], link: int, kind: int, body: bytes, now: int
    ) -> None:
        self._at(now)
        if (peer := self._holding(address, link)) is not None:
            peer.message(link, kind, body, now)
            self.actions += peer.taken()

    def broken(self, address: tuple[str, int], link: int, error: BgpError, now: int) -> None:
        self._at(now)
        if (peer := self._holding(address, link)) is not None:
            peer.broken(link, error, now)
            self.actions += peer.taken()

    def lost(self, address: tuple[str, int], link: int, now: int, why: str) -> None:
        self._at(now)
        if (peer := self._holding(address, link)) is not None:
            peer.lost(link, now, why)
            self.actions += peer.taken()

    def flushed(self, address: tuple[str, int], link: int, now: int) -> None:
        if (peer := self._holding(address, link)) is not None:
            peer.flushed(link, now)

    def _holding(self, address: tuple[str, int], link: int) -> Peering | None:
        """A peer that was taken out and put in again holds none of its former links."""
        peer = self.peers.get(address)
        return peer if peer is not None and peer._of(link) is not None else None

    # Time

    def _at(self, now: int) -> None:
        self.now = max(self.now, now)

    def tick(self, now: int) -> None:
        """All that is due. After a standstill of the process nobody is given up for a silence that nobody
        could have heard, and being ready is proven anew."""
        self._at(now)
        if now - self.expected > STALL:
            late = (now - self.expected) // 10
            self.actions.append(Action(Do.LOG, 0, {"event": "bgp_stalled", "ms": late}))
            self.announcement_policy.unwatched(now)
            for peer in self.peers.values():
                for link in peer._links():
                    link.session.stalled(now + CATCH_UP)
        for peer in self.peers.values():
            peer.tick(now)
            self.actions += peer.taken()
        if self.decision.again is not None and self.decision.again <= now:
            self._follow(now)
        self.expected = self.due() or now + STALL

    def due(self) -> int | None:
        """When `tick` is wanted next."""
        times = [time for peer in self.peers.values() if (time := peer.due()) is not None]
        if self.decision.again is not None:
            times.append(self.decision.again)
        return min(times, default=None)

    # What follows

    def _follow(self, now: int) -> None:
        before, self.decision = self.decision, self.announcement_policy.decide(now)
        if self.decision.level is not before.level:
            self.actions.append(
                Action(
                    Do.LOG,
                    0,
                    {
                        "event": "announcing",
                        "level": self.decision.level.name.lower(),
                        "node": self.announcement_policy.node.value,
                        "reason": self.decision.reason,
                        "penalty": round(self.announcement_policy.penalty.value_at(now)),
                    },
                )
            )
            for peer in self.peers.values():
                peer.want(self._routes(peer.peer))
                self.actions += peer.taken()

    def _routes(self, peer: Peer) -> dict[Prefix, Attributes]:
        level = self.announcement_policy.level
        if level is Level.NONE:
            return {}
        found = {}
        if level is Level.NORMAL:  # who is unwell, or leaves, stands in for nobody
            found = {
                service.prefix: attributes(self.orders, service, peer, Level.LESS_WANTED)
                for service in self.standing_in
                if routable(self.orders, service, peer)
            }
        found |= {
            service.prefix: attributes(self.orders, service, peer, level)
            for service in self.orders.service
        }
        return found  # type: ignore[return-value]

    def taken(self) -> list[Action]:
        actions, self.actions = self.actions, []
        return actions

    # A new file

    def reordered(self, orders: BgpConfig, now: int) -> list[str]:
        """What changed, by name. Peers that stay keep their sessions unless what both sides agreed on at
        their beginning changed; withdrawals of services that are gone leave at once."""
        self._at(now)
        changed = []
        before, self.orders = self.orders, orders
        self.announcement_policy.ordered(orders, now)
        wanted = {peer.address: peer for peer in orders.peer}
        for address, peer in list(self.peers.items()):
            new = wanted.get(address)
            if new is None or not peer.reordered(orders, new):
                subcode = Cease.DECONFIGURED if new is None else Cease.OTHER_CHANGE
                changed.append(f"peer-{peer.name}")
                peer.want(
                    {}
                )  # an explicit withdrawal: the peer may keep what a mere end leaves standing
                peer.stop(now, subcode)
                self.actions += peer.taken()
                del self.peers[address]
        for address, new in wanted.items():
            if address not in self.peers:
                if f"peer-{new.name}" not in changed:
                    changed.append(f"peer-{new.name}")
                self._add(new, now)
        if before.service != orders.service:
            changed.append("services")
        self.decision = self.announcement_policy.decide(now)
        for peer in self.peers.values():
            peer.want(self._routes(peer.peer))
            self.actions += peer.taken()
        return changed

    # Shown

    def shown(self) -> dict[str, object]:
        now, penalty = self.now, self.announcement_policy.penalty
        return {
            "as": self.orders.as_,
            "router_id": self.orders.router_id,
            "node": self.announcement_policy.node.value,
            "level": self.announcement_policy.level.name.lower(),
            "reason": self.announcement_policy.reason,
            "changes": self.announcement_policy.changes,
            "penalty": round(penalty.value_at(now)),
            "suppressed": penalty.suppressed,
            "free_in_s": max(0, penalty.free_at() - now) / SECOND if penalty.suppressed else 0,
            "services": [str(each.prefix) for each in self.orders.service],
            "peers": [peer.shown(now) for peer in self.peers.values()],
        }

    def received(self, address: tuple[str, int]) -> list[dict[str, object]]:
        """A peer's routes in order, each with why it is not used where it is not."""
        peer, rows = self.peers.get(address), []
        for afi in Afi if peer is not None else ():
            for prefix, taken in peer.received.used(peer.rules, afi):
                if len(rows) >= SHOWN:
                    return rows
                used = isinstance(taken, Attributes)
                rows.append(
                    {
                        "prefix": str(prefix),
                        "used": used,
                        "path": " ".join(
                            str(number) for _, part in taken.as_path for number in part
                        )
                        if used
                        else "",
                        "refused": taken.reason if isinstance(taken, Refused) else "",
                    }
                )
        return rows

    def holding(self, prefix: Prefix) -> list[dict[str, object]]:
        """Which peers have a usable route for it, and the longest of each."""
        rows = []
        for peer in self.peers.values():
            if (found := peer.received.holding(peer.rules, prefix)) is not None:
                rows.append(
                    {
                        "peer": peer.name,
                        "prefix": str(found[0]),
                        "path_length": found[1].path_length,
                    }
                )
        return rows
