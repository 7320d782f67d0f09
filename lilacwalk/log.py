"""Logging of key=value lines to standard error."""

from __future__ import annotations

import logging
import select
import sys
import time
from typing import TextIO

from logfmter import Logfmter

MAX_LINE_LENGTH = 4_000  # characters; a writable pipe accepts a page of 4,096 bytes
ELLIPSIS = " ... "


class KeyValueFormatter(Logfmter):
    """Formats a record as one line `time=… level=… part=… event=…`, including any traceback.

    The message of a record is a text of key=value pairs, or a dict if values need quoting.
    """

    def format(self, record: logging.LogRecord) -> str:
        """Returns the line; the middle of a line longer than MAX_LINE_LENGTH is left out."""
        timestamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        if isinstance(record.msg, dict):
            pairs = self.format_params(record.msg)
        else:
            pairs = record.getMessage()
        line = (
            f"time={timestamp}.{int(record.msecs):03d}Z level={record.levelname.lower()} "
            f"part={record.name.removeprefix('lilacwalk.')} {pairs}"
        )
        if record.exc_info:
            line += f" trace={self.formatException(record.exc_info)!r}"
        return _shorten(line.replace("\n", " "))


def _shorten(line: str) -> str:
    if len(line) <= MAX_LINE_LENGTH:
        return line
    half = MAX_LINE_LENGTH // 2
    return line[:half] + ELLIPSIS + line[len(ELLIPSIS) - half :]


class NonBlockingHandler(logging.StreamHandler):
    """Drops log lines while the stream is full, so that a slow reader does not block any thread.

    The next line that can be written is preceded by one with the number of dropped lines.
    """

    def __init__(self, stream: TextIO) -> None:
        """Raises OSError if the stream has no file descriptor."""
        super().__init__(stream)
        self._dropped_count = 0
        self._poller = select.poll()
        self._poller.register(stream, select.POLLOUT)

    def emit(self, record: logging.LogRecord) -> None:
        """Writes the record, or counts it as dropped."""
        if self._dropped_count and self._poller.poll(0):
            super().emit(_dropped_lines_record(self._dropped_count))
            self._dropped_count = 0
        if self._poller.poll(0):
            super().emit(record)
        else:
            self._dropped_count += 1


def _dropped_lines_record(count: int) -> logging.LogRecord:
    return logging.makeLogRecord(
        {
            "msg": f"event=log_lines_dropped count={count}",
            "name": __name__,
            "levelname": "WARNING",
        }
    )


class ReportThrottle:
    """Counts repeated faults and permits a log line at the 1st, 2nd, 4th, 8th fault and so on.

    Not synchronized: with several threads a line may be missing or duplicated.
    """

    def __init__(self) -> None:
        """Sets the count to 0."""
        self.count = 0

    def count_and_check(self) -> int:
        """Counts one fault; returns the count if a line is to be logged, else 0."""
        self.count += 1
        is_power_of_two = (self.count & (self.count - 1)) == 0
        return self.count if is_power_of_two else 0


def start_logging(level: int) -> None:
    """Configures all loggers to write records of at least `level` to standard error."""
    try:
        handler = NonBlockingHandler(sys.stderr)
    except OSError:  # standard error has no file descriptor, so writes to it do not block
        handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    logging.basicConfig(level=level, handlers=[handler])
    # Otherwise errors of writing to standard error would be reported to standard error.
    logging.raiseExceptions = False
