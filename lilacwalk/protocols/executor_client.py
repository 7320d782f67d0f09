"""The link to the executor and the thread that reads from it."""

from __future__ import annotations

import logging
import socket
import threading
from typing import Protocol

from lilacwalk.event_queue import EventQueue
from lilacwalk.limits import SECOND, Limits
from lilacwalk.protocols.errors import FramingError
from lilacwalk.protocols.executor_codec import (
    LOG_MESSAGE_PREFIX,
    ExecutorEvent,
    decode_event,
    encode_open,
    has_body,
)
from lilacwalk.protocols.lines import LineParser
from lilacwalk.protocols.send_buffer import SendBuffer, shut_down_socket

log = logging.getLogger(__name__)


class LinkConnectedHandler(Protocol):
    """Takes over a new link."""

    def __call__(self, send_buffer: SendBuffer, open_message: bytes, /) -> object:
        """Sends `open_message` before all else; the executor then replays its events."""
        ...


class ExecutorEventsHandler(Protocol):
    """Handles the events received on a link."""

    def __call__(self, send_buffer: SendBuffer, events: list[ExecutorEvent], /) -> object:
        """Handles the events in order; `send_buffer` identifies the link."""
        ...


class LinkDisconnectedHandler(Protocol):
    """Handles the loss of a link."""

    def __call__(self, send_buffer: SendBuffer, /) -> object:
        """Closes the link's send buffer."""
        ...


class ExecutorClient:
    """Maintains one link to the executor, and reconnects after each loss.

    Each numbered event is posted once, however often the executor repeats it. The handlers
    `on_connected`, `on_events` and `on_disconnected` are set before `start`; the event loop calls
    them in its own thread.
    """

    def __init__(
        self,
        address: tuple[str, int],
        limits: Limits,
        event_queue: EventQueue,
        gauge_names: list[str],
    ) -> None:
        """Sets the executor's address, and the gauge names in the order of their values."""
        self.address = address
        self.limits = limits
        self.event_queue = event_queue
        self.gauge_names = gauge_names
        self.on_connected: LinkConnectedHandler
        self.on_events: ExecutorEventsHandler
        self.on_disconnected: LinkDisconnectedHandler
        self.last_event_number = 0
        self.closed = threading.Event()
        self.sock: socket.socket | None = None

    def start(self) -> None:
        """Starts the thread that connects and reads."""
        threading.Thread(target=self._run, name="executor-reader", daemon=True).start()

    def close(self) -> None:
        """Closes the link, and stops the thread."""
        self.closed.set()
        if self.sock is not None:
            shut_down_socket(self.sock)

    def set_address(self, address: tuple[str, int]) -> None:
        """Reconnects to another address without delay.

        Messages that may have been lost on the old link are sent again, as after any lost link.
        """
        self.address = address
        if self.sock is not None:
            shut_down_socket(self.sock)

    def create_parser(self) -> LineParser:
        """Creates the parser of a new link."""
        return LineParser(
            has_body,
            self.limits.max_line_bytes,
            self.limits.max_reply_bytes,
            truncated_prefix=LOG_MESSAGE_PREFIX,
        )

    def _run(self) -> None:
        delay = self.limits.min_reconnect_delay
        try:
            while not self.closed.is_set():
                address = self.address
                if self._run_link(address):
                    delay = self.limits.min_reconnect_delay
                else:
                    delay = min(self.limits.max_reconnect_delay, 2 * delay)
                if address == self.address:  # no delay if the address has changed
                    self.closed.wait(delay / SECOND)
        except Exception:  # nothing can be executed without this thread, so the process ends
            log.exception("event=thread_failed thread=executor-reader")
            self.event_queue.fail("the thread that reads from the executor failed")

    def _run_link(self, address: tuple[str, int]) -> bool:
        """Opens a link and reads from it until it is closed.

        Returns:
            Whether any data was received.
        """
        try:
            sock = socket.create_connection(address, self.limits.connect_timeout / SECOND)
        except OSError:
            return False
        self.sock = sock
        if address != self.address:  # `set_address` ran before `self.sock` was set
            shut_down_socket(sock)
        sock.settimeout(None)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        send_buffer = SendBuffer(sock, self.limits.executor_send_buffer_bytes, "executor")
        open_message = encode_open(self.last_event_number)
        self.event_queue.post(self.on_connected, send_buffer, open_message)
        has_received = self._read(sock, send_buffer)
        shut_down_socket(sock)
        self.event_queue.post(self.on_disconnected, send_buffer)
        return has_received

    def _read(self, sock: socket.socket, send_buffer: SendBuffer) -> bool:
        """Reads from the link until it is closed, and posts the new events.

        Returns:
            Whether any data was received.
        """
        parser = self.create_parser()
        has_received = False
        try:
            while chunk := sock.recv(self.limits.link_read_bytes):
                has_received = True
                events = [
                    decode_event(words, body, self.gauge_names)
                    for words, body in parser.feed(chunk)
                ]
                if new_events := self._drop_repeated(events):
                    self.event_queue.post(self.on_events, send_buffer, new_events)
        except FramingError as error:
            log.warning("event=executor_link_ended reason=framing detail=%r", str(error))
        except OSError:
            pass  # the link was reset, or shut down by this side
        return has_received

    def _drop_repeated(self, events: list[ExecutorEvent | None]) -> list[ExecutorEvent]:
        new_events = []
        for event in events:
            if event is None:
                continue
            if event.event_number:
                if event.event_number <= self.last_event_number:
                    continue
                self.last_event_number = event.event_number
            new_events.append(event)
        return new_events
