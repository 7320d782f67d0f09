"""Three sites of app servers with stand-in executors, and the users of each site.

The outcomes of the users' requests are counted by second. Scenarios and measurements of the loss of
a site use this module.

Users follow the route announcements. A request goes to a node that announced the service of the
user's site by the shortest AS path `route_delay` seconds ago; if there are several, one is drawn
with equal probability. A request is lost if its connection closes, as when a process dies. Only
lost requests of a repeatable class are retried, once, at a node that is drawn in the same way.
"""

from __future__ import annotations

import random
import threading
import time
from collections import Counter, deque
from dataclasses import dataclass, field

from lilacwalk.bgp.prefixes import Prefix
from lilacwalk.testing.bgp_router import BgpRouter
from lilacwalk.testing.dependency import SharedDependency
from lilacwalk.testing.executor import StandInExecutor
from lilacwalk.testing.fleet import ProcessFleet
from lilacwalk.testing.proxy_client import ProxyClient

SITES = ("recife", "caruaru", "natal")
# effect by request class, as in `site_settings`, in the keywords of the operator file
EFFECTS = {"look": "repeatable", "swap": "deduplicated", "move": "mutating"}
BENEFIT = {"look": 1.0, "swap": 4.0, "move": 2.0}  # benefit by request class, as in `site_settings`
# classes of the users' requests; each entry is drawn with equal probability
CLASS_MIX = ("look", "look", "swap", "move")
CALLING_CLASSES = ("swap",)  # classes that call the shared dependency, if there is one
DEPENDENCY_CALL_TIME = 0.02  # seconds
WAIT_MS = 2_000  # time that a user waits for an answer


def service_prefix(site: str) -> str:
    """The prefix that contains only the site's service address."""
    return f"192.0.2.{10 * (1 + SITES.index(site))}/32"


@dataclass(slots=True)
class SecondCounts:
    """Requests that one site's users sent in one second, and their outcomes, by request class."""

    offered: Counter[str] = field(default_factory=Counter)
    completed: Counter[str] = field(default_factory=Counter)
    denied: Counter[str] = field(default_factory=Counter)
    # terminated, lost with a connection, not answered in time, or not sent for lack of a node
    failed: Counter[str] = field(default_factory=Counter)

    @property
    def completed_benefit(self) -> float:
        return sum(BENEFIT[class_name] * count for class_name, count in self.completed.items())

    @property
    def offered_benefit(self) -> float:
        return sum(BENEFIT[class_name] * count for class_name, count in self.offered.items())


@dataclass(slots=True)
class PendingRequest:
    """A request whose answer has not arrived."""

    proxy_client: ProxyClient
    tag: int
    counts: SecondCounts  # of the second in which it was sent first
    class_name: str
    expires_at: float  # monotonic time
    site: str
    retries: int


