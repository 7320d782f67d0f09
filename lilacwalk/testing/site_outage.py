"""Three sites of whole app servers, each with a kernel; users of each site who follow what is announced for
it; and what they got, second by second. For drills and measurements of a site's loss.

A user's exchange goes to a node that announces the site's service, one of those that are wanted most
(shortest path), as it was known `late` seconds ago; drawn evenly among them. A loss of the connection loses
the exchange, as a process that died does; nothing is tried again but what is repeatable, once, elsewhere."""

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
EFFECTS = {"look": "repeatable", "swap": "deduplicated", "move": "mutating"}  # likewise
BENEFIT = {"look": 1.0, "swap": 4.0, "move": 2.0}  # as the stand-in site's settings have it
MIX = ("look", "look", "swap", "move")  # what users ask, each as often
CALLS = ("swap",)  # these call the shared dependency, where there is one
INDEX_TIME = 0.02  # seconds of a call there
WAIT_MS = 2_000


def service(site: str) -> str:
    return f"192.0.2.{10 * (1 + SITES.index(site))}/32"


@dataclass(slots=True)
class Second:
    """Of one site's users, by the second in which they asked."""

    offered: Counter[str] = field(default_factory=Counter)
    completed: Counter[str] = field(default_factory=Counter)
    denied: Counter[str] = field(default_factory=Counter)
    # terminated, lost with a connection, or nobody to ask
    other: Counter[str] = field(default_factory=Counter)

    @property
    def benefit(self) -> float:
        return sum(BENEFIT[group] * count for group, count in self.completed.items())

    @property
    def wanted(self) -> float:
        return sum(BENEFIT[group] * count for group, count in self.offered.items())


@dataclass(slots=True)
class Going:
    proxy_client: ProxyClient
    tag: int
    second: Second
    group: str
    until: float
    site: str
    tried: int


