"""Retry storms at an app server after an outage, with all defences, without each of them and
without any; and the clients of a lost third of twelve app servers, which turn to the others.

    python -m benchmarks.storms [silent|third] [--quick]

silent: one real app server; its stand-in executor has two cores that complete 100 requests per
second. 130 requests per second arrive from 40 clients and are attempted for six seconds each. The
process is killed at second 12 and back at second 22, with cold caches that make requests take three
times as long for five seconds; all clients reconnect at once. The run ends at second 62. Each run
has a process of its own, which contains the executor, and another one for the clients.

third: twelve real app servers at 75% load; four of them are killed at second 12 and started again
at second 30. The clients are divided among four processes. Measures the seconds to 0.9 of what the
eight remaining app servers can complete, and the largest share of all retry-after times that end
within one second."""

from __future__ import annotations

import sys
import time
from multiprocessing import Pool
from pathlib import Path

from benchmarks.table import Table, quantile
from lilacwalk.testing.executor import StandInExecutor
from lilacwalk.testing.fleet import ProcessFleet
from lilacwalk.testing.retrying_clients import ClientCounts, RetryBehaviour, RetryingClientsProcess

LOST_AT, BACK_AT, END = 12, 22, 62  # `silent`: seconds since the start
EXECUTION_TIME, CORES, REQUEST_RATE, CLIENTS = 0.02, 2, 130.0, 40
COLD_FACTOR, COLD_TIME = 3.0, 5.0
PARALLEL_RUNS = 3  # with three processes each, for a machine with eight cores
# Statements of the `storms` block; None: no block.
DEFENCES = {
    "none": None,
    "all": "",
    "no budget": "budget no",
    "no spread": "spread no",
    "no late-first": "late-first no",
}
BEHAVIOURS = {
    "honour retry-after": RetryBehaviour(),
    "ignore retry-after": RetryBehaviour(honours_retry_after=False, marks_retries=False),
}
THIRD_LOST_AT, THIRD_BACK_AT, THIRD_END = 12, 30, 50  # `third`: seconds since the start


def run_silent(task: tuple[str, str, int]) -> tuple:
    defence, behaviour, seed = task
    rig = ProcessFleet(seed, 500, "serve", has_store=False)
    try:
        server = rig.add("n0")
        statement = DEFENCES[defence]
        server.extra_statements = "" if statement is None else f"storms {{\n    {statement}\n}}\n"
        server.cpus = CORES
        cold_until = [0.0]
        executions = [0]

        def execution_time(class_name: str, body: bytes) -> float:
            executions[0] += 1
            return EXECUTION_TIME * (COLD_FACTOR if time.monotonic() < cold_until[0] else 1.0)

        server.executor = StandInExecutor(CORES, execution_time)
        rig.start("n0")
        rig.wait(lambda: "event=executor_up" in rig.log("n0"), 15, "executor connected")
        clients = RetryingClientsProcess(
            write_addresses(rig, ["n0"]), REQUEST_RATE, CLIENTS, BEHAVIOURS[behaviour], seed
        )
        counts = ClientCounts()
        try:
            clients.wait_until(LOST_AT)
            rig.kill("n0")
            write_addresses(rig, [])
            clients.wait_until(BACK_AT - 1)
            rig.start("n0", wait=False)
            rig.wait(
                lambda: rig.log("n0").count("event=executor_up") > 1, 15, "executor connected again"
            )
            clients.wait_until(BACK_AT)
            cold_until[0] = time.monotonic() + COLD_TIME
            write_addresses(rig, ["n0"])
            clients.wait_until(END + 7)
        finally:
            counts = clients.end()
        before = sum(counts.completed[at] for at in range(3, LOST_AT - 6)) / (LOST_AT - 9)
        shares = [counts.completed[at] / max(1.0, before) for at in range(END)]
        recovered_after = seconds_to_recover(shares, BACK_AT, END)
        requests = sum(counts.requests[at] for at in range(BACK_AT, END))
        attempts = sum(counts.attempts[at] for at in range(BACK_AT, END))
        completed = sum(counts.completed.values())
        return (
            behaviour,
            defence,
            seed,
            before,
            99.0 if recovered_after is None else float(recovered_after),
            min(mean(shares[at : at + 10]) for at in range(BACK_AT, END - 10)),
            mean(shares[BACK_AT:END]),
            attempts / max(1, requests),
            1 - completed / max(1, executions[0]),
            rig.log("n0").count("event=retry_storm_stage "),
        )
    finally:
        rig.end()


