"""Sketches that count events by source where the sources choose their own names: `edge/sketch.py`
and those of the datasketches library.

    python -m benchmarks.sketches

200,000 events from 100,000 sources: most sources occur once or twice, and ten occur 500 times each.
All sketches use about the same memory. Counts in `edge/sketch.py` decay with a half-life, which is
not used here; those of the library do not decay."""

from __future__ import annotations

import random
import sys
import time
from collections import Counter

from benchmarks.table import Table, quantile
from lilacwalk.edge.sketch import Sketch

LIGHT_SOURCES, LIGHT_EVENTS, EVENTS_PER_HEAVY_SOURCE = 100_000, 195_000, 500


def make_events(seed: int) -> list[bytes]:
    """Returns the source of each event."""
    rng = random.Random(seed)
    events = [b"source %d" % rng.randrange(LIGHT_SOURCES) for _ in range(LIGHT_EVENTS)]
    events += [b"heavy %d" % at for at in range(10) for _ in range(EVENTS_PER_HEAVY_SOURCE)]
    rng.shuffle(events)
    return events


def main() -> None:
    import datasketches

    events = make_events(1)
    exact = Counter(events)
    heavy = [source for source in exact if source.startswith(b"heavy")]
    light = [source for source in exact if source.startswith(b"source")][:20_000]
    rows = []

    def measure(name: str, add, count, kilobytes: float) -> None:
        began = time.perf_counter()
        for source in events:
            add(source)
        microseconds = (time.perf_counter() - began) / len(events) * 1e6
        excess = [count(source) - exact[source] for source in light]
        relative_errors = [abs(count(source) - exact[source]) / exact[source] for source in heavy]
        rows.append(
            (
                name,
                microseconds,
                sum(excess) / len(excess),
                quantile(excess, 0.99),
                max(relative_errors),
                kilobytes,
            )
        )

    sketch = Sketch(7, 100_000, 0)
    measure(
        "edge/sketch, 4 by 4,096",
        lambda source: sketch.add(source, 0),
        lambda source: sketch.count(source, 0),
        4 * 4_096 * 8 / 1e3,
    )
    count_min = datasketches.count_min_sketch(4, 4_096, 7)
    measure(
        "datasketches count_min_sketch, 4 by 4,096",
        lambda source: count_min.update(source.decode()),
        lambda source: count_min.get_estimate(source.decode()),
        4 * 4_096 * 8 / 1e3,
    )
    frequent_strings = datasketches.frequent_strings_sketch(12)
    measure(
        "datasketches frequent_strings_sketch, 2^12",
        lambda source: frequent_strings.update(source.decode()),
        lambda source: frequent_strings.get_estimate(source.decode()),
        4_096 * 0.75 * 32 / 1e3,
    )
    counter: Counter[bytes] = Counter()
    measure(
        "a dict",
        lambda source: counter.update((source,)),
        lambda source: counter[source],
        (sys.getsizeof(exact) + sum(map(sys.getsizeof, exact))) / 1e3,
    )
    table = Table("sketches")
    table.rows(
        f"{len(events):,} events from {len(exact):,} sources, ten of which occur "
        f"{EVENTS_PER_HEAVY_SOURCE} times",
        (
            "form",
            "us per event",
            "light: mean excess",
            "light: 99th percentile of excess",
            "heavy: largest relative error",
            "KB of counters",
        ),
        rows,
    )
    table.write()


if __name__ == "__main__":
    main()
