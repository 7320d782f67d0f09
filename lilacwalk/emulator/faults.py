"""Kinds of faults, and faults generated from a seed; they may overlap. Times are in tenths of a ms.

crash       app server processes and their machines stop, and start cold after `duration`
silence     app servers accept requests and answer none for `duration`; running requests continue
hang        machines execute no request for `duration`; app servers continue to admit and answer
slow        machines run at `factor` of their speed for `duration`
index-slow  calls to the dependency take `factor` times as long for `duration`
index-down  the dependency is down for `duration`
cut         the routers with odd numbers cannot reach the servers of a site for `duration`
surge       the request rate of every router is multiplied by `factor` for `duration`
outlet      the request rate of one router is multiplied by `factor` for `duration`
release     all servers are drained and started cold, one after the other over `duration`
flap        app servers crash and restart every two seconds for `duration`"""

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
    """A fault to inject.

    Attributes:
        kind: one of FAULT_KINDS.
        at: time at which the fault starts.
        duration: how long it lasts.
        share: for the kinds in SERVER_FAULT_KINDS, fraction of the running servers that is
            affected; at least one server is.
        factor: see the description of the kinds.
        site: for a cut, the site that is unreachable, by default the first one; for the kinds in
            SERVER_FAULT_KINDS, the only site that is affected, by default all sites.
    """

    kind: str
    at: int
    duration: int
    share: float = 0.1
    factor: float = 2.0
    site: str = ""

    def __str__(self) -> str:
        return (
            f"{self.kind} at {self.at / SECOND:g}s for {self.duration / SECOND:g}s "
            f"share {self.share:g} factor {self.factor:g}"
            f"{' site ' + self.site if self.site else ''}"
        )


def generate_faults(seed: int, length: int, count: int, sites: tuple[str, ...]) -> list[Fault]:
    """Returns `count` random faults for a run of `length`, sorted by time.

    They start after the first fifth of the run, which shows normal service, and end before the last
    quarter, which shows whether service recovers.
    """
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
