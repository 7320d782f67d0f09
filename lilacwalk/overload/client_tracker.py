"""What is known of clients: how active they are, and how patient."""

from __future__ import annotations

from lilacwalk.overload.model import Request, RequestClass

RETURNING_WEIGHT = 0.05  # of the newest request in the running share of returning clients
ACTIVITY_DECAY = 0.8  # each control period
MINIMUM_ACTIVITY = 0.05  # below it a client is forgotten
MINIMUM_TRACKED_ACTIVITY = 2  # clients with less are treated as one
TIMEOUT_BUCKETS = 50  # in which the class's timeout is divided to count clients' timeouts
MAXIMUM_TIMEOUT_COUNT = 400  # requests counted before counts are halved
USUAL_TIMEOUT_SHARE = 0.25  # of a client's requests; a timeout as frequent is one of its usual ones


class ClientTracker:
    """Owns the activity of each client and the timeouts that its requests state."""

    def __init__(self) -> None:
        """Starts without any client, and takes the first ones as returning."""
        self.activity: dict[int, float] = {}  # requests of late, by client
        self.returning_share = 1.0  # of the requests, from clients seen within the last seconds
        # How often each timeout was stated, in buckets; by client (None: all that are seldom seen).
        self.timeout_counts: dict[tuple[int | None, RequestClass], dict[int, float]] = {}

    def record_request(self, client: int) -> None:
        """Counts a request of `client`."""
        is_returning = client in self.activity
        self.returning_share += RETURNING_WEIGHT * (is_returning - self.returning_share)
        self.activity[client] = self.activity.get(client, 0.0) + 1

    def decay(self) -> None:
        """Lets activity fade, once each control period, and forgets clients that are gone."""
        self.activity = {
            client: activity * ACTIVITY_DECAY
            for client, activity in self.activity.items()
            if activity > MINIMUM_ACTIVITY
        }
        # Clients come back under other numbers after a restart, so their timeouts go as well.
        known = {None, *self.activity}
        self.timeout_counts = {
            key: counts for key, counts in self.timeout_counts.items() if key[0] in known
        }

    def elapsed_before_arrival(self, request: Request) -> int:
        """How long the client had been trying elsewhere before this request, as an estimate.

        The first attempt states one of the client's usual timeouts, the last one what is left of
        the class's timeout. A timeout that is seldom seen therefore tells how old the request is;
        by its arrival alone it would look fresh. The estimate misleads where a client's timeouts
        vary without end.
        """
        stated = request.deadline - request.arrived_at
        class_timeout = request.request_class.timeout
        client = (
            request.client if self.activity[request.client] >= MINIMUM_TRACKED_ACTIVITY else None
        )
        key = (client, request.request_class)
        counts = self.timeout_counts.setdefault(key, {})
        bucket = TIMEOUT_BUCKETS * stated // class_timeout
        counts[bucket] = counts.get(bucket, 0) + 1
        total = sum(counts.values())
        if total > MAXIMUM_TIMEOUT_COUNT:
            self.timeout_counts[key] = {each: n / 2 for each, n in counts.items() if n > 1}
        similar = sum(counts.get(each, 0) for each in (bucket - 1, bucket, bucket + 1))
        if similar >= USUAL_TIMEOUT_SHARE * total:
            return 0
        return max(0, class_timeout - stated)
