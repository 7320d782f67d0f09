"""Opens the store in a thread of its own, because a slow disk may block without limit."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable
from typing import Protocol

from lilacwalk.event_queue import EventQueue
from lilacwalk.storage.config import StorageConfig
from lilacwalk.storage.disk import Directory
from lilacwalk.storage.operations import Durability, JournalLimits
from lilacwalk.storage.ownership import OwnershipError
from lilacwalk.storage.records import Record
from lilacwalk.storage.store import ModeCallback, PersistedCallback, Store

log = logging.getLogger(__name__)
RETRY_DELAY = 5.0  # seconds; a full or missing disk is seldom available again sooner
MAX_SEGMENT_BYTES = 16_000_000
SEGMENTS_PER_STORE = 8  # minimum number of segments if the store has its maximum size
# A snapshot is due when a quarter of the store's maximum size has been written to the log.
SNAPSHOT_LOG_DIVISOR = 4


class OpenFailedCallback(Protocol):
    """Called when the store could not be opened."""

    def __call__(self, reason: str, is_permanent: bool, /) -> None:
        """Handles the failure, in the event loop's thread.

        If `is_permanent` is true, opening is not retried.
        """
        ...


class StoreOpener:
    """Opens the store, with retries after disk errors. Owns the thread `storage-opening`.

    The callbacks `on_opened` and `on_failed` run in the event loop's thread, the others in the
    store's thread.
    """

    def __init__(
        self,
        config: StorageConfig,
        node: str,
        event_queue: EventQueue,
        *,
        on_opened: Callable[[Store, list[Record]], None],
        on_failed: OpenFailedCallback,
        on_persisted: PersistedCallback,
        on_mode_change: ModeCallback,
    ) -> None:
        """Creates the thread; `node` is the name with which this node claims the directory."""
        self._config = config
        self._node = node
        self._event_queue = event_queue
        self._on_opened = on_opened
        self._on_failed = on_failed
        self._on_persisted = on_persisted
        self._on_mode_change = on_mode_change
        self._is_stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="storage-opening", daemon=True)

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stops the retries without waiting for the thread, because the disk may hang."""
        self._is_stopped.set()

    def _run(self) -> None:
        while not self._is_stopped.is_set():
            try:
                store = self._open()
            except OwnershipError as error:
                self._event_queue.post(self._on_failed, str(error), True)
                return
            except OSError as error:
                reason = f"{self._config.directory}: {error.strerror or error}"
                self._event_queue.post(self._on_failed, reason, False)
                self._is_stopped.wait(RETRY_DELAY)
            except Exception:
                log.exception("event=thread_failed thread=storage-opening")
                self._event_queue.post(
                    self._on_failed, "unexpected error while opening the store: see the log", True
                )
                return
            else:
                # Copied before the start, because the store's thread then owns the rows.
                rows = list(store.journal.state.rows.values())
                store.start()
                self._event_queue.post(self._on_opened, store, rows)
                return

    def _open(self) -> Store:
        directory = Directory(self._config.directory)
        directory.claim(self._node)
        try:
            return self._open_claimed(directory)
        except BaseException:
            directory.close()  # otherwise the next attempt finds the directory in use
            raise

    def _open_claimed(self, directory: Directory) -> Store:
        max_bytes = self._config.max_bytes
        return Store(
            directory,
            Durability(self._config.durability),
            JournalLimits(
                max_disk_bytes=max_bytes,
                segment_bytes=min(MAX_SEGMENT_BYTES, max_bytes // SEGMENTS_PER_STORE),
                snapshot_after_bytes=max_bytes // SNAPSHOT_LOG_DIVISOR,
            ),
            self._on_persisted,
            on_mode_change=self._on_mode_change,
        )
