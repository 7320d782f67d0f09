"""The interface to the store's files, and its implementation on a directory of the file system.

`testing/disk.py` has a test implementation, which tears and corrupts files and fails on demand.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from typing import Protocol

from lilacwalk.storage.ownership import (
    LOCK_FILE,
    OWNER_FILE,
    OwnershipError,
    encode_owner,
    refusal_reason,
)

PARTIAL_SUFFIX = ".new"  # marks an incomplete file; `publish` removes the suffix
QUARANTINE_PREFIX = "aside-"


class Disk(Protocol):
    """Operations on the store's files. Every method may raise OSError."""

    def list_files(self) -> list[str]:
        """Returns the names of all files, sorted."""
        ...

    def read(self, name: str) -> bytes:
        """Returns the content of a file."""
        ...

    def create(self, name: str, data: bytes) -> None:
        """Creates a file that holds `data`, replacing any file of that name."""
        ...

    def append(self, name: str, data: bytes) -> None:
        """Appends `data` to a file."""
        ...

    def sync(self, name: str) -> None:
        """Flushes a file to the disk and returns when its content is durable."""
        ...

    def publish(self, name: str) -> None:
        """Syncs the file `name` + PARTIAL_SUFFIX, then renames it to `name`."""
        ...

    def truncate(self, name: str, size: int) -> None:
        """Truncates a file to `size` bytes, durably."""
        ...

    def quarantine(self, name: str) -> None:
        """Renames a file, so that the store ignores it and the operator can inspect it."""
        ...

    def remove(self, name: str) -> None:
        """Removes a file if it exists."""
        ...


class Directory:
    """Implements `Disk` on a directory of the file system.

    At most one log file and one partial snapshot are open at a time. The directory is synced
    whenever a file is created or renamed.
    """

    def __init__(self, path: str) -> None:
        """Creates the directory if it does not exist. Raises OSError."""
        self.path = Path(path)
        self.path.mkdir(mode=0o700, parents=True, exist_ok=True)
        self._open_files: dict[str, int] = {}  # file descriptors by name
        self._lock_descriptor: int | None = None

    def list_files(self) -> list[str]:
        """Returns the names of all files, sorted."""
        return sorted(entry.name for entry in self.path.iterdir() if entry.is_file())

    def read(self, name: str) -> bytes:
        """Returns the content of a file."""
        return (self.path / name).read_bytes()

    def claim(self, node: str) -> None:
        """Locks the directory for this process until `close`, and records `node` as its owner.

        Files can be read without a claim.

        Raises:
            OwnershipError: another node owns the directory, another process has locked it, its
                format is later than this program supports, or it holds files of other programs.
            OSError: the directory cannot be read or written.
        """
        descriptor = os.open(self.path / LOCK_FILE, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            os.close(descriptor)
            raise OwnershipError(self.path, "is in use by another process") from error
        self._lock_descriptor = descriptor
        try:
            self._claim_locked(node)
        except BaseException:
            self.close()
            raise

    def _claim_locked(self, node: str) -> None:
        """Records `node` as the owner, unless the directory may not be used."""
        own_names = (LOCK_FILE, OWNER_FILE + PARTIAL_SUFFIX)  # a crash may leave a partial file
        names = [name for name in self.list_files() if name not in own_names]
        owner_bytes = self.read(OWNER_FILE) if OWNER_FILE in names else None
        if reason := refusal_reason(owner_bytes, node, names):
            raise OwnershipError(self.path, reason)
        if owner_bytes is None:
            self.create(OWNER_FILE + PARTIAL_SUFFIX, encode_owner(node))
            self.publish(OWNER_FILE)

    def create(self, name: str, data: bytes) -> None:
        """Creates a file that holds `data`, replacing any file of that name.

        Closes the open file of the same kind, which is either a log file or a partial snapshot.
        """
        is_partial = name.endswith(PARTIAL_SUFFIX)
        for other in list(self._open_files):
            if other.endswith(PARTIAL_SUFFIX) == is_partial:
                self._close_file(other)
        self._write(self._descriptor_of(name, os.O_TRUNC), data)
        self._sync_directory()

    def append(self, name: str, data: bytes) -> None:
        """Appends to a file, opening it if necessary."""
        self._write(self._descriptor_of(name), data)

    def sync(self, name: str) -> None:
        """Flushes a file to the disk and returns when its content is durable."""
        os.fsync(self._descriptor_of(name))

    def publish(self, name: str) -> None:
        """Syncs the file `name` + PARTIAL_SUFFIX, then renames it to `name`."""
        self.sync(name + PARTIAL_SUFFIX)
        self._close_file(name + PARTIAL_SUFFIX)
        os.replace(self.path / (name + PARTIAL_SUFFIX), self.path / name)
        self._sync_directory()

    def truncate(self, name: str, size: int) -> None:
        """Truncates a file to `size` bytes and syncs it."""
        with open(self.path / name, "r+b") as file:
            file.truncate(size)
            os.fsync(file.fileno())

    def quarantine(self, name: str) -> None:
        """Renames a file, so that the store ignores it and the operator can inspect it."""
        os.replace(self.path / name, self.path / f"{QUARANTINE_PREFIX}{name}")
        self._sync_directory()

    def remove(self, name: str) -> None:
        """Closes and removes a file if it exists."""
        self._close_file(name)
        (self.path / name).unlink(missing_ok=True)

    def close(self) -> None:
        """Closes all files and releases the lock on the directory."""
        for name in list(self._open_files):
            self._close_file(name)
        if self._lock_descriptor is not None:
            os.close(self._lock_descriptor)
            self._lock_descriptor = None

    def _descriptor_of(self, name: str, flags: int = 0) -> int:
        """Returns the descriptor of a file, opening it for appending if necessary.

        With O_TRUNC in `flags`, an open file is reopened, which truncates it to 0 bytes.
        """
        descriptor = self._open_files.get(name)
        if descriptor is None or flags & os.O_TRUNC:
            self._close_file(name)
            flags |= os.O_WRONLY | os.O_APPEND | os.O_CREAT
            descriptor = os.open(self.path / name, flags, 0o600)
            self._open_files[name] = descriptor
        return descriptor

    def _close_file(self, name: str) -> None:
        descriptor = self._open_files.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)

    @staticmethod
    def _write(descriptor: int, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]

    def _sync_directory(self) -> None:
        descriptor = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
