"""Whole app servers, each with one store, that are killed repeatedly at seeded random times: the
outcomes of all requests.

    python -m benchmarks.storage_lives [LIVES]

LIVES is the number of kills. After each start the app server receives deduplicated requests with
new keys, and again those that were not answered or were denied. It is killed 5 to 80 ms later; its
executor keeps running. Effects are counted at the executor by request body. After the last start
some of the completed requests are sent again."""

from __future__ import annotations

import sys
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from benchmarks.table import Table
from lilacwalk.testing.restart_soak import RestartSoak

# Runs in parallel, with one app server each; completed requests that each run sends again.
PARALLEL_RUNS, SENT_AGAIN = 5, 40
# Seconds from the first effect. The class's window of 60 s begins with the first request, whose
# effect follows within the 4 s that its client waits.
DEDUPLICATION_WINDOW = 60.0 - 4.0


def run(seed: int, kills: int) -> tuple[Counter, int, float]:
    """Returns the counts of outcomes, the number of duplicate effects and the seconds per kill."""
    soak = RestartSoak(seed=seed, effects="600s")
    counts: Counter[str] = Counter()
    try:
        unfinished: list[str] = []
        completed: list[str] = []
        began = time.monotonic()
        for kill in range(kills):
            soak.start()
            outcomes = soak.run_until_kill([f"{kill}-{at}" for at in range(60)], unfinished)
            unfinished = outcomes.get("", []) + outcomes.get("later", [])
            completed += outcomes.get("done", [])
            counts["completed"] += len(outcomes.get("done", []))
            counts["terminated"] += len(outcomes.get("error", []))
            counts["not answered"] += len(outcomes.get("", []))
        seconds_per_kill = (time.monotonic() - began) / kills
        soak.start()
        for key in unfinished:
            counts["finished after the last start"] += soak.send_and_wait("swap", key)[0] != "later"
        for key in soak.rng.sample(completed, min(SENT_AGAIN, len(completed))):
            counts[f"completed before, sent again: {soak.send_and_wait('swap', key)[0]}"] += 1
        counts["effects"] = sum(soak.effects.values())
        return counts, soak.count_duplicates_within(DEDUPLICATION_WINDOW), seconds_per_kill
    finally:
        soak.end()


def main() -> None:
    kills = int(sys.argv[1]) if len(sys.argv) > 1 else 500
    with ThreadPoolExecutor(PARALLEL_RUNS) as pool:
        results = list(
            pool.map(lambda seed: run(seed, kills // PARALLEL_RUNS), range(PARALLEL_RUNS))
        )
    total = sum((each[0] for each in results), Counter())
    duplicates = sum(each[1] for each in results)
    rows = [
        ("kills", kills),
        ("effects applied twice within the window of their key", duplicates),
        *sorted(total.items()),
        ("seconds per kill", round(sum(each[2] for each in results) / PARALLEL_RUNS, 2)),
    ]
    table = Table("storage-lives")
    table.rows("app servers killed by SIGKILL, synced", ("outcome", "count"), rows)
    table.write()


if __name__ == "__main__":
    main()
