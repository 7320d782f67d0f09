"""The requests of one server by the identifiers that the simulator uses."""

from __future__ import annotations

from lilacwalk.overload.model import SECOND, Request, RequestState

# Time between removals of finished requests. A request stays for at least this time after the end
# of its deduplication window.
EXPIRY_INTERVAL = SECOND


class RequestTable:
    """Maps identifiers to requests and back, and removes finished requests.

    Times are in tenths of a millisecond.
    """

    def __init__(self, now: int) -> None:
        """Creates an empty table; `now` is the current time."""
        self._requests_by_id: dict[str, Request] = {}
        self._ids: dict[Request, str] = {}
        self._key_expires_at: dict[str, int] = {}
        self._next_expiry_at = now + EXPIRY_INTERVAL

    def add(self, request_id: str, request: Request) -> None:
        """Adds a request under an identifier."""
        self._requests_by_id[request_id] = request
        self._ids[request] = request_id

    def find(self, request_id: str) -> Request | None:
        """Returns the request with this identifier, or None if it was removed or never added."""
        return self._requests_by_id.get(request_id)

    def id_of(self, request: Request) -> str:
        """Returns the identifier of a request in the table."""
        return self._ids[request]

    def retain_for_key(self, request: Request, expires_at: int) -> None:
        """Retains a request until its idempotency key expires, since duplicates may refer to it."""
        self._key_expires_at[self._ids[request]] = expires_at

    def remove_expired(self, now: int) -> None:
        """Removes finished requests that no message can refer to any more.

        Has no effect if the last removal was less than `EXPIRY_INTERVAL` ago.
        """
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
