"""Makes the dependency calls of running requests and reports their outcome."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lilacwalk.overload.events import CallFinished, CallRequested
from lilacwalk.overload.model import Effect, Outcome
from lilacwalk.protocols.dependency_client import DependencyClient
from lilacwalk.protocols.dependency_connection import DependencyCall, DependencyConnection
from lilacwalk.requests.records import InFlightRequest

if TYPE_CHECKING:
    from lilacwalk.server.event_loop import EventLoop

MILLISECOND = 10  # in tenths of a millisecond


class DependencyCalls:
    """Passes calls between the executor, the controller and the dependency.

    Has no state of its own: the call of a request is stored in its `InFlightRequest`, and the
    `DependencyClient` owns the connections.
    """

    def __init__(self, event_loop: EventLoop, client: DependencyClient) -> None:
        """Registers itself for the callback of `client`."""
        self._event_loop = event_loop
        self.client = client
        client.on_call_finished = self._call_finished

    def request(self, request_id: str, event_number: int, body: memoryview | bytes) -> None:
        """Reports to the controller that an execution waits for a call.

        Args:
            request_id: The id of the executed request.
            event_number: The number of the executor event that requested the call.
            body: The body of the call.
        """
        entry = self._event_loop.requests.in_flight.by_id.get(request_id)
        if entry is None:
            return
        self._event_loop.executor.commands.event_received(entry)
        entry.call_event_number = event_number
        entry.call_body = bytes(body)
        self._event_loop.controller_events.append(CallRequested(entry.request))

    def start(self, entry: InFlightRequest, timeout_at: int) -> None:
        """Starts the call for which `entry` waits; the call times out at `timeout_at`.

        `timeout_at` is in tenths of a millisecond.
        """
        event_loop = self._event_loop
        call = DependencyCall(
            entry.id,
            max(1, (timeout_at - event_loop.now) // MILLISECOND),
            entry.call_body,
            entry.request.request_class.effect is not Effect.IDEMPOTENT,
        )
        entry.call = call
        entry.call_started_at = event_loop.now
        self.client.start_call(call)
        event_loop.schedule(timeout_at, self._timed_out, entry, call)

    def skip(self, entry: InFlightRequest) -> None:
        """Sends the executor the command to continue the execution without its call."""
        self._event_loop.executor.commands.skip_call(entry)

    def abandon(self, entry: InFlightRequest) -> None:
        """Abandons the call, if any, of an execution that has ended.

        The controller receives no event for the call, only the end of the execution.
        """
        if entry.call is not None:
            self.client.abandon(entry.call)
            entry.call = None

    def close_idle_connections(self) -> None:
        """Closes connections that have been idle for `limits.dependency_idle_timeout`."""
        event_loop = self._event_loop
        self.client.close_idle(event_loop.now - event_loop.limits.dependency_idle_timeout)

    def end_call(self, entry: InFlightRequest, outcome: Outcome) -> None:
        """Reports to the controller how the call of `entry` ended."""
        entry.call = None
        event_loop = self._event_loop
        event_loop.controller_events.append(
            CallFinished(entry.request, outcome, event_loop.now - entry.call_started_at)
        )

    def _call_finished(
        self,
        connection: DependencyConnection | None,
        call: DependencyCall,
        outcome: Outcome,
        body: bytes,
    ) -> None:
        event_loop = self._event_loop
        self.client.call_finished(connection, event_loop.now)
        entry = event_loop.requests.in_flight.by_id.get(call.request_id)
        if entry is None or entry.call is not call:
            return
        if outcome is Outcome.OK and entry.connection is not None:
            event_loop.executor.commands.send_call_result(entry, body)
        self.end_call(entry, outcome)

    def _timed_out(self, entry: InFlightRequest, call: DependencyCall) -> None:
        if entry.call is call:
            never_sent = self.client.abandon(call)
            self.end_call(entry, Outcome.UNREACHABLE if never_sent else Outcome.TIMED_OUT)
