"""A router that listens for speakers, holds what they announce, and records every message against the time
and against what its owner says the node's state was. Its faults are scripted: each is a field of `RouterBehaviour`."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from lilacwalk.bgp import messages
from lilacwalk.bgp.attributes import SEQUENCE, Attributes
from lilacwalk.bgp.capabilities import Agreed, Capabilities, GracefulRestart
from lilacwalk.bgp.errors import BgpError
from lilacwalk.bgp.messages import Keepalive, Notification, Open, Stream, Update
from lilacwalk.bgp.prefixes import Afi, Prefix
from lilacwalk.protocols.send_buffer import shut_down_socket

WAIT_TIMEOUT = (
    10.0  # seconds until a wait for what never comes is given up: a failure, never a wait
)


@dataclass
class RouterBehaviour:
    asn: int = 65_020
    router_id: str = "127.0.0.20"
    hold: int = 9
    capabilities: Capabilities | None = None  # None: all that a good router knows
    restart: GracefulRestart | None = None
    keepalives: bool = True  # False: none after the OPEN, so the session never comes up
    sends_open: bool = True
    reads: bool = True  # False: stops after the session is up
    byte_interval: float = 0.0  # seconds between single bytes of all that it sends
    sends: list[bytes] = field(default_factory=list)  # raw, once the session is up
    connections_to_reject: int = 0  # connections closed at once, before it behaves
    enforces_hold_time: bool = (
        False  # ends a session that says nothing for its hold time, as a real router does
    )
    keep_stale: bool = False  # what a lost session announced stays until its End-of-RIB

    def offered_capabilities(self) -> Capabilities:
        if self.capabilities is not None:
            return self.capabilities
        return Capabilities(
            families=((1, 1), (2, 1)),
            as4=self.asn,
            refresh=True,
            enhanced_refresh=True,
            extended=True,
            restart=self.restart,
        )


@dataclass(frozen=True)
class RouterEvent:
    """One message, or a session's `up` and `lost`."""

    at: float  # seconds, monotonic
    session: int
    what: str
    message: object
    state: str  # the node's, as the owner said it last


def table(count: int, asn: int, at: int = 0x14000000, length: int = 32) -> list[bytes]:
    """UPDATEs of so many distinct IPv4 prefixes."""
    step = 1 << (32 - length)
    rows = [Prefix(Afi.IPV4, at + each * step, length) for each in range(count)]
    attributes = Attributes(as_path=((SEQUENCE, (asn,)),), next_hop=bytes((127, 0, 0, 20)))
    return list(messages.announcements(rows, attributes, True, False))


