"""A simulated server: its controller, and the encoding of the controller's decisions."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from lilacwalk.overload.controller import Controller
from lilacwalk.overload.events import Event
from lilacwalk.overload.model import Request, RequestState, ServerSettings
from lilacwalk.simulator_adapter.codec import WireError, format_ms
from lilacwalk.simulator_adapter.request_table import RequestTable


class ServerInstance:
    """Owns a controller and its requests; as a `DecisionSink`, writes a line for each decision.

    Times are in tenths of a millisecond.
    """

    def __init__(self, name: str, server: ServerSettings, now: int) -> None:
        """Creates the controller of a server that starts at `now`.

        `name` is the name of the server in the simulator.
        """
        self.server = server
        self._name = name
        self._now = now
        self._lines: list[str] = []
        self._requests = RequestTable(now)
        self._controller = Controller(server, now)

    def process_batch(self, now: int, events: Sequence[Event], lines: list[str]) -> None:
        """Passes the events to the controller and appends its decisions to `lines`."""
        self._now = now
        self._lines = lines
        self._controller.process_batch(now, events, self)
        self._requests.remove_expired(now)

    # Requests

    def add_request(self, fields: Mapping[str, str], request: Request) -> None:
        """Adds a request under the identifier in the fields of its message.

        Raises:
            WireError: The message has no identifier.
        """
        self._requests.add(_request_id(fields), request)

    def find_request(self, fields: Mapping[str, str]) -> Request | None:
        """Returns the request with the identifier in a message's fields; None if it is unknown.

        Raises:
            WireError: The message has no identifier.
        """
        return self._requests.find(_request_id(fields))

    def find_original(self, fields: Mapping[str, str], now: int) -> Request | None:
        """Returns the request of which an incoming one is a duplicate; None if it is no duplicate.

        If the original has been removed from the table, returns a finished request in its place,
        because the simulated server still has the original's result.
        """
        original_id = fields.get("earlier", "0")
        if original_id in ("", "0"):
            return None
        original = self._requests.find(original_id)
        if original is None:
            original = self._finished_request(fields.get("class"), now)
            self._requests.add(original_id, original)
        return original

    def _finished_request(self, class_name: str | None, now: int) -> Request:
        classes = self.server.request_classes
        return Request(
            request_class=next((each for each in classes if each.name == class_name), classes[0]),
            arrived_at=now,
            read_at=now,
            deadline=now,
            memory_kb=0.0,
            state=RequestState.FINISHED,
            answered=True,
            was_dispatched=True,
        )

    # Decisions

    def dispatch(self, request: Request) -> None:
        """See `DecisionSink`."""
        self._write_for(request, "serve")

    def reject(
        self, request: Request, retry_after: int = 0, do_not_retry_elsewhere: bool = False
    ) -> None:
        """See `DecisionSink`."""
        suffix = f" cool_down_ms={format_ms(retry_after)}" if retry_after > 0 else ""
        if do_not_retry_elsewhere:
            suffix += " give_up=1"
        self._write_for(request, "refuse", suffix)

    def fail(self, request: Request) -> None:
        """See `DecisionSink`."""
        self._write_for(request, "abort")

    def cancel(self, request: Request) -> None:
        """See `DecisionSink`."""
        self._write_for(request, "abort_work")

    def coalesce(self, request: Request) -> None:
        """See `DecisionSink`."""
        self._write_for(request, "answer_from")

    def register_key(self, request: Request, lifetime: int) -> None:
        """See `DecisionSink`."""
        self._requests.retain_for_key(request, self._now + lifetime)
        self._write_for(request, "store_key", f" hold_for_ms={format_ms(lifetime)}")

    def release_key(self, request: Request) -> None:
        """See `DecisionSink`."""
        self._write_for(request, "unpin")

    def call_dependency(self, request: Request, timeout_at: int) -> None:
        """See `DecisionSink`."""
        self._write_for(request, "invoke", f" stop_at_ms={format_ms(timeout_at)}")

    def skip_dependency_call(self, request: Request) -> None:
        """See `DecisionSink`."""
        self._write_for(request, "go_on")

    def report_health(self, healthy: bool) -> None:
        """See `DecisionSink`."""
        self._write("fitness", f"enable={int(healthy)} shallow=1")

    def report_load(self, value: float) -> None:
        """See `DecisionSink`."""
        self._write("signal", f"amount={value:.4f}")

    def close_idle_connections(self, after: int) -> None:
        """See `DecisionSink`."""
        self._write("close_idle", f"hold_for_ms={format_ms(after)}")

    def set_timer(self, after: int) -> None:
        """See `DecisionSink`."""
        self._write("sleep", f"after_ms={format_ms(after)} ctx=1")

    def log(self, text: str) -> None:
        """See `DecisionSink`."""
        self._write("record", f"message={text}")

    def _write_for(self, request: Request, command: str, suffix: str = "") -> None:
        request_id = self._requests.id_of(request)
        self._lines.append(f"{command} who={self._name} rid={request_id}{suffix}")

    def _write(self, command: str, fields: str) -> None:
        self._lines.append(f"{command} who={self._name} {fields}")


def _request_id(fields: Mapping[str, str]) -> str:
    if "rid" not in fields:
        raise WireError(problem="field 'rid' is missing")
    return fields["rid"]
