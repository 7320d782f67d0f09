"""A connection of a proxy and the thread that reads from it."""

from __future__ import annotations

import contextlib
import logging
import select
import socket
import threading
from collections.abc import Iterator
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

    The thread reads chunks, and the event loop parses them in turns with those of other
    connections. Each chunk takes a read credit, which the event loop returns when it has processed
    the chunk, so that a proxy that floods the connection delays only itself.

    The reader thread writes `is_reading`, takes credits from `read_credits` and adds to `chunks`.
    The event loop's thread writes all other attributes; the reader thread reads `is_shut_down` and
    `half_closed_at`.

    Attributes:
        is_shut_down: Whether this side has shut the connection down, or it has ended; further
            input is discarded.
        is_reading: Whether the reader thread is reading from the socket, or has data that it has
            not yet added to `chunks`.
        is_queued: Whether the connection waits for its next turn of the event loop.
        is_suspect: Whether the last request was malformed, or no request has been valid since one.
        partial_message_number: The sequence number on this connection of the message that has
            been received only in part, or 0 if there is none.
        open_requests: The requests in flight by tag.
        last_used: When data was last received or sent.
        close_requested_at: When the close request was sent to the proxy, or 0.
        half_closed_at: When this side shut down its sending direction, or 0.
        seen_partial_message_number: The value of `partial_message_number` at the last check for
            partial messages.
        partial_message_seen_since: When that value was first seen.
        has_sent_valid_message: Whether the peer has sent a valid message; until then, the peer
            might not be a proxy.
    """

    __slots__ = (
        "_messages",
        "chunks",
        "close_requested_at",
        "event_queue",
        "frontend",
        "half_closed_at",
        "has_sent_valid_message",
        "is_queued",
        "is_reading",
        "is_shut_down",
        "is_suspect",
        "last_used",
        "limits",
        "listener",
        "message_count",
        "open_requests",
        "parser",
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
        for _ in range(limits.max_unprocessed_chunks):
            self.read_credits.put(None)
        self.parser = RespParser(
            limits.max_message_parts,
            limits.max_part_bytes,
            limits.max_skipped_bytes,
            limits.max_message_bytes,
        )
        self.chunks: SimpleQueue[bytes] = SimpleQueue()
        # The messages of the chunk that is being processed, or None.
        self._messages: Iterator[list[memoryview | None]] | None = None
        self.message_count = 0
        self.is_shut_down = False
        self.is_reading = False
        self.is_queued = False
        self.is_suspect = False
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
        self.read_credits.put(None)  # wakes the reader thread if it waits for a credit

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
            and self.read_credits.qsize() == self.limits.max_unprocessed_chunks
        )

    @property
    def has_unprocessed_input(self) -> bool:
        """Whether a chunk can be processed further.

        Before the front end has been told of the connection, none can; it then announces the input.
        """
        has_input = self._messages is not None or not self.chunks.empty()
        return has_input and self.frontend is not None

    @property
    def is_closed_by_peer(self) -> bool:
        """Whether the peer has closed its sending direction, even if there is unread data."""
        hang_up = select.poll()
        hang_up.register(self.sock, select.POLLRDHUP)
        return bool(hang_up.poll(0))

    @property
    def has_left_unnoticed(self) -> bool:
        """Whether the peer has left, and the reader thread waits for a credit to notice it."""
        return self.read_credits.empty() and self.is_closed_by_peer

    def process_input(self, max_messages: int) -> int:
        """Passes the next messages to the front end; returns their number."""
        return self.listener.events.input_received(self, max_messages)

    def next_message(self) -> ProxyMessage | None:
        """Decodes the next complete message, or returns None if there is none.

        Ends the connection if its input is not a sequence of messages.
        """
        try:
            return self._decode_next_message()
        except FramingError as error:
            if count := self.listener.framing_errors.count_and_check():
                log.warning(
                    "event=connection_ended count=%d peer=%s reason=framing detail=%r",
                    count,
                    self.peer,
                    str(error),
                )
        except Exception:  # a defect that one peer's input reveals must not end the others
            log.exception("event=connection_ended peer=%s reason=parser_failed", self.peer)
        self.abort()
        self.discard_input()
        return None

    def _decode_next_message(self) -> ProxyMessage | None:
        while self.has_unprocessed_input:
            if self._messages is None:
                self._messages = self.parser.feed(self.chunks.get_nowait())
            parts = next(self._messages, None)
            if parts is not None:
                self.message_count += 1
                return decode_message(parts, self.limits.max_body_bytes)
            self._messages = None
            self.partial_message_number = (
                self.message_count + 1 if self.parser.has_partial_message else 0
            )
            self.read_credits.put(None)
        return None

    def discard_input(self) -> None:
        """Discards the chunks that have been read and not processed."""
        if self._messages is not None:
            self._messages = None
            self.read_credits.put(None)
        while not self.chunks.empty():
            self.chunks.get_nowait()
            self.read_credits.put(None)

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
        except OSError:
            pass  # a proxy may reset its connections
        except Exception:
            log.exception("event=thread_failed thread=proxy-reader peer=%s", self.peer)
        finally:
            shut_down_socket(self.sock)
            self.event_queue.post_for_client(self.listener.events.connection_ended, self)

    def _read(self) -> None:
        """Reads chunks, each of which takes a read credit, until the connection ends."""
        readable = select.poll()
        readable.register(self.sock, select.POLLIN)
        while True:
            readable.poll()
            self.read_credits.get()
            self.is_reading = True
            chunk = self.sock.recv(self.limits.proxy_read_bytes)
            if not chunk or (self.is_shut_down and not self.half_closed_at):
                return
            if self.is_shut_down:
                self.read_credits.put(None)  # the chunk is discarded
            else:
                self.chunks.put(chunk)
                self.event_queue.announce_input(self)
            self.is_reading = False
