"""Time and memory of the measuring process."""

from __future__ import annotations

import time
from collections.abc import Callable


def measure_seconds(action: Callable[[], object]) -> float:
    """Returns how long the action takes, in seconds."""
    started_at = time.perf_counter()
    action()
    return time.perf_counter() - started_at


def resident_mb() -> float:
    """Resident memory of this process in MB."""
    with open("/proc/self/status") as file:
        return next(int(line.split()[1]) for line in file if line.startswith("VmRSS")) / 1000
