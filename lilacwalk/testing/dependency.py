"""A stand-in for a dependency that all app servers share. It answers a call after `work` seconds in one of
`slots`. The more calls are in flight, the longer each takes, as in an overloaded store. It counts the calls and the
largest number in flight at once."""

from __future__ import annotations

import bisect
import socket
import threading
import time
from math import inf

from lilacwalk.protocols.errors import FramingError
from lilacwalk.protocols.lines import LineParser
from lilacwalk.protocols.send_buffer import shut_down_socket
from lilacwalk.testing.accept_loop import serve_each

# Above this number of calls in flight per slot, the time of a call grows in proportion to the calls in flight.
OVERLOAD_RATIO = 4


class SharedDependency:
    def __init__(self, slots: int, work: float) -> None:
        self.slots, self.work = slots, work
        self.slowness = 1.0
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = self.listener.getsockname()
        self.free_slots = threading.Semaphore(slots)
        self.lock = threading.Lock()
        self.in_flight = self.max_in_flight = self.calls_made = 0
        self.changes: list[tuple[float, int]] = []  # (time, number of calls in flight from then on)
        self.ended = False
        threading.Thread(target=self._accept, daemon=True).start()

    def end(self) -> None:
        self.ended = True
        shut_down_socket(self.listener)
        self.listener.close()

    def _accept(self) -> None:
        serve_each(self.listener, lambda: self.ended, self._serve)

    def _serve(self, sock: socket.socket) -> None:
        """Answers one call at a time on each connection, as the app servers send them."""
        parser = LineParser(lambda words: words[0] == "GET", 512, 65_536)
        try:
            while chunk := sock.recv(65_536):
                for words, _ in parser.feed(chunk):
                    self._answer()
                    sock.sendall(b"%b HIT 2\r\nok\r\n" % words[1].encode())
        except (OSError, FramingError, IndexError):
            pass
        sock.close()

    def _answer(self) -> None:
        with self.lock:
            self.in_flight += 1
            self.calls_made += 1
            self.max_in_flight = max(self.max_in_flight, self.in_flight)
            self.changes.append((time.monotonic(), self.in_flight))
            slowdown = max(1.0, self.in_flight / (OVERLOAD_RATIO * self.slots))
        try:
            with self.free_slots:
                time.sleep(self.work * self.slowness * slowdown)
        finally:
            with self.lock:
                self.in_flight -= 1
                self.changes.append((time.monotonic(), self.in_flight))

    def mean_concurrency(self, span: float, step: float) -> list[float]:
        """The mean number of calls in flight in windows of `span` seconds that begin every `step` seconds."""
        with self.lock:
            changes = list(self.changes)
        if not changes:
            return []
        integrals, total = [(changes[0][0], 0.0)], 0.0
        for (since, in_flight), (until, _) in zip(changes, changes[1:], strict=False):
            total += in_flight * (until - since)
            integrals.append((until, total))

        def integral_until(moment: float) -> float:
            at = bisect.bisect_right(integrals, (moment, inf)) - 1
            return (
                0.0 if at < 0 else integrals[at][1] + changes[at][1] * (moment - integrals[at][0])
            )

        starts = int((integrals[-1][0] - integrals[0][0] - span) / step)
        moments = [integrals[0][0] + step * each for each in range(max(0, starts) + 1)]
        return [(integral_until(each + span) - integral_until(each)) / span for each in moments]
