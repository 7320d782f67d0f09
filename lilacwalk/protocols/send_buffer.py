"""A bounded buffer of the bytes to be sent on a socket."""

from __future__ import annotations

import contextlib
import logging
import socket
import struct
import threading
from dataclasses import dataclass
from queue import SimpleQueue

log = logging.getLogger(__name__)
MESSAGE_OVERHEAD_BYTES = 64  # interpreter memory that each message uses besides its contents


@dataclass(frozen=True, slots=True)
class QueuedWrite:
    """Bytes for the writer thread, and the part of the limit that they use until they are sent."""

    data: memoryview
    accounted_bytes: int


class SendBuffer:
    """A bounded buffer in front of a socket, owned by the thread that appends and flushes.

    A flush never blocks: the owner sends the bytes that the operating system accepts at once, and
    a writer thread sends the rest. The thread is started when first needed: most connections never
    need it, and it would cost memory and a thread switch for each response.

    No lock is needed: only the writer thread writes `sent_bytes`, and only the owner writes the
    other attributes.

    Attributes:
        appended_bytes: Total size of all appended messages. After an append, it is the position in
            the byte stream at which the message ends.
        offered_bytes: The position in the byte stream up to which bytes may have left this process.
            The peer cannot have received a message that ends after it.
    """

    __slots__ = (
        "accepted_bytes",
        "appended_bytes",
        "max_bytes",
        "name",
        "offered_bytes",
        "pending",
        "queue",
        "sent_bytes",
        "sock",
        "thread",
    )

    def __init__(self, sock: socket.socket, max_bytes: int, name: str) -> None:
        """Creates an empty buffer.

        Args:
            sock: The socket, which `close` closes.
            max_bytes: Limit of unsent bytes, including the overhead of each message.
            name: Kind of the peer, for the name of the writer thread.
        """
        self.sock = sock
        self.max_bytes = max_bytes
        self.name = name
        self.accepted_bytes = 0
        self.sent_bytes = 0
        self.appended_bytes = 0
        self.offered_bytes = 0
        self.pending: list[bytes] = []
        self.queue: SimpleQueue[QueuedWrite | None] | None = None
        self.thread: threading.Thread | None = None

    def append(self, data: bytes) -> bool:
        """Adds a message, which the next flush sends.

        If the buffer is full, the messages before it are offered to the socket first.

        Returns:
            False if the message does not fit because the peer has stopped reading.
        """
        accounted_bytes = len(data) + MESSAGE_OVERHEAD_BYTES
        if not self._has_room(accounted_bytes):
            self.flush()
            if not self._has_room(accounted_bytes):
                return False
        self.accepted_bytes += accounted_bytes
        self.appended_bytes += len(data)
        self.pending.append(data)
        return True

    def _has_room(self, accounted_bytes: int) -> bool:
        return self.accepted_bytes - self.sent_bytes + accounted_bytes <= self.max_bytes

    def flush(self) -> None:
        """Sends the appended messages, or leaves the rest to the writer thread. Never blocks."""
        messages, self.pending = self.pending, []
        if not messages:
            return
        data = messages[0] if len(messages) == 1 else b"".join(messages)
        accounted_bytes = len(data) + MESSAGE_OVERHEAD_BYTES * len(messages)
        sent = 0
        writer_is_idle = self.accepted_bytes - accounted_bytes == self.sent_bytes
        if writer_is_idle:
            try:
                sent = self.sock.send(data, socket.MSG_DONTWAIT)
            except BlockingIOError:
                pass
            except OSError:
                shut_down_socket(self.sock)  # the reader thread detects the end and reports it
                return
        self.offered_bytes += len(data)
        if sent == len(data):
            self.accepted_bytes -= accounted_bytes
        elif self.thread is not None or self._start_writer():
            self.queue.put(QueuedWrite(memoryview(data)[sent:], accounted_bytes))

    def _start_writer(self) -> bool:
        """Starts the writer thread; if that fails, resets the connection and returns False."""
        self.queue = SimpleQueue()
        thread = threading.Thread(target=self._run, name=f"{self.name}-writer", daemon=True)
        try:
            thread.start()
        except RuntimeError as error:
            log.warning("event=no_thread detail=%r", str(error))
            shut_down_socket(self.sock, reset=True)
            return False
        self.thread = thread
        return True

    @property
    def is_flushed(self) -> bool:
        """Whether all appended messages have been sent."""
        return self.accepted_bytes == self.sent_bytes

    def close(self) -> None:
        """Stops the writer thread and closes the socket; unsent data is dropped.

        Only the owner may call this, and nothing else closes the socket, so that its descriptor
        is never reused while a thread still sends to it.
        """
        shut_down_socket(self.sock)
        if self.thread is not None:
            self.queue.put(None)
            self.thread.join()
        self.sock.close()

    def _run(self) -> None:
        try:
            while (write := self.queue.get()) is not None:
                self.sock.sendall(write.data)
                self.sent_bytes += write.accounted_bytes
        except OSError:
            shut_down_socket(self.sock)
        except Exception:
            log.exception("event=thread_failed thread=%s", threading.current_thread().name)
            shut_down_socket(self.sock)


def shut_down_socket(sock: socket.socket, reset: bool = False) -> None:
    """Shuts a socket down, which wakes the threads that read or write it, without closing it.

    Args:
        sock: The socket; its owner closes it.
        reset: Whether closing the socket drops unsent data and resets the connection, instead of
            lingering for a peer that does not read.
    """
    with contextlib.suppress(OSError):  # the connection has already ended
        if reset:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.shutdown(socket.SHUT_RDWR)
