"""How the view of the fleet settles, what loss does to it and what it costs: in simulated time, with real
processes, and against plainer forms with the same seeds.

    python -m benchmarks.membership [simulated|loss|processes|cost|floor] [--quick]
"""

from __future__ import annotations

import math
import resource
import sys
import time
from collections.abc import Callable
from multiprocessing import Pool

from benchmarks.table import Table
from lilacwalk.emulator.datagrams import World
from lilacwalk.membership.failure_detector import FailureDetector, with_report
from lilacwalk.membership.member import Member
from lilacwalk.membership.messages import Health, MessageType
from lilacwalk.membership.state_exchange import StateExchange
from lilacwalk.membership.swim import Membership

SECOND = 10_000
SITES = ("recife", "natal", "caruaru")
PROCESSES = 6  # of this measurement at once


class PlainFailureDetector(FailureDetector):
    """SWIM's: no notices, no direct broadcast, no probes of suspects, no confirmations."""

    def suspicion_notice(self, member: Member) -> tuple:
        return ()

    def send_update_to_sample(self, update) -> None:
        return

    def probe_suspects(self, now: int) -> None:
        return


class Plain(Membership):
    """SWIM without Lifeguard and without what was added: no health multiplier, no confirmations."""

    failure_detector_type = PlainFailureDetector

    def tick(self, now: int) -> None:
        self.probes.health_multiplier = 0
        for suspicion in self.failure_detector.suspicions.values():
            suspicion.reporters = {next(iter(sorted(suspicion.reporters)))}
            suspicion.max_timeout = 2 * suspicion.min_timeout
        super().tick(now)


class NoStateExchange(StateExchange):
    def request_from_differing(self, now: int) -> None:
        return


class NoState(Membership):
    """Without the exchange of full state among members that differ; joining still needs one."""

    state_exchange_type = NoStateExchange


class NoProbes(FailureDetector):
    def advance_probes(self, now: int) -> None:
        return


class Heartbeat(Membership):
    """All to all: a ping to every member in each interval, dead after five of silence, told to nobody."""

    failure_detector_type = NoProbes

    def _protocol_round(self, now: int) -> None:
        self.probes.next_round_at = now + self.interval
        for peer in self.node.peers():
            self.node.send(peer.address, MessageType.PING, self.probes.next_sequence())
            if peer.last_heard and now - peer.last_heard > 5 * self.interval:
                update = with_report(peer.update(False), self.name, Health.DEAD)
                self._apply_update(update, now, "silent")
        self.joining.attempt(now)


FORMS = {
    "ours": Membership,
    "without whole state": NoState,
    "SWIM without Lifeguard": Plain,
    "heartbeat to all": Heartbeat,
}


def show(title: str, rows: list[dict[str, object]], name: str) -> None:
    table = Table(name)
    table.rows(title, tuple(rows[0]), [tuple(row.values()) for row in rows])
    table.write()


