"""Three sites of app servers with stand-in executors, and users of each site who follow its route announcements.
It counts the outcomes of the users' requests by second. Drills and measurements of the loss of a site use it.

A user's request goes to a node that announces the site's service by the shortest AS path, as it was announced
`route_delay` seconds ago; one of several is drawn with equal probability. Requests are lost with their connection, as
when a process dies. Only repeatable requests are retried, once and on any announcing node."""

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
MIX = ("look", "look", "swap", "move")
CALLS = ("swap",)  # classes that call the shared dependency, if there is one
DEPENDENCY_CALL_TIME = 0.02  # seconds
WAIT_MS = 2_000


def service(site: str) -> str:
    """The prefix of the site's service address."""
    return f"192.0.2.{10 * (1 + SITES.index(site))}/32"


@dataclass(slots=True)
class SecondCounts:
    """Outcomes of the requests that one site's users sent in one second, by request class."""

    offered: Counter[str] = field(default_factory=Counter)
    completed: Counter[str] = field(default_factory=Counter)
    denied: Counter[str] = field(default_factory=Counter)
    # terminated, lost with a connection, or without a node that announces the service
    other: Counter[str] = field(default_factory=Counter)

    @property
    def completed_benefit(self) -> float:
        return sum(BENEFIT[class_name] * count for class_name, count in self.completed.items())

    @property
    def offered_benefit(self) -> float:
        return sum(BENEFIT[class_name] * count for class_name, count in self.offered.items())


@dataclass(slots=True)
class PendingRequest:
    proxy_client: ProxyClient
    tag: int
    second: SecondCounts
    class_name: str
    until: float
    site: str
    retries: int


