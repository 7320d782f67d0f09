"""Estimates round trip, loss and throughput of a device's link, and delivery times of answers.

The estimates outlive connections: the next connection of the device starts with them.
"""

from __future__ import annotations

INITIAL_ROUND_TRIP = 3_000  # tenths of a ms; 300 ms is typical of a mobile link
# Tenths of a ms; a longer round trip is a stall, which does not predict the next one.
MAX_ROUND_TRIP = 100_000
INITIAL_THROUGHPUT = 2_000.0  # bytes per 100 ms; 20 KB/s is a poor link
MEAN_WEIGHT, DEVIATION_WEIGHT = 1 / 8, 1 / 4  # RFC 6298 section 2
# Number of mean deviations added to the round trip for heartbeats; delivery times include none.
HEARTBEAT_DEVIATIONS = 2
STALL_FACTOR = 3  # multiple of the mean round trip; longer samples are stalls and are clipped to it
LOSS_WEIGHT = 1 / 16


class Link:
    """Moving averages of the properties of one device's link."""

    __slots__ = ("deviation", "is_measured", "loss_ratio", "mean_round_trip", "throughput")

    def __init__(self) -> None:
        """Creates estimates for a link without samples."""
        self.mean_round_trip, self.deviation = float(INITIAL_ROUND_TRIP), INITIAL_ROUND_TRIP / 2
        self.is_measured = False
        self.loss_ratio = 0.0  # share of connections or probes that ended without a reply
        self.throughput = INITIAL_THROUGHPUT  # bytes per 100 ms

    def record_round_trip(self, duration: int) -> None:
        """Records the time between a ping and its echo, in tenths of a millisecond."""
        duration = max(1, min(duration, MAX_ROUND_TRIP))
        if not self.is_measured:
            self.mean_round_trip, self.deviation, self.is_measured = (
                float(duration),
                duration / 2,
                True,
            )
        else:
            duration = min(duration, int(STALL_FACTOR * self.mean_round_trip) + 1)
            self.deviation += DEVIATION_WEIGHT * (
                abs(self.mean_round_trip - duration) - self.deviation
            )
            self.mean_round_trip += MEAN_WEIGHT * (duration - self.mean_round_trip)
        self.loss_ratio -= LOSS_WEIGHT * self.loss_ratio

    def record_loss(self) -> None:
        """Records that a connection broke or that a probe was not answered."""
        self.loss_ratio += LOSS_WEIGHT * (1.0 - self.loss_ratio)

    def record_delivery(self, size: int, duration: int) -> None:
        """Records that `size` bytes were acknowledged `duration` after they were sent.

        `duration` is in tenths of a millisecond. Small answers are ignored, since their time shows
        the round trip and not the throughput.
        """
        if size >= 1_000 and duration > self.mean_round_trip:
            throughput = size * 1_000 / max(1.0, duration - self.mean_round_trip / 2)
            self.throughput += MEAN_WEIGHT * (throughput - self.throughput)

    def delivery_time(self, size: int) -> int:
        """Returns the expected time until an answer of this size is delivered, in tenths of a
        millisecond.

        The time is half a round trip, the transmission time, and a further round trip for the share
        of answers that is lost and sent again. No deviation is added: an estimate that is too low
        makes an answer late now and then, one that is too high rejects requests that could have
        been answered.
        """
        one_delivery = self.mean_round_trip / 2 + size * 1_000 / max(1.0, self.throughput)
        return int(
            one_delivery + self.loss_ratio / max(0.1, 1.0 - self.loss_ratio) * self.mean_round_trip
        )

    def heartbeat_interval(self, max_interval: int) -> int:
        """Returns the time between probes of an idle link, in tenths of a millisecond.

        The interval is a multiple of the round trip, so that a stall is detected early, but at
        least a tenth of `max_interval`, so that probes do not keep the radio of an unreachable
        device awake.
        """
        return int(
            max(
                max_interval / 10,
                min(
                    max_interval,
                    20 * (self.mean_round_trip + HEARTBEAT_DEVIATIONS * self.deviation),
                ),
            )
        )
