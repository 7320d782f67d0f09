"""Kinds of faults, and faults generated from a seed; they may overlap. Times are in tenths of a ms.

crash       process and machine end, and start cold after `duration`
silence     the server accepts requests and answers none for `duration`; running requests continue
hang        no run progresses for `duration`; everything else continues
slow        the machine works at `factor` of its speed for `duration`
index-slow  calls to the dependency take `factor` times as long for `duration`
index-down  the dependency is down for `duration`
cut         every other router cannot reach the servers of a site for `duration`
surge       the request rate of every router is multiplied by `factor` for `duration`
outlet      the request rate of one router is multiplied by `factor` for `duration`
release     all servers are replaced, one after the other over `duration`: drained, then started cold
flap        crash and restart every two seconds for `duration`"""

from __future__ import annotations

import random
from dataclasses import dataclass

SECOND = 10_000
FAULT_KINDS = (
    "crash",
    "silence",
    "hang",
    "slow",
    "index-slow",
    "index-down",
    "cut",
    "surge",
    "outlet",
    "release",
    "flap",
)
SERVER_FAULT_KINDS = ("crash", "silence", "hang", "slow", "flap")


@dataclass(frozen=True, slots=True)
class Fault:
    kind: str
    at: int
    duration: int
    share: float = 0.1  # fraction of the servers that a fault of servers affects
    factor: float = 2.0
    site: str = ""  # site of a cut, or the only site whose servers a fault affects

    def __str__(self) -> str:
        return (
            f"{self.kind} at {self.at / SECOND:g}s for {self.duration / SECOND:g}s share {self.share:g} "
            f"factor {self.factor:g}{' site ' + self.site if self.site else ''}"
        )


def generate_faults(seed: int, length: int, count: int, sites: tuple[str, ...]) -> list[Fault]:
    """Returns `count` random faults in the middle of a run of `length`: the time before them shows normal
    service, the time after them whether service recovers."""
    rng = random.Random(f"faults {seed}")
    faults = []
    for _ in range(count):
        kind = rng.choice(FAULT_KINDS)
        factor = rng.choice((0.2, 0.5)) if kind == "slow" else rng.choice((1.5, 2.0, 4.0))
        faults.append(
            Fault(
                kind,
                rng.randrange(length // 5, length * 3 // 5),
                rng.randrange(length // 40, length // 8),
                rng.choice((0.05, 0.1, 0.3)),
                factor,
                rng.choice(sites) if kind == "cut" else "",
            )
        )
    return sorted(faults, key=lambda fault: (fault.at, fault.kind))
