"""The UDP socket of a member: sends sealed datagrams and receives them in a thread of its own."""

from __future__ import annotations

import contextlib
import logging
import socket
import threading
from collections import Counter

from lilacwalk.event_queue import EventQueue
from lilacwalk.membership.actions import SendDatagram
from lilacwalk.membership.datagram_reader import DatagramHandler, DatagramReader
from lilacwalk.membership.messages import DatagramError, seal

log = logging.getLogger(__name__)
MAX_QUEUED_DATAGRAMS = 2_000  # datagrams of half a second of a flood; the excess is dropped
SOCKET_BUFFER_BYTES = 1_048_576  # holds datagrams that arrive while this process stalls


class DatagramTransport:
    """Owns the socket, the keys and the reader, and counts datagrams that could not be sent."""

    def __init__(
        self,
        listen: tuple[str, int],
        keys: tuple[bytes, ...],
        event_queue: EventQueue,
        on_datagram: DatagramHandler,
        stopped: threading.Event,
    ) -> None:
        """Binds the socket; received datagrams are queued as calls of `on_datagram`.

        Raises:
            OSError: the address cannot be used.
        """
        self.keys = keys
        self.udp_socket = _bind(listen)
        self.counts: Counter[str] = Counter()
        self.reader = DatagramReader(
            self.udp_socket, keys, event_queue, on_datagram, MAX_QUEUED_DATAGRAMS, stopped
        )

    def start(self) -> None:
        """Starts the thread that receives datagrams."""
        self.reader.start()

    def use_keys(self, keys: tuple[bytes, ...]) -> None:
        """Replaces the keys for sending and receiving; the first one seals."""
        self.keys = keys
        self.reader.keys = keys

    def send(self, action: SendDatagram) -> None:
        """Sends a datagram without waiting; one that cannot be sent is lost."""
        try:
            data = seal(action.datagram, self.keys[0])
            self.udp_socket.sendto(data, socket.MSG_DONTWAIT, action.address)
        except DatagramError as error:
            self.reader.report_refused(f"outgoing {error.kind}")
        except OSError as error:
            self.counts["unsent"] += 1
            log.debug("event=datagram_lost detail=%r", str(error))

    def close(self) -> None:
        """Closes the socket; the reader ends if its `stopped` event is set."""
        with contextlib.suppress(OSError):  # the socket is not connected; this wakes the reader
            self.udp_socket.shutdown(socket.SHUT_RDWR)
        self.udp_socket.close()


def _bind(address: tuple[str, int]) -> socket.socket:
    """Returns a UDP socket bound to the address.

    Raises:
        OSError: the address cannot be used; no socket is left open.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    udp_socket = socket.socket(family, socket.SOCK_DGRAM)
    try:
        udp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
        udp_socket.bind(address)
    except OSError:
        udp_socket.close()
        raise
    return udp_socket
