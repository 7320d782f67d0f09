"""Decides whether and when idle client connections are closed."""

from __future__ import annotations

from lilacwalk.overload.batch_context import BatchContext
from lilacwalk.overload.client_tracker import ClientTracker
from lilacwalk.overload.model import SECOND
from lilacwalk.overload.server_load import ServerLoad

MINIMUM_IDLE_TIME = SECOND // 4  # enough for a client that sends its next request immediately
MAXIMUM_IDLE_TIME = 8 * SECOND
# The overhead share is the fraction of the run queue that is caused by reading requests and by
# connecting, not by executions. The idle time is doubled while the share is above
# HIGH_OVERHEAD_SHARE and halved while it is below LOW_OVERHEAD_SHARE.
HIGH_OVERHEAD_SHARE = 0.5
LOW_OVERHEAD_SHARE = 0.25
OVERHEAD_WEIGHT = 0.3  # weight of the newest control period in the mean overhead share
# Idle connections are closed from the time when the fraction of requests from returning clients
# falls below CLOSE_BELOW_RETURNING_SHARE until it reaches CLOSE_UNTIL_RETURNING_SHARE.
CLOSE_BELOW_RETURNING_SHARE = 0.4
CLOSE_UNTIL_RETURNING_SHARE = 0.6


class ConnectionPolicy:
    """Owns the idle time after which connections are closed.

    Idle connections cost processor time and fill the connection table. They are useful only if
    clients return soon; if few clients do, connections are closed after a short idle time. However,
    if reading and connecting use more processor time than executions, a connection table full of
    known clients is the cheapest way to reject others, and connections may stay idle for seconds.
    Short idle times are a disadvantage if opening connections is expensive and the table is large;
    long ones are a disadvantage for clients that find the table full although cores are free.
    """

    def __init__(self, context: BatchContext, load: ServerLoad, clients: ClientTracker) -> None:
        """Creates a policy that does not close idle connections yet."""
        self._context = context
        self._load = load
        self._clients = clients
        self._run_queue_sum = 0.0  # sum of the run-queue gauges of this control period
        self._overhead_sum = 0.0  # sum of the run-queue entries that were not running executions
        self._overhead_share = 0.0
        self._idle_time = MINIMUM_IDLE_TIME
        self._closes_idle = False  # whether idle connections are closed

    def record_gauges(self) -> None:
        """Adds the executor's latest gauges to the sums of this control period."""
        run_queue = self._load.run_queue
        self._run_queue_sum += run_queue
        self._overhead_sum += max(0.0, run_queue - self._load.running)

    def update(self) -> None:
        """Decides whether idle connections are closed, and after which idle time.

        To be called once each control period. Passes the decision to the sink if it has changed.
        """
        newest_share = self._overhead_sum / max(1.0, self._run_queue_sum)
        self._overhead_share += OVERHEAD_WEIGHT * (newest_share - self._overhead_share)
        self._run_queue_sum = 0.0
        self._overhead_sum = 0.0
        threshold = (
            CLOSE_UNTIL_RETURNING_SHARE if self._closes_idle else CLOSE_BELOW_RETURNING_SHARE
        )
        closes_idle = self._clients.returning_share < threshold
        idle_time = self._next_idle_time()
        if closes_idle != self._closes_idle or (closes_idle and idle_time != self._idle_time):
            self._context.sink.close_idle_connections(idle_time if closes_idle else 0)
        self._closes_idle = closes_idle
        self._idle_time = idle_time

    def _next_idle_time(self) -> int:
        if self._overhead_share > HIGH_OVERHEAD_SHARE:
            return min(MAXIMUM_IDLE_TIME, 2 * self._idle_time)
        if self._overhead_share < LOW_OVERHEAD_SHARE:
            return max(MINIMUM_IDLE_TIME, self._idle_time // 2)
        return self._idle_time
