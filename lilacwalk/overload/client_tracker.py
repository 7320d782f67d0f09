"""Tracks how active clients are and which timeouts they use."""

from __future__ import annotations

from lilacwalk.overload.model import Request, RequestClass

RETURNING_WEIGHT = 0.05  # weight of the newest request in the moving share of returning clients
ACTIVITY_DECAY = 0.8  # factor per control period
MINIMUM_ACTIVITY = 0.05  # activity at or below which a client is removed
MINIMUM_TRACKED_ACTIVITY = 2  # clients with less share one set of timeout counts
TIMEOUT_BUCKETS = 50  # histogram buckets from 0 to the timeout of the request class
MAXIMUM_TIMEOUT_COUNT = 400  # requests in a histogram above which its counts are halved
USUAL_TIMEOUT_SHARE = 0.25  # share of a client's requests from which a timeout counts as usual


class ClientTracker:
    """Owns the recent activity of each client and histograms of the timeouts of its requests."""

    def __init__(self) -> None:
        """Starts without clients and with a share of returning clients of 1."""
        self.activity: dict[int, float] = {}  # decaying number of requests by client
        self.returning_share = 1.0  # share of requests from clients seen in the last seconds
        # Timeout histograms, bucket to count, by client (None: all with little activity) and class.
        self.timeout_counts: dict[tuple[int | None, RequestClass], dict[int, float]] = {}

    def record_request(self, client: int) -> None:
        """Counts a request of `client`."""
        is_returning = client in self.activity
        self.returning_share += RETURNING_WEIGHT * (is_returning - self.returning_share)
        self.activity[client] = self.activity.get(client, 0.0) + 1

    def decay(self) -> None:
        """Decays activity, once each control period, and removes inactive clients."""
        self.activity = {
            client: activity * ACTIVITY_DECAY
            for client, activity in self.activity.items()
            if activity > MINIMUM_ACTIVITY
        }
        # A restarted client has a new number, so timeouts under the old one are not needed.
        known = {None, *self.activity}
        self.timeout_counts = {
            key: counts for key, counts in self.timeout_counts.items() if key[0] in known
        }

    def elapsed_before_arrival(self, request: Request) -> int:
        """Estimates the time that the client spent on earlier attempts at other servers.

        A first attempt carries one of the client's usual timeouts, a later one the time that is
        left of the request class's timeout. An unusual timeout therefore reveals the age of the
        request, which its arrival time does not show. The estimate is wrong for clients whose
        timeouts have no usual values.
        """
        stated_timeout = request.deadline - request.arrived_at
        class_timeout = request.request_class.timeout
        client = (
            request.client if self.activity[request.client] >= MINIMUM_TRACKED_ACTIVITY else None
        )
        key = (client, request.request_class)
        counts = self.timeout_counts.setdefault(key, {})
        bucket = TIMEOUT_BUCKETS * stated_timeout // class_timeout
        counts[bucket] = counts.get(bucket, 0) + 1
        total = sum(counts.values())
        if total > MAXIMUM_TIMEOUT_COUNT:
            self.timeout_counts[key] = {each: n / 2 for each, n in counts.items() if n > 1}
        similar_count = sum(counts.get(each, 0) for each in (bucket - 1, bucket, bucket + 1))
        if similar_count >= USUAL_TIMEOUT_SHARE * total:
            return 0
        return max(0, class_timeout - stated_timeout)
