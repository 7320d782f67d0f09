"""Time until restarted processes are ready: thirty app servers on one machine are killed and
started again at the same time.

    python -m benchmarks.ready [rounds]

A process is ready at its first healthy answer to a probe; the time is counted from the start of all
processes. A second table lists the slowest imports of a single process."""

from __future__ import annotations

import json
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from benchmarks.table import Table, quantile
from lilacwalk.protocols.resp import encode_array
from lilacwalk.testing.executor import StandInExecutor
from lilacwalk.testing.fleet import ROOT
from lilacwalk.testing.site_settings import make_process_config

PROCESSES, TIMEOUT = 30, 60.0  # number; seconds, reported for a process that was not ready in time


def start_process(config: Path) -> subprocess.Popen:
    return subprocess.Popen(
        [
            sys.executable,
            "-B",
            "-m",
            "lilacwalk",
            "serve",
            "--config",
            str(config),
            "--file",
            str(ROOT / "deploy/lilacwalk.conf"),
        ],
        cwd=ROOT,
        stderr=subprocess.DEVNULL,
    )


def is_healthy(address: tuple[str, int]) -> bool:
    try:
        with socket.create_connection(address, 1.0) as sock:
            sock.sendall(encode_array(b"PROBE", b"1", b"x=1"))
            return b"healthy" in sock.recv(200)
    except OSError:
        return False


def find_free_addresses(count: int) -> list[tuple[str, int]]:
    """Distinct addresses whose ports were free a moment ago."""
    listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    addresses = [each.getsockname() for each in listeners]
    for each in listeners:
        each.close()
    return addresses


def measure_restart(directory: Path) -> list[float]:
    """The seconds until each process is ready, after all were killed and started again."""
    executors = [StandInExecutor(2, booting=True) for _ in range(PROCESSES)]
    addresses, configs = find_free_addresses(PROCESSES), []
    for number, (executor, (host, port)) in enumerate(zip(executors, addresses, strict=True)):
        configs.append(directory / f"{number}.json")
        configs[-1].write_text(
            json.dumps(make_process_config(executor.address, f"{host}:{port}", 32.0, 384))
        )
    for _ in range(2):  # the second time is the restart
        started_at, times = time.monotonic(), {}
        processes = [start_process(each) for each in configs]
        while len(times) < PROCESSES and time.monotonic() - started_at < TIMEOUT:
            for number in range(PROCESSES):
                if number not in times and is_healthy(addresses[number]):
                    times[number] = time.monotonic() - started_at
            time.sleep(0.02)
        for each in processes:
            each.kill()
            each.wait()
    for executor in executors:
        executor.end()
    return [times.get(number, TIMEOUT) for number in range(PROCESSES)]


def main() -> None:
    table, rows = Table("ready"), []
    for number in range(int(sys.argv[1]) if len(sys.argv) > 1 else 5):
        with tempfile.TemporaryDirectory() as directory:
            times = measure_restart(Path(directory))
        rows.append(
            (
                number + 1,
                quantile(times, 0.5),
                quantile(times, 0.9),
                max(times),
                sum(each <= 10.0 for each in times),
            )
        )
        print(rows[-1], flush=True)
    table.rows(
        f"{PROCESSES} processes restarted at once: seconds from start to first healthy probe",
        ("round", "median", "90th percentile", "max", "within 10 s"),
        rows,
    )
    import_lines = subprocess.run(
        [sys.executable, "-B", "-X", "importtime", "-m", "lilacwalk", "version"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    ).stderr.splitlines()[1:]
    records = [line.split("|") for line in import_lines]
    import_times = sorted(
        ((int(record[1]) / 1000, record[2].strip()) for record in records), reverse=True
    )
    table.rows(
        "a single process: slowest imports of the command line, including the modules they import",
        ("ms", "module"),
        [(ms, name) for ms, name in import_times[:12]],
    )
    table.write()


if __name__ == "__main__":
    main()
