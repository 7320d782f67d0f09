"""The limit on concurrent executions."""

from __future__ import annotations

from lilacwalk.overload.model import ServerSettings
from lilacwalk.overload.server_load import ServerLoad
from lilacwalk.overload.slow_start import SlowStart


class ConcurrencyLimit:
    """Owns the limit, which starts at one execution per core and follows the executor's gauges."""

    def __init__(self, server: ServerSettings, load: ServerLoad, slow_start: SlowStart) -> None:
        """Sets the limit to one execution per core."""
        self._server = server
        self._load = load
        self._slow_start = slow_start
        self.limit = float(server.cores)

    def adapt(self) -> None:
        """Raises or lowers the limit by 1 according to the executor's latest gauges.

        The limit grows while it is reached, requests are queued and cores are free, but not during
        slow start. Its maximum is half the number of runnable requests at which throughput
        collapses. It shrinks while the run queue is longer than the limit. Its minimum is one
        execution per core.
        """
        load = self._load
        cores = self._server.cores
        if (
            load.queue
            and load.run_queue < cores
            and load.running >= self.limit
            and not self._slow_start.is_warming_up()
        ):
            ceiling = cores * max(1.0, self._server.collapse_multiple / 2)
            self.limit = min(ceiling, self.limit + 1)
        elif load.run_queue > self.limit:
            self.limit = max(cores, self.limit - 1)
