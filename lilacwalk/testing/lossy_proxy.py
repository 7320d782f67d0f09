"""A bad link between a device and the edge: delay, bandwidth, stalls of seconds, resets, all drawn from a
seed. What TCP makes of loss is a stall and a burst, so for TCP loss is played as that (Gilbert-Elliott: a
good and a bad state)."""

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
    """Times in seconds, rates in bytes a second; each chance is for one chunk of a link."""

    delay: float = 0.05
    jitter: float = 0.02
    rate: float = 20_000.0
    to_bad: float = 0.02  # from the good state to the bad one
    to_good: float = 0.5
    stall: tuple[float, float] = (0.5, 2.0)  # for a chunk in the bad state
    reset: float = 0.0


class Proxy:
    def __init__(self, to: tuple[str, int], weather: LinkConditions, seed: int) -> None:
        self.to, self.weather, self.rng = to, weather, random.Random(seed)
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
        self.address = self.listener.getsockname()
        self.pairs: list[tuple[socket.socket, socket.socket]] = []
        self.stalled_until = 0.0
        self.order = count()
        self.due: list[tuple] = []
        self.lock = threading.Condition()
        self.over = False
        self.stalls = self.resets = self.bytes = 0
        for target in (self._accept, self._deliver):
            threading.Thread(target=target, daemon=True).start()

    def stall(self, seconds: float) -> None:
        """All links stand still for so long from now."""
        with self.lock:
            self.stalled_until = time.monotonic() + seconds

    def reset_all(self) -> None:
        with self.lock:
            pairs, self.pairs = self.pairs, []
        for pair in pairs:
            self._reset(pair)

    def end(self) -> None:
        with self.lock:
            self.over = True
            self.lock.notify_all()
        self.listener.close()
        self.reset_all()

    def _reset(self, pair: tuple[socket.socket, socket.socket]) -> None:
        for sock in pair:
            shut_down_socket(sock, reset=True)
            sock.close()

    def _accept(self) -> None:
        while not self.over:
            try:
                near, _ = self.listener.accept()
                far = socket.create_connection(self.to, 5.0)
            except OSError:
                if self.over:
                    return
                continue
            far.settimeout(None)
            pair = (near, far)
            with self.lock:
                self.pairs.append(pair)
                seeds = self.rng.getrandbits(32), self.rng.getrandbits(32)
            for source, sink, seed in ((near, far, seeds[0]), (far, near, seeds[1])):
                threading.Thread(
                    target=self._carry, args=(source, sink, pair, random.Random(seed)), daemon=True
                ).start()

    def _carry(self, source, sink, pair, rng: random.Random) -> None:
        weather, bad, free_at, arrives = self.weather, False, 0.0, 0.0
        try:
            while True:
                chunk = source.recv(2_048)
                now = time.monotonic()
                bad = rng.random() >= weather.to_good if bad else rng.random() < weather.to_bad
                at = max(now, free_at) + len(chunk) / weather.rate
                if bad:
                    self.stalls += 1
                    at += rng.uniform(*weather.stall)
                if weather.reset and rng.random() < weather.reset:
                    self.resets += 1
                    self._reset(pair)
                    return
                free_at = at
                late = weather.delay + rng.uniform(0, weather.jitter)
                arrives = max(arrives, at + late)  # one stream, in order
                with self.lock:
                    heapq.heappush(self.due, (arrives, next(self.order), sink, chunk))
                    self.lock.notify()
                if not chunk:
                    return
                # a sender is held back as a link's own buffer would: a second's worth at most
                if free_at - now > 1.0:
                    time.sleep(min(1.0, free_at - now - 1.0))
        except OSError:
            with self.lock:
                heapq.heappush(self.due, (time.monotonic(), next(self.order), sink, b""))
                self.lock.notify()

    def _deliver(self) -> None:
        while True:
            with self.lock:
                while not self.over:
                    now = time.monotonic()
                    ready = max(self.due[0][0], self.stalled_until) if self.due else None
                    if ready is not None and ready <= now:
                        break
                    self.lock.wait(None if ready is None else ready - now)
                if self.over:
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
    """The same for datagrams: loss in bursts, doubling, reordering."""

    def __init__(
        self,
        to: tuple[str, int],
        weather: LinkConditions,
        seed: int,
        loss: float = 0.5,
        double: float = 0.02,
    ) -> None:
        """`loss`: of a datagram in the bad state."""
        self.to, self.weather, self.loss, self.double = to, weather, loss, double
        self.rng = random.Random(seed)
        self.near = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.near.bind(("127.0.0.1", 0))
        self.address = self.near.getsockname()
        self.far: dict[tuple, socket.socket] = {}
        self.bad = self.over = False
        self.lost = self.doubled = 0
        self.order, self.due = count(), []
        self.lock = threading.Condition()
        for target in (self._upward, self._deliver):
            threading.Thread(target=target, daemon=True).start()

    def end(self) -> None:
        with self.lock:
            self.over = True
            self.lock.notify_all()
        for sock in [self.near, *self.far.values()]:
            sock.close()

    def _upward(self) -> None:
        while not self.over:
            try:
                data, address = self.near.recvfrom(65_536)
            except OSError:
                if self.over:
                    return
                continue
            sock = self.far.get(address)
            if sock is None:
                sock = self.far[address] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                sock.connect(self.to)
                threading.Thread(target=self._downward, args=(sock, address), daemon=True).start()
            self._carry(sock, None, data)

    def _downward(self, sock: socket.socket, address: tuple) -> None:
        while not self.over:
            try:
                data = sock.recv(65_536)
            except OSError:
                if self.over:
                    return
                continue
            self._carry(self.near, address, data)

    def _carry(self, sock: socket.socket, address: tuple | None, data: bytes) -> None:
        with self.lock:
            rng, weather = self.rng, self.weather
            self.bad = (
                rng.random() >= weather.to_good if self.bad else rng.random() < weather.to_bad
            )
            copies = (
                0 if self.bad and rng.random() < self.loss else 1 + (rng.random() < self.double)
            )
            self.lost += not copies
            self.doubled += copies == 2
            for _ in range(copies):
                at = time.monotonic() + weather.delay + rng.uniform(0, weather.jitter)
                heapq.heappush(self.due, (at, next(self.order), sock, address, data))
            self.lock.notify()

    def _deliver(self) -> None:
        while True:
            with self.lock:
                while not self.over and (not self.due or self.due[0][0] > time.monotonic()):
                    self.lock.wait(self.due[0][0] - time.monotonic() if self.due else None)
                if self.over:
                    return
                _, _, sock, address, data = heapq.heappop(self.due)
            try:
                sock.sendto(data, address) if address is not None else sock.send(data)
            except OSError:
                pass
