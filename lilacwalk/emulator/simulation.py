"""A fleet played in simulated time: a scenario and a seed in, what its users got second by second out, with
every breach of the four rules. The same on every machine: one seed, no clock, no order of a hash."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from lilacwalk.emulator.baselines import KINDS
from lilacwalk.emulator.dependency import Dependency
from lilacwalk.emulator.events import EventQueue
from lilacwalk.emulator.faults import OF_SERVERS, Fault
from lilacwalk.emulator.processor_sharing import Machine
from lilacwalk.emulator.proxies import Habits, Router, Second
from lilacwalk.emulator.server import Breach, Server, controller
from lilacwalk.overload.model import RequestClass, ServerSettings
from lilacwalk.settings import EFFECTS_BY_NAME

SECOND = 10_000
SAMPLE = SECOND // 2  # between two looks at all servers: the controller's own tick
FLAP = 2 * SECOND


@dataclass(frozen=True, slots=True)
class RequestClassSpec:
    """Times in tenths of a ms; `share` of the wishes; `work` of a core, on the average."""

    name: str
    share: float
    work: int
    slo_time: int
    async_timeout: int
    benefit: float = 1.0
    effect: str = "repeatable"
    calls: bool = False
    skip_benefit: float = 0.0
    spread: float = 1.0  # of the work: 0 constant, 1 exponential


@dataclass(frozen=True, slots=True)
class Scenario:
    groups: tuple[RequestClassSpec, ...]
    servers: int = 20
    routers: int = 10
    sites: tuple[str, ...] = ("recife",)
    cores: int = 4
    memory_kb: float = 1e6
    load: float = 0.8  # of what all cores finish
    length: int = 60 * SECOND
    cold: float = 0.5
    warm_up: int = 5 * SECOND
    crowd: float = 8.0
    contention: float = 0.02
    death: float = 60.0
    tip_multiple: float = 4.0
    slots: int = 0  # of a shared dependency; 0: there is none
    call_time: int = 100
    come_back_max: int = SECOND
    drain_grace: int = SECOND
    habits: Habits = Habits()
    faults: tuple[Fault, ...] = ()
    decides: str = "design"

    @property
    def mean_work(self) -> float:
        return sum(each.share * each.work for each in self.groups) / sum(
            each.share for each in self.groups
        )


@dataclass(slots=True)
class Sample:
    """Of all servers at one moment."""

    at: int
    p_a: float  # mean of those that are up; 1 where what decides has none
    in_hand: int
    busy: float  # part of the cores that is in use
    up: int


@dataclass(slots=True)
class Result:
    seconds: dict[int, Second]
    samples: list[Sample]
    breaches: list[Breach]
    events: int
    completed: int
    denied: int
    terminated: int
    wasted: float  # part of all core time that went into what nobody got in time
    calls: int
    heat: list[list[float]] = field(default_factory=list)  # cores in use, by sample and server

    def share(self, first: int = 0, end: int | None = None) -> float:
        """Benefit in time over benefit wanted, of wishes born in these seconds."""
        rows = [
            row for at, row in self.seconds.items() if at >= first and (end is None or at < end)
        ]
        wanted = sum(row.wanted for row in rows)
        return sum(row.benefit for row in rows) / wanted if wanted else 1.0

    def worst(self, span: int = 10) -> float:
        last = max(self.seconds, default=0)
        return min((self.share(at, at + span) for at in range(max(1, last - span))), default=1.0)


class World:
    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario, self.seed = scenario, seed
        self.events = EventQueue()
        self.rng = random.Random(f"world {seed}")
        self.breaches: list[Breach] = []
        self.effects: dict[int, int] = {}
        self.seconds: dict[int, Second] = {}
        self.samples: list[Sample] = []
        self.heat: list[list[float]] = []
        self.surge, self.outlets = 1.0, {}
        self.cut: set[str] = set()
        self.busy_before = 0.0  # core time of machines that are gone
        self.dependency = (
            Dependency(
                self.events,
                scenario.slots,
                scenario.call_time,
                random.Random(f"index {seed}"),
                death=20.0,
                spread=0.5,
            )
            if scenario.slots
            else None
        )
        self.groups = [self._group(each) for each in scenario.groups]
        make = controller if scenario.decides == "design" else KINDS[scenario.decides]
        self.servers = [
            Server(
                f"n{at}",
                scenario.sites[at * len(scenario.sites) // scenario.servers],
                self.events,
                self._settings(at),
                make,
                self.dependency,
                self._machine,
                self.breaches,
                self.effects,
            )
            for at in range(scenario.servers)
        ]
        self.colds: set[str] = set()
        # What is listed, by the time from which on: routers know it late.
        self.listed: list[tuple[int, list[Server]]] = []
        self.routers = [self._router(at) for at in range(scenario.routers)]

    def _group(self, each: RequestClassSpec) -> RequestClass:
        return RequestClass(
            each.name,
            each.benefit,
            each.slo_time,
            each.async_timeout,
            EFFECTS_BY_NAME[each.effect],
            deduplication_window=2 * each.async_timeout if each.effect == "deduplicated" else 0,
            calls_dependency=each.calls and self.scenario.slots > 0,
            skipped_call_weight_share=each.skip_benefit,
        )

    def _settings(self, at: int) -> ServerSettings:
        scenario = self.scenario
        return ServerSettings(
            seed=random.Random(f"server {self.seed} {at}").getrandbits(60),
            cores=scenario.cores,
            memory_kb=scenario.memory_kb,
            running_memory_factor=2.0,
            request_classes=self.groups,
            fleet_size=scenario.servers,
            client_count=scenario.routers,
            cold_capacity_share=scenario.cold,
            warm_up_time=scenario.warm_up,
            collapse_multiple=scenario.tip_multiple,
            drain_grace_period=scenario.drain_grace,
            max_retry_after=scenario.come_back_max,
            dependency_call_share=2.0 * scenario.slots / scenario.servers
            if scenario.slots
            else 0.0,
            dependency_call_span=SECOND if scenario.slots else 0,
        )

    def _machine(self, server: Server) -> Machine:
        scenario = self.scenario
        if server.machine is not None:
            self.busy_before += server.machine.busy
        cold = server.name in self.colds
        return Machine(
            self.events,
            scenario.cores,
            1.0,
            scenario.crowd,
            scenario.contention,
            scenario.death,
            scenario.cold if cold else 1.0,
            scenario.warm_up if cold else 0,
            lambda: self._died(server),
        )

    def _router(self, at: int) -> Router:
        scenario = self.scenario
        rate = (
            scenario.load
            * scenario.servers
            * scenario.cores
            * SECOND
            / scenario.mean_work
            / max(1, scenario.routers)
        )
        rng = random.Random(f"router {self.seed} {at}")
        return Router(
            at,
            self.events,
            rng,
            scenario.habits,
            lambda time: self._list(at, time),
            self._draw,
            lambda now: rate * self.surge * self.outlets.get(at, 1.0),
            self.seconds,
        )

    def _draw(self, rng: random.Random) -> tuple[RequestClass, int, int]:
        at = rng.choices(range(len(self.groups)), [each.share for each in self.scenario.groups])[0]
        each = self.scenario.groups[at]
        work = each.work * (1 - each.spread + each.spread * rng.expovariate(1.0))
        return self.groups[at], max(1, round(work)), each.async_timeout

    # Lists

    def _relist(self) -> None:
        up = [each for each in self.servers if each.up and not each.leaving]
        self.listed.append((self.events.now, up))

    def _list(self, router: int, time: int) -> list[Server]:
        at = len(self.listed) - 1
        while at > 0 and self.listed[at][0] > time:
            at -= 1
        found = self.listed[at][1]
        if self.cut and router % 2:  # what it cannot reach it finds out by asking
            found = [each for each in found if each.site not in self.cut]
        return found

    # Faults

    def _begin(self, fault: Fault) -> None:
        now, rng = self.events.now, self.rng
        after = self.events.after
        if fault.kind in OF_SERVERS:
            there = [each for each in self.servers if each.up and fault.site in ("", each.site)]
            chosen = rng.sample(there, min(len(there), max(1, round(fault.share * len(there)))))
            for server in chosen:
                self._afflict(fault, server)
        elif fault.kind == "surge":
            self.surge *= fault.factor
            after(fault.time, self._surged, fault.factor)
        elif fault.kind == "outlet" and self.routers:
            at = rng.randrange(len(self.routers))
            self.outlets[at] = fault.factor
            after(fault.time, self.outlets.pop, at, None)
        elif fault.kind == "cut":
            self.cut.add(fault.site or self.scenario.sites[0])
            after(fault.time, self.cut.discard, fault.site or self.scenario.sites[0])
        elif fault.kind == "release":
            for at, server in enumerate(self.servers):
                self.events.put(now + fault.time * at // len(self.servers), self._replace, server)
        elif self.dependency is not None and fault.kind == "index-slow":
            self.dependency.slowness = fault.factor
            after(fault.time, setattr, self.dependency, "slowness", 1.0)
        elif self.dependency is not None and fault.kind == "index-down":
            self.dependency.end()
            after(fault.time, self.dependency.back)

    def _surged(self, factor: float) -> None:
        self.surge /= factor

    def _afflict(self, fault: Fault, server: Server) -> None:
        after, life = self.events.after, server.life
        if fault.kind == "crash":
            self._kill(server)
            after(fault.time, self._boot, server)
        elif fault.kind == "flap":
            for at in range(0, max(1, fault.time), FLAP):
                after(at, self._kill, server)
                after(at + FLAP // 2, self._boot, server)
        elif fault.kind == "silence":
            server.silent = True
            after(fault.time, self._if_same, server, life, lambda: self._heard(server))
        elif fault.kind == "hang":
            server.machine.stand_still(True)
            after(
                fault.time, self._if_same, server, life, lambda: server.machine.stand_still(False)
            )
        else:
            server.machine.set_speed(fault.factor)
            after(fault.time, self._if_same, server, life, lambda: server.machine.set_speed(1.0))

    def _if_same(self, server: Server, life: int, action: Callable[[], None]) -> None:
        if server.up and server.life == life:
            action()

    def _heard(self, server: Server) -> None:
        server.silent, server.heard_since = False, self.events.now

    def _kill(self, server: Server) -> None:
        if server.up:
            server.kill()
            self._relist()

    def _died(self, server: Server) -> None:
        self.breaches.append(
            Breach(
                "no fall-over",
                self.events.now,
                server.name,
                f"{server.machine.running} runs on {self.scenario.cores} cores",
            )
        )
        self.events.after(0, self._kill, server)
        self.events.after(5 * SECOND, self._boot, server)

    def _boot(self, server: Server) -> None:
        if not server.up:
            self.colds.add(server.name)
            server.boot(cold=True)
            self._relist()

    def _replace(self, server: Server) -> None:
        if server.up:
            grace = 2 * self.scenario.drain_grace
            server.leave(grace)
            self._relist()
            self.events.after(grace, self._kill, server)
            self.events.after(grace + SECOND // 2, self._boot, server)

    # A play

    def _sample(self) -> None:
        self.events.after(SAMPLE, self._sample)
        up = [each for each in self.servers if each.up]
        known = [
            each.decides.admission_probability
            for each in up
            if hasattr(each.decides, "admission_probability")
        ]
        use = [each.machine.core_use if each.up else -1.0 for each in self.servers]
        self.samples.append(
            Sample(
                self.events.now,
                sum(known) / len(known) if known else 1.0,
                sum(len(each.asks) for each in up),
                sum(max(0.0, each) for each in use) / len(use),
                len(up),
            )
        )
        self.heat.append(use)

    def play(self) -> Result:
        scenario = self.scenario
        for server in self.servers:
            server.boot()
        self._relist()
        for router in self.routers:
            router.begin()
        for fault in scenario.faults:
            self.events.put(fault.at, self._begin, fault)
        self._sample()
        self.events.run(scenario.length)
        for (
            router
        ) in self.routers:  # what was wished for is answered or given up; nothing new comes
            router.rate = lambda now: 0.0
        longest = max(each.async_timeout for each in scenario.groups)
        self.events.run(scenario.length + longest + SECOND)
        return self._result()

    def _result(self) -> Result:
        counts = [each.counts for each in self.servers]
        busy = self.busy_before + sum(each.machine.busy for each in self.servers)
        useful = sum(row.in_time for row in self.seconds.values()) * self.scenario.mean_work
        last = self.scenario.length // SECOND
        return Result(
            {at: row for at, row in sorted(self.seconds.items()) if at < last},
            self.samples,
            self.breaches,
            self.events.happened,
            sum(each.completed for each in counts),
            sum(each.denied for each in counts),
            sum(each.terminated for each in counts),
            max(0.0, 1 - useful / busy) if busy else 0.0,
            self.dependency.made if self.dependency else 0,
            self.heat,
        )


def play(scenario: Scenario, seed: int) -> Result:
    return World(scenario, seed).play()
