"""An app server in simulated time. Times are in tenths of a ms.

`Server` is the decision sink of the real `Controller`, or of a baseline with the same interface. It
uses a simulated machine and a simulated dependency. The costs of sockets, the interpreter and the
connection to the executor are not modelled, except for `read_delay`.

Assumptions: a request runs once from start to end. A request of a class that calls the dependency
makes one call when half of its work is done, occupies no core while it waits for the result, and
then continues. The side effect of a request occurs when its run ends."""

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
    """A server's reply to an attempt.

    Attributes:
        kind: COMPLETED; DENIED, if the request has not run; TERMINATED, if its outcome is unknown;
            LOST, if the connection failed.
        retry_after: time after which the client may repeat a denied request; 0 if not stated.
        no_retry_elsewhere: whether the router should not retry the request on another server.
    """

    kind: str
    retry_after: int = 0
    no_retry_elsewhere: bool = False


@dataclass(eq=False, slots=True)
class Attempt:
    """One attempt of a request, as the router sends it."""

    request_class: RequestClass
    key: int  # idempotency key, equal for all attempts of a request
    client: int  # number of the router
    work: int  # actual work: time on one core at full speed
    timeout: int  # time from the arrival at the server to the deadline
    on_reply: Callable[[Attempt, Reply], None]
    is_retry: bool = False  # whether the attempt is marked as a retry
    memory_kb: float = 8.0  # memory of the request until it is dispatched
    answer_count: int = 0
    is_disconnected: bool = False  # whether the client has disconnected; no answer is required then
    disconnected_at: int = 0  # time of the disconnection
    is_settled: int = 0  # 1 once the router has received a reply or the attempt has timed out
    deadline: int = 0  # set when the attempt arrives


@dataclass(eq=False, slots=True)
class Run:
    """The execution of a request.

    Attributes:
        attempt: the attempt that the request belongs to.
        request: the request.
        number: number that `Machine.start` returned; -1 before the first start.
        is_first_half: whether the run has still to call the dependency.
        is_waiting: whether the run waits for the result of its call.
        call_number: number of the current call; results of calls with other numbers are ignored.
        call_started_at: time at which the current call was started.
    """

    attempt: Attempt
    request: Request
    number: int = -1
    is_first_half: bool = False
    is_waiting: bool = False
    call_number: int = 0
    call_started_at: int = 0


@dataclass(slots=True)
class Breach:
    """A violation of a rule by the server `who` at the time `at`.

    The `repr` of violations is stored with the results.
    The rules are: each attempt gets one final answer; the answer is sent by the deadline; the side
    effect of a request is not executed twice; the server does not exceed its memory and does not
    collapse ("no fall-over").
    """

    rule: str
    at: int
    who: str
    detail: str


@dataclass(slots=True)
class Counts:
    """Answers that a server has sent, by kind of reply."""

    completed: int = 0
    denied: int = 0
    terminated: int = 0
    in_time: float = 0.0  # total weight of requests completed within their latency objective
    # Sum of latency divided by latency objective over all completed requests.
    latency_ratio_sum: float = 0.0


