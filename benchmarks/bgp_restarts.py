"""No announcement outside `ready`: scripted, seeded restarts on loopback. `python -m benchmarks.bgp_restarts
[RESTARTS] [SEED]`, with 500 restarts and 2,000 changes of state in about a minute and a half.

How it is known that an announcement came out of turn: once a state other than ready has been told, the
speaker is asked a question (it answers after it has followed the state), and the router has seen its
withdrawal, whatever announcement comes before ready is told again is a breach. What comes in between is the
latency in the table."""

from __future__ import annotations

import random
import sys
import time

from benchmarks.table import Table, quantile
from lilacwalk.bgp.announcement_policy import NodeStatus
from lilacwalk.bgp.speaker_io import Speaker
from lilacwalk.operator.loader import parse_operator_file
from lilacwalk.testing.bgp_router import BgpRouter

ORDERS = """announce {
    as 65010
    router-id 127.0.0.1
    next-hop 127.0.0.1
    service 192.0.2.10/32
    ready-for 2ms
    graceful-shutdown 5ms
    propagation 20ms
    sick {
        withdraw-after 0ms
        well-after 2ms
    }
    damping {
        half-life 100ms
        suppress 900000
        reuse 800000
        longest 100ms
    }
    peer 127.0.0.1:%d {
        as 65020
        connect-retry 50ms
        idle-hold 50ms
    }
}
"""
NOT_READY = (NodeStatus.COLD, NodeStatus.WARMING, NodeStatus.SICK, NodeStatus.STANDING_STILL)


class Run:
    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.state = "cold"
        self.router = BgpRouter(state=lambda: self.state)
        self.orders = parse_operator_file(ORDERS % self.router.address[1], "benchmark").announce
        self.restarts = self.changes = self.breaches = self.drains = self.crashes = 0
        self.late_listeners = 0
        self.announced: list[float] = []
        self.withdrawn: list[float] = []
        self.drained: list[float] = []
        self.listener: list[float] = []

    def told(self, speaker: Speaker, node: NodeStatus) -> float:
        self.changes += 1
        self.state = node.value
        began = time.monotonic()
        speaker.set_node_status(node)
        return began

    def quiet(self, speaker: Speaker, count: int) -> None:
        """Between a state that is not ready and the next ready, nothing may be announced."""
        speaker.query(lambda each: None)
        self.breaches += self.router.count("announced") != count or bool(self.router.held)

    def life(self) -> None:
        router, rng = self.router, self.rng
        sessions, count = router.count("up"), router.count("announced")
        speaker = Speaker(
            self.orders,
            rng.getrandbits(32),
            lambda wait: self.listener.append(time.monotonic() + wait / 10_000),
        )
        speaker.start()
        self.restarts += 1
        for node in rng.sample(NOT_READY, rng.randrange(1, 3)):
            self.told(speaker, node)
        router.wait(lambda: router.count("up") > sessions, "a session")
        self.quiet(speaker, count)
        for _ in range(rng.randrange(0, 3)):
            began = self.told(speaker, NodeStatus.READY)
            router.wait(lambda: router.held, "an announcement")
            self.announced.append(time.monotonic() - began)
            if rng.random() < 0.2:
                router.drop()  # a session that breaks: what it held goes with it
                router.wait(lambda seen=router.count("up"): router.count("up") > seen, "a session")
                router.wait(lambda: router.held, "an announcement")
            began = self.told(speaker, rng.choice(NOT_READY))
            router.wait(lambda: not router.held, "a withdrawal")
            self.withdrawn.append(time.monotonic() - began)
            self.quiet(speaker, router.count("announced"))
        self.end(speaker)

    def end(self, speaker: Speaker) -> None:
        router, rng = self.router, self.rng
        if rng.random() < 0.5:
            self.told(speaker, NodeStatus.READY)
            router.wait(lambda: router.held, "an announcement")
        how = rng.random()
        if how < 0.25:  # a crash: the router learns of it by the connection's end alone
            self.crashes += 1
            speaker.inbox.put((self._crash,))
            speaker.ended.wait(10.0)
        elif how < 0.6:
            self.drains += 1
            held, before = bool(router.held), len(self.listener)
            began, self.state = time.monotonic(), "leaving"
            self.changes += 1
            speaker.leave(3_000)
            router.wait(lambda: not router.held, "a withdrawal")
            gone = time.monotonic()
            if held:
                self.drained.append(gone - began)
            while len(self.listener) == before:
                speaker.query(lambda each: None)
            self.late_listeners += gone > self.listener[-1]
            if rng.random() < 0.3:
                router.drop()
                router.wait(lambda seen=router.count("up"): router.count("up") > seen, "a session")
            count = router.count("announced")
            self.quiet(speaker, count)
            speaker.end()
        else:
            speaker.end()
        self.state = "cold"
        router.wait(lambda: not router.held, "an end")

    @staticmethod
    def _crash() -> None:
        raise RuntimeError("a crash of the benchmark's making")


def main() -> int:
    restarts = int(sys.argv[1]) if len(sys.argv) > 1 else 500
    seed = int(sys.argv[2]) if len(sys.argv) > 2 else 1
    import logging

    logging.disable(logging.CRITICAL)
    run, began = Run(seed), time.monotonic()
    for _ in range(restarts):
        run.life()
    table = Table("bgp_restarts")
    table.say(f"# Restarts and changes of state, seed {seed}\n")
    table.rows(
        "what was done",
        ("what", "count"),
        [
            ("restarts", run.restarts),
            ("changes of state", run.changes),
            ("drains", run.drains),
            ("crashes", run.crashes),
            ("announcements outside ready", run.breaches),
            ("listeners that closed before the withdrawal", run.late_listeners),
        ],
    )
    table.rows(
        "from the state's change to the message at the router",
        ("what", "count", "median ms", "99th ms", "most ms"),
        [
            (
                name,
                len(rows),
                quantile(rows, 0.5) * 1000,
                quantile(rows, 0.99) * 1000,
                max(rows) * 1000,
            )
            for name, rows in (
                ("ready to announced (2 ms of it ready-for)", run.announced),
                ("not ready to withdrawn", run.withdrawn),
                ("leaving to withdrawn (5 ms of it less wanted)", run.drained),
            )
        ],
    )
    table.say(f"took {time.monotonic() - began:.0f} s")
    table.write()
    return 1 if run.breaches or run.late_listeners else 0


if __name__ == "__main__":
    sys.exit(main())
