"""How fast the members' views settle, the effect of datagram loss on them, and their cost.

    python -m benchmarks.membership [simulated|loss|processes|cost] [--quick]

simulated and loss compare the protocol with simpler variants, in simulated time and with the same
seeds. processes measures how fast the views of real processes settle. cost measures the datagrams
and the CPU time of a member.
"""

from __future__ import annotations

import math
import resource
import sys
import time
from collections.abc import Callable
from multiprocessing import Pool

from benchmarks.table import Table
from lilacwalk.emulator.datagrams import SimulatedFleet
from lilacwalk.membership.failure_detector import FailureDetector, with_report
from lilacwalk.membership.member import Member
from lilacwalk.membership.messages import Health, MessageType
from lilacwalk.membership.state_exchange import StateExchange
from lilacwalk.membership.swim import Membership

SECOND = 10_000
SITES = ("recife", "natal", "caruaru")
WORKERS = 6  # processes that simulate in parallel


class PlainSwimFailureDetector(FailureDetector):
    """The failure detector of plain SWIM: suspects are neither notified nor probed, and suspicions
    are sent to other members only by gossip."""

    def suspicion_notice(self, member: Member) -> tuple:
        return ()

    def send_update_to_sample(self, update) -> None:
        return

    def probe_suspects(self, now: int) -> None:
        return


class PlainSwim(Membership):
    """SWIM without Lifeguard and without the extensions of lilacwalk: no health multiplier, no
    confirmations of suspicions."""

    failure_detector_type = PlainSwimFailureDetector

    def tick(self, now: int) -> None:
        self.probes.health_multiplier = 0
        for suspicion in self.failure_detector.suspicions.values():
            suspicion.reporters = {next(iter(sorted(suspicion.reporters)))}
            suspicion.max_timeout = 2 * suspicion.min_timeout
        super().tick(now)


class NoStateExchange(StateExchange):
    """Does not request the state of members whose views differ."""

    def request_from_differing(self, now: int) -> None:
        return


class NoStateExchangeMembership(Membership):
    """Members whose views differ do not exchange state; a join still includes one exchange."""

    state_exchange_type = NoStateExchange


class NoProbesFailureDetector(FailureDetector):
    """Neither retries unanswered probes nor handles failed ones."""

    def advance_probes(self, now: int) -> None:
        return


class HeartbeatMembership(Membership):
    """All-to-all heartbeats: a member pings all others in each interval, and declares one dead
    after five intervals without a datagram from it, without notifying the others directly."""

    failure_detector_type = NoProbesFailureDetector

    def _protocol_round(self, now: int) -> None:
        self.probes.next_round_at = now + self.interval
        for peer in self.node.peers():
            self.node.send(peer.address, MessageType.PING, self.probes.next_sequence())
            if peer.last_heard and now - peer.last_heard > 5 * self.interval:
                update = with_report(peer.update(False), self.name, Health.DEAD)
                self._apply_update(update, now, "no datagram in five intervals")
        self.joining.attempt(now)


VARIANTS = {
    "lilacwalk": Membership,
    "without state exchange": NoStateExchangeMembership,
    "SWIM without Lifeguard": PlainSwim,
    "all-to-all heartbeat": HeartbeatMembership,
}


def write_table(title: str, rows: list[dict[str, object]], name: str) -> None:
    table = Table(name)
    table.rows(title, tuple(rows[0]), [tuple(row.values()) for row in rows])
    table.write()


