"""The accept loop of stand-in servers, with one thread per connection."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable


def serve_connections(
    listener: socket.socket, is_ended: Callable[[], bool], serve: Callable[[socket.socket], None]
) -> None:
    """Calls `serve` with each accepted connection, in a daemon thread of its own.

    Returns when the listener is closed, or when `is_ended` returns true before the next accept.
    """
    while not is_ended():
        try:
            sock, _ = listener.accept()
        except OSError:
            return
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=serve, args=(sock,), daemon=True).start()
