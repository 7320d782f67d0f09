"""Simpler admission policies with the controller's interface, for comparison with the controller.

All policies follow these rules: each request gets one final answer by its deadline, no effect is
executed twice (duplicates are coalesced with the original request), and the memory limit is not
exceeded. The policies differ in the requests that they admit. Each runs at most
`concurrency_limit()` requests at once; further admitted requests wait in one queue, which is first
in, first out unless stated otherwise.

AdmitAll       admits every request; the length of the queue is not limited
FixedLimit     limits the number of requests in progress and rejects further ones
GradientLimit  adapts the limit to the gradient of response time, as published for adaptive
               concurrency limits: new = limit * clamp(tolerance * long / short, 0.5, 1) + allowance
               for a queue, smoothed; long and short are averages of the response time
CoDel          rejects the request at the head of the queue when queueing time has exceeded a target
               for an interval; the interval shrinks with the square root of the number of drops
               (RFC 8289, applied to requests in place of packets)
TokenBucket    admits requests at the rate of a token bucket, with bursts of twice the cores
Oracle         knows the actual work of each request: admits requests that can still meet their
               latency objective, and runs the one with the highest weight per work first. It does
               not know future arrivals."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Sequence
from itertools import count
from math import sqrt

from lilacwalk.overload.decision_sink import DecisionSink
from lilacwalk.overload.events import (
    CallFinished,
    CallRequested,
    ClientGone,
    DrainStarted,
    Event,
    ExecutionFinished,
    ExecutorLinkChanged,
    RequestReceived,
    ServerStarted,
    TimerExpired,
)
from lilacwalk.overload.model import (
    Effect,
    Outcome,
    Request,
    RequestState,
    ServerSettings,
)

SECOND = 10_000
TICK_INTERVAL = 250  # tenths of a ms
MAX_MEMORY_FRACTION = 0.9  # fraction of the server's memory above which requests are rejected
# A request is answered at the latest this long before its deadline, in tenths of a ms: one tick
# plus the time to send the answer.
DEADLINE_MARGIN = 300


class Baseline:
    """An admission policy with the controller's interface, which admits every request.

    Subclasses override which requests are admitted, how many run at once and in which order.
    """

    def __init__(self, settings: ServerSettings, now: int) -> None:
        self.settings, self.now = settings, now
        self.sink: DecisionSink = None  # type: ignore[assignment]  # set by process_batch
        self.queued: list[Request] = []  # admitted requests that are not started
        self.open_requests: dict[Request, None] = {}
        self.running: dict[Request, None] = {}  # without requests that wait for a dependency call
        self.calls_in_progress = 0
        self.memory_in_use_kb = 0.0
        # Heap of (time at which the request must be answered, sequence number, request).
        self.deadlines: list[tuple[int, int, Request]] = []
        self.sequence_numbers = count()
        self.drain_deadline = 0  # 0 until a drain starts

    # Policy, overridden by subclasses

    def should_admit(self, request: Request) -> bool:
        """Returns whether the policy admits a request that fits into memory and its deadline."""
        return True

    def concurrency_limit(self) -> float:
        """Returns how many requests may run at once."""
        return float(self.settings.cores)

    def record_completion(self, request: Request, duration: int) -> None:
        """Handles a completed request; `duration`: tenths of a ms since its arrival."""

    def prune_queue(self) -> None:
        """Rejects queued requests that should not run; called before requests are started."""

    def next_request(self) -> Request:
        """Returns the queued request to start next; the queue is not empty."""
        return self.queued[0]

    # Interface of the controller

    def process_batch(self, now: int, events: Sequence[Event], sink: DecisionSink) -> None:
        """Handles events and passes decisions to the sink, as `Controller.process_batch` does."""
        self.now, self.sink = now, sink
        for event in events:
            self._handle(event)
        while self.deadlines and self.deadlines[0][0] <= now:
            self._expire(heapq.heappop(self.deadlines)[2])
        self.prune_queue()
        while self.queued and len(self.running) < self.concurrency_limit():
            self._start(self.next_request())

    def _handle(self, event: Event) -> None:
        match event:
            case RequestReceived(request):
                self.request_received(request)
            case ExecutionFinished(request, outcome):
                self.execution_finished(request, outcome)
            case TimerExpired(core_use, run_queue):
                self.timer_expired(core_use, run_queue)
            case CallRequested(request):
                self.call_requested(request)
            case CallFinished(request, outcome, elapsed):
                self.call_finished(request, outcome, elapsed)
            case ClientGone(request):
                self.client_gone(request)
            case ExecutorLinkChanged(is_up):
                self.executor_link_changed(is_up)
            case DrainStarted(stop_at):
                self.start_draining(stop_at)
            case ServerStarted():
                self.start()

    def start(self) -> None:
        self.sink.report_health(True)
        self.sink.set_timer(TICK_INTERVAL)

    def timer_expired(self, core_use: float, run_queue: float) -> None:
        self.sink.set_timer(TICK_INTERVAL)

    def request_received(self, request: Request) -> None:
        self.open_requests[request] = None
        self.memory_in_use_kb += request.memory_kb
        request.objective_deadline = min(
            request.deadline, request.arrived_at + request.request_class.latency_objective
        )
        heapq.heappush(
            self.deadlines,
            (request.deadline - DEADLINE_MARGIN, next(self.sequence_numbers), request),
        )
        if request.duplicate_of is not None and self._handle_duplicate(request):
            return
        exceeds_memory = (
            self.memory_in_use_kb + request.memory_kb * (self.settings.running_memory_factor - 1)
            > MAX_MEMORY_FRACTION * self.settings.memory_kb
        )
        if (
            exceeds_memory
            or self.drain_deadline
            or request.deadline - self.now <= DEADLINE_MARGIN
            or not self.should_admit(request)
        ):
            self._reject(request)
            return
        if request.request_class.effect is Effect.DEDUPLICATED:
            self.sink.register_key(request, request.request_class.deduplication_window)
        self.queued.append(request)

    def _handle_duplicate(self, request: Request) -> bool:
        """Coalesces or rejects a duplicate; returns False if it is a new request after all."""
        original = request.duplicate_of
        if original.was_dispatched:
            request.state = RequestState.COALESCED
            self.sink.coalesce(request)
            return True
        # While the original is queued, the duplicate is rejected, and the client may retry later.
        if original.state is not RequestState.FINISHED:
            self._reject(request)
            return True
        request.duplicate_of = None
        return False

    def client_gone(self, request: Request) -> None:
        request.answered = True
        if request.state is RequestState.QUEUED:
            self._finish(request)

    def execution_finished(self, request: Request, outcome: Outcome) -> None:
        if request.state is not RequestState.FINISHED:
            if request.was_dispatched and outcome is Outcome.OK:
                self.record_completion(request, self.now - request.arrived_at)
            request.answered = True
            self._finish(request)

    def call_requested(self, request: Request) -> None:
        self.running.pop(request, None)
        request.state = RequestState.CALL_IN_PROGRESS
        self.calls_in_progress += 1
        self.sink.call_dependency(request, request.deadline - DEADLINE_MARGIN)

    def call_finished(self, request: Request, outcome: Outcome, elapsed: int) -> None:
        self.calls_in_progress -= 1
        if outcome is Outcome.OK:
            request.state = RequestState.RUNNING
            self.running[request] = None
        elif not request.answered:
            request.answered = True
            self.sink.fail(request)

    def executor_link_changed(self, is_up: bool) -> None:
        pass

    def start_draining(self, stop_at: int) -> None:
        self.drain_deadline = stop_at
        self.sink.report_health(False)

    # Carrying out decisions

    def _start(self, request: Request) -> None:
        self.queued.remove(request)
        request.was_dispatched, request.dispatched_at, request.state = (
            True,
            self.now,
            RequestState.RUNNING,
        )
        self.running[request] = None
        self.memory_in_use_kb += request.memory_kb * (self.settings.running_memory_factor - 1)
        self.sink.dispatch(request)

    def _reject(self, request: Request) -> None:
        request.answered = True
        self._finish(request)
        self.sink.reject(request, 0, False)

    def _expire(self, request: Request) -> None:
        """Fails or rejects a request that has not been answered shortly before its deadline."""
        if request.answered:
            return
        request.answered = True
        if request.was_dispatched or request.state is RequestState.COALESCED:
            self.sink.fail(request)
        else:
            self._reject(request)

    def _finish(self, request: Request) -> None:
        """Releases the resources of a request, and its key if it was never started."""
        if request in self.queued:
            self.queued.remove(request)
        self.running.pop(request, None)
        self.memory_in_use_kb -= request.memory_kb * (
            self.settings.running_memory_factor if request.was_dispatched else 1
        )
        request.state = RequestState.FINISHED
        self.open_requests.pop(request, None)
        if not request.was_dispatched and request.request_class.effect is Effect.DEDUPLICATED:
            self.sink.release_key(request)


class AdmitAll(Baseline):
    pass


class FixedLimit(Baseline):
    """Limits requests in progress to twice the number of cores.

    Queued requests and dependency calls count as in progress, so that at most one request per core
    is queued while all cores are busy.
    """

    def should_admit(self, request: Request) -> bool:
        return (
            len(self.queued) + len(self.running) + self.calls_in_progress < 2 * self.settings.cores
        )


class GradientLimit(Baseline):
    """Gradient concurrency limit.

    The target is limit * clamp(1.5 * long / short, 0.5, 1) + sqrt(limit), where long and short are
    the long-term and short-term mean time from arrival to completion, and the square root is the
    allowance for a queue. The limit approaches the target with weight 0.2 per completion, between 1
    and 200. It does not change while the queue and the running requests use less than half of it.
    """

    def __init__(self, settings: ServerSettings, now: int) -> None:
        super().__init__(settings, now)
        self.limit, self.long_average, self.short_average, self.sample_count = (
            2.0 * settings.cores,
            0.0,
            0.0,
            0,
        )

    def should_admit(self, request: Request) -> bool:
        return len(self.queued) + len(self.running) + self.calls_in_progress < self.limit

    def concurrency_limit(self) -> float:
        return self.limit

    def record_completion(self, request: Request, duration: int) -> None:
        self.sample_count += 1
        long_weight = max(1 / self.sample_count, 0.005)
        self.long_average += long_weight * (duration - self.long_average)
        self.short_average += max(1 / self.sample_count, 0.1) * (duration - self.short_average)
        if self.long_average > 2 * self.short_average:
            self.long_average *= 0.95  # lowers the long average faster after load has fallen
        gradient = max(0.5, min(1.0, 1.5 * self.long_average / max(1.0, self.short_average)))
        target_limit = self.limit * gradient + sqrt(self.limit)
        if len(self.queued) + len(self.running) >= self.limit / 2:
            self.limit = max(1.0, min(200.0, 0.8 * self.limit + 0.2 * target_limit))


class CoDel(Baseline):
    """CoDel whose interval is the shortest latency objective and whose target is a tenth of it."""

    def __init__(self, settings: ServerSettings, now: int) -> None:
        super().__init__(settings, now)
        shortest_objective = min(
            request_class.latency_objective for request_class in settings.request_classes
        )
        self.target, self.interval = shortest_objective // 10, shortest_objective
        self.above_since: int | None = None
        self.next_drop_at, self.drop_count = 0, 0

    def prune_queue(self) -> None:
        while self.queued:
            oldest = self.queued[0]
            if self.now - oldest.arrived_at < self.target:
                self.above_since, self.drop_count = None, 0
                return
            if self.above_since is None:
                self.above_since = self.now
                self.next_drop_at = self.now + self.interval
                return
            if self.now < self.next_drop_at:
                return
            self.drop_count += 1
            self.next_drop_at = self.now + int(self.interval / sqrt(self.drop_count))
            self._reject(oldest)


class TokenBucket(Baseline):
    """Token bucket, refilled at the rate at which the cores can complete runs of mean duration.

    The mean starts at a quarter of the shortest latency objective and is updated with each
    completed run. The bucket holds up to twice as many tokens as there are cores.
    """

    def __init__(self, settings: ServerSettings, now: int) -> None:
        super().__init__(settings, now)
        self.mean_run_time = (
            min(request_class.latency_objective for request_class in settings.request_classes) / 4
        )
        self.tokens, self.refilled_at = float(settings.cores), now

    def record_completion(self, request: Request, duration: int) -> None:
        self.mean_run_time += 0.02 * (self.now - request.dispatched_at - self.mean_run_time)

    def should_admit(self, request: Request) -> bool:
        rate = self.settings.cores / max(1.0, self.mean_run_time)
        self.tokens = min(
            2.0 * self.settings.cores, self.tokens + rate * (self.now - self.refilled_at)
        )
        self.refilled_at = self.now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class Oracle(Baseline):
    """Policy that knows the actual work of each request.

    `work_of` returns the work of a request in tenths of a ms; the simulated server sets it.
    """

    def __init__(self, settings: ServerSettings, now: int) -> None:
        super().__init__(settings, now)
        self.work_of: Callable[[Request], int] = lambda request: request.work_hint

    def _remaining_time(self) -> float:
        """Estimates the time to complete the running requests, if half the work of each remains."""
        return sum(self.work_of(request) / 2 for request in self.running) / self.settings.cores

    def should_admit(self, request: Request) -> bool:
        work_ahead = sum(
            self.work_of(other)
            for other in self.queued
            if self._weight_per_work(other) >= self._weight_per_work(request)
        )
        expected_wait = (
            self._remaining_time() + work_ahead / self.settings.cores
            if len(self.running) >= self.settings.cores
            else 0.0
        )
        return self.now + expected_wait + self.work_of(request) <= request.objective_deadline

    def _weight_per_work(self, request: Request) -> float:
        return request.request_class.weight / max(1, self.work_of(request))

    def prune_queue(self) -> None:
        for request in [
            request
            for request in self.queued
            if self.now + self.work_of(request) > request.objective_deadline
        ]:
            self._reject(request)

    def next_request(self) -> Request:
        return max(self.queued, key=self._weight_per_work)


BASELINES_BY_NAME: dict[str, type[Baseline]] = {
    "all-in": AdmitAll,
    "fixed": FixedLimit,
    "gradient": GradientLimit,
    "codel": CoDel,
    "bucket": TokenBucket,
    "oracle": Oracle,
}
__all__ = ["BASELINES_BY_NAME", "DEADLINE_MARGIN", "Baseline"]
