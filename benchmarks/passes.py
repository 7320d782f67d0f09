"""Time of an event loop iteration, with and without the options that an operator may enable.

    python -m benchmarks.passes

One real app server under the same load, 150 requests per second, half of them with an effect. The
process itself measures the times (`testing/process_launcher.py`)."""

from __future__ import annotations

import time
from pathlib import Path

from benchmarks.table import Table, quantile
from lilacwalk.testing.fleet import ProcessFleet
from lilacwalk.testing.proxy_client import ProxyClient

RATE, SECONDS = 150.0, 8.0  # requests per second, and duration of the load
# lines of the operator file, by the name of the case
OPERATOR_LINES = {
    "no options": "",
    "store, synced": "store {{\n    directory {directory}/kept\n}}\n",
    "store, flushed": "store {{\n    directory {directory}/kept\n    durability flushed\n}}\n",
    "storms": "storms {{\n    retries 0.1\n}}\n",
}


def measure_iterations(name: str, seed: int, members: int) -> list[float]:
    """The times of the iterations in microseconds; without `members`, the server is in no fleet."""
    fleet = ProcessFleet(seed, 1_000, "serve", has_store=False)
    try:
        for number in range(max(1, members)):
            fleet.add(f"n{number}", seeds=["n0"])
        server = fleet.processes["n0"]
        server.iteration_times_path = server.directory / "passes"
        server.extra_statements = OPERATOR_LINES[name].format(directory=server.directory)
        if not members:
            fleet.write_operator_file = (  # type: ignore[method-assign]
                lambda each: each.operator_file_path.write_text(each.extra_statements)
            )
        fleet.start(*fleet.processes, wait=bool(members))
        fleet.wait(
            lambda: (server.directory / "log").exists() and "event=executor_up" in fleet.log("n0"),
            15,
            "the executor is connected",
        )
        if members:
            fleet.wait(fleet.settled, 40, "the views are settled")
        proxy_client, due_at = ProxyClient(fleet.address("n0")), time.monotonic()
        tags = []
        for number in range(int(RATE * SECONDS)):
            due_at += 1 / RATE
            time.sleep(max(0.0, due_at - time.monotonic()))
            class_name, fields = ("swap", {"k": f"k{number}"}) if number % 2 else ("look", {})
            tags.append(proxy_client.send_request(class_name, b"%d" % number, **fields))
        for tag in tags:
            proxy_client.answer(tag)
        proxy_client.end()
        fleet.leave("n0")
        return [float(line) for line in Path(server.iteration_times_path).read_text().split()]
    finally:
        fleet.end()


def main() -> None:
    rows = []
    for name, members in [(name, 0) for name in OPERATOR_LINES] + [
        ("no options", 4),
        ("no options", 24),
    ]:
        runs = [measure_iterations(name, seed, members) for seed in range(2)]
        best = min(runs, key=lambda times: quantile(times, 0.99))
        rows.append(
            (
                f"fleet of {members}" if members else name,
                len(best),
                quantile(best, 0.5),
                quantile(best, 0.99),
                max(best),
            )
        )
        print(rows[-1], flush=True)
    table = Table("passes")
    table.rows(
        "event loop iteration at 150 requests per second: the better of two runs",
        ("options", "iterations", "median us", "99th percentile us", "max us"),
        rows,
    )
    table.write()


if __name__ == "__main__":
    main()
