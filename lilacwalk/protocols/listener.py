"""Creation of listening TCP sockets."""

from __future__ import annotations

import socket


def listen(address: tuple[str, int], backlog: int) -> socket.socket:
    """Returns a socket that listens on an IPv4 or IPv6 address.

    Raises:
        OSError: Listening on the address failed; no socket is left open.
    """
    host, _ = address
    sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(backlog)
    except OSError:
        sock.close()
        raise
    return sock
