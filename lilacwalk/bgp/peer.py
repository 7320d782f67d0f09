"""One peer: its connections (two at once may happen), what it has told, what it is told. No I/O: it is fed
with what became of connections and what came over them, and returns what is to be done with them.

A connection is a `Link`, a number given out here; the host knows which socket that is."""

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
MIN_REFRESH_INTERVAL = (
    SECOND  # a person who asks twice waits a second; routers ask once a session or less
)


class ActionKind(Enum):
    """What the host is to carry out."""

    CONNECT = auto()  # the link's number: open it to the peer's address
    SEND = auto()  # bytes over it, in order
    CLOSE = auto()  # after all that was sent before
    LOG = auto()  # a change of state, as pairs


@dataclass(frozen=True, slots=True)
class Action:
    kind: ActionKind
    link: int
    value: object = None


@dataclass(eq=False, slots=True)
class Link:
    """A session and the connection it has now; 0: none."""

    session: Session
    number: int = 0
    inbound: bool = False
    counts: dict[str, int] = field(
        default_factory=lambda: dict.fromkeys(("received", "updates", "withdrawn", "faults"), 0)
    )


class PeerState:
    def __init__(
        self,
        config: BgpConfig,
        peer: Peer,
        link_numbers: count,
        rng: random.Random,
        now: int,
        restart_claims: Callable[[], tuple[bool, bool]],
    ) -> None:
        """`claims`: whether this process has just begun, and whether the node serves now: what an OPEN may
        say of a graceful restart."""
        self.config, self.peer, self.link_numbers, self.rng, self.restart_claims = (
            config,
            peer,
            link_numbers,
            rng,
            restart_claims,
        )
        self.policy = PeerPolicy(config, peer)
        self.adj_rib_in = AdjRibIn(peer.max_prefixes)
        self.adj_rib_out: dict[Prefix, Attributes] = {}  # over the session that is up
        self.routes: dict[Prefix, Attributes] = {}
        self.actions: list[Action] = []
        self.primary = self._new_link(now, peer.mode == "passive")
        self.secondary: Link | None = None  # a connection that came while `main` had its own
        self.established_link: Link | None = None
        self.stopped = False
        self.stale_until = 0  # 0: nothing stale is kept
        self.stale_families: tuple[Afi, ...] = ()
        self.last_end: SessionEnd | None = None
        self.ups = self.downs = 0
        self.end_of_rib_received: set[int] = set()
        self.refresh_sent_at: dict[
            Afi, int
        ] = {}  # when the last refresh that was asked for was given
        self.refresh_due: dict[Afi, int] = {}

    def _new_link(self, now: int, passive: bool) -> Link:
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
        """Made anew for each OPEN, for what it says of a restart must be true then. A node that does not
        serve claims no forwarding: its peer then drops what it kept of the life before at once (RFC 4724
        4.2)."""
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
        return [self.primary] + ([self.secondary] if self.secondary is not None else [])

    def find_link(self, number: int) -> Link | None:
        return next((each for each in self.links() if each.number == number and number), None)

    def take_actions(self) -> list[Action]:
        actions, self.actions = self.actions, []
        return actions

    # Start and stop

    def start(self, now: int) -> None:
        passive = self.peer.mode == "passive"
        self._execute(
            self.primary,
            now,
            self.primary.session.event(
                Event.MANUAL_START_PASSIVE if passive else Event.MANUAL_START, now
            ),
        )

    def stop(self, now: int, subcode: int = Cease.SHUTDOWN, text: str = "") -> None:
        """All connections end with a cease. Where both sides know RFC 8538, a plain one would let the peer
        keep our routes as if we restarted: it goes as a hard reset, which carries the plain one (section
        3.1)."""
        self.stopped = True
        for each in self.links():
            data = messages.shutdown_data(text) if subcode in (Cease.SHUTDOWN, Cease.RESET) else b""
            code = int(subcode)
            peer_restart = each.session.agreed.restart
            if (
                self.config.graceful_restart is not None
                and peer_restart is not None
                and peer_restart.notification
            ):
                code, data = int(Cease.HARD_RESET), bytes((Code.CEASE, code)) + data
            self._execute(each, now, each.session.cease(Event.MANUAL_STOP, now, code, data))

    # What became of connections

    def connected(self, number: int, now: int) -> None:
        if (link := self.find_link(number)) is not None:
            link.session.local_capabilities = self._capabilities()
            self._execute(link, now, link.session.event(Event.TCP_ACKED, now))
        else:  # no longer wanted: a collision was lost, or the retry timer gave it up
            self.actions.append(Action(ActionKind.CLOSE, number))

    def connection_lost(self, number: int, now: int, cause: str = "connection lost") -> None:
        if (link := self.find_link(number)) is not None:
            link.number = 0
            self._execute(link, now, link.session.event(Event.TCP_FAILS, now, cause))
            if link is self.secondary and link.session.state is State.ACTIVE:
                self.secondary = None  # nothing will be connected for it again

    def accepted(self, now: int) -> int:
        """The number of a connection that the peer opened; 0: it is not taken. In Idle none is (section
        8.2.2); a second one waits for its OPEN, and then one of both is dropped."""
        if self.stopped or self.peer.mode == "active":
            return 0
        state = self.primary.session.state
        if state is State.IDLE and self.primary.session.damped:
            return 0  # a failure is waited out
        if state in (State.ACTIVE, State.IDLE) and not self.primary.number:
            link = self.primary
            if state is State.IDLE:  # it only waits for its next try to connect
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
        link = self.find_link(number)
        if link is None:
            return
        link.counts["received"] += 1
        if kind == messages.OPEN:
            self._handle_open(link, body, now)
        else:
            self._execute(link, now, link.session.received(kind, body, now))

    def decode_failed(self, number: int, error: BgpError, now: int) -> None:
        if (link := self.find_link(number)) is not None:
            self._execute(link, now, link.session.decode_failed(error, now))

    def flushed(self, number: int, now: int) -> None:
        if (link := self.find_link(number)) is not None:
            link.session.flushed(now)

    def tick(self, now: int) -> None:
        for each in self.links():
            if any(due <= now for due in each.session.timers.values()):
                self._execute(each, now, each.session.tick(now))
        if self.established_link is not None and self.refresh_due:
            self._send_due_refreshes(self.established_link, now)
        if self.stale_until and now >= self.stale_until:
            self._drop_stale(self.stale_families, "time is over")

    def next_due(self) -> int | None:
        times = [time for each in self.links() for time in each.session.timers.values()]
        if self.established_link is not None:
            times += self.refresh_due.values()
        if self.stale_until:
            times.append(self.stale_until)
        return min(times, default=None)

    # Collisions

    def _handle_open(self, link: Link, body: bytes, now: int) -> None:
        """Section 6.8: of two connections the one stays that the side with the higher identifier opened (RFC
        6286 2.3: or AS, where those are the same). One that is established stays, unless the peer has peer_open
        that it can restart gracefully: then a new connection proves that it did (RFC 4724 section 5)."""
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
        return int(ipaddress.IPv4Address(router_id)), asn

    def _close_collided(self, link: Link, now: int) -> None:
        self._execute(link, now, link.session.cease(Event.COLLISION_DUMP, now, Cease.COLLISION))

    # What a session asks for

    def _execute(self, link: Link, now: int, actions: list[tuple[SessionAction, object]]) -> None:
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
        self.established_link, self.adj_rib_out, self.ups = link, {}, self.ups + 1
        self.end_of_rib_received.clear()
        self.refresh_sent_at.clear()
        self.refresh_due.clear()
        self.adj_rib_in.start_session()
        agreed = link.session.agreed
        if self.stale_until:
            preserved = {
                afi
                for afi, safi, forwarding in (agreed.restart.families if agreed.restart else ())
                if forwarding and safi == UNICAST
            }
            self._drop_stale(
                [afi for afi in self.stale_families if afi not in preserved],
                "not forwarding by the peer",
            )
            if self.stale_families and self.config.graceful_restart is not None:
                self.stale_until = now + self.config.graceful_restart.stale
        self._log(
            event="bgp_up",
            hold_s=link.session.hold_time // SECOND,
            families=",".join(Afi(each).name.lower() for each in agreed.families),
        )
        self._send_changes(link)
        for afi in agreed.families:
            self._send(link, messages.end_of_rib(afi))

    def _session_ended(self, link: Link, ended: SessionEnd, now: int) -> None:
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
        elif self.secondary is not None:  # the connection that stays becomes the peer's own
            self.secondary.session.config = self.primary.session.config
            self.secondary.session.failures = 0
            self.primary, self.secondary = self.secondary, None
        elif self.stopped:
            link.session.timers.clear()

    def _retain_or_drop_routes(self, link: Link, ended: SessionEnd, now: int) -> None:
        """RFC 4724 section 4.2 and 8538 section 4: the peer's routes are kept for its restart time where it
        restart_config for that and the session broke, or ended by what both sides let count as a restart."""
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
        counts = link.counts
        counts["updates"] += 1
        counts["faults"] += len(update.faults)
        if (
            update.faults and counts["faults"] & (counts["faults"] - 1) == 0
        ):  # at the 1st, 2nd, 4th, 8th …
            worst = update.faults[0]
            self._log(
                event="bgp_fault",
                count=counts["faults"],
                detail=f"attribute {worst.kind}: {worst.text}",
                handled=worst.severity.name.lower(),
            )
        if update.end_of_rib is not None:
            self.end_of_rib_received.add(update.end_of_rib)
            if update.end_of_rib in self.stale_families:
                self._drop_stale([Afi(update.end_of_rib)], "end of rib")
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
        """RFC 2918, 7313. Requests that come faster than one a second are answered by one: a flood of them,
        of 23 bytes each, would cost a table each."""
        if request.safi != UNICAST or request.afi not in link.session.agreed.families:
            return
        afi = Afi(request.afi)
        enhanced = link.session.agreed.enhanced_refresh
        if request.kind == 0:
            due = self.refresh_sent_at.get(afi, now - MIN_REFRESH_INTERVAL) + MIN_REFRESH_INTERVAL
            self.refresh_due.setdefault(afi, max(now, due))
            self._send_due_refreshes(link, now)
        elif request.kind == 1 and enhanced:
            self.adj_rib_in.start_refresh(afi)
        elif request.kind == 2 and enhanced:
            self.adj_rib_in.end_refresh(afi)

    def _send_due_refreshes(self, link: Link, now: int) -> None:
        """Whole, between marks where both sides know them."""
        enhanced = link.session.agreed.enhanced_refresh
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
        """Where an import policy changed: RFC 2918 spares the session."""
        if self.established_link is not None and self.established_link.session.agreed.refresh:
            for afi in self.established_link.session.agreed.families:
                self._send(self.established_link, messages.encode(Refresh(afi, UNICAST)))

    # What it is told

    def set_routes(self, routes: dict[Prefix, Attributes]) -> None:
        """All that it is to know of us from now on; what changed leaves at once, withdrawals first."""
        self.routes = routes
        if self.established_link is not None:
            self._send_changes(self.established_link)

    def _send_changes(self, link: Link) -> None:
        families = link.session.agreed.families
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
        groups: dict[tuple[Afi, Attributes], list[Prefix]] = {}
        for prefix in sorted(routes):
            groups.setdefault((prefix.afi, routes[prefix]), []).append(prefix)
        session = link.session
        for (_, attributes), prefixes in groups.items():
            for piece in messages.announcements(
                prefixes,
                attributes,
                session.agreed.as4,
                session.internal,
                self._max_message_size(link),
            ):
                self._send(link, piece)

    @staticmethod
    def _max_message_size(link: Link) -> int:
        return messages.MAX_EXTENDED_SIZE if link.session.agreed.extended else messages.MAX_SIZE

    def _send(self, link: Link, data: bytes) -> None:
        self.actions.append(Action(ActionKind.SEND, link.number, data))

    # A new file

    def reconfigure(self, config: BgpConfig, peer: Peer) -> bool:
        """Takes over what needs no new session; False where one is needed."""
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
    """For a connection that no peer of ours opened."""
    return messages.encode(Notification(code, subcode))
