"""An app server in simulated time: the real `Controller` (or a baseline with the same interface) with a
`Server` as its decision sink, over a simulated machine and dependency. The cost of sockets, the interpreter
and the connection to the executor is not modelled, except for `read_delay`, a fixed time from an attempt's
arrival until it is read.

Assumptions: a request runs once from start to end. A request class that calls the dependency does so when
half of its work is done, occupies no core while it waits, and then continues. The side effect of a request
occurs when its run ends."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from lilacwalk.emulator.baselines import Baseline, Oracle
from lilacwalk.emulator.dependency import Dependency
from lilacwalk.emulator.events import EventQueue
from lilacwalk.emulator.processor_sharing import Machine
from lilacwalk.overload.controller import Controller
from lilacwalk.overload.events import (
    CallFinished,
    CallRequested,
    ClientGone,
    DrainStarted,
    Event,
    ExecutionFinished,
    RequestReceived,
    ServerStarted,
    TimerExpired,
)
from lilacwalk.overload.model import Effect, Outcome, Request, RequestClass, ServerSettings

COMPLETED, DENIED, TERMINATED, LOST = "completed", "denied", "terminated", "lost"


@dataclass(frozen=True, slots=True)
class Reply:
    kind: str
    retry_after: int = 0
    no_retry_elsewhere: bool = False


@dataclass(eq=False, slots=True)
class Attempt:
    """One attempt of a request, as the router sends it. `work`: actual work in tenths of a ms of a core at
    full speed. `key`: idempotency key, equal for all attempts of a request."""

    request_class: RequestClass
    key: int
    client: int
    work: int
    timeout: int
    on_reply: Callable[[Attempt, Reply], None]
    is_retry: bool = False
    memory_kb: float = 8.0
    answer_count: int = 0
    client_gone: bool = False  # whether the client has disconnected; no answer is required then
    gone_at: int = 0
    settled: int = 0  # 1 once the router has a reply or has timed out
    deadline: int = 0


@dataclass(eq=False, slots=True)
class Run:
    attempt: Attempt
    request: Request
    number: int = -1  # number that Machine.start returned; -1 before the first start
    is_first_half: bool = False  # whether the run has not yet called the dependency
    is_waiting: bool = False  # whether the run waits for the result of its call
    call_number: int = 0  # number of the current call; results of other calls are ignored
    call_started_at: int = 0


@dataclass(slots=True)
class Breach:
    """A violation of a rule; its `repr` is stored with the results.

    The rules: one final answer per attempt; the answer is sent by the deadline; the side effect of a request
    is not executed twice; the server stays within its memory and does not collapse ("no fall-over")."""

    rule: str
    at: int
    who: str
    detail: str


@dataclass(slots=True)
class Counts:
    completed: int = 0
    denied: int = 0
    terminated: int = 0
    in_time: float = 0.0  # total weight of requests completed within their latency objective
    latency_ratio_sum: float = 0.0


@dataclass(eq=False, slots=True)
class Server:
    """A simulated app server. `make_controller` creates the controller from the settings and the time;
    `effect_counts` is shared by all servers and holds the number of times that the side effect of each
    attempt key was executed."""

    name: str
    site: str
    events: EventQueue
    settings: ServerSettings
    make_controller: Callable[[ServerSettings, int], Controller | Baseline]
    dependency: Dependency | None
    make_machine: Callable[[Server], Machine]
    breaches: list[Breach]
    effect_counts: dict[int, int]
    # Tenths of a ms after the deadline; a request without an answer by then is recorded as a violation.
    answer_grace: int = 500
    read_delay: int = 2  # tenths of a ms from the arrival of an attempt until it is read
    is_up: bool = False
    # Whether the server accepts attempts without answering them; runs continue.
    is_silent: bool = False
    responsive_since: int = 0  # time at which the last silence ended
    healthy: bool = True
    incarnation: int = 0
    load_report: float | None = None
    controller: Controller | Baseline | None = None
    machine: Machine | None = None
    runs: dict[Request, Run] = field(default_factory=dict)
    keys: dict[tuple[str, int], tuple[Request, int]] = field(default_factory=dict)
    coalesced: dict[Request, list[Request]] = field(default_factory=dict)
    attempts: dict[Request, Attempt] = field(default_factory=dict)
    pending_events: list[Event] = field(default_factory=list)  # events of the next batch
    counts: Counts = field(default_factory=Counts)
    in_batch: bool = False
    memory_in_use_kb: float = 0.0  # memory of all open requests
    timer_generation: int = 0
    is_draining: bool = False

    # Start and stop

    def boot(self, cold: bool = False) -> None:
        self.incarnation += 1
        self.is_up, self.is_silent, self.healthy, self.is_draining = True, False, True, False
        self.machine = self.make_machine(self)
        settings = self.settings
        if cold:
            settings = replace(settings, started_cold=True)
        self.controller = self.make_controller(settings, self.events.now)
        if isinstance(self.controller, Oracle):
            self.controller.work_of = (
                lambda request: self.attempts[request].work if request in self.attempts else 0
            )
        self.pending_events = [ServerStarted()]
        self._process_batches()

    def kill(self) -> None:
        """Ends process and machine at once: open attempts are lost, and so are running requests."""
        self.is_up = False
        self.incarnation += 1
        if self.machine is not None:
            self.machine.clear()
        unanswered, self.attempts = list(self.attempts.values()), {}
        self.memory_in_use_kb = 0.0
        self.runs.clear()
        self.keys.clear()
        self.coalesced.clear()
        self.pending_events.clear()
        for attempt in unanswered:
            if not attempt.answer_count and not attempt.client_gone:
                self.events.after(0, attempt.on_reply, attempt, Reply(LOST))

    def drain(self, grace: int) -> None:
        self.is_draining = True
        self._submit(DrainStarted(self.events.now + grace))

    # Input from routers

    def receive(self, attempt: Attempt) -> None:
        """Accepts an attempt. A server that is down refuses it at once; a silent one does not answer, and the
        router times out."""
        if not self.is_up:
            self.events.after(0, attempt.on_reply, attempt, Reply(LOST))
            return
        attempt.deadline = self.events.now + attempt.timeout
        self.events.after(self.read_delay, self._read, attempt, self.events.now, self.incarnation)

    def _read(self, attempt: Attempt, arrived: int, incarnation: int) -> None:
        if incarnation != self.incarnation or self.is_silent:
            if incarnation != self.incarnation:
                attempt.on_reply(attempt, Reply(LOST))
            return
        now = self.events.now
        original = None
        if attempt.request_class.deduplication_window:
            entry = self.keys.get((attempt.request_class.name, attempt.key))
            if entry is not None and entry[1] >= now:
                original = entry[0]
        request = Request(
            attempt.request_class,
            arrived,
            now,
            attempt.deadline,
            attempt.memory_kb,
            is_retry=attempt.is_retry,
            client=attempt.client,
            duplicate_of=original,
        )
        self.attempts[request] = attempt
        self.memory_in_use_kb += attempt.memory_kb
        self.events.put(
            attempt.deadline + self.answer_grace,
            self._check_answered,
            attempt,
            request,
            self.incarnation,
        )
        self._submit(RequestReceived(request))

    def client_disconnected(self, attempt: Attempt) -> None:
        for request, other in list(self.attempts.items()):
            if other is attempt:
                attempt.client_gone, attempt.gone_at = True, self.events.now
                self._submit(ClientGone(request))

    def _check_answered(self, attempt: Attempt, request: Request, incarnation: int) -> None:
        # No answer is required if the client disconnected before the deadline. A client that disconnects at
        # the deadline should already have received an answer.
        disconnected_before_deadline = attempt.client_gone and attempt.gone_at < attempt.deadline
        # An answer that is missing because of an injected silence is not a violation.
        was_unresponsive = self.is_silent or self.responsive_since > request.read_at
        if (
            incarnation == self.incarnation
            and not was_unresponsive
            and not attempt.answer_count
            and not disconnected_before_deadline
        ):
            self._breach(
                "one final answer by the due time",
                f"key {attempt.key}: no answer, request is {request.state.name}",
            )

    def _breach(self, rule: str, detail: str) -> None:
        self.breaches.append(Breach(rule, self.events.now, self.name, detail))

    # Batches of events

    def _submit(self, event: Event) -> None:
        self.pending_events.append(event)
        if not self.in_batch:
            self._process_batches()

    def _process_batches(self) -> None:
        """Processes pending events in batches; events that a decision causes immediately form the next batch."""
        while self.pending_events and self.is_up:
            events, self.pending_events = self.pending_events, []
            self.in_batch = True
            try:
                self.controller.process_batch(self.events.now, events, self)
            finally:
                self.in_batch = False
            self._check_memory()

    def _check_memory(self) -> None:
        if self.memory_in_use_kb > self.settings.memory_kb:
            self._breach(
                "no fall-over",
                f"{self.memory_in_use_kb:.0f} kB in use, limit is {self.settings.memory_kb:.0f} kB",
            )

    # Decision sink

    def _answer(self, request: Request, reply: Reply) -> None:
        attempt = self.attempts.get(request)
        if attempt is None or attempt.client_gone:
            return
        attempt.answer_count += 1
        if attempt.answer_count > 1:
            self._breach("one final answer", f"key {attempt.key}: second answer: {reply.kind}")
            return
        setattr(self.counts, reply.kind, getattr(self.counts, reply.kind) + 1)
        if reply.kind == COMPLETED:
            took = self.events.now - request.arrived_at
            self.counts.latency_ratio_sum += took / attempt.request_class.latency_objective
            if took <= attempt.request_class.latency_objective:
                self.counts.in_time += attempt.request_class.weight
        self.events.after(0, attempt.on_reply, attempt, reply)

    def _release(self, request: Request) -> None:
        attempt = self.attempts.pop(request, None)
        if attempt is not None:
            self.memory_in_use_kb -= attempt.memory_kb * (
                self.settings.running_memory_factor if request in self.runs else 1
            )
        self.runs.pop(request, None)

    def dispatch(self, request: Request) -> None:
        attempt = self.attempts[request]
        self.memory_in_use_kb += attempt.memory_kb * (self.settings.running_memory_factor - 1)
        run = self.runs[request] = Run(
            attempt, request, is_first_half=request.request_class.calls_dependency
        )
        work = attempt.work // 2 if run.is_first_half else attempt.work
        run.number = self.machine.start(work, self._on_run_complete, run)

    def _on_run_complete(self, run: Run) -> None:
        if run.is_first_half:
            run.is_first_half, run.is_waiting = False, True
            self._submit(CallRequested(run.request))
            return
        if run.attempt.request_class.effect is not Effect.IDEMPOTENT:
            self.effect_counts[run.attempt.key] = self.effect_counts.get(run.attempt.key, 0) + 1
            if self.effect_counts[run.attempt.key] > 1:
                self._breach("no effect twice", f"key {run.attempt.key}")
        # A request that was answered while it ran still has its effect.
        if not run.attempt.answer_count:
            self._answer(run.request, Reply(COMPLETED))
        self._finish(run.request, Outcome.OK)

    def _finish(self, request: Request, outcome: Outcome) -> None:
        self._release(request)
        self.pending_events.append(ExecutionFinished(request, outcome))
        for other in self.coalesced.pop(request, []):
            if (attempt := self.attempts.get(other)) is not None and not attempt.answer_count:
                self._answer(other, Reply(COMPLETED if outcome is Outcome.OK else TERMINATED))
            self._release(other)
            self.pending_events.append(ExecutionFinished(other, outcome))
        if not self.in_batch:
            self._process_batches()

    def reject(
        self, request: Request, retry_after: int = 0, no_retry_elsewhere: bool = False
    ) -> None:
        self._answer(request, Reply(DENIED, retry_after, no_retry_elsewhere))
        if not request.was_dispatched:
            self._release(request)

    def fail(self, request: Request) -> None:
        self._answer(request, Reply(TERMINATED))
        if not request.was_dispatched:
            self._release(request)
        elif (run := self.runs.get(request)) is not None and run.is_waiting:
            # A run that waits for a call ends when its request has been answered.
            self.events.after(0, self._cancel_at_call, run, self.incarnation)

    def _cancel_at_call(self, run: Run, incarnation: int) -> None:
        if incarnation == self.incarnation and run.request in self.runs and run.is_waiting:
            self._finish(run.request, Outcome.CANCELLED)

    def cancel(self, request: Request) -> None:
        run = self.runs.get(request)
        if run is not None and not run.is_waiting:
            self.machine.stop(run.number)
            self.events.after(0, self._on_stopped, run, self.incarnation)

    def _on_stopped(self, run: Run, incarnation: int) -> None:
        if incarnation == self.incarnation and run.request in self.runs:
            self._finish(run.request, Outcome.CANCELLED)

    def coalesce(self, request: Request) -> None:
        original = request.duplicate_of
        if original in self.runs:
            self.coalesced.setdefault(original, []).append(request)
        else:  # the original is finished; its result is known for as long as its key is stored
            done = self.effect_counts.get(self.attempts[request].key, 0) > 0
            self._answer(request, Reply(COMPLETED if done else TERMINATED))
            self._release(request)
            self.pending_events.append(
                ExecutionFinished(request, Outcome.OK if done else Outcome.ERROR)
            )

    def register_key(self, request: Request, lifetime: int) -> None:
        attempt = self.attempts.get(request)
        if attempt is not None:
            self.keys[attempt.request_class.name, attempt.key] = request, self.events.now + lifetime

    def release_key(self, request: Request) -> None:
        for name, (owner, _) in list(self.keys.items()):
            if owner is request:
                del self.keys[name]

    def call_dependency(self, request: Request, timeout_at: int) -> None:
        run = self.runs[request]
        run.call_number += 1
        run.call_started_at = self.events.now
        number, incarnation = run.call_number, self.incarnation
        if self.dependency is None or not self.dependency.call(
            lambda outcome: self._on_call_result(run, number, outcome, incarnation)
        ):
            self.events.after(
                1, self._on_call_result, run, number, Outcome.UNREACHABLE, incarnation
            )
            return
        self.events.put(
            timeout_at, self._on_call_result, run, number, Outcome.TIMED_OUT, incarnation
        )

    def _on_call_result(self, run: Run, number: int, outcome: Outcome, incarnation: int) -> None:
        if (
            incarnation != self.incarnation
            or run.call_number != number
            or not run.is_waiting
            or run.request not in self.runs
        ):
            return
        run.call_number += 1
        if outcome is Outcome.OK:
            run.is_waiting = False
            run.number = self.machine.start(
                run.attempt.work - run.attempt.work // 2, self._on_run_complete, run
            )
        self._submit(CallFinished(run.request, outcome, self.events.now - run.call_started_at))

    def skip_dependency_call(self, request: Request) -> None:
        run = self.runs[request]
        run.call_number += 1
        run.is_waiting = False
        run.number = self.machine.start(
            run.attempt.work - run.attempt.work // 2, self._on_run_complete, run
        )

    def report_health(self, healthy: bool) -> None:
        self.healthy = healthy

    def report_load(self, value: float) -> None:
        self.load_report = value

    def close_idle_connections(self, after: int) -> None:
        pass

    def set_timer(self, after: int) -> None:
        self.timer_generation += 1
        self.events.after(after, self._timer, self.incarnation, self.timer_generation)

    def _timer(self, incarnation: int, generation: int) -> None:
        if incarnation != self.incarnation or generation != self.timer_generation:
            return
        if self.is_silent:
            self.events.after(100, self._timer, incarnation, generation)
            return
        self._submit(TimerExpired(self.machine.core_use, self.machine.run_queue))

    def log(self, text: str) -> None:
        pass


def new_controller(settings: ServerSettings, now: int) -> Controller:
    return Controller(settings, now)
