"""Accepts connections for a stand-in server and serves each in its own thread."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable


def serve_each(
    listener: socket.socket, is_ended: Callable[[], bool], serve: Callable[[socket.socket], None]
) -> None:
    """Accepts until `is_ended` is true or the listener is closed."""
    while not is_ended():
        try:
            sock, _ = listener.accept()
        except OSError:
            return
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=serve, args=(sock,), daemon=True).start()
