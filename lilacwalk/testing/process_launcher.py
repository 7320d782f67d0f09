"""Starts the unchanged program with a wall clock that has an offset or jumps, or with a record of the times of
event loop iterations.

    python -m lilacwalk.testing.process_launcher [--clock FILE] [--iteration-times FILE] -- fleet run --file …

--clock FILE: the file holds the clock's offset in seconds and is read at each reading of the clock.
--iteration-times FILE: at the exit, the time in microseconds of each iteration that had work is written to the
file, one a line."""

from __future__ import annotations

import runpy
import sys
import time
from collections.abc import Callable

MAX_ITERATIONS = 1_000_000  # recorded; enough for hours of a measurement


def offset_reader(path: str) -> Callable[[], float]:
    """Returns a function that reads the offset in seconds from the file."""

    def read() -> float:
        try:
            with open(path, encoding="ascii") as file:
                return float(file.read() or 0)
        except (OSError, ValueError):  # the file does not exist yet, or is being written
            return 0.0

    return read


def set_clock(path: str) -> None:
    """Shifts the wall clock. The monotonic clock is not changed, as when a real clock is stepped."""
    offset, seconds, nanoseconds = offset_reader(path), time.time, time.time_ns
    time.time = lambda: seconds() + offset()
    time.time_ns = lambda: nanoseconds() + int(offset() * 1e9)


def record_iteration_times(path: str) -> None:
    import atexit

    from lilacwalk.server.event_loop import EventLoop

    take_items, run_iteration, times = EventLoop.take_items, EventLoop.run_iteration, []
    began = [0]

    def timed_take_items(self):
        items = take_items(self)
        # 0: an iteration without work is not recorded
        began[0] = time.perf_counter_ns() if items else 0
        return items

    def timed_run_iteration(self):
        run_iteration(self)
        if began[0] and len(times) < MAX_ITERATIONS:
            times.append((time.perf_counter_ns() - began[0]) // 1_000)

    def write() -> None:
        with open(path, "w", encoding="ascii") as file:
            file.write("\n".join(map(str, times)))

    EventLoop.take_items, EventLoop.run_iteration = timed_take_items, timed_run_iteration
    atexit.register(write)


def main() -> None:
    at = sys.argv.index("--")
    options, sys.argv[1:] = sys.argv[1:at], sys.argv[at + 1 :]
    for option, value in zip(options[::2], options[1::2], strict=True):
        # before the program first reads its clock
        {"--clock": set_clock, "--iteration-times": record_iteration_times}[option](value)
    runpy.run_module("lilacwalk", run_name="__main__")


if __name__ == "__main__":
    main()
