"""A stand-in BGP router, whose faults `RouterBehaviour` sets.

The router accepts sessions, stores the announced routes and records each received message. The
record contains the time and the node's state at that time, which the `get_state` callback returns.
"""

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

WAIT_TIMEOUT = 10.0  # seconds; only a failing test reaches it


@dataclass
class RouterBehaviour:
    """The router's settings and faults; by default the router has no faults."""

    asn: int = 65_020
    router_id: str = "127.0.0.20"
    hold_time: int = 9  # seconds
    capabilities: Capabilities | None = None  # None: the defaults of `offered_capabilities`
    graceful_restart: GracefulRestart | None = None
    sends_keepalives: bool = True  # False: no session is ever established
    sends_open: bool = True  # whether the router sends its OPEN message
    reads_when_established: bool = True  # False: reads nothing from established sessions
    byte_interval: float = 0.0  # seconds between two sent bytes; 0: each message is sent at once
    # raw bytes that the router sends when a session is established
    initial_messages: list[bytes] = field(default_factory=list)
    connections_to_reject: int = 0  # number of further connections that are closed when accepted
    # closes a session on which nothing arrived for the hold time, as a real router does
    enforces_hold_time: bool = False
    # retains the routes of a lost session until End-of-RIB arrives on a later session
    keeps_stale_routes: bool = False

    def offered_capabilities(self) -> Capabilities:
        """The capabilities in the router's OPEN message."""
        if self.capabilities is not None:
            return self.capabilities
        return Capabilities(
            families=((1, 1), (2, 1)),
            as4=self.asn,
            refresh=True,
            enhanced_refresh=True,
            extended=True,
            restart=self.graceful_restart,
        )


@dataclass(frozen=True)
class RouterEvent:
    """A received message, or a change of a session; `kind` names it.

    Messages: open, keepalive, notification, refresh, announced, withdrawn, end_of_rib. Changes:
    accepted, opened here, up, broken (a socket or protocol error), lost.
    """

    at: float  # seconds, monotonic clock
    session_number: int  # counted from 1 in the order of the connections
    kind: str
    message: object  # the decoded message, the text of an error, or None
    state: str  # the node's state at that time, from the `get_state` callback


def encode_announcements(
    count: int, asn: int, first_address: int = 0x14000000, prefix_length: int = 32
) -> list[bytes]:
    """Encodes UPDATEs that announce `count` consecutive IPv4 prefixes from `first_address` on.

    `asn` is the only AS number of their AS path.
    """
    step = 1 << (32 - prefix_length)
    prefixes = [
        Prefix(Afi.IPV4, first_address + index * step, prefix_length) for index in range(count)
    ]
    attributes = Attributes(as_path=((SEQUENCE, (asn,)),), next_hop=bytes((127, 0, 0, 20)))
    return list(messages.announcements(prefixes, attributes, True, False))


