"""Draws retry-after times so that rejected clients do not all retry at the same time. No I/O.

Times are drawn over the time needed to serve the backlog, and are longer for a client that was
rejected before: the clients of all nodes together must not retry within one second. The times never
exceed the configured maximum, and are zero only if that maximum is zero.
"""

from __future__ import annotations

import random
from collections.abc import Hashable
from dataclasses import dataclass

SECOND = 10_000  # tenths of a ms
MIN_RETRY_AFTER = SECOND // 20  # the load does not change within a shorter time
MAX_CLIENTS = 8_192  # clients whose rejections are counted
CLIENT_RETENTION = 30 * SECOND  # time from a client's last rejection until its removal
MAX_DOUBLINGS = 3  # doublings of the longest time for a client that is rejected repeatedly
MIN_TIME_DIVISOR = 4  # the shortest time that is drawn is the longest one divided by this


@dataclass(frozen=True, slots=True)
class ClientRejections:
    """How often a client was rejected, and the time of the last rejection."""

    count: int
    last_at: int


class RetryAfterSpreader:
    """Tracks rejected requests by client, and the time to serve them. Owned by the damper."""

    def __init__(self, rng: random.Random, max_retry_after: int) -> None:
        """`max_retry_after` is in tenths of a ms; 0: rejections must not carry a time."""
        self.max_retry_after = max_retry_after
        self._rng = rng
        self._rejections: dict[Hashable, ClientRejections] = {}  # least recently rejected first
        self._backlog_end = 0  # time by which all rejected requests could have been served

    def retry_after(
        self, client: Hashable, completion_rate: float, fleet_load_factor: float, now: int
    ) -> int:
        """Counts a rejection and draws its retry-after time, in tenths of a ms from now.

        The result is 0 if rejections must not carry a time.

        Args:
            client: the client that sent the request.
            completion_rate: requests a second that this node completes.
            fleet_load_factor: known members over members that are up, whose clients include those
                of the other members; at 1 this node serves only its own clients.
            now: elapsed time in tenths of a ms.
        """
        if not self.max_retry_after:
            return 0
        earlier_count = self._count_rejection(client, now)
        service_time = int(SECOND * max(1.0, fleet_load_factor) / max(1.0, completion_rate))
        self._backlog_end = max(self._backlog_end, now) + service_time
        # Drawn over the whole time to serve the backlog, not at its end: a client may retry before
        # one that was rejected earlier.
        longest = (self._backlog_end - now) << min(earlier_count, MAX_DOUBLINGS)
        longest = min(self.max_retry_after, max(2 * MIN_RETRY_AFTER, longest))
        shortest = max(MIN_RETRY_AFTER, longest // MIN_TIME_DIVISOR)
        return int(self._rng.uniform(shortest, longest))

    def _count_rejection(self, client: Hashable, now: int) -> int:
        """Counts a rejection of the client; returns the number of earlier ones."""
        earlier = self._rejections.pop(client, None)
        earlier_count = earlier.count if earlier is not None else 0
        self._rejections[client] = ClientRejections(earlier_count + 1, now)
        if len(self._rejections) > MAX_CLIENTS:
            del self._rejections[next(iter(self._rejections))]
        return earlier_count

    def tick(self, now: int) -> None:
        """Removes clients that were not rejected within `CLIENT_RETENTION`."""
        for client in list(self._rejections):
            if now - self._rejections[client].last_at <= CLIENT_RETENTION:
                break
            del self._rejections[client]
