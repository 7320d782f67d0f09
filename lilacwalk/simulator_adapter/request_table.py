"""The requests of one server by the identifiers that the simulator uses."""

from __future__ import annotations

from lilacwalk.overload.model import SECOND, Request, RequestState

EXPIRY_INTERVAL = SECOND  # between removals of identifiers that are no longer needed


class RequestTable:
    """Maps identifiers to requests and back, and removes finished requests."""

    def __init__(self, now: int) -> None:
        """Creates an empty table at the time `now`, in tenths of a millisecond."""
        self._requests_by_id: dict[str, Request] = {}
        self._ids: dict[Request, str] = {}
        self._key_expires_at: dict[str, int] = {}
        self._next_expiry_at = now + EXPIRY_INTERVAL

    def add(self, request_id: str, request: Request) -> None:
        """Adds a request."""
        self._requests_by_id[request_id] = request
        self._ids[request] = request_id

    def find(self, request_id: str) -> Request | None:
        """Returns the request with this identifier."""
        return self._requests_by_id.get(request_id)

    def id_of(self, request: Request) -> str:
        """Returns the identifier of a request that was added."""
        return self._ids[request]

    def retain_for_key(self, request: Request, expires_at: int) -> None:
        """Retains a request as long as a duplicate may have the same idempotency key."""
        self._key_expires_at[self._ids[request]] = expires_at

    def remove_expired(self, now: int) -> None:
        """Removes finished requests that no message can refer to, once per `EXPIRY_INTERVAL`."""
        if now < self._next_expiry_at:
            return
        self._next_expiry_at = now + EXPIRY_INTERVAL
        expired = [
            request_id
            for request_id, request in self._requests_by_id.items()
            if self._is_expired(request_id, request, now)
        ]
        for request_id in expired:
            del self._ids[self._requests_by_id.pop(request_id)]
            self._key_expires_at.pop(request_id, None)

    def _is_expired(self, request_id: str, request: Request, now: int) -> bool:
        window = request.request_class.deduplication_window
        return (
            request.state is RequestState.FINISHED
            and self._key_expires_at.get(request_id, 0) < now
            and request.read_at + window + EXPIRY_INTERVAL < now
        )
