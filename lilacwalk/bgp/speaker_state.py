"""The whole speaker without I/O: combines the peers and the announcement policy.

Each handler takes the time in tenths of a millisecond, which never decreases. `take_actions`
returns the actions that the I/O layer (`speaker_io`) must carry out, in order.
"""

from __future__ import annotations

import random
from itertools import count

from lilacwalk.bgp.announcement_policy import (
    AnnouncementPolicy,
    Decision,
    Level,
    NodeStatus,
    has_next_hop,
    service_attributes,
)
from lilacwalk.bgp.attributes import Attributes
from lilacwalk.bgp.config import SECOND, BgpConfig, Peer, Service
from lilacwalk.bgp.errors import BgpError, Cease
from lilacwalk.bgp.peer import Action, ActionKind, PeerState
from lilacwalk.bgp.policy import Refused
from lilacwalk.bgp.prefixes import Afi, Prefix

# A `tick` delayed by more than this means that the process stalled and has unread messages.
STALL_THRESHOLD = SECOND
CATCH_UP_TIME = SECOND // 2  # after a stall, for the readers to deliver the unread messages
MAX_ROUTES_SHOWN = 1_000  # routes in one answer; a peer can have millions


class SpeakerState:
    """All peers and the announcement policy of one speaker."""

    def __init__(self, config: BgpConfig, seed: int, now: int) -> None:
        self.config, self.rng, self.now = config, random.Random(seed), now
        self.announcement_policy = AnnouncementPolicy(config, now)
        self.link_numbers = count(1)
        self.peers: dict[tuple[str, int], PeerState] = {}
        self.actions: list[Action] = []
        self.started_at = now
        self.decision = Decision(Level.NONE, "cold", None)
        self.next_tick_due = now  # time at which the next `tick` is expected
        self.failover_services: tuple[Service, ...] = ()  # announced for failed sites
        self.ended = False

    def start(self, now: int) -> None:
        """Adds and starts the configured peers."""
        for peer in self.config.peer:
            self._add_peer(peer, now)
        self._apply_decision(now)

    def _add_peer(self, peer: Peer, now: int) -> None:
        """Creates the state of a configured peer and starts it."""
        peer_state = PeerState(
            self.config, peer, self.link_numbers, self.rng, now, self._restart_claims
        )
        self.peers[peer.address] = peer_state
        peer_state.routes = self._service_routes(peer)
        peer_state.start(now)
        self.actions += peer_state.take_actions()

    def _restart_claims(self) -> tuple[bool, bool]:
        """Returns what the graceful restart capability of an OPEN may state.

        The values are whether the process started less than the restart time ago, and whether the
        node is announced.
        """
        restart_config = self.config.graceful_restart
        restarted = restart_config is not None and self.now - self.started_at < restart_config.time
        return restarted, self.announcement_policy.level is not Level.NONE

    # Node status

    def set_node_status(self, status: NodeStatus, now: int) -> None:
        """Applies the node's status; see `AnnouncementPolicy.set_node_status`."""
        self._advance_clock(now)
        self.announcement_policy.set_node_status(status, now)
        self._apply_decision(now)

    def set_withdrawal_allowed(self, withdrawal_allowed: bool, now: int) -> None:
        """Sets whether fleet membership allows a withdrawal for bad health."""
        self._advance_clock(now)
        self.announcement_policy.set_withdrawal_allowed(withdrawal_allowed)
        self._apply_decision(now)

    def restore_penalty(
        self, penalty: float, suppressed: bool, announced: bool, age: int, now: int
    ) -> None:
        """Restores the flap penalty; see `AnnouncementPolicy.restore_penalty`."""
        self._advance_clock(now)
        self.announcement_policy.restore_penalty(penalty, suppressed, announced, age, now)
        self._apply_decision(now)

    def set_level_cap(self, level_cap: Level, now: int) -> None:
        """Limits the level of a ready node while its site recovers from a failover."""
        self._advance_clock(now)
        self.announcement_policy.set_level_cap(level_cap)
        self._apply_decision(now)

    def set_failover_services(self, services: tuple[Service, ...], now: int) -> None:
        """Sets the services of other sites to announce.

        They are announced as less wanted, and only while this node's own level is NORMAL. When the
        other site recovers, its own announcement is thus preferred at once, however late this node
        withdraws.
        """
        self._advance_clock(now)
        if services == self.failover_services:
            return
        self.failover_services = services
        names = ",".join(str(each.prefix) for each in services) or "none"
        self.actions.append(Action(ActionKind.LOG, 0, {"event": "standing_in", "services": names}))
        for peer in self.peers.values():
            peer.set_routes(self._service_routes(peer.peer))
            self.actions += peer.take_actions()

    def leave(self, now: int, listener_closes_by: int | None) -> None:
        """Starts a drain; see `AnnouncementPolicy.leave`."""
        self._advance_clock(now)
        self.announcement_policy.leave(now, listener_closes_by)
        self._apply_decision(now)

    @property
    def listener_may_close_at(self) -> int | None:
        """The earliest time at which the listener may close; None if there is no drain."""
        return (
            self.announcement_policy.listener_may_close_at
            if self.announcement_policy.node_status in (NodeStatus.LEAVING, NodeStatus.GONE)
            else None
        )

    def end(self, now: int) -> None:
        """Withdraws all routes, then ends every session with a Cease and the operator's shutdown
        text.
        """
        self._advance_clock(now)
        self.announcement_policy.set_node_status(NodeStatus.GONE, now)
        self._apply_decision(now)
        for each in self.peers.values():
            each.stop(now, Cease.SHUTDOWN, self.config.shutdown_text)
            self.actions += each.take_actions()
        self.ended = True

    # Connections

    def connected(self, address: tuple[str, int], link: int, now: int) -> None:
        """Handles the connection that was opened for a link of the peer at `address`."""
        self._advance_clock(now)
        if (peer := self._peer_of_link(address, link)) is not None:
            peer.connected(link, now)
            self.actions += peer.take_actions()
        else:
            self.actions.append(Action(ActionKind.CLOSE, link))

    def accepted(self, host: str, now: int) -> tuple[int, tuple[str, int]] | None:
        """Accepts a connection from `host`.

        Returns the link's number and the peer's address, or None if the connection is rejected.
        """
        self._advance_clock(now)
        for address, peer in self.peers.items():
            if address[0] == host and (number := peer.accepted(now)):
                self.actions += peer.take_actions()
                return number, address
        return None

    def message(
        self, address: tuple[str, int], link: int, kind: int, body: bytes, now: int
    ) -> None:
        """Handles a received message of type `kind`."""
        self._advance_clock(now)
        if (peer := self._peer_of_link(address, link)) is not None:
            peer.message(link, kind, body, now)
            self.actions += peer.take_actions()

    def decode_failed(self, address: tuple[str, int], link: int, error: BgpError, now: int) -> None:
        """Handles received bytes that are not a valid message."""
        self._advance_clock(now)
        if (peer := self._peer_of_link(address, link)) is not None:
            peer.decode_failed(link, error, now)
            self.actions += peer.take_actions()

    def connection_lost(self, address: tuple[str, int], link: int, now: int, cause: str) -> None:
        """Handles the end of a link's connection, or a failed attempt to connect."""
        self._advance_clock(now)
        if (peer := self._peer_of_link(address, link)) is not None:
            peer.connection_lost(link, now, cause)
            self.actions += peer.take_actions()

    def flushed(self, address: tuple[str, int], link: int, now: int) -> None:
        """Handles the report that the operating system has accepted all bytes sent on a link."""
        if (peer := self._peer_of_link(address, link)) is not None:
            peer.flushed(link, now)

    def _peer_of_link(self, address: tuple[str, int], link: int) -> PeerState | None:
        """Returns the peer that owns the link, or None.

        A peer that was removed and added again does not own its earlier links.
        """
        peer = self.peers.get(address)
        return peer if peer is not None and peer.find_link(link) is not None else None

    # Clock and timers

    def _advance_clock(self, now: int) -> None:
        """Sets the current time, which never decreases."""
        self.now = max(self.now, now)

    def tick(self, now: int) -> None:
        """Handles all expired timers.

        After a stall of the process, the hold timers are postponed, as messages of the peers may
        not have been read yet, and the `ready-for` or `well-after` period starts anew.
        """
        self._advance_clock(now)
        if now - self.next_tick_due > STALL_THRESHOLD:
            late = (now - self.next_tick_due) // 10
            self.actions.append(Action(ActionKind.LOG, 0, {"event": "bgp_stalled", "ms": late}))
            self.announcement_policy.restart_ready_period(now)
            for peer in self.peers.values():
                for link in peer.links():
                    link.session.stalled(now + CATCH_UP_TIME)
        for peer in self.peers.values():
            peer.tick(now)
            self.actions += peer.take_actions()
        if self.decision.next_check is not None and self.decision.next_check <= now:
            self._apply_decision(now)
        self.next_tick_due = self.next_due() or now + STALL_THRESHOLD

    def next_due(self) -> int | None:
        """Returns the time at which `tick` must be called next; None if no timer is running."""
        times = [time for peer in self.peers.values() if (time := peer.next_due()) is not None]
        if self.decision.next_check is not None:
            times.append(self.decision.next_check)
        return min(times, default=None)

    # Announcements

    def _apply_decision(self, now: int) -> None:
        """Decides the announcement level and sends changes to all peers."""
        previous, self.decision = self.decision, self.announcement_policy.decide(now)
        if self.decision.level is not previous.level:
            self.actions.append(
                Action(
                    ActionKind.LOG,
                    0,
                    {
                        "event": "announcing",
                        "level": self.decision.level.name.lower(),
                        "node": self.announcement_policy.node_status.value,
                        "reason": self.decision.reason,
                        "penalty": round(self.announcement_policy.penalty.value_at(now)),
                    },
                )
            )
            for peer in self.peers.values():
                peer.set_routes(self._service_routes(peer.peer))
                self.actions += peer.take_actions()

    def _service_routes(self, peer: Peer) -> dict[Prefix, Attributes]:
        """Returns all routes to announce to a peer; its export policy has not been applied."""
        level = self.announcement_policy.level
        if level is Level.NONE:
            return {}
        routes = {}
        # Only a node at level NORMAL, neither unhealthy nor draining, announces services of other
        # sites.
        if level is Level.NORMAL:
            routes = {
                service.prefix: service_attributes(self.config, service, peer, Level.LESS_WANTED)
                for service in self.failover_services
                if has_next_hop(self.config, service, peer)
            }
        routes |= {
            service.prefix: service_attributes(self.config, service, peer, level)
            for service in self.config.service
        }
        return routes  # type: ignore[return-value]

    def take_actions(self) -> list[Action]:
        """Returns the pending actions and clears them."""
        actions, self.actions = self.actions, []
        return actions

    # Reconfiguration

    def reconfigure(self, config: BgpConfig, now: int) -> list[str]:
        """Applies a reloaded configuration.

        A session continues unless its peer was removed or a setting that needs a new session
        changed. Removed services are withdrawn at once.

        Returns:
            `peer-NAME` of each added, removed or restarted peer, and `services` if these changed.
        """
        self._advance_clock(now)
        changed = []
        previous, self.config = self.config, config
        self.announcement_policy.reconfigure(config, now)
        peer_configs = {peer.address: peer for peer in config.peer}
        for address, peer in list(self.peers.items()):
            new = peer_configs.get(address)
            if new is None or not peer.reconfigure(config, new):
                subcode = Cease.DECONFIGURED if new is None else Cease.OTHER_CHANGE
                changed.append(f"peer-{peer.name}")
                # Explicit withdrawal, as the peer may retain routes when a session ends.
                peer.set_routes({})
                peer.stop(now, subcode)
                self.actions += peer.take_actions()
                del self.peers[address]
        for address, new in peer_configs.items():
            if address not in self.peers:
                if f"peer-{new.name}" not in changed:
                    changed.append(f"peer-{new.name}")
                self._add_peer(new, now)
        if previous.service != config.service:
            changed.append("services")
        self.decision = self.announcement_policy.decide(now)
        for peer in self.peers.values():
            peer.set_routes(self._service_routes(peer.peer))
            self.actions += peer.take_actions()
        return changed

    # Reports

    def status(self) -> dict[str, object]:
        """Returns the report for the admin socket."""
        now, penalty = self.now, self.announcement_policy.penalty
        return {
            "as": self.config.as_,
            "router_id": self.config.router_id,
            "node": self.announcement_policy.node_status.value,
            "level": self.announcement_policy.level.name.lower(),
            "reason": self.announcement_policy.reason,
            "changes": self.announcement_policy.level_changes,
            "penalty": round(penalty.value_at(now)),
            "suppressed": penalty.suppressed,
            "free_in_s": max(0, penalty.reuse_at() - now) / SECOND if penalty.suppressed else 0,
            "services": [str(each.prefix) for each in self.config.service],
            "peers": [peer.status(now) for peer in self.peers.values()],
        }

    def received_routes(self, address: tuple[str, int]) -> list[dict[str, object]]:
        """Returns the routes received from a peer in order, with the reason if one is refused.

        At most `MAX_ROUTES_SHOWN` are returned, and none for an unknown address.
        """
        peer, rows = self.peers.get(address), []
        for afi in Afi if peer is not None else ():
            for prefix, evaluated in peer.adj_rib_in.evaluate(peer.policy, afi):
                if len(rows) >= MAX_ROUTES_SHOWN:
                    return rows
                used = isinstance(evaluated, Attributes)
                rows.append(
                    {
                        "prefix": str(prefix),
                        "used": used,
                        "path": " ".join(
                            str(number) for _, part in evaluated.as_path for number in part
                        )
                        if used
                        else "",
                        "refused": evaluated.reason if isinstance(evaluated, Refused) else "",
                    }
                )
        return rows

    def usable_routes(self, prefix: Prefix) -> list[dict[str, object]]:
        """Returns, for each peer, the longest matching route that its import policy accepts.

        Peers without such a route are left out.
        """
        rows = []
        for peer in self.peers.values():
            if (found := peer.adj_rib_in.longest_usable(peer.policy, prefix)) is not None:
                rows.append(
                    {
                        "peer": peer.name,
                        "prefix": str(found[0]),
                        "path_length": found[1].path_length,
                    }
                )
        return rows
