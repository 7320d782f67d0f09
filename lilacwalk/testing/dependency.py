"""A stand-in for a dependency that all app servers share.

It counts the calls and the largest number of calls in flight at once.
"""

from __future__ import annotations

import bisect
import socket
import threading
import time
from math import inf

from lilacwalk.protocols.errors import FramingError
from lilacwalk.protocols.lines import LineParser
from lilacwalk.protocols.send_buffer import shut_down_socket
from lilacwalk.testing.accept_loop import serve_connections

# Calls in flight per slot. Above this number, the time of a call grows in proportion to the number
# of calls in flight.
OVERLOAD_RATIO = 4


class SharedDependency:
    """Executes up to `slots` calls at once; further calls wait.

    A call takes `call_time` seconds in a slot, times `slowdown_factor`, which tests may change. It
    takes longer when many calls are in flight, as in an overloaded database.
    """

    def __init__(self, slots: int, call_time: float) -> None:
        self.slots, self.call_time = slots, call_time
        self.slowdown_factor = 1.0
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = self.listener.getsockname()
        self.free_slots = threading.Semaphore(slots)
        self.lock = threading.Lock()
        self.in_flight = self.max_in_flight = self.call_count = 0
        # (monotonic time, number of calls in flight from this time on)
        self.in_flight_changes: list[tuple[float, int]] = []
        self.ended = False
        threading.Thread(target=self._accept, daemon=True).start()

    def end(self) -> None:
        """Closes the listener; open connections stay open until the app servers close them."""
        self.ended = True
        shut_down_socket(self.listener)
        self.listener.close()

    def _accept(self) -> None:
        serve_connections(self.listener, lambda: self.ended, self._serve)

    def _serve(self, sock: socket.socket) -> None:
        """Answers a connection's calls one by one, as app servers send them."""
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
            self.call_count += 1
            self.max_in_flight = max(self.max_in_flight, self.in_flight)
            self.in_flight_changes.append((time.monotonic(), self.in_flight))
            overload_factor = max(1.0, self.in_flight / (OVERLOAD_RATIO * self.slots))
        try:
            with self.free_slots:
                time.sleep(self.call_time * self.slowdown_factor * overload_factor)
        finally:
            with self.lock:
                self.in_flight -= 1
                self.in_flight_changes.append((time.monotonic(), self.in_flight))

    def mean_concurrency(self, span: float, step: float) -> list[float]:
        """Returns the mean number of calls in flight in each window of `span` seconds.

        A window begins every `step` seconds from the first call on.
        """
        with self.lock:
            changes = list(self.in_flight_changes)
        if not changes:
            return []
        integrals, total = [(changes[0][0], 0.0)], 0.0
        for (since, in_flight), (until, _) in zip(changes, changes[1:], strict=False):
            total += in_flight * (until - since)
            integrals.append((until, total))

        def integral_until(moment: float) -> float:
            """The integral of the number of calls in flight up to `moment`."""
            index = bisect.bisect_right(integrals, (moment, inf)) - 1
            return (
                0.0
                if index < 0
                else integrals[index][1] + changes[index][1] * (moment - integrals[index][0])
            )

        last_index = int((integrals[-1][0] - integrals[0][0] - span) / step)
        starts = [integrals[0][0] + step * index for index in range(max(0, last_index) + 1)]
        return [(integral_until(start + span) - integral_until(start)) / span for start in starts]
