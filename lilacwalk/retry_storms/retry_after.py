"""Draws retry-after times over the backlog, so that rejected clients do not return at once. No I/O.

Times are drawn over what the backlog needs, and longer for a client that was rejected before: all
nodes together must not call their clients back into one second. They are never longer than the
settings allow, and never zero where the settings allow any.
"""

from __future__ import annotations

import random
from collections.abc import Hashable
from dataclasses import dataclass

SECOND = 10_000  # tenths of a ms
MIN_RETRY_AFTER = SECOND // 20  # sooner than this nothing has changed
MAX_CLIENTS = 8_192  # whose rejections are counted
CLIENT_RETENTION = 30 * SECOND  # since the last rejection
MAX_DOUBLINGS = 3  # of the time, for a client that is rejected again and again
MIN_TIME_DIVISOR = 4  # the shortest time is this part of the longest


@dataclass(frozen=True, slots=True)
class ClientRejections:
    """How often a client was rejected, and when last."""

    count: int
    last_at: int


class RetryAfterSpreader:
    """The backlog of rejected requests, and the clients they came from. Owned by the damper."""

    def __init__(self, rng: random.Random, max_retry_after: int) -> None:
        """`max_retry_after`: tenths of a ms; 0: no retry-after time may be given."""
        self.max_retry_after = max_retry_after
        self._rng = rng
        self._rejections: dict[Hashable, ClientRejections] = {}  # in the order of the last one
        self._backlog_end = 0  # when all rejected requests would have been served

    def retry_after(
        self, client: Hashable, completion_rate: float, fleet_load_factor: float, now: int
    ) -> int:
        """Returns a time in tenths of a ms from now.

        Args:
            client: whom the request came from.
            completion_rate: requests a second that this node completes.
            fleet_load_factor: nodes whose clients come here, for each node that is up (1: its own).
            now: elapsed time in tenths of a ms.
        """
        if not self.max_retry_after:
            return 0
        earlier_count = self._count_rejection(client, now)
        service_time = int(SECOND * max(1.0, fleet_load_factor) / max(1.0, completion_rate))
        self._backlog_end = max(self._backlog_end, now) + service_time
        # The whole backlog, not its length so far: a time drawn now may be before earlier ones.
        longest = (self._backlog_end - now) << min(earlier_count, MAX_DOUBLINGS)
        longest = min(self.max_retry_after, max(2 * MIN_RETRY_AFTER, longest))
        shortest = max(MIN_RETRY_AFTER, longest // MIN_TIME_DIVISOR)
        return int(self._rng.uniform(shortest, longest))

    def _count_rejection(self, client: Hashable, now: int) -> int:
        """Returns how often the client was rejected before."""
        earlier = self._rejections.pop(client, None)
        earlier_count = earlier.count if earlier is not None else 0
        self._rejections[client] = ClientRejections(earlier_count + 1, now)
        if len(self._rejections) > MAX_CLIENTS:
            del self._rejections[next(iter(self._rejections))]
        return earlier_count

    def tick(self, now: int) -> None:
        """Forgets clients that were not rejected for a while."""
        for client in list(self._rejections):
            if now - self._rejections[client].last_at <= CLIENT_RETENTION:
                break
            del self._rejections[client]
