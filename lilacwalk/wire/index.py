"""The index: calls to it over one connection, opened when a call needs it."""

from __future__ import annotations

import logging
import socket
import threading
import time
from collections.abc import Callable
from queue import Empty, SimpleQueue

from lilacwalk.decisions.interface import Ending
from lilacwalk.lifecycle.limits import Limits, SECOND
from lilacwalk.wire.lines import LineParser
from lilacwalk.wire.outbox import hang_up
from lilacwalk.wire.resp import FrameError

log = logging.getLogger(__name__)
ENDINGS = {"HIT": Ending.OK, "SHED": Ending.REJECTED, "BROKEN": Ending.ERROR, "SLOW": Ending.ABANDONED,
           "NOBODY": Ending.MOOT}


class Call:
    """One call. Until its first byte may have left, whoever gives it up knows that it never ran."""

    __slots__ = ("ident", "message", "connection", "dropped")

    def __init__(self, ident: str, wait_ms: int, body: bytes) -> None:
        self.ident = ident
        self.message = b"GET %b %d %d\r\n%b\r\n" % (ident.encode(), wait_ms, len(body), body)
        self.connection: socket.socket | None = None
        self.dropped = False


def has_body(words: list[str]) -> bool:
    return len(words) == 3 and words[1] == "HIT"


class IndexLink:
    """A thread connects and writes; a thread for each connection reads. A refused connection is answered to
    the calls that wait for it; the next is not tried before a pause, so that a dependency that is down
    costs no busy loop, and calls made meanwhile wait for that try or their own time limit."""

    def __init__(self, address: tuple[str, int] | None, limits: Limits, inbox: SimpleQueue) -> None:
        self.address, self.limits, self.inbox = address, limits, inbox
        self.on_replies: Callable
        self.on_refused: Callable
        self.on_broken: Callable
        self.orders: SimpleQueue = SimpleQueue()
        self.lock = threading.Lock()  # between the beginning of a call and its being given up
        self.sock: socket.socket | None = None
        self.try_again, self.pause = 0.0, limits.relink_least
        self.waiting: list[Call] = []
        self.over = False

    def start(self) -> None:
        threading.Thread(target=self._run, name="index-writer", daemon=True).start()

    def make(self, call: Call) -> None:
        self.orders.put(call)

    def give_up(self, call: Call) -> bool:
        """Whether it is sure that the call never ran."""
        with self.lock:
            call.dropped = True
            begun = call.connection
        if begun is not None:
            self.orders.put((begun, b"STOP %b\r\n" % call.ident.encode()))
        return begun is None

    def move(self, address: tuple[str, int] | None) -> None:
        """New calls go there at once; those on the old connection end there, as far as it lets them."""
        with self.lock:
            self.address, self.sock = address, None
        self.try_again = 0.0

    def end(self) -> None:
        self.over = True
        self.rest()

    def rest(self) -> None:
        """Nothing is in hand and nothing was for a while: closed before the other side would."""
        self.orders.put(None)

    def _run(self) -> None:
        try:
            while not self.over:
                try:
                    wait = max(0.0, self.try_again - time.monotonic()) if self.waiting else None
                    order = self.orders.get(timeout=wait)
                except Empty:
                    order = ()
                if order is None:
                    if (sock := self.sock) is not None:
                        self._lose(sock)
                elif isinstance(order, Call):
                    self.waiting.append(order)
                elif order and order[0] is self.sock:
                    self._send(*order)
                if self.waiting and (self.sock is not None or time.monotonic() >= self.try_again):
                    self._begin_waiting()
        except Exception:
            log.exception("event=thread_failed thread=index-writer")
            self.inbox.put((None, "the index's writer failed"))

    def _begin_waiting(self) -> None:
        calls, self.waiting = self.waiting, []
        calls = [call for call in calls if not call.dropped]
        if not calls:
            return
        if self.sock is None and not self._connect():
            self.inbox.put((self.on_refused, calls))
            return
        begun = []
        with self.lock:
            if self.sock is None:  # it broke just now, and its reader has told of it already
                self.waiting = calls
                return
            for call in calls:
                if not call.dropped:
                    call.connection = self.sock
                    begun.append(call.message)
            sock = self.sock
        self._send(sock, b"".join(begun))

    def _connect(self) -> bool:
        try:
            if self.address is None:
                raise OSError("this site has no index")
            sock = socket.create_connection(self.address, self.limits.connect / SECOND)
        except OSError as error:
            if self.pause == self.limits.relink_least:
                log.warning("event=index_down detail=%r", str(error))
            self.try_again = time.monotonic() + self.pause / SECOND
            self.pause = min(self.limits.relink_most, 2 * self.pause)
            return False
        if self.pause != self.limits.relink_least:
            log.info("event=index_up")
        self.pause = self.limits.relink_least
        sock.settimeout(None)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock = sock
        try:
            threading.Thread(target=self._read, args=(sock,), name="index-reader", daemon=True).start()
        except RuntimeError as error:
            log.warning("event=no_thread detail=%r", str(error))
            self.sock = None
            sock.close()
        return self.sock is not None

    def _send(self, sock: socket.socket, data: bytes) -> None:
        try:
            sock.sendall(data)
        except OSError:
            self._lose(sock)  # its reader tells which calls broke with it

    def _lose(self, sock: socket.socket) -> None:
        hang_up(sock)
        with self.lock:
            if self.sock is sock:
                self.sock = None

    def _read(self, sock: socket.socket) -> None:
        parser = LineParser(has_body, self.limits.line, self.limits.reply)
        try:
            while chunk := sock.recv(self.limits.link_read):
                replies = []
                for words, body in parser.feed(chunk):
                    if len(words) < 2 or words[1] not in ENDINGS:
                        raise FrameError(f"'{' '.join(words)[:60]}' is no reply")
                    replies.append((words[0], ENDINGS[words[1]], b"" if body is None else body))
                if replies:
                    self.inbox.put((self.on_replies, sock, replies))
        except FrameError as error:
            log.warning("event=index_connection_ended reason=framing detail=%r", str(error))
        except OSError:
            pass
        except Exception:
            log.exception("event=thread_failed thread=index-reader")
        self._lose(sock)  # before it is told: no call begins on it any more
        self.inbox.put((self.on_broken, sock))
        sock.close()
