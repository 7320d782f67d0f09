"""Load that cold app servers together place on a shared dependency, measured with real processes.

    python -m benchmarks.cold_budget [seeds [share …]]

20 and then 30 app servers start cold at the same time and receive requests that need more calls
than their shares allow. The budget N is the sum of the shares, and limits the mean number of calls
in flight over one second. An excess of up to 2 * sqrt(N) + 2 is attributed to chance."""

from __future__ import annotations

import random
import sys
import threading
import time
from math import sqrt

from benchmarks.table import Table
from lilacwalk.testing.dependency import SharedDependency
from lilacwalk.testing.executor import StandInExecutor
from lilacwalk.testing.fleet import ProcessFleet
from lilacwalk.testing.proxy_client import ProxyClient

# Seconds. The number of calls in flight is averaged over WINDOW.
CALL_TIME, WINDOW, LOAD_TIME = 0.02, 1.0, 6.0


def run_fleet(size: int, share: float, seed: int) -> tuple[float, float, int, int]:
    """N, the largest mean number of calls in flight in a window, the maximum in flight, and the
    number of calls."""
    dependency, fleet = SharedDependency(size, CALL_TIME), ProcessFleet(seed, 1_000, "serve")
    try:
        for number in range(size):
            each = fleet.add(f"n{number}")
            each.dependency, each.call_share = dependency, share
            each.executor = StandInExecutor(
                2, lambda class_name, body: 0.004, calling_classes=("look",), booting=True
            )
        fleet.write_operator_file = lambda each: each.operator_file_path.write_text("")  # type: ignore[method-assign]
        fleet.start(*fleet.processes, wait=False)
        fleet.wait(
            lambda: all("event=executor_up" in fleet.log(name) for name in fleet.processes),
            60,
            "all executors are connected",
        )
        rate = 1.6 * share / CALL_TIME
        threads = [
            threading.Thread(
                target=send_requests,
                args=(listen_address(fleet.log(name)), rate, make_rng(seed, name)),
            )
            for name in fleet.processes
        ]
        for each in threads:
            each.start()
        for each in threads:
            each.join()
        return (
            share * size,
            max(dependency.mean_concurrency(WINDOW, 0.05)),
            dependency.max_in_flight,
            dependency.call_count,
        )
    finally:
        fleet.end()
        dependency.end()


def make_rng(seed: int, name: str) -> random.Random:
    return random.Random(f"{seed} {name}")


def listen_address(log: str) -> tuple[str, int]:
    """The address at which an app server listens, from its log."""
    host, port = log.split("event=started")[1].split("listen=")[1].split()[0].split(":")
    return host, int(port)


def send_requests(address: tuple[str, int], rate: float, rng: random.Random) -> None:
    """Sends requests at random times, at this mean rate per second, for LOAD_TIME."""
    # Connects only now: the server closes a new connection that sends nothing for a second.
    proxy_client = ProxyClient(address)
    due_at = time.monotonic()
    end_at = due_at + LOAD_TIME
    while (due_at := due_at + rng.expovariate(rate)) < end_at:
        time.sleep(max(0.0, due_at - time.monotonic()))
        proxy_client.send_request("look", wait_ms=1500)
    proxy_client.end()


def main() -> None:
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 10
    shares = [float(each) for each in sys.argv[2:]] or [0.3, 1.0]
    table, rows = Table("cold-budget"), []
    for size in (20, 30):
        for share in shares:
            for seed in range(1, seeds + 1):
                budget, mean, max_in_flight, calls = run_fleet(size, share, seed)
                allowed = budget + 2 * sqrt(budget) + 2
                rows.append(
                    (
                        size,
                        share,
                        seed,
                        budget,
                        allowed,
                        mean,
                        max_in_flight,
                        calls,
                        "within" if mean <= allowed else "exceeded",
                    )
                )
                print(rows[-1], flush=True)
    table.rows(
        "calls of all cold processes: mean number in flight in the worst second, one run per row",
        (
            "processes",
            "share",
            "seed",
            "N",
            "allowed",
            "max mean in flight",
            "max in flight",
            "calls",
            "limit",
        ),
        rows,
    )
    table.write()


if __name__ == "__main__":
    main()
