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
    TOKENS = auto()  # requests that one client may have outstanding at this server
    MIN_RANK = auto()  # clients do not send requests of a lower rank
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
    COALESCED = auto()  # waits for the result of the request of which it is a duplicate
    FINISHED = auto()


@dataclass(eq=False)
class RequestClass:
    """Time limits, priority weight and other properties common to requests of one kind."""

    name: str
    weight: float
    latency_objective: int
    timeout: int
    effect: Effect = Effect.IDEMPOTENT
    objective_stretch: float = 0.0  # share of the expected work added to the latency objective
    late_weight_share: float = 0.0  # share of the weight of a response after the objective
    deduplication_window: int = 0  # for Effect.DEDUPLICATED: time in which duplicates may arrive
    calls_dependency: bool = False
    # Share of the weight that remains without the dependency call; 0: the call is never skipped.
    skipped_call_weight_share: float = 0.0


@dataclass(eq=False)
class Tenant:
    """A customer with a request-rate quota."""

    name: str
    quota: float  # requests per second over the whole fleet; 0: no quota


@dataclass(eq=False)
class ServerSettings:
    """Settings that an app server receives at start: its platform, request classes and tenants."""

    seed: int
    cores: int
    memory_kb: float
    running_memory_factor: float  # memory of a running request as a multiple of a queued one
    request_classes: list[RequestClass]
    tenants: list[Tenant] = field(default_factory=list)
    fleet_size: int = 1
    client_count: int = 1
    deduplication_entry_kb: float = 0.0
    stop_mode: StopMode = StopMode.NONE
    load_report_kind: LoadReportKind = LoadReportKind.NONE
    dependency_call_share: float = 0.0  # concurrent calls allowed to this server; 0: not set
    dependency_call_span: int = 0  # averaging period of a share below one concurrent call
    abandoned_call_linger: int = 0  # time that a timed-out call still loads the dependency
    started_cold: bool = False
    cold_capacity_share: float = 1.0
    warm_up_time: int = 0
    collapse_multiple: float = 2.0  # runnable requests per core at which throughput collapses
    drain_grace_period: int = 0
    max_retry_after: int = 0  # 0: rejections carry no retry-after
    over_quota_weight_share: float = 1.0
    weight_scales_with_work: bool = False
    timer_quantum: int = 10


@dataclass(eq=False)
class Request:
    """One request, from its arrival until all its resources are released.

    The host sets the fields up to `duplicate_of`; the controller writes the others.
    """

    request_class: RequestClass
    arrived_at: int  # time at which it reached the machine
    read_at: int  # time at which it was read from the socket
    deadline: int
    memory_kb: float
    tenant: Tenant | None = None
    work_hint: int = 0  # execution time expected by the client; 0: not stated
    is_retry: bool = False
    client: int = 0
    duplicate_of: Request | None = None
    # Written by the controller.
    state: RequestState = RequestState.QUEUED
    answered: bool = False
    was_dispatched: bool = False
    objective_deadline: int = 0
    expected_work: int = 0  # expected execution time on this server
    weight_per_work: float = 0.0
    dispatched_at: int = 0
    call_pending_since: int = 0
    dependency_wait: int = 0
    call_may_have_executed: bool = False  # a call ended without proof that it was not executed
    is_registered: bool = False  # its idempotency key is registered
    within_quota: bool = False  # it was admitted with a credit of its tenant
    duplicates: list[Request] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class LearnedState:
    """State that one incarnation of a controller passes to the next on the same machine."""

    admission_probability: float
    last_error: float
    mean_execution_time: float
    execution_times: dict[RequestClass, float]
    call_time: float
    baseline_call_time: float
