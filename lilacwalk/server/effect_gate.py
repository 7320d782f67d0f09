"""Records non-idempotent requests on disk before they are executed, if a store is configured."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from lilacwalk.overload.events import ExecutionFinished
from lilacwalk.overload.model import Effect, Outcome, Request, RequestState
from lilacwalk.requests.records import CacheKey, CacheKeyKind, FinalStatus, InFlightRequest

if TYPE_CHECKING:
    from lilacwalk.server.event_loop import EventLoop
    from lilacwalk.server.request_lifecycle import RequestLifecycle
    from lilacwalk.storage.effect_log import RecoveredEffect

log = logging.getLogger(__name__)


class EffectGate:
    """Delays the dispatch of requests that are not idempotent until their record is on disk.

    Without a store, requests are dispatched at once. Has no state of its own: the persistence
    integration stores which requests wait, and records of earlier incarnations are restored into
    the result cache.
    """

    def __init__(self, event_loop: EventLoop, requests: RequestLifecycle) -> None:
        """`requests` owns the result cache and the requests in flight."""
        self._event_loop = event_loop
        self._subsystems = event_loop.subsystems
        self._requests = requests

    @property
    def accepts_effects(self) -> bool:
        """Whether requests that are not idempotent may be accepted.

        They may be accepted if no store is configured, if their records can be written, or if the
        operator allows them to run unrecorded.
        """
        persistence = self._subsystems.persistence
        return persistence is None or persistence.effect_log.accepts_effects

    def may_dispatch(self, entry: InFlightRequest) -> bool:
        """Whether the request may be dispatched now.

        Otherwise the writing of its record has started or is impossible, and `record_written` is
        called later.
        """
        persistence = self._subsystems.persistence
        request = entry.request
        if (
            persistence is None
            or entry.cache_key is None
            or request.request_class.effect is Effect.IDEMPOTENT
        ):
            return True
        now = self._event_loop.now
        expires_at = persistence.deduplicated_until(request, now)
        may_run = persistence.begin_effect(entry, entry.cache_key, expires_at, now)
        if may_run is False:
            # Posted, because the batch that dispatches the request is still being applied.
            self._event_loop.event_queue.post(self.record_written, entry, False)
        return bool(may_run)

    def record_written(self, entry: InFlightRequest, may_run: bool) -> None:
        """Ends the wait of a request for its record: dispatches the request or rejects it.

        A request whose client is gone or that has been answered is not dispatched. `may_run` is
        false if the record could not be written.
        """
        requests = self._requests
        event_loop = self._event_loop
        if may_run and entry.connection is not None and not entry.request.answered:
            event_loop.executor.commands.dispatch(entry)
            return
        requests.respond(entry, FinalStatus.REJECTED, retry_after=event_loop.server.max_retry_after)
        event_loop.controller_events.append(ExecutionFinished(entry.request, Outcome.NOT_EXECUTED))
        if may_run:
            self._subsystems.persistence.cancel_effect(entry.cache_key, event_loop.now)
        requests.result_cache.remove(entry.cache_key, entry.request)
        requests.in_flight.remove(entry)

    def record_end(self, entry: InFlightRequest, result: bytes | None) -> None:
        """Records the end of a request that was dispatched; `result` is None if unknown.

        Has no effect for idempotent or undispatched requests, or without a store.
        """
        persistence = self._subsystems.persistence
        request = entry.request
        if (
            persistence is not None
            and request.was_dispatched
            and request.request_class.effect is not Effect.IDEMPOTENT
        ):
            now = self._event_loop.now
            expires_at = persistence.deduplicated_until(request, now)
            persistence.finish_effect(entry.cache_key, result, expires_at, now)

    def find_earlier_execution(
        self, class_name: str, tenant_name: str, idempotency_key: str, request_id: str
    ) -> tuple[bool, bytes | None]:
        """Looks for an execution of a request by an earlier incarnation; requires a store.

        Returns:
            Whether the execution may have begun, and its result or None if that is not known. It
            may always have begun if the operator allows requests to run unrecorded.
        """
        persistence = self._subsystems.persistence
        assert persistence is not None
        cache_keys = (
            CacheKey(class_name, tenant_name, CacheKeyKind.IDEMPOTENCY_KEY, idempotency_key),
            CacheKey(class_name, tenant_name, CacheKeyKind.REQUEST_ID, request_id),
        )
        now = self._event_loop.now
        found = [
            cached
            for cache_key in cache_keys
            if (cached := self._requests.result_cache.find(cache_key, now)) is not None
        ]
        result = next((cached.result for cached in found if cached.result is not None), None)
        return bool(found) or persistence.effect_log.allows_unpersisted, result

    def restore(self, recovered: list[RecoveredEffect]) -> None:
        """Adds the records of earlier incarnations to the result cache."""
        requests = self._requests
        now = self._event_loop.now
        dropped_count = 0
        for effect in recovered:
            cache_key = CacheKey(*effect.cache_key)
            request_class = requests.request_classes.get(cache_key.class_name)
            if request_class is None:
                continue
            request = Request(
                request_class,
                now,
                now,
                now,
                0.0,
                state=RequestState.FINISHED,
                answered=True,
                was_dispatched=True,
            )
            dropped_count += not requests.result_cache.restore(
                cache_key, request, effect.expires_at, effect.result
            )
        if dropped_count:
            log.error(
                "event=effects_not_restored count=%d detail='the result cache is full'",
                dropped_count,
            )
