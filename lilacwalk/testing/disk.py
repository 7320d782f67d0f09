"""An in-memory disk with fault injection.

A crash may lose, truncate or corrupt data that was not synced. Operations fail with given errors.
"""

from __future__ import annotations

import errno
import random

from lilacwalk.storage.disk import PARTIAL_SUFFIX


class CrashError(Exception):
    """The simulated machine crashed during an operation."""


class FaultyDisk:
    """An in-memory disk with fault injection.

    The machine crashes in operation number `crash_at`, counted from 1; 0 means never. The seed
    determines how much of that operation is done before the crash. After the crash, a file contains
    all its synced data and a prefix of any length of its unsynced data, in which one bit may be
    flipped. Zero bytes may follow, and a file whose name was not synced may be missing.
    """

    def __init__(self, seed: int = 0, crash_at: int = 0) -> None:
        self.rng, self.crash_at, self.operation_count = random.Random(seed), crash_at, 0
        self.files: dict[str, bytearray] = {}
        self.synced_sizes: dict[str, int] = {}  # bytes of each file that survive a crash
        self.synced_names: dict[str, bool] = {}  # whether the file's name survives a crash
        self.errno_by_operation: dict[str, int] = {}  # operations that fail, with their errno
        self.capacity = 1 << 40  # bytes

    def _begin_operation(self, operation: str) -> bool:
        """Counts the operation; returns whether the machine crashes during the operation.

        Raises OSError if the operation is in `errno_by_operation`.
        """
        self.operation_count += 1
        if operation in self.errno_by_operation:
            raise OSError(self.errno_by_operation[operation], f"injected failure of {operation}")
        return self.operation_count == self.crash_at

    def crash(self) -> FaultyDisk:
        """Returns the disk after a restart: without faults, and with the data that survived."""
        after = FaultyDisk(self.rng.getrandbits(32))
        for name, data in self.files.items():
            if not self.synced_names.get(name) and self.rng.random() < 0.5:
                continue
            synced_size = self.synced_sizes.get(name, 0)
            survived = self.rng.randint(synced_size, len(data))
            data_after = bytearray(data[:survived])
            if survived > synced_size and self.rng.random() < 0.3:
                index = self.rng.randrange(synced_size, survived)
                data_after[index] ^= 1 << self.rng.randrange(8)
            if self.rng.random() < 0.2:
                # space that was allocated but not written
                data_after += bytes(self.rng.randrange(64))
            after.files[name], after.synced_sizes[name], after.synced_names[name] = (
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

    def _extend(self, name: str, data: bytes, crashes: bool) -> None:
        if sum(map(len, self.files.values())) + len(data) > self.capacity:
            self.files[name] += data[: len(data) // 2]
            raise OSError(errno.ENOSPC, f"no space left for {len(data)} bytes in {name}")
        self.files[name] += data[: self.rng.randint(0, len(data))] if crashes else data
        if crashes:
            raise CrashError

    def create(self, name: str, data: bytes) -> None:
        crashes = self._begin_operation("create")
        self.files[name], self.synced_sizes[name], self.synced_names[name] = bytearray(), 0, False
        self._extend(name, data, crashes)
        self.synced_names[name] = True

    def append(self, name: str, data: bytes) -> None:
        self._extend(name, data, self._begin_operation("append"))

    def sync(self, name: str) -> None:
        crashes = self._begin_operation("sync")
        if crashes and self.rng.random() < 0.5:
            raise CrashError
        self.synced_sizes[name] = len(self.files[name])
        if crashes:
            raise CrashError

    def publish(self, name: str) -> None:
        crashes = self._begin_operation("publish")
        if crashes and self.rng.random() < 0.5:
            raise CrashError
        self.synced_sizes[name + PARTIAL_SUFFIX] = len(self.files[name + PARTIAL_SUFFIX])
        self.files[name] = self.files.pop(name + PARTIAL_SUFFIX)
        self.synced_sizes[name], self.synced_names[name] = (
            self.synced_sizes.pop(name + PARTIAL_SUFFIX),
            True,
        )
        if crashes:
            raise CrashError

    def truncate(self, name: str, size: int) -> None:
        if self._begin_operation("truncate"):
            raise CrashError
        del self.files[name][size:]
        self.synced_sizes[name] = min(self.synced_sizes[name], size)

    def quarantine(self, name: str) -> None:
        if self._begin_operation("quarantine"):
            raise CrashError
        for table in (self.files, self.synced_sizes, self.synced_names):
            table[f"aside-{name}"] = table.pop(name)  # type: ignore[attr-defined]

    def remove(self, name: str) -> None:
        if self._begin_operation("remove"):
            raise CrashError
        for table in (self.files, self.synced_sizes, self.synced_names):
            table.pop(name, None)  # type: ignore[attr-defined]
