"""A storm of retries at a node that was silent: with each defence, without each, and without all. And the
callers of a third of twelve nodes, which fall upon the rest.

    python -m benchmarks.storms [silent|third] [--quick]

silent: one real app server, two stand-in cores that finish 100 exchanges a second; wishes at 130 a second
from 40 callers, each tried for six seconds. The process is killed in the 12th second and back in the 22nd,
with caches that cost three times the work for five seconds; all callers come at once. Watched to the 62nd.
Each play has a process of its own, with the kernel in it, and one for the crowd.

third: twelve real app servers at 75% of their cores, four of them killed in the 12th second and back in the
30th; four crowds, a process each. Seconds to 0.95 of what the eight that are left can finish, and how much of
all come-back times that were told lies in the fullest second."""

from __future__ import annotations

import sys
import time
from multiprocessing import Pool
from pathlib import Path

from benchmarks.table import Table, quantile
from lilacwalk.testing.executor import StandInExecutor
from lilacwalk.testing.fleet import ProcessFleet
from lilacwalk.testing.retrying_clients import ClientCounts, RetryBehaviour, RetryingClientsProcess

LOST, BACK, END = 12, 22, 62
WORK, CORES, RATE, CALLERS = 0.02, 2, 130.0, 40
COLD, COLD_TIME = 3.0, 5.0
AT_ONCE = 3  # plays at once, each with three processes: the machine has eight cores
FORMS = {
    "none (as before)": None,
    "all": "",
    "no budget": "budget no",
    "no spread": "spread no",
    "no late-first": "late-first no",
}
HABITS = {
    "heed": RetryBehaviour(),
    "heed nothing": RetryBehaviour(honours_retry_after=False, marks_retries=False),
}
THIRD, BACK_AGAIN, WATCHED = 12, 30, 50


def silent(task: tuple[str, str, int]) -> tuple:
    form, habit, seed = task
    rig = ProcessFleet(seed, 500, "serve", store=False)
    try:
        server = rig.add("n0")
        words = FORMS[form]
        server.extra = "" if words is None else f"storms {{\n    {words}\n}}\n"
        server.cpus = CORES
        cold_until = [0.0]
        runs = [0]

        def work(group: str, body: bytes) -> float:
            runs[0] += 1
            return WORK * (COLD if time.monotonic() < cold_until[0] else 1.0)

        server.executor = StandInExecutor(CORES, work)
        rig.start("n0")
        rig.wait(lambda: "event=executor_up" in rig.log("n0"), 15, "up")
        crowd = RetryingClientsProcess(addresses(rig, ["n0"]), RATE, CALLERS, HABITS[habit], seed)
        got = ClientCounts()
        try:
            crowd.wait_until(LOST)
            rig.kill("n0")
            addresses(rig, [])
            crowd.wait_until(BACK - 1)
            rig.start("n0", wait=False)
            rig.wait(lambda: rig.log("n0").count("event=executor_up") > 1, 15, "up again")
            crowd.wait_until(BACK)
            cold_until[0] = time.monotonic() + COLD_TIME
            addresses(rig, ["n0"])
            crowd.wait_until(END + 7)
        finally:
            got = crowd.end()
        before = sum(got.completed[at] for at in range(3, LOST - 6)) / (LOST - 9)
        series = [got.completed[at] / max(1.0, before) for at in range(END)]
        steady = staying(series, BACK, END)
        asked = sum(got.requests[at] for at in range(BACK, END))
        tries = sum(got.attempts[at] for at in range(BACK, END))
        done = sum(got.completed.values())
        return (
            habit,
            form,
            seed,
            before,
            99.0 if steady is None else float(steady),
            min(mean(series[at : at + 10]) for at in range(BACK, END - 10)),
            mean(series[BACK:END]),
            tries / max(1, asked),
            1 - done / max(1, runs[0]),
            rig.log("n0").count("event=retry_storm_stage "),
        )
    finally:
        rig.end()


def addresses(rig: ProcessFleet, names: list[str]) -> Path:
    path = rig.directory / "addresses"
    new = rig.directory / "addresses.new"
    new.write_text("".join("{}:{}\n".format(*rig.address(name)) for name in names))
    new.rename(path)
    return path


def staying(series: list[float], begin: int, end: int, level: float = 0.95) -> int | None:
    """Seconds until five in a row are at the level, and none after them falls under 0.85."""
    for at in range(begin, end - 8):
        if (
            mean(series[at : at + 5]) >= level
            and min(mean(series[then : then + 5]) for then in range(at, end - 5)) >= 0.85
        ):
            return at - begin
    return None


