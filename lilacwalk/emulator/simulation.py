"""Simulates a fleet of app servers with their routers and clients. Times are in tenths of a ms.

`play` takes a scenario and a seed. It returns the results of the clients' requests for each second,
and every violation of the rules that `Server` checks (see `Breach`).

A scenario and a seed give the same result on every machine: nothing depends on a clock or on hash
order."""

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
    """A request class, and the distribution of its requests."""

    name: str
    share: float  # share of the requests, relative to the other classes
    work: int  # mean time on one core at full speed
    latency_objective: int
    timeout: int
    weight: float = 1.0
    effect: str = "repeatable"  # a key of EFFECTS_BY_NAME
    calls_dependency: bool = False
    # Fraction of the weight that a request has if its dependency call is skipped.
    skipped_call_weight_share: float = 0.0
    work_variability: float = 1.0  # 0: constant work, 1: exponentially distributed work


@dataclass(frozen=True, slots=True)
class Scenario:
    """A fleet, its load and the faults to inject.

    For fields without a comment see `Machine`, `ServerSettings` and `RoutingBehavior`.
    """

    request_classes: tuple[RequestClassSpec, ...]
    servers: int = 20  # number of app servers
    routers: int = 10  # number of routers
    sites: tuple[str, ...] = ("recife",)  # the app servers are distributed evenly over the sites
    cores: int = 4  # per app server
    memory_kb: float = 1e6  # per app server
    load: float = 0.8  # offered work as a multiple of the capacity of all cores
    length: int = 60 * SECOND  # time during which requests are created
    cold_speed: float = 0.5  # speed of a cold machine as a fraction of its full speed
    warm_up: int = 5 * SECOND  # time for which a machine is cold after a restart
    crowding_threshold: float = 8.0
    contention: float = 0.02
    collapse_threshold: float = 60.0
    collapse_multiple: float = 4.0  # see `ServerSettings`
    slots: int = 0  # calls that the shared dependency handles at once; 0: no dependency
    call_time: int = 100  # mean duration of a dependency call
    max_retry_after: int = SECOND
    drain_grace: int = SECOND
    behavior: RoutingBehavior = RoutingBehavior()
    faults: tuple[Fault, ...] = ()
    policy: str = "design"  # "design" is the real controller; the others are in BASELINES_BY_NAME

    @property
    def mean_work(self) -> float:
        """Mean work of a request over all request classes."""
        return sum(spec.share * spec.work for spec in self.request_classes) / sum(
            spec.share for spec in self.request_classes
        )


@dataclass(slots=True)
class Sample:
    """State of all servers at one time.

    Attributes:
        at: time of the sample.
        p_a: mean admission probability of the running servers; 1 for baselines, which have none.
        in_flight: number of open requests of all servers.
        busy: fraction of the cores of all servers that is in use.
        running_count: number of running servers.
    """

    at: int
    p_a: float
    in_flight: int
    busy: float
    running_count: int


@dataclass(slots=True)
class Result:
    """Results of a simulation run.

    Attributes:
        stats_by_second: results by the second in which the requests were created.
        samples: state of the servers every SAMPLE_INTERVAL.
        breaches: all violations of the rules.
        processed_event_count: number of processed events.
        completed: number of replies COMPLETED that servers sent.
        denied: number of replies DENIED that servers sent.
        terminated: number of replies TERMINATED that servers sent.
        wasted: estimated fraction of core time that was not spent on requests that met their
            latency objective. The estimate assumes the scenario's mean work for each of these.
        dependency_call_count: number of accepted dependency calls.
        core_use_by_server: fraction of cores in use, by sample and server; -1 for a server that is
            down.
    """

    stats_by_second: dict[int, SecondStats]
    samples: list[Sample]
    breaches: list[Breach]
    processed_event_count: int
    completed: int
    denied: int
    terminated: int
    wasted: float
    dependency_call_count: int
    core_use_by_server: list[list[float]] = field(default_factory=list)

    def share(self, first: int = 0, end: int | None = None) -> float:
        """Returns the share of weight that was completed in time; 1 if no requests were created.

        It is the weight of the requests completed within their latency objective, divided by the
        weight of all requests. Requests created in the seconds from `first` until before `end` are
        included.
        """
        rows = [
            row
            for second, row in self.stats_by_second.items()
            if second >= first and (end is None or second < end)
        ]
        wanted = sum(row.wanted for row in rows)
        return sum(row.benefit for row in rows) / wanted if wanted else 1.0

    def worst(self, span: int = 10) -> float:
        """Returns the lowest `share` of `span` consecutive seconds.

        If the run is longer than `span` + 1 seconds, its last two seconds are excluded.
        """
        last = max(self.stats_by_second, default=0)
        return min(
            (self.share(second, second + span) for second in range(max(1, last - span))),
            default=1.0,
        )


