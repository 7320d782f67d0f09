"""State of one peer: its connections (two during a collision), Adj-RIB-In and Adj-RIB-Out.

No I/O: methods take connection events and received messages; `take_actions` returns the actions
that the I/O layer (`speaker_io`) must carry out. A connection is represented by a `Link` with a
number assigned here; the I/O layer maps numbers to sockets. Times are in tenths of a millisecond.
"""

from __future__ import annotations

import ipaddress
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum, auto
from itertools import count

from lilacwalk.bgp import messages
from lilacwalk.bgp.attributes import Attributes
from lilacwalk.bgp.capabilities import Capabilities, GracefulRestart
from lilacwalk.bgp.config import SECOND, BgpConfig, Peer
from lilacwalk.bgp.errors import BgpError, Cease, Code
from lilacwalk.bgp.messages import Notification, Refresh, Update
from lilacwalk.bgp.policy import PeerPolicy, role_code
from lilacwalk.bgp.prefixes import UNICAST, Afi, Prefix
from lilacwalk.bgp.routes import AdjRibIn, PrefixLimitError
from lilacwalk.bgp.session import Event, Session, SessionAction, SessionConfig, SessionEnd, State

FAMILIES = (Afi.IPV4, Afi.IPV6)
# Minimum time between two answers to refresh requests of a family. Routers request a refresh at
# most once per session; the interval delays only a request that an operator repeats.
MIN_REFRESH_INTERVAL = SECOND


class ActionKind(Enum):
    """What the I/O layer must do for an action."""

    CONNECT = auto()  # open a connection to the address in `value`
    SEND = auto()  # send the bytes in `value`, in order
    CLOSE = auto()  # close after all previous bytes
    LOG = auto()  # log the fields in `value`


@dataclass(frozen=True, slots=True)
class Action:
    """An action for the I/O layer; `value` depends on the kind."""

    kind: ActionKind
    link: int  # number of the link; 0 for LOG
    value: object = None


@dataclass(eq=False, slots=True)
class Link:
    """A session with its current connection; `number` is 0 if there is no connection."""

    session: Session
    number: int = 0
    inbound: bool = False  # whether the peer opened the connection
    # Received messages, UPDATEs, withdrawn prefixes that were present, and malformed attributes.
    counts: dict[str, int] = field(
        default_factory=lambda: dict.fromkeys(("received", "updates", "withdrawn", "faults"), 0)
    )


