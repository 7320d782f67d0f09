"""Proxies that imitate a bad link between a device and the edge: delay, limited bandwidth, stalls of seconds
and resets, all drawn from a seed.

Packet loss appears to a TCP application as a stall followed by a burst, so the TCP proxy imitates loss by stalls.
A Gilbert-Elliott model with a good and a bad state decides when data is stalled, or a datagram lost: only in the bad
state.
"""

from __future__ import annotations

import heapq
import random
import socket
import threading
import time
from dataclasses import dataclass
from itertools import count

from lilacwalk.protocols.send_buffer import shut_down_socket


@dataclass(frozen=True)
class LinkConditions:
    """Times in seconds, rates in bytes per second; probabilities are per chunk of data or per datagram."""

    delay: float = 0.05
    jitter: float = 0.02
    rate: float = 20_000.0
    to_bad: float = 0.02  # probability of the change from the good state to the bad one
    to_good: float = 0.5  # probability of the change from the bad state to the good one
    stall: tuple[float, float] = (0.5, 2.0)  # range of the stall of a chunk in the bad state
    reset: float = 0.0  # probability of a reset of the connection


class Proxy:
    """Forwards TCP connections over a bad link."""

    def __init__(self, to: tuple[str, int], conditions: LinkConditions, seed: int) -> None:
        self.to, self.conditions, self.rng = to, conditions, random.Random(seed)
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
        self.address = self.listener.getsockname()
        self.pairs: list[tuple[socket.socket, socket.socket]] = []
        self.stalled_until = 0.0
        self.order = count()
        self.due: list[tuple] = []
        self.lock = threading.Condition()
        self.ended = False
        self.stalls = self.resets = self.bytes = 0
        for target in (self._accept, self._deliver):
            threading.Thread(target=target, daemon=True).start()

    def stall(self, seconds: float) -> None:
        """Delivers nothing on any connection for `seconds` from now."""
        with self.lock:
            self.stalled_until = time.monotonic() + seconds

    def reset_all(self) -> None:
        with self.lock:
            pairs, self.pairs = self.pairs, []
        for pair in pairs:
            self._reset(pair)

    def end(self) -> None:
        with self.lock:
            self.ended = True
            self.lock.notify_all()
        self.listener.close()
        self.reset_all()

    def _reset(self, pair: tuple[socket.socket, socket.socket]) -> None:
        for sock in pair:
            shut_down_socket(sock, reset=True)
            sock.close()

    def _accept(self) -> None:
        while not self.ended:
            try:
                near, _ = self.listener.accept()
                far = socket.create_connection(self.to, 5.0)
            except OSError:
                if self.ended:
                    return
                continue
            far.settimeout(None)
            pair = (near, far)
            with self.lock:
                self.pairs.append(pair)
                seeds = self.rng.getrandbits(32), self.rng.getrandbits(32)
            for source, sink, seed in ((near, far, seeds[0]), (far, near, seeds[1])):
                threading.Thread(
                    target=self._schedule,
                    args=(source, sink, pair, random.Random(seed)),
                    daemon=True,
                ).start()

    def _schedule(self, source, sink, pair, rng: random.Random) -> None:
        conditions, bad, free_at, arrives = self.conditions, False, 0.0, 0.0
        try:
            while True:
                chunk = source.recv(2_048)
                now = time.monotonic()
                bad = (
                    rng.random() >= conditions.to_good if bad else rng.random() < conditions.to_bad
                )
                at = max(now, free_at) + len(chunk) / conditions.rate
                if bad:
                    self.stalls += 1
                    at += rng.uniform(*conditions.stall)
                if conditions.reset and rng.random() < conditions.reset:
                    self.resets += 1
                    self._reset(pair)
                    return
                free_at = at
                delay = conditions.delay + rng.uniform(0, conditions.jitter)
                arrives = max(arrives, at + delay)  # a stream stays in order
                with self.lock:
                    heapq.heappush(self.due, (arrives, next(self.order), sink, chunk))
                    self.lock.notify()
                if not chunk:
                    return
                # Backpressure: at most one second's worth of data is buffered, as on a link with a buffer.
                if free_at - now > 1.0:
                    time.sleep(min(1.0, free_at - now - 1.0))
        except OSError:
            with self.lock:
                heapq.heappush(self.due, (time.monotonic(), next(self.order), sink, b""))
                self.lock.notify()

    def _deliver(self) -> None:
        while True:
            with self.lock:
                while not self.ended:
                    now = time.monotonic()
                    ready = max(self.due[0][0], self.stalled_until) if self.due else None
                    if ready is not None and ready <= now:
                        break
                    self.lock.wait(None if ready is None else ready - now)
                if self.ended:
                    return
                _, _, sink, chunk = heapq.heappop(self.due)
            try:
                if chunk:
                    self.bytes += len(chunk)
                    sink.sendall(chunk)
                else:
                    sink.shutdown(socket.SHUT_WR)
            except OSError:
                pass


