"""Cost of fleet membership for an app server, and effect of the limit on withdrawals, with real
processes.

    python -m benchmarks.fleet_server [cost|floor]

cost: memory, CPU and response time of an app server without fleet membership, and as one of 4 and
of 24 members, under the same load.
floor: the executors of eight of twelve announcing app servers end at the same time. Counts how many
of the twelve are withdrawn at once, with and without `withdraw-share`."""

from __future__ import annotations

import os
import sys
import time
from pathlib import Path

from benchmarks.table import Table, quantile
from lilacwalk.testing.fleet import ProcessFleet
from lilacwalk.testing.proxy_client import ProxyClient
from lilacwalk.testing.site_outage import Outage

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def process_usage(pid: int) -> tuple[float, float]:
    """Resident memory in MB and CPU time in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")")[1].split()
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6, (
        int(fields[11]) + int(fields[12])
    ) / TICKS_PER_SECOND


def measure_load(
    fleet: ProcessFleet, name: str, seconds: float, rate: float
) -> tuple[float, float, float, float]:
    """Memory in MB, CPU ms per request, and the median and 99th percentile of the response time in
    ms."""
    line = next(line for line in fleet.log(name).splitlines() if "event=started" in line)
    host, port = line.split("listen=")[1].split()[0].split(":")
    proxy_client = ProxyClient((host, int(port)))
    pid = fleet.processes[name].popen.pid
    _, cpu_before = process_usage(pid)
    response_times, count, due_at = [], int(seconds * rate), time.monotonic()
    tags = []
    for _ in range(count):
        due_at += 1 / rate
        time.sleep(max(0.0, due_at - time.monotonic()))
        tags.append(proxy_client.send_request("look"))
    for tag in tags:
        answered_at, _, _ = proxy_client.answer(tag)
        response_times.append((answered_at - proxy_client.sent_at[tag]) * 1000)
    megabytes, cpu_after = process_usage(pid)
    proxy_client.end()
    return (
        megabytes,
        (cpu_after - cpu_before) * 1000 / count,
        quantile(response_times, 0.5),
        quantile(response_times, 0.99),
    )


def measure_cost(table: Table) -> None:
    rows = []
    for label, members in (("no fleet", 1), ("fleet of 4", 4), ("fleet of 24", 24)):
        runs = []
        for seed in range(3):
            fleet = ProcessFleet(seed, 1_000, "serve")
            try:
                for number in range(members):
                    fleet.add(f"n{number}", seeds=["n0"])
                if members == 1:
                    fleet.write_operator_file = (  # type: ignore[method-assign]
                        lambda each: each.operator_file_path.write_text("")
                    )
                    fleet.start("n0", wait=False)
                    log = fleet.processes["n0"].directory / "log"
                    fleet.wait(
                        lambda fleet=fleet, log=log: log.exists()
                        and "event=executor_up" in fleet.log("n0"),
                        15,
                        "the executor is connected",
                    )
                else:
                    fleet.start(*fleet.processes)
                    fleet.wait(fleet.settled, 40, "the views are settled")
                runs.append(measure_load(fleet, "n0", 6.0, 150.0))
            finally:
                fleet.end()
        rows.append((label, *(sorted(values)[1] for values in zip(*runs, strict=True))))
    table.rows(
        "one app server at 150 requests per second, probe interval 1 s: median of three runs",
        ("case", "MB", "CPU ms per request", "median ms", "99th percentile ms"),
        rows,
    )


def measure_floor(table: Table) -> None:
    rows = []
    for label, withdraw_share, partitioned in (
        ("no limit", "1.0", False),
        ("withdraw-share 0.34", "0.34", False),
        ("withdraw-share 0.34, fleet partitioned", "0.34", True),
    ):
        for seed in (1, 2, 3):
            outage = Outage(has_plan=False, seed=seed, load=0.05)
            write = outage.process_fleet.write_operator_file

            def write_with_share(process, write=write, withdraw_share=withdraw_share) -> None:
                write(process)
                text = process.operator_file_path.read_text()
                process.operator_file_path.write_text(
                    text.replace("fleet {", f"fleet {{\n    withdraw-share {withdraw_share}", 1)
                )

            outage.process_fleet.write_operator_file = write_with_share  # type: ignore[method-assign]
            try:
                outage.start()
                names = list(outage.process_fleet.processes)
                if partitioned:
                    outage.process_fleet.cut(names[:6], names[6:])
                    time.sleep(5.0)
                failed = names[:4] + names[6:10]
                for name in failed:
                    outage.process_fleet.processes[name].executor.end()
                max_withdrawn, end_at = 0, time.monotonic() + 8.0
                while time.monotonic() < end_at:
                    max_withdrawn = max(
                        max_withdrawn, sum(not router.routes for router in outage.routers.values())
                    )
                    time.sleep(0.02)
                rows.append((label, seed, len(failed), max_withdrawn))
                print(rows[-1], flush=True)
            finally:
                outage.end()
    table.rows(
        "twelve announcing app servers, the executors of eight end at once: max withdrawn",
        ("case", "seed", "failed executors", "withdrawn"),
        rows,
    )


def main() -> None:
    words = sys.argv[1:] or ["cost", "floor"]
    for word in words:
        table = Table(f"fleet-server-{word}")
        {"cost": measure_cost, "floor": measure_floor}[word](table)
        table.write()


if __name__ == "__main__":
    main()
