"""A switch for datagrams between fleet members, with faults. Each member advertises its port on the switch.
The switch forwards a datagram from that port to the address where the member listens, or loses, delays or
duplicates it, as the current faults require. The source address identifies the sender."""

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

    `delay` and `jitter` are in seconds, `loss` and `double` are probabilities per datagram.
    """

    cut: bool = False
    loss: float = 0.0
    delay: float = 0.0
    jitter: float = 0.0
    double: float = 0.0


@dataclass(eq=False, slots=True)
class Port:
    name: str
    near: socket.socket  # receives the datagrams of the other members
    listen_address: tuple[str, int]  # the address at which the member itself listens
    sent: int = 0
    sent_bytes: int = 0
    faults: Faults = field(default_factory=Faults)  # faults of all datagrams from and to the member


class Stream:
    """Forwards one member's TCP connections to one peer, such as a BGP router.

    While the link is cut, connections stay open and no data passes, as when a real link breaks. Data in
    transit is delivered after the cut.
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
        if cut:
            self.connected.clear()
        else:
            self.connected.set()

    def end(self) -> None:
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
                near, _ = self.listener.accept()
                self.connected.wait()  # a connection begun during a cut opens after it
                far = socket.create_connection(self.target, 2.0)
            except OSError:
                if self.ended:
                    return
                continue
            far.settimeout(None)
            self.socks += [near, far]
            for one, other in ((near, far), (far, near)):
                threading.Thread(target=self._copy, args=(one, other), daemon=True).start()

    def _copy(self, one: socket.socket, other: socket.socket) -> None:
        try:
            while data := one.recv(READ_BYTES):
                self.connected.wait()
                other.sendall(data)
        except OSError:
            pass
        self.connected.wait()  # a close is delivered only after the cut, like data
        for sock in (one, other):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Switch:
    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.ports: dict[str, Port] = {}
        self.by_listen_address: dict[tuple[str, int], Port] = {}
        self.link_faults: dict[tuple[str, str], Faults] = {}
        self.selector = selectors.DefaultSelector()
        self.lock = threading.Lock()
        self.due: list[tuple] = []
        self.order = count()
        self.counts: Counter[str] = Counter()
        self.wake_in, self.wake_out = socket.socketpair()
        self.selector.register(self.wake_out, selectors.EVENT_READ, None)
        self.ended = False
        threading.Thread(target=self._run, name="switch", daemon=True).start()

    def add(self, name: str, listen_address: tuple[str, int]) -> tuple[str, int]:
        """Adds a member; returns the address at which the others reach it."""
        near = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        near.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_194_304)
        near.bind(("127.0.0.1", 0))
        near.setblocking(False)
        port = Port(name, near, listen_address)
        with self.lock:
            self.ports[name], self.by_listen_address[listen_address] = port, port
        self.selector.register(near, selectors.EVENT_READ, port)
        self.wake_in.send(b".")
        return near.getsockname()

    def faults(self, one: str, other: str) -> Faults:
        """The faults of datagrams from `one` to `other`."""
        with self.lock:
            return self.link_faults.setdefault((one, other), Faults())

    def heal(self) -> None:
        with self.lock:
            self.link_faults.clear()
            for port in self.ports.values():
                port.faults = Faults()

    def end(self) -> None:
        self.ended = True
        self.wake_in.send(b".")

    def _run(self) -> None:
        while not self.ended:
            wait = max(0.0, self.due[0][0] - time.monotonic()) if self.due else None
            for key, _ in self.selector.select(wait):
                if key.data is None:
                    self.wake_out.recv(64)
                else:
                    self._read(key.data)
            now = time.monotonic()
            while self.due and self.due[0][0] <= now:
                _, _, port, data = heapq.heappop(self.due)
                self._deliver(port, data)
        for port in self.ports.values():
            port.near.close()
        for each in (self.wake_in, self.wake_out, self.selector):
            each.close()

    def _read(self, port: Port) -> None:
        for _ in range(64):
            try:
                data, source = port.near.recvfrom(READ_BYTES)
            except OSError:
                return
            sender = self.by_listen_address.get(source)
            if sender is None:
                self.counts["stranger"] += 1  # not a member: sent by a test, forwarded unchanged
                self._deliver(port, data)
                continue
            sender.sent += 1
            sender.sent_bytes += len(data)
            self._forward(sender, port, data)

    def _forward(self, sender: Port, port: Port, data: bytes) -> None:
        rng, link_faults = self.rng, self.link_faults.get((sender.name, port.name))
        each = [sender.faults, port.faults, *([link_faults] if link_faults is not None else [])]
        lost = any(rng.random() < faults.loss for faults in each if faults.loss)
        if lost or any(faults.cut for faults in each):
            self.counts["lost"] += 1
            return
        copies = 1 + any(rng.random() < faults.double for faults in each if faults.double)
        for _ in range(copies):
            delay = sum(faults.delay + rng.uniform(0, faults.jitter) for faults in each)
            if delay:
                heapq.heappush(self.due, (time.monotonic() + delay, next(self.order), port, data))
            else:
                self._deliver(port, data)

    def _deliver(self, port: Port, data: bytes) -> None:
        self.counts["carried"] += 1
        try:
            port.near.sendto(data, port.listen_address)
        except OSError:
            self.counts["undelivered"] += 1