class BgpRouter:
    def __init__(
        self,
        behaviour: RouterBehaviour | None = None,
        host: str = "127.0.0.1",
        state: Callable[[], str] = lambda: "",
    ) -> None:
        self.behaviour, self.state = behaviour or RouterBehaviour(), state
        self.events: list[RouterEvent] = []
        self.held: dict[Prefix, Attributes] = {}  # what stands here now
        self.stale: set[Prefix] = set()
        self.changed = threading.Condition()
        self.sessions = 0
        self.over = False
        self.socks: list[socket.socket] = []
        self.listener = socket.create_server((host, 0))
        self.address = self.listener.getsockname()[:2]
        threading.Thread(target=self._accept, daemon=True).start()

    # What tests ask

    def wait(self, ready: Callable[[], object], what: str = "") -> object:
        with self.changed:
            assert self.changed.wait_for(
                ready, WAIT_TIMEOUT
            ), f"{what or 'it'} did not come: {self.recent_events()}"
            return ready()

    def recent_events(self) -> list[str]:
        return [f"{each.session}:{each.what}" for each in self.events][-20:]

    def count(self, what: str) -> int:
        return sum(each.what == what for each in self.events)

    def wait_count(self, what: str, count: int = 1) -> RouterEvent:
        self.wait(lambda: self.count(what) >= count, f"{what} {count}")
        return [each for each in self.events if each.what == what][count - 1]

    def wait_held(self, *prefixes: str) -> None:
        wanted = {Prefix.of(each) for each in prefixes}
        self.wait(lambda: set(self.held) == wanted, f"{prefixes} held")

    # What tests do to it

    def send(self, data: bytes) -> None:
        self.socks[-1].sendall(data)

    def drop(self, reset: bool = True) -> None:
        """Ends the session as a broken link would."""
        shut_down_socket(self.socks[-1], reset)

    def connect(self, address: tuple[str, int]) -> None:
        """Opens a session from its own side."""
        sock = socket.socket()
        sock.bind((self.address[0], 0))
        sock.settimeout(WAIT_TIMEOUT)
        sock.connect(address)
        sock.settimeout(None)
        threading.Thread(target=self._serve, args=(sock, "opened here"), daemon=True).start()

    def end(self) -> None:
        self.over = True
        for sock in [self.listener, *self.socks]:
            shut_down_socket(sock)
            sock.close()

    # Its own threads

    def _accept(self) -> None:
        while not self.over:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            if self.behaviour.connections_to_reject:
                self.behaviour.connections_to_reject -= 1
                sock.close()
                continue
            threading.Thread(target=self._serve, args=(sock, "accepted"), daemon=True).start()

    def _note(self, session: int, what: str, message: object = None) -> None:
        with self.changed:
            self.events.append(RouterEvent(time.monotonic(), session, what, message, self.state()))
            self.changed.notify_all()

    def _say(self, sock: socket.socket, data: bytes) -> None:
        if not self.behaviour.byte_interval:
            sock.sendall(data)
            return
        for byte in data:
            sock.sendall(bytes((byte,)))
            time.sleep(self.behaviour.byte_interval)

    def _serve(self, sock: socket.socket, how: str) -> None:
        with self.changed:
            self.sessions += 1
            session = self.sessions
            self.socks.append(sock)
        self._note(session, how)
        behaviour = self.behaviour
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if behaviour.enforces_hold_time:
                sock.settimeout(behaviour.hold)
            if behaviour.sends_open:
                able = behaviour.offered_capabilities()
                self._say(
                    sock,
                    messages.encode(Open(behaviour.asn, behaviour.hold, behaviour.router_id, able)),
                )
            self._read(sock, session)
        except (OSError, BgpError) as error:
            self._note(session, "broken", str(error))
        finally:
            self._ended(session)
            sock.close()

    def _read(self, sock: socket.socket, session: int) -> None:
        behaviour, stream, agreed, up = self.behaviour, Stream(messages.EXTENDED), Agreed(), False
        while chunk := sock.recv(65_536):
            for kind, body in stream.feed(chunk):
                message = messages.decode(kind, body, agreed)
                if isinstance(message, Open):
                    agreed = Agreed.between(behaviour.offered_capabilities(), message.capabilities)
                    self._note(session, "open", message)
                    if behaviour.keepalives:
                        self._say(sock, messages.encode(Keepalive()))
                elif isinstance(message, Keepalive):
                    self._note(session, "keepalive")
                    if not up:
                        up = True
                        self._note(session, "up")
                        for data in behaviour.sends:
                            self._say(sock, data)
                        if not behaviour.reads:
                            with self.changed:
                                self.changed.wait_for(lambda: self.over)
                            return
                    elif behaviour.keepalives:
                        self._say(sock, messages.encode(Keepalive()))
                elif isinstance(message, Update):
                    self._update(session, message)
                elif isinstance(message, Notification):
                    self._note(session, "notification", message)
                else:
                    self._note(session, "refresh", message)

    def _update(self, session: int, update: Update) -> None:
        with self.changed:
            for prefix in update.withdrawn:
                self.held.pop(prefix, None)
            for attributes, prefixes in update.reached:
                for prefix in prefixes:
                    self.held[prefix] = attributes
                    self.stale.discard(prefix)
            if update.end_of_rib is not None:
                for prefix in [each for each in self.stale if each.afi == update.end_of_rib]:
                    self.stale.discard(prefix)
                    self.held.pop(prefix, None)
        if update.end_of_rib is not None:
            self._note(session, "end_of_rib", update)
        elif update.reached:
            self._note(session, "announced", update)
        else:
            self._note(session, "withdrawn", update)

    def _ended(self, session: int) -> None:
        with self.changed:
            if session == self.sessions:
                if self.behaviour.keep_stale:
                    self.stale |= set(self.held)
                else:
                    self.held.clear()
        self._note(session, "lost")
