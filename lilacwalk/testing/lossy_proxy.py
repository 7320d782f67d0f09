"""Proxies that imitate a bad link between a device and the edge.

The link has delay, limited bandwidth, stalls of seconds and resets, all drawn from a seed. Packet
loss appears to a TCP application as a stall followed by a burst, so the TCP proxy imitates loss by
stalls. Data is stalled, and datagrams are lost, only in the bad state of a Gilbert-Elliott model,
which has a good and a bad state.
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
    """Times are in seconds; probabilities are per chunk of TCP data or per datagram."""

    delay: float = 0.05
    jitter: float = 0.02  # largest additional delay
    rate: float = 20_000.0  # bytes per second, TCP only
    good_to_bad: float = 0.02  # probability of the change from the good state to the bad one
    bad_to_good: float = 0.5  # probability of the change from the bad state to the good one
    stall: tuple[float, float] = (0.5, 2.0)  # range of the stall in the bad state, TCP only
    reset: float = 0.0  # probability of a reset of the connection, TCP only


class Proxy:
    """Forwards TCP connections from `address`, where it listens, to `target` over a bad link."""

    def __init__(self, target: tuple[str, int], conditions: LinkConditions, seed: int) -> None:
        self.target, self.conditions, self.rng = target, conditions, random.Random(seed)
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
        self.address = self.listener.getsockname()
        # open connections: the sockets to the client and to the target
        self.pairs: list[tuple[socket.socket, socket.socket]] = []
        self.stalled_until = 0.0
        self.sequence_numbers = count()
        # heap of (delivery time, sequence number, destination socket, chunk); an empty chunk: end
        self.delayed_chunks: list[tuple] = []
        self.lock = threading.Condition()
        self.ended = False
        self.stalled_chunks = self.reset_count = self.delivered_bytes = 0
        for target in (self._accept, self._deliver):
            threading.Thread(target=target, daemon=True).start()

    def stall(self, seconds: float) -> None:
        """Delivers nothing on any connection in the next `seconds`."""
        with self.lock:
            self.stalled_until = time.monotonic() + seconds

    def reset_all(self) -> None:
        """Resets all open connections."""
        with self.lock:
            pairs, self.pairs = self.pairs, []
        for pair in pairs:
            self._reset(pair)

    def end(self) -> None:
        """Closes the listener and resets all connections."""
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
                client_sock, _ = self.listener.accept()
                target_sock = socket.create_connection(self.target, 5.0)
            except OSError:
                if self.ended:
                    return
                continue
            target_sock.settimeout(None)
            pair = (client_sock, target_sock)
            with self.lock:
                self.pairs.append(pair)
                seeds = self.rng.getrandbits(32), self.rng.getrandbits(32)
            for source, destination, seed in (
                (client_sock, target_sock, seeds[0]),
                (target_sock, client_sock, seeds[1]),
            ):
                threading.Thread(
                    target=self._schedule,
                    args=(source, destination, pair, random.Random(seed)),
                    daemon=True,
                ).start()

    def _schedule(self, source, destination, pair, rng: random.Random) -> None:
        conditions, bad, free_at, arrives_at = self.conditions, False, 0.0, 0.0
        try:
            while True:
                chunk = source.recv(2_048)
                now = time.monotonic()
                bad = (
                    rng.random() >= conditions.bad_to_good
                    if bad
                    else rng.random() < conditions.good_to_bad
                )
                sent_at = max(now, free_at) + len(chunk) / conditions.rate
                if bad:
                    self.stalled_chunks += 1
                    sent_at += rng.uniform(*conditions.stall)
                if conditions.reset and rng.random() < conditions.reset:
                    self.reset_count += 1
                    self._reset(pair)
                    return
                free_at = sent_at
                delay = conditions.delay + rng.uniform(0, conditions.jitter)
                arrives_at = max(arrives_at, sent_at + delay)  # TCP keeps data in order
                with self.lock:
                    heapq.heappush(
                        self.delayed_chunks,
                        (arrives_at, next(self.sequence_numbers), destination, chunk),
                    )
                    self.lock.notify()
                if not chunk:
                    return
                # Backpressure: the proxy buffers at most one second of data, as a real link does.
                if free_at - now > 1.0:
                    time.sleep(min(1.0, free_at - now - 1.0))
        except OSError:
            with self.lock:
                heapq.heappush(
                    self.delayed_chunks,
                    (time.monotonic(), next(self.sequence_numbers), destination, b""),
                )
                self.lock.notify()

    def _deliver(self) -> None:
        while True:
            with self.lock:
                while not self.ended:
                    now = time.monotonic()
                    ready_at = (
                        max(self.delayed_chunks[0][0], self.stalled_until)
                        if self.delayed_chunks
                        else None
                    )
                    if ready_at is not None and ready_at <= now:
                        break
                    self.lock.wait(None if ready_at is None else ready_at - now)
                if self.ended:
                    return
                _, _, destination, chunk = heapq.heappop(self.delayed_chunks)
            try:
                if chunk:
                    self.delivered_bytes += len(chunk)
                    destination.sendall(chunk)
                else:
                    destination.shutdown(socket.SHUT_WR)
            except OSError:
                pass


class UdpProxy:
    """Forwards datagrams from `address`, where it listens, to `target` over a bad link.

    The link has bursts of loss, duplicates datagrams and changes their order.
    """

    def __init__(
        self,
        target: tuple[str, int],
        conditions: LinkConditions,
        seed: int,
        loss: float = 0.5,
        duplication: float = 0.02,
    ) -> None:
        """`loss` is the probability that a datagram is lost in the bad state.

        `duplication` is the probability that a datagram that is not lost is delivered twice.
        """
        self.target, self.conditions, self.loss, self.duplication = (
            target,
            conditions,
            loss,
            duplication,
        )
        self.rng = random.Random(seed)
        self.listen_sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.listen_sock.bind(("127.0.0.1", 0))
        self.address = self.listen_sock.getsockname()
        self.target_socks: dict[tuple, socket.socket] = {}  # by client address
        self.in_bad_state = self.ended = False
        self.lost_datagrams = self.duplicated_datagrams = 0
        self.sequence_numbers, self.delayed_datagrams = count(), []
        self.lock = threading.Condition()
        for target in (self._receive_from_clients, self._deliver):
            threading.Thread(target=target, daemon=True).start()

    def end(self) -> None:
        """Closes all sockets; delayed datagrams are lost."""
        with self.lock:
            self.ended = True
            self.lock.notify_all()
        for sock in [self.listen_sock, *self.target_socks.values()]:
            sock.close()

    def _receive_from_clients(self) -> None:
        while not self.ended:
            try:
                data, address = self.listen_sock.recvfrom(65_536)
            except OSError:
                if self.ended:
                    return
                continue
            sock = self.target_socks.get(address)
            if sock is None:
                sock = self.target_socks[address] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                sock.connect(self.target)
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
            self._schedule(self.listen_sock, address, data)

    def _schedule(self, sock: socket.socket, address: tuple | None, data: bytes) -> None:
        with self.lock:
            rng, conditions = self.rng, self.conditions
            self.in_bad_state = (
                rng.random() >= conditions.bad_to_good
                if self.in_bad_state
                else rng.random() < conditions.good_to_bad
            )
            copies = (
                0
                if self.in_bad_state and rng.random() < self.loss
                else 1 + (rng.random() < self.duplication)
            )
            self.lost_datagrams += not copies
            self.duplicated_datagrams += copies == 2
            for _ in range(copies):
                at = time.monotonic() + conditions.delay + rng.uniform(0, conditions.jitter)
                heapq.heappush(
                    self.delayed_datagrams, (at, next(self.sequence_numbers), sock, address, data)
                )
            self.lock.notify()

    def _deliver(self) -> None:
        while True:
            with self.lock:
                while not self.ended and (
                    not self.delayed_datagrams or self.delayed_datagrams[0][0] > time.monotonic()
                ):
                    self.lock.wait(
                        self.delayed_datagrams[0][0] - time.monotonic()
                        if self.delayed_datagrams
                        else None
                    )
                if self.ended:
                    return
                _, _, sock, address, data = heapq.heappop(self.delayed_datagrams)
            try:
                sock.sendto(data, address) if address is not None else sock.send(data)
            except OSError:
                pass