def write_addresses(rig: ProcessFleet, names: list[str]) -> Path:
    """Writes the file with the app servers that clients may connect to, and returns its path."""
    path = rig.directory / "addresses"
    new_path = rig.directory / "addresses.new"
    new_path.write_text("".join("{}:{}\n".format(*rig.address(name)) for name in names))
    new_path.rename(path)
    return path


def seconds_to_recover(
    shares: list[float], begin: int, end: int, level: float = 0.95
) -> int | None:
    """Returns the seconds from `begin` until the service has recovered; None if it has not.

    It has recovered when the mean of five seconds is at least `level` and no later mean of five
    seconds is below 0.85.
    """
    for at in range(begin, end - 8):
        if (
            mean(shares[at : at + 5]) >= level
            and min(mean(shares[later : later + 5]) for later in range(at, end - 5)) >= 0.85
        ):
            return at - begin
    return None


def run_third(task: tuple[str, bool, int]) -> tuple:
    """Runs with a defence; without `has_view`, the app servers have no `fleet` block."""
    defence, has_view, seed = task
    rig = ProcessFleet(seed, 200, "serve", has_store=False)
    names = [f"n{at}" for at in range(12)]
    try:
        for name in names:
            server = rig.add(name, seeds=names[:2])
            statement = DEFENCES[defence]
            server.extra_statements = (
                "" if statement is None else f"storms {{\n    {statement}\n}}\n"
            )
            server.cpus, server.max_retry_after_ms = 1, 5000.0
            server.executor = StandInExecutor(1, lambda class_name, body: EXECUTION_TIME)
        if not has_view:
            rig.write_operator_file = (  # type: ignore[method-assign]
                lambda each: each.operator_file_path.write_text(each.extra_statements)
            )
        rig.start(*names, wait=has_view)
        for name in names:
            rig.wait(
                lambda name=name: (rig.processes[name].directory / "log").exists()
                and "event=executor_up" in rig.log(name),
                20,
                "executor connected",
            )
        rate = 0.75 * len(names) / EXECUTION_TIME
        path = write_addresses(rig, names)
        client_processes = [
            RetryingClientsProcess(
                path, rate / 4, 60, BEHAVIOURS["honour retry-after"], 10 * seed + at
            )
            for at in range(4)
        ]
        try:
            client_processes[0].wait_until(THIRD_LOST_AT)
            rig.kill(*names[:4])
            for name in names[:4]:
                rig.processes[name].executor.end()
            write_addresses(rig, names[4:])
            client_processes[0].wait_until(THIRD_BACK_AT)
            for name in names[:4]:
                rig.processes[name].executor = StandInExecutor(
                    1, lambda class_name, body: EXECUTION_TIME
                )
            rig.start(*names[:4], wait=False)
            for name in names[:4]:
                rig.wait(
                    lambda name=name: rig.log(name).count("event=executor_up") > 1,
                    20,
                    "executor connected again",
                )
            write_addresses(rig, names)
            client_processes[0].wait_until(THIRD_END + 7)
        finally:
            all_counts = [clients.end() for clients in client_processes]
        completed = [sum(counts.completed[at] for counts in all_counts) for at in range(THIRD_END)]
        before = mean([float(count) for count in completed[3 : THIRD_LOST_AT - 1]])
        remaining_capacity = min(before, 8 / EXECUTION_TIME)
        shares = [count / remaining_capacity for count in completed]
        retry_after_times = [
            sum(counts.retry_after_times[at] for counts in all_counts)
            for at in range(10 * THIRD_BACK_AT)
        ]
        after_loss = retry_after_times[10 * THIRD_LOST_AT :]
        fullest = max(sum(after_loss[at : at + 10]) for at in range(len(after_loss) - 10))
        attempts = sum(
            counts.attempts[at]
            for counts in all_counts
            for at in range(THIRD_LOST_AT, THIRD_BACK_AT)
        )
        requests = sum(
            counts.requests[at]
            for counts in all_counts
            for at in range(THIRD_LOST_AT, THIRD_BACK_AT)
        )
        recovered_after = seconds_to_recover(shares, THIRD_LOST_AT, THIRD_BACK_AT + 3, 0.9)
        return (
            "with" if has_view else "without",
            defence,
            seed,
            before,
            99.0 if recovered_after is None else float(recovered_after),
            mean(shares[THIRD_LOST_AT + 3 : THIRD_BACK_AT]),
            fullest / max(1, sum(after_loss)),
            attempts / max(1, requests),
            mean([count / before for count in completed[THIRD_BACK_AT + 5 : THIRD_END]]),
        )
    finally:
        rig.end()


