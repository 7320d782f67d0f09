"""A stand-in executor for one app server at a time. It runs each request for the time that `work` returns, on
`cores` cores. Requests of the classes in `calls` call a dependency halfway through their run and occupy no core
during the call."""

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
from lilacwalk.testing.accept_loop import serve_each

# Seconds after which a run is interrupted whose call was not answered. It is longer than the time that stand-in clients wait.
CALL_TIMEOUT = 2.5


class StandInExecutor:
    """Numbers its notices and replays them on a new connection, as the protocol requires.

    `ran` counts the runs by request id, so that tests find effects that were applied twice. `work` gives the
    seconds of a run and `result` its result, each from the request class and body. With `cold`, the executor
    reports that it is still booting.
    """

    def __init__(
        self,
        cores: int = 1,
        work: Callable[[str, bytes], float] = lambda class_name, body: 0.0,
        result: Callable[[str, bytes], bytes] = lambda class_name, body: b"ok",
        calls: tuple[str, ...] = (),
        cold: bool = False,
    ) -> None:
        self.cold = cold
        self.cores, self.work, self.result, self.calls = cores, work, result, calls
        # runs that wait for the answer to their call, by id: class, body and start of the call
        self.calls_in_progress: dict[str, tuple[str, bytes, float]] = {}
        # ids of runs whose call was answered and which are in their second half
        self.resumed: set[str] = set()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = self.listener.getsockname()
        self.ran: dict[str, int] = {}
        self.finished = 0
        self.ended = False
        self.began = time.monotonic()
        self.lock = threading.Condition()
        self.link: socket.socket | None = None
        self.notices: deque[tuple[int, bytes]] = deque(maxlen=4_000)
        self.last_number = 0
        self.waiting: deque[tuple[str, str, bytes]] = deque()
        # heap of (end, order of starts, id, class, body)
        self.running: list[tuple[float, int, str, str, bytes]] = []
        self.scheduled: set[str] = set()  # ids that were scheduled: a repeated SCHED is ignored
        self.start_count = 0
        for target in (self._accept, self._run):
            threading.Thread(target=target, daemon=True).start()

    def end(self) -> None:
        with self.lock:
            self.ended = True
            self.lock.notify_all()
        for sock in (self.listener, self.link):
            if sock is not None:
                shut_down_socket(sock)
                sock.close()

    def close_connection(self) -> None:
        """Closes the connection to the app server; it may connect again."""
        if self.link is not None:
            self.link.shutdown(socket.SHUT_RDWR)

    def _accept(self) -> None:
        serve_each(self.listener, lambda: self.ended, self._serve)

    def _serve(self, sock: socket.socket) -> None:
        parser = LineParser(lambda words: words[0] in ("SCHED", "IODONE"), 512, 65_536)
        try:
            while chunk := sock.recv(65_536):
                for words, body in parser.feed(chunk):
                    self._handle_message(sock, words, b"" if body is None else bytes(body))
        except (OSError, FramingError):
            pass
        with self.lock:
            if self.link is sock:
                self.link = None
        sock.close()

    def _handle_message(self, sock: socket.socket, words: list[str], body: bytes) -> None:
        with self.lock:
            if words[0] == "OPEN":
                self.link = sock
                age = int((time.monotonic() - self.began) * 1000)
                sock.sendall(
                    b"BOOTED booting %d\r\n" % age
                    if self.cold
                    else b"BOOTED steady %d\r\n" % (age + 60_000)
                )
                for number, data in self.notices:
                    if number > int(words[1]):
                        sock.sendall(data)
            elif words[0] == "SYSINFO":
                busy = len(self.running) / self.cores
                sock.sendall(f"INFO {words[1]} {min(1.0, busy)} {len(self.waiting)}\r\n".encode())
            elif words[0] == "SCHED" and words[1] not in self.scheduled:
                self.scheduled.add(words[1])
                self.waiting.append((words[1], words[2], body))
                self._start()
                self.lock.notify_all()
            elif words[0] in ("IODONE", "NOIO") and words[1] in self.calls_in_progress:
                class_name, request_body, _ = self.calls_in_progress.pop(words[1])
                self.resumed.add(words[1])
                self.waiting.appendleft((words[1], class_name, request_body))
                self._start()
                self.lock.notify_all()
            elif words[0] == "PREEMPT":
                if self.calls_in_progress.pop(words[1], None) is not None:
                    self._notice(words[1], b"interrupted", b"")
                for each in [each for each in self.running if each[2] == words[1]]:
                    self.running.remove(each)
                    heapq.heapify(self.running)
                    self._notice(words[1], b"interrupted", b"")
                for row in [row for row in self.waiting if row[0] == words[1]]:
                    self.waiting.remove(row)
                    self._notice(words[1], b"interrupted", b"")
                self._start()

    def _start(self) -> None:
        while self.waiting and len(self.running) < self.cores:
            ident, class_name, body = self.waiting.popleft()
            self.ran[ident] = self.ran.get(ident, 0) + (ident not in self.resumed)
            self.start_count += 1
            end = time.monotonic() + self.work(class_name, body) / (
                2 if class_name in self.calls else 1
            )
            heapq.heappush(self.running, (end, self.start_count, ident, class_name, body))

    def _run(self) -> None:
        with self.lock:
            while not self.ended:
                now = time.monotonic()
                while self.running and self.running[0][0] <= now:
                    _, _, ident, class_name, body = heapq.heappop(self.running)
                    if class_name in self.calls and ident not in self.resumed:
                        self._request_call(ident, class_name, body)
                    else:
                        self.resumed.discard(ident)
                        self.finished += 1
                        self._notice(ident, b"success", self.result(class_name, body))
                    self._start()
                for ident in [
                    ident
                    for ident, (_, _, since) in self.calls_in_progress.items()
                    if now - since > CALL_TIMEOUT
                ]:
                    del self.calls_in_progress[ident]
                    self._notice(ident, b"interrupted", b"")
                ends = [each[0] for each in self.running[:1]]
                ends += [since + CALL_TIMEOUT for _, _, since in self.calls_in_progress.values()][
                    :1
                ]
                self.lock.wait(max(0.0, min(ends) - now) + 0.0001 if ends else None)

    def _notice(self, ident: str, outcome: bytes, result: bytes) -> None:
        self._send_numbered(
            b"REAP", b"%b %b 1 %d\r\n%b\r\n" % (ident.encode(), outcome, len(result), result)
        )

    def _request_call(self, ident: str, class_name: str, body: bytes) -> None:
        self.calls_in_progress[ident] = class_name, body, time.monotonic()
        self._send_numbered(b"IOREQ", b"%b 1\r\n?\r\n" % ident.encode())

    def _send_numbered(self, word: bytes, rest: bytes) -> None:
        self.last_number += 1
        data = b"%b %d %b" % (word, self.last_number, rest)
        self.notices.append((self.last_number, data))
        if self.link is not None:
            try:
                self.link.sendall(data)
            except OSError:
                pass
