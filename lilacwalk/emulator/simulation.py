"""Simulates a fleet: takes a scenario and a seed, and returns the results of the clients' requests second by
second, with every violation of the rules that `Server` checks (see `Breach`).

A seed gives the same result on every machine: nothing depends on a clock or on hash order."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from lilacwalk.emulator.baselines import BASELINES_BY_NAME
from lilacwalk.emulator.dependency import Dependency
from lilacwalk.emulator.events import EventQueue
from lilacwalk.emulator.faults import SERVER_FAULT_KINDS, Fault
from lilacwalk.emulator.processor_sharing import Machine
from lilacwalk.emulator.proxies import Router, RoutingBehavior, SecondStats
from lilacwalk.emulator.server import Breach, Server, new_controller
from lilacwalk.overload.model import RequestClass, ServerSettings
from lilacwalk.settings import EFFECTS_BY_NAME

SECOND = 10_000
SAMPLE_INTERVAL = SECOND // 2  # time between two samples of the servers' state
FLAP_PERIOD = 2 * SECOND  # from one crash of a flapping server to the next


@dataclass(frozen=True, slots=True)
class RequestClassSpec:
    """A request class. Times are in tenths of a ms; `share`: relative share of the requests; `work`: mean
    core time."""

    name: str
    share: float
    work: int
    latency_objective: int
    timeout: int
    weight: float = 1.0
    effect: str = "repeatable"
    calls_dependency: bool = False
    skipped_call_weight_share: float = 0.0
    work_variability: float = 1.0  # 0: constant work, 1: exponentially distributed work


@dataclass(frozen=True, slots=True)
class Scenario:
    request_classes: tuple[RequestClassSpec, ...]
    servers: int = 20
    routers: int = 10
    sites: tuple[str, ...] = ("recife",)
    cores: int = 4
    memory_kb: float = 1e6
    load: float = 0.8  # offered work as a multiple of the capacity of all cores
    length: int = 60 * SECOND
    cold_speed: float = 0.5  # speed of a cold machine as a fraction of its full speed
    warm_up: int = 5 * SECOND
    crowding_threshold: float = 8.0
    contention: float = 0.02
    collapse_threshold: float = 60.0
    collapse_multiple: float = 4.0
    slots: int = 0  # calls that the shared dependency handles at once; 0: no dependency
    call_time: int = 100  # mean duration of a call of the dependency
    max_retry_after: int = SECOND
    drain_grace: int = SECOND
    behavior: RoutingBehavior = RoutingBehavior()
    faults: tuple[Fault, ...] = ()
    policy: str = "design"  # "design" is the real controller; the others are in BASELINES_BY_NAME

    @property
    def mean_work(self) -> float:
        return sum(each.share * each.work for each in self.request_classes) / sum(
            each.share for each in self.request_classes
        )


@dataclass(slots=True)
class Sample:
    """State of all servers at one time."""

    at: int
    p_a: (
        float  # mean admission probability of the running servers; 1 for baselines, which have none
    )
    in_flight: int  # open requests
    busy: float  # fraction of the cores in use
    running_count: int


@dataclass(slots=True)
class Result:
    seconds: dict[int, SecondStats]
    samples: list[Sample]
    breaches: list[Breach]
    events: int
    completed: int
    denied: int
    terminated: int
    wasted: float  # fraction of core time spent on requests that missed their latency objective
    calls: int
    # Fraction of cores in use, by sample and server; -1 for a server that is down.
    core_use_by_server: list[list[float]] = field(default_factory=list)

    def share(self, first: int = 0, end: int | None = None) -> float:
        """Weight of the requests completed within their objective over the weight of all requests created,
        for the seconds from `first` until before `end`."""
        rows = [
            row for at, row in self.seconds.items() if at >= first and (end is None or at < end)
        ]
        wanted = sum(row.wanted for row in rows)
        return sum(row.benefit for row in rows) / wanted if wanted else 1.0

    def worst(self, span: int = 10) -> float:
        """Lowest share over `span` consecutive seconds."""
        last = max(self.seconds, default=0)
        return min((self.share(at, at + span) for at in range(max(1, last - span))), default=1.0)


class Simulation:
    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario, self.seed = scenario, seed
        self.events = EventQueue()
        self.rng = random.Random(f"world {seed}")
        self.breaches: list[Breach] = []
        self.effects: dict[int, int] = {}
        self.seconds: dict[int, SecondStats] = {}
        self.samples: list[Sample] = []
        self.core_use_by_server: list[list[float]] = []
        self.rate_factor, self.router_rate_factors = 1.0, {}
        self.unreachable_sites: set[str] = set()
        self.replaced_core_time = 0.0  # core time used by machines that have been replaced
        self.dependency = (
            Dependency(
                self.events,
                scenario.slots,
                scenario.call_time,
                random.Random(f"index {seed}"),
                collapse_threshold=20.0,
                variability=0.5,
            )
            if scenario.slots
            else None
        )
        self.request_classes = [self._request_class(each) for each in scenario.request_classes]
        make_controller = (
            new_controller if scenario.policy == "design" else BASELINES_BY_NAME[scenario.policy]
        )
        self.servers = [
            Server(
                f"n{at}",
                scenario.sites[at * len(scenario.sites) // scenario.servers],
                self.events,
                self._settings(at),
                make_controller,
                self.dependency,
                self._machine,
                self.breaches,
                self.effects,
            )
            for at in range(scenario.servers)
        ]
        self.cold_servers: set[str] = set()
        # (time from which on they are listed, listed servers); routers see listings with a delay.
        self.listings: list[tuple[int, list[Server]]] = []
        self.routers = [self._router(at) for at in range(scenario.routers)]

    def _request_class(self, each: RequestClassSpec) -> RequestClass:
        return RequestClass(
            each.name,
            each.weight,
            each.latency_objective,
            each.timeout,
            EFFECTS_BY_NAME[each.effect],
            deduplication_window=2 * each.timeout if each.effect == "deduplicated" else 0,
            calls_dependency=each.calls_dependency and self.scenario.slots > 0,
            skipped_call_weight_share=each.skipped_call_weight_share,
        )

    def _settings(self, at: int) -> ServerSettings:
        scenario = self.scenario
        return ServerSettings(
            seed=random.Random(f"server {self.seed} {at}").getrandbits(60),
            cores=scenario.cores,
            memory_kb=scenario.memory_kb,
            running_memory_factor=2.0,
            request_classes=self.request_classes,
            fleet_size=scenario.servers,
            client_count=scenario.routers,
            cold_capacity_share=scenario.cold_speed,
            warm_up_time=scenario.warm_up,
            collapse_multiple=scenario.collapse_multiple,
            drain_grace_period=scenario.drain_grace,
            max_retry_after=scenario.max_retry_after,
            dependency_call_share=2.0 * scenario.slots / scenario.servers
            if scenario.slots
            else 0.0,
            dependency_call_span=SECOND if scenario.slots else 0,
        )

    def _machine(self, server: Server) -> Machine:
        scenario = self.scenario
        if server.machine is not None:
            self.replaced_core_time += server.machine.core_time_used
        cold = server.name in self.cold_servers
        return Machine(
            self.events,
            scenario.cores,
            1.0,
            scenario.crowding_threshold,
            scenario.contention,
            scenario.collapse_threshold,
            scenario.cold_speed if cold else 1.0,
            scenario.warm_up if cold else 0,
            lambda: self._on_collapse(server),
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
            scenario.behavior,
            lambda time: self._listed_servers(at, time),
            self._draw,
            lambda now: rate * self.rate_factor * self.router_rate_factors.get(at, 1.0),
            self.seconds,
        )

    def _draw(self, rng: random.Random) -> tuple[RequestClass, int, int]:
        at = rng.choices(
            range(len(self.request_classes)), [each.share for each in self.scenario.request_classes]
        )[0]
        each = self.scenario.request_classes[at]
        work = each.work * (
            1 - each.work_variability + each.work_variability * rng.expovariate(1.0)
        )
        return self.request_classes[at], max(1, round(work)), each.timeout

    # Listings of servers

    def _update_listing(self) -> None:
        running = [each for each in self.servers if each.is_up and not each.is_draining]
        self.listings.append((self.events.now, running))

    def _listed_servers(self, router: int, time: int) -> list[Server]:
        at = len(self.listings) - 1
        while at > 0 and self.listings[at][0] > time:
            at -= 1
        servers = self.listings[at][1]
        # A cut affects the routers with odd numbers, which detect unreachable servers by themselves.
        if self.unreachable_sites and router % 2:
            servers = [each for each in servers if each.site not in self.unreachable_sites]
        return servers

    # Faults

    def _inject(self, fault: Fault) -> None:
        now, rng = self.events.now, self.rng
        after = self.events.after
        if fault.kind in SERVER_FAULT_KINDS:
            candidates = [
                each for each in self.servers if each.is_up and fault.site in ("", each.site)
            ]
            chosen = rng.sample(
                candidates, min(len(candidates), max(1, round(fault.share * len(candidates))))
            )
            for server in chosen:
                self._inject_into_server(fault, server)
        elif fault.kind == "surge":
            self.rate_factor *= fault.factor
            after(fault.duration, self._end_surge, fault.factor)
        elif fault.kind == "outlet" and self.routers:
            at = rng.randrange(len(self.routers))
            self.router_rate_factors[at] = fault.factor
            after(fault.duration, self.router_rate_factors.pop, at, None)
        elif fault.kind == "cut":
            self.unreachable_sites.add(fault.site or self.scenario.sites[0])
            after(
                fault.duration, self.unreachable_sites.discard, fault.site or self.scenario.sites[0]
            )
        elif fault.kind == "release":
            for at, server in enumerate(self.servers):
                self.events.put(
                    now + fault.duration * at // len(self.servers), self._replace, server
                )
        elif self.dependency is not None and fault.kind == "index-slow":
            self.dependency.slowness = fault.factor
            after(fault.duration, setattr, self.dependency, "slowness", 1.0)
        elif self.dependency is not None and fault.kind == "index-down":
            self.dependency.fail_all()
            after(fault.duration, self.dependency.restore)

    def _end_surge(self, factor: float) -> None:
        self.rate_factor /= factor

    def _inject_into_server(self, fault: Fault, server: Server) -> None:
        after, incarnation = self.events.after, server.incarnation
        if fault.kind == "crash":
            self._kill(server)
            after(fault.duration, self._boot, server)
        elif fault.kind == "flap":
            for at in range(0, max(1, fault.duration), FLAP_PERIOD):
                after(at, self._kill, server)
                after(at + FLAP_PERIOD // 2, self._boot, server)
        elif fault.kind == "silence":
            server.is_silent = True
            after(
                fault.duration,
                self._if_same_incarnation,
                server,
                incarnation,
                lambda: self._end_silence(server),
            )
        elif fault.kind == "hang":
            server.machine.set_paused(True)
            after(
                fault.duration,
                self._if_same_incarnation,
                server,
                incarnation,
                lambda: server.machine.set_paused(False),
            )
        else:
            server.machine.set_speed(fault.factor)
            after(
                fault.duration,
                self._if_same_incarnation,
                server,
                incarnation,
                lambda: server.machine.set_speed(1.0),
            )

    def _if_same_incarnation(
        self, server: Server, incarnation: int, action: Callable[[], None]
    ) -> None:
        if server.is_up and server.incarnation == incarnation:
            action()

    def _end_silence(self, server: Server) -> None:
        server.is_silent, server.responsive_since = False, self.events.now

    def _kill(self, server: Server) -> None:
        if server.is_up:
            server.kill()
            self._update_listing()

    def _on_collapse(self, server: Server) -> None:
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
        if not server.is_up:
            self.cold_servers.add(server.name)
            server.boot(cold=True)
            self._update_listing()

    def _replace(self, server: Server) -> None:
        if server.is_up:
            grace = 2 * self.scenario.drain_grace
            server.drain(grace)
            self._update_listing()
            self.events.after(grace, self._kill, server)
            self.events.after(grace + SECOND // 2, self._boot, server)

    # Simulation run

    def _sample(self) -> None:
        self.events.after(SAMPLE_INTERVAL, self._sample)
        running = [each for each in self.servers if each.is_up]
        probabilities = [
            each.controller.admission_probability
            for each in running
            if hasattr(each.controller, "admission_probability")
        ]
        core_use = [each.machine.core_use if each.is_up else -1.0 for each in self.servers]
        self.samples.append(
            Sample(
                self.events.now,
                sum(probabilities) / len(probabilities) if probabilities else 1.0,
                sum(len(each.attempts) for each in running),
                sum(max(0.0, each) for each in core_use) / len(core_use),
                len(running),
            )
        )
        self.core_use_by_server.append(core_use)

    def play(self) -> Result:
        scenario = self.scenario
        for server in self.servers:
            server.boot()
        self._update_listing()
        for router in self.routers:
            router.start()
        for fault in scenario.faults:
            self.events.put(fault.at, self._inject, fault)
        self._sample()
        self.events.run(scenario.length)
        # No new requests are created; open ones are answered or time out.
        for router in self.routers:
            router.rate = lambda now: 0.0
        longest = max(each.timeout for each in scenario.request_classes)
        self.events.run(scenario.length + longest + SECOND)
        return self._result()

    def _result(self) -> Result:
        counts = [each.counts for each in self.servers]
        busy = self.replaced_core_time + sum(each.machine.core_time_used for each in self.servers)
        useful_work = sum(row.in_time for row in self.seconds.values()) * self.scenario.mean_work
        last = self.scenario.length // SECOND
        return Result(
            {at: row for at, row in sorted(self.seconds.items()) if at < last},
            self.samples,
            self.breaches,
            self.events.processed_count,
            sum(each.completed for each in counts),
            sum(each.denied for each in counts),
            sum(each.terminated for each in counts),
            max(0.0, 1 - useful_work / busy) if busy else 0.0,
            self.dependency.call_count if self.dependency else 0,
            self.core_use_by_server,
        )


def play(scenario: Scenario, seed: int) -> Result:
    return Simulation(scenario, seed).play()