@dataclass(eq=False, slots=True)
class Server:
    """A simulated app server.

    `make_controller` creates the controller from the settings and the current time; `make_machine`
    creates a machine for each start of the server. `effect_counts` is shared by all servers and
    counts the executions of the side effect by idempotency key.
    """

    name: str
    site: str
    events: EventQueue
    settings: ServerSettings
    make_controller: Callable[[ServerSettings, int], Controller | Baseline]
    dependency: Dependency | None
    make_machine: Callable[[Server], Machine]
    breaches: list[Breach]
    effect_counts: dict[int, int]
    # A request that is not answered this long after its deadline is recorded as a violation.
    answer_grace: int = 500
    read_delay: int = 2  # time from the arrival of an attempt until it is read
    is_up: bool = False
    # Whether the server accepts attempts without answering them; runs continue.
    is_silent: bool = False
    responsive_since: int = 0  # time at which the last silence ended
    is_healthy: bool = True  # what the controller reported last
    incarnation: int = 0  # incremented by each start and crash
    load_report: float | None = None  # the controller's last load report
    controller: Controller | Baseline | None = None
    machine: Machine | None = None
    runs: dict[Request, Run] = field(default_factory=dict)  # executions in progress
    # Stored idempotency keys: (request class, key) to (original request, expiry).
    stored_keys: dict[tuple[str, int], tuple[Request, int]] = field(default_factory=dict)
    # Duplicates that wait for the result, by original request.
    waiting_duplicates: dict[Request, list[Request]] = field(default_factory=dict)
    attempts: dict[Request, Attempt] = field(default_factory=dict)  # attempts of open requests
    pending_events: list[Event] = field(default_factory=list)  # events of the next batch
    counts: Counts = field(default_factory=Counts)
    is_processing_batch: bool = False  # whether the controller is processing a batch
    memory_in_use_kb: float = 0.0  # memory of all open requests
    timer_generation: int = 0  # only the timer that was set last is valid
    is_draining: bool = False

    # Start and stop

    def boot(self, cold: bool = False) -> None:
        """Starts the process with a new controller on a new machine.

        `cold` indicates to the controller that caches are cold and executions are slower at first.
        """
        self.incarnation += 1
        self.is_up, self.is_silent, self.is_healthy, self.is_draining = True, False, True, False
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
        """Stops the process and the machine at once.

        Running requests are lost, and open attempts get the reply LOST.
        """
        self.is_up = False
        self.incarnation += 1
        if self.machine is not None:
            self.machine.clear()
        unanswered, self.attempts = list(self.attempts.values()), {}
        self.memory_in_use_kb = 0.0
        self.runs.clear()
        self.stored_keys.clear()
        self.waiting_duplicates.clear()
        self.pending_events.clear()
        for attempt in unanswered:
            if not attempt.answer_count and not attempt.is_disconnected:
                self.events.after(0, attempt.on_reply, attempt, Reply(LOST))

    def drain(self, grace: int) -> None:
        """Starts a drain that ends after `grace`."""
        self.is_draining = True
        self._submit(DrainStarted(self.events.now + grace))

    # Input from routers

    def receive(self, attempt: Attempt) -> None:
        """Accepts an attempt, which is read after `read_delay`.

        If the server is down, the reply is LOST; if it is silent, there is no reply.
        """
        if not self.is_up:
            self.events.after(0, attempt.on_reply, attempt, Reply(LOST))
            return
        attempt.deadline = self.events.now + attempt.timeout
        self.events.after(
            self.read_delay, self._read_attempt, attempt, self.events.now, self.incarnation
        )

    def _read_attempt(self, attempt: Attempt, arrived_at: int, incarnation: int) -> None:
        if incarnation != self.incarnation or self.is_silent:
            if incarnation != self.incarnation:
                attempt.on_reply(attempt, Reply(LOST))
            return
        now = self.events.now
        original = None
        if attempt.request_class.deduplication_window:
            entry = self.stored_keys.get((attempt.request_class.name, attempt.key))
            if entry is not None and entry[1] >= now:
                original = entry[0]
        request = Request(
            attempt.request_class,
            arrived_at,
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
        """Reports to the controller that the client of an attempt has disconnected."""
        for request, other in list(self.attempts.items()):
            if other is attempt:
                attempt.is_disconnected, attempt.disconnected_at = True, self.events.now
                self._submit(ClientGone(request))

    def _check_answered(self, attempt: Attempt, request: Request, incarnation: int) -> None:
        """Records a violation if an attempt that required an answer has none."""
        # A client that disconnected before the deadline requires no answer. One that disconnects at
        # the deadline should have received an answer by then.
        disconnected_before_deadline = (
            attempt.is_disconnected and attempt.disconnected_at < attempt.deadline
        )
        # A missing answer is no violation if an injected silence caused it.
        was_unresponsive = self.is_silent or self.responsive_since > request.read_at
        if (
            incarnation == self.incarnation
            and not was_unresponsive
            and not attempt.answer_count
            and not disconnected_before_deadline
        ):
            self._record_breach(
                "one final answer by the due time",
                f"key {attempt.key}: no answer, request is {request.state.name}",
            )

    def _record_breach(self, rule: str, detail: str) -> None:
        self.breaches.append(Breach(rule, self.events.now, self.name, detail))

    # Batches of events

    def _submit(self, event: Event) -> None:
        self.pending_events.append(event)
        if not self.is_processing_batch:
            self._process_batches()

    def _process_batches(self) -> None:
        """Processes pending events in batches until none are left.

        Events that the decisions of a batch add form the next batch.
        """
        while self.pending_events and self.is_up:
            events, self.pending_events = self.pending_events, []
            self.is_processing_batch = True
            try:
                self.controller.process_batch(self.events.now, events, self)
            finally:
                self.is_processing_batch = False
            self._check_memory()

    def _check_memory(self) -> None:
        if self.memory_in_use_kb > self.settings.memory_kb:
            self._record_breach(
                "no fall-over",
                f"{self.memory_in_use_kb:.0f} kB in use, limit is {self.settings.memory_kb:.0f} kB",
            )

    # Decision sink

    def _answer(self, request: Request, reply: Reply) -> None:
        """Sends and counts a reply, unless the client has disconnected.

        A second answer is not sent, but recorded as a violation.
        """
        attempt = self.attempts.get(request)
        if attempt is None or attempt.is_disconnected:
            return
        attempt.answer_count += 1
        if attempt.answer_count > 1:
            self._record_breach(
                "one final answer", f"key {attempt.key}: second answer: {reply.kind}"
            )
            return
        setattr(self.counts, reply.kind, getattr(self.counts, reply.kind) + 1)
        if reply.kind == COMPLETED:
            latency = self.events.now - request.arrived_at
            self.counts.latency_ratio_sum += latency / attempt.request_class.latency_objective
            if latency <= attempt.request_class.latency_objective:
                self.counts.in_time += attempt.request_class.weight
        self.events.after(0, attempt.on_reply, attempt, reply)

    def _release(self, request: Request) -> None:
        """Removes a request and its execution, and frees their memory."""
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
                self._record_breach("no effect twice", f"key {run.attempt.key}")
        # A request that was answered while it was running has its effect, but no second answer.
        if not run.attempt.answer_count:
            self._answer(run.request, Reply(COMPLETED))
        self._finish(run.request, Outcome.OK)

    def _finish(self, request: Request, outcome: Outcome) -> None:
        """Releases a request that has run, answers its duplicates and notifies the controller."""
        self._release(request)
        self.pending_events.append(ExecutionFinished(request, outcome))
        for other in self.waiting_duplicates.pop(request, []):
            if (attempt := self.attempts.get(other)) is not None and not attempt.answer_count:
                self._answer(other, Reply(COMPLETED if outcome is Outcome.OK else TERMINATED))
            self._release(other)
            self.pending_events.append(ExecutionFinished(other, outcome))
        if not self.is_processing_batch:
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
            # A run that waits for its dependency call ends as soon as its request is answered.
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
            self.waiting_duplicates.setdefault(original, []).append(request)
        else:  # the original request has ended, as completed if its effect was executed
            is_completed = self.effect_counts.get(self.attempts[request].key, 0) > 0
            self._answer(request, Reply(COMPLETED if is_completed else TERMINATED))
            self._release(request)
            self.pending_events.append(
                ExecutionFinished(request, Outcome.OK if is_completed else Outcome.ERROR)
            )

    def register_key(self, request: Request, lifetime: int) -> None:
        attempt = self.attempts.get(request)
        if attempt is not None:
            self.stored_keys[attempt.request_class.name, attempt.key] = (
                request,
                self.events.now + lifetime,
            )

    def release_key(self, request: Request) -> None:
        for name, (owner, _) in list(self.stored_keys.items()):
            if owner is request:
                del self.stored_keys[name]

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
        """Handles the result of call `number`, unless a timeout or another result preceded it."""
        if (
            incarnation != self.incarnation
            or run.call_number != number
            or not run.is_waiting
            or run.request not in self.runs
        ):
            return
        run.call_number += 1  # a later result of this call is ignored
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
        self.is_healthy = healthy

    def report_load(self, value: float) -> None:
        self.load_report = value

    def close_idle_connections(self, after: int) -> None:
        pass

    def set_timer(self, after: int) -> None:
        self.timer_generation += 1
        self.events.after(after, self._on_timer, self.incarnation, self.timer_generation)

    def _on_timer(self, incarnation: int, generation: int) -> None:
        if incarnation != self.incarnation or generation != self.timer_generation:
            return
        if self.is_silent:  # the controller gets no timer events until the silence ends
            self.events.after(100, self._on_timer, incarnation, generation)
            return
        self._submit(TimerExpired(self.machine.core_use, self.machine.run_queue))

    def log(self, text: str) -> None:
        pass


def new_controller(settings: ServerSettings, now: int) -> Controller:
    """Creates the real controller at the simulated time `now`."""
    return Controller(settings, now)
