"""Records and enums shared by the controller and its host.

Times and durations are integers in tenths of a millisecond; sizes are in kilobytes.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto

SECOND = 10_000  # tenths of a millisecond


class Effect(Enum):
    """Side effects of a request, which determine whether it may be executed more than once."""

    IDEMPOTENT = auto()
    DEDUPLICATED = auto()  # an idempotency key identifies its duplicates
    NON_IDEMPOTENT = auto()


class StopMode(Enum):
    """How the executor treats a running execution that is cancelled."""

    NONE = auto()  # executions cannot be cancelled
    DROP = auto()  # the execution is discarded with its progress
    PAUSE = auto()  # the execution keeps its progress and its memory


class LoadReportKind(Enum):
    """Meaning of the value in a load report."""

    NONE = auto()  # no load is reported
    TOKENS = auto()  # number of requests that one client may have outstanding at this server
    MIN_RANK = auto()  # minimum rank: clients do not send requests of a lower rank to this server
    BIAS = auto()  # probability that a client does not skip this server


class Outcome(Enum):
    """Result of an execution or of a dependency call."""

    OK = auto()
    ERROR = auto()
    REJECTED = auto()
    TIMED_OUT = auto()
    UNREACHABLE = auto()
    CONNECTION_LOST = auto()
    CANCELLED = auto()
    NOT_EXECUTED = auto()

    @property
    def proves_not_executed(self) -> bool:
        """Whether nothing was executed, so that a retry cannot cause a second execution."""
        return self in (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_EXECUTED)


class RequestState(Enum):
    """Processing state of a request inside the app server."""

    QUEUED = auto()
    RUNNING = auto()
    CALL_PENDING = auto()  # waits until the dependency call is made or skipped
    CALL_IN_PROGRESS = auto()
    UNCONFIRMED = auto()  # dispatched, but the execution may not exist or not continue
    COALESCED = auto()  # waits for the result of the request of which it is a duplicate
    FINISHED = auto()


@dataclass(eq=False)
class RequestClass:
    """Time limits, weight and other properties that all requests of a class have in common."""

    name: str
    weight: float  # value of a response that meets its objective, relative to other classes
    latency_objective: int  # time from the arrival of a request in which it should be answered
    timeout: int  # time from the arrival of a request after which a response is useless
    effect: Effect = Effect.IDEMPOTENT
    # The latency objective is extended by this multiple of the request's expected work.
    objective_stretch: float = 0.0
    # Fraction of the weight that a response retains if it misses the latency objective.
    late_weight_share: float = 0.0
    # Time after the arrival of a request in which its duplicates may arrive (Effect.DEDUPLICATED).
    deduplication_window: int = 0
    calls_dependency: bool = False
    # Fraction of the weight that a response retains if the dependency call is skipped. If it is 0,
    # the call is never skipped.
    skipped_call_weight_share: float = 0.0


@dataclass(eq=False)
class Tenant:
    """A group of clients that share one request-rate quota."""

    name: str
    quota: float  # requests per second over the whole fleet; 0 means that the tenant has no quota


@dataclass(eq=False)
class ServerSettings:
    """Settings that an app server receives at start: its platform, request classes and tenants."""

    seed: int
    cores: int
    memory_kb: float
    running_memory_factor: float  # memory of a request after its dispatch / memory before it
    request_classes: list[RequestClass]
    tenants: list[Tenant] = field(default_factory=list)
    fleet_size: int = 1
    client_count: int = 1
    deduplication_entry_kb: float = 0.0  # memory of one idempotency key
    stop_mode: StopMode = StopMode.NONE
    load_report_kind: LoadReportKind = LoadReportKind.NONE
    # Number of concurrent dependency calls that this server may make; 0 if it is not configured.
    dependency_call_share: float = 0.0
    # Period over which the number of concurrent calls is averaged if the share is below 1.
    dependency_call_span: int = 0
    # Time for which the dependency still executes a call after this server has abandoned it.
    abandoned_call_linger: int = 0
    started_cold: bool = False  # with cold caches, so that executions are slower
    # Speed of a server with cold caches, as a fraction of its full speed.
    cold_capacity_share: float = 1.0
    warm_up_time: int = 0  # time from a cold start until full speed
    # Number of runnable requests per core at which throughput collapses.
    collapse_multiple: float = 2.0
    # Time from the start of a drain in which new requests are still admitted.
    drain_grace_period: int = 0
    max_retry_after: int = 0  # 0 means that rejections are sent without a retry-after
    # Fraction of its weight that a request retains if its tenant has no credit.
    over_quota_weight_share: float = 1.0
    # Whether the weight of a class applies per unit of work instead of per request.
    weight_scales_with_work: bool = False
    timer_quantum: int = 10  # resolution of the host's timers


@dataclass(eq=False)
class Request:
    """One request, from its arrival until all its resources are released.

    The host sets the fields up to `duplicate_of`; the controller writes the others. It also changes
    `duplicate_of` if the original is itself a duplicate or ended without being executed.
    """

    request_class: RequestClass
    arrived_at: int  # time at which the request reached the machine
    read_at: int  # time at which the request was read from the socket
    deadline: int
    memory_kb: float  # memory before the request is dispatched
    tenant: Tenant | None = None
    work_hint: int = 0  # execution time expected by the client; 0 if it did not state any
    is_retry: bool = False
    client: int = 0
    duplicate_of: Request | None = None
    # Written by the controller.
    state: RequestState = RequestState.QUEUED
    answered: bool = False
    was_dispatched: bool = False
    objective_deadline: int = 0  # time until which a response meets the latency objective
    expected_work: int = 0  # expected execution time on this server
    weight_per_work: float = 0.0
    dispatched_at: int = 0
    call_pending_since: int = 0
    dependency_wait: int = 0  # total time for which the execution has waited for dependency calls
    # Whether a dependency call ended with an outcome after which the call may have been executed.
    call_may_have_executed: bool = False
    is_registered: bool = False  # the request's idempotency key is registered
    within_quota: bool = False  # the request was admitted with a credit of its tenant
    duplicates: list[Request] = field(default_factory=list)  # duplicates attached while queued


@dataclass(frozen=True, slots=True)
class LearnedState:
    """State that one incarnation of a controller passes to the next on the same machine."""

    admission_probability: float
    last_error: float
    mean_execution_time: float
    execution_times: dict[RequestClass, float]
    call_time: float
    baseline_call_time: float
