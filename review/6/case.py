"""Bad clients send messages that never end: does the app server stay within its memory?"""

from __future__ import annotations

import threading
import time
from pathlib import Path

import harness

MEMORY_MB, SOCKETS = 48, 512
CLIENTS = 400
SECONDS = 8.0
PART = b"$16384\r\n" + b"x" * 16_384 + b"\r\n"
# An array of eight parts, whose last part never ends.
ENDLESS = b"*8\r\n" + 7 * PART + PART[:-100]
CLASSES = [
    {
        "name": name,
        "aim_ms": 1800.0,
        "hard_limit_ms": 4600.0,
        "effect": "safe",
        "worth": worth,
        "late_worth": 0.0,
    }
    for name, worth in (("eligibility", 1.0), ("stock-check", 1.0), ("swap-confirm", 3.0))
]


def memory_bytes(pid: int) -> int:
    """The memory of the process without that of the files it has mapped."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) * 1024
    return 0


def play(record: harness.Record) -> int:
    """Plays the case; returns its exit code."""
    kernel = harness.Kernel(record, lambda _class, _body: 0.05)
    server = harness.AppServer(
        record,
        kernel,
        harness.settings("recife-main", CLASSES),
        memory_mb=MEMORY_MB,
        sockets=SOCKETS,
    )
    bad = harness.BadClients(server.address, CLIENTS, lambda: ENDLESS, go_when_answered=False)
    most = 0
    try:
        server.start()
        router = harness.Router(record, server.address, 1)
        record.both(f"memory at rest: {memory_bytes(server.process.pid) / 2**20:.1f} MiB")
        thread = threading.Thread(target=bad.run)
        if harness.has_trouble():
            record(f"trouble: {CLIENTS} clients with messages that never end")
            thread.start()
        until, number = time.time() + SECONDS, 0
        while time.time() < until and server.process.poll() is None:
            number += 1
            router.submit(CLASSES[number % 3]["name"], b"%d" % number, 4600, "mar-azul")
            now = memory_bytes(server.process.pid)
            if now > most:
                most = now
                record(f"memory {now / 2**20:.1f} MiB")
            time.sleep(0.05)
        bad.is_stopped = True
    finally:
        server.end()
        kernel.end()
    words = {word: sum(each.word == word for each in router.sent) for word in ("done", "later", "")}
    record.both(
        f"most memory: {most / 2**20:.1f} MiB of {MEMORY_MB}; "
        f"{len(bad.closed_after)} connections of bad clients were closed, none later than "
        f"{max(bad.closed_after, default=0.0):.2f} s after it came; router: {words}"
    )
    return harness.BROKEN if most > MEMORY_MB * 2**20 else harness.HELD


if __name__ == "__main__":
    harness.run_case(str(Path(__file__).resolve().parent), play)
