"""The reduced capacity of a server that started with cold caches."""

from __future__ import annotations

from dataclasses import dataclass

from lilacwalk.overload.batch_context import BatchContext
from lilacwalk.overload.model import ServerSettings


@dataclass(eq=False, kw_only=True, slots=True)
class SlowStart:
    """Computes the capacity of a server that may be warming up. Has no state of its own.

    `started_at` is in tenths of a millisecond.
    """

    context: BatchContext
    server: ServerSettings
    started_at: int

    def is_warming_up(self) -> bool:
        """Whether the server started cold and its warm-up time has not passed."""
        server = self.server
        return server.started_cold and self.context.now < self.started_at + server.warm_up_time

    def capacity_share(self) -> float:
        """The current speed of the server, as a fraction of its full speed.

        During the whole warm-up time this is the speed with cold caches, a lower bound.
        """
        return self.server.cold_capacity_share if self.is_warming_up() else 1.0

    def safe_concurrency(self) -> float:
        """The number of runnable requests up to which throughput does not collapse."""
        server = self.server
        return server.cores * (1 + (server.collapse_multiple - 1) * self.capacity_share())
