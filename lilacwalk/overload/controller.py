"""The overload controller of one app server: handles batches of events and coordinates its parts.

Create one `Controller` for each incarnation of a server. Times are integers in tenths of a
millisecond. `docs/design.md` describes which parts of the algorithm are published and where the
implementation departs from them.
"""

from __future__ import annotations

from collections.abc import Sequence

from lilacwalk.overload.admission import CONTROL_PERIOD
from lilacwalk.overload.decision_sink import DecisionSink
from lilacwalk.overload.events import (
    CallFinished,
    CallRequested,
    ClientGone,
    DrainStarted,
    Event,
    ExecutionFinished,
    ExecutionUnconfirmed,
    ExecutorLinkChanged,
    RequestReceived,
    ServerStarted,
    TimerExpired,
)
from lilacwalk.overload.model import (
    Effect,
    LearnedState,
    Outcome,
    Request,
    RequestClass,
    RequestState,
    ServerSettings,
)
from lilacwalk.overload.parts import ControllerParts


class Controller:
    """Makes the admission, dispatch and termination decisions of one app server.

    The host (the app server, the emulator or the simulator adapter) passes events to
    `process_batch`, starting with `ServerStarted`, and carries out the decisions that it receives
    through the sink. The controller owns the parts and the start time of the next control period;
    the docstring of each part names the state that it owns.
    """

    def __init__(self, server: ServerSettings, now: int) -> None:
        """Creates the controller of a server that starts at `now`."""
        self.server = server
        self.started_at = now
        self.parts = ControllerParts(server, now)
        self._next_control_at = now + CONTROL_PERIOD

    # State that the host reads

    @property
    def admission_probability(self) -> float:
        """The probability p_a with which a request is admitted."""
        return self.parts.admission.admission_probability

    @property
    def queue(self) -> list[Request]:
        """Admitted requests not yet dispatched, and duplicates that wait for one of them."""
        return self.parts.load.queue

    @property
    def open_requests(self) -> dict[Request, None]:
        """Requests that are unanswered or still use memory, in the order they were read."""
        return self.parts.load.open_requests

    @property
    def running(self) -> int:
        """The number of executions, not counting those that wait for a dependency call."""
        return self.parts.load.running

    @property
    def memory_kb(self) -> float:
        """The memory used by open requests and idempotency keys."""
        return self.parts.load.memory_kb

    @property
    def concurrency_limit(self) -> float:
        """The limit on concurrent executions."""
        return self.parts.concurrency.limit

    @property
    def mean_execution_time(self) -> float:
        """The mean execution time over all request classes, in tenths of a millisecond."""
        return self.parts.latency.mean_execution_time

    @property
    def execution_times(self) -> dict[RequestClass, float]:
        """The mean execution time of each class executed so far, in tenths of a millisecond."""
        return self.parts.latency.execution_times

    @property
    def mean_unread_delay(self) -> float:
        """The mean time from a request's arrival until it is read, in tenths of a millisecond."""
        return self.parts.latency.mean_unread_delay

    @property
    def pending_calls(self) -> list[Request]:
        """Requests whose dependency call has not been made or skipped yet."""
        return self.parts.dependency.pending

    @property
    def calls_in_progress(self) -> int:
        """The number of dependency calls in progress.

        Includes abandoned calls that the dependency may still execute.
        """
        return self.parts.dependency.in_progress

    @property
    def stalled(self) -> bool:
        """Whether executions make no progress, so that all requests are rejected."""
        return self.parts.stall_detector.stalled

    # State that outlives an incarnation

    def learned_state(self) -> LearnedState:
        """Returns the state from which a later incarnation on this machine can start."""
        parts = self.parts
        return LearnedState(
            admission_probability=parts.admission.admission_probability,
            last_error=parts.admission.last_error,
            mean_execution_time=parts.latency.mean_execution_time,
            execution_times=dict(parts.latency.execution_times),
            call_time=parts.dependency.call_time,
            baseline_call_time=parts.dependency.baseline_call_time,
        )

    def restore_learned_state(self, earlier: LearnedState, weight: float) -> None:
        """Moves the state of a new controller towards that of an earlier incarnation.

        The higher `weight` (0 to 1), the more the earlier state counts. Slow start is not affected:
        the executor reports whether caches are cold.
        """
        parts = self.parts
        parts.admission.restore(
            probability=earlier.admission_probability,
            last_error=earlier.last_error,
            weight=weight,
        )
        parts.latency.restore(earlier, weight)
        parts.dependency.restore(
            call_time=earlier.call_time,
            baseline_call_time=earlier.baseline_call_time,
            weight=weight,
        )

    # Events

    def process_batch(self, now: int, events: Sequence[Event], sink: DecisionSink) -> None:
        """Handles the events since the last batch in order and passes decisions to `sink`.

        `now` is the current time in tenths of a millisecond.
        """
        parts = self.parts
        parts.context.now = now
        parts.context.sink = sink
        for event in events:
            self._handle(event)
        parts.context.run_due_actions()
        parts.dependency_scheduler.decide_pending_calls()
        parts.scheduler.dispatch_queued()

    def _handle(self, event: Event) -> None:
        match event:
            case RequestReceived(request):
                self._request_received(request)
            case TimerExpired(core_use, run_queue):
                self._timer_expired(core_use, run_queue)
            case ClientGone(request):
                self.parts.termination.abandon(request)
            case DrainStarted(stop_at, notified_at):
                self._drain_started(stop_at, notified_at)
            case ServerStarted():
                self._server_started()
            case _:
                self._handle_execution_event(event)

    def _handle_execution_event(self, event: Event) -> None:
        """Handles an event of an execution, of its dependency call or of the executor's link."""
        match event:
            case ExecutionFinished(request, outcome):
                self._execution_finished(request, outcome)
            case ExecutionUnconfirmed(request):
                self._execution_unconfirmed(request)
            case CallRequested(request):
                self._call_requested(request)
            case CallFinished(request, outcome, elapsed):
                self._call_finished(request, outcome, elapsed)
            case ExecutorLinkChanged(is_up):
                self.parts.stall_detector.set_executor_link(is_up)

    def _server_started(self) -> None:
        parts = self.parts
        parts.load_reporter.report_health(True)
        parts.context.sink.set_timer(parts.timer_period)
        parts.load_reporter.report_load()

    def _request_received(self, request: Request) -> None:
        parts = self.parts
        parts.admission.count_arrival()
        parts.clients.record_request(request.client)
        parts.latency.record_unread_delay(request)
        parts.load.add(request)
        self._estimate(request)
        termination = parts.termination
        deadline = request.deadline - parts.deadline_margin
        parts.context.schedule(deadline, termination.deadline_reached, request)
        if request.duplicate_of and parts.deduplication.attach(request):
            return
        if not parts.admission_gate.admit(request):
            return
        request_class = request.request_class
        if request_class.late_weight_share == 0:
            objective_deadline = request.objective_deadline - parts.deadline_margin
            parts.context.schedule(objective_deadline, termination.objective_missed, request)
        if request_class.effect is Effect.DEDUPLICATED:
            parts.deduplication.register_key(request)
        parts.load.queue.append(request)

    def _estimate(self, request: Request) -> None:
        """Sets the expected work, objective deadline and weight per work of a new request."""
        request_class = request.request_class
        request.expected_work = self.parts.latency.expected_execution_time(request)
        objective = (
            request_class.latency_objective
            + int(request_class.objective_stretch * request.expected_work)
            - self.parts.clients.elapsed_before_arrival(request)
        )
        request.objective_deadline = min(request.deadline, request.arrived_at + objective)
        request.weight_per_work = request_class.weight / (
            1 if self.server.weight_scales_with_work else max(1, request.expected_work)
        )

    def _execution_finished(self, request: Request, outcome: Outcome) -> None:
        parts = self.parts
        if request.state is RequestState.FINISHED:
            return
        if request.was_dispatched and outcome in (Outcome.OK, Outcome.ERROR):
            self._record_progress()
            if not request.answered:
                now = parts.context.now
                elapsed = now - request.dispatched_at - request.dependency_wait
                parts.latency.record_execution(request, elapsed)
                parts.latency.record_response(request, now)
        elif outcome is Outcome.CANCELLED and request.state is RequestState.RUNNING:
            self._record_progress()
        request.answered = True
        parts.termination.release(request)

    def _execution_unconfirmed(self, request: Request) -> None:
        """Stops counting an execution that may not exist or not continue.

        If no other execution is left, a stall can no longer be observed, so none is assumed.
        """
        load = self.parts.load
        if request.state is not RequestState.RUNNING:
            return
        load.suspend_execution(request)
        if not load.running:
            self._record_progress()

    def _call_requested(self, request: Request) -> None:
        parts = self.parts
        self._record_progress()
        if request.state is not RequestState.UNCONFIRMED:
            parts.load.end_execution()
        request.call_pending_since = parts.context.now
        parts.dependency.add_pending(request)

    def _call_finished(self, request: Request, outcome: Outcome, elapsed: int) -> None:
        parts = self.parts
        if request.state is not RequestState.CALL_IN_PROGRESS:
            return
        parts.dependency.end_call(elapsed, is_abandoned=outcome is Outcome.TIMED_OUT)
        if outcome in (Outcome.OK, Outcome.TIMED_OUT):
            parts.dependency.record_call_time(elapsed)
        if outcome is Outcome.OK:
            parts.dependency_scheduler.resume(request)
            return
        parts.dependency.add_pending(request)
        if not outcome.proves_not_executed:
            request.call_may_have_executed = True

    def _record_progress(self) -> None:
        parts = self.parts
        if parts.stall_detector.record_progress():
            parts.load_reporter.report_health(not parts.drain.is_active)
            parts.context.sink.log("executions make progress again")
            parts.load_reporter.report_load()

    def _drain_started(self, stop_at: int, notified_at: int | None) -> None:
        """Reports the server as unhealthy and schedules the termination of open requests."""
        parts = self.parts
        now = parts.context.now
        terminate_at = max(now, stop_at - 2 * parts.deadline_margin)
        grace_starts_at = now if notified_at is None else notified_at
        parts.drain.begin(
            grace_ends_at=grace_starts_at + self.server.drain_grace_period,
            terminate_at=terminate_at,
        )
        parts.context.schedule(terminate_at, parts.termination.reject_or_fail_all, True)
        parts.load_reporter.report_health(False)
        parts.context.sink.log("drain started: new requests are steered away")
        parts.load_reporter.report_load()

    def _timer_expired(self, core_use: float, run_queue: float) -> None:
        parts = self.parts
        parts.context.sink.set_timer(parts.timer_period)
        parts.stall_detector.record_timer()
        parts.load.core_use = core_use
        parts.load.run_queue = run_queue
        parts.connection_policy.record_gauges()
        parts.concurrency.adapt()
        if parts.stall_detector.detects_new_stall():
            self._stall_started()
        now = parts.context.now
        if now >= self._next_control_at:
            self._next_control_at = max(
                self._next_control_at + CONTROL_PERIOD, now + CONTROL_PERIOD // 2
            )
            self._control_period_ended()
        parts.load_reporter.report_periodically()

    def _stall_started(self) -> None:
        """Reports the server as unhealthy and ends requests that another server may execute."""
        parts = self.parts
        parts.load_reporter.report_health(False)
        parts.context.sink.log(
            "executions stalled: all requests are rejected until one makes progress"
        )
        parts.load_reporter.report_load()
        parts.termination.reject_or_fail_all(False)

    def _control_period_ended(self) -> None:
        parts = self.parts
        parts.quota.refill()
        parts.clients.decay()
        parts.connection_policy.update()
        parts.admission.update()
