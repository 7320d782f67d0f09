"""Judges by the responses to gauge polls whether the executor reads its link."""

from __future__ import annotations

# Weights of the newest response time in the mean and in the mean deviation, and the multiple of the
# deviation that is allowed (RFC 6298, section 2).
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATION_MULTIPLE = 4
MIN_ALLOWANCE = 10  # tenths of a millisecond that a response may always be later than the mean


class LinkMonitor:
    """Compares the age of the oldest unanswered poll with the usual response time.

    Polls are numbered and answered in order. Times are in tenths of a millisecond.

    Owns the unanswered polls of the current link and the mean response time over all links.
    """

    def __init__(self) -> None:
        """Creates a monitor that has measured no response time."""
        self._unanswered: dict[int, int] = {}  # time of sending by number, oldest first
        self._mean: float | None = None
        self._deviation = 0.0

    def poll_sent(self, number: int, now: int) -> None:
        """Records that a poll was sent."""
        self._unanswered[number] = now

    def poll_answered(self, number: int, now: int) -> None:
        """Records the response to a poll; earlier polls without a response count as answered."""
        sent_at = self._unanswered.get(number)
        if sent_at is not None:
            self._record_response_time(now - sent_at)
        for earlier in [each for each in self._unanswered if each <= number]:
            del self._unanswered[earlier]

    def link_lost(self) -> None:
        """Forgets the unanswered polls, to which no response can come any more."""
        self._unanswered.clear()

    def is_responsive(self, now: int) -> bool:
        """Whether no response is later than usual. Before the first response, it is True."""
        if not self._unanswered or self._mean is None:
            return True
        allowance = max(MIN_ALLOWANCE, DEVIATION_MULTIPLE * self._deviation)
        oldest = next(iter(self._unanswered.values()))
        return now - oldest <= self._mean + allowance

    def _record_response_time(self, response_time: int) -> None:
        if self._mean is None:
            self._mean = float(response_time)
            self._deviation = response_time / 2
            return
        error = response_time - self._mean
        self._deviation += DEVIATION_WEIGHT * (abs(error) - self._deviation)
        self._mean += MEAN_WEIGHT * error