class Outage:
    """The processes of three sites, their users, and the faults of whole sites or nodes."""

    def __init__(
        self,
        nodes: int = 4,
        work: float = 0.025,
        load: float = 0.75,
        plan: bool = True,
        seed: int = 1,
        route_delay: float = 0.5,
        interval_ms: int = 200,
        plan_load: float | None = None,
        keep: str | None = None,
        kept: str = "",
        guests: bool = True,
        shared: float = 0.0,
        guest_worth: float = 1.0,
    ) -> None:
        """Prepares the processes; `start` starts them.

        Args:
            nodes: The number of nodes per site.
            work: Seconds that one request takes on a node's only core.
            load: The offered load as a share of the capacity of all sites.
            plan: Whether the nodes have a failover plan.
            seed: The seed of all random draws.
            route_delay: Seconds after which a changed announcement takes effect on the users' requests.
            interval_ms: The probe interval of the fleet.
            plan_load: The load per core in the plan, if it differs from `load`.
            keep: A directory to which the files and logs are copied at the end.
            kept: If not empty, each node has an effect log, with this rule while it cannot persist effects.
            guests: Whether nodes distinguish failover traffic from home traffic; only with a plan.
            shared: Calls per second that a dependency of all sites can bear; 0: no dependency.
            guest_worth: The benefit of failover traffic relative to that of home traffic.
        """
        self.rng = random.Random(seed)
        self.nodes, self.work, self.route_delay = nodes, work, route_delay
        self.guests, self.shared, self.guest_worth = plan and guests, shared, guest_worth
        self.dependency = (
            SharedDependency(max(1, round(shared * DEPENDENCY_CALL_TIME)), DEPENDENCY_CALL_TIME)
            if shared
            else None
        )
        self.rate = {site: load * nodes / work for site in SITES}
        self.rig = ProcessFleet(seed, interval_ms, "serve", keep)
        self.routers: dict[str, BgpRouter] = {}
        # connections by node and by the site whose users send the requests
        self.proxy_clients: dict[tuple[str, str], ProxyClient] = {}
        self.seconds: dict[str, dict[int, SecondCounts]] = {site: {} for site in SITES}
        self.pending: deque[PendingRequest] = deque()
        # recorded announcements: the time, and by site the path length of each announcing node
        self.announcements: deque[tuple[float, dict[str, dict[str, int]]]] = deque()
        self.slowness: dict[str, float] = {}  # factor on the work of a node; 1 if missing
        self.ended = threading.Event()
        self.began = 0.0
        names = [f"{site[0]}{at}" for site in SITES for at in range(nodes)]
        for site in SITES:
            for at in range(nodes):
                name = f"{site[0]}{at}"
                process = self.rig.add(name, site, (names[0], names[nodes]))
                process.extra = self.rig.add_router(name, service(site)) + (
                    self._sites_block(load if plan_load is None else plan_load) if plan else ""
                )
                if kept:
                    process.extra += (
                        f"store {{\n    directory {process.directory}/kept\n    unkept {kept}\n}}\n"
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
            lambda class_name, body: self.work * self.slowness.get(name, 1.0),
            calls=CALLS if self.dependency is not None else (),
        )

    def _sites_block(self, load: float) -> str:
        guests = "        guests 127.0.0.1:0\n" if self.guests else ""
        blocks = "\n".join(
            f"    site {each} {{\n        cores {self.nodes}\n        load {load * self.nodes:.3f}\n"
            + "\n".join(f"        stand-in {other} 5ms" for other in SITES if other != each)
            + f"\n        service {service(each)}\n{guests}    }}"
            for each in SITES
        )
        class_blocks = "".join(
            f"    class {class_name} {{\n        benefit {benefit}\n        share {MIX.count(class_name) / len(MIX)}\n"
            f"        calls {int(class_name in CALLS)}\n        work {self.work * 1000:g}ms\n"
            f"        effect {EFFECTS[class_name]}\n    }}\n"
            for class_name, benefit in BENEFIT.items()
        )
        shared = (
            f"    shared index {self.shared:g}\n{class_blocks}"
            if self.dependency is not None
            else ""
        )
        return (
            f"sites {{\n{blocks}\n{shared}    headroom 0.05\n    guest-worth {self.guest_worth:g}\n"
            "    pace {\n        steady 1s\n        step 1s\n    }\n}\n"
        )

    # Start, faults and end

    def start(self) -> None:
        self.rig.start(*self.rig.processes)
        self.rig.wait(self.rig.settled, 20, "settled")
        self.rig.wait(
            lambda: all(router.held for router in self.routers.values()), 20, "all announced"
        )
        self.began = time.monotonic()
        for target in (
            self._record_announcements,
            self._collect_answers,
            *[lambda site=site: self._send_requests(site) for site in SITES],
        ):
            threading.Thread(target=target, daemon=True).start()

    def lose(self, *who: str) -> None:
        """Ends processes and executors of these sites or nodes at once, as a power failure does."""
        names = [
            name for name, each in self.rig.processes.items() if each.site in who or name in who
        ]
        self.rig.kill(*names)
        for name in names:
            self.rig.processes[name].executor.end()
            self._remove_connections(name)

    def cut_off(self, site: str, cut: bool = True) -> None:
        """Cuts the site's link to the other sites and to the routers, or restores it. Its processes keep running."""
        names = [name for name, each in self.rig.processes.items() if each.site == site]
        if cut:
            self.rig.unplug(*names)
        else:
            self.rig.heal()

    def bring_back(self, *who: str) -> None:
        """Starts these sites or nodes again, with new executors."""
        names = [
            name for name, each in self.rig.processes.items() if each.site in who or name in who
        ]
        for name in names:
            self.rig.processes[name].executor = self._make_executor(name)
        self.rig.start(*names, wait=False)

    def end(self) -> None:
        self.ended.set()
        time.sleep(0.05)
        for proxy_client in list(self.proxy_clients.values()):
            proxy_client.end()
        self.rig.end()
        if self.dependency is not None:
            self.dependency.end()

    @property
    def now(self) -> float:
        return time.monotonic() - self.began

    # Users

    def _record_announcements(self) -> None:
        """Takes a snapshot of the announced routes every 50 ms.

        A snapshot is dropped once the following one is at least `route_delay` seconds old, so the first snapshot
        is the one that determines where users send their requests.
        """
        prefixes = {Prefix.of(service(site)): site for site in SITES}
        while not self.ended.wait(0.05):
            found: dict[str, dict[str, int]] = {site: {} for site in SITES}
            for name, router in self.routers.items():
                for prefix, attributes in list(router.held.items()):
                    site = prefixes.get(prefix)
                    if site is not None:
                        found[site][name] = sum(len(part) for _, part in attributes.as_path)
            self.announcements.append((time.monotonic(), found))
            while (
                len(self.announcements) > 1
                and self.announcements[1][0] <= time.monotonic() - self.route_delay
            ):
                self.announcements.popleft()

    def preferred_nodes(self, site: str) -> list[str]:
        """Returns the nodes that announced the site's service by the shortest AS path `route_delay` seconds ago."""
        if not self.announcements:
            return []
        paths = self.announcements[0][1][site]
        best = min(paths.values(), default=0)
        return sorted(name for name, length in paths.items() if length == best)

    def _send_requests(self, site: str) -> None:
        rng = random.Random(f"{self.rng.random()} {site}")
        due = time.monotonic()
        while not self.ended.is_set():
            due += rng.expovariate(self.rate[site])
            wait = due - time.monotonic()
            if wait > 0 and self.ended.wait(wait):
                return
            second = self.seconds[site].setdefault(int(self.now), SecondCounts())
            class_name = rng.choice(MIX)
            second.offered[class_name] += 1
            self._send(site, class_name, second, rng, 0)

    def _send(
        self, site: str, class_name: str, second: SecondCounts, rng: random.Random, retries: int
    ) -> None:
        names = self.preferred_nodes(site)
        if not names:
            second.other[class_name] += 1
            return
        name = rng.choice(names)
        try:
            proxy_client = self._proxy_client(name, site)
            tag = proxy_client.ask(class_name, wait_ms=WAIT_MS)
        except (OSError, KeyError, IndexError):
            self.proxy_clients.pop((name, site), None)
            second.other[class_name] += 1
            return
        self.pending.append(
            PendingRequest(
                proxy_client,
                tag,
                second,
                class_name,
                time.monotonic() + WAIT_MS / 1000 + 1,
                site,
                retries,
            )
        )

    def _proxy_client(self, name: str, site: str) -> ProxyClient:
        """Returns the connection from the site's users to the node; connects if there is none.

        Users of another site than the node's connect to the failover listener for their site, if there is one.
        """
        proxy_client = self.proxy_clients.get((name, site))
        if proxy_client is None or proxy_client.gone:
            guests = self.guests and self.rig.processes[name].site != site
            event = f"event=failover_listener_started site={site}" if guests else "event=started"
            made = ProxyClient(self.rig.address(name, event))
            proxy_client = self.proxy_clients[name, site] = made
        return proxy_client

    def _remove_connections(self, name: str) -> None:
        for key in [key for key in list(self.proxy_clients) if key[0] == name]:
            self.proxy_clients.pop(key, None)

    def _collect_answers(self) -> None:
        rng = random.Random(self.rng.random())
        while not self.ended.wait(0.01):
            for _ in range(len(self.pending)):
                each = self.pending.popleft()
                found = each.proxy_client.answers.pop(each.tag, None)
                if found is not None:
                    status = found[0][1]
                    table = {"done": each.second.completed, "later": each.second.denied}
                    table.get(status, each.second.other)[each.class_name] += 1
                elif each.proxy_client.gone and each.class_name == "look" and not each.retries:
                    self._send(each.site, each.class_name, each.second, rng, 1)
                elif each.proxy_client.gone or time.monotonic() > each.until:
                    each.second.other[each.class_name] += 1
                else:
                    self.pending.append(each)

    # Outcomes

    def shares(self, sites: tuple[str, ...] = SITES) -> list[float]:
        """The ratio of completed to offered benefit in each second since the start."""
        return [self.share(at, at + 1, sites) for at in range(int(self.now))]

    def rows(self, first: int, end: int, sites: tuple[str, ...] = SITES) -> list[SecondCounts]:
        return [
            row
            for site in sites
            for at in range(first, end)
            if (row := self.seconds[site].get(at)) is not None
        ]

    def share(self, first: int, end: int, sites: tuple[str, ...] = SITES) -> float:
        """The ratio of completed to offered benefit in the seconds from `first` to before `end`."""
        rows = self.rows(first, end, sites)
        offered = sum(row.offered_benefit for row in rows)
        return sum(row.completed_benefit for row in rows) / offered if offered else 1.0

    def denied(
        self, first: int, end: int, class_name: str, sites: tuple[str, ...] = SITES
    ) -> float:
        """The share of a class's requests that was denied in the seconds from `first` to before `end`."""
        rows = self.rows(first, end, sites)
        return sum(row.denied[class_name] for row in rows) / max(
            1, sum(row.offered[class_name] for row in rows)
        )

    def failover_nodes(self, site: str) -> set[str]:
        """The nodes of other sites that announce the site's service."""
        prefix = Prefix.of(service(site))
        return {
            name
            for name, router in self.routers.items()
            if prefix in router.held and self.rig.processes[name].site != site
        }

    def count_duplicate_effects(self) -> int:
        """The number of requests that ran more than once, over all current executors."""
        return sum(
            count > 1
            for each in self.rig.processes.values()
            if each.executor is not None
            for count in each.executor.ran.values()
        )