class BgpRouter:
    """Listens on a free port; `address` contains the host and this port."""

    def __init__(
        self,
        behaviour: RouterBehaviour | None = None,
        host: str = "127.0.0.1",
        get_state: Callable[[], str] = lambda: "",
    ) -> None:
        self.behaviour, self.get_state = behaviour or RouterBehaviour(), get_state
        self.events: list[RouterEvent] = []
        self.routes: dict[Prefix, Attributes] = {}  # announced and not withdrawn
        self.stale_prefixes: set[Prefix] = set()  # routes retained from a lost session
        self.changed = threading.Condition()
        self.session_count = 0  # connections accepted or opened so far
        self.ended = False
        self.connections: list[socket.socket] = []
        self.listener = socket.create_server((host, 0))
        self.address = self.listener.getsockname()[:2]
        threading.Thread(target=self._accept, daemon=True).start()

    # Methods for tests: queries and waits

    def wait(self, condition: Callable[[], object], description: str = "") -> object:
        """Waits until `condition` returns a true value; returns that value.

        Raises AssertionError, with `description`, after WAIT_TIMEOUT.
        """
        with self.changed:
            assert self.changed.wait_for(condition, WAIT_TIMEOUT), (
                f"timed out waiting for {description or 'a condition'} after {WAIT_TIMEOUT:g} s; "
                f"last events: {self.recent_events()}"
            )
            return condition()

    def recent_events(self) -> list[str]:
        """The last 20 events as `SESSION:KIND`."""
        return [f"{event.session_number}:{event.kind}" for event in self.events][-20:]

    def count(self, kind: str) -> int:
        """The number of events of this kind so far."""
        return sum(event.kind == kind for event in self.events)

    def wait_count(self, kind: str, count: int = 1) -> RouterEvent:
        """Waits until `count` events of this kind are recorded; returns the last of these."""
        self.wait(lambda: self.count(kind) >= count, f"{count} events of kind {kind}")
        return [event for event in self.events if event.kind == kind][count - 1]

    def wait_for_routes(self, *prefixes: str) -> None:
        """Waits until the announced routes are exactly these prefixes."""
        expected = {Prefix.of(prefix) for prefix in prefixes}
        self.wait(lambda: set(self.routes) == expected, f"routes are exactly {prefixes}")

    # Methods for tests: actions

    def send(self, data: bytes) -> None:
        """Sends raw bytes on the newest connection."""
        self.connections[-1].sendall(data)

    def drop(self, reset: bool = True) -> None:
        """Closes the newest connection, with a reset unless `reset` is false."""
        shut_down_socket(self.connections[-1], reset)

    def connect(self, address: tuple[str, int]) -> None:
        """Connects to a BGP speaker and serves a session on the connection."""
        sock = socket.socket()
        sock.bind((self.address[0], 0))
        sock.settimeout(WAIT_TIMEOUT)
        sock.connect(address)
        sock.settimeout(None)
        threading.Thread(target=self._serve, args=(sock, "opened here"), daemon=True).start()

    def end(self) -> None:
        """Closes the listener and all connections."""
        self.ended = True
        for sock in [self.listener, *self.connections]:
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

    def _record(self, session_number: int, kind: str, message: object = None) -> None:
        with self.changed:
            self.events.append(
                RouterEvent(time.monotonic(), session_number, kind, message, self.get_state())
            )
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
            self.session_count += 1
            session_number = self.session_count
            self.connections.append(sock)
        self._record(session_number, origin)
        behaviour = self.behaviour
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if behaviour.enforces_hold_time:
                sock.settimeout(behaviour.hold_time)
            if behaviour.sends_open:
                capabilities = behaviour.offered_capabilities()
                self._send(
                    sock,
                    messages.encode(
                        Open(behaviour.asn, behaviour.hold_time, behaviour.router_id, capabilities)
                    ),
                )
            self._read(sock, session_number)
        except (OSError, BgpError) as error:
            self._record(session_number, "broken", str(error))
        finally:
            self._session_ended(session_number)
            sock.close()

    def _read(self, sock: socket.socket, session_number: int) -> None:
        behaviour, stream, negotiated, established = (
            self.behaviour,
            Stream(messages.MAX_EXTENDED_SIZE),
            NegotiatedCapabilities(),
            False,
        )
        while chunk := sock.recv(65_536):
            for kind, body in stream.feed(chunk):
                message = messages.decode(kind, body, negotiated)
                if isinstance(message, Open):
                    negotiated = NegotiatedCapabilities.between(
                        behaviour.offered_capabilities(), message.capabilities
                    )
                    self._record(session_number, "open", message)
                    if behaviour.sends_keepalives:
                        self._send(sock, messages.encode(Keepalive()))
                elif isinstance(message, Keepalive):
                    self._record(session_number, "keepalive")
                    if not established:
                        established = True
                        self._record(session_number, "up")
                        for data in behaviour.initial_messages:
                            self._send(sock, data)
                        if not behaviour.reads_when_established:
                            with self.changed:
                                self.changed.wait_for(lambda: self.ended)
                            return
                    elif behaviour.sends_keepalives:
                        self._send(sock, messages.encode(Keepalive()))
                elif isinstance(message, Update):
                    self._update(session_number, message)
                elif isinstance(message, Notification):
                    self._record(session_number, "notification", message)
                else:
                    self._record(session_number, "refresh", message)

    def _update(self, session_number: int, update: Update) -> None:
        with self.changed:
            for prefix in update.withdrawn:
                self.routes.pop(prefix, None)
            for attributes, prefixes in update.reachable:
                for prefix in prefixes:
                    self.routes[prefix] = attributes
                    self.stale_prefixes.discard(prefix)
            if update.end_of_rib is not None:
                for prefix in [
                    prefix for prefix in self.stale_prefixes if prefix.afi == update.end_of_rib
                ]:
                    self.stale_prefixes.discard(prefix)
                    self.routes.pop(prefix, None)
        if update.end_of_rib is not None:
            self._record(session_number, "end_of_rib", update)
        elif update.reachable:
            self._record(session_number, "announced", update)
        else:
            self._record(session_number, "withdrawn", update)

    def _session_ended(self, session_number: int) -> None:
        with self.changed:
            if session_number == self.session_count:
                if self.behaviour.keeps_stale_routes:
                    self.stale_prefixes |= set(self.routes)
                else:
                    self.routes.clear()
        self._record(session_number, "lost")
