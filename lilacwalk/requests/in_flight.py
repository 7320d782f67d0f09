"""The table of requests in flight."""

from __future__ import annotations

from lilacwalk.overload.model import Request
from lilacwalk.requests.records import ClientConnection, InFlightRequest


class InFlightTable:
    """The requests in flight, by id and by their `Request`.

    The table also maintains `ClientConnection.open_requests` and `Frontend.in_flight`.
    """

    def __init__(self) -> None:
        """Creates an empty table."""
        self.by_id: dict[str, InFlightRequest] = {}
        self.by_request: dict[Request, InFlightRequest] = {}

    def __len__(self) -> int:
        """Returns the number of requests in flight."""
        return len(self.by_id)

    def add(self, entry: InFlightRequest) -> None:
        """Adds a request to this table and to its client connection."""
        self.by_id[entry.id] = entry
        self.by_request[entry.request] = entry
        if entry.connection is not None:
            entry.connection.open_requests[entry.tag] = entry
            entry.connection.frontend.in_flight += 1

    def detach_client(self, entry: InFlightRequest) -> ClientConnection | None:
        """Detaches the request from its client connection; later results are discarded.

        Returns:
            The connection, or None if the request was already detached.
        """
        client, entry.connection = entry.connection, None
        if client is not None:
            del client.open_requests[entry.tag]
            client.frontend.in_flight -= 1
        return client

    def remove(self, entry: InFlightRequest) -> None:
        """Removes the request unless its id now belongs to another one."""
        if self.by_id.get(entry.id) is entry:
            del self.by_id[entry.id]
            del self.by_request[entry.request]
