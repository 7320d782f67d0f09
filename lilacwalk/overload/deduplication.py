"""Coalesces duplicates with their original request and registers idempotency keys."""

from __future__ import annotations

from lilacwalk.overload.batch_context import BatchContext
from lilacwalk.overload.model import Request, RequestState, ServerSettings
from lilacwalk.overload.server_load import ServerLoad


class Deduplication:
    """Links duplicates to their originals, and accounts for the memory of registered keys.

    The `Request` records contain the links, and `ServerLoad` owns the memory in use.
    """

    def __init__(self, context: BatchContext, server: ServerSettings, load: ServerLoad) -> None:
        """Stores the context, the settings and the load, which other parts also use."""
        self._context = context
        self._server = server
        self._load = load

    def register_key(self, request: Request) -> None:
        """Registers the idempotency key of a request for the rest of its deduplication window.

        The key is registered when the request is queued, not when it is dispatched, so that every
        duplicate that arrives within the window is detected.
        """
        now = self._context.now
        lifetime = (
            request.arrived_at
            + request.request_class.deduplication_window
            - now
            + self._server.timer_quantum
        )
        if lifetime > 0:
            request.is_registered = True
            self._load.reserve_memory(self._server.deduplication_entry_kb)
            self._context.sink.register_key(request, lifetime)
            self._context.schedule(now + lifetime, self._unregister_key, request)

    def _unregister_key(self, request: Request) -> None:
        if request.is_registered:
            request.is_registered = False
            self._load.free_memory(self._server.deduplication_entry_kb)

    def attach(self, duplicate: Request) -> bool:
        """Attaches a duplicate to its original request.

        If the original was dispatched, the duplicate is answered with its result; if the original
        is queued, the duplicate waits for it. The two are never executed concurrently.

        Returns:
            False if the original ended without being executed. The duplicate then no longer counts
            as one, and may be admitted in place of the original; further duplicates of the original
            are duplicates of this one.
        """
        named_original = duplicate.duplicate_of
        original = named_original
        while original.duplicate_of and not original.was_dispatched:
            original = original.duplicate_of
        duplicate.duplicate_of = original
        if original.was_dispatched:
            self._coalesce(duplicate)
            return True
        if original.state is RequestState.FINISHED:
            duplicate.duplicate_of = None
            original.duplicate_of = duplicate
            named_original.duplicate_of = duplicate  # keeps the chain of links short
            return False
        original.duplicates.append(duplicate)
        self._load.queue.append(duplicate)
        return True

    def coalesce_queued_duplicates(self, original: Request) -> None:
        """Coalesces all queued duplicates with `original`, which has just been dispatched."""
        for duplicate in original.duplicates:
            if duplicate.state is RequestState.QUEUED:
                self._load.queue.remove(duplicate)
                self._coalesce(duplicate)

    def _coalesce(self, duplicate: Request) -> None:
        duplicate.state = RequestState.COALESCED
        self._context.sink.coalesce(duplicate)

    def replace_unexecuted(self, request: Request) -> None:
        """Lets the first queued duplicate take the place of a request that was never executed.

        If no duplicate is queued, releases the key of the request.
        """
        queued = [other for other in request.duplicates if other.state is RequestState.QUEUED]
        if queued:
            successor, *others = queued
            successor.duplicate_of = None
            successor.duplicates = others
            # `request` also gets a link, so that duplicates that refer to it find its successor.
            for other in (request, *others):
                other.duplicate_of = successor
            self.register_key(successor)
        elif request.is_registered:
            self._unregister_key(request)
            self._context.sink.release_key(request)