class Simulation:
    """A fleet that runs one scenario."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario, self.seed = scenario, seed
        self.events = EventQueue()
        self.rng = random.Random(f"world {seed}")
        self.breaches: list[Breach] = []
        self.effect_counts: dict[int, int] = {}
        self.stats_by_second: dict[int, SecondStats] = {}
        self.samples: list[Sample] = []
        self.core_use_by_server: list[list[float]] = []
        # Factors on the request rate of all routers, and of single routers by their number.
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
        self.request_classes = [self._make_request_class(spec) for spec in scenario.request_classes]
        make_controller = (
            new_controller if scenario.policy == "design" else BASELINES_BY_NAME[scenario.policy]
        )
        self.servers = [
            Server(
                f"n{index}",
                scenario.sites[index * len(scenario.sites) // scenario.servers],
                self.events,
                self._server_settings(index),
                make_controller,
                self.dependency,
                self._make_machine,
                self.breaches,
                self.effect_counts,
            )
            for index in range(scenario.servers)
        ]
        self.cold_servers: set[str] = set()  # names of the servers whose next machine starts cold
        # (time of the listing, listed servers), oldest first; routers use listings with a delay.
        self.listings: list[tuple[int, list[Server]]] = []
        self.routers = [self._make_router(index) for index in range(scenario.routers)]

    def _make_request_class(self, spec: RequestClassSpec) -> RequestClass:
        return RequestClass(
            spec.name,
            spec.weight,
            spec.latency_objective,
            spec.timeout,
            EFFECTS_BY_NAME[spec.effect],
            deduplication_window=2 * spec.timeout if spec.effect == "deduplicated" else 0,
            calls_dependency=spec.calls_dependency and self.scenario.slots > 0,
            skipped_call_weight_share=spec.skipped_call_weight_share,
        )

    def _server_settings(self, index: int) -> ServerSettings:
        scenario = self.scenario
        return ServerSettings(
            seed=random.Random(f"server {self.seed} {index}").getrandbits(60),
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

    def _make_machine(self, server: Server) -> Machine:
        """Returns a new machine for a server; it is cold except at the server's first start."""
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

    def _make_router(self, index: int) -> Router:
        scenario = self.scenario
        rate = (
            scenario.load
            * scenario.servers
            * scenario.cores
            * SECOND
            / scenario.mean_work
            / max(1, scenario.routers)
        )
        rng = random.Random(f"router {self.seed} {index}")
        return Router(
            index,
            self.events,
            rng,
            scenario.behavior,
            lambda time: self._listed_servers(index, time),
            self._draw_request,
            lambda now: rate * self.rate_factor * self.router_rate_factors.get(index, 1.0),
            self.stats_by_second,
        )

    def _draw_request(self, rng: random.Random) -> tuple[RequestClass, int, int]:
        """Returns a random request's class, work and timeout."""
        index = rng.choices(
            range(len(self.request_classes)), [spec.share for spec in self.scenario.request_classes]
        )[0]
        spec = self.scenario.request_classes[index]
        work = spec.work * (
            1 - spec.work_variability + spec.work_variability * rng.expovariate(1.0)
        )
        return self.request_classes[index], max(1, round(work)), spec.timeout

    # Listings of servers

    def _update_listing(self) -> None:
        """Adds a listing of the servers that are running and not draining."""
        running = [server for server in self.servers if server.is_up and not server.is_draining]
        self.listings.append((self.events.now, running))

    def _listed_servers(self, router: int, time: int) -> list[Server]:
        """Returns the servers that a router finds listed at `time`."""
        index = len(self.listings) - 1
        while index > 0 and self.listings[index][0] > time:
            index -= 1
        servers = self.listings[index][1]
        # A cut affects the routers with odd numbers. They detect that the servers are unreachable,
        # and send them no requests.
        if self.unreachable_sites and router % 2:
            servers = [server for server in servers if server.site not in self.unreachable_sites]
        return servers

    # Faults

    def _inject(self, fault: Fault) -> None:
        """Starts a fault and schedules its end."""
        now, rng = self.events.now, self.rng
        after = self.events.after
        if fault.kind in SERVER_FAULT_KINDS:
            candidates = [
                server
                for server in self.servers
                if server.is_up and fault.site in ("", server.site)
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
            index = rng.randrange(len(self.routers))
            self.router_rate_factors[index] = fault.factor
            after(fault.duration, self.router_rate_factors.pop, index, None)
        elif fault.kind == "cut":
            self.unreachable_sites.add(fault.site or self.scenario.sites[0])
            after(
                fault.duration, self.unreachable_sites.discard, fault.site or self.scenario.sites[0]
            )
        elif fault.kind == "release":
            for index, server in enumerate(self.servers):
                self.events.put(
                    now + fault.duration * index // len(self.servers), self._replace_server, server
                )
        elif self.dependency is not None and fault.kind == "index-slow":
            self.dependency.duration_factor = fault.factor
            after(fault.duration, setattr, self.dependency, "duration_factor", 1.0)
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
            for offset in range(0, max(1, fault.duration), FLAP_PERIOD):
                after(offset, self._kill, server)
                after(offset + FLAP_PERIOD // 2, self._boot, server)
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
        """Calls `action` unless the server is down or was restarted since this incarnation."""
        if server.is_up and server.incarnation == incarnation:
            action()

    def _end_silence(self, server: Server) -> None:
        server.is_silent, server.responsive_since = False, self.events.now

    def _kill(self, server: Server) -> None:
        if server.is_up:
            server.kill()
            self._update_listing()

    def _on_collapse(self, server: Server) -> None:
        """Records a violation, stops the server and restarts it after 5 s."""
        self.breaches.append(
            Breach(
                "no fall-over",
                self.events.now,
                server.name,
                f"{server.machine.run_count} runs on {self.scenario.cores} cores",
            )
        )
        self.events.after(0, self._kill, server)
        self.events.after(5 * SECOND, self._boot, server)

    def _boot(self, server: Server) -> None:
        """Starts a server that is down, with a cold machine."""
        if not server.is_up:
            self.cold_servers.add(server.name)
            server.boot(cold=True)
            self._update_listing()

    def _replace_server(self, server: Server) -> None:
        """Drains a running server, then restarts it."""
        if server.is_up:
            grace = 2 * self.scenario.drain_grace
            server.drain(grace)
            self._update_listing()
            self.events.after(grace, self._kill, server)
            self.events.after(grace + SECOND // 2, self._boot, server)

    # Simulation run

    def _take_sample(self) -> None:
        self.events.after(SAMPLE_INTERVAL, self._take_sample)
        running = [server for server in self.servers if server.is_up]
        probabilities = [
            server.controller.admission_probability
            for server in running
            if hasattr(server.controller, "admission_probability")
        ]
        core_use = [server.machine.core_use if server.is_up else -1.0 for server in self.servers]
        self.samples.append(
            Sample(
                self.events.now,
                sum(probabilities) / len(probabilities) if probabilities else 1.0,
                sum(len(server.attempts) for server in running),
                sum(max(0.0, fraction) for fraction in core_use) / len(core_use),
                len(running),
            )
        )
        self.core_use_by_server.append(core_use)

    def play(self) -> Result:
        """Runs the scenario until all requests are answered or have timed out."""
        scenario = self.scenario
        for server in self.servers:
            server.boot()
        self._update_listing()
        for router in self.routers:
            router.start()
        for fault in scenario.faults:
            self.events.put(fault.at, self._inject, fault)
        self._take_sample()
        self.events.run(scenario.length)
        # Afterwards no requests are created, and open requests are answered or time out.
        for router in self.routers:
            router.rate = lambda now: 0.0
        longest_timeout = max(spec.timeout for spec in scenario.request_classes)
        self.events.run(scenario.length + longest_timeout + SECOND)
        return self._result()

    def _result(self) -> Result:
        counts = [server.counts for server in self.servers]
        core_time_used = self.replaced_core_time + sum(
            server.machine.core_time_used for server in self.servers
        )
        useful_work = (
            sum(row.in_time for row in self.stats_by_second.values()) * self.scenario.mean_work
        )
        last = self.scenario.length // SECOND
        return Result(
            {second: row for second, row in sorted(self.stats_by_second.items()) if second < last},
            self.samples,
            self.breaches,
            self.events.processed_count,
            sum(server_counts.completed for server_counts in counts),
            sum(server_counts.denied for server_counts in counts),
            sum(server_counts.terminated for server_counts in counts),
            max(0.0, 1 - useful_work / core_time_used) if core_time_used else 0.0,
            self.dependency.call_count if self.dependency else 0,
            self.core_use_by_server,
        )


def play(scenario: Scenario, seed: int) -> Result:
    """Runs a scenario with a seed and returns its results."""
    return Simulation(scenario, seed).play()
