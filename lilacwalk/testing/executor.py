"""A kernel that links one app server at a time and runs what it is told to, each run for as long as `work`
says, on so many cores. A group that is said to make a call makes it half way through its run, off the
cores."""

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

# seconds at a call after which its exchange is over, and the run with it: longer than stand-in callers wait
OVER = 2.5


class StandInExecutor:
    """Numbers its notices and replays them on a new link, as the protocol says. `ran` counts the runs by id,
    so that an effect had twice is seen."""

    def __init__(
        self,
        cores: int = 1,
        work: Callable[[str, bytes], float] = lambda group, body: 0.0,
        result: Callable[[str, bytes], bytes] = lambda group, body: b"ok",
        calls: tuple[str, ...] = (),
        cold: bool = False,
    ) -> None:
        self.cold = cold
        self.cores, self.work, self.result, self.calls = cores, work, result, calls
        self.at_call: dict[str, tuple[str, bytes, float]] = {}  # by id: waits for its reply since
        self.back: set[str] = set()  # from a call: the second half of their runs
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = self.listener.getsockname()
        self.ran: dict[str, int] = {}
        self.finished = 0
        self.over = False
        self.began = time.monotonic()
        self.lock = threading.Condition()
        self.link: socket.socket | None = None
        self.notices: deque[tuple[int, bytes]] = deque(maxlen=4_000)
        self.number = 0
        self.waiting: deque[tuple[str, str, bytes]] = deque()
        self.running: list[tuple[float, int, str, str, bytes]] = []  # by their ends
        self.known: set[str] = set()
        self.order = 0
        for target in (self._accept, self._run):
            threading.Thread(target=target, daemon=True).start()

    def end(self) -> None:
        with self.lock:
            self.over = True
            self.lock.notify_all()
        for sock in (self.listener, self.link):
            if sock is not None:
                shut_down_socket(sock)
                sock.close()

    def lose_link(self) -> None:
        if self.link is not None:
            self.link.shutdown(socket.SHUT_RDWR)

    def _accept(self) -> None:
        serve_each(self.listener, lambda: self.over, self._serve)

    def _serve(self, sock: socket.socket) -> None:
        parser = LineParser(lambda words: words[0] in ("SCHED", "IODONE"), 512, 65_536)
        try:
            while chunk := sock.recv(65_536):
                for words, body in parser.feed(chunk):
                    self._told(sock, words, b"" if body is None else bytes(body))
        except (OSError, FramingError):
            pass
        with self.lock:
            if self.link is sock:
                self.link = None
        sock.close()

    def _told(self, sock: socket.socket, words: list[str], body: bytes) -> None:
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
            elif words[0] == "SCHED" and words[1] not in self.known:
                self.known.add(words[1])
                self.waiting.append((words[1], words[2], body))
                self._start()
                self.lock.notify_all()
            elif words[0] in ("IODONE", "NOIO") and words[1] in self.at_call:
                group, asked, _ = self.at_call.pop(words[1])
                self.back.add(words[1])
                self.waiting.appendleft((words[1], group, asked))
                self._start()
                self.lock.notify_all()
            elif words[0] == "PREEMPT":
                if self.at_call.pop(words[1], None) is not None:
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
            ident, group, body = self.waiting.popleft()
            self.ran[ident] = self.ran.get(ident, 0) + (ident not in self.back)
            self.order += 1
            end = time.monotonic() + self.work(group, body) / (2 if group in self.calls else 1)
            heapq.heappush(self.running, (end, self.order, ident, group, body))

    def _run(self) -> None:
        with self.lock:
            while not self.over:
                now = time.monotonic()
                while self.running and self.running[0][0] <= now:
                    _, _, ident, group, body = heapq.heappop(self.running)
                    if group in self.calls and ident not in self.back:
                        self._asks(ident, group, body)
                    else:
                        self.back.discard(ident)
                        self.finished += 1
                        self._notice(ident, b"success", self.result(group, body))
                    self._start()
                for ident in [
                    ident for ident, (_, _, since) in self.at_call.items() if now - since > OVER
                ]:
                    del self.at_call[ident]
                    self._notice(ident, b"interrupted", b"")
                ends = [each[0] for each in self.running[:1]]
                ends += [since + OVER for _, _, since in self.at_call.values()][:1]
                self.lock.wait(max(0.0, min(ends) - now) + 0.0001 if ends else None)

    def _notice(self, ident: str, end: bytes, result: bytes) -> None:
        self._say(b"REAP", b"%b %b 1 %d\r\n%b\r\n" % (ident.encode(), end, len(result), result))

    def _asks(self, ident: str, group: str, body: bytes) -> None:
        self.at_call[ident] = group, body, time.monotonic()
        self._say(b"IOREQ", b"%b 1\r\n?\r\n" % ident.encode())

    def _say(self, word: bytes, rest: bytes) -> None:
        self.number += 1
        data = b"%b %d %b" % (word, self.number, rest)
        self.notices.append((self.number, data))
        if self.link is not None:
            try:
                self.link.sendall(data)
            except OSError:
                pass
