"""A switch for datagrams between fleet members, with fault injection.

Each member advertises the address of its port on the switch. The switch forwards a datagram that
arrives at this port to the address at which the member listens, or loses, delays or duplicates the
datagram according to the current faults. The source address of a datagram identifies its sender.
"""

from __future__ import annotations

import heapq
import random
import selectors
import socket
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from itertools import count

READ_BYTES = 65_536


@dataclass(slots=True)
class Faults:
    """Faults of one direction between two members, or of all datagrams to and from one member.

    `cut` loses all datagrams. `loss` and `duplication` are probabilities per datagram, `delay` and
    `jitter` are in seconds; the actual delay is between `delay` and `delay + jitter`.
    """

    cut: bool = False
    loss: float = 0.0
    delay: float = 0.0
    jitter: float = 0.0
    duplication: float = 0.0


@dataclass(eq=False, slots=True)
class Port:
    """A member's port on the switch."""

    name: str  # the member's name
    sock: socket.socket  # receives the datagrams that the other members send to this one
    listen_address: tuple[str, int]  # the address at which the member itself listens
    sent_datagrams: int = 0  # sent by the member to other members
    sent_bytes: int = 0
    faults: Faults = field(default_factory=Faults)  # of all datagrams from and to the member


class TcpForwarder:
    """Forwards one member's TCP connections to one peer, such as a BGP router.

    While the link is cut, connections stay open and no data passes, as when a real link breaks.
    Data in transit is delivered once the link is restored.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.connected = threading.Event()  # clear while the link is cut
        self.connected.set()
        self.ended = False
        self.socks: list[socket.socket] = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = self.listener.getsockname()
        threading.Thread(target=self._accept, name="switch-stream", daemon=True).start()

    def cut(self, cut: bool = True) -> None:
        """Cuts the link, or restores it if `cut` is false."""
        if cut:
            self.connected.clear()
        else:
            self.connected.set()

    def end(self) -> None:
        """Closes the listener and all connections."""
        self.ended = True
        self.connected.set()
        for sock in [self.listener, *self.socks]:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            sock.close()

    def _accept(self) -> None:
        while not self.ended:
            try:
                sock, _ = self.listener.accept()
                self.connected.wait()  # the peer sees a connection only once the link is up
                target_sock = socket.create_connection(self.target, 2.0)
            except OSError:
                if self.ended:
                    return
                continue
            target_sock.settimeout(None)
            self.socks += [sock, target_sock]
            for source, destination in ((sock, target_sock), (target_sock, sock)):
                threading.Thread(target=self._copy, args=(source, destination), daemon=True).start()

    def _copy(self, source: socket.socket, destination: socket.socket) -> None:
        try:
            while data := source.recv(READ_BYTES):
                self.connected.wait()
                destination.sendall(data)
        except OSError:
            pass
        self.connected.wait()  # like data, a close is delivered only while the link is up
        for sock in (source, destination):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Switch:
    """Forwards the datagrams of all members in one thread; `seed` determines the random draws."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.ports: dict[str, Port] = {}
        self.by_listen_address: dict[tuple[str, int], Port] = {}
        self.link_faults: dict[tuple[str, str], Faults] = {}
        self.selector = selectors.DefaultSelector()
        self.lock = threading.Lock()
        # heap of (delivery time, sequence number, destination port, datagram)
        self.delayed: list[tuple] = []
        self.sequence_numbers = count()  # keep the heap order of equal delivery times
        self.counts: Counter[str] = Counter()  # datagrams by what the switch did with them
        self.wake_sender, self.wake_receiver = socket.socketpair()
        self.selector.register(self.wake_receiver, selectors.EVENT_READ, None)
        self.ended = False
        threading.Thread(target=self._run, name="switch", daemon=True).start()

    def add(self, name: str, listen_address: tuple[str, int]) -> tuple[str, int]:
        """Adds a member; returns the address of its port, which the member advertises.

        `listen_address` is the address at which the member listens and from which it sends.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_194_304)
        sock.bind(("127.0.0.1", 0))
        sock.setblocking(False)
        port = Port(name, sock, listen_address)
        with self.lock:
            self.ports[name], self.by_listen_address[listen_address] = port, port
        self.selector.register(sock, selectors.EVENT_READ, port)
        self.wake_sender.send(b".")
        return sock.getsockname()

    def faults(self, sender: str, receiver: str) -> Faults:
        """The faults of datagrams from `sender` to `receiver`; the caller may change them."""
        with self.lock:
            return self.link_faults.setdefault((sender, receiver), Faults())

    def heal(self) -> None:
        """Removes all faults."""
        with self.lock:
            self.link_faults.clear()
            for port in self.ports.values():
                port.faults = Faults()

    def end(self) -> None:
        """Stops the thread, which closes all ports."""
        self.ended = True
        self.wake_sender.send(b".")

    def _run(self) -> None:
        while not self.ended:
            wait = max(0.0, self.delayed[0][0] - time.monotonic()) if self.delayed else None
            for key, _ in self.selector.select(wait):
                if key.data is None:
                    self.wake_receiver.recv(64)
                else:
                    self._read(key.data)
            now = time.monotonic()
            while self.delayed and self.delayed[0][0] <= now:
                _, _, port, data = heapq.heappop(self.delayed)
                self._deliver(port, data)
        for port in self.ports.values():
            port.sock.close()
        for resource in (self.wake_sender, self.wake_receiver, self.selector):
            resource.close()

    def _read(self, port: Port) -> None:
        for _ in range(64):
            try:
                data, source = port.sock.recvfrom(READ_BYTES)
            except OSError:
                return
            sender = self.by_listen_address.get(source)
            if sender is None:
                self.counts["stranger"] += 1  # not a member: a test sent it, and no fault applies
                self._deliver(port, data)
                continue
            sender.sent_datagrams += 1
            sender.sent_bytes += len(data)
            self._forward(sender, port, data)

    def _forward(self, sender: Port, port: Port, data: bytes) -> None:
        rng, link_faults = self.rng, self.link_faults.get((sender.name, port.name))
        all_faults = [
            sender.faults,
            port.faults,
            *([link_faults] if link_faults is not None else []),
        ]
        lost = any(rng.random() < faults.loss for faults in all_faults if faults.loss)
        if lost or any(faults.cut for faults in all_faults):
            self.counts["lost"] += 1
            return
        copies = 1 + any(
            rng.random() < faults.duplication for faults in all_faults if faults.duplication
        )
        for _ in range(copies):
            delay = sum(faults.delay + rng.uniform(0, faults.jitter) for faults in all_faults)
            if delay:
                heapq.heappush(
                    self.delayed,
                    (time.monotonic() + delay, next(self.sequence_numbers), port, data),
                )
            else:
                self._deliver(port, data)

    def _deliver(self, port: Port, data: bytes) -> None:
        self.counts["carried"] += 1
        try:
            port.sock.sendto(data, port.listen_address)
        except OSError:
            self.counts["undelivered"] += 1
