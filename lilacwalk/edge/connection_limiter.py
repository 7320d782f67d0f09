"""Limits the rate of connections per source, and the number of connections without a HELLO frame.

Sources are counted in a sketch, so that memory does not grow with the number of sources.
"""

from __future__ import annotations

from lilacwalk.edge.sketch import Sketch

HALF_LIFE = 100_000  # tenths of a ms; half-life of a source's connection count
# IPv6 sources are counted by their /48 network, since one host can use many addresses of it.
IPV6_PREFIX_BYTES = 6


class ConnectionLimiter:
    """Counts the connections of each source, and tracks the unidentified ones.

    A connection is unidentified until its HELLO frame has been received. Times are in tenths of a
    millisecond.
    """

    def __init__(self, max_per_source: int, max_unidentified: int, seed: int, now: int) -> None:
        """Creates a limiter.

        Args:
            max_per_source: Maximum decayed count of connections from one source.
            max_unidentified: Maximum number of unidentified connections.
            seed: Secret seed of the sketch.
            now: The current time.
        """
        self.max_per_source, self.max_unidentified = max_per_source, max_unidentified
        self.sketch = Sketch(seed, HALF_LIFE, now)
        self.unidentified: dict[int, int] = {}  # time of acceptance by connection, oldest first
        self.rejected = 0  # number of rejected connections

    @staticmethod
    def source(address: bytes) -> bytes:
        """Returns the key under which an address is counted."""
        return address[:IPV6_PREFIX_BYTES] if len(address) == 16 else address

    def admit(self, connection: int, address: bytes, now: int) -> str:
        """Counts a connection, and returns the reason for its rejection, or "" if it is admitted.

        Rejected connections count as well, so that a source that keeps reconnecting stays blocked
        until it stops.
        """
        if self.sketch.add(self.source(address), now) > self.max_per_source:
            self.rejected += 1
            return "too many connections from this source"
        self.unidentified[connection] = now
        return ""

    def oldest_excess(self) -> int | None:
        """Returns the oldest unidentified connection if there are too many, otherwise None.

        The caller closes it, so that a flood of unidentified connections displaces itself.
        """
        return (
            next(iter(self.unidentified))
            if len(self.unidentified) > self.max_unidentified
            else None
        )

    def identified(self, connection: int) -> None:
        """Stops tracking a connection that has sent its HELLO frame or was closed."""
        self.unidentified.pop(connection, None)

    def overdue(self, timeout: int, now: int) -> list[int]:
        """Returns the connections that have been unidentified for longer than `timeout`."""
        return [
            connection
            for connection, accepted_at in self.unidentified.items()
            if now - accepted_at > timeout
        ]