def fleet(count: int, seed: int, form: str, **more) -> tuple[World, list[str], int | None]:
    world = World(seed, machine=FORMS[form], **more)
    names = [f"n{at}" for at in range(count)]
    for at, name in enumerate(names):
        world.add(name, SITES[at * 3 // count], seeds=names[: min(at, 2)])
    return world, names, world.run_until(world.all_settled, 120 * SECOND, SECOND // 4)


def one_settling(task: tuple) -> dict[str, float | None]:
    count, seed, loss, form = task
    world, names, joined = fleet(count, seed, form, loss=loss)
    found: dict[str, float | None] = {"join": joined}
    world.run(20 * SECOND)
    rng = world.rng
    victim = rng.choice(names[2:])
    world.kill(victim)
    found["crash to all"] = world.run_until(
        lambda: world.absent_from_all_views(victim), 60 * SECOND
    )
    world.add(victim, world.nodes[victim].site, names[:2])
    found["back"] = world.run_until(world.all_settled, 60 * SECOND, SECOND // 4)
    third = rng.sample(names[2:], count // 3)
    for name in third:
        world.kill(name)
    found["third to all"] = world.run_until(
        lambda: world.absent_from_all_views(*third), 90 * SECOND
    )
    for name in third:
        world.add(name, world.nodes[name].site, names[:2])
    world.run_until(world.all_settled, 60 * SECOND, SECOND // 4)
    recife = [name for name in names if world.nodes[name].site == "recife"]
    world.cut(recife, [name for name in names if name not in recife])
    world.run(60 * SECOND)
    world.heal()
    found["healed after 60 s"] = world.run_until(world.all_settled, 90 * SECOND, SECOND // 4)
    return found


def quantile(values: list[float | None], share: float) -> str:
    rows = sorted(math.inf if value is None else value / SECOND for value in values)
    at = min(len(rows) - 1, int(share * len(rows)))
    return "never" if math.isinf(rows[at]) else f"{rows[at]:.1f}"


def simulated(quick: bool) -> None:
    rows = []
    for form in FORMS:
        for count, seeds in ((12, 40), (48, 24), (100, 12), (300, 4)):
            if form != "ours" and count > 100 or quick and count > 48:
                continue
            for loss in (0.0, 0.15) if count <= 100 else (0.0,):
                tasks = [(count, seed, loss, form) for seed in range(seeds if not quick else 4)]
                with Pool(PROCESSES) as pool:
                    found = pool.map(one_settling, tasks, chunksize=1)
                row: dict[str, object] = {
                    "form": form,
                    "members": count,
                    "loss": f"{loss:.0%}",
                    "seeds": len(tasks),
                }
                for what in found[0]:
                    values = [each[what] for each in found]
                    row[what] = f"{quantile(values, 0.5)} / {quantile(values, 0.99)}"
                rows.append(row)
                print(row, flush=True)
    show(
        "settling: median / 99th percentile, in probe intervals of 1 s", rows, "membership-settling"
    )


def one_loss(task: tuple) -> tuple[float, int, int, float, float]:
    count, seed, loss, form, seconds = task
    world, names, _ = fleet(count, seed, form, loss=loss, count_bytes=count <= 100)
    world.run(30 * SECOND)
    before = [dict(node.machine.counts) for node in world.up()]
    sent = sum(node.sent for node in world.up()), sum(node.sent_bytes for node in world.up())
    world.run(seconds * SECOND)
    nodes = world.up()
    suspected = sum(
        node.machine.counts["refutations"] - was.get("refutations", 0)
        for node, was in zip(nodes, before, strict=True)
    )
    dead = len(
        {
            (event.member, event.reported_by)
            for node in nodes
            for event in node.events
            if event.change == "dead" and event.at > 30 * SECOND
        }
    )
    hours = count * seconds / 3_600
    total = (
        sum(node.sent for node in nodes) - sent[0],
        sum(node.sent_bytes for node in nodes) - sent[1],
    )
    return hours, suspected, dead, total[0] / count / seconds, total[1] / count / seconds


def losses(quick: bool) -> None:
    rows = []
    for form in ("ours", "SWIM without Lifeguard"):
        for loss, hours in (
            (0.0, 20),
            (0.05, 50),
            (0.15, 1_000 if form == "ours" else 50),
            (0.3, 50),
        ):
            if quick:
                hours = 8
            seconds = 3_000
            plays = max(1, math.ceil(hours * 3_600 / 24 / seconds))
            tasks = [(24, seed, loss, form, seconds) for seed in range(plays)]
            with Pool(PROCESSES) as pool:
                found = pool.map(one_loss, tasks, chunksize=1)
            total = sum(each[0] for each in found)
            rows.append(
                {
                    "form": form,
                    "members": 24,
                    "loss": f"{loss:.0%}",
                    "member-hours": round(total),
                    "false suspicions an hour": round(sum(each[1] for each in found) / total, 2),
                    "false deaths": sum(each[2] for each in found),
                }
            )
            print(rows[-1], flush=True)
    show(
        "what loss does: suspicions refuted, deaths declared of members that live",
        rows,
        "membership-loss",
    )


def cost(quick: bool) -> None:
    rows = []
    for count in (10, 30, 100, 300, 1_000) if not quick else (10, 100):
        started = time.process_time()
        world, names, _ = fleet(count, 1, "ours", count_bytes=True)
        world.run(30 * SECOND)
        sent = sum(node.sent for node in world.up()), sum(node.sent_bytes for node in world.up())
        began, seconds = time.process_time(), 20
        for node in world.up():  # figures change all the time, as under load
            node.machine.update_metadata(world.now, load_permille=500)
        world.run(seconds * SECOND)
        spent = time.process_time() - began
        datagrams = sum(node.sent for node in world.up()) - sent[0]
        in_bytes = sum(node.sent_bytes for node in world.up()) - sent[1]
        rows.append(
            {
                "members": count,
                "datagrams a second": round(datagrams / count / seconds, 2),
                "bytes a second": round(in_bytes / count / seconds),
                "us CPU a member-second": round(spent * 1e6 / count / seconds),
                "whole s": round(time.process_time() - started, 1),
            }
        )
        print(rows[-1], flush=True)
    show(
        "what the view costs a member at a probe interval of 1 s, nothing failing",
        rows,
        "membership-cost",
    )


def processes(quick: bool) -> None:
    from lilacwalk.testing.fleet import ProcessFleet

    rows = []
    for count in (6, 12, 24, 48) if not quick else (6, 12):
        times: dict[str, list[float]] = {}
        for seed in range(5 if not quick else 2):
            rig = ProcessFleet(seed, 200)
            try:
                names = [f"n{at}" for at in range(count)]
                for at, name in enumerate(names):
                    rig.add(name, SITES[at * 3 // count], names[:2])

                def took(what: str, reached: Callable[[], bool], rig=rig, times=times) -> None:
                    times.setdefault(what, []).append(rig.wait(reached, 60, what))

                rig.start(*names)
                took("join", rig.settled)
                one, third = names[-1], names[2 : 2 + count // 3]
                rig.kill(one)
                took("crash to all", lambda rig=rig, one=one: all_dead(rig, [one]))
                rig.start(one)
                took("back", rig.settled)
                rig.kill(*third)
                took("third to all", lambda rig=rig, third=third: all_dead(rig, third))
                rig.start(*third)
                took("third back", rig.settled)
                recife = [name for name in names if rig.processes[name].site == "recife"]
                rig.cut(recife, [name for name in names if name not in recife])
                time.sleep(12)
                rig.heal()
                took("healed after 60 intervals", rig.settled)
            finally:
                rig.end()
        row: dict[str, object] = {"processes": count, "plays": len(times["join"])}
        for what, values in times.items():
            row[what] = f"{sorted(values)[len(values) // 2] * 5:.1f} / {max(values) * 5:.1f}"
        rows.append(row)
        print(row, flush=True)
    show(
        "settling of real processes: median / most, in probe intervals of 200 ms",
        rows,
        "membership-processes",
    )


def all_dead(rig, gone: list[str]) -> bool:
    for shown in rig.all_shown().values():
        if shown is None:
            return False
        healths = {row["name"]: row["health"] for row in shown["members"]}
        if any(healths.get(name) != "dead" for name in gone):
            return False
    return True


def main() -> None:
    words = [word for word in sys.argv[1:] if not word.startswith("-")]
    quick = "--quick" in sys.argv
    parts = {"simulated": simulated, "loss": losses, "cost": cost, "processes": processes}
    for word in words or parts:
        parts[word](quick)
    print(f"peak memory {resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024} MB")


if __name__ == "__main__":
    main()
