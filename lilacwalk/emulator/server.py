"""An app server in simulated time: the real `Controller` (or a baseline of the same face) as a writer of its
decisions, over a modelled machine and dependency. What sockets, the interpreter and the kernel's link add is
not modelled but for `handling`, a fixed time from a try's arrival until it is read.

Assumed of an exchange: it runs once through; one that makes a call does so when half of its work is done,
waits off the cores, and goes on. An effect is had when the run ends."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from lilacwalk.emulator.baselines import Oracle, Plain
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
    word: str
    come_back: int = 0
    not_elsewhere: bool = False


@dataclass(eq=False, slots=True)
class Try:
    """One exchange as its caller sends it. `work`: what it really takes, tenths of a ms of a core at full
    speed. `key`: equal for tries of one wish."""

    group: RequestClass
    key: int
    caller: int
    work: int
    patience: int
    on_reply: Callable[[Try, Reply], None]
    retry: bool = False
    hold_kb: float = 8.0
    answers: int = 0
    gone: bool = False  # nobody waits: none is owed
    gone_at: int = 0
    sent: int = 0
    due: int = 0


@dataclass(eq=False, slots=True)
class Run:
    ask: Try
    ex: Request
    number: int = -1  # on the machine
    half: bool = False  # the first half of one that makes a call
    waits: bool = False  # at its call
    call: int = 0  # of which call a reply counts
    called_at: int = 0


@dataclass(slots=True)
class Breach:
    """One of the four rules, broken."""

    rule: str
    at: int
    who: str
    detail: str


@dataclass(slots=True)
class Counts:
    completed: int = 0
    denied: int = 0
    terminated: int = 0
    in_time: float = 0.0  # benefit of what was completed within its SLO time
    t_sum: float = 0.0


@dataclass(eq=False, slots=True)
class Server:
    """`make`: from the settings and the time to what decides. `record`: effects had, by key."""

    name: str
    site: str
    events: EventQueue
    settings: ServerSettings
    make: Callable[[ServerSettings, int], Controller | Plain]
    dependency: Dependency | None
    machine_of: Callable[[Server], Machine]
    breaches: list[Breach]
    effects: dict[int, int]
    slack: int = 500  # of the rules, as sockets have it
    handling: int = 2
    up: bool = False
    silent: bool = False  # takes and says nothing; what runs goes on
    heard_since: int = 0  # the end of its last silence, or of its machine's last standstill
    healthy: bool = True
    life: int = 0
    value: float | None = None
    decides: Controller | Plain | None = None
    machine: Machine | None = None
    runs: dict[Request, Run] = field(default_factory=dict)
    kept: dict[tuple[str, int], tuple[Request, int]] = field(default_factory=dict)
    joined: dict[Request, list[Request]] = field(default_factory=dict)
    asks: dict[Request, Try] = field(default_factory=dict)
    waiting: list[Event] = field(default_factory=list)  # of the next batch
    counts: Counts = field(default_factory=Counts)
    in_round: bool = False
    held_kb: float = 0.0  # of all that is in hand
    timer_turn: int = 0
    leaving: bool = False

    # Its life

    def boot(self, cold: bool = False) -> None:
        self.life += 1
        self.up, self.silent, self.healthy, self.leaving = True, False, True, False
        self.machine = self.machine_of(self)
        settings = self.settings
        if cold:
            settings = replace(settings, started_cold=True)
        self.decides = self.make(settings, self.events.now)
        if isinstance(self.decides, Oracle):
            self.decides.work_of = lambda ex: self.asks[ex].work if ex in self.asks else 0
        self.waiting = [ServerStarted()]
        self._round()

    def kill(self) -> None:
        """Process and machine at once: nobody gets an answer, and what ran is gone."""
        self.up = False
        self.life += 1
        if self.machine is not None:
            self.machine.end()
        lost, self.asks = list(self.asks.values()), {}
        self.held_kb = 0.0
        self.runs.clear()
        self.kept.clear()
        self.joined.clear()
        self.waiting.clear()
        for ask in lost:
            if not ask.answers and not ask.gone:
                self.events.after(0, ask.on_reply, ask, Reply(LOST))

    def leave(self, grace: int) -> None:
        self.leaving = True
        self._tell(DrainStarted(self.events.now + grace))

    # What callers send

    def take(self, ask: Try) -> None:
        """Nothing comes back from one that is down or silent: its caller's patience ends it."""
        if not self.up:
            self.events.after(0, ask.on_reply, ask, Reply(LOST))
            return
        ask.due = self.events.now + ask.patience
        self.events.after(self.handling, self._read, ask, self.events.now, self.life)

    def _read(self, ask: Try, arrived: int, life: int) -> None:
        if life != self.life or self.silent:
            if life != self.life:
                ask.on_reply(ask, Reply(LOST))
            return
        now = self.events.now
        earlier = None
        if ask.group.deduplication_window:
            found = self.kept.get((ask.group.name, ask.key))
            if found is not None and found[1] >= now:
                earlier = found[0]
        ex = Request(
            ask.group,
            arrived,
            now,
            ask.due,
            ask.hold_kb,
            is_retry=ask.retry,
            client=ask.caller,
            duplicate_of=earlier,
        )
        self.asks[ex] = ask
        self.held_kb += ask.hold_kb
        self.events.put(ask.due + self.slack, self._must_be_answered, ask, ex, self.life)
        self._tell(RequestReceived(ex))

    def gone(self, ask: Try) -> None:
        for ex, each in list(self.asks.items()):
            if each is ask:
                ask.gone, ask.gone_at = True, self.events.now
                self._tell(ClientGone(ex))

    def _must_be_answered(self, ask: Try, ex: Request, life: int) -> None:
        gone = (
            ask.gone and ask.gone_at < ask.due
        )  # who gives up at its due time was owed an answer before
        stood = (
            self.silent or self.heard_since > ex.read_at
        )  # told by its silence, which is a fault of the play
        if life == self.life and not stood and not ask.answers and not gone:
            self._breach(
                "one final answer by the due time", f"key {ask.key}: none, in {ex.state.name}"
            )

    def _breach(self, rule: str, detail: str) -> None:
        self.breaches.append(Breach(rule, self.events.now, self.name, detail))

    # Rounds

    def _tell(self, event: Event) -> None:
        self.waiting.append(event)
        if not self.in_round:
            self._round()

    def _round(self) -> None:
        """All that came at one moment is one round; what a decision brings about at once is the next."""
        while self.waiting and self.up:
            events, self.waiting = self.waiting, []
            self.in_round = True
            try:
                self.decides.process_batch(self.events.now, events, self)
            finally:
                self.in_round = False
            self._check()

    def _check(self) -> None:
        if self.held_kb > self.settings.memory_kb:
            self._breach(
                "no fall-over", f"{self.held_kb:.0f} kB in hand of {self.settings.memory_kb:.0f}"
            )

    # The writer: what was decided

    def _answer(self, ex: Request, reply: Reply) -> None:
        ask = self.asks.get(ex)
        if ask is None or ask.gone:
            return
        ask.answers += 1
        if ask.answers > 1:
            self._breach("one final answer", f"key {ask.key}: {reply.word} is another")
            return
        setattr(self.counts, reply.word, getattr(self.counts, reply.word) + 1)
        if reply.word == COMPLETED:
            took = self.events.now - ex.arrived_at
            self.counts.t_sum += took / ask.group.latency_objective
            if took <= ask.group.latency_objective:
                self.counts.in_time += ask.group.weight
        self.events.after(0, ask.on_reply, ask, reply)

    def _forget(self, ex: Request) -> None:
        ask = self.asks.pop(ex, None)
        if ask is not None:
            self.held_kb -= ask.hold_kb * (
                self.settings.running_memory_factor if ex in self.runs else 1
            )
        self.runs.pop(ex, None)

    def dispatch(self, ex: Request) -> None:
        ask = self.asks[ex]
        self.held_kb += ask.hold_kb * (self.settings.running_memory_factor - 1)
        run = self.runs[ex] = Run(ask, ex, half=ex.request_class.calls_dependency)
        work = ask.work // 2 if run.half else ask.work
        run.number = self.machine.start(work, self._ran, run)

    def _ran(self, run: Run) -> None:
        if run.half:
            run.half, run.waits = False, True
            self._tell(CallRequested(run.ex))
            return
        if run.ask.group.effect is not Effect.IDEMPOTENT:
            self.effects[run.ask.key] = self.effects.get(run.ask.key, 0) + 1
            if self.effects[run.ask.key] > 1:
                self._breach("no effect twice", f"key {run.ask.key}")
        if (
            not run.ask.answers
        ):  # else it was answered while it ran on: its effect is had all the same
            self._answer(run.ex, Reply(COMPLETED))
        self._ended(run.ex, Outcome.OK)

    def _ended(self, ex: Request, ending: Outcome) -> None:
        self._forget(ex)
        self.waiting.append(ExecutionFinished(ex, ending))
        for other in self.joined.pop(ex, []):
            if (ask := self.asks.get(other)) is not None and not ask.answers:
                self._answer(other, Reply(COMPLETED if ending is Outcome.OK else TERMINATED))
            self._forget(other)
            self.waiting.append(ExecutionFinished(other, ending))
        if not self.in_round:
            self._round()

    def reject(self, ex: Request, come_back: int = 0, not_elsewhere: bool = False) -> None:
        self._answer(ex, Reply(DENIED, come_back, not_elsewhere))
        if not ex.was_dispatched:
            self._forget(ex)

    def fail(self, ex: Request) -> None:
        self._answer(ex, Reply(TERMINATED))
        if not ex.was_dispatched:
            self._forget(ex)
        elif (run := self.runs.get(ex)) is not None and run.waits:
            # the machine ends a run at a call whose exchange is over
            self.events.after(0, self._over_at_call, run, self.life)

    def _over_at_call(self, run: Run, life: int) -> None:
        if life == self.life and run.ex in self.runs and run.waits:
            self._ended(run.ex, Outcome.CANCELLED)

    def cancel(self, ex: Request) -> None:
        run = self.runs.get(ex)
        if run is not None and not run.waits:
            self.machine.stop(run.number)
            self.events.after(0, self._stopped, run, self.life)

    def _stopped(self, run: Run, life: int) -> None:
        if life == self.life and run.ex in self.runs:
            self._ended(run.ex, Outcome.CANCELLED)

    def coalesce(self, ex: Request) -> None:
        first = ex.duplicate_of
        if first in self.runs:
            self.joined.setdefault(first, []).append(ex)
        else:  # it is over: its result is known, as long as its key is
            done = self.effects.get(self.asks[ex].key, 0) > 0
            self._answer(ex, Reply(COMPLETED if done else TERMINATED))
            self._forget(ex)
            self.waiting.append(ExecutionFinished(ex, Outcome.OK if done else Outcome.ERROR))

    def register_key(self, ex: Request, time: int) -> None:
        ask = self.asks.get(ex)
        if ask is not None:
            self.kept[ask.group.name, ask.key] = ex, self.events.now + time

    def release_key(self, ex: Request) -> None:
        for name, (kept, _) in list(self.kept.items()):
            if kept is ex:
                del self.kept[name]

    def call_dependency(self, ex: Request, give_up_at: int) -> None:
        run = self.runs[ex]
        run.call += 1
        run.called_at = self.events.now
        number, life = run.call, self.life
        if self.dependency is None or not self.dependency.call(
            lambda ending: self._called(run, number, ending, life)
        ):
            self.events.after(1, self._called, run, number, Outcome.UNREACHABLE, life)
            return
        self.events.put(give_up_at, self._called, run, number, Outcome.TIMED_OUT, life)

    def _called(self, run: Run, number: int, ending: Outcome, life: int) -> None:
        if life != self.life or run.call != number or not run.waits or run.ex not in self.runs:
            return
        run.call += 1
        if ending is Outcome.OK:
            run.waits = False
            run.number = self.machine.start(run.ask.work - run.ask.work // 2, self._ran, run)
        self._tell(CallFinished(run.ex, ending, self.events.now - run.called_at))

    def skip_dependency_call(self, ex: Request) -> None:
        run = self.runs[ex]
        run.call += 1
        run.waits = False
        run.number = self.machine.start(run.ask.work - run.ask.work // 2, self._ran, run)

    def report_health(self, good: bool) -> None:
        self.healthy = good

    def report_load(self, value: float) -> None:
        self.value = value

    def close_idle_connections(self, after: int) -> None:
        pass

    def set_timer(self, after: int) -> None:
        self.timer_turn += 1
        self.events.after(after, self._timer, self.life, self.timer_turn)

    def _timer(self, life: int, turn: int) -> None:
        if life != self.life or turn != self.timer_turn:
            return
        if self.silent:
            self.events.after(100, self._timer, life, turn)
            return
        self._tell(TimerExpired(self.machine.core_use, self.machine.run_queue))

    def log(self, text: str) -> None:
        pass


def controller(settings: ServerSettings, now: int) -> Controller:
    return Controller(settings, now)
