"""The clock of the process: Unix time in tenths of a millisecond that never decreases."""

from __future__ import annotations

import time
from collections.abc import Callable

NANOSECONDS_PER_TICK = 100_000  # a tick is a tenth of a millisecond


class Clock:
    """Follows the system clock; if that is set back, continues by the elapsed time instead.

    If the time of the process decreased, every timer would be delayed. Owns the last reading of
    both sources and the offset from the system clock.
    """

    def __init__(
        self,
        unix: Callable[[], int] = time.time_ns,
        elapsed: Callable[[], int] = time.monotonic_ns,
    ) -> None:
        """Reads both sources; both return nanoseconds, and `elapsed` never decreases."""
        self._unix = unix
        self._elapsed = elapsed
        self._last_time = unix()
        self._last_elapsed = elapsed()
        self._offset = 0

    def now(self) -> int:
        """Returns Unix time in tenths of a millisecond."""
        unix = self._unix()
        elapsed = self._elapsed()
        if unix + self._offset < self._last_time:
            expected = self._last_time + elapsed - self._last_elapsed
            self._offset = expected - unix
        self._last_time = unix + self._offset
        self._last_elapsed = elapsed
        return self._last_time // NANOSECONDS_PER_TICK

    @property
    def offset(self) -> int:
        """Time by which this clock is ahead of the system clock, in tenths of a millisecond.

        The offset has to be added to times that other processes read from the system clock.
        """
        return self._offset // NANOSECONDS_PER_TICK
