"""What cold app servers send together to a dependency that all of them share, with real processes.

    python -m benchmarks.cold_budget [seeds [share …]]

All of 20, then of 30, start cold in one moment and are asked for more calls than their shares allow. The
budget N is the sum of their shares, told as a mean in hand over a second; 2 x root of N + 2 over it is put
down to chance."""

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

WORK, SPAN, LOAD_S = 0.02, 1.0, 6.0  # seconds a call; of the window, as the rig tells it; of asking


def played(size: int, share: float, seed: int) -> tuple[float, float, int, int]:
    """N, the most in the mean of a window, the most at one moment, calls made."""
    index, rig = SharedDependency(size, WORK), ProcessFleet(seed, 1_000, "serve")
    try:
        for at in range(size):
            each = rig.add(f"n{at}")
            each.dependency, each.call_share = index, share
            each.executor = StandInExecutor(
                2, lambda group, body: 0.004, calls=("look",), cold=True
            )
        rig.write = lambda each: each.file.write_text("")  # type: ignore[method-assign]
        rig.start(*rig.processes, wait=False)
        rig.wait(
            lambda: all("event=executor_up" in rig.log(name) for name in rig.processes),
            60,
            "all are up",
        )
        rate = 1.6 * share / WORK
        asking = [
            threading.Thread(target=ask, args=(where(rig.log(name)), rate, chance(seed, name)))
            for name in rig.processes
        ]
        for each in asking:
            each.start()
        for each in asking:
            each.join()
        return (
            share * size,
            max(index.mean_concurrency(SPAN, 0.05)),
            index.max_in_flight,
            index.calls_made,
        )
    finally:
        rig.end()
        index.end()


def chance(seed: int, name: str) -> random.Random:
    return random.Random(f"{seed} {name}")


def where(log: str) -> tuple[str, int]:
    host, port = log.split("event=started")[1].split("listen=")[1].split()[0].split(":")
    return host, int(port)


def ask(address: tuple[str, int], rate: float, chance: random.Random) -> None:
    proxy_client = ProxyClient(
        address
    )  # here: who connects and says nothing for a second is closed
    due = time.monotonic()
    until = due + LOAD_S
    while (due := due + chance.expovariate(rate)) < until:
        time.sleep(max(0.0, due - time.monotonic()))
        proxy_client.ask("look", wait_ms=1500)
    proxy_client.end()


def main() -> None:
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 10
    shares = [float(each) for each in sys.argv[2:]] or [0.3, 1.0]
    table, rows = Table("cold-budget"), []
    for size in (20, 30):
        for share in shares:
            for seed in range(1, seeds + 1):
                budget, mean, most, made = played(size, share, seed)
                allowed = budget + 2 * sqrt(budget) + 2
                rows.append(
                    (
                        size,
                        share,
                        seed,
                        budget,
                        allowed,
                        mean,
                        most,
                        made,
                        "kept" if mean <= allowed else "broken",
                    )
                )
                print(rows[-1], flush=True)
    table.rows(
        "calls of cold processes together: mean in hand of the worst second, one play each",
        ("processes", "share", "seed", "N", "allowed", "worst mean", "most at once", "calls", ""),
        rows,
    )
    table.write()


if __name__ == "__main__":
    main()
