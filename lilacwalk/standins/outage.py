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
from lilacwalk.standins.bgp_router import BgpRouter, Habits
from lilacwalk.standins.fleet import Process, Rig
from lilacwalk.standins.kernel import Kernel
from lilacwalk.standins.switch import Stream
from lilacwalk.standins.till import Till

SITES = ("recife", "caruaru", "natal")
BENEFIT = {"look": 1.0, "swap": 4.0, "move": 2.0}  # as the stand-in site's settings have it
MIX = ("look", "look", "swap", "move")  # what users ask, each as often
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
    till: Till
    tag: int
    second: Second
    group: str
    until: float
    site: str
    tried: int


class Outage:
    def __init__(self, nodes: int = 4, work: float = 0.025, load: float = 0.75, plan: bool = True,
                 seed: int = 1,
                 late: float = 0.5, interval_ms: int = 200, plan_load: float | None = None) -> None:
        """`work`: seconds of one exchange on a node's one core; `load`: of what all sites' cores can
        finish."""
        self.rng = random.Random(seed)
        self.nodes, self.work, self.late = nodes, work, late
        self.rate = {site: load * nodes / work for site in SITES}
        self.rig = Rig(seed, interval_ms, "serve")
        self.routers: dict[str, BgpRouter] = {}
        self.streams: dict[str, Stream] = {}  # what each node's BGP session goes through
        self.tills: dict[str, Till] = {}
        self.seconds: dict[str, dict[int, Second]] = {site: {} for site in SITES}
        self.going: deque[Going] = deque()
        self.known: deque[tuple[float, dict[str, dict[str, int]]]] = deque()
        self.over = threading.Event()
        self.began = 0.0
        names = [f"{site[0]}{at}" for site in SITES for at in range(nodes)]
        for site in SITES:
            for at in range(nodes):
                name = f"{site[0]}{at}"
                router = self.routers[name] = BgpRouter(Habits(hold=3))
                self.streams[name] = Stream(router.address)
                self.rig.add(name, site, (names[0], names[nodes]), self._blocks(
                    site, self.streams[name], plan, load if plan_load is None else plan_load))
                process = self.rig.processes[name]
                process.kernel = self._kernel()
                process.cpus = 1

    def _kernel(self) -> Kernel:
        return Kernel(1, lambda group, body: self.work)

    def _blocks(self, site: str, stream: Stream, plan: bool, load: float) -> str:
        peer = "{}:{}".format(*stream.address)
        text = (f"announce {{\n    as 65010\n    router-id 127.0.0.1\n    next-hop 127.0.0.1\n"
                f"    ready-for 100ms\n    hold-time 3s\n    service {service(site)}\n    peer {peer} {{\n"
                f"        as 65020\n        connect-retry 100ms\n    }}\n}}\n")
        if not plan:
            return text
        blocks = "\n".join(
            f"    site {each} {{\n        cores {self.nodes}\n        load {load * self.nodes:.3f}\n"
            + "\n".join(f"        stand-in {other} 5ms" for other in SITES if other != each)
            + f"\n        service {service(each)}\n    }}" for each in SITES)
        return text + (f"sites {{\n{blocks}\n    headroom 0.05\n    pace {{\n        steady 1s\n"
                       "        step 1s\n    }\n}\n")

    # Life

    def start(self) -> None:
        self.rig.start(*self.rig.processes)
        self.rig.wait(self.rig.settled, 20, "settled")
        self.rig.wait(lambda: all(router.held for router in self.routers.values()), 20, "all announced")
        self.began = time.monotonic()
        for target in (self._look, self._collect, *[lambda site=site: self._ask(site) for site in SITES]):
            threading.Thread(target=target, daemon=True).start()

    def lose(self, site: str) -> None:
        """Power: processes and kernels, at once."""
        names = [name for name, each in self.rig.processes.items() if each.site == site]
        self.rig.kill(*names)
        for name in names:
            self.rig.processes[name].kernel.end()
            self.tills.pop(name, None)

    def cut_off(self, site: str, cut: bool = True) -> None:
        """Its link to the others and to the routers breaks, or is whole again. Its processes go on."""
        names = [name for name, each in self.rig.processes.items() if each.site == site]
        if cut:
            self.rig.cut(names, [name for name in self.rig.processes if name not in names])
        else:
            self.rig.heal()
        for name in names:
            self.streams[name].cut(cut)

    def bring_back(self, site: str) -> None:
        names = [name for name, each in self.rig.processes.items() if each.site == site]
        for name in names:
            self.rig.processes[name].kernel = self._kernel()
        self.rig.start(*names, wait=False)

    def end(self) -> None:
        self.over.set()
        time.sleep(0.05)
        for till in list(self.tills.values()):
            till.end()
        self.rig.end()
        for each in (*self.streams.values(), *self.routers.values()):
            each.end()

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
            till = self._till(name)
            tag = till.ask(group, wait_ms=WAIT_MS)
        except (OSError, KeyError, IndexError):
            self.tills.pop(name, None)
            second.other[group] += 1
            return
        self.going.append(Going(till, tag, second, group, time.monotonic() + WAIT_MS / 1000 + 1, site, tried))

    def _till(self, name: str) -> Till:
        till = self.tills.get(name)
        if till is None or till.gone:
            till = self.tills[name] = Till(self.address(self.rig.processes[name]))
        return till

    def address(self, each: Process) -> tuple[str, int]:
        text = self.rig.log(each.name)
        started = [line for line in text.splitlines() if "event=started" in line]
        host, port = started[each.starts - 1].split("listen=")[1].split()[0].split(":")
        return host, int(port)

    def _collect(self) -> None:
        rng = random.Random(self.rng.random())
        while not self.over.wait(0.01):
            for _ in range(len(self.going)):
                each = self.going.popleft()
                found = each.till.answers.pop(each.tag, None)
                if found is not None:
                    word = found[0][1]
                    table = {"done": each.second.completed, "later": each.second.denied}
                    table.get(word, each.second.other)[each.group] += 1
                elif each.till.gone and each.group == "look" and not each.tried:
                    self._try(each.site, each.group, each.second, rng, 1)
                elif each.till.gone or time.monotonic() > each.until:
                    each.second.other[each.group] += 1
                else:
                    self.going.append(each)

    # What they got

    def shares(self, sites: tuple[str, ...] = SITES) -> list[float]:
        """Benefit completed over benefit offered, second by second."""
        last = int(self.now)
        found = []
        for at in range(last):
            rows = [self.seconds[site].get(at, Second()) for site in sites]
            wanted = sum(row.wanted for row in rows)
            found.append(sum(row.benefit for row in rows) / wanted if wanted else 1.0)
        return found

    def twice(self) -> int:
        """Effects done more than once, of all kernels that are there."""
        return sum(count > 1 for each in self.rig.processes.values() if each.kernel is not None
                   for count in each.kernel.ran.values())