class Outage:
    def __init__(
        self,
        nodes: int = 4,
        work: float = 0.025,
        load: float = 0.75,
        plan: bool = True,
        seed: int = 1,
        late: float = 0.5,
        interval_ms: int = 200,
        plan_load: float | None = None,
        keep: str | None = None,
        kept: str = "",
        guests: bool = True,
        shared: float = 0.0,
        guest_worth: float = 1.0,
    ) -> None:
        """`shared`: calls a second that a dependency of all sites survives; 0: there is none. `guests`:
        nodes tell them from home traffic, where there is a plan. `kept`: each has a store of its own, and
        this is its rule while that keeps nothing. `work`: seconds of one exchange on a node's one core;
        `load`: of what all sites' cores can finish."""
        self.rng = random.Random(seed)
        self.nodes, self.work, self.late = nodes, work, late
        self.guests, self.shared, self.guest_worth = plan and guests, shared, guest_worth
        self.dependency = (
            SharedDependency(max(1, round(shared * INDEX_TIME)), INDEX_TIME) if shared else None
        )
        self.rate = {site: load * nodes / work for site in SITES}
        self.rig = ProcessFleet(seed, interval_ms, "serve", keep)
        self.routers: dict[str, BgpRouter] = {}
        self.proxy_clients: dict[
            tuple[str, str], ProxyClient
        ] = {}  # by node and the site whose users ask
        self.seconds: dict[str, dict[int, Second]] = {site: {} for site in SITES}
        self.going: deque[Going] = deque()
        self.known: deque[tuple[float, dict[str, dict[str, int]]]] = deque()
        self.slowness: dict[str, float] = {}  # of a node's cores; as usual where it is not named
        self.over = threading.Event()
        self.began = 0.0
        names = [f"{site[0]}{at}" for site in SITES for at in range(nodes)]
        for site in SITES:
            for at in range(nodes):
                name = f"{site[0]}{at}"
                process = self.rig.add(name, site, (names[0], names[nodes]))
                process.extra = self.rig.add_router(name, service(site)) + (
                    self._sites(load if plan_load is None else plan_load) if plan else ""
                )
                if kept:
                    process.extra += (
                        f"store {{\n    directory {process.directory}/kept\n    unkept {kept}\n}}\n"
                    )
                self.routers[name] = process.router
                process.executor = self._kernel(name)
                process.cpus = 1
                if self.dependency is not None:
                    process.dependency, process.call_share = (
                        self.dependency,
                        2 * self.dependency.slots / len(names),
                    )

    def _kernel(self, name: str) -> StandInExecutor:
        return StandInExecutor(
            1,
            lambda group, body: self.work * self.slowness.get(name, 1.0),
            calls=CALLS if self.dependency is not None else (),
        )

    def _sites(self, load: float) -> str:
        guests = "        guests 127.0.0.1:0\n" if self.guests else ""
        blocks = "\n".join(
            f"    site {each} {{\n        cores {self.nodes}\n        load {load * self.nodes:.3f}\n"
            + "\n".join(f"        stand-in {other} 5ms" for other in SITES if other != each)
            + f"\n        service {service(each)}\n{guests}    }}"
            for each in SITES
        )
        kinds = "".join(
            f"    class {group} {{\n        benefit {benefit}\n        share {MIX.count(group) / len(MIX)}\n"
            f"        calls {int(group in CALLS)}\n        work {self.work * 1000:g}ms\n"
            f"        effect {EFFECTS[group]}\n    }}\n"
            for group, benefit in BENEFIT.items()
        )
        shared = f"    shared index {self.shared:g}\n{kinds}" if self.dependency is not None else ""
        return (
            f"sites {{\n{blocks}\n{shared}    headroom 0.05\n    guest-worth {self.guest_worth:g}\n"
            "    pace {\n        steady 1s\n        step 1s\n    }\n}\n"
        )

    # Life

    def start(self) -> None:
        self.rig.start(*self.rig.processes)
        self.rig.wait(self.rig.settled, 20, "settled")
        self.rig.wait(
            lambda: all(router.held for router in self.routers.values()), 20, "all announced"
        )
        self.began = time.monotonic()
        for target in (
            self._look,
            self._collect,
            *[lambda site=site: self._ask(site) for site in SITES],
        ):
            threading.Thread(target=target, daemon=True).start()

    def lose(self, *who: str) -> None:
        """Power: processes and kernels of these sites or nodes, at once."""
        names = [
            name for name, each in self.rig.processes.items() if each.site in who or name in who
        ]
        self.rig.kill(*names)
        for name in names:
            self.rig.processes[name].executor.end()
            self._forget(name)

    def cut_off(self, site: str, cut: bool = True) -> None:
        """Its link to the others and to the routers breaks, or is whole again. Its processes go on."""
        names = [name for name, each in self.rig.processes.items() if each.site == site]
        if cut:
            self.rig.unplug(*names)
        else:
            self.rig.heal()

    def bring_back(self, *who: str) -> None:
        names = [
            name for name, each in self.rig.processes.items() if each.site in who or name in who
        ]
        for name in names:
            self.rig.processes[name].executor = self._kernel(name)
        self.rig.start(*names, wait=False)

    def end(self) -> None:
        self.over.set()
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

    def _look(self) -> None:
        """What is announced, kept for as long as users learn it late."""
        prefixes = {Prefix.of(service(site)): site for site in SITES}
        while not self.over.wait(0.05):
            found: dict[str, dict[str, int]] = {site: {} for site in SITES}
            for name, router in self.routers.items():
                for prefix, attributes in list(router.held.items()):
                    site = prefixes.get(prefix)
                    if site is not None:
                        found[site][name] = sum(len(part) for _, part in attributes.as_path)
            self.known.append((time.monotonic(), found))
            while len(self.known) > 1 and self.known[1][0] <= time.monotonic() - self.late:
                self.known.popleft()

    def wanted(self, site: str) -> list[str]:
        """Those that are preferred, as users know it."""
        if not self.known:
            return []
        paths = self.known[0][1][site]
        best = min(paths.values(), default=0)
        return sorted(name for name, length in paths.items() if length == best)

    def _ask(self, site: str) -> None:
        rng = random.Random(f"{self.rng.random()} {site}")
        due = time.monotonic()
        while not self.over.is_set():
            due += rng.expovariate(self.rate[site])
            wait = due - time.monotonic()
            if wait > 0 and self.over.wait(wait):
                return
            second = self.seconds[site].setdefault(int(self.now), Second())
            group = rng.choice(MIX)
            second.offered[group] += 1
            self._try(site, group, second, rng, 0)

    def _try(self, site: str, group: str, second: Second, rng: random.Random, tried: int) -> None:
        names = self.wanted(site)
        if not names:
            second.other[group] += 1
            return
        name = rng.choice(names)
        try:
            proxy_client = self._proxy_client(name, site)
            tag = proxy_client.ask(group, wait_ms=WAIT_MS)
        except (OSError, KeyError, IndexError):
            self.proxy_clients.pop((name, site), None)
            second.other[group] += 1
            return
        self.going.append(
            Going(
                proxy_client, tag, second, group, time.monotonic() + WAIT_MS / 1000 + 1, site, tried
            )
        )

    def _proxy_client(self, name: str, site: str) -> ProxyClient:
        """Users of another site reach the node under their own site's service address."""
        proxy_client = self.proxy_clients.get((name, site))
        if proxy_client is None or proxy_client.gone:
            guests = self.guests and self.rig.processes[name].site != site
            event = f"event=failover_listener_started site={site}" if guests else "event=started"
            made = ProxyClient(self.rig.address(name, event))
            proxy_client = self.proxy_clients[name, site] = made
        return proxy_client

    def _forget(self, name: str) -> None:
        for key in [key for key in list(self.proxy_clients) if key[0] == name]:
            self.proxy_clients.pop(key, None)

    def _collect(self) -> None:
        rng = random.Random(self.rng.random())
        while not self.over.wait(0.01):
            for _ in range(len(self.going)):
                each = self.going.popleft()
                found = each.proxy_client.answers.pop(each.tag, None)
                if found is not None:
                    word = found[0][1]
                    table = {"done": each.second.completed, "later": each.second.denied}
                    table.get(word, each.second.other)[each.group] += 1
                elif each.proxy_client.gone and each.group == "look" and not each.tried:
                    self._try(each.site, each.group, each.second, rng, 1)
                elif each.proxy_client.gone or time.monotonic() > each.until:
                    each.second.other[each.group] += 1
                else:
                    self.going.append(each)

    # What they got

    def shares(self, sites: tuple[str, ...] = SITES) -> list[float]:
        """Benefit completed over benefit offered, second by second."""
        return [self.share(at, at + 1, sites) for at in range(int(self.now))]

    def rows(self, first: int, end: int, sites: tuple[str, ...] = SITES) -> list[Second]:
        return [
            row
            for site in sites
            for at in range(first, end)
            if (row := self.seconds[site].get(at)) is not None
        ]

    def share(self, first: int, end: int, sites: tuple[str, ...] = SITES) -> float:
        """The same of the seconds from the first to before the end."""
        rows = self.rows(first, end, sites)
        wanted = sum(row.wanted for row in rows)
        return sum(row.benefit for row in rows) / wanted if wanted else 1.0

    def denied(self, first: int, end: int, group: str, sites: tuple[str, ...] = SITES) -> float:
        """The part of a group's exchanges that was denied."""
        rows = self.rows(first, end, sites)
        return sum(row.denied[group] for row in rows) / max(
            1, sum(row.offered[group] for row in rows)
        )

    def failover_nodes(self, site: str) -> set[str]:
        """The nodes of other sites that announce its service."""
        prefix = Prefix.of(service(site))
        return {
            name
            for name, router in self.routers.items()
            if prefix in router.held and self.rig.processes[name].site != site
        }

    def count_duplicate_effects(self) -> int:
        """Effects done more than once, of all kernels that are there."""
        return sum(
            count > 1
            for each in self.rig.processes.values()
            if each.executor is not None
            for count in each.executor.ran.values()
        )