class PeerState:
    """All state of one configured peer."""

    def __init__(
        self,
        config: BgpConfig,
        peer: Peer,
        link_numbers: count,
        rng: random.Random,
        now: int,
        restart_claims: Callable[[], tuple[bool, bool]],
    ) -> None:
        """Creates the peer without connecting.

        Args:
            config: The announce block.
            peer: The peer's block.
            link_numbers: Source of link numbers, shared by all peers.
            rng: For timer jitter.
            now: The time in tenths of a millisecond.
            restart_claims: Returns what the graceful restart capability may state: whether this
                process has just started, and whether the node is announced.
        """
        self.config, self.peer, self.link_numbers, self.rng, self.restart_claims = (
            config,
            peer,
            link_numbers,
            rng,
            restart_claims,
        )
        self.policy = PeerPolicy(config, peer)
        self.adj_rib_in = AdjRibIn(peer.max_prefixes)
        self.adj_rib_out: dict[Prefix, Attributes] = {}  # announced on the established session
        self.routes: dict[Prefix, Attributes] = {}  # to announce, before the export policy
        self.actions: list[Action] = []
        self.primary = self._new_link(now, peer.mode == "passive")
        self.secondary: Link | None = None  # a connection accepted while `primary` has one
        self.established_link: Link | None = None
        self.stopped = False
        self.stale_until = 0  # time at which stale routes are dropped; 0 if there are none
        self.stale_families: tuple[Afi, ...] = ()
        self.last_end: SessionEnd | None = None
        self.ups = self.downs = 0  # numbers of established sessions, and of those that ended
        self.end_of_rib_received: set[int] = set()  # AFIs
        # By family: time of the last answer to a refresh request, and time of the next answer.
        self.refresh_sent_at: dict[Afi, int] = {}
        self.refresh_due: dict[Afi, int] = {}

    def _new_link(self, now: int, passive: bool) -> Link:
        """Returns a link without a connection."""
        peer, config = self.peer, self.config
        session_config = SessionConfig(
            config.as_,
            config.router_id,
            peer.as_,
            config.hold_time if peer.hold_time is None else peer.hold_time,
            peer.connect_retry,
            peer.idle_hold,
            peer.delay_open,
            passive,
            peer.strict_role,
        )
        return Link(Session(session_config, self._capabilities(), self.rng, now))

    def _capabilities(self) -> Capabilities:
        """Returns the capabilities to advertise.

        The capabilities are built for each OPEN, as its graceful restart capability must be true
        when it is sent. A node that is not announced claims no preserved forwarding state; its peer
        then drops the routes from before the restart at once (RFC 4724 section 4.2).
        """
        restart = None
        if (restart_config := self.config.graceful_restart) is not None:
            restarted, forwarding = self.restart_claims()
            restart = GracefulRestart(
                restart_config.time // SECOND,
                restarted,
                True,
                tuple((afi, UNICAST, forwarding) for afi in FAMILIES),
            )
        return Capabilities(
            families=tuple((afi, UNICAST) for afi in FAMILIES),
            as4=self.config.as_,
            refresh=True,
            enhanced_refresh=True,
            extended=self.peer.extended_messages,
            role=role_code(self.peer),
            restart=restart,
        )

    @property
    def name(self) -> str:
        return self.peer.name

    @property
    def established(self) -> bool:
        return self.established_link is not None

    def links(self) -> list[Link]:
        """Returns the primary link and, during a collision, the secondary one."""
        return [self.primary] + ([self.secondary] if self.secondary is not None else [])

    def find_link(self, number: int) -> Link | None:
        """Returns the link with this number, or None if the number is no longer in use."""
        return next((each for each in self.links() if each.number == number and number), None)

    def take_actions(self) -> list[Action]:
        """Returns the pending actions and clears them."""
        actions, self.actions = self.actions, []
        return actions

    # Start and stop

    def start(self, now: int) -> None:
        """Starts connecting or, in mode passive, waiting for a connection from the peer."""
        passive = self.peer.mode == "passive"
        self._execute(
            self.primary,
            now,
            self.primary.session.event(
                Event.MANUAL_START_PASSIVE if passive else Event.MANUAL_START, now
            ),
        )

    def stop(self, now: int, subcode: int = Cease.SHUTDOWN, text: str = "") -> None:
        """Ends all connections with a Cease notification.

        If both sides support RFC 8538, the peer would treat a plain Cease as a restart and retain
        our routes. The Cease is therefore sent inside a hard reset (RFC 8538 section 3.1). `text`
        is the shutdown communication.
        """
        self.stopped = True
        for each in self.links():
            data = messages.shutdown_data(text) if subcode in (Cease.SHUTDOWN, Cease.RESET) else b""
            code = int(subcode)
            peer_restart = each.session.negotiated.restart
            if (
                self.config.graceful_restart is not None
                and peer_restart is not None
                and peer_restart.notification
            ):
                code, data = int(Cease.HARD_RESET), bytes((Code.CEASE, code)) + data
            self._execute(each, now, each.session.cease(Event.MANUAL_STOP, now, code, data))

    # Connection events

    def connected(self, number: int, now: int) -> None:
        """Handles a connection that the I/O layer has opened."""
        if (link := self.find_link(number)) is not None:
            link.session.local_capabilities = self._capabilities()
            self._execute(link, now, link.session.event(Event.TCP_ACKED, now))
        else:  # the link was closed by a collision or the connect retry timer
            self.actions.append(Action(ActionKind.CLOSE, number))

    def connection_lost(self, number: int, now: int, cause: str = "connection lost") -> None:
        """Handles a connection that has ended or could not be opened."""
        if (link := self.find_link(number)) is not None:
            link.number = 0
            self._execute(link, now, link.session.event(Event.TCP_FAILS, now, cause))
            if link is self.secondary and link.session.state is State.ACTIVE:
                self.secondary = None  # the secondary link does not reconnect

    def accepted(self, now: int) -> int:
        """Accepts a connection that the peer opened.

        Connections are rejected in Idle after a failure (RFC 4271 section 8.2.2). A second
        connection is accepted, and the collision is resolved when its OPEN has been received.

        Returns:
            The link's number; 0 if the connection is rejected.
        """
        if self.stopped or self.peer.mode == "active":
            return 0
        state = self.primary.session.state
        if state is State.IDLE and self.primary.session.damped:
            return 0  # the idle hold time after a failure is running
        if state in (State.ACTIVE, State.IDLE) and not self.primary.number:
            link = self.primary
            if state is State.IDLE:  # waiting for the next connection attempt
                link.session.timers.clear()
                self._execute(link, now, link.session.event(Event.MANUAL_START_PASSIVE, now))
        elif self.secondary is None:
            link = self.secondary = self._new_link(now, True)
            self._execute(link, now, link.session.event(Event.MANUAL_START_PASSIVE, now))
        else:
            return 0
        link.number, link.inbound = next(self.link_numbers), True
        link.session.local_capabilities = self._capabilities()
        self._execute(link, now, link.session.event(Event.TCP_CONFIRMED, now))
        return link.number

    def message(self, number: int, kind: int, body: bytes, now: int) -> None:
        """Handles a received message."""
        link = self.find_link(number)
        if link is None:
            return
        link.counts["received"] += 1
        if kind == messages.OPEN:
            self._handle_open(link, body, now)
        else:
            self._execute(link, now, link.session.received(kind, body, now))

    def decode_failed(self, number: int, error: BgpError, now: int) -> None:
        """Handles received bytes that are not a valid message."""
        if (link := self.find_link(number)) is not None:
            self._execute(link, now, link.session.decode_failed(error, now))

    def flushed(self, number: int, now: int) -> None:
        """Handles the report that the operating system has accepted all bytes sent on the
        connection.
        """
        if (link := self.find_link(number)) is not None:
            link.session.flushed(now)

    def tick(self, now: int) -> None:
        """Handles expired timers."""
        for each in self.links():
            if any(due <= now for due in each.session.timers.values()):
                self._execute(each, now, each.session.tick(now))
        if self.established_link is not None and self.refresh_due:
            self._send_due_refreshes(self.established_link, now)
        if self.stale_until and now >= self.stale_until:
            self._drop_stale(self.stale_families, "stale time expired")

    def next_due(self) -> int | None:
        """Returns the time at which `tick` must be called next; None if no timer is running."""
        times = [time for each in self.links() for time in each.session.timers.values()]
        if self.established_link is not None:
            times += self.refresh_due.values()
        if self.stale_until:
            times.append(self.stale_until)
        return min(times, default=None)

    # Collisions

    def _handle_open(self, link: Link, body: bytes, now: int) -> None:
        """Resolves connection collisions, then passes the OPEN to the session (RFC 4271 section
        6.8).

        The connection opened by the side with the higher BGP identifier remains; with equal
        identifiers the AS number decides (RFC 6286 section 2.3). An established session remains,
        unless the peer has advertised graceful restart: then the new connection shows that the peer
        has restarted (RFC 4724 section 5).
        """
        other = next((each for each in self.links() if each is not link and each.number), None)
        try:
            opened = messages.decode_open(body)
        except BgpError:
            opened = None
        if other is not None and opened is not None and opened.asn == self.peer.as_:
            state = other.session.state
            if state is State.ESTABLISHED:
                peer_open = other.session.peer_open
                if peer_open is not None and peer_open.capabilities.restart is not None:
                    self._execute(
                        other, now, other.session.event(Event.TCP_FAILS, now, "the peer restarted")
                    )
                else:
                    self._close_collided(link, now)
                    return
            elif state is State.OPEN_CONFIRM:
                ours = self._collision_rank(self.config.router_id, self.config.as_)
                keep_ours = ours > self._collision_rank(opened.router_id, opened.asn)
                loser = link if link.inbound == keep_ours else other
                self._close_collided(loser, now)
                if loser is link:
                    return
        self._execute(link, now, link.session.received(messages.OPEN, body, now))

    @staticmethod
    def _collision_rank(router_id: str, asn: int) -> tuple[int, int]:
        """Returns the BGP identifier and the AS number; the higher pair wins a collision."""
        return int(ipaddress.IPv4Address(router_id)), asn

    def _close_collided(self, link: Link, now: int) -> None:
        """Closes the connection that lost a collision."""
        self._execute(link, now, link.session.cease(Event.COLLISION_DUMP, now, Cease.COLLISION))

    # Actions of a session

    def _execute(self, link: Link, now: int, actions: list[tuple[SessionAction, object]]) -> None:
        """Carries out the actions of a session; those with I/O become actions for `speaker_io`."""
        for action, value in actions:
            if action is SessionAction.CONNECT:
                link.number, link.inbound = next(self.link_numbers), False
                self.actions.append(Action(ActionKind.CONNECT, link.number, self.peer.address))
            elif action is SessionAction.SEND:
                if link.number:
                    self.actions.append(Action(ActionKind.SEND, link.number, value))
            elif action is SessionAction.CLOSE:
                if link.number:
                    self.actions.append(Action(ActionKind.CLOSE, link.number))
                link.number = 0
            elif action is SessionAction.UP:
                self._session_established(link, now)
            elif action is SessionAction.DOWN:
                assert isinstance(value, SessionEnd)
                self._session_ended(link, value, now)
            elif action is SessionAction.ROUTES:
                assert isinstance(value, Update)
                self._handle_update(link, value, now)
            elif action is SessionAction.REFRESH:
                assert isinstance(value, Refresh)
                self._handle_refresh(link, value, now)

    def _log(self, **pairs: object) -> None:
        self.actions.append(
            Action(ActionKind.LOG, 0, {**pairs, "peer": self.name, "as": self.peer.as_})
        )

    def _session_established(self, link: Link, now: int) -> None:
        """Drops the stale routes that the peer has not preserved, and announces our routes."""
        self.established_link, self.adj_rib_out, self.ups = link, {}, self.ups + 1
        self.end_of_rib_received.clear()
        self.refresh_sent_at.clear()
        self.refresh_due.clear()
        self.adj_rib_in.start_session()
        negotiated = link.session.negotiated
        if self.stale_until:
            preserved = {
                afi
                for afi, safi, forwarding in (
                    negotiated.restart.families if negotiated.restart else ()
                )
                if forwarding and safi == UNICAST
            }
            self._drop_stale(
                [afi for afi in self.stale_families if afi not in preserved],
                "forwarding state not preserved by the peer",
            )
            if self.stale_families and self.config.graceful_restart is not None:
                self.stale_until = now + self.config.graceful_restart.stale
        self._log(
            event="bgp_up",
            hold_s=link.session.hold_time // SECOND,
            families=",".join(Afi(each).name.lower() for each in negotiated.families),
        )
        self._send_changes(link)
        for afi in negotiated.families:
            self._send(link, messages.end_of_rib(afi))

    def _session_ended(self, link: Link, ended: SessionEnd, now: int) -> None:
        """Logs the end, retains or drops the peer's routes, and updates the links."""
        self.last_end = ended
        if link is self.established_link:
            self.established_link, self.adj_rib_out, self.downs = None, {}, self.downs + 1
            self._log(
                event="bgp_down",
                reason=ended.reason,
                text=ended.received.text if ended.received is not None else "",
            )
            self._retain_or_drop_routes(link, ended, now)
        elif ended.received is not None or ended.sent is not None:
            self._log(event="bgp_not_up", reason=ended.reason)
        if link is self.secondary:
            self.secondary = None
        elif self.secondary is not None:  # the remaining connection becomes the primary link
            self.secondary.session.config = self.primary.session.config
            self.secondary.session.failures = 0
            self.primary, self.secondary = self.secondary, None
        elif self.stopped:
            link.session.timers.clear()

    def _retain_or_drop_routes(self, link: Link, ended: SessionEnd, now: int) -> None:
        """Retains the peer's routes as stale, or drops them (RFC 4724 section 4.2, RFC 8538 section
        4).

        The routes of the families in the peer's graceful restart capability are retained if
        graceful restart is configured, the peer advertised a restart time above 0, and the
        connection broke or the session ended for a reason that both sides treat as a restart. After
        `stop` nothing is retained. The retention time is the peer's restart time, at most the
        configured `stale`.
        """
        restart_config = self.config.graceful_restart
        peer_restart = (
            link.session.peer_open.capabilities.restart
            if link.session.peer_open is not None
            else None
        )
        is_restart = ended.received is None and ended.sent is None
        if peer_restart is not None and peer_restart.notification:
            received = ended.received
            codes = (received.code, received.subcode) if received is not None else ended.sent
            is_restart = is_restart or codes not in (
                (Code.CEASE, Cease.HARD_RESET),
                (Code.CEASE, Cease.MAX_PREFIXES),
            )
        if (
            restart_config is None
            or peer_restart is None
            or not peer_restart.time
            or not is_restart
            or self.stopped
        ):
            self.adj_rib_in = AdjRibIn(self.peer.max_prefixes)
            self.stale_until, self.stale_families = 0, ()
            return
        self.stale_families = tuple(
            Afi(afi)
            for afi, safi, _ in peer_restart.families
            if safi == UNICAST and afi in FAMILIES
        )
        for afi in FAMILIES:
            if afi not in self.stale_families:
                self.adj_rib_in.drop_family(afi)
        self.stale_until = now + min(peer_restart.time * SECOND, restart_config.stale)

    def _drop_stale(self, families: Iterable[Afi], cause: str) -> None:
        """Drops the stale routes of the families; without a session, all their routes are stale."""
        dropped = 0
        for afi in tuple(families):
            drop = (
                self.adj_rib_in.drop_stale
                if self.established_link is not None
                else self.adj_rib_in.drop_family
            )
            dropped += drop(afi)
            self.stale_families = tuple(each for each in self.stale_families if each is not afi)
        if not self.stale_families:
            self.stale_until = 0
        if dropped:
            self._log(event="bgp_stale_dropped", count=dropped, reason=cause)

    def _handle_update(self, link: Link, update: Update, now: int) -> None:
        """Applies an UPDATE to Adj-RIB-In; ends the session if it exceeds the prefix limit."""
        counts = link.counts
        counts["updates"] += 1
        counts["faults"] += len(update.faults)
        # Logged at the 1st, 2nd, 4th, 8th ... fault.
        if update.faults and counts["faults"] & (counts["faults"] - 1) == 0:
            first_fault = update.faults[0]
            self._log(
                event="bgp_fault",
                count=counts["faults"],
                detail=f"attribute {first_fault.kind}: {first_fault.text}",
                handled=first_fault.severity.name.lower(),
            )
        if update.end_of_rib is not None:
            self.end_of_rib_received.add(update.end_of_rib)
            if update.end_of_rib in self.stale_families:
                self._drop_stale([Afi(update.end_of_rib)], "not announced before end-of-RIB")
            return
        counts["withdrawn"] += self.adj_rib_in.withdraw(update.withdrawn)
        try:
            for attributes, prefixes in update.reachable:
                self.adj_rib_in.announce(attributes, prefixes)
        except PrefixLimitError as error:
            data = (
                int(error.afi).to_bytes(2, "big")
                + bytes((UNICAST,))
                + error.max_prefixes.to_bytes(4, "big")
            )
            self._execute(
                link, now, link.session.cease(Event.AUTOMATIC_STOP, now, Cease.MAX_PREFIXES, data)
            )

    def _handle_refresh(self, link: Link, request: Refresh, now: int) -> None:
        """Handles ROUTE-REFRESH (RFC 2918, 7313).

        Requests are answered at most once per `MIN_REFRESH_INTERVAL`; otherwise each request of 23
        bytes would make us send all routes of the family.
        """
        if request.safi != UNICAST or request.afi not in link.session.negotiated.families:
            return
        afi = Afi(request.afi)
        enhanced = link.session.negotiated.enhanced_refresh
        if request.kind == 0:
            due = self.refresh_sent_at.get(afi, now - MIN_REFRESH_INTERVAL) + MIN_REFRESH_INTERVAL
            self.refresh_due.setdefault(afi, max(now, due))
            self._send_due_refreshes(link, now)
        elif request.kind == 1 and enhanced:
            self.adj_rib_in.start_refresh(afi)
        elif request.kind == 2 and enhanced:
            self.adj_rib_in.end_refresh(afi)

    def _send_due_refreshes(self, link: Link, now: int) -> None:
        """Sends all routes of each family whose refresh is due.

        The routes are sent between refresh markers if both sides support RFC 7313.
        """
        enhanced = link.session.negotiated.enhanced_refresh
        for afi in [afi for afi, due in self.refresh_due.items() if due <= now]:
            del self.refresh_due[afi]
            self.refresh_sent_at[afi] = now
            if enhanced:
                self._send(link, messages.encode(Refresh(afi, UNICAST, 1)))
            self._send_announcements(
                link,
                {prefix: each for prefix, each in self.adj_rib_out.items() if prefix.afi == afi},
            )
            if enhanced:
                self._send(link, messages.encode(Refresh(afi, UNICAST, 2)))

    def request_refresh(self) -> None:
        """Sends a ROUTE-REFRESH for each family if both sides support it (RFC 2918).

        Called after a change of the import policy, which thus needs no new session.
        """
        if self.established_link is not None and self.established_link.session.negotiated.refresh:
            for afi in self.established_link.session.negotiated.families:
                self._send(self.established_link, messages.encode(Refresh(afi, UNICAST)))

    # Announcements

    def set_routes(self, routes: dict[Prefix, Attributes]) -> None:
        """Replaces the routes to announce, which the export policy has yet to filter.

        On an established session, differences are sent at once, withdrawals first.
        """
        self.routes = routes
        if self.established_link is not None:
            self._send_changes(self.established_link)

    def _send_changes(self, link: Link) -> None:
        """Sends the differences between the exported routes and Adj-RIB-Out, withdrawals first."""
        families = link.session.negotiated.families
        exports: dict[Prefix, Attributes] = {}
        for prefix, attributes in self.routes.items():
            if prefix.afi in families:
                exported = self.policy.export_route(prefix, attributes)
                if exported is not None:
                    exports[prefix] = exported
        withdrawn = [prefix for prefix in self.adj_rib_out if prefix not in exports]
        for afi in FAMILIES:
            if prefixes := sorted(each for each in withdrawn if each.afi == afi):
                for piece in messages.withdrawals(prefixes, self._max_message_size(link)):
                    self._send(link, piece)
        self._send_announcements(
            link,
            {
                prefix: each
                for prefix, each in exports.items()
                if self.adj_rib_out.get(prefix) != each
            },
        )
        self.adj_rib_out = exports

    def _send_announcements(self, link: Link, routes: dict[Prefix, Attributes]) -> None:
        """Sends UPDATEs that announce the routes, grouped by family and attributes."""
        groups: dict[tuple[Afi, Attributes], list[Prefix]] = {}
        for prefix in sorted(routes):
            groups.setdefault((prefix.afi, routes[prefix]), []).append(prefix)
        session = link.session
        for (_, attributes), prefixes in groups.items():
            for piece in messages.announcements(
                prefixes,
                attributes,
                session.negotiated.as4,
                session.internal,
                self._max_message_size(link),
            ):
                self._send(link, piece)

    @staticmethod
    def _max_message_size(link: Link) -> int:
        return messages.MAX_EXTENDED_SIZE if link.session.negotiated.extended else messages.MAX_SIZE

    def _send(self, link: Link, data: bytes) -> None:
        self.actions.append(Action(ActionKind.SEND, link.number, data))

    # Reconfiguration

    def reconfigure(self, config: BgpConfig, peer: Peer) -> bool:
        """Applies a reloaded configuration; returns False if it requires a new session.

        In that case nothing is changed.
        """
        peer_fields = (
            "as_",
            "mode",
            "hold_time",
            "role",
            "strict_role",
            "extended_messages",
            "local_address",
        )
        global_fields = ("as_", "router_id", "hold_time", "graceful_restart")
        if any(getattr(peer, name) != getattr(self.peer, name) for name in peer_fields) or any(
            getattr(config, name) != getattr(self.config, name) for name in global_fields
        ):
            return False
        import_settings = (self.peer.import_, self.config.policy, self.config.prefix_list)
        self.config, self.peer = config, peer
        self.policy = PeerPolicy(config, peer)
        self.adj_rib_in.max_prefixes = peer.max_prefixes
        for each in self.links():
            session_config = each.session.config
            each.session.config = SessionConfig(
                session_config.asn,
                session_config.router_id,
                session_config.peer_as,
                session_config.hold,
                peer.connect_retry,
                peer.idle_hold,
                peer.delay_open,
                session_config.passive,
                session_config.strict_role,
            )
        if import_settings != (peer.import_, config.policy, config.prefix_list):
            self.request_refresh()
        return True

    def status(self, now: int) -> dict[str, object]:
        """Returns the report for the admin socket."""
        link = self.established_link or self.primary
        session = link.session
        return {
            "peer": self.name,
            "as": self.peer.as_,
            "state": session.state.name.lower(),
            "up_s": (now - session.up_since) // SECOND if self.established_link is not None else 0,
            "hold_s": session.hold_time // SECOND if self.established_link is not None else 0,
            "ups": self.ups,
            "downs": self.downs,
            "messages": link.counts["received"],
            "updates": link.counts["updates"],
            "faults": link.counts["faults"],
            "received": {afi.name.lower(): len(self.adj_rib_in.tries[afi]) for afi in FAMILIES},
            "stale": {afi.name.lower(): self.adj_rib_in.stale(afi) for afi in self.stale_families},
            "end_of_rib": sorted(Afi(each).name.lower() for each in self.end_of_rib_received),
            "told": [
                {
                    "prefix": str(prefix),
                    "med": each.med,
                    "path": each.path_length,
                    "communities": [f"{one >> 16}:{one & 0xFFFF}" for one in each.communities],
                }
                for prefix, each in sorted(self.adj_rib_out.items(), key=lambda item: item[0])
            ],
            "last_end": self.last_end.reason if self.last_end is not None else "",
        }


def encode_notification(code: int, subcode: int) -> bytes:
    """Returns a NOTIFICATION for a connection that belongs to no peer."""
    return messages.encode(Notification(code, subcode))
