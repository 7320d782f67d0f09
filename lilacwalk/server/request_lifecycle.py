"""Handles requests between frontends and the controller: submission, response and release."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lilacwalk.overload.events import (
    ClientGone,
    ExecutionFinished,
    ExecutionUnconfirmed,
    RequestReceived,
)
from lilacwalk.overload.model import Effect, Outcome, Request, RequestState
from lilacwalk.requests.in_flight import InFlightTable
from lilacwalk.requests.records import (
    ClientConnection,
    FinalResponse,
    FinalStatus,
    IncomingRequest,
    InFlightRequest,
)
from lilacwalk.requests.result_cache import ResultCache
from lilacwalk.server.effect_gate import EffectGate
from lilacwalk.server.request_screening import RequestScreening, Submission

if TYPE_CHECKING:
    from lilacwalk.server.event_loop import EventLoop

UNKNOWN_CLASS = "unknown request class"
UNKNOWN_TENANT = "unknown tenant"
ID_IN_USE = "request id already in use"
KEY_REUSED = "idempotency key already used with another body"


class RequestLifecycle:
    """The `RequestHandler` of all frontends: accepts requests, responds to them, releases them.

    Owns the table of requests in flight and the cache of idempotency keys and results.
    """

    def __init__(self, event_loop: EventLoop) -> None:
        """Creates an empty in-flight table and result cache."""
        self._event_loop = event_loop
        self._subsystems = event_loop.subsystems
        self._server = event_loop.server
        self.limits = event_loop.limits
        self.send = event_loop.send  # frontends write to their sockets with it
        self.request_classes = {each.name: each for each in self._server.request_classes}
        self.tenants = {tenant.name: tenant for tenant in self._server.tenants}
        self.in_flight = InFlightTable()
        self.result_cache = ResultCache(
            self.limits.max_cache_entries, self.limits.max_cached_result_bytes
        )
        self.effect_gate = EffectGate(event_loop, self)
        self._screening = RequestScreening(event_loop, self)

    # Queries and notifications from frontends

    @property
    def now(self) -> int:
        """The Unix time of the current iteration, in tenths of a millisecond."""
        return self._event_loop.now

    @property
    def is_healthy(self) -> bool:
        """Whether the controller last reported this server as healthy."""
        return self._event_loop.decision_applier.is_healthy

    @property
    def advertised_capacity(self) -> float | None:
        """The capacity that responses advertise; None until the controller has reported one."""
        return self._event_loop.decision_applier.advertised_capacity

    @property
    def close_idle_after(self) -> int:
        """Idle time after which connections are closed, in tenths of a millisecond.

        If it is 0, the frontends' own idle limits apply.
        """
        return self._event_loop.decision_applier.close_idle_after

    def connection_opened(self) -> None:
        """Counts a new connection of any frontend."""
        if self._subsystems.retry_storms is not None:
            self._subsystems.retry_storms.damper.connection_opened()

    def find_earlier_execution(
        self, class_name: str, tenant_name: str, idempotency_key: str, request_id: str
    ) -> tuple[bool, bytes | None]:
        """See `EffectGate.find_earlier_execution`."""
        return self.effect_gate.find_earlier_execution(
            class_name, tenant_name, idempotency_key, request_id
        )

    def client_gone(self, entry: InFlightRequest) -> None:
        """Handles a request whose client has disconnected or withdrawn it."""
        self.in_flight.detach_client(entry)
        self._event_loop.controller_events.append(ClientGone(entry.request))
        self.release_if_not_executing(entry)

    # Submit

    def submit(self, client: ClientConnection, tag: int, incoming: IncomingRequest) -> str:
        """Accepts a request, or responds at once if the controller need not decide on it.

        The frontend has checked that the tag is free and that the client's number of open requests
        is within its limit.

        Returns:
            Why the request is invalid; empty if it was accepted or responded to.
        """
        request_class = self.request_classes.get(incoming.class_name)
        if request_class is None:
            return UNKNOWN_CLASS
        tenant = self.tenants.get(incoming.tenant_name)
        if tenant is None and self.tenants and incoming.tenant_name:
            return UNKNOWN_TENANT
        if incoming.id in self.in_flight.by_id:
            return ID_IN_USE
        submission = self._screening.prepare(client, incoming, request_class, tenant)
        if self._screening.has_different_body(submission):
            # A duplicate has the same body as the original request. This request only has the same
            # key and must not get the original's result. It is rejected, so that it can be retried,
            # until the original has finished, because the original's key may still be released.
            if submission.original.state is not RequestState.FINISHED:
                client.frontend.send_response(client, tag, FinalResponse(FinalStatus.REJECTED))
                return ""
            if submission.original.was_dispatched:
                return KEY_REUSED
        response = self._screening.respond_without_controller(submission)
        if response is not None:
            client.frontend.send_response(client, tag, response)
        else:
            self._accept(submission, tag)
        return ""

    def _accept(self, submission: Submission, tag: int) -> None:
        """Adds the request to the in-flight table and passes it to the controller."""
        incoming = submission.incoming
        client = submission.client
        request_class = submission.request_class
        if self._subsystems.failover_traffic is not None:
            request_class = self._subsystems.failover_traffic.effective_class(
                client.frontend.source_site, request_class
            )
        now = self._event_loop.now
        request = Request(
            request_class=request_class,
            # No client waits longer. An older time would distort the controller's means.
            arrived_at=max(submission.arrived_at, now - request_class.timeout),
            read_at=now,
            deadline=submission.deadline,
            memory_kb=incoming.memory_kb,
            tenant=submission.tenant,
            work_hint=incoming.work_hint,
            is_retry=incoming.is_retry,
            client=incoming.client,
            duplicate_of=submission.original,
        )
        self.in_flight.add(
            InFlightRequest(
                request,
                incoming.id,
                tag,
                client,
                incoming.class_name,
                submission.body,
                submission.cache_key,
            )
        )
        if submission.cache_key is not None and submission.original is None:
            self._register_key(submission, request)
        self._event_loop.controller_events.append(RequestReceived(request))

    def _register_key(self, submission: Submission, request: Request) -> None:
        """Registers the key at once, because a duplicate can be read in the same iteration."""
        request_class = request.request_class
        if request_class.effect is Effect.IDEMPOTENT:
            self.result_cache.put(submission.cache_key, request, None)
        elif request_class.effect is Effect.DEDUPLICATED:
            expires_at = submission.arrived_at + request_class.deduplication_window
            self.result_cache.put(submission.cache_key, request, expires_at, submission.body)

    # Respond and release

    def respond(
        self,
        entry: InFlightRequest,
        status: FinalStatus,
        body: bytes | memoryview = b"",
        *,
        retry_after: int = 0,
        do_not_retry_elsewhere: bool = False,
    ) -> None:
        """Sends the final response, unless one has been sent or the client is gone."""
        client = self.in_flight.detach_client(entry)
        if client is None:
            return
        client.frontend.send_response(
            client, entry.tag, FinalResponse(status, body, retry_after, do_not_retry_elsewhere)
        )
        self._subsystems.response_sent(entry, status)

    def respond_to_duplicate(self, entry: InFlightRequest, result: bytes | None) -> None:
        """Responds to a duplicate with the result of the original request, and removes it.

        If `result` is None, the result is unknown, and the response is that the duplicate failed.
        """
        entry.awaits_result_of = None
        if result is None:
            self.respond(entry, FinalStatus.FAILED)
            outcome = Outcome.ERROR
        else:
            self.respond(entry, FinalStatus.COMPLETED, result)
            outcome = Outcome.OK
        self._event_loop.controller_events.append(ExecutionFinished(entry.request, outcome))
        self.in_flight.remove(entry)

    def release_key(self, entry: InFlightRequest) -> None:
        """Removes the key of a request that was never executed.

        The next request with the same key then does not count as a duplicate.
        """
        if entry.cache_key is not None:
            self.result_cache.remove(entry.cache_key, entry.request)

    def execution_unconfirmed(self, entry: InFlightRequest) -> None:
        """Handles a request for which a command may be lost that must not be repeated.

        If its execution exists and continues, it ends the request as usual.
        """
        entry.is_unconfirmed = True
        self._event_loop.controller_events.append(ExecutionUnconfirmed(entry.request))
        self.release_if_not_executing(entry)

    def release_if_not_executing(self, entry: InFlightRequest) -> None:
        """Releases a request that has been answered or abandoned, unless it is executing.

        An executing request is released when its execution ends. If the execution may not exist or
        not continue, the request is released once no duplicate waits for its result.
        """
        if not entry.request.was_dispatched:
            self.release_request(entry, None)
        elif (
            entry.is_unconfirmed
            and entry.connection is None
            and not self._waiting_duplicates(entry.request)
        ):
            self._event_loop.controller_events.append(
                ExecutionFinished(entry.request, Outcome.CONNECTION_LOST)
            )
            self.release_request(entry, None)

    def _waiting_duplicates(self, original: Request) -> list[InFlightRequest]:
        """The duplicates that are to be answered with the result of `original`."""
        return [
            other for other in self.in_flight.by_id.values() if other.awaits_result_of is original
        ]

    def release_request(self, entry: InFlightRequest, result: bytes | None) -> None:
        """Removes a request that has been executed or will not be, and answers its duplicates.

        `result` is the result that duplicates get; None if it is unknown.
        """
        self.in_flight.remove(entry)
        original = self.in_flight.by_request.get(entry.awaits_result_of)
        if original is not None and original.is_unconfirmed:
            self.release_if_not_executing(original)
        if entry.cache_key is None:
            return
        request = entry.request
        self.effect_gate.record_end(entry, result)
        if request.was_dispatched or result is not None:
            self._cache_result(entry, result)
            for duplicate in self._waiting_duplicates(request):
                self.respond_to_duplicate(duplicate, result)
        elif not any(
            other.request.duplicate_of is request for other in self.in_flight.by_id.values()
        ):
            # If there is a duplicate, it replaces this request in the current batch. If the key
            # were removed now, another duplicate read before the batch would count as an original
            # request, and both would run.
            self.result_cache.remove(entry.cache_key, request)

    def _cache_result(self, entry: InFlightRequest, result: bytes | None) -> None:
        cache_key = entry.cache_key
        request = entry.request
        self.result_cache.record_result(cache_key, request, result)
        if request.request_class.effect is not Effect.IDEMPOTENT:
            return
        if result is None:
            self.result_cache.remove(cache_key, request)
        else:
            fresh_until = self._event_loop.now + self.limits.result_freshness
            self.result_cache.put(cache_key, request, fresh_until)
