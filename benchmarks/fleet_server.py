"""What the view costs an app server, and what the floor holds, with real processes.

    python -m benchmarks.fleet_server [cost|floor]

cost: an app server alone, and one of four with a view, under the same load: memory, CPU, response time.
floor: twelve app servers that announce; eight lose their kernels in one instant: how many are withdrawn."""

from __future__ import annotations

import os
import sys
import time
from pathlib import Path

from benchmarks.table import Table, quantile
from lilacwalk.testing.fleet import ProcessFleet
from lilacwalk.testing.proxy_client import ProxyClient
from lilacwalk.testing.site_outage import Outage

TICKS = os.sysconf("SC_CLK_TCK")


def usage(pid: int) -> tuple[float, float]:
    """Resident MB, CPU seconds."""
    words = Path(f"/proc/{pid}/stat").read_text().rsplit(")")[1].split()
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6, (int(words[11]) + int(words[12])) / TICKS


def loaded(
    rig: ProcessFleet, name: str, seconds: float, rate: float
) -> tuple[float, float, float, float]:
    """MB, CPU ms an exchange, and response time in ms: median and 99th."""
    line = next(line for line in rig.log(name).splitlines() if "event=started" in line)
    host, port = line.split("listen=")[1].split()[0].split(":")
    proxy_client = ProxyClient((host, int(port)))
    pid = rig.processes[name].popen.pid
    _, before = usage(pid)
    times, count, due = [], int(seconds * rate), time.monotonic()
    asked = []
    for _ in range(count):
        due += 1 / rate
        time.sleep(max(0.0, due - time.monotonic()))
        asked.append(proxy_client.ask("look"))
    for tag in asked:
        at, _, _ = proxy_client.answer(tag)
        times.append((at - proxy_client.asked[tag]) * 1000)
    megabytes, after = usage(pid)
    proxy_client.end()
    return megabytes, (after - before) * 1000 / count, quantile(times, 0.5), quantile(times, 0.99)


def cost(table: Table) -> None:
    rows = []
    for what, members in (("no view", 1), ("view of 4", 4), ("view of 24", 24)):
        found = []
        for turn in range(3):
            rig = ProcessFleet(turn, 1_000, "serve")
            try:
                for at in range(members):
                    rig.add(f"n{at}", seeds=["n0"])
                if members == 1:
                    rig.write = lambda each: each.file.write_text("")  # type: ignore[method-assign]
                    rig.start("n0", wait=False)
                    log = rig.processes["n0"].directory / "log"
                    rig.wait(
                        lambda rig=rig, log=log: log.exists()
                        and "event=executor_up" in rig.log("n0"),
                        15,
                        "up",
                    )
                else:
                    rig.start(*rig.processes)
                    rig.wait(rig.settled, 40, "settled")
                found.append(loaded(rig, "n0", 6.0, 150.0))
            finally:
                rig.end()
        rows.append((what, *(sorted(each)[1] for each in zip(*found, strict=True))))
    table.rows(
        "one app server at 150 exchanges a second, probe interval 1 s: median of three",
        ("with", "MB", "CPU ms an exchange", "response ms", "99th ms"),
        rows,
    )


def floor(table: Table) -> None:
    rows = []
    for what, share, split in (
        ("no floor", "1.0", False),
        ("floor of 0.34", "0.34", False),
        ("floor of 0.34, fleet cut in two", "0.34", True),
    ):
        for seed in (1, 2, 3):
            made = Outage(plan=False, seed=seed, load=0.05)
            write = made.rig.write

            def shared(each, write=write, share=share) -> None:
                write(each)
                text = each.file.read_text()
                each.file.write_text(
                    text.replace("fleet {", f"fleet {{\n    withdraw-share {share}", 1)
                )

            made.rig.write = shared  # type: ignore[method-assign]
            try:
                made.start()
                names = list(made.rig.processes)
                if split:
                    made.rig.cut(names[:6], names[6:])
                    time.sleep(5.0)
                sick = names[:4] + names[6:10]
                for name in sick:
                    made.rig.processes[name].executor.end()
                worst, until = 0, time.monotonic() + 8.0
                while time.monotonic() < until:
                    worst = max(worst, sum(not router.held for router in made.routers.values()))
                    time.sleep(0.02)
                rows.append((what, seed, len(sick), worst))
                print(rows[-1], flush=True)
            finally:
                made.end()
    table.rows(
        "twelve that announce, eight lose their kernels at once: most withdrawn at one moment",
        ("with", "seed", "sick", "withdrawn"),
        rows,
    )


def main() -> None:
    words = sys.argv[1:] or ["cost", "floor"]
    for word in words:
        table = Table(f"fleet-server-{word}")
        {"cost": cost, "floor": floor}[word](table)
        table.write()


if __name__ == "__main__":
    main()