def third(task: tuple[str, bool, int]) -> tuple:
    """Storms on or off, with the view of the fleet or without."""
    form, view, seed = task
    rig = ProcessFleet(seed, 200, "serve", store=False)
    names = [f"n{at}" for at in range(12)]
    try:
        for name in names:
            server = rig.add(name, seeds=names[:2])
            words = FORMS[form]
            server.extra = "" if words is None else f"storms {{\n    {words}\n}}\n"
            server.cpus, server.max_retry_after_ms = 1, 5000.0
            server.executor = StandInExecutor(1, lambda group, body: WORK)
        if not view:
            rig.write = lambda each: each.file.write_text(each.extra)  # type: ignore[method-assign]
        rig.start(*names, wait=view)
        for name in names:
            rig.wait(
                lambda name=name: (rig.processes[name].directory / "log").exists()
                and "event=executor_up" in rig.log(name),
                20,
                "up",
            )
        rate = 0.75 * len(names) / WORK
        path = addresses(rig, names)
        crowds = [
            RetryingClientsProcess(path, rate / 4, 60, HABITS["heed"], 10 * seed + at)
            for at in range(4)
        ]
        try:
            crowds[0].wait_until(THIRD)
            rig.kill(*names[:4])
            for name in names[:4]:
                rig.processes[name].executor.end()
            addresses(rig, names[4:])
            crowds[0].wait_until(BACK_AGAIN)
            for name in names[:4]:
                rig.processes[name].executor = StandInExecutor(1, lambda group, body: WORK)
            rig.start(*names[:4], wait=False)
            for name in names[:4]:
                rig.wait(
                    lambda name=name: rig.log(name).count("event=executor_up") > 1, 20, "up again"
                )
            addresses(rig, names)
            crowds[0].wait_until(WATCHED + 7)
        finally:
            found = [crowd.end() for crowd in crowds]
        completed = [sum(got.completed[at] for got in found) for at in range(WATCHED)]
        before = mean([float(count) for count in completed[3 : THIRD - 1]])
        can = min(before, 8 / WORK)
        left = [count / can for count in completed]
        told = [sum(got.retry_after_times[at] for got in found) for at in range(10 * BACK_AGAIN)]
        after = told[10 * THIRD :]
        fullest = max(sum(after[at : at + 10]) for at in range(len(after) - 10))
        tries = sum(got.attempts[at] for got in found for at in range(THIRD, BACK_AGAIN))
        wished = sum(got.requests[at] for got in found for at in range(THIRD, BACK_AGAIN))
        taken = staying(left, THIRD, BACK_AGAIN + 3, 0.9)
        return (
            "with" if view else "without",
            form,
            seed,
            before,
            99.0 if taken is None else float(taken),
            mean(left[THIRD + 3 : BACK_AGAIN]),
            fullest / max(1, sum(after)),
            tries / max(1, wished),
            mean([count / before for count in completed[BACK_AGAIN + 5 : WATCHED]]),
        )
    finally:
        rig.end()


def mean(values: list[float]) -> float:
    return sum(values) / max(1, len(values))


def middle(rows: list[tuple], keys: int) -> list[tuple]:
    """Over the seeds: median and, in brackets, the worst of each figure, in the order of first rows."""
    groups: dict[tuple, list[tuple]] = {}
    for row in rows:
        groups.setdefault(row[:keys], []).append(row[keys + 1 :])
    made = []
    for key, found in groups.items():
        cells = []
        for values in zip(*found, strict=True):
            low, high = min(values), max(values)
            cells.append(f"{quantile(list(values), 0.5):.3g} ({low:.3g} to {high:.3g})")
        made.append((*key, len(found), *cells))
    return made


def main() -> None:
    words = [word for word in sys.argv[1:] if not word.startswith("-")] or ["silent", "third"]
    seeds = (1,) if "--quick" in sys.argv else (1, 2, 3)
    if "silent" in words:
        tasks = [(form, habit, seed) for habit in HABITS for form in FORMS for seed in seeds]
        with Pool(AT_ONCE, maxtasksperchild=1) as pool:
            rows = pool.map(silent, tasks, chunksize=1)
        table = Table("storms")
        table.rows(
            "a node silent for 10 s at 130% of its cores, back cold, all callers at once: median "
            "(range) over seeds; 99: never",
            (
                "callers",
                "defence",
                "plays",
                "completed a second before",
                "seconds to 0.95, staying",
                "worst 10 s",
                "mean after",
                "tries a wish",
                "wasted runs",
                "changes of stage",
            ),
            middle(rows, 2),
        )
        table.write()
    if "third" in words:
        tasks_ = [
            (form, view, seed)
            for form in ("none (as before)", "all")
            for view in (True, False)
            for seed in seeds
        ]
        rows = [third(task) for task in tasks_]
        table = Table("storms-third")
        table.rows(
            "a third of twelve nodes killed at 75%, their callers fall upon the rest: median (range) "
            "over seeds; 99: never",
            (
                "view",
                "defence",
                "plays",
                "completed a second before",
                "seconds to 0.9 of what is left",
                "mean of that",
                "told for the fullest second",
                "tries a wish",
                "mean when back",
            ),
            middle(rows, 2),
        )
        table.write()


if __name__ == "__main__":
    main()