class Outage:
    """The processes of three sites, their users, and the faults of whole sites or nodes."""

    def __init__(
        self,
        nodes_per_site: int = 4,
        run_time: float = 0.025,
        load: float = 0.75,
        has_plan: bool = True,
        seed: int = 1,
        route_delay: float = 0.5,
        interval_ms: int = 200,
        plan_load: float | None = None,
        copy_to: str | None = None,
        unpersisted_rule: str = "",
        separates_failover_traffic: bool = True,
        dependency_rate: float = 0.0,
        failover_benefit: float = 1.0,
    ) -> None:
        """Prepares the processes; `start` starts them.

        Args:
            nodes_per_site: The number of nodes per site.
            run_time: Seconds that one request takes on a node's only core.
            load: The offered load as a share of the capacity of all sites.
            has_plan: Whether the nodes have a failover plan.
            seed: The seed of all random draws.
            route_delay: Seconds until a changed announcement affects the users' requests.
            interval_ms: The probe interval of the fleet.
            plan_load: The load per core in the plan, if it differs from `load`.
            copy_to: A directory to which `end` copies the files and logs.
            unpersisted_rule: If not empty, each node has an effect log, and this is the treatment
                of requests while the node cannot persist effects: `refused` or `marked`.
            separates_failover_traffic: Whether nodes have a listener of their own for failover
                traffic; only with a plan.
            dependency_rate: Calls per second that a dependency of all sites can bear; 0: no
                dependency.
            failover_benefit: The benefit of failover traffic relative to that of home traffic.
        """
        self.rng = random.Random(seed)
        self.nodes_per_site, self.run_time, self.route_delay = nodes_per_site, run_time, route_delay
        self.separates_failover_traffic, self.dependency_rate, self.failover_benefit = (
            has_plan and separates_failover_traffic,
            dependency_rate,
            failover_benefit,
        )
        self.dependency = (
            SharedDependency(
                max(1, round(dependency_rate * DEPENDENCY_CALL_TIME)), DEPENDENCY_CALL_TIME
            )
            if dependency_rate
            else None
        )
        # requests per second
        self.request_rates = {site: load * nodes_per_site / run_time for site in SITES}
        self.process_fleet = ProcessFleet(seed, interval_ms, "serve", copy_to)
        self.routers: dict[str, BgpRouter] = {}
        # connections by the node and the site whose users send requests on them
        self.proxy_clients: dict[tuple[str, str], ProxyClient] = {}
        self.counts_by_second: dict[str, dict[int, SecondCounts]] = {site: {} for site in SITES}
        self.pending_requests: deque[PendingRequest] = deque()
        # snapshots: the monotonic time, and for each site the AS path length by announcing node
        self.announcement_snapshots: deque[tuple[float, dict[str, dict[str, int]]]] = deque()
        self.slowdown_factors: dict[str, float] = {}  # factors on `run_time` by node; 1 if missing
        self.ended = threading.Event()
        self.started_at = 0.0  # monotonic time; 0 before the start
        names = [f"{site[0]}{index}" for site in SITES for index in range(nodes_per_site)]
        for site in SITES:
            for index in range(nodes_per_site):
                name = f"{site[0]}{index}"
                process = self.process_fleet.add(name, site, (names[0], names[nodes_per_site]))
                process.extra_statements = self.process_fleet.add_router(
                    name, service_prefix(site)
                ) + (
                    self._sites_block(load if plan_load is None else plan_load) if has_plan else ""
                )
                if unpersisted_rule:
                    process.extra_statements += (
                        f"store {{\n    directory {process.directory}/kept\n"
                        f"    unkept {unpersisted_rule}\n}}\n"
                    )
                self.routers[name] = process.router
                process.executor = self._make_executor(name)
                process.cpus = 1
                if self.dependency is not None:
                    process.dependency, process.call_share = (
                        self.dependency,
                        2 * self.dependency.slots / len(names),
                    )

    def _make_executor(self, name: str) -> StandInExecutor:
        return StandInExecutor(
            1,
            lambda class_name, body: self.run_time * self.slowdown_factors.get(name, 1.0),
            calling_classes=CALLING_CLASSES if self.dependency is not None else (),
        )

    def _sites_block(self, load: float) -> str:
        """Returns the failover plan for the operator file; `load` is the load per core."""
        failover_listener = (
            "        guests 127.0.0.1:0\n" if self.separates_failover_traffic else ""
        )
        blocks = "\n".join(
            f"    site {site} {{\n        cores {self.nodes_per_site}\n"
            f"        load {load * self.nodes_per_site:.3f}\n"
            + "\n".join(f"        stand-in {other} 5ms" for other in SITES if other != site)
            + f"\n        service {service_prefix(site)}\n{failover_listener}    }}"
            for site in SITES
        )
        class_blocks = "".join(
            f"    class {class_name} {{\n        benefit {benefit}\n"
            f"        share {CLASS_MIX.count(class_name) / len(CLASS_MIX)}\n"
            f"        calls {int(class_name in CALLING_CLASSES)}\n"
            f"        work {self.run_time * 1000:g}ms\n"
            f"        effect {EFFECTS[class_name]}\n    }}\n"
            for class_name, benefit in BENEFIT.items()
        )
        dependency_block = (
            f"    shared index {self.dependency_rate:g}\n{class_blocks}"
            if self.dependency is not None
            else ""
        )
        return (
            f"sites {{\n{blocks}\n{dependency_block}    headroom 0.05\n"
            f"    guest-worth {self.failover_benefit:g}\n"
            "    pace {\n        steady 1s\n        step 1s\n    }\n}\n"
        )

    # Start, faults and end

    def start(self) -> None:
        """Starts the processes; once all have joined and announced, starts the users."""
        self.process_fleet.start(*self.process_fleet.processes)
        self.process_fleet.wait(self.process_fleet.settled, 20, "views settled")
        self.process_fleet.wait(
            lambda: all(router.routes for router in self.routers.values()),
            20,
            "all services announced",
        )
        self.started_at = time.monotonic()
        for target in (
            self._record_announcements,
            self._collect_answers,
            *[lambda site=site: self._send_requests(site) for site in SITES],
        ):
            threading.Thread(target=target, daemon=True).start()

    def power_off(self, *sites_or_nodes: str) -> None:
        """Ends processes and executors of these sites or nodes at once, as a power failure does."""
        names = [
            name
            for name, process in self.process_fleet.processes.items()
            if process.site in sites_or_nodes or name in sites_or_nodes
        ]
        self.process_fleet.kill(*names)
        for name in names:
            self.process_fleet.processes[name].executor.end()
            self._remove_connections(name)

    def cut_off(self, site: str, cut: bool = True) -> None:
        """Cuts the site's links to the other sites and to its routers; its processes keep running.

        With `cut` false, restores all links of all sites.
        """
        names = [
            name for name, process in self.process_fleet.processes.items() if process.site == site
        ]
        if cut:
            self.process_fleet.unplug(*names)
        else:
            self.process_fleet.heal()

    def bring_back(self, *sites_or_nodes: str) -> None:
        """Starts these sites or nodes again, with new executors."""
        names = [
            name
            for name, process in self.process_fleet.processes.items()
            if process.site in sites_or_nodes or name in sites_or_nodes
        ]
        for name in names:
            self.process_fleet.processes[name].executor = self._make_executor(name)
        self.process_fleet.start(*names, wait=False)

    def end(self) -> None:
        """Stops the users, all processes and all stand-ins."""
        self.ended.set()
        time.sleep(0.05)
        for proxy_client in list(self.proxy_clients.values()):
            proxy_client.end()
        self.process_fleet.end()
        if self.dependency is not None:
            self.dependency.end()

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self.started_at

    # Users

    def _record_announcements(self) -> None:
        """Takes a snapshot of the announced routes every 50 ms.

        A snapshot is dropped once the following one is at least `route_delay` seconds old, so the
        first snapshot determines where users send their requests.
        """
        prefixes = {Prefix.of(service_prefix(site)): site for site in SITES}
        while not self.ended.wait(0.05):
            path_lengths: dict[str, dict[str, int]] = {site: {} for site in SITES}
            for name, router in self.routers.items():
                for prefix, attributes in list(router.routes.items()):
                    site = prefixes.get(prefix)
                    if site is not None:
                        path_lengths[site][name] = sum(len(part) for _, part in attributes.as_path)
            self.announcement_snapshots.append((time.monotonic(), path_lengths))
            while (
                len(self.announcement_snapshots) > 1
                and self.announcement_snapshots[1][0] <= time.monotonic() - self.route_delay
            ):
                self.announcement_snapshots.popleft()

    def preferred_nodes(self, site: str) -> list[str]:
        """Returns the nodes to which users of the site send their requests.

        These nodes announced the site's service by the shortest AS path `route_delay` seconds ago.
        """
        if not self.announcement_snapshots:
            return []
        path_lengths = self.announcement_snapshots[0][1][site]
        shortest = min(path_lengths.values(), default=0)
        return sorted(name for name, length in path_lengths.items() if length == shortest)

    def _send_requests(self, site: str) -> None:
        rng = random.Random(f"{self.rng.random()} {site}")
        due = time.monotonic()
        while not self.ended.is_set():
            due += rng.expovariate(self.request_rates[site])
            wait = due - time.monotonic()
            if wait > 0 and self.ended.wait(wait):
                return
            counts = self.counts_by_second[site].setdefault(int(self.now), SecondCounts())
            class_name = rng.choice(CLASS_MIX)
            counts.offered[class_name] += 1
            self._send(site, class_name, counts, rng, 0)

    def _send(
        self, site: str, class_name: str, counts: SecondCounts, rng: random.Random, retries: int
    ) -> None:
        names = self.preferred_nodes(site)
        if not names:
            counts.failed[class_name] += 1
            return
        name = rng.choice(names)
        try:
            proxy_client = self._proxy_client(name, site)
            tag = proxy_client.send_request(class_name, wait_ms=WAIT_MS)
        except (OSError, KeyError, IndexError):
            self.proxy_clients.pop((name, site), None)
            counts.failed[class_name] += 1
            return
        self.pending_requests.append(
            PendingRequest(
                proxy_client,
                tag,
                counts,
                class_name,
                time.monotonic() + WAIT_MS / 1000 + 1,
                site,
                retries,
            )
        )

    def _proxy_client(self, name: str, site: str) -> ProxyClient:
        """Returns the connection from the site's users to the node; connects if none is open.

        Users of a site other than the node's connect to its failover listener for their site, if
        the nodes separate failover traffic.
        """
        proxy_client = self.proxy_clients.get((name, site))
        if proxy_client is None or proxy_client.closed:
            is_failover_traffic = (
                self.separates_failover_traffic and self.process_fleet.processes[name].site != site
            )
            event = (
                f"event=failover_listener_started site={site}"
                if is_failover_traffic
                else "event=started"
            )
            new_client = ProxyClient(self.process_fleet.address(name, event))
            proxy_client = self.proxy_clients[name, site] = new_client
        return proxy_client

    def _remove_connections(self, name: str) -> None:
        for key in [key for key in list(self.proxy_clients) if key[0] == name]:
            self.proxy_clients.pop(key, None)

    def _collect_answers(self) -> None:
        rng = random.Random(self.rng.random())
        while not self.ended.wait(0.01):
            for _ in range(len(self.pending_requests)):
                request = self.pending_requests.popleft()
                answers = request.proxy_client.answers.pop(request.tag, None)
                if answers is not None:
                    status = answers[0][1]
                    counts_by_status = {
                        "done": request.counts.completed,
                        "later": request.counts.denied,
                    }
                    counts_by_status.get(status, request.counts.failed)[request.class_name] += 1
                elif (
                    request.proxy_client.closed
                    and request.class_name == "look"
                    and not request.retries
                ):
                    self._send(request.site, request.class_name, request.counts, rng, 1)
                elif request.proxy_client.closed or time.monotonic() > request.expires_at:
                    request.counts.failed[request.class_name] += 1
                else:
                    self.pending_requests.append(request)

    # Outcomes

    def benefit_ratios(self, sites: tuple[str, ...] = SITES) -> list[float]:
        """The ratio of completed to offered benefit in each second since the start."""
        return [self.benefit_ratio(at, at + 1, sites) for at in range(int(self.now))]

    def counts_between(
        self, first: int, end: int, sites: tuple[str, ...] = SITES
    ) -> list[SecondCounts]:
        """The counts of the users of these sites in the seconds from `first` to before `end`."""
        return [
            counts
            for site in sites
            for at in range(first, end)
            if (counts := self.counts_by_second[site].get(at)) is not None
        ]

    def benefit_ratio(self, first: int, end: int, sites: tuple[str, ...] = SITES) -> float:
        """The ratio of completed to offered benefit, in the seconds from `first` to before `end`.

        It is 1 if nothing was offered.
        """
        all_counts = self.counts_between(first, end, sites)
        offered = sum(counts.offered_benefit for counts in all_counts)
        return sum(counts.completed_benefit for counts in all_counts) / offered if offered else 1.0

    def denied_ratio(
        self, first: int, end: int, class_name: str, sites: tuple[str, ...] = SITES
    ) -> float:
        """The share of a class's requests that was denied.

        The requests are those of the seconds from `first` to before `end`.
        """
        all_counts = self.counts_between(first, end, sites)
        return sum(counts.denied[class_name] for counts in all_counts) / max(
            1, sum(counts.offered[class_name] for counts in all_counts)
        )

    def failover_nodes(self, site: str) -> set[str]:
        """The nodes of other sites that announce the site's service."""
        prefix = Prefix.of(service_prefix(site))
        return {
            name
            for name, router in self.routers.items()
            if prefix in router.routes and self.process_fleet.processes[name].site != site
        }

    def count_duplicate_effects(self) -> int:
        """The number of requests that ran more than once on one of the current executors."""
        return sum(
            count > 1
            for process in self.process_fleet.processes.values()
            if process.executor is not None
            for count in process.executor.run_counts.values()
        )
