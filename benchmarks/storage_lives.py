"""Whole app servers killed at seeded instants, again and again, on one store: what became of every exchange.

    python -m benchmarks.storage_lives [LIVES]

Each life is asked for deduplicated exchanges under new keys, and again for those that had no answer; it is
killed 5 to 80 ms later, its kernel goes on. Effects are counted at the kernel by what was asked. After the
last life some of those that were answered are asked again."""

from __future__ import annotations

import sys
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from benchmarks.table import Table
from lilacwalk.testing.restart_soak import RestartSoak

PLAYS, AGAIN = 5, 40
WINDOW = 60.0 - 4.0  # the group's own, from the first asking; an effect comes within a wait of that


def play(seed: int, lives: int) -> tuple[Counter, int, float]:
    """What became of exchanges; effects had more than once; seconds of a life."""
    made = RestartSoak(seed=seed, effects="600s")
    counts: Counter[str] = Counter()
    try:
        left: list[str] = []
        done: list[str] = []
        began = time.monotonic()
        for life in range(lives):
            made.start()
            found = made.run_until_kill([f"{life}-{at}" for at in range(60)], left)
            left = found.get("", []) + found.get("later", [])
            done += found.get("done", [])
            counts["completed"] += len(found.get("done", []))
            counts["terminated"] += len(found.get("error", []))
            counts["no answer"] += len(found.get("", []))
        spent = (time.monotonic() - began) / lives
        made.start()
        for key in left:
            counts["settled in the last life"] += made.ask("swap", key)[0] != "later"
        for key in made.rng.sample(done, min(AGAIN, len(done))):
            counts[f"completed before, asked again: {made.ask('swap', key)[0]}"] += 1
        counts["effects"] = sum(made.effects.values())
        return counts, made.count_duplicates_within(WINDOW), spent
    finally:
        made.end()


def main() -> None:
    lives = int(sys.argv[1]) if len(sys.argv) > 1 else 500
    with ThreadPoolExecutor(PLAYS) as pool:
        found = list(pool.map(lambda seed: play(seed, lives // PLAYS), range(PLAYS)))
    total = sum((each[0] for each in found), Counter())
    twice = sum(each[1] for each in found)
    rows = [
        ("lives", lives),
        ("effects had twice within the window of their key", twice),
        *sorted(total.items()),
        ("seconds a life", round(sum(each[2] for each in found) / PLAYS, 2)),
    ]
    table = Table("storage-lives")
    table.rows("app servers killed by SIGKILL, synced", ("what", "count"), rows)
    table.write()


if __name__ == "__main__":
    main()
