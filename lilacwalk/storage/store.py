"""The store's host: one thread that does what the journal asks of the disk. The deciding thread puts records
onto its queue and never waits; what became of them comes back by `on_kept`, in the store's thread."""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Callable
from queue import Empty, SimpleQueue

from lilacwalk.storage.disk import Disk, NEW
from lilacwalk.storage.journal import Bounds, Do, Durability, Journal, Work
from lilacwalk.storage.recovery import recover, Recovered, SNAPSHOT

log = logging.getLogger(__name__)
SECOND = 10_000


def opened(disk: Disk, durability: Durability, bounds: Bounds, now: int) -> tuple[Journal, Recovered]:
    """Recovers, makes the cuts that it found, and goes on from there. Raises OSError where it cannot."""
    found = recover(disk.names(), disk.read)
    for name in found.aside:
        disk.set_aside(name)
    for cut in found.cuts:
        disk.truncate(*cut)
    for name in disk.names():
        if name.endswith(NEW):
            disk.drop(name)  # a snapshot that was never whole
    journal = Journal(found.state, found.next, found.log_bytes, disk.names(), durability, bounds, now)
    return journal, found


def carry_out(disk: Disk, work: Work) -> None:
    """Raises OSError."""
    name = work.name + NEW if work.name.startswith(SNAPSHOT) else work.name
    if work.do is Do.BEGIN:
        disk.begin(name, work.data)
    elif work.do is Do.APPEND:
        disk.append(name, work.data)
    elif work.do is Do.SYNC:
        disk.sync(name)
    elif work.do is Do.PUBLISH:
        disk.publish(work.name)
    else:
        for each in work.names:
            disk.drop(each)


class Store:
    def __init__(self, disk: Disk, durability: Durability, bounds: Bounds = Bounds(),
                 on_kept: Callable[[object, bool], None] = lambda token, kept: None,
                 clock: Callable[[], int] = time.monotonic_ns) -> None:
        """Raises OSError where the disk cannot be read."""
        self.disk, self.on_kept, self.clock = disk, on_kept, clock
        self.journal, self.recovered = opened(disk, durability, bounds, self.now())
        for line in self.recovered.told:
            log.warning({"event": "storage_recovered", "detail": line})
        self.inbox: SimpleQueue[tuple | None] = SimpleQueue()
        self.thread = threading.Thread(target=self._run, name="storage", daemon=True)
        self.failed = False

    def now(self) -> int:
        return self.clock() // 100_000

    def start(self) -> None:
        self.thread.start()

    def put(self, table: int, key: bytes, value: bytes | None, until: int = 0, at: int = 0,
            token: object = None) -> None:
        """`until`, `at`: Unix time, tenths of a ms."""
        self.inbox.put((table, key, value, until, at, token))

    def end(self, patience: float = 2.0) -> None:
        """What was put before is written; a disk that hangs is not waited for beyond the patience."""
        self.inbox.put(None)
        self.thread.join(patience)

    def _run(self) -> None:
        journal, ending = self.journal, False
        try:
            while True:
                due = journal.due(self.now())
                wait = None if due is None else max(0, due - self.now()) / SECOND
                ending = self._take(0.0 if ending else wait) or ending
                journal.tick(self.now())
                work = journal.work(self.now() if not ending else self.now() + journal.bounds.delay)
                if work is not None:
                    self._do(work)
                for token, kept in journal.answered():
                    self.on_kept(token, kept)
                for mode, why in journal.changes:
                    log.warning({"event": "storage", "mode": mode, "reason": why})
                journal.changes.clear()
                if ending and work is None:
                    return
        except Exception:
            self.failed = True
            log.exception("event=storage_failed")

    def _take(self, wait: float | None) -> bool:
        """Whether the end was asked for."""
        journal = self.journal
        try:
            item = self.inbox.get(timeout=wait) if wait is None or wait > 0 else self.inbox.get_nowait()
            while True:
                if item is None:
                    return True
                *record, at, token = item
                if not journal.append(*record, self.now(), at, token) and token is not None:
                    self.on_kept(token, False)
                if journal.batch_bytes >= journal.bounds.batch:
                    return False
                item = self.inbox.get_nowait()
        except Empty:
            return False

    def _do(self, work: Work) -> None:
        try:
            carry_out(self.disk, work)
        except OSError as error:
            self.journal.failed(error.errno or 0, self.now())
        else:
            self.journal.done(self.now())
