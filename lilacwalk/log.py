"""Log lines as key=value pairs on standard error."""

from __future__ import annotations

import logging
import sys
import time

from logfmter import Logfmter


class KeyValue(Logfmter):
    """`time=… level=… part=… event=…`: one line each, an exception's trace folded into it. A message is a
    text of key=value pairs, or a dict of them where values come from outside and need quoting."""

    def format(self, record: logging.LogRecord) -> str:
        stamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        pairs = self.format_params(record.msg) if isinstance(record.msg, dict) else record.getMessage()
        line = (f"time={stamp}.{int(record.msecs):03d}Z level={record.levelname.lower()} "
                f"part={record.name.removeprefix('lilacwalk.')} {pairs}")
        if record.exc_info:
            line += f" trace={self.formatException(record.exc_info)!r}"
        return line.replace("\n", " ")


class Tally:
    """Counts what peers do wrong and says when to tell: at the first, second, fourth, eighth, so that no peer
    fills the log. Several threads may count; a line more or less is no matter."""

    def __init__(self) -> None:
        self.count = 0

    def due(self) -> int:
        """The count where a line is due, else 0."""
        self.count += 1
        return 0 if self.count & (self.count - 1) else self.count


def start_logging(level: int) -> None:
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValue())
    logging.basicConfig(level=level, handlers=[handler])
    logging.raiseExceptions = False  # a closed standard error is no reason to write to it once more
