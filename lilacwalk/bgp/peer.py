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
from lilacwalk.bgp.policy import Rules, role_of
from lilacwalk.bgp.prefixes import UNICAST, Afi, Prefix
from lilacwalk.bgp.routes import AdjRibIn, TooManyError
from lilacwalk.bgp.session import Act, Ended, Event, Session, Side, State

FAMILIES = (Afi.IPV4, Afi.IPV6)
REFRESH_SPACING = (
    SECOND  # a person who asks twice waits a second; routers ask once a session or less
)


class Do(Enum):
    """What the host is to carry out."""

    CONNECT = auto()  # the link's number: open it to the peer's address
    SEND = auto()  # bytes over it, in order
    CLOSE = auto()  # after all that was sent before
    LOG = auto()  # a change of state, as pairs


@dataclass(frozen=True, slots=True)
class Action:
    do: Do
    link: int
    about: object = None


@dataclass(eq=False, slots=True)
class Link:
    """A session and the connection it has now; 0: none."""

    session: Session
    number: int = 0
    inbound: bool = False
    counts: dict[str, int] = field(
        default_factory=lambda: dict.fromkeys(("received", "updates", "withdrawn", "faults"), 0)
    )


class Peering:
    def __init__(
        self,
        announce: BgpConfig,
        peer: Peer,
        numbers: count,
        rng: random.Random,
        now: int,
        claims: Callable[[], tuple[bool, bool]],
    ) -> None:
        """`claims`: whether this process has just begun, and whether the node serves now: what an OPEN may
        say of a graceful restart."""
        self.announce, self.peer, self.numbers, self.rng, self.claims = (
            announce,
            peer,
            numbers,
            rng,
            claims,
        )
        self.rules = Rules(announce, peer)
        self.received = AdjRibIn(peer.max_prefixes)
        self.told: dict[Prefix, Attributes] = {}  # over the session that is up
        self.wanted: dict[Prefix, Attributes] = {}
        self.actions: list[Action] = []
        self.main = self._new(now, peer.mode == "passive")
        self.second: Link | None = None  # a connection that came while `main` had its own
        self.up: Link | None = None
        self.stopped = False
        self.stale_until = 0  # 0: nothing stale is kept
        self.kept_families: tuple[Afi, ...] = ()
        self.last_end: Ended | None = None
        self.ups = self.downs = 0
        self.told_end: set[int] = set()
        self.refreshed: dict[Afi, int] = {}  # when the last refresh that was asked for was given
        self.refresh_due: dict[Afi, int] = {}

    def _new(self, now: int, passive: bool) -> Link:
        peer, announce = self.peer, self.announce
        side = Side(
            announce.as_,
            announce.router_id,
            peer.as_,
            announce.hold_time if peer.hold_time is None else peer.hold_time,
            peer.connect_retry,
            peer.idle_hold,
            peer.delay_open,
            passive,
            peer.strict_role,
        )
        return Link(Session(side, self._offered(), self.rng, now))

    def _offered(self) -> Capabilities:
        """Made anew for each OPEN, for what it says of a restart must be true then. A node that does not
        serve claims no forwarding: its peer then drops what it kept of the life before at once (RFC 4724
        4.2)."""
        restart = None
        if (asked := self.announce.graceful_restart) is not None:
            begun, serves = self.claims()
            restart = GracefulRestart(
                asked.time // SECOND, begun, True, tuple((afi, UNICAST, serves) for afi in FAMILIES)
            )
        return Capabilities(
            families=tuple((afi, UNICAST) for afi in FAMILIES),
            as4=self.announce.as_,
            refresh=True,
            enhanced_refresh=True,
            extended=self.peer.extended_messages,
            role=role_of(self.peer),
            restart=restart,
        )

    @property
    def name(self) -> str:
        return self.peer.name

    @property
    def established(self) -> bool:
        return self.up is not None

    def _links(self) -> list[Link]:
        return [self.main] + ([self.second] if self.second is not None else [])

    def _of(self, number: int) -> Link | None:
        return next((each for each in self._links() if each.number == number and number), None)

    def taken(self) -> list[Action]:
        actions, self.actions = self.actions, []
        return actions

    # Start and stop

    def start(self, now: int) -> None:
        passive = self.peer.mode == "passive"
        self._run(
            self.main,
            now,
            self.main.session.event(
                Event.MANUAL_START_PASSIVE if passive else Event.MANUAL_START, now
            ),
        )

    def stop(self, now: int, subcode: int = Cease.SHUTDOWN, text: str = "") -> None:
        """All connections end with a cease. Where both sides know RFC 8538, a plain one would let the peer
        keep our routes as if we restarted: it goes as a hard reset, which carries the plain one (section
        3.1)."""
        self.stopped = True
        for each in self._links():
            data = messages.shutdown_data(text) if subcode in (Cease.SHUTDOWN, Cease.RESET) else b""
            code = int(subcode)
            theirs = each.session.agreed.restart
            if (
                self.announce.graceful_restart is not None
                and theirs is not None
                and theirs.notification
            ):
                code, data = int(Cease.HARD_RESET), bytes((Code.CEASE, code)) + data
            self._run(each, now, each.session.cease(Event.MANUAL_STOP, now, code, data))

    # What became of connections

    def connected(self, number: int, now: int) -> None:
        if (link := self._of(number)) is not None:
            link.session.offered = self._offered()
            self._run(link, now, link.session.event(Event.TCP_ACKED, now))
        else:  # no longer wanted: a collision was lost, or the retry timer gave it up
            self.actions.append(Action(Do.CLOSE, number))

    def lost(self, number: int, now: int, why: str = "connection lost") -> None:
        if (link := self._of(number)) is not None:
            link.number = 0
            self._run(link, now, link.session.event(Event.TCP_FAILS, now, why))
            if link is self.second and link.session.state is State.ACTIVE:
                self.second = None  # nothing will be connected for it again

    def accepted(self, now: int) -> int:
        """The number of a connection that the peer opened; 0: it is not taken. In Idle none is (section
        8.2.2); a second one waits for its OPEN, and then one of both is dropped."""
        if self.stopped or self.peer.mode == "active":
            return 0
        state = self.main.session.state
        if state is State.IDLE and self.main.session.damped:
            return 0  # a failure is waited out
        if state in (State.ACTIVE, State.IDLE) and not self.main.number:
            link = self.main
            if state is State.IDLE:  # it only waits for its next try to connect
                link.session.due.clear()
                self._run(link, now, link.session.event(Event.MANUAL_START_PASSIVE, now))
        elif self.second is None:
            link = self.second = self._new(now, True)
            self._run(link, now, link.session.event(Event.MANUAL_START_PASSIVE, now))
        else:
            return 0
        link.number, link.inbound = next(self.numbers), True
        link.session.offered = self._offered()
        self._run(link, now, link.session.event(Event.TCP_CONFIRMED, now))
        return link.number

    def message(self, number: int, kind: int, body: bytes, now: int) -> None:
        link = self._of(number)
        if link is None:
            return
        link.counts["received"] += 1
        if kind == messages.OPEN:
            self._open(link, body, now)
        else:
            self._run(link, now, link.session.received(kind, body, now))

    def broken(self, number: int, error: BgpError, now: int) -> None:
        if (link := self._of(number)) is not None:
            self._run(link, now, link.session.broken(error, now))

    def flushed(self, number: int, now: int) -> None:
        if (link := self._of(number)) is not None:
            link.session.flushed(now)

    def tick(self, now: int) -> None:
        for each in self._links():
            if any(due <= now for due in each.session.due.values()):
                self._run(each, now, each.session.tick(now))
        if self.up is not None and self.refresh_due:
            self._give_refreshes(self.up, now)
        if self.stale_until and now >= self.stale_until:
            self._flush_stale(self.kept_families, "time is over")

    def due(self) -> int | None:
        times = [time for each in self._links() for time in each.session.due.values()]
        if self.up is not None:
            times += self.refresh_due.values()
        if self.stale_until:
            times.append(self.stale_until)
        return min(times, default=None)

    # Collisions

    def _open(self, link: Link, body: bytes, now: int) -> None:
        """Section 6.8: of two connections the one stays that the side with the higher identifier opened (RFC
        6286 2.3: or AS, where those are the same). One that is established stays, unless the peer has said
        that it can restart gracefully: then a new connection proves that it did (RFC 4724 section 5)."""
        other = next((each for each in self._links() if each is not link and each.number), None)
        try:
            opened = messages.decode_open(body)
        except BgpError:
            opened = None
        if other is not None and opened is not None and opened.asn == self.peer.as_:
            state = other.session.state
            if state is State.ESTABLISHED:
                said = other.session.peer_open
                if said is not None and said.capabilities.restart is not None:
                    self._run(
                        other, now, other.session.event(Event.TCP_FAILS, now, "the peer restarted")
                    )
                else:
                    self._dump(link, now)
                    return
            elif state is State.OPEN_CONFIRM:
                ours = self._rank(self.announce.router_id, self.announce.as_)
                keep_ours = ours > self._rank(opened.router_id, opened.asn)
                loser = link if link.inbound == keep_ours else other
                self._dump(loser, now)
                if loser is link:
                    return
        self._run(link, now, link.session.received(messages.OPEN, body, now))

    @staticmethod
    def _rank(router_id: str, asn: int) -> tuple[int, int]:
        return int(ipaddress.IPv4Address(router_id)), asn

    def _dump(self, link: Link, now: int) -> None:
        self._run(link, now, link.session.cease(Event.COLLISION_DUMP, now, Cease.COLLISION))

    # What a session asks for

    def _run(self, link: Link, now: int, done: list[tuple[Act, object]]) -> None:
        for act, about in done:
            if act is Act.CONNECT:
                link.number, link.inbound = next(self.numbers), False
                self.actions.append(Action(Do.CONNECT, link.number, self.peer.address))
            elif act is Act.SEND:
                if link.number:
                    self.actions.append(Action(Do.SEND, link.number, about))
            elif act is Act.CLOSE:
                if link.number:
                    self.actions.append(Action(Do.CLOSE, link.number))
                link.number = 0
            elif act is Act.UP:
                self._came_up(link, now)
            elif act is Act.DOWN:
                assert isinstance(about, Ended)
                self._went_down(link, about, now)
            elif act is Act.ROUTES:
                assert isinstance(about, Update)
                self._routes(link, about, now)
            elif act is Act.REFRESH:
                assert isinstance(about, Refresh)
                self._refresh(link, about, now)

    def _log(self, **pairs: object) -> None:
        self.actions.append(Action(Do.LOG, 0, {**pairs, "peer": self.name, "as": self.peer.as_}))

    def _came_up(self, link: Link, now: int) -> None:
        self.up, self.told, self.ups = link, {}, self.ups + 1
        self.told_end.clear()
        self.refreshed.clear()
        self.refresh_due.clear()
        self.received.begin()
        agreed = link.session.agreed
        if self.stale_until:
            still = {
                afi
                for afi, safi, kept in (agreed.restart.families if agreed.restart else ())
                if kept and safi == UNICAST
            }
            self._flush_stale(
                [afi for afi in self.kept_families if afi not in still], "not kept by the peer"
            )
            if self.kept_families and self.announce.graceful_restart is not None:
                self.stale_until = now + self.announce.graceful_restart.stale
        self._log(
            event="bgp_up",
            hold_s=link.session.hold_time // SECOND,
            families=",".join(Afi(each).name.lower() for each in agreed.families),
        )
        self._tell(link)
        for afi in agreed.families:
            self._send(link, messages.end_of_rib(afi))

    def _went_down(self, link: Link, ended: Ended, now: int) -> None:
        self.last_end = ended
        if link is self.up:
            self.up, self.told, self.downs = None, {}, self.downs + 1
            self._log(
                event="bgp_down",
                reason=ended.reason,
                text=ended.notified.text if ended.notified is not None else "",
            )
            self._keep_or_drop(link, ended, now)
        elif ended.notified is not None or ended.told is not None:
            self._log(event="bgp_not_up", reason=ended.reason)
        if link is self.second:
            self.second = None
        elif self.second is not None:  # the connection that stays becomes the peer's own
            self.second.session.side = self.main.session.side
            self.second.session.failures = 0
            self.main, self.second = self.second, None
        elif self.stopped:
            link.session.due.clear()

    def _keep_or_drop(self, link: Link, ended: Ended, now: int) -> None:
        """RFC 4724 section 4.2 and 8538 section 4: the peer's routes are kept for its restart time where it
        asked for that and the session broke, or ended by what both sides let count as a restart."""
        asked = self.announce.graceful_restart
        theirs = (
            link.session.peer_open.capabilities.restart
            if link.session.peer_open is not None
            else None
        )
        soft = ended.notified is None and ended.told is None
        if theirs is not None and theirs.notification:
            came = ended.notified
            codes = (came.code, came.subcode) if came is not None else ended.told
            soft = soft or codes not in (
                (Code.CEASE, Cease.HARD_RESET),
                (Code.CEASE, Cease.MAX_PREFIXES),
            )
        if asked is None or theirs is None or not theirs.time or not soft or self.stopped:
            self.received = AdjRibIn(self.peer.max_prefixes)
            self.stale_until, self.kept_families = 0, ()
            return
        self.kept_families = tuple(
            Afi(afi) for afi, safi, _ in theirs.families if safi == UNICAST and afi in FAMILIES
        )
        for afi in FAMILIES:
            if afi not in self.kept_families:
                self.received.drop_family(afi)
        self.stale_until = now + min(theirs.time * SECOND, asked.stale)

    def _flush_stale(self, families: Iterable[Afi], why: str) -> None:
        dropped = 0
        for afi in tuple(families):
            drop = self.received.drop_stale if self.up is not None else self.received.drop_family
            dropped += drop(afi)
            self.kept_families = tuple(each for each in self.kept_families if each is not afi)
        if not self.kept_families:
            self.stale_until = 0
        if dropped:
            self._log(event="bgp_stale_dropped", count=dropped, reason=why)

    def _routes(self, link: Link, update: Update, now: int) -> None:
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
            self.told_end.add(update.end_of_rib)
            if update.end_of_rib in self.kept_families:
                self._flush_stale([Afi(update.end_of_rib)], "end of rib")
            return
        counts["withdrawn"] += self.received.withdraw(update.withdrawn)
        try:
            for attributes, prefixes in update.reachable:
                self.received.announce(attributes, prefixes)
        except TooManyError as error:
            data = (
                int(error.afi).to_bytes(2, "big")
                + bytes((UNICAST,))
                + error.most.to_bytes(4, "big")
            )
            self._run(
                link, now, link.session.cease(Event.AUTOMATIC_STOP, now, Cease.MAX_PREFIXES, data)
            )

    def _refresh(self, link: Link, asked: Refresh, now: int) -> None:
        """RFC 2918, 7313. Requests that come faster than one a second are answered by one: a flood of them,
        of 23 bytes each, would cost a table each."""
        if asked.safi != UNICAST or asked.afi not in link.session.agreed.families:
            return
        afi = Afi(asked.afi)
        enhanced = link.session.agreed.enhanced_refresh
        if asked.kind == 0:
            due = self.refreshed.get(afi, now - REFRESH_SPACING) + REFRESH_SPACING
            self.refresh_due.setdefault(afi, max(now, due))
            self._give_refreshes(link, now)
        elif asked.kind == 1 and enhanced:
            self.received.refresh_begins(afi)
        elif asked.kind == 2 and enhanced:
            self.received.refresh_ends(afi)

    def _give_refreshes(self, link: Link, now: int) -> None:
        """Whole, between marks where both sides know them."""
        enhanced = link.session.agreed.enhanced_refresh
        for afi in [afi for afi, due in self.refresh_due.items() if due <= now]:
            del self.refresh_due[afi]
            self.refreshed[afi] = now
            if enhanced:
                self._send(link, messages.encode(Refresh(afi, UNICAST, 1)))
            self._announce(
                link, {prefix: each for prefix, each in self.told.items() if prefix.afi == afi}
            )
            if enhanced:
                self._send(link, messages.encode(Refresh(afi, UNICAST, 2)))

    def ask_again(self) -> None:
        """Where an import policy changed: RFC 2918 spares the session."""
        if self.up is not None and self.up.session.agreed.refresh:
            for afi in self.up.session.agreed.families:
                self._send(self.up, messages.encode(Refresh(afi, UNICAST)))

    # What it is told

    def want(self, routes: dict[Prefix, Attributes]) -> None:
        """All that it is to know of us from now on; what changed leaves at once, withdrawals first."""
        self.wanted = routes
        if self.up is not None:
            self._tell(self.up)

    def _tell(self, link: Link) -> None:
        families = link.session.agreed.families
        due: dict[Prefix, Attributes] = {}
        for prefix, attributes in self.wanted.items():
            if prefix.afi in families:
                told = self.rules.told(prefix, attributes)
                if told is not None:
                    due[prefix] = told
        gone = [prefix for prefix in self.told if prefix not in due]
        for afi in FAMILIES:
            if rows := sorted(each for each in gone if each.afi == afi):
                for piece in messages.withdrawals(rows, self._most(link)):
                    self._send(link, piece)
        self._announce(
            link, {prefix: each for prefix, each in due.items() if self.told.get(prefix) != each}
        )
        self.told = due

    def _announce(self, link: Link, routes: dict[Prefix, Attributes]) -> None:
        groups: dict[tuple[Afi, Attributes], list[Prefix]] = {}
        for prefix in sorted(routes):
            groups.setdefault((prefix.afi, routes[prefix]), []).append(prefix)
        session = link.session
        for (_, attributes), prefixes in groups.items():
            for piece in messages.announcements(
                prefixes, attributes, session.agreed.as4, session.internal, self._most(link)
            ):
                self._send(link, piece)

    @staticmethod
    def _most(link: Link) -> int:
        return messages.MAX_EXTENDED_SIZE if link.session.agreed.extended else messages.MAX_SIZE

    def _send(self, link: Link, data: bytes) -> None:
        self.actions.append(Action(Do.SEND, link.number, data))

    # A new file

    def reordered(self, announce: BgpConfig, peer: Peer) -> bool:
        """Takes over what needs no new session; False where one is needed."""
        same = (
            "as_",
            "mode",
            "hold_time",
            "role",
            "strict_role",
            "extended_messages",
            "local_address",
        )
        whole = ("as_", "router_id", "hold_time", "graceful_restart")
        if any(getattr(peer, name) != getattr(self.peer, name) for name in same) or any(
            getattr(announce, name) != getattr(self.announce, name) for name in whole
        ):
            return False
        importing = (self.peer.import_, self.announce.policy, self.announce.prefix_list)
        self.announce, self.peer = announce, peer
        self.rules = Rules(announce, peer)
        self.received.most = peer.max_prefixes
        for each in self._links():
            side = each.session.side
            each.session.side = Side(
                side.asn,
                side.router_id,
                side.peer_as,
                side.hold,
                peer.connect_retry,
                peer.idle_hold,
                peer.delay_open,
                side.passive,
                side.strict_role,
            )
        if importing != (peer.import_, announce.policy, announce.prefix_list):
            self.ask_again()
        return True

    def shown(self, now: int) -> dict[str, object]:
        link = self.up or self.main
        session = link.session
        return {
            "peer": self.name,
            "as": self.peer.as_,
            "state": session.state.name.lower(),
            "up_s": (now - session.up_since) // SECOND if self.up is not None else 0,
            "hold_s": session.hold_time // SECOND if self.up is not None else 0,
            "ups": self.ups,
            "downs": self.downs,
            "messages": link.counts["received"],
            "updates": link.counts["updates"],
            "faults": link.counts["faults"],
            "received": {afi.name.lower(): len(self.received.tries[afi]) for afi in FAMILIES},
            "stale": {afi.name.lower(): self.received.stale(afi) for afi in self.kept_families},
            "end_of_rib": sorted(Afi(each).name.lower() for each in self.told_end),
            "told": [
                {
                    "prefix": str(prefix),
                    "med": each.med,
                    "path": each.path_length,
                    "communities": [f"{one >> 16}:{one & 0xFFFF}" for one in each.communities],
                }
                for prefix, each in sorted(self.told.items(), key=lambda item: item[0])
            ],
            "last_end": self.last_end.reason if self.last_end is not None else "",
        }


def notification_of(code: int, subcode: int) -> bytes:
    """For a connection that no peer of ours opened."""
    return messages.encode(Notification(code, subcode))
