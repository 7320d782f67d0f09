"""Checks that a node is announced only while it is `ready`, over random restarts of the speaker.

    python -m benchmarks.bgp_restarts [RESTARTS] [SEED]

The speaker and the router communicate over loopback. 500 restarts (the default) with 2,000 status
changes take about a minute and a half. The same seed gives the same sequence of restarts and
faults. The exit code is 1 if a violation was found or a listener closed before the withdrawal.

A violation is an announcement that arrives after a status other than ready has taken effect and
before ready is reported again. The status has taken effect once the speaker has answered a query,
which it handles after the status, and the router has received the withdrawal. The time until then
is the delay in the table."""

from __future__ import annotations

import random
import sys
import time

from benchmarks.table import Table, quantile
from lilacwalk.bgp.announcement_policy import NodeStatus
from lilacwalk.bgp.speaker_io import Speaker
from lilacwalk.operator.loader import parse_operator_file
from lilacwalk.testing.bgp_router import BgpRouter

CONFIG_TEMPLATE = """announce {
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


class RestartRun:
    """Restarts a speaker, counts violations and records the delays of announcements and
    withdrawals."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.state = "cold"
        self.router = BgpRouter(state=lambda: self.state)
        self.config = parse_operator_file(
            CONFIG_TEMPLATE % self.router.address[1], "benchmark"
        ).announce
        self.restarts = self.status_changes = self.violations = self.drains = self.crashes = 0
        self.early_closes = 0
        self.announce_delays: list[float] = []
        self.withdraw_delays: list[float] = []
        self.drain_delays: list[float] = []
        self.listener_close_times: list[float] = []

    def set_status(self, speaker: Speaker, status: NodeStatus) -> float:
        """Reports a status to the speaker, and returns the time at which the report began."""
        self.status_changes += 1
        self.state = status.value
        started_at = time.monotonic()
        speaker.set_node_status(status)
        return started_at

    def check_not_announced(self, speaker: Speaker, announcements: int) -> None:
        """Counts a violation if the router holds a route or has received further announcements.

        `announcements` is the number of announcements that it had received earlier.
        """
        speaker.query(lambda state: None)
        self.violations += self.router.count("announced") != announcements or bool(
            self.router.routes
        )

    def run_process(self) -> None:
        """Starts a speaker, reports random statuses to it, and ends it."""
        router, rng = self.router, self.rng
        sessions_before, announcements = router.count("up"), router.count("announced")
        speaker = Speaker(
            self.config,
            rng.getrandbits(32),
            lambda wait: self.listener_close_times.append(time.monotonic() + wait / 10_000),
        )
        speaker.start()
        self.restarts += 1
        for status in rng.sample(NOT_READY, rng.randrange(1, 3)):
            self.set_status(speaker, status)
        router.wait(lambda: router.count("up") > sessions_before, "a session")
        self.check_not_announced(speaker, announcements)
        for _ in range(rng.randrange(0, 3)):
            started_at = self.set_status(speaker, NodeStatus.READY)
            router.wait(lambda: router.routes, "an announcement")
            self.announce_delays.append(time.monotonic() - started_at)
            if rng.random() < 0.2:
                router.drop()  # a lost session: the router removes its routes
                router.wait(
                    lambda sessions=router.count("up"): router.count("up") > sessions, "a session"
                )
                router.wait(lambda: router.routes, "an announcement")
            started_at = self.set_status(speaker, rng.choice(NOT_READY))
            router.wait(lambda: not router.routes, "a withdrawal")
            self.withdraw_delays.append(time.monotonic() - started_at)
            self.check_not_announced(speaker, router.count("announced"))
        self.end(speaker)

    def end(self, speaker: Speaker) -> None:
        """Ends the speaker by a crash, with a drain or without one."""
        router, rng = self.router, self.rng
        if rng.random() < 0.5:
            self.set_status(speaker, NodeStatus.READY)
            router.wait(lambda: router.routes, "an announcement")
        draw = rng.random()
        if draw < 0.25:  # a crash: the router detects it only by the end of the connection
            self.crashes += 1
            speaker.inbox.put((self._crash,))
            speaker.ended.wait(10.0)
        elif draw < 0.6:
            self.drains += 1
            was_announced, closes_before = bool(router.routes), len(self.listener_close_times)
            started_at, self.state = time.monotonic(), "leaving"
            self.status_changes += 1
            speaker.leave(3_000)
            router.wait(lambda: not router.routes, "a withdrawal")
            withdrawn_at = time.monotonic()
            if was_announced:
                self.drain_delays.append(withdrawn_at - started_at)
            while len(self.listener_close_times) == closes_before:
                speaker.query(lambda state: None)
            self.early_closes += withdrawn_at > self.listener_close_times[-1]
            if rng.random() < 0.3:
                router.drop()
                router.wait(
                    lambda sessions=router.count("up"): router.count("up") > sessions, "a session"
                )
            announcements = router.count("announced")
            self.check_not_announced(speaker, announcements)
            speaker.end()
        else:
            speaker.end()
        self.state = "cold"
        router.wait(lambda: not router.routes, "an end")

    @staticmethod
    def _crash() -> None:
        raise RuntimeError("crash caused by the benchmark")


def main() -> int:
    restarts = int(sys.argv[1]) if len(sys.argv) > 1 else 500
    seed = int(sys.argv[2]) if len(sys.argv) > 2 else 1
    import logging

    logging.disable(logging.CRITICAL)
    run, started_at = RestartRun(seed), time.monotonic()
    for _ in range(restarts):
        run.run_process()
    table = Table("bgp_restarts")
    table.say(f"# Restarts and status changes of the BGP speaker, seed {seed}\n")
    table.rows(
        "counts",
        ("event", "count"),
        [
            ("restarts", run.restarts),
            ("status changes", run.status_changes),
            ("drains", run.drains),
            ("crashes", run.crashes),
            ("announcements of a node that was not ready", run.violations),
            ("listeners closed before the withdrawal", run.early_closes),
        ],
    )
    table.rows(
        "time from the status change to the message at the router",
        ("change", "count", "median ms", "99th percentile ms", "max ms"),
        [
            (
                name,
                len(delays),
                quantile(delays, 0.5) * 1000,
                quantile(delays, 0.99) * 1000,
                max(delays) * 1000,
            )
            for name, delays in (
                ("ready to announced (of which 2 ms are ready-for)", run.announce_delays),
                ("not ready to withdrawn", run.withdraw_delays),
                ("leaving to withdrawn (of which 5 ms are graceful shutdown)", run.drain_delays),
            )
        ],
    )
    table.say(f"total time {time.monotonic() - started_at:.0f} s")
    table.write()
    return 1 if run.violations or run.early_closes else 0


if __name__ == "__main__":
    sys.exit(main())
