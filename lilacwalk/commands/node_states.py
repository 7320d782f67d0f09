"""Input of commands that run beside another program: lines with node states, and signals."""

from __future__ import annotations

import enum
import logging
import signal
import sys
import threading
from collections.abc import Iterable
from queue import Empty, SimpleQueue

from lilacwalk.log import ReportThrottle

log = logging.getLogger(__name__)
MAX_LINE_CHARACTERS = 256


class Control(enum.Enum):
    """A request to stop or reload, by a signal or the end of standard input."""

    STOP = "stop"
    RELOAD = "reload"


class NodeStateInput:
    """Owns the queue of lines from standard input and of requests by signals.

    SIGTERM and SIGINT request a stop, SIGHUP a reload. The daemon thread `states` reads standard
    input until its end.
    """

    def __init__(self, *, stops_at_end_of_input: bool) -> None:
        """Installs the signal handlers; `start` begins to read lines.

        Args:
            stops_at_end_of_input: whether the end of standard input requests a stop.
        """
        self._queue: SimpleQueue[str | Control] = SimpleQueue()
        self._stops_at_end_of_input = stops_at_end_of_input
        self._unknown_words = ReportThrottle()
        signal.signal(signal.SIGTERM, lambda *_: self._queue.put(Control.STOP))
        signal.signal(signal.SIGINT, lambda *_: self._queue.put(Control.STOP))
        signal.signal(signal.SIGHUP, lambda *_: self._queue.put(Control.RELOAD))

    def start(self) -> None:
        """Starts the thread that reads standard input."""
        threading.Thread(target=self._read_lines, name="states", daemon=True).start()

    def next(self, timeout: float | None = None) -> str | Control | None:
        """Waits for the next line or request; returns None after `timeout` seconds without one."""
        try:
            return self._queue.get(timeout=timeout)
        except Empty:
            return None

    def report_unknown(self, word: str, expected: Iterable[str]) -> None:
        """Logs a line that is not the name of a node state, at a limited rate."""
        if count := self._unknown_words.count_and_check():
            log.warning(
                {
                    "event": "unknown_state",
                    "count": count,
                    "word": word,
                    "expected": ", ".join(expected),
                }
            )

    def _read_lines(self) -> None:
        while line := sys.stdin.readline(MAX_LINE_CHARACTERS):
            if word := line.strip():
                self._queue.put(word)
        if self._stops_at_end_of_input:
            self._queue.put(Control.STOP)