class UdpProxy:
    """Forwards datagrams over a bad link: loss in bursts, duplication and reordering."""

    def __init__(
        self,
        to: tuple[str, int],
        conditions: LinkConditions,
        seed: int,
        loss: float = 0.5,
        double: float = 0.02,
    ) -> None:
        """`loss` is the probability of losing a datagram in the bad state, `double` that of duplicating one."""
        self.to, self.conditions, self.loss, self.double = to, conditions, loss, double
        self.rng = random.Random(seed)
        self.near = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.near.bind(("127.0.0.1", 0))
        self.address = self.near.getsockname()
        self.far: dict[tuple, socket.socket] = {}
        self.bad = self.ended = False
        self.lost = self.doubled = 0
        self.order, self.due = count(), []
        self.lock = threading.Condition()
        for target in (self._receive_from_clients, self._deliver):
            threading.Thread(target=target, daemon=True).start()

    def end(self) -> None:
        with self.lock:
            self.ended = True
            self.lock.notify_all()
        for sock in [self.near, *self.far.values()]:
            sock.close()

    def _receive_from_clients(self) -> None:
        while not self.ended:
            try:
                data, address = self.near.recvfrom(65_536)
            except OSError:
                if self.ended:
                    return
                continue
            sock = self.far.get(address)
            if sock is None:
                sock = self.far[address] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                sock.connect(self.to)
                threading.Thread(
                    target=self._receive_from_server, args=(sock, address), daemon=True
                ).start()
            self._schedule(sock, None, data)

    def _receive_from_server(self, sock: socket.socket, address: tuple) -> None:
        while not self.ended:
            try:
                data = sock.recv(65_536)
            except OSError:
                if self.ended:
                    return
                continue
            self._schedule(self.near, address, data)

    def _schedule(self, sock: socket.socket, address: tuple | None, data: bytes) -> None:
        with self.lock:
            rng, conditions = self.rng, self.conditions
            self.bad = (
                rng.random() >= conditions.to_good if self.bad else rng.random() < conditions.to_bad
            )
            copies = (
                0 if self.bad and rng.random() < self.loss else 1 + (rng.random() < self.double)
            )
            self.lost += not copies
            self.doubled += copies == 2
            for _ in range(copies):
                at = time.monotonic() + conditions.delay + rng.uniform(0, conditions.jitter)
                heapq.heappush(self.due, (at, next(self.order), sock, address, data))
            self.lock.notify()

    def _deliver(self) -> None:
        while True:
            with self.lock:
                while not self.ended and (not self.due or self.due[0][0] > time.monotonic()):
                    self.lock.wait(self.due[0][0] - time.monotonic() if self.due else None)
                if self.ended:
                    return
                _, _, sock, address, data = heapq.heappop(self.due)
            try:
                sock.sendto(data, address) if address is not None else sock.send(data)
            except OSError:
                pass
