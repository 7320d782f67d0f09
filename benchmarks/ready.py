"""How soon restarted processes are ready: thirty at once on this machine's cores, killed and started again.

    python -m benchmarks.ready [rounds]

Ready is the first healthy probe, from the moment of the start; what the time goes into is told of one."""

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

SIZE, GIVEN_UP = 30, 60.0  # processes; seconds


def started(config: Path) -> subprocess.Popen:
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


def healthy(address: tuple[str, int]) -> bool:
    try:
        with socket.create_connection(address, 1.0) as sock:
            sock.sendall(encode_array(b"PROBE", b"1", b"x=1"))
            return b"healthy" in sock.recv(200)
    except OSError:
        return False


def ports(count: int) -> list[tuple[str, int]]:
    free = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    found = [each.getsockname() for each in free]
    for each in free:
        each.close()
    return found


def played(place: Path) -> list[float]:
    """Seconds of each, all killed and started again in one moment."""
    kernels = [StandInExecutor(2, cold=True) for _ in range(SIZE)]
    addresses, configs = ports(SIZE), []
    for at, (kernel, (host, port)) in enumerate(zip(kernels, addresses, strict=True)):
        configs.append(place / f"{at}.json")
        configs[-1].write_text(
            json.dumps(make_process_config(kernel.address, f"{host}:{port}", 32.0, 384))
        )
    for _ in range(2):  # the second time is the restart
        begun, times = time.monotonic(), {}
        processes = [started(each) for each in configs]
        while len(times) < SIZE and time.monotonic() - begun < GIVEN_UP:
            for at in range(SIZE):
                if at not in times and healthy(addresses[at]):
                    times[at] = time.monotonic() - begun
            time.sleep(0.02)
        for each in processes:
            each.kill()
            each.wait()
    for kernel in kernels:
        kernel.end()
    return [times.get(at, GIVEN_UP) for at in range(SIZE)]


def main() -> None:
    table, rows = Table("ready"), []
    for turn in range(int(sys.argv[1]) if len(sys.argv) > 1 else 5):
        with tempfile.TemporaryDirectory() as place:
            times = played(Path(place))
        rows.append(
            (
                turn + 1,
                quantile(times, 0.5),
                quantile(times, 0.9),
                max(times),
                sum(each <= 10.0 for each in times),
            )
        )
        print(rows[-1], flush=True)
    table.rows(
        f"{SIZE} restarted at once: seconds from the start to the first healthy probe",
        ("round", "median", "90th", "most", "within 10 s"),
        rows,
    )
    told = subprocess.run(
        [sys.executable, "-B", "-X", "importtime", "-m", "lilacwalk", "version"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    ).stderr.splitlines()[1:]
    parts = [line.split("|") for line in told]
    spent = sorted(((int(part[1]) / 1000, part[2].strip()) for part in parts), reverse=True)
    table.rows(
        "one alone: the dearest imports of the command line, with all they load",
        ("ms", "module"),
        [(ms, name) for ms, name in spent[:12]],
    )
    table.write()


if __name__ == "__main__":
    main()
