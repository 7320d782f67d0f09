"""Decides whether and when idle client connections are closed."""

from __future__ import annotations

from lilacwalk.overload.batch_context import BatchContext
from lilacwalk.overload.client_tracker import ClientTracker
from lilacwalk.overload.model import SECOND
from lilacwalk.overload.server_load import ServerLoad

MINIMUM_IDLE_TIME = SECOND // 4  # enough for a client that sends its next request immediately
MAXIMUM_IDLE_TIME = 8 * SECOND
HIGH_OVERHEAD_SHARE = 0.5  # overhead in the run queue above which the idle time is doubled
LOW_OVERHEAD_SHARE = 0.25  # overhead below which the idle time is halved
OVERHEAD_WEIGHT = 0.3  # weight of the newest control period in the moving overhead share
CLOSE_BELOW_RETURNING_SHARE = 0.4  # share of returning clients below which closing starts
CLOSE_UNTIL_RETURNING_SHARE = 0.6  # share of returning clients from which closing stops


class ConnectionPolicy:
    """Owns the idle time after which connections are closed.

    Idle connections cost processor time and fill the connection table, which is worthwhile only
    if clients return soon; if few do, connections are closed after a short idle time. However,
    if reading and connecting use more of the cores than executions do, a table full of known
    clients is the cheapest way to reject, and idle connections are kept for seconds. This is a
    disadvantage where opening a connection is expensive and the table large, and for clients that
    find the table full while cores are free.
    """

    def __init__(self, context: BatchContext, load: ServerLoad, clients: ClientTracker) -> None:
        """Starts with connections kept open."""
        self._context = context
        self._load = load
        self._clients = clients
        self._run_queue_sum = 0.0  # sum of the run-queue gauges in this control period
        self._overhead_sum = 0.0  # part of that sum which is reading and connecting
        self._overhead_share = 0.0
        self._idle_time = MINIMUM_IDLE_TIME
        self._closes = False

    def record_gauges(self) -> None:
        """Adds the executor's latest gauges to the sums of this control period."""
        run_queue = self._load.run_queue
        self._run_queue_sum += run_queue
        self._overhead_sum += max(0.0, run_queue - self._load.running)

    def update(self) -> None:
        """Decides once each control period and reports a change to the sink."""
        newest_share = self._overhead_sum / max(1.0, self._run_queue_sum)
        self._overhead_share += OVERHEAD_WEIGHT * (newest_share - self._overhead_share)
        self._run_queue_sum = 0.0
        self._overhead_sum = 0.0
        threshold = CLOSE_UNTIL_RETURNING_SHARE if self._closes else CLOSE_BELOW_RETURNING_SHARE
        closes = self._clients.returning_share < threshold
        idle_time = self._next_idle_time()
        if closes != self._closes or (closes and idle_time != self._idle_time):
            self._context.sink.close_idle_connections(idle_time if closes else 0)
        self._closes = closes
        self._idle_time = idle_time

    def _next_idle_time(self) -> int:
        if self._overhead_share > HIGH_OVERHEAD_SHARE:
            return min(MAXIMUM_IDLE_TIME, 2 * self._idle_time)
        if self._overhead_share < LOW_OVERHEAD_SHARE:
            return max(MINIMUM_IDLE_TIME, self._idle_time // 2)
        return self._idle_time
