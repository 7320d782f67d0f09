"""Tracks how active clients are and which timeouts they use."""

from __future__ import annotations

from lilacwalk.overload.model import Request, RequestClass

RETURNING_WEIGHT = 0.05  # weight of the newest request in the moving average `returning_share`
ACTIVITY_DECAY = 0.8  # factor applied to each client's activity once per control period
MINIMUM_ACTIVITY = 0.05  # a client is removed unless its activity is above this value
# Clients whose activity is below this value have no histograms of timeouts of their own; they share
# one histogram for each request class.
MINIMUM_TRACKED_ACTIVITY = 2
TIMEOUT_BUCKETS = 50  # number of histogram buckets between 0 and the timeout of the request class
MAXIMUM_TIMEOUT_COUNT = 400  # number of requests in a histogram above which its counts are halved
# A timeout is one of the client's usual ones if at least this fraction of its requests have about
# the same timeout.
USUAL_TIMEOUT_SHARE = 0.25


class ClientTracker:
    """Owns the recent activity of each client and histograms of the timeouts of its requests."""

    def __init__(self) -> None:
        """Creates a tracker that knows no clients; `returning_share` starts at 1."""
        # The activity by client: its number of requests, which decays over time.
        self.activity: dict[int, float] = {}
        # Moving average of the fraction of requests from clients that sent earlier requests in the
        # last seconds.
        self.returning_share = 1.0
        # Histograms of timeouts (bucket to count) by client and request class. All clients whose
        # activity is low share the histograms of the client None.
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
        # A client has another number after it restarts, so histograms of removed clients would not
        # be used again.
        known = {None, *self.activity}
        self.timeout_counts = {
            key: counts for key, counts in self.timeout_counts.items() if key[0] in known
        }

    def elapsed_before_arrival(self, request: Request) -> int:
        """Estimates the time that the client spent on earlier attempts at other servers.

        The first attempt of a request is sent with one of the client's usual timeouts, the last
        attempt with the remainder of the request class's timeout. An unusual timeout therefore
        reveals the age of the request, which its arrival time does not show. The estimate is wrong
        for clients that have no usual timeouts.

        Also counts the timeout in a histogram, and is therefore to be called once for each request,
        after `record_request`.

        Returns:
            The time in tenths of a millisecond; 0 if the timeout is a usual one.
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
