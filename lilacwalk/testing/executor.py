"""A stand-in executor for one app server at a time.

It runs requests on `cores` cores, each for the time that `run_time` returns. A request of one of
the `calling_classes` calls a dependency halfway through its run. During the call, the request
occupies no core.
"""

from __future__ import annotations

import heapq
import socket
import threading
import time
from collections import deque
from collections.abc import Callable

from lilacwalk.protocols.errors import FramingError
from lilacwalk.protocols.lines import LineParser
from lilacwalk.protocols.send_buffer import shut_down_socket
from lilacwalk.testing.accept_loop import serve_connections

# Seconds after which a run with an unanswered call is interrupted; longer than the time for which
# stand-in clients wait.
CALL_TIMEOUT = 2.5


class StandInExecutor:
    """An executor that executes nothing: a run takes time and returns a result.

    It numbers its messages. On a new connection it sends those again that the app server has not
    received, as the protocol requires.

    `run_counts` counts the runs by request id, so that tests find effects that were applied twice.
    """

    def __init__(
        self,
        cores: int = 1,
        run_time: Callable[[str, bytes], float] = lambda class_name, body: 0.0,
        result: Callable[[str, bytes], bytes] = lambda class_name, body: b"ok",
        calling_classes: tuple[str, ...] = (),
        booting: bool = False,
    ) -> None:
        """Listens on a free loopback port, which `address` contains, and starts the threads.

        `run_time` returns the seconds of a run and `result` its result, each from the request class
        and body. With `booting`, the executor reports that it is still booting.
        """
        self.booting = booting
        self.cores, self.run_time, self.result, self.calling_classes = (
            cores,
            run_time,
            result,
            calling_classes,
        )
        # runs that wait for the answer to their call, by request id: class, body, start of the call
        self.calls_in_progress: dict[str, tuple[str, bytes, float]] = {}
        # ids of requests whose call was answered: their run is queued or running again
        self.resumed_ids: set[str] = set()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = self.listener.getsockname()
        self.run_counts: dict[str, int] = {}  # by request id
        self.finished_runs = 0  # with a result
        self.ended = False
        self.started_at = time.monotonic()
        self.lock = threading.Condition()
        self.connection: socket.socket | None = None
        # (number, encoded message), for a new connection
        self.sent_messages: deque[tuple[int, bytes]] = deque(maxlen=4_000)
        self.last_message_number = 0
        self.queued_runs: deque[tuple[str, str, bytes]] = deque()  # request id, class, body
        # heap of (end, number of the start, request id, class, body)
        self.running: list[tuple[float, int, str, str, bytes]] = []
        self.scheduled_ids: set[str] = set()  # a repeated SCHED of a request is ignored
        self.start_count = 0  # a run with a call starts twice
        for target in (self._accept, self._run):
            threading.Thread(target=target, daemon=True).start()

    def end(self) -> None:
        """Closes the listener and the connection, and ends all runs without an outcome."""
        with self.lock:
            self.ended = True
            self.lock.notify_all()
        for sock in (self.listener, self.connection):
            if sock is not None:
                shut_down_socket(sock)
                sock.close()

    def close_connection(self) -> None:
        """Closes the connection to the app server, which may connect again."""
        if self.connection is not None:
            self.connection.shutdown(socket.SHUT_RDWR)

    def _accept(self) -> None:
        serve_connections(self.listener, lambda: self.ended, self._serve)

    def _serve(self, sock: socket.socket) -> None:
        parser = LineParser(lambda words: words[0] in ("SCHED", "IODONE"), 512, 65_536)
        try:
            while chunk := sock.recv(65_536):
                for words, body in parser.feed(chunk):
                    self._handle_message(sock, words, b"" if body is None else bytes(body))
        except (OSError, FramingError):
            pass
        with self.lock:
            if self.connection is sock:
                self.connection = None
        sock.close()

    def _handle_message(self, sock: socket.socket, words: list[str], body: bytes) -> None:
        with self.lock:
            if words[0] == "OPEN":
                self.connection = sock
                age = int((time.monotonic() - self.started_at) * 1000)
                sock.sendall(
                    b"BOOTED booting %d\r\n" % age
                    if self.booting
                    else b"BOOTED steady %d\r\n" % (age + 60_000)
                )
                for number, data in self.sent_messages:
                    if number > int(words[1]):
                        sock.sendall(data)
            elif words[0] == "SYSINFO":
                busy = len(self.running) / self.cores
                sock.sendall(
                    f"INFO {words[1]} {min(1.0, busy)} {len(self.queued_runs)}\r\n".encode()
                )
            elif words[0] == "SCHED" and words[1] not in self.scheduled_ids:
                self.scheduled_ids.add(words[1])
                self.queued_runs.append((words[1], words[2], body))
                self._start_queued_runs()
                self.lock.notify_all()
            elif words[0] in ("IODONE", "NOIO") and words[1] in self.calls_in_progress:
                class_name, request_body, _ = self.calls_in_progress.pop(words[1])
                self.resumed_ids.add(words[1])
                self.queued_runs.appendleft((words[1], class_name, request_body))
                self._start_queued_runs()
                self.lock.notify_all()
            elif words[0] == "PREEMPT":
                if self.calls_in_progress.pop(words[1], None) is not None:
                    self._send_outcome(words[1], b"interrupted", b"")
                for row in [row for row in self.running if row[2] == words[1]]:
                    self.running.remove(row)
                    heapq.heapify(self.running)
                    self._send_outcome(words[1], b"interrupted", b"")
                for row in [row for row in self.queued_runs if row[0] == words[1]]:
                    self.queued_runs.remove(row)
                    self._send_outcome(words[1], b"interrupted", b"")
                self._start_queued_runs()

    def _start_queued_runs(self) -> None:
        """Starts queued runs while cores are free; the caller holds the lock."""
        while self.queued_runs and len(self.running) < self.cores:
            request_id, class_name, body = self.queued_runs.popleft()
            self.run_counts[request_id] = self.run_counts.get(request_id, 0) + (
                request_id not in self.resumed_ids
            )
            self.start_count += 1
            end = time.monotonic() + self.run_time(class_name, body) / (
                2 if class_name in self.calling_classes else 1
            )
            heapq.heappush(self.running, (end, self.start_count, request_id, class_name, body))

    def _run(self) -> None:
        with self.lock:
            while not self.ended:
                now = time.monotonic()
                while self.running and self.running[0][0] <= now:
                    _, _, request_id, class_name, body = heapq.heappop(self.running)
                    if class_name in self.calling_classes and request_id not in self.resumed_ids:
                        self._request_call(request_id, class_name, body)
                    else:
                        self.resumed_ids.discard(request_id)
                        self.finished_runs += 1
                        self._send_outcome(request_id, b"success", self.result(class_name, body))
                    self._start_queued_runs()
                for request_id in [
                    request_id
                    for request_id, (_, _, since) in self.calls_in_progress.items()
                    if now - since > CALL_TIMEOUT
                ]:
                    del self.calls_in_progress[request_id]
                    self._send_outcome(request_id, b"interrupted", b"")
                ends = [row[0] for row in self.running[:1]]
                ends += [since + CALL_TIMEOUT for _, _, since in self.calls_in_progress.values()][
                    :1
                ]
                self.lock.wait(max(0.0, min(ends) - now) + 0.0001 if ends else None)

    def _send_outcome(self, request_id: str, outcome: bytes, result: bytes) -> None:
        self._send_numbered(
            b"REAP", b"%b %b 1 %d\r\n%b\r\n" % (request_id.encode(), outcome, len(result), result)
        )

    def _request_call(self, request_id: str, class_name: str, body: bytes) -> None:
        self.calls_in_progress[request_id] = class_name, body, time.monotonic()
        self._send_numbered(b"IOREQ", b"%b 1\r\n?\r\n" % request_id.encode())

    def _send_numbered(self, word: bytes, rest: bytes) -> None:
        self.last_message_number += 1
        data = b"%b %d %b" % (word, self.last_message_number, rest)
        self.sent_messages.append((self.last_message_number, data))
        if self.connection is not None:
            try:
                self.connection.sendall(data)
            except OSError:
                pass
