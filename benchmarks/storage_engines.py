"""The journal of `lilacwalk/storage` compared with lmdb: how they handle the faults of a node.

    python -m benchmarks.storage_engines [lives|damage|full] [--quick]

lives:  a process writes records and prints how many are acknowledged; it is killed at a seeded
        random time, 500 times. Are acknowledged records lost?
damage: a bit is flipped, a page zeroed or a file truncated. Is the damage reported, are wrong
        values returned, or does the process die?
full:   the process may not extend files. How does it fail, and does it write again when it may?"""

from __future__ import annotations

import json
import os
import random
import resource
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from hashlib import blake2b
from pathlib import Path

from benchmarks.table import Table
from lilacwalk.storage.disk import Directory
from lilacwalk.storage.operations import Durability, JournalLimits
from lilacwalk.storage.store import Store

ENGINES = ("log", "lmdb")
DAMAGED_RECORDS = 2_000  # records in a store that is damaged
LMDB_MAP_BYTES = 1 << 28
# So small that kills also occur while files are rotated and snapshots written.
SMALL_LIMITS = JournalLimits(segment_bytes=200_000, snapshot_after_bytes=400_000)


def value(key: bytes) -> bytes:
    return blake2b(key, digest_size=60).digest() * 2


# The engines, with one interface. `write` returns whether the records are persisted, `rows` are
# those found at the start, `warnings` reports damage that was found.


class JournalEngine:
    def __init__(self, path: str, limits: JournalLimits = SMALL_LIMITS) -> None:
        self.acknowledged = threading.Semaphore(0)
        self.last_is_persisted = True
        self.store = Store(Directory(path), Durability.SYNCED, limits, self._acknowledge)
        self.rows = {row.key: row.value for row in self.store.journal.state.rows.values()}
        self.warnings = list(self.store.recovered.warnings)
        self.store.start()

    def _acknowledge(self, token: object, is_persisted: bool) -> None:
        self.last_is_persisted = is_persisted
        self.acknowledged.release()

    def write(self, keys: list[bytes]) -> bool:
        for key in keys:
            self.store.put(1, key, value(key), token=key)
        for _ in keys:
            self.acknowledged.acquire()
        return self.last_is_persisted

    def close(self) -> None:
        self.store.close(10.0)


class LmdbEngine:
    def __init__(self, path: str) -> None:
        import lmdb

        self.environment = lmdb.open(path, map_size=LMDB_MAP_BYTES)
        self.warnings: list[str] = []
        with self.environment.begin() as transaction:
            self.rows = {bytes(key): bytes(stored) for key, stored in transaction.cursor()}

    def write(self, keys: list[bytes]) -> bool:
        import lmdb

        try:
            with self.environment.begin(write=True) as transaction:
                for key in keys:
                    transaction.put(key, value(key))
        except lmdb.Error:
            return False
        return True

    def close(self) -> None:
        self.environment.close()


ENGINE_CLASSES = {"log": JournalEngine, "lmdb": LmdbEngine}


# In the child process


def child_writes(engine_name: str, path: str) -> None:
    """Prints the number of records found, of wrong values and of gaps, then writes until killed.

    After each write it prints how many records are acknowledged.
    """
    engine = ENGINE_CLASSES[engine_name](path)
    at = len(engine.rows)
    wrong = sum(stored != value(key) for key, stored in engine.rows.items())
    gaps = sum(b"%012d" % number not in engine.rows for number in range(at))
    print(f"found {at} {wrong} {gaps}", flush=True)
    while True:
        if engine.write([b"%012d" % number for number in range(at, at + 8)]):
            at += 8
            print(at, flush=True)


def child_reads(engine_name: str, path: str) -> None:
    """Prints counts of the records in a damaged store, or the error that prevents opening it."""
    try:
        engine = ENGINE_CLASSES[engine_name](path)
        print(
            json.dumps(
                {
                    "found": len(engine.rows),
                    "reported": bool(engine.warnings),
                    "wrong": sum(stored != value(key) for key, stored in engine.rows.items()),
                }
            ),
            flush=True,
        )
        engine.close()
    except Exception as error:
        print(json.dumps({"refused": type(error).__name__}), flush=True)


def child_fills(engine_name: str, path: str) -> None:
    """Writes while files may be extended, while they may not, and when they may again."""
    engine = ENGINE_CLASSES[engine_name](path)
    at, result = 0, {"before": engine.write([b"%012d" % number for number in range(64)])}
    at = 64
    signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
    resource.setrlimit(resource.RLIMIT_FSIZE, (0, resource.RLIM_INFINITY))
    result["while full"] = any(engine.write([b"%012d" % (at + number)]) for number in range(5))
    resource.setrlimit(resource.RLIMIT_FSIZE, (resource.RLIM_INFINITY, resource.RLIM_INFINITY))
    until = time.monotonic() + 12
    result["after"] = False
    while time.monotonic() < until and not result["after"]:
        result["after"] = engine.write([b"%012d" % (at + 100)])
        time.sleep(0.2)
    print(json.dumps(result), flush=True)
    engine.close()


CHILD_TASKS = {"writes": child_writes, "reads": child_reads, "fills": child_fills}


def start_child(task: str, engine_name: str, path: str) -> subprocess.Popen:
    return subprocess.Popen(
        [sys.executable, "-m", "benchmarks.storage_engines", "child", task, engine_name, path],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )


# Measurements, in the parent process