def start_fleet(
    count: int, seed: int, variant: str, **options
) -> tuple[SimulatedFleet, list[str], int | None]:
    world = SimulatedFleet(seed, membership_type=VARIANTS[variant], **options)
    names = [f"n{number}" for number in range(count)]
    for number, name in enumerate(names):
        world.add(name, SITES[number * 3 // count], seeds=names[: min(number, 2)])
    return world, names, world.run_until(world.all_settled, 120 * SECOND, SECOND // 4)


def measure_settling_once(task: tuple) -> dict[str, float | None]:
    """The time until all views are correct after each event, None if it exceeds the limit."""
    count, seed, loss, variant = task
    world, names, join_time = start_fleet(count, seed, variant, loss=loss)
    times: dict[str, float | None] = {"join": join_time}
    world.run(20 * SECOND)
    rng = world.rng
    victim = rng.choice(names[2:])
    world.kill(victim)
    times["crash detected by all"] = world.run_until(
        lambda: world.absent_from_all_views(victim), 60 * SECOND
    )
    world.add(victim, world.nodes[victim].site, names[:2])
    times["rejoined"] = world.run_until(world.all_settled, 60 * SECOND, SECOND // 4)
    third = rng.sample(names[2:], count // 3)
    for name in third:
        world.kill(name)
    times["third detected by all"] = world.run_until(
        lambda: world.absent_from_all_views(*third), 90 * SECOND
    )
    for name in third:
        world.add(name, world.nodes[name].site, names[:2])
    world.run_until(world.all_settled, 60 * SECOND, SECOND // 4)
    first_site = [name for name in names if world.nodes[name].site == "recife"]
    world.cut(first_site, [name for name in names if name not in first_site])
    world.run(60 * SECOND)
    world.heal()
    times["healed after 60 s"] = world.run_until(world.all_settled, 90 * SECOND, SECOND // 4)
    return times


def format_quantile(values: list[float | None], fraction: float) -> str:
    """The quantile in seconds, or "never" if it is None; the values are in tenths of a ms."""
    ordered = sorted(math.inf if value is None else value / SECOND for value in values)
    index = min(len(ordered) - 1, int(fraction * len(ordered)))
    return "never" if math.isinf(ordered[index]) else f"{ordered[index]:.1f}"


def measure_settling(quick: bool) -> None:
    rows = []
    for variant in VARIANTS:
        for count, seeds in ((12, 40), (48, 24), (100, 12), (300, 4)):
            if variant != "lilacwalk" and count > 100 or quick and count > 48:
                continue
            for loss in (0.0, 0.15) if count <= 100 else (0.0,):
                tasks = [(count, seed, loss, variant) for seed in range(seeds if not quick else 4)]
                with Pool(WORKERS) as pool:
                    results = pool.map(measure_settling_once, tasks, chunksize=1)
                row: dict[str, object] = {
                    "variant": variant,
                    "members": count,
                    "loss": f"{loss:.0%}",
                    "seeds": len(tasks),
                }
                for event in results[0]:
                    values = [times[event] for times in results]
                    row[event] = f"{format_quantile(values, 0.5)} / {format_quantile(values, 0.99)}"
                rows.append(row)
                print(row, flush=True)
    write_table(
        "settling time: median / 99th percentile, in probe intervals of 1 s",
        rows,
        "membership-settling",
    )


def measure_loss_once(task: tuple) -> tuple[float, int, int, float, float]:
    """Member-hours, refuted suspicions, false deaths, and datagrams and bytes per member and
    second."""
    count, seed, loss, variant, seconds = task
    world, names, _ = start_fleet(count, seed, variant, loss=loss, count_bytes=count <= 100)
    world.run(30 * SECOND)
    counts_before = [dict(node.membership.counts) for node in world.running_nodes()]
    sent_before = (
        sum(node.sent_count for node in world.running_nodes()),
        sum(node.sent_bytes for node in world.running_nodes()),
    )
    world.run(seconds * SECOND)
    nodes = world.running_nodes()
    refuted = sum(
        node.membership.counts["refutations"] - earlier.get("refutations", 0)
        for node, earlier in zip(nodes, counts_before, strict=True)
    )
    false_deaths = len(
        {
            (event.member, event.reported_by)
            for node in nodes
            for event in node.events
            if event.change == "dead" and event.at > 30 * SECOND
        }
    )
    hours = count * seconds / 3_600
    sent = (
        sum(node.sent_count for node in nodes) - sent_before[0],
        sum(node.sent_bytes for node in nodes) - sent_before[1],
    )
    return hours, refuted, false_deaths, sent[0] / count / seconds, sent[1] / count / seconds


def measure_loss(quick: bool) -> None:
    rows = []
    for variant in ("lilacwalk", "SWIM without Lifeguard"):
        for loss, hours in (
            (0.0, 20),
            (0.05, 50),
            (0.15, 1_000 if variant == "lilacwalk" else 50),
            (0.3, 50),
        ):
            if quick:
                hours = 8
            seconds = 3_000
            runs = max(1, math.ceil(hours * 3_600 / 24 / seconds))
            tasks = [(24, seed, loss, variant, seconds) for seed in range(runs)]
            with Pool(WORKERS) as pool:
                results = pool.map(measure_loss_once, tasks, chunksize=1)
            member_hours = sum(each[0] for each in results)
            rows.append(
                {
                    "variant": variant,
                    "members": 24,
                    "loss": f"{loss:.0%}",
                    "member-hours": round(member_hours),
                    "false suspicions per hour": round(
                        sum(each[1] for each in results) / member_hours, 2
                    ),
                    "false deaths": sum(each[2] for each in results),
                }
            )
            print(rows[-1], flush=True)
    write_table(
        "effect of datagram loss: refuted suspicions, running members that were declared dead",
        rows,
        "membership-loss",
    )


def measure_cost(quick: bool) -> None:
    rows = []
    for count in (10, 30, 100, 300, 1_000) if not quick else (10, 100):
        started = time.process_time()
        world, names, _ = start_fleet(count, 1, "lilacwalk", count_bytes=True)
        world.run(30 * SECOND)
        sent_before = (
            sum(node.sent_count for node in world.running_nodes()),
            sum(node.sent_bytes for node in world.running_nodes()),
        )
        measured_from, seconds = time.process_time(), 20
        for node in world.running_nodes():  # metrics change continuously, as under load
            node.membership.update_metadata(world.now, load_permille=500)
        world.run(seconds * SECOND)
        cpu_seconds = time.process_time() - measured_from
        datagrams = sum(node.sent_count for node in world.running_nodes()) - sent_before[0]
        sent_bytes = sum(node.sent_bytes for node in world.running_nodes()) - sent_before[1]
        rows.append(
            {
                "members": count,
                "datagrams per second": round(datagrams / count / seconds, 2),
                "bytes per second": round(sent_bytes / count / seconds),
                "CPU us per member-second": round(cpu_seconds * 1e6 / count / seconds),
                "total CPU s": round(time.process_time() - started, 1),
            }
        )
        print(rows[-1], flush=True)
    write_table(
        "cost of membership per member at a probe interval of 1 s, without failures",
        rows,
        "membership-cost",
    )


def measure_processes(quick: bool) -> None:
    from lilacwalk.testing.fleet import ProcessFleet

    rows = []
    for count in (6, 12, 24, 48) if not quick else (6, 12):
        times: dict[str, list[float]] = {}
        for seed in range(5 if not quick else 2):
            fleet = ProcessFleet(seed, 200)
            try:
                names = [f"n{number}" for number in range(count)]
                for number, name in enumerate(names):
                    fleet.add(name, SITES[number * 3 // count], names[:2])

                def record_time(
                    event: str, reached: Callable[[], bool], fleet=fleet, times=times
                ) -> None:
                    times.setdefault(event, []).append(fleet.wait(reached, 60, event))

                fleet.start(*names)
                record_time("join", fleet.settled)
                victim, third = names[-1], names[2 : 2 + count // 3]
                fleet.kill(victim)
                record_time(
                    "crash detected by all",
                    lambda fleet=fleet, victim=victim: are_declared_dead(fleet, [victim]),
                )
                fleet.start(victim)
                record_time("rejoined", fleet.settled)
                fleet.kill(*third)
                record_time(
                    "third detected by all",
                    lambda fleet=fleet, third=third: are_declared_dead(fleet, third),
                )
                fleet.start(*third)
                record_time("third rejoined", fleet.settled)
                first_site = [name for name in names if fleet.processes[name].site == "recife"]
                fleet.cut(first_site, [name for name in names if name not in first_site])
                time.sleep(12)
                fleet.heal()
                record_time("healed after 60 intervals", fleet.settled)
            finally:
                fleet.end()
        row: dict[str, object] = {"processes": count, "runs": len(times["join"])}
        for event, values in times.items():
            row[event] = f"{sorted(values)[len(values) // 2] * 5:.1f} / {max(values) * 5:.1f}"
        rows.append(row)
        print(row, flush=True)
    write_table(
        "settling time of real processes: median / max, in probe intervals of 200 ms",
        rows,
        "membership-processes",
    )


def are_declared_dead(fleet, names: list[str]) -> bool:
    """Whether all running members list these members as dead."""
    for view in fleet.all_views().values():
        if view is None:
            return False
        healths = {row["name"]: row["health"] for row in view["members"]}
        if any(healths.get(name) != "dead" for name in names):
            return False
    return True


def main() -> None:
    chosen = [word for word in sys.argv[1:] if not word.startswith("-")]
    quick = "--quick" in sys.argv
    parts = {
        "simulated": measure_settling,
        "loss": measure_loss,
        "cost": measure_cost,
        "processes": measure_processes,
    }
    for word in chosen or parts:
        parts[word](quick)
    print(f"peak memory {resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024} MB")


if __name__ == "__main__":
    main()
