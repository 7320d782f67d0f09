"""A disk in memory that keeps what was synced and may lose, tear or flip what was not; and that fails when
told."""

from __future__ import annotations

import errno
import random

from lilacwalk.storage.disk import PARTIAL_SUFFIX


class CrashError(Exception):
    """The machine is gone in the middle of a step."""


class FaultyDisk:
    """`crash_at`: the step, counted from 1, in which it ends, part of that step done or not, as the seed
    says. What had been synced is there afterwards; of what had not, any prefix of each file, its last bytes
    perhaps spoilt."""

    def __init__(self, seed: int = 0, crash_at: int = 0) -> None:
        self.rng, self.crash_at, self.steps = random.Random(seed), crash_at, 0
        self.files: dict[str, bytearray] = {}
        self.synced: dict[str, int] = {}
        self.named: dict[str, bool] = {}  # whether the name itself would be there
        self.fails: dict[str, int] = {}  # errno by what is done
        self.room = 1 << 40

    def _step(self, what: str) -> bool:
        """Whether this is the step in which it ends."""
        self.steps += 1
        if what in self.fails:
            raise OSError(self.fails[what], f"{what} fails here")
        return self.steps == self.crash_at

    def crash(self) -> FaultyDisk:
        """What is found after the machine is back: a good disk with the remains."""
        after = FaultyDisk(self.rng.getrandbits(32))
        for name, data in self.files.items():
            if not self.named.get(name) and self.rng.random() < 0.5:
                continue
            sure = self.synced.get(name, 0)
            left = self.rng.randint(sure, len(data))
            rest = bytearray(data[:left])
            if left > sure and self.rng.random() < 0.3:
                at = self.rng.randrange(sure, left)
                rest[at] ^= 1 << self.rng.randrange(8)
            if self.rng.random() < 0.2:
                rest += bytes(self.rng.randrange(64))  # room that was laid out
            after.files[name], after.synced[name], after.named[name] = rest, len(rest), True
        return after

    def list_files(self) -> list[str]:
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        if name not in self.files:
            raise OSError(errno.ENOENT, "no such file")
        return bytes(self.files[name])

    def _grow(self, name: str, data: bytes, ends: bool) -> None:
        if sum(map(len, self.files.values())) + len(data) > self.room:
            self.files[name] += data[: len(data) // 2]
            raise OSError(errno.ENOSPC, "no space left")
        self.files[name] += data[: self.rng.randint(0, len(data))] if ends else data
        if ends:
            raise CrashError

    def create(self, name: str, data: bytes) -> None:
        ends = self._step("create")
        self.files[name], self.synced[name], self.named[name] = bytearray(), 0, False
        self._grow(name, data, ends)
        self.named[name] = True

    def append(self, name: str, data: bytes) -> None:
        self._grow(name, data, self._step("append"))

    def sync(self, name: str) -> None:
        ends = self._step("sync")
        if ends and self.rng.random() < 0.5:
            raise CrashError
        self.synced[name] = len(self.files[name])
        if ends:
            raise CrashError

    def publish(self, name: str) -> None:
        ends = self._step("publish")
        if ends and self.rng.random() < 0.5:
            raise CrashError
        self.synced[name + PARTIAL_SUFFIX] = len(self.files[name + PARTIAL_SUFFIX])
        self.files[name] = self.files.pop(name + PARTIAL_SUFFIX)
        self.synced[name], self.named[name] = self.synced.pop(name + PARTIAL_SUFFIX), True
        if ends:
            raise CrashError

    def truncate(self, name: str, size: int) -> None:
        if self._step("truncate"):
            raise CrashError
        del self.files[name][size:]
        self.synced[name] = min(self.synced[name], size)

    def quarantine(self, name: str) -> None:
        if self._step("quarantine"):
            raise CrashError
        for table in (self.files, self.synced, self.named):
            table[f"aside-{name}"] = table.pop(name)  # type: ignore[attr-defined]

    def remove(self, name: str) -> None:
        if self._step("remove"):
            raise CrashError
        for table in (self.files, self.synced, self.named):
            table.pop(name, None)  # type: ignore[attr-defined]
