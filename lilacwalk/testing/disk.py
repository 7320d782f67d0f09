"""A disk in memory with faults: a crash may lose, tear or corrupt the data that was not synced, and
operations fail with a given error."""

from __future__ import annotations

import errno
import random

from lilacwalk.storage.disk import PARTIAL_SUFFIX


class CrashError(Exception):
    """The simulated machine crashed during an operation."""


class FaultyDisk:
    """An in-memory disk with fault injection.

    The machine crashes in operation number `crash_at`, counted from 1; 0 means never. The seed determines how
    much of that operation is done. After the crash, a file holds all its synced data and a prefix of any length
    of its unsynced data, in which one bit may be flipped. Zero bytes may follow, and a file whose name was not
    synced may be missing.
    """

    def __init__(self, seed: int = 0, crash_at: int = 0) -> None:
        self.rng, self.crash_at, self.steps = random.Random(seed), crash_at, 0
        self.files: dict[str, bytearray] = {}
        self.synced: dict[str, int] = {}
        self.synced_names: dict[str, bool] = {}  # whether the file's name survives a crash
        self.fails: dict[str, int] = {}  # errno by operation: that operation fails
        self.capacity = 1 << 40  # bytes

    def _step(self, operation: str) -> bool:
        """Counts the operation; returns whether the machine crashes in it."""
        self.steps += 1
        if operation in self.fails:
            raise OSError(self.fails[operation], f"injected failure of {operation}")
        return self.steps == self.crash_at

    def crash(self) -> FaultyDisk:
        """The disk after a restart of the machine: without faults, and with the data that survived."""
        after = FaultyDisk(self.rng.getrandbits(32))
        for name, data in self.files.items():
            if not self.synced_names.get(name) and self.rng.random() < 0.5:
                continue
            synced_size = self.synced.get(name, 0)
            survived = self.rng.randint(synced_size, len(data))
            data_after = bytearray(data[:survived])
            if survived > synced_size and self.rng.random() < 0.3:
                at = self.rng.randrange(synced_size, survived)
                data_after[at] ^= 1 << self.rng.randrange(8)
            if self.rng.random() < 0.2:
                # space that was allocated but not written
                data_after += bytes(self.rng.randrange(64))
            after.files[name], after.synced[name], after.synced_names[name] = (
                data_after,
                len(data_after),
                True,
            )
        return after

    def list_files(self) -> list[str]:
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        if name not in self.files:
            raise OSError(errno.ENOENT, f"no such file: {name}")
        return bytes(self.files[name])

    def _grow(self, name: str, data: bytes, crashes: bool) -> None:
        if sum(map(len, self.files.values())) + len(data) > self.capacity:
            self.files[name] += data[: len(data) // 2]
            raise OSError(errno.ENOSPC, f"no space left for {len(data)} bytes in {name}")
        self.files[name] += data[: self.rng.randint(0, len(data))] if crashes else data
        if crashes:
            raise CrashError

    def create(self, name: str, data: bytes) -> None:
        crashes = self._step("create")
        self.files[name], self.synced[name], self.synced_names[name] = bytearray(), 0, False
        self._grow(name, data, crashes)
        self.synced_names[name] = True

    def append(self, name: str, data: bytes) -> None:
        self._grow(name, data, self._step("append"))

    def sync(self, name: str) -> None:
        crashes = self._step("sync")
        if crashes and self.rng.random() < 0.5:
            raise CrashError
        self.synced[name] = len(self.files[name])
        if crashes:
            raise CrashError

    def publish(self, name: str) -> None:
        crashes = self._step("publish")
        if crashes and self.rng.random() < 0.5:
            raise CrashError
        self.synced[name + PARTIAL_SUFFIX] = len(self.files[name + PARTIAL_SUFFIX])
        self.files[name] = self.files.pop(name + PARTIAL_SUFFIX)
        self.synced[name], self.synced_names[name] = self.synced.pop(name + PARTIAL_SUFFIX), True
        if crashes:
            raise CrashError

    def truncate(self, name: str, size: int) -> None:
        if self._step("truncate"):
            raise CrashError
        del self.files[name][size:]
        self.synced[name] = min(self.synced[name], size)

    def quarantine(self, name: str) -> None:
        if self._step("quarantine"):
            raise CrashError
        for table in (self.files, self.synced, self.synced_names):
            table[f"aside-{name}"] = table.pop(name)  # type: ignore[attr-defined]

    def remove(self, name: str) -> None:
        if self._step("remove"):
            raise CrashError
        for table in (self.files, self.synced, self.synced_names):
            table.pop(name, None)  # type: ignore[attr-defined]
