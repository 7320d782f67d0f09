"""The journal of `lilacwalk/storage` compared with sqlite3 and lmdb as the store, about a minute:

    python -m benchmarks.storage

lmdb is measured only where it is installed. All stores write the same records below the current
directory: a key of 24 bytes and a value of 120."""

from __future__ import annotations

import os
import resource
import sqlite3
import sys
import tempfile
import threading
import time
from pathlib import Path

from benchmarks.table import Table, quantile
from lilacwalk.storage.disk import Directory
from lilacwalk.storage.operations import Durability, JournalLimits
from lilacwalk.storage.recovery import recover
from lilacwalk.storage.store import Store

VALUE = os.urandom(120)
BATCH = 64  # records written together, like those of the requests in one event loop iteration


def make_key(number: int) -> bytes:
    return b"%024d" % number


def file_bytes(path: str) -> int:
    return sum(each.stat().st_size for each in Path(path).rglob("*") if each.is_file())


class JournalStore:
    name = "log"

    def __init__(self, path: str, durability: Durability) -> None:
        self.acknowledged = threading.Semaphore(0)
        self.store = Store(
            Directory(path),
            durability,
            JournalLimits(),
            lambda token, is_persisted: self.acknowledged.release(),
        )
        self.store.start()

    def write(self, numbers: list[int]) -> None:
        """Writes records and waits until they are as durable as requested."""
        for number in numbers:
            self.store.put(1, make_key(number), VALUE, token=number)
        for _ in numbers:
            self.acknowledged.acquire()

    def close(self) -> None:
        self.store.close(30.0)


class SqliteStore:
    name = "sqlite3"

    def __init__(self, path: str, durability: Durability) -> None:
        self.connection = sqlite3.connect(f"{path}/base", isolation_level=None)
        self.connection.execute("pragma journal_mode=wal")
        self.connection.execute(
            f"pragma synchronous={'full' if durability is Durability.SYNCED else 'off'}"
        )
        self.connection.execute(
            "create table if not exists records (key blob primary key, value blob) without rowid"
        )

    def write(self, numbers: list[int]) -> None:
        self.connection.execute("begin")
        self.connection.executemany(
            "insert or replace into records values (?, ?)",
            [(make_key(number), VALUE) for number in numbers],
        )
        self.connection.execute("commit")

    def close(self) -> None:
        self.connection.close()


class LmdbStore:
    name = "lmdb"

    def __init__(self, path: str, durability: Durability) -> None:
        import lmdb

        is_synced = durability is Durability.SYNCED
        self.environment = lmdb.open(path, map_size=1 << 31, sync=is_synced, metasync=is_synced)

    def write(self, numbers: list[int]) -> None:
        with self.environment.begin(write=True) as transaction:
            for number in numbers:
                transaction.put(make_key(number), VALUE)

    def close(self) -> None:
        self.environment.close()


def available_stores() -> list[type]:
    try:
        import lmdb  # noqa: F401
    except ImportError:
        return [JournalStore, SqliteStore]
    return [JournalStore, SqliteStore, LmdbStore]


def measure_writes(table: Table) -> None:
    lines = []
    for durability in (Durability.FLUSHED, Durability.SYNCED):
        for store_class in available_stores():
            with tempfile.TemporaryDirectory(dir=".") as path:
                store, times, written = store_class(path, durability), [], 0
                until = time.perf_counter() + 3.0
                while (began := time.perf_counter()) < until:
                    store.write(list(range(written, written + BATCH)))
                    times.append(time.perf_counter() - began)
                    written += BATCH
                store.close()
                lines.append(
                    (
                        durability.value,
                        store_class.name,
                        int(written / 3),
                        quantile(times, 0.5) * 1000,
                        quantile(times, 0.99) * 1000,
                        max(times) * 1000,
                        file_bytes(path) / written,
                    )
                )
    table.rows(
        f"writes of {BATCH} records at a time, each awaited",
        ("durability", "store", "records/s", "median ms", "99th ms", "max ms", "bytes per record"),
        lines,
    )


def measure_caller_time(table: Table) -> None:
    """Measures how long the event loop would be blocked.

    The journal only queues the records; the other stores write them before the call returns.
    """
    lines = []
    for store_class in available_stores():
        with tempfile.TemporaryDirectory(dir=".") as path:
            store, times = store_class(path, Durability.SYNCED), []
            for at in range(300):
                began = time.perf_counter()
                if isinstance(store, JournalStore):
                    for number in range(4):
                        store.store.put(1, make_key(4 * at + number), VALUE)
                else:
                    store.write(list(range(4 * at, 4 * at + 4)))
                times.append(time.perf_counter() - began)
                time.sleep(0.003)
            store.close()
            lines.append(
                (
                    store_class.name,
                    quantile(times, 0.5) * 1e6,
                    quantile(times, 0.99) * 1e6,
                    max(times) * 1e6,
                )
            )
    table.rows(
        "time that the caller is blocked for four records, synced",
        ("store", "median us", "99th us", "max us"),
        lines,
    )


def measure_recovery(table: Table, count: int) -> None:
    lines = []
    with tempfile.TemporaryDirectory(dir=".") as path:
        limits = JournalLimits(snapshot_after_bytes=1 << 40, max_disk_bytes=1 << 40)
        journal = Store(Directory(path), Durability.FLUSHED, limits)
        for number in range(count):
            journal.put(1, make_key(number), VALUE)
        journal.start()
        journal.close(120.0)
        disk, began = Directory(path), time.perf_counter()
        recovered = recover(disk.list_files(), disk.read)
        lines.append(
            ("log", len(recovered.state), time.perf_counter() - began, file_bytes(path) / 1e6)
        )
    with tempfile.TemporaryDirectory(dir=".") as path:
        store = SqliteStore(path, Durability.FLUSHED)
        for at in range(0, count, 10_000):
            store.write(list(range(at, at + 10_000)))
        store.close()
        began = time.perf_counter()
        store = SqliteStore(path, Durability.FLUSHED)
        rows = {
            row[0]: row[1] for row in store.connection.execute("select key, value from records")
        }
        lines.append(("sqlite3", len(rows), time.perf_counter() - began, file_bytes(path) / 1e6))
        store.close()
    if LmdbStore in available_stores():
        with tempfile.TemporaryDirectory(dir=".") as path:
            store = LmdbStore(path, Durability.FLUSHED)
            for at in range(0, count, 10_000):
                store.write(list(range(at, at + 10_000)))
            store.close()
            began = time.perf_counter()
            store = LmdbStore(path, Durability.FLUSHED)
            with store.environment.begin() as transaction:
                rows = {bytes(key): bytes(value) for key, value in transaction.cursor()}
            lines.append(("lmdb", len(rows), time.perf_counter() - began, file_bytes(path) / 1e6))
            store.close()
    table.rows(
        f"all of {count:,} records read back into memory",
        ("store", "records", "seconds", "MB on disk"),
        lines,
    )


def main() -> None:
    table = Table("storage")
    table.say(f"# Storage, Python {sys.version.split()[0]}\n")
    measure_writes(table)
    measure_caller_time(table)
    measure_recovery(table, 100_000)
    measure_recovery(table, 1_000_000)
    table.say(
        f"peak resident memory {resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1000:.0f} MB"
    )
    table.write()


if __name__ == "__main__":
    main()
