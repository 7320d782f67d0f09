"""Detects connections that send a frame too slowly.

A slow sender and a stalled link have a similar mean rate, but differ in the number of seconds in
which bytes arrive: a stalled link delivers nothing and then a burst, a slow sender delivers a byte
in every second.
"""

from __future__ import annotations

SECOND = 10_000
# Seconds with received bytes before the rate is checked; a frame's header may arrive alone.
MIN_ACTIVE_SECONDS = 3
# Seconds of a frame's transfer after which the minimum rate has doubled.
DOUBLING_SECONDS = 10


class FrameProgress:
    """Progress of the frame that a connection is receiving.

    Times are in tenths of a millisecond; `active_seconds` is the number of seconds in which bytes
    of the frame were received.
    """

    __slots__ = ("active_seconds", "last_active_second", "received_bytes", "started_at")

    def __init__(self) -> None:
        """Creates the state without a frame in progress."""
        self.started_at = 0  # 0 if no frame is in progress
        self.active_seconds = self.last_active_second = self.received_bytes = 0

    def add_bytes(self, size: int, frame_count: int, is_partial: bool, now: int) -> None:
        """Records received bytes that completed `frame_count` frames.

        `is_partial` says whether a further frame has begun.
        """
        if frame_count or not self.started_at:
            self.started_at = now if is_partial else 0
            self.active_seconds, self.last_active_second, self.received_bytes = (
                int(is_partial),
                now // SECOND,
                0,
            )
            return
        if now // SECOND != self.last_active_second:
            self.last_active_second = now // SECOND
            self.active_seconds += 1
        self.received_bytes += size
        if not is_partial:
            self.started_at = 0

    def is_too_slow(self, min_rate: int, max_duration: int, now: int) -> bool:
        """Whether the frame takes longer than `max_duration`, or arrives below the minimum rate.

        `min_rate` is in bytes per second. The rate is averaged over the seconds in which bytes
        arrived. The minimum rises linearly and has doubled after `DOUBLING_SECONDS`.
        """
        if not self.started_at:
            return False
        if now - self.started_at > max_duration:
            return True
        floor = min_rate * (1 + (now - self.started_at) / SECOND / DOUBLING_SECONDS)
        return (
            self.active_seconds > MIN_ACTIVE_SECONDS
            and self.received_bytes / self.active_seconds < floor
        )
