"""Health reports to the service registry: one datagram each, without acknowledgement."""

from __future__ import annotations

import logging
import socket

log = logging.getLogger(__name__)


class RegistryReporter:
    """Sends the health of this server, under its name, to the service registry."""

    def __init__(self, address: tuple[str, int], name: str) -> None:
        """Creates the socket that sends the reports; `name` is this server's name."""
        self.address = address
        self.name = name
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)  # a full buffer drops the report instead of blocking

    def set_address(self, address: tuple[str, int]) -> None:
        """Sends subsequent reports to another address."""
        self.address = address

    def report(self, is_healthy: bool) -> None:
        """Sends one report; a report that cannot be sent is dropped."""
        status = "passing" if is_healthy else "critical"
        try:
            self.sock.sendto(f"alive {self.name} {status}".encode(), self.address)
        except OSError as error:
            log.debug("event=report_lost detail=%r", str(error))
