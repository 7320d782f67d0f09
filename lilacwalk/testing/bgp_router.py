"""A stand-in BGP router. It accepts sessions, holds the announced routes and records each message with the
time and with the node's state at that time, which the `state` callback returns. `RouterBehaviour` sets its faults."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from lilacwalk.bgp import messages
from lilacwalk.bgp.attributes import SEQUENCE, Attributes
from lilacwalk.bgp.capabilities import Capabilities, GracefulRestart, NegotiatedCapabilities
from lilacwalk.bgp.errors import BgpError
from lilacwalk.bgp.messages import Keepalive, Notification, Open, Stream, Update
from lilacwalk.bgp.prefixes import Afi, Prefix
from lilacwalk.protocols.send_buffer import shut_down_socket

WAIT_TIMEOUT = 10.0  # seconds; only a failing test waits that long


@dataclass
class RouterBehaviour:
    """The router's settings and faults; by default it has no faults."""

    asn: int = 65_020
    router_id: str = "127.0.0.20"
    hold: int = 9  # hold time in seconds
    capabilities: Capabilities | None = None  # None: the defaults of `offered_capabilities`
    restart: GracefulRestart | None = None
    keepalives: bool = True  # False: sends no KEEPALIVE, so the session is never established
    sends_open: bool = True
    reads: bool = True  # False: stops reading once the session is established
    byte_interval: float = 0.0  # seconds between bytes; 0: sends each message whole
    # raw bytes to send when the session is established
    sends: list[bytes] = field(default_factory=list)
    connections_to_reject: int = 0  # closes the first connections at once
    # ends a session that has sent nothing for the hold time, as a real router does
    enforces_hold_time: bool = False
    keep_stale: bool = False  # keeps the routes of a lost session until the next End-of-RIB

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
    """A received message, or a change of a session such as `up` or `lost`."""

    at: float  # seconds, monotonic clock
    session: int
    what: str
    message: object
    state: str  # the node's state at that time, from the `state` callback


def table(count: int, asn: int, at: int = 0x14000000, length: int = 32) -> list[bytes]:
    """Encodes UPDATEs that announce `count` distinct IPv4 prefixes from `at` on."""
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
        self.held: dict[Prefix, Attributes] = {}  # the routes announced now
        self.stale: set[Prefix] = set()
        self.changed = threading.Condition()
        self.sessions = 0
        self.ended = False
        self.socks: list[socket.socket] = []
        self.listener = socket.create_server((host, 0))
        self.address = self.listener.getsockname()[:2]
        threading.Thread(target=self._accept, daemon=True).start()

    # Methods for tests: queries and waits

    def wait(self, ready: Callable[[], object], what: str = "") -> object:
        with self.changed:
            assert self.changed.wait_for(
                ready, WAIT_TIMEOUT
            ), f"no {what or 'result'} within {WAIT_TIMEOUT:g} s; last events: {self.recent_events()}"
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

    # Methods for tests: actions

    def send(self, data: bytes) -> None:
        self.socks[-1].sendall(data)

    def drop(self, reset: bool = True) -> None:
        """Breaks the newest session's connection, with a reset unless `reset` is false."""
        shut_down_socket(self.socks[-1], reset)

    def connect(self, address: tuple[str, int]) -> None:
        """Connects to a speaker and opens a session there."""
        sock = socket.socket()
        sock.bind((self.address[0], 0))
        sock.settimeout(WAIT_TIMEOUT)
        sock.connect(address)
        sock.settimeout(None)
        threading.Thread(target=self._serve, args=(sock, "opened here"), daemon=True).start()

    def end(self) -> None:
        self.ended = True
        for sock in [self.listener, *self.socks]:
            shut_down_socket(sock)
            sock.close()

    # Threads

    def _accept(self) -> None:
        while not self.ended:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            if self.behaviour.connections_to_reject:
                self.behaviour.connections_to_reject -= 1
                sock.close()
                continue
            threading.Thread(target=self._serve, args=(sock, "accepted"), daemon=True).start()

    def _record(self, session: int, what: str, message: object = None) -> None:
        with self.changed:
            self.events.append(RouterEvent(time.monotonic(), session, what, message, self.state()))
            self.changed.notify_all()

    def _send(self, sock: socket.socket, data: bytes) -> None:
        if not self.behaviour.byte_interval:
            sock.sendall(data)
            return
        for byte in data:
            sock.sendall(bytes((byte,)))
            time.sleep(self.behaviour.byte_interval)

    def _serve(self, sock: socket.socket, origin: str) -> None:
        with self.changed:
            self.sessions += 1
            session = self.sessions
            self.socks.append(sock)
        self._record(session, origin)
        behaviour = self.behaviour
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if behaviour.enforces_hold_time:
                sock.settimeout(behaviour.hold)
            if behaviour.sends_open:
                capabilities = behaviour.offered_capabilities()
                self._send(
                    sock,
                    messages.encode(
                        Open(behaviour.asn, behaviour.hold, behaviour.router_id, capabilities)
                    ),
                )
            self._read(sock, session)
        except (OSError, BgpError) as error:
            self._record(session, "broken", str(error))
        finally:
            self._session_ended(session)
            sock.close()

    def _read(self, sock: socket.socket, session: int) -> None:
        behaviour, stream, agreed, up = (
            self.behaviour,
            Stream(messages.MAX_EXTENDED_SIZE),
            NegotiatedCapabilities(),
            False,
        )
        while chunk := sock.recv(65_536):
            for kind, body in stream.feed(chunk):
                message = messages.decode(kind, body, agreed)
                if isinstance(message, Open):
                    agreed = NegotiatedCapabilities.between(
                        behaviour.offered_capabilities(), message.capabilities
                    )
                    self._record(session, "open", message)
                    if behaviour.keepalives:
                        self._send(sock, messages.encode(Keepalive()))
                elif isinstance(message, Keepalive):
                    self._record(session, "keepalive")
                    if not up:
                        up = True
                        self._record(session, "up")
                        for data in behaviour.sends:
                            self._send(sock, data)
                        if not behaviour.reads:
                            with self.changed:
                                self.changed.wait_for(lambda: self.ended)
                            return
                    elif behaviour.keepalives:
                        self._send(sock, messages.encode(Keepalive()))
                elif isinstance(message, Update):
                    self._update(session, message)
                elif isinstance(message, Notification):
                    self._record(session, "notification", message)
                else:
                    self._record(session, "refresh", message)

    def _update(self, session: int, update: Update) -> None:
        with self.changed:
            for prefix in update.withdrawn:
                self.held.pop(prefix, None)
            for attributes, prefixes in update.reachable:
                for prefix in prefixes:
                    self.held[prefix] = attributes
                    self.stale.discard(prefix)
            if update.end_of_rib is not None:
                for prefix in [each for each in self.stale if each.afi == update.end_of_rib]:
                    self.stale.discard(prefix)
                    self.held.pop(prefix, None)
        if update.end_of_rib is not None:
            self._record(session, "end_of_rib", update)
        elif update.reachable:
            self._record(session, "announced", update)
        else:
            self._record(session, "withdrawn", update)

    def _session_ended(self, session: int) -> None:
        with self.changed:
            if session == self.sessions:
                if self.behaviour.keep_stale:
                    self.stale |= set(self.held)
                else:
                    self.held.clear()
        self._record(session, "lost")
