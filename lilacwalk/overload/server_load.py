"""Requests, memory and executions of the app server."""

from __future__ import annotations

from lilacwalk.overload.model import Request, RequestState, ServerSettings

# Fraction of the memory that requests and idempotency keys may use. The rest is for the requests of
# one batch, which are all read before any of them can be rejected.
MEMORY_LIMIT_SHARE = 0.9
FREE_CORE_USE = 0.85  # fraction of the cores in use below which cores count as free


class ServerLoad:
    """Tracks the current load and the executor's latest gauges.

    Owns the queue, the open requests, the memory in use, the number of executions and the time of
    their last progress. Other parts change these through its methods, with two exceptions: parts
    that decide on a request append it to `queue` or remove it, and the stall detector sets
    `last_progress_at`. The controller sets the gauges.
    """

    def __init__(self, server: ServerSettings, now: int) -> None:
        """Creates an empty load of an idle server; `now` is the current time."""
        self.server = server
        self.queue: list[Request] = []
        # Requests that are unanswered or still use memory, in the order in which they were read.
        self.open_requests: dict[Request, None] = {}
        self.running = 0  # number of executions, without those that wait for a dependency call
        self.memory_kb = 0.0  # memory in use
        self.core_use = 0.0  # fraction of the cores that is in use
        self.run_queue = 0.0  # number of runnable requests, including running ones
        self.last_progress_at = now

    def add(self, request: Request) -> None:
        """Adds a request that was read to the open requests, and its memory to that in use."""
        self.open_requests[request] = None
        self.memory_kb += request.memory_kb

    def remove(self, request: Request) -> None:
        """Removes an ended request and its memory, and marks it as finished and answered."""
        self.memory_kb -= request.memory_kb * (
            self.server.running_memory_factor if request.was_dispatched else 1
        )
        request.state = RequestState.FINISHED
        request.answered = True
        self.open_requests.pop(request, None)

    def reserve_memory(self, memory_kb: float) -> None:
        """Adds memory of an execution or of an idempotency key to the memory in use."""
        self.memory_kb += memory_kb

    def free_memory(self, memory_kb: float) -> None:
        """Subtracts memory that was added by `reserve_memory` from the memory in use."""
        self.memory_kb -= memory_kb

    def memory_limit_kb(self) -> float:
        """The limit on memory used by requests and idempotency keys."""
        return MEMORY_LIMIT_SHARE * self.server.memory_kb

    def execution_memory_kb(self, request: Request) -> float:
        """The memory that a request needs after its dispatch, in addition to its `memory_kb`."""
        return request.memory_kb * (self.server.running_memory_factor - 1)

    def begin_execution(self, request: Request, now: int) -> None:
        """Counts the execution of a request, which starts or resumes."""
        if not self.running:
            self.last_progress_at = now
        request.state = RequestState.RUNNING
        self.running += 1

    def end_execution(self) -> None:
        """Stops counting an execution, which has ended or waits for its dependency call."""
        self.running -= 1

    def suspend_execution(self, request: Request) -> None:
        """Stops counting an execution that may not exist or not continue, until its next event."""
        request.state = RequestState.UNCONFIRMED
        self.running -= 1

    def has_free_cores(self) -> bool:
        """Whether the executor's latest gauges show capacity for more work."""
        return self.core_use < FREE_CORE_USE and self.run_queue < self.server.cores

    def is_idle(self) -> bool:
        """Whether no request is running and cores are free."""
        return not self.running and self.has_free_cores()
