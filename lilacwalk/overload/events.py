"""Events that the host passes to the controller: one frozen record for each kind.

Times and durations are integers in tenths of a millisecond.
"""

from __future__ import annotations

from dataclasses import dataclass

from lilacwalk.overload.model import Outcome, Request


@dataclass(frozen=True, slots=True)
class ServerStarted:
    """The server has started. This is the first event that a controller handles."""


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A request was read. The host has set `duplicate_of` if it is a duplicate."""

    request: Request


@dataclass(frozen=True, slots=True)
class ClientGone:
    """The client has disconnected or withdrawn the request; no response is needed."""

    request: Request


@dataclass(frozen=True, slots=True)
class ExecutionFinished:
    """The execution of a dispatched request has ended or will not start.

    For a coalesced duplicate: it has been answered, with or without the original's result.
    """

    request: Request
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class ExecutionUnconfirmed:
    """The executor may not have received a command that must not be repeated.

    The command is the dispatch of the request or the result of its dependency call. If the request
    is executing, its further events follow as usual. Otherwise, the host ends the request by
    `ExecutionFinished` once nobody waits for its result.
    """

    request: Request


@dataclass(frozen=True, slots=True)
class CallRequested:
    """An execution is waiting until its dependency call is made or skipped."""

    request: Request


@dataclass(frozen=True, slots=True)
class CallFinished:
    """A dependency call has ended or timed out, `elapsed` after its start."""

    request: Request
    outcome: Outcome
    elapsed: int


@dataclass(frozen=True, slots=True)
class ExecutorLinkChanged:
    """The link to the executor was established or lost."""

    is_up: bool


@dataclass(frozen=True, slots=True)
class DrainStarted:
    """A stop of the server was requested; all requests must be answered by `stop_at`.

    The grace for further requests begins at `notified_at`, or with the event if it is None.
    """

    stop_at: int
    notified_at: int | None = None


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """The timer set by the controller has expired. Contains the executor's latest gauges."""

    core_use: float  # fraction of the cores that is in use
    run_queue: float  # number of runnable requests, including running ones


Event = (
    RequestReceived
    | ExecutionFinished
    | ExecutionUnconfirmed
    | TimerExpired
    | CallRequested
    | CallFinished
    | ClientGone
    | ExecutorLinkChanged
    | DrainStarted
    | ServerStarted
)
