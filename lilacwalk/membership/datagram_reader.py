"""The thread that receives datagrams, authenticates them and queues them."""

from __future__ import annotations

import logging
import socket
import threading
from collections import Counter
from typing import Protocol

from lilacwalk.event_queue import EventQueue
from lilacwalk.log import ReportThrottle
from lilacwalk.membership.messages import Datagram, DatagramError, unseal

log = logging.getLogger(__name__)
RECEIVE_BYTES = 65_536  # the maximum size of a UDP datagram
ERROR_PAUSE_SECONDS = 0.01  # prevents a busy loop on a persistent socket error


class DatagramHandler(Protocol):
    """Handles a received datagram."""

    def __call__(self, datagram: Datagram) -> None:
        """Called in the state machine's thread, after the datagram was authenticated."""


class DatagramReader:
    """Reads one UDP socket until stopped.

    Owns its thread, and the counts of dropped datagrams by reason. The socket belongs to the
    transport, which shuts it down to end the thread.
    """

    def __init__(
        self,
        udp_socket: socket.socket,
        keys: tuple[bytes, ...],
        event_queue: EventQueue,
        on_datagram: DatagramHandler,
        max_queued: int,
        stopped: threading.Event,
    ) -> None:
        """Creates the thread; datagrams are dropped while `max_queued` events are queued."""
        self.udp_socket = udp_socket
        self.keys = keys  # a reload assigns a new tuple
        self.event_queue = event_queue
        self.on_datagram = on_datagram
        self.max_queued = max_queued
        self.stopped = stopped
        self.counts: Counter[str] = Counter()
        self._throttles: dict[str, ReportThrottle] = {}
        self._thread = threading.Thread(target=self._run, name="fleet-reader", daemon=True)

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def report_refused(self, reason: str) -> None:
        """Counts a dropped datagram or a socket error; logs the 1st, 2nd, 4th, 8th per reason."""
        self.counts[reason] += 1
        throttle = self._throttles.setdefault(reason, ReportThrottle())
        if count := throttle.count_and_check():
            log.warning({"event": "fleet_datagram_refused", "why": reason, "count": count})

    def _run(self) -> None:
        while not self.stopped.is_set():
            data = self._receive()
            if data is not None:
                self._handle(data)

    def _receive(self) -> bytes | None:
        try:
            data, _ = self.udp_socket.recvfrom(RECEIVE_BYTES)
        except OSError as error:
            if not self.stopped.is_set():
                self.report_refused(f"socket error: {error.strerror}")
                self.stopped.wait(ERROR_PAUSE_SECONDS)
            return None
        # The transport shuts the socket down to wake this thread, which then reads no data.
        is_wake_up = not data and self.stopped.is_set()
        return None if is_wake_up else data

    def _handle(self, data: bytes) -> None:
        try:
            datagram = unseal(data, self.keys)
        except DatagramError as error:
            self.report_refused(error.kind)
        except Exception:
            log.exception("event=thread_failed thread=fleet-reader")
        else:
            if self.event_queue.qsize() >= self.max_queued:
                self.report_refused("queue full")
            else:
                self.event_queue.post(self.on_datagram, datagram)
