"""What the emulator costs: its queue beside heapq, and fleets of growing size.

python -m benchmarks.emulator [queue|scale]"""

from __future__ import annotations

import heapq
import random
import resource
import sys
import time
from itertools import count
from multiprocessing import Pool

from benchmarks.table import Table
from lilacwalk.emulator.events import EventQueue
from lilacwalk.emulator.simulation import SECOND, RequestClassSpec, Scenario, play

GROUPS = (
    RequestClassSpec("look", 0.6, 2_000, 20_000, 100_000),
    RequestClassSpec("swap", 0.4, 4_000, 40_000, 100_000, 4.0, "deduplicated"),
)
PENDING, TURNS = 1_000_000, 500_000


class Heap:
    """The plain form, of the same face."""

    def __init__(self) -> None:
        self.now, self.rows, self.numbers = 0, [], count()

    def put(self, at: int, action, *arguments) -> None:
        heapq.heappush(self.rows, (at, next(self.numbers), action, arguments))

    def run(self, until: int) -> None:
        while self.rows and self.rows[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self.rows)
            action(*arguments)


def queue(table: Table) -> None:
    """A million pending events spread over ten minutes; each that happens puts in another."""
    rows = []
    for pending in (1_000, 100_000, PENDING):
        for form in (Heap, EventQueue):
            rng, made = random.Random(1), form()
            span = 6_000_000
            times = [rng.randrange(span) for _ in range(pending)]
            began = time.perf_counter()
            happened = [0]

            def happens(made=made, rng=rng, happened=happened, span=span) -> None:
                happened[0] += 1
                made.put(made.now + rng.randrange(span), happens)

            for at in times:
                made.put(at, happens)
            filled = time.perf_counter() - began
            step = span * TURNS // max(pending, TURNS) // 20 or 1
            began, until = time.perf_counter(), 0
            while happened[0] < TURNS:
                until += step
                made.run(until)
            spent = time.perf_counter() - began
            rows.append((pending, form.__name__, filled / pending * 1e6, spent / happened[0] * 1e6))
    table.rows(
        "put in, then one out and one in: microseconds an event",
        ("pending", "form", "put in", "out and in"),
        rows,
    )


def one(task: tuple[int, int]) -> tuple:
    servers, routers = task
    seconds = 20
    scenario = Scenario(
        GROUPS, servers=servers, routers=routers, load=0.85, length=seconds * SECOND
    )
    began = time.process_time()
    found = play(scenario, 1)
    spent = time.process_time() - began
    memory = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    wished = sum(row.wished for row in found.seconds.values())
    return (
        servers,
        routers,
        wished,
        found.events,
        found.events / spent,
        spent / seconds,
        memory,
        len(found.breaches),
    )


def scale(table: Table) -> None:
    with Pool(1, maxtasksperchild=1) as pool:
        rows = pool.map(
            one, [(20, 10), (100, 60), (300, 200), (1_000, 300), (2_000, 300)], chunksize=1
        )
    table.rows(
        "20 simulated seconds at 0.85, runs of 0.2 and 0.4 s on four cores, one process",
        (
            "servers",
            "routers",
            "wishes",
            "events",
            "events a second",
            "CPU s a simulated s",
            "MB",
            "rules broken",
        ),
        rows,
    )


def main() -> None:
    table = Table("emulator")
    for word in sys.argv[1:] or ["queue", "scale"]:
        {"queue": queue, "scale": scale}[word](table)
    table.write()


if __name__ == "__main__":
    main()
