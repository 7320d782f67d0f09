"""Starts the unchanged program with an adjustable wall clock or a record of event loop iterations.

    python -m lilacwalk.testing.process_launcher OPTIONS -- ARGUMENTS

ARGUMENTS are those of the program, such as `fleet run --file FILE`. OPTIONS:

--clock FILE: the file contains the clock's offset in seconds; each reading of the clock reads it.
--iteration-times FILE: at the exit, the duration in microseconds of each iteration that had work is
written to the file, one a line."""

from __future__ import annotations

import runpy
import sys
import time
from collections.abc import Callable

MAX_RECORDED_ITERATIONS = 1_000_000  # enough for hours of a measurement


def offset_reader(path: str) -> Callable[[], float]:
    """Returns a function that reads the offset in seconds from the file; 0 if it is unreadable."""

    def read() -> float:
        try:
            with open(path, encoding="ascii") as file:
                return float(file.read() or 0)
        except (OSError, ValueError):  # the file is missing or incomplete
            return 0.0

    return read


def set_clock(path: str) -> None:
    """Shifts the wall clock by the offset in the file.

    The monotonic clock is not changed, as when a real clock is stepped.
    """
    offset, real_time, real_time_ns = offset_reader(path), time.time, time.time_ns
    time.time = lambda: real_time() + offset()
    time.time_ns = lambda: real_time_ns() + int(offset() * 1e9)


def record_iteration_times(path: str) -> None:
    """Writes the durations of event loop iterations with work to the file, at the exit."""
    import atexit

    from lilacwalk.server.event_loop import EventLoop

    take_items, run_iteration, times = EventLoop.take_items, EventLoop.run_iteration, []
    iteration_start = [0]  # nanoseconds; 0 while an iteration without work runs

    def timed_take_items(self):
        items = take_items(self)
        iteration_start[0] = time.perf_counter_ns() if items else 0
        return items

    def timed_run_iteration(self):
        run_iteration(self)
        if iteration_start[0] and len(times) < MAX_RECORDED_ITERATIONS:
            times.append((time.perf_counter_ns() - iteration_start[0]) // 1_000)

    def write() -> None:
        with open(path, "w", encoding="ascii") as file:
            file.write("\n".join(map(str, times)))

    EventLoop.take_items, EventLoop.run_iteration = timed_take_items, timed_run_iteration
    atexit.register(write)


def main() -> None:
    separator = sys.argv.index("--")
    options, sys.argv[1:] = sys.argv[1:separator], sys.argv[separator + 1 :]
    for option, value in zip(options[::2], options[1::2], strict=True):
        # takes effect before the program first reads its clock
        {"--clock": set_clock, "--iteration-times": record_iteration_times}[option](value)
    runpy.run_module("lilacwalk", run_name="__main__")


if __name__ == "__main__":
    main()