def measure_kills(engine_name: str, count: int) -> tuple:
    """Kills the writing process `count` times; each process opens the files of its predecessor."""
    rng = random.Random(7)
    lost = wrong = gaps = failed_starts = written = 0
    acknowledged, start_times = 0, []
    with tempfile.TemporaryDirectory(dir=".") as path:
        for _ in range(count):
            began = time.monotonic()
            process = start_child("writes", engine_name, path)
            words = process.stdout.readline().split()
            start_times.append(time.monotonic() - began)
            if not words:
                failed_starts += 1
                process.wait()
                continue
            found = int(words[1])
            lost += max(0, acknowledged - found)
            wrong += int(words[2])
            gaps += int(words[3])
            acknowledged = found
            killer = threading.Timer(rng.uniform(0.001, 0.05), process.kill)
            killer.start()
            for line in process.stdout:
                if line.endswith("\n"):
                    acknowledged = max(acknowledged, int(line))
            process.wait()
            written = acknowledged
            # Starts again with an empty store, so that reading it does not take most of the time.
            if acknowledged > 60_000:
                shutil.rmtree(path)
                os.mkdir(path)
                acknowledged = 0
    return engine_name, count, written, lost, wrong, gaps, failed_starts


def damage_file(path: str, rng: random.Random, kind: str) -> None:
    files = [each for each in Path(path).iterdir() if each.stat().st_size > 4_096]
    damaged_path = rng.choice(sorted(files))
    size = damaged_path.stat().st_size
    with open(damaged_path, "r+b") as file:
        if kind == "bit flipped":
            at = rng.randrange(size)
            file.seek(at)
            byte = file.read(1)[0]
            file.seek(at)
            file.write(bytes((byte ^ 1 << rng.randrange(8),)))
        elif kind == "page zeroed":
            file.seek(rng.randrange(size // 4_096) * 4_096)
            file.write(bytes(4_096))
        else:
            file.truncate(rng.randrange(1, size))


def measure_damage(engine_name: str, kind: str, count: int) -> tuple:
    rng = random.Random(11)
    with tempfile.TemporaryDirectory(dir=".") as directory:
        intact = f"{directory}/sound"
        os.mkdir(intact)
        engine = (
            LmdbEngine(intact) if engine_name == "lmdb" else JournalEngine(intact, JournalLimits())
        )
        for at in range(0, DAMAGED_RECORDS, 50):
            engine.write([b"%012d" % number for number in range(at, at + 50)])
        engine.close()
        for each in Path(intact).glob("lock*"):
            each.unlink()

        def run_trial(at: int) -> str:
            path = f"{directory}/{at}"
            shutil.copytree(intact, path)
            damage_file(path, random.Random(trial_seeds[at]), kind)
            process = start_child("reads", engine_name, path)
            out, _ = process.communicate()
            shutil.rmtree(path)
            if process.returncode < 0 or not out:
                return "crashed"
            result = json.loads(out)
            if "refused" in result:
                return "refused"
            if result["wrong"]:
                return "wrong"
            if result["found"] == DAMAGED_RECORDS:
                return "harmless"
            return "reported" if result["reported"] else "silent"

        trial_seeds = [rng.random() for _ in range(count)]
        with ThreadPoolExecutor(4) as pool:
            outcomes = list(pool.map(run_trial, range(count)))
    return (
        engine_name,
        kind,
        count,
        *(
            outcomes.count(word)
            for word in ("harmless", "reported", "refused", "silent", "wrong", "crashed")
        ),
    )


def measure_full(engine_name: str) -> tuple:
    with tempfile.TemporaryDirectory(dir=".") as path:
        process = start_child("fills", engine_name, path)
        out, _ = process.communicate()
        return (
            engine_name,
            process.returncode,
            *(json.loads(out).values() if out else ("-", "-", "-")),
        )


def main() -> None:
    words = [word for word in sys.argv[1:] if not word.startswith("-")]
    if words and words[0] == "child":
        CHILD_TASKS[words[1]](*words[2:])
        return
    quick = "--quick" in sys.argv
    table = Table("-".join(["storage-engines", *words]))
    if not words or "lives" in words:
        with ThreadPoolExecutor(2) as pool:
            rows = list(
                pool.map(
                    lambda engine_name: measure_kills(engine_name, 40 if quick else 500), ENGINES
                )
            )
        table.rows(
            "killed by SIGKILL at a seeded random time, 8 records at a time, synced",
            (
                "engine",
                "kills",
                "records at the last kill",
                "acknowledged and lost",
                "wrong",
                "gaps",
                "failed starts",
            ),
            rows,
        )
    if not words or "damage" in words:
        rows = [
            measure_damage(engine_name, kind, 20 if quick else 200)
            for engine_name in ENGINES
            for kind in ("bit flipped", "page zeroed", "truncated")
        ]
        table.rows(
            f"files with {DAMAGED_RECORDS:,} records damaged, then all records read",
            (
                "engine",
                "damage",
                "trials",
                "harmless",
                "reported, other records right",
                "opening refused",
                "records missing, not reported",
                "wrong values returned",
                "process crashed",
            ),
            rows,
        )
    if not words or "full" in words:
        rows = [measure_full(engine_name) for engine_name in ENGINES]
        table.rows(
            "files may not be extended, then they may again",
            ("engine", "exit code", "persisted before", "persisted while full", "persisted after"),
            rows,
        )
    table.write()


if __name__ == "__main__":
    main()
