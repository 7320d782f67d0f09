"""A connection of a proxy and the thread that reads from it."""

from __future__ import annotations

import contextlib
import logging
import select
import socket
import threading
from queue import SimpleQueue
from typing import TYPE_CHECKING

from lilacwalk.event_queue import EventQueue
from lilacwalk.limits import Limits
from lilacwalk.protocols.errors import FramingError
from lilacwalk.protocols.proxy_codec import ProxyMessage, decode_message
from lilacwalk.protocols.resp import RespParser
from lilacwalk.protocols.send_buffer import SendBuffer, shut_down_socket

if TYPE_CHECKING:
    from lilacwalk.protocols.proxy_listener import ProxyListener
    from lilacwalk.requests.records import Frontend, InFlightRequest

log = logging.getLogger(__name__)


class Connection:
    """A proxy connection with its own reader thread.

    The thread posts messages in batches to the event loop's queue. Each batch takes a read credit,
    which the event loop returns, so that a proxy that floods the connection delays only itself.

    The reader thread writes `is_reading` and `partial_message_number`, and takes credits from
    `read_credits`. The event loop's thread writes all other attributes; the reader thread reads
    `is_shut_down` and `half_closed_at`.

    Attributes:
        is_shut_down: Whether this side has shut the connection down, or it has ended; further
            input is discarded.
        is_reading: Whether the reader thread is reading from the socket, or has data that it has
            not yet posted to the event loop's queue.
        partial_message_number: The sequence number on this connection of the message that has
            been received only in part, or 0 if there is none.
        open_requests: The requests in flight by tag.
        last_used: When data was last received or sent.
        close_requested_at: When the close request was sent to the proxy, or 0.
        half_closed_at: When this side shut down its sending direction, or 0.
        seen_partial_message_number: The last value of `partial_message_number` that the event
            loop read.
        partial_message_seen_since: When the event loop first read that value.
        has_sent_valid_message: Whether the peer has sent a valid message; until then, the peer
            might not be a proxy.
    """

    __slots__ = (
        "close_requested_at",
        "event_queue",
        "frontend",
        "half_closed_at",
        "has_sent_valid_message",
        "is_reading",
        "is_shut_down",
        "last_used",
        "limits",
        "listener",
        "open_requests",
        "partial_message_number",
        "partial_message_seen_since",
        "peer",
        "read_credits",
        "seen_partial_message_number",
        "send_buffer",
        "sock",
    )

    def __init__(
        self,
        sock: socket.socket,
        peer: str,
        limits: Limits,
        event_queue: EventQueue,
        listener: ProxyListener,
    ) -> None:
        """Takes over an accepted socket; `peer` is the name of the other side in the log."""
        self.sock = sock
        self.peer = peer
        self.limits = limits
        self.event_queue = event_queue
        self.listener = listener
        self.send_buffer = SendBuffer(sock, limits.send_buffer_bytes, "proxy")
        # A queue of None as a semaphore: smaller and faster than `threading.Semaphore`.
        self.read_credits: SimpleQueue[None] = SimpleQueue()
        for _ in range(limits.max_undecided_batches):
            self.read_credits.put(None)
        self.is_shut_down = False
        self.is_reading = False
        self.partial_message_number = 0
        self.frontend: Frontend | None = None
        self.open_requests: dict[int, InFlightRequest] = {}
        self.last_used = 0
        self.close_requested_at = 0
        self.half_closed_at = 0
        self.seen_partial_message_number = 0
        self.partial_message_seen_since = 0
        self.has_sent_valid_message = False

    def start(self) -> None:
        """Starts the reader thread, which stops when the connection is closed.

        Raises:
            RuntimeError: The system cannot start another thread.
        """
        threading.Thread(target=self._run, name="proxy-reader", daemon=True).start()

    def abort(self, reset: bool = False) -> None:
        """Shuts the connection down in both directions.

        Data received earlier can still be read after that, so `is_shut_down` stops the reader
        thread.
        """
        self.is_shut_down = True
        shut_down_socket(self.sock, reset)

    @property
    def is_input_processed(self) -> bool:
        """Whether the event loop has processed all received data.

        The stages between the operating system's buffer and the event loop are checked in the
        order in which data passes them: data that leaves a stage between two checks is found in
        the next stage.
        """
        unread = select.poll()
        unread.register(self.sock, select.POLLIN)
        return (
            not unread.poll(0)
            and not self.is_reading
            and self.read_credits.qsize() == self.limits.max_undecided_batches
        )

    @property
    def is_between_messages(self) -> bool:
        """Whether all input has been processed and no partial message has been received.

        `is_input_processed` must be checked first, since it reads `is_reading`, which the reader
        thread clears after it has set `partial_message_number`.
        """
        return self.is_input_processed and not self.partial_message_number

    def half_close(self, now: int) -> None:
        """Shuts down the sending direction.

        The reader thread continues to read, and discards the data, until the peer closes too:
        closing a socket with unread data would reset the connection, and lose responses in
        transit.
        """
        # Set first: the reader thread ends if `is_shut_down` is set and `half_closed_at` is not.
        self.half_closed_at = now
        self.is_shut_down = True
        with contextlib.suppress(OSError):  # the peer has already closed
            self.sock.shutdown(socket.SHUT_WR)

    def _run(self) -> None:
        try:
            self._read()
        except FramingError as error:
            if count := self.listener.framing_errors.count_and_check():
                log.warning(
                    "event=connection_ended count=%d peer=%s reason=framing detail=%r",
                    count,
                    self.peer,
                    str(error),
                )
        except OSError:
            pass  # a proxy may reset its connections
        except Exception:
            log.exception("event=thread_failed thread=proxy-reader peer=%s", self.peer)
        finally:
            shut_down_socket(self.sock)
            self.event_queue.post(self.listener.events.connection_ended, self)

    def _read(self) -> None:
        limits = self.limits
        parser = RespParser(
            limits.max_message_parts,
            limits.max_part_bytes,
            limits.max_skipped_bytes,
            limits.max_message_bytes,
        )
        readable = select.poll()
        readable.register(self.sock, select.POLLIN)
        message_count = 0
        while True:
            readable.poll()
            self.is_reading = True
            chunk = self.sock.recv(limits.proxy_read_bytes)
            if not chunk or (self.is_shut_down and not self.half_closed_at):
                return
            batch: list[ProxyMessage] = []
            for parts in parser.feed(chunk) if not self.is_shut_down else ():
                message_count += 1
                batch.append(decode_message(parts, limits.max_body_bytes))
                if len(batch) == limits.max_batch_messages:
                    self._post(batch)
                    batch = []
            if batch:
                self._post(batch)
            self.partial_message_number = message_count + 1 if parser.has_partial_message else 0
            self.is_reading = False

    def _post(self, batch: list[ProxyMessage]) -> None:
        """Takes a read credit, which the event loop returns, and posts a batch."""
        self.read_credits.get()
        self.event_queue.post(self.listener.events.messages_received, self, batch)