def mean(values: list[float]) -> float:
    return sum(values) / max(1, len(values))


def summarise_seeds(rows: list[tuple], keys: int) -> list[tuple]:
    """Returns a row for each combination of the first `keys` cells, in the order of first rows.

    It has the number of seeds and, of each figure, the median over the seeds and the range.
    """
    groups: dict[tuple, list[tuple]] = {}
    for row in rows:
        groups.setdefault(row[:keys], []).append(row[keys + 1 :])
    summary = []
    for key, figures in groups.items():
        cells = []
        for values in zip(*figures, strict=True):
            low, high = min(values), max(values)
            cells.append(f"{quantile(list(values), 0.5):.3g} ({low:.3g} to {high:.3g})")
        summary.append((*key, len(figures), *cells))
    return summary


def main() -> None:
    words = [word for word in sys.argv[1:] if not word.startswith("-")] or ["silent", "third"]
    seeds = (1,) if "--quick" in sys.argv else (1, 2, 3)
    if "silent" in words:
        tasks = [
            (defence, behaviour, seed)
            for behaviour in BEHAVIOURS
            for defence in DEFENCES
            for seed in seeds
        ]
        with Pool(PARALLEL_RUNS, maxtasksperchild=1) as pool:
            rows = pool.map(run_silent, tasks, chunksize=1)
        table = Table("storms")
        table.rows(
            "an app server silent for 10 s, at 130% load, back with cold caches, all clients at "
            "once: median (range) over seeds; 99: never",
            (
                "clients",
                "defence",
                "runs",
                "completed per second before",
                "seconds to a lasting 0.95 of before",
                "worst 10 s",
                "mean after the return",
                "attempts per request",
                "wasted executions",
                "stage changes",
            ),
            summarise_seeds(rows, 2),
        )
        table.write()
    if "third" in words:
        third_tasks = [
            (defence, has_view, seed)
            for defence in ("none", "all")
            for has_view in (True, False)
            for seed in seeds
        ]
        rows = [run_third(task) for task in third_tasks]
        table = Table("storms-third")
        table.rows(
            "a third of twelve app servers killed at 75% load, their clients turn to the others: "
            "median (range) over seeds; 99: never",
            (
                "view of the fleet",
                "defence",
                "runs",
                "completed per second before",
                "seconds to 0.9 of the remaining capacity",
                "mean share of that capacity",
                "largest share of retry-after times ending in one second",
                "attempts per request",
                "mean after the return",
            ),
            summarise_seeds(rows, 2),
        )
        table.write()


if __name__ == "__main__":
    main()
