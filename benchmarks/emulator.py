"""Cost of the emulator: its event queue compared with heapq, and fleets of increasing size.

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

REQUEST_CLASSES = (
    RequestClassSpec("look", 0.6, 2_000, 20_000, 100_000),
    RequestClassSpec("swap", 0.4, 4_000, 40_000, 100_000, 4.0, "deduplicated"),
)
MAX_PENDING, PROCESSED_EVENTS = 1_000_000, 500_000


class HeapQueue:
    """A queue with the interface of `EventQueue`, based on heapq."""

    def __init__(self) -> None:
        self.now, self.heap, self.sequence_numbers = 0, [], count()

    def put(self, due: int, action, *arguments) -> None:
        heapq.heappush(self.heap, (due, next(self.sequence_numbers), action, arguments))

    def run(self, until: int) -> None:
        while self.heap and self.heap[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self.heap)
            action(*arguments)


def measure_queue(table: Table) -> None:
    """Up to a million events are pending over ten minutes. Each processed event adds another."""
    rows = []
    for pending in (1_000, 100_000, MAX_PENDING):
        for queue_type in (HeapQueue, EventQueue):
            rng, queue = random.Random(1), queue_type()
            span = 6_000_000
            times = [rng.randrange(span) for _ in range(pending)]
            started_at = time.perf_counter()
            processed = [0]

            def replace_event(queue=queue, rng=rng, processed=processed, span=span) -> None:
                processed[0] += 1
                queue.put(queue.now + rng.randrange(span), replace_event)

            for due in times:
                queue.put(due, replace_event)
            fill_time = time.perf_counter() - started_at
            step = span * PROCESSED_EVENTS // max(pending, PROCESSED_EVENTS) // 20 or 1
            started_at, until = time.perf_counter(), 0
            while processed[0] < PROCESSED_EVENTS:
                until += step
                queue.run(until)
            run_time = time.perf_counter() - started_at
            rows.append(
                (
                    pending,
                    queue_type.__name__,
                    fill_time / pending * 1e6,
                    run_time / processed[0] * 1e6,
                )
            )
    table.rows(
        "adding all events, then processing one and adding one: microseconds per event",
        ("pending", "queue", "add", "process and add"),
        rows,
    )


def run_fleet(task: tuple[int, int]) -> tuple:
    """Simulates one fleet. It runs in a process of its own, so that the peak memory is its own."""
    servers, routers = task
    seconds = 20
    scenario = Scenario(
        REQUEST_CLASSES, servers=servers, routers=routers, load=0.85, length=seconds * SECOND
    )
    started_at = time.process_time()
    result = play(scenario, 1)
    cpu_seconds = time.process_time() - started_at
    memory = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    requests = sum(row.wished for row in result.stats_by_second.values())
    return (
        servers,
        routers,
        requests,
        result.processed_event_count,
        result.processed_event_count / cpu_seconds,
        cpu_seconds / seconds,
        memory,
        len(result.breaches),
    )


def measure_scale(table: Table) -> None:
    with Pool(1, maxtasksperchild=1) as pool:
        rows = pool.map(
            run_fleet, [(20, 10), (100, 60), (300, 200), (1_000, 300), (2_000, 300)], chunksize=1
        )
    table.rows(
        "20 simulated seconds at load 0.85, requests of 0.2 and 0.4 s on four cores, one process",
        (
            "servers",
            "proxies",
            "requests",
            "events",
            "events per second",
            "CPU s per simulated s",
            "MB",
            "invariant violations",
        ),
        rows,
    )


def main() -> None:
    table = Table("emulator")
    for word in sys.argv[1:] or ["queue", "scale"]:
        {"queue": measure_queue, "scale": measure_scale}[word](table)
    table.write()


if __name__ == "__main__":
    main()
