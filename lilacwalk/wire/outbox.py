"""What waits to be sent on one socket, and the thread that sends it."""

from __future__ import annotations

import logging
import socket
import struct
import threading
from queue import Empty, SimpleQueue

log = logging.getLogger(__name__)
HEADER = 64  # what Python keeps of one message beside its bytes: many short ones weigh more than they say


class Outbox:
    """Only one thread puts, only the writer thread sends: each has a count of its own, so no lock is needed.
    The writer starts with the first message, since many connections never carry one."""

    def __init__(self, sock: socket.socket, limit: int, name: str) -> None:
        self.sock, self.limit, self.name = sock, limit, name
        self.taken = self.sent = 0
        self.queue: SimpleQueue[bytes | None] = SimpleQueue()
        self.thread: threading.Thread | None = None

    def put(self, data: bytes) -> bool:
        """False where it cannot be sent: too much stands unsent, as the other side has stopped reading."""
        if self.taken - self.sent + len(data) + HEADER > self.limit:
            return False
        if self.thread is None and not self._start():
            return False
        self.taken += len(data) + HEADER
        self.queue.put(data)
        return True

    def _start(self) -> bool:
        """The deciding thread starts it, and must not fall with it where the system has no thread to give."""
        thread = threading.Thread(target=self._run, name=f"{self.name}-writer", daemon=True)
        try:
            thread.start()
        except RuntimeError as error:
            log.warning("event=no_thread detail=%r", str(error))
            return False
        self.thread = thread
        return True

    @property
    def flushed(self) -> bool:
        return self.taken == self.sent

    def end(self) -> None:
        """Ends the writer and its socket, what stands unsent is dropped."""
        hang_up(self.sock)
        self.queue.put(None)
        if self.thread is not None and self.thread is not threading.current_thread():
            self.thread.join()

    def _run(self) -> None:
        try:
            while True:
                pieces = [self.queue.get()]
                try:
                    while len(pieces) < 64:
                        pieces.append(self.queue.get_nowait())
                except Empty:
                    pass
                if None in pieces:
                    return
                data = b"".join(pieces) if len(pieces) > 1 else pieces[0]
                self.sock.sendall(data)
                self.sent += len(data) + HEADER * len(pieces)
        except OSError:
            hang_up(self.sock)  # the reader of this connection sees it end, and tells
        except Exception:
            log.exception("event=thread_failed thread=%s", threading.current_thread().name)
            hang_up(self.sock)


def hang_up(sock: socket.socket, reset: bool = False) -> None:
    """Wakes whoever reads or writes it. Closing is left to its reader: no descriptor is used twice. After a
    reset the system drops at its closing what the other side would never take; else both ends may linger."""
    try:
        if reset:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass  # it had ended already
