"""A dependency that all app servers share: answers each call after `work` seconds on one of `slots`, and
slower the more wait, as a crowded store does. Counts the calls made and the most in hand at once."""

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

CROWDED = 4  # times its slots in hand: from here on each call takes longer by the crowd's part


class SharedDependency:
    def __init__(self, slots: int, work: float) -> None:
        self.slots, self.work = slots, work
        self.slowness = 1.0
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = self.listener.getsockname()
        self.free = threading.Semaphore(slots)
        self.lock = threading.Lock()
        self.in_flight = self.max_in_flight = self.calls_made = 0
        self.changes: list[tuple[float, int]] = []  # when, and how many were in hand from then on
        self.over = False
        threading.Thread(target=self._accept, daemon=True).start()

    def end(self) -> None:
        self.over = True
        shut_down_socket(self.listener)
        self.listener.close()

    def _accept(self) -> None:
        serve_each(self.listener, lambda: self.over, self._serve)

    def _serve(self, sock: socket.socket) -> None:
        """One call at a time on each connection, as the app servers make them."""
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
            crowd = max(1.0, self.in_flight / (CROWDED * self.slots))
        try:
            with self.free:
                time.sleep(self.work * self.slowness * crowd)
        finally:
            with self.lock:
                self.in_flight -= 1
                self.changes.append((time.monotonic(), self.in_flight))

    def mean_concurrency(self, span: float, step: float) -> list[float]:
        """The mean in hand over each window of `span` seconds, one every `step`."""
        with self.lock:
            changes = list(self.changes)
        if not changes:
            return []
        sums, total = [(changes[0][0], 0.0)], 0.0
        for (since, held), (until, _) in zip(changes, changes[1:], strict=False):
            total += held * (until - since)
            sums.append((until, total))

        def until(moment: float) -> float:
            at = bisect.bisect_right(sums, (moment, inf)) - 1
            return 0.0 if at < 0 else sums[at][1] + changes[at][1] * (moment - sums[at][0])

        starts = int((sums[-1][0] - sums[0][0] - span) / step)
        moments = [sums[0][0] + step * each for each in range(max(0, starts) + 1)]
        return [(until(each + span) - until(each)) / span for each in moments]
