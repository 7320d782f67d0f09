"""A cache of request keys and results, used to detect and answer duplicates.

The number, total size and lifetime of its entries are limited. Times are in tenths of a
millisecond.
"""

from __future__ import annotations

from dataclasses import dataclass

from lilacwalk.overload.model import Request
from lilacwalk.requests.records import CacheKey

# Maximum time from the arrival of a request until it is read, except after a stall.
MAX_READ_DELAY = 10_000


@dataclass(eq=False, slots=True)
class CacheEntry:
    """An entry of the cache.

    Attributes:
        request: The request to which the key belongs.
        expires_at: The time of expiry; None while the request is in flight.
        result: The result; None if there is none or it did not fit into the cache.
        is_finished: Whether the execution has ended.
        body_hash: The hash of the request's body; None if unknown.
    """

    request: Request
    expires_at: int | None
    result: bytes | None = None
    is_finished: bool = False
    body_hash: int | None = None


class ResultCache:
    """Holds cache entries by key, in the order in which they were added."""

    def __init__(self, max_entries: int, max_bytes: int) -> None:
        """Creates an empty cache; `max_bytes` limits the total size of the results."""
        self.max_entries = max_entries
        self.max_bytes = max_bytes
        self.entries: dict[CacheKey, CacheEntry] = {}
        self.bytes = 0  # total size of the stored results
        self.evicted_until = 0  # duplicates that arrived before this time may go undetected

    @property
    def is_full(self) -> bool:
        """Whether the maximum number of entries is reached."""
        return len(self.entries) >= self.max_entries

    def find(self, key: CacheKey, arrived_at: int) -> CacheEntry | None:
        """Returns the entry under a key, or None if there was none at `arrived_at`.

        `arrived_at` is the arrival time of the request that may be a duplicate. An entry that
        expires between the arrival and the reading of that request is still returned.
        """
        entry = self.entries.get(key)
        if entry is not None and entry.expires_at is not None and entry.expires_at <= arrived_at:
            return None
        return entry

    def has_different_body(self, key: CacheKey, arrived_at: int, body: bytes) -> bool:
        """Whether the key belongs to a request whose body is known to differ from `body`."""
        entry = self.find(key, arrived_at)
        return entry is not None and entry.body_hash is not None and entry.body_hash != hash(body)

    def put(
        self,
        key: CacheKey,
        request: Request,
        expires_at: int | None,
        body: bytes | None = None,
    ) -> None:
        """Adds an entry, or changes the expiry of the request's existing entry.

        An entry of another request under the same key is replaced.
        """
        old = self.entries.get(key)
        if old is not None and old.request is request:
            old.expires_at = expires_at
            return
        if old is not None:
            self.remove(key, old.request)
        body_hash = None if body is None else hash(body)
        self.entries[key] = CacheEntry(request, expires_at, body_hash=body_hash)

    def restore(
        self, key: CacheKey, request: Request, expires_at: int, result: bytes | None
    ) -> bool:
        """Adds an entry from before a restart unless the key already has a newer one.

        Returns:
            False if the cache is full.
        """
        if key in self.entries:
            return True
        if self.is_full:
            return False
        self.put(key, request, expires_at)
        self.record_result(key, request, result)
        return True

    def record_result(self, key: CacheKey, request: Request, result: bytes | None) -> None:
        """Records the end of the request's execution; `result` is None if there is no result.

        If the result does not fit into the cache, it is not stored, but the entry remains, so that
        no duplicate is executed.
        """
        entry = self.entries.get(key)
        if entry is None or entry.request is not request:
            return
        entry.is_finished = True
        if result is not None and self.bytes + len(result) <= self.max_bytes:
            entry.result = result
            self.bytes += len(result)

    def remove(self, key: CacheKey, request: Request) -> None:
        """Removes the entry under the key if it belongs to the request."""
        entry = self.entries.get(key)
        if entry is not None and entry.request is request:
            del self.entries[key]
            self.bytes -= len(entry.result or b"")

    def evict_expired(self, now: int) -> None:
        """Removes entries that expired at least MAX_READ_DELAY ago.

        Before that time, a duplicate that arrived before the expiry may still be unread.
        """
        for key, entry in list(self.entries.items()):
            if entry.expires_at is not None and entry.expires_at <= now - MAX_READ_DELAY:
                self.evicted_until = max(self.evicted_until, entry.expires_at)
                self.remove(key, entry.request)
