"""Screens requests before the controller: duplicates, capacity limits and load shedding."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from lilacwalk.overload.model import Effect, Request, RequestClass, Tenant
from lilacwalk.requests.records import (
    CacheKey,
    CacheKeyKind,
    ClientConnection,
    FinalResponse,
    FinalStatus,
    IncomingRequest,
)

if TYPE_CHECKING:
    from lilacwalk.server.event_loop import EventLoop
    from lilacwalk.server.request_lifecycle import RequestLifecycle


@dataclass(slots=True)
class Submission:
    """A valid incoming request with its class, tenant, deadline and original request.

    Times are in tenths of a millisecond.
    """

    client: ClientConnection
    incoming: IncomingRequest
    request_class: RequestClass
    tenant: Tenant | None
    body: bytes
    arrived_at: int  # by the clock of this process
    deadline: int
    cache_key: CacheKey | None  # the key by which duplicates are found in the result cache
    original: Request | None  # the request that this one duplicates; None: not a duplicate


class RequestScreening:
    """Finds duplicates, and responds to requests on which the controller need not decide.

    Has no state of its own: it reads that of the `RequestLifecycle` and of the subsystems.
    """

    def __init__(self, event_loop: EventLoop, requests: RequestLifecycle) -> None:
        """`requests` owns the result cache and the requests in flight."""
        self._event_loop = event_loop
        self._requests = requests
        self._subsystems = event_loop.subsystems
        self._limits = event_loop.limits
        self._result_cache = requests.result_cache

    def prepare(
        self,
        client: ClientConnection,
        incoming: IncomingRequest,
        request_class: RequestClass,
        tenant: Tenant | None,
    ) -> Submission:
        """Finds the original request, if any, of a valid request, and computes the deadline."""
        now = self._event_loop.now
        arrived_at = min(incoming.arrived_at + self._event_loop.clock.offset, now)
        timeout = request_class.timeout if incoming.timeout is None else incoming.timeout
        cache_key, original = self._find_original(request_class, incoming, arrived_at)
        return Submission(
            client=client,
            incoming=incoming,
            request_class=request_class,
            tenant=tenant,
            body=bytes(incoming.body),
            arrived_at=arrived_at,
            deadline=max(arrived_at + timeout, now),
            cache_key=cache_key,
            original=original,
        )

    def _find_original(
        self, request_class: RequestClass, incoming: IncomingRequest, arrived_at: int
    ) -> tuple[CacheKey | None, Request | None]:
        """Returns the cache key of the request and the original request found under it.

        Both are None if duplicates of the request cannot be detected.
        """
        is_idempotent = request_class.effect is Effect.IDEMPOTENT
        if (
            request_class.effect is Effect.DEDUPLICATED
            and request_class.deduplication_window
            and incoming.idempotency_key
        ):
            kind = CacheKeyKind.IDEMPOTENCY_KEY
            text = incoming.idempotency_key
        elif is_idempotent and self._limits.result_freshness and incoming.subject:
            kind = CacheKeyKind.SUBJECT
            text = incoming.subject
        elif not is_idempotent and self._subsystems.persistence is not None:
            kind = CacheKeyKind.REQUEST_ID  # a client that lost its connection retries with the id
            text = incoming.id
        else:
            return None, None
        cache_key = CacheKey(request_class.name, incoming.tenant_name, kind, text)
        # The deduplication window is checked at the time of arrival, even if the request is read
        # much later. The freshness of a result is checked at the time of the response.
        is_key = kind is CacheKeyKind.IDEMPOTENCY_KEY
        cached = self._result_cache.find(cache_key, arrived_at if is_key else self._event_loop.now)
        return cache_key, cached.request if cached is not None else None

    def has_different_body(self, submission: Submission) -> bool:
        """Whether an earlier request had the same idempotency key but another body."""
        cache_key = submission.cache_key
        return (
            cache_key is not None
            and cache_key.kind == CacheKeyKind.IDEMPOTENCY_KEY
            and self._result_cache.has_different_body(
                cache_key, submission.arrived_at, submission.body
            )
        )

    def respond_without_controller(self, submission: Submission) -> FinalResponse | None:
        """Returns the response if the controller need not decide on the request, else None."""
        if self._event_loop.controller is None or self._is_full(submission):
            return self._respond_without_capacity(submission)
        is_idempotent = submission.request_class.effect is Effect.IDEMPOTENT
        if submission.original is None and not is_idempotent:
            if self._may_duplicate_evicted_request(submission):
                return FinalResponse(FinalStatus.FAILED)
            if not self._requests.effect_gate.accepts_effects:
                retry_after = self._event_loop.server.max_retry_after
                return FinalResponse(FinalStatus.REJECTED, retry_after=retry_after)
        return self._shed(submission)

    def _is_full(self, submission: Submission) -> bool:
        frontend = submission.client.frontend
        return (
            len(self._requests.in_flight) >= self._limits.max_in_flight
            or frontend.in_flight >= frontend.max_in_flight
            or (
                submission.cache_key is not None
                and submission.original is None
                and self._result_cache.is_full
            )
        )

    def _respond_without_capacity(self, submission: Submission) -> FinalResponse:
        """Rejects a request, unless it duplicates a dispatched request that has an effect.

        Such a duplicate needs no capacity: it gets the original's result, or fails if the result is
        not known.
        """
        original = submission.original
        if (
            original is None
            or not original.was_dispatched
            or original.request_class.effect is Effect.IDEMPOTENT
        ):
            return FinalResponse(FinalStatus.REJECTED)
        cached = self._result_cache.find(submission.cache_key, submission.arrived_at)
        if cached is None or cached.result is None:
            return FinalResponse(FinalStatus.FAILED)
        return FinalResponse(FinalStatus.COMPLETED, cached.result)

    def _may_duplicate_evicted_request(self, submission: Submission) -> bool:
        """Whether the request may duplicate one whose key is no longer found.

        That is the case if the request was read so late that keys valid at its arrival have been
        evicted, or if it arrived just after the end of the deduplication window, because the client
        may measure the window from a later time than this server does.
        """
        if submission.request_class.effect is not Effect.DEDUPLICATED:
            return False
        if submission.arrived_at < self._result_cache.evicted_until:
            return True
        slack = self._limits.deduplication_window_slack
        return (
            submission.cache_key is not None
            and self._result_cache.find(submission.cache_key, submission.arrived_at - slack)
            is not None
        )

    def _shed(self, submission: Submission) -> FinalResponse | None:
        """Returns the rejection if a subsystem sheds the request, else None."""
        is_duplicate = submission.original is not None
        retry_storms = self._subsystems.retry_storms
        if retry_storms is not None:
            rejection = retry_storms.evaluate_request(
                submission.incoming, submission.deadline, is_duplicate, self._event_loop.now
            )
            if rejection is not None:
                return FinalResponse(FinalStatus.REJECTED, retry_after=rejection.retry_after)
        failover_traffic = self._subsystems.failover_traffic
        if failover_traffic is not None:
            rejection = failover_traffic.reject_if_overloaded(
                submission.request_class.name,
                submission.client.frontend.source_site,
                self._event_loop.controller,
            )
            if rejection is not None and not is_duplicate:
                return FinalResponse(FinalStatus.REJECTED, retry_after=rejection.retry_after)
        return None
